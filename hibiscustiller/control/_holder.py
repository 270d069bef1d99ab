"""Controller that keeps the engines in line with the configuration document."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta

import curio

from hibiscustiller.configuration import FleetConfig, ServerConfig
from hibiscustiller.control._commands import (
    Command,
    EngineState,
    LoadCommand,
    list_commands,
    parse_engine_state,
    prioritise_loads,
)
from hibiscustiller.control._sweep import SWEEP_PERIOD, StateSweep
from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.leadership import (
    HOLDER_KEY,
    MAX_FENCE_FLOOR,
    ControlLease,
    Term,
)
from hibiscustiller.platform import KeyValueStore
from hibiscustiller.utils import (
    Clock,
    Fence,
    RouterId,
    ServerId,
    check_invariant,
    jittered_delays,
    log_event,
    rank_by_rendezvous,
)
from hibiscustiller.wire import HttpClient

_RENEW_PERIOD = timedelta(seconds=3)
_STORE_RETRY_PERIOD = timedelta(seconds=1)
# Period of the check for a new document or term. The check sends no message.
_CHECK_PERIOD = timedelta(seconds=1)
_REQUEST_TIMEOUT = timedelta(seconds=1)
# Number of routers that try to acquire the lease. Each attempt to read the holder key
# is a call to the store, so the other live routers make none.
_CANDIDATE_COUNT = 3
_MAX_CONCURRENT_READS = 16
# Minimum time between raises of the fence floor. Each raise ends a term, and a faulty
# engine that reports ever higher fences must not end all of them.
_MIN_FLOOR_RAISE_INTERVAL = timedelta(minutes=1)
# After this many attempts without effect, a command is paused for a longer time, in
# which the engine may be replaced, or until the document requires a different command.
_MAX_ATTEMPTS = 8
_PAUSE_AFTER_ATTEMPTS = timedelta(minutes=10)
_FIRST_RETRY_DELAY = timedelta(seconds=5)
_MAX_RETRY_DELAY = timedelta(minutes=2)
_STATUS_OK = 200
_STATUS_CONFLICT = 409


@dataclass
class _Attempts:
    """Attempts to send a server one command.

    :param command: the command that the attempts send.
    :param delays: delays before the further attempts.
    :param count: number of attempts since the start or the last pause.
    :param check_at: monotonic time from which the server's state is read to check
        whether the command took effect.
    :param retry_at: earliest monotonic time of the next attempt.
    """

    command: Command
    delays: Iterator[timedelta]
    count: int = 0
    check_at: timedelta = timedelta(0)
    retry_at: timedelta = timedelta(0)


class ControlHolder:
    """Competes for the control lease and reconciles the engines while it holds it.

    Reconciling means to compare the state of the engines with the configuration
    document and to send the commands that make up the difference.

    :param router_id: ID of this router.
    :param store: key-value store of the platform.
    :param client: HTTP client for the requests to the engines.
    :param get_config: returns the configuration document in force.
    :param list_routers: returns the IDs of the live routers.
    :param clock: source of monotonic and wall-clock time.
    :param random_state: random source for lease tokens and jitter.
    """

    def __init__(
        self,
        router_id: RouterId,
        store: KeyValueStore,
        client: HttpClient,
        get_config: Callable[[], FleetConfig],
        list_routers: Callable[[], Iterable[RouterId]],
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self.lease = ControlLease(router_id, store, clock, random_state)
        self._router_id = router_id
        self._client = client
        self._get_config = get_config
        self._list_routers = list_routers
        self._clock = clock
        self._random_state = random_state
        self._attempts: dict[tuple[ServerId, type], _Attempts] = {}
        self._next_load_at = timedelta(0)
        self._sweep = StateSweep(clock)
        self._reconciled_term: Term | None = None
        self._reconciled_config: FleetConfig | None = None
        self._next_pass_at = timedelta(0)
        self._next_floor_raise_at = timedelta(0)
        self._tasks: list[curio.Task] = []

    @property
    def fence(self) -> Fence | None:
        """Fencing token of this router's term; None if it does not hold the lease."""
        return None if self.lease.term is None else self.lease.term.fence

    async def start(self) -> None:
        """Start the background tasks that hold the lease and reconcile the engines."""
        for run_loop in (self._run_lease, self._run_reconciliation):
            self._tasks.append(await curio.spawn(run_loop, daemon=True))

    async def stop(self) -> None:
        """Stop sending commands and release the lease for another router."""
        for task in reversed(self._tasks):
            await task.cancel()
        self._tasks.clear()
        await self.lease.release()

    async def step_lease(self) -> timedelta:
        """Renew the lease, or try to acquire it if this router is a candidate.

        The term ends if the store is unavailable until the lease is within its margin.

        :returns: time until the next step.
        """
        term = self.lease.term
        try:
            if term is not None:
                await self.lease.renew()
            elif self._is_candidate():
                await self.lease.acquire()
        except StoreUnavailableError as error:
            # Logged at debug level, since the store's client warns once per outage.
            log_event("control_store_unavailable", level="debug", reason=error)
            if term is not None and not self.lease.has_margin(term):
                self.lease.drop("lease was not renewed in time")
            return _STORE_RETRY_PERIOD
        return _RENEW_PERIOD

    async def reconcile(self) -> None:
        """Compare the engines' states with the document and send missing commands.

        Reads the state of the engines whose part of the document changed, of those that
        may need a command again, and of as many others as the sweep's rate permits.
        Does nothing if this router does not hold the lease.

        :raises StoreUnavailableError: if the store cannot confirm the lease.
        """
        self._next_pass_at = self._clock.monotonic() + SWEEP_PERIOD
        term = self.lease.term
        if term is None or not await self.lease.confirm():
            return
        config = self._get_config()
        if term is not self._reconciled_term:
            self.forget_states()
        self._reconciled_term, self._reconciled_config = term, config
        due_servers = self._sweep.select_servers(config, self._select_pending_servers())
        states_by_server = await self._read_states(config, due_servers)
        if await self._raise_floor_if_needed(term, states_by_server):
            return
        for server_id, state in states_by_server.items():
            commands = list_commands(config, config.servers_by_id[server_id], state)
            self._discard_finished_attempts(server_id, commands)
            for command in commands:
                if not isinstance(command, LoadCommand):
                    await self._send_if_due(
                        term, config.servers_by_id[server_id], command
                    )
        await self._send_loads(term, config, states_by_server)

    def forget_states(self) -> None:
        """Discard all known engine states, so that the next pass reads every engine."""
        self._sweep.discard_all()

    async def reconcile_if_due(self) -> None:
        """Reconcile if a pass is due or there is a new document or term.

        :raises StoreUnavailableError: if the store cannot confirm the lease.
        """
        is_changed = (
            self.lease.term is not self._reconciled_term
            or self._get_config() is not self._reconciled_config
        )
        is_due = self._clock.monotonic() >= self._next_pass_at
        if self.lease.term is not None and (is_changed or is_due):
            await self.reconcile()

    async def _raise_floor_if_needed(
        self, term: Term, states_by_server: dict[ServerId, EngineState]
    ) -> bool:
        """Raise the fence floor and end the term if engines know a higher fence.

        After the store was restored to an earlier revision, engines refuse the fence of
        the current term as too low. The next term then gets a fence above theirs.

        :returns: whether the term has ended.
        """
        highest_seen = max(
            (
                engine_state.highest_fence
                for engine_state in states_by_server.values()
                if engine_state.highest_fence <= MAX_FENCE_FLOOR
            ),
            default=0,
        )
        now = self._clock.monotonic()
        if highest_seen <= term.fence or now < self._next_floor_raise_at:
            return False
        # The higher fence may also be that of a newer holder, whose term must not be
        # disturbed; in that case the lease is not confirmed.
        if not await self.lease.confirm():
            return True
        self._next_floor_raise_at = now + _MIN_FLOOR_RAISE_INTERVAL
        await self.lease.raise_fence_floor(highest_seen)
        await self.lease.release()
        return True

    async def _run_lease(self) -> None:
        while True:
            try:
                delay = await self.step_lease()
            except Exception as error:
                log_event("control_failed", level="error", error=repr(error))
                await self.lease.release()
                delay = _RENEW_PERIOD
            jitter = 0.75 + 0.25 * self._random_state.random()
            await self._clock.sleep(delay * jitter)

    async def _run_reconciliation(self) -> None:
        while True:
            try:
                await self.reconcile_if_due()
            except StoreUnavailableError as error:
                log_event("control_store_unavailable", level="debug", reason=error)
            except Exception as error:
                log_event("control_failed", level="error", error=repr(error))
                await self.lease.release()
            await self._clock.sleep(_CHECK_PERIOD)

    def _is_candidate(self) -> bool:
        ranked = rank_by_rendezvous(HOLDER_KEY, self._list_routers())
        return self._router_id in ranked[:_CANDIDATE_COUNT]

    def _select_pending_servers(self) -> set[ServerId]:
        """Select the servers to read because of a command that was sent earlier.

        Each is read once after the expected duration of the command and again when the
        next attempt is due. If the next attempt cannot be sent then, because the engine
        does not respond or the weight store is busy, the engine is read once per
        ``_MAX_RETRY_DELAY``.
        """
        now = self._clock.monotonic()
        pending = set()
        for (server_id, _), attempts in self._attempts.items():
            if now >= attempts.check_at:
                is_before_retry = now < attempts.retry_at
                attempts.check_at = (
                    attempts.retry_at if is_before_retry else now + _MAX_RETRY_DELAY
                )
                pending.add(server_id)
        return pending

    async def _read_states(
        self, config: FleetConfig, due_servers: list[ServerConfig]
    ) -> dict[ServerId, EngineState]:
        states_by_server: dict[ServerId, EngineState] = {}
        servers = iter(due_servers)

        async def read_remaining() -> None:
            for server in servers:
                state = await self._read_state(config, server)
                if state is not None:
                    states_by_server[server.name] = state

        async with curio.TaskGroup() as group:
            for _ in range(min(_MAX_CONCURRENT_READS, len(due_servers))):
                await group.spawn(read_remaining)
        return dict(sorted(states_by_server.items()))

    async def _read_state(
        self, config: FleetConfig, server: ServerConfig
    ) -> EngineState | None:
        """Read and record the state of one engine; None if no valid state was read."""
        state, body_bytes = None, 0
        try:
            response = await self._client.request(
                server.address, "GET", "/v1/state", timeout=_REQUEST_TIMEOUT
            )
            body_bytes = len(response.body)
            if response.status != _STATUS_OK:
                raise ValueError(f"unexpected HTTP status {response.status}")
            state = parse_engine_state(response.read_json())
        except (TransportError, ValueError) as error:
            log_event(
                "state_read_failed", level="debug", server=server.name, error=error
            )
        self._sweep.record_read(config, server, state, body_bytes)
        return state

    def _discard_finished_attempts(
        self, server_id: ServerId, commands: list[Command]
    ) -> None:
        """Discard the attempts whose command the server no longer needs."""
        commands_by_type = {type(command): command for command in commands}
        for key in [key for key in self._attempts if key[0] == server_id]:
            if commands_by_type.get(key[1]) != self._attempts[key].command:
                del self._attempts[key]

    async def _send_loads(
        self,
        term: Term,
        config: FleetConfig,
        fresh_states: dict[ServerId, EngineState],
    ) -> None:
        """Send load commands one after the other, at the rate of the weight store.

        :param fresh_states: states that were read in this pass.
        """
        states_by_server = self._sweep.states_by_server
        loads_by_server = self._list_loads(config, states_by_server)
        for server_id in prioritise_loads(config, states_by_server, loads_by_server):
            if self._clock.monotonic() < self._next_load_at:
                return
            server, command = (
                config.servers_by_id[server_id],
                loads_by_server[server_id],
            )
            if not self._is_due(server, command):
                continue
            if server_id not in fresh_states and not await self._confirm_needed(
                config, server, command
            ):
                continue
            load_time = config.models_by_name[command.model].load_time
            now = self._clock.monotonic()
            if await self._send_if_due(term, server, command, load_time):
                self._next_load_at = now + load_time

    def _list_loads(
        self, config: FleetConfig, states_by_server: dict[ServerId, EngineState]
    ) -> dict[ServerId, LoadCommand]:
        """Return the load command that each server needs, if any."""
        return {
            server_id: command
            for server_id, state in states_by_server.items()
            for command in list_commands(config, config.servers_by_id[server_id], state)
            if isinstance(command, LoadCommand)
        }

    async def _confirm_needed(
        self, config: FleetConfig, server: ServerConfig, command: Command
    ) -> bool:
        """Read a server's state again and return whether it still needs a command."""
        state = await self._read_state(config, server)
        return state is not None and command in list_commands(config, server, state)

    def _is_due(self, server: ServerConfig, command: Command) -> bool:
        attempts = self._attempts.get((server.name, type(command)))
        return attempts is None or self._clock.monotonic() >= attempts.retry_at

    async def _send_if_due(
        self,
        term: Term,
        server: ServerConfig,
        command: Command,
        duration: timedelta = timedelta(0),
    ) -> bool:
        """Send a command unless it was sent recently or too often.

        :param duration: time that the engine is expected to need for the command.
        :returns: whether the engine accepted the command.
        """
        attempts = self._attempts.setdefault(
            (server.name, type(command)), self._make_attempts(command)
        )
        now = self._clock.monotonic()
        if now < attempts.retry_at:
            return False
        # The process may have been paused at any point before, even during the last
        # read, so the remaining time of the lease is checked right before sending.
        if not self.lease.has_margin(term):
            return False
        attempts.count += 1
        attempts.check_at = now + duration
        attempts.retry_at = (
            now + duration + _FIRST_RETRY_DELAY / 2 + next(attempts.delays)
        )
        if attempts.count >= _MAX_ATTEMPTS:
            attempts.count = 0
            attempts.retry_at = now + _PAUSE_AFTER_ATTEMPTS
            log_event("command_without_effect", level="error", server=server.name)
        return await self._send_command(term, server, command)

    async def _send_command(
        self, term: Term, server: ServerConfig, command: Command
    ) -> bool:
        check_invariant(
            self.lease.has_margin(term),
            "command_within_lease_margin",
            server=server.name,
            fence=term.fence,
        )
        try:
            response = await self._client.request_json(
                server.address,
                "POST",
                "/v1/orders",
                command.build_body(term.fence),
                timeout=_REQUEST_TIMEOUT,
            )
        except TransportError as error:
            log_event(
                "command_failed", level="warning", server=server.name, error=error
            )
            return False
        if response.status == _STATUS_CONFLICT:
            self.lease.drop(f"{server.name} has seen a newer fence")
        log_event(
            "command_sent",
            server=server.name,
            action=type(command).__name__,
            fence=term.fence,
            status=response.status,
        )
        return response.status == _STATUS_OK

    def _make_attempts(self, command: Command) -> _Attempts:
        delays = jittered_delays(
            _FIRST_RETRY_DELAY, _MAX_RETRY_DELAY, self._random_state
        )
        return _Attempts(command, delays)
