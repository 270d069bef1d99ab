"""The router that tells the engines what to load."""

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
    order_loads,
    parse_engine_state,
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
_RETRY_PERIOD = timedelta(seconds=1)
# A new document or term is noticed within this time. Looking costs no message.
_LOOK_PERIOD = timedelta(seconds=1)
_CALL_TIMEOUT = timedelta(seconds=1)
# Of the live routers, the first few stand by, since each look at the key costs the
# store a call.
_CANDIDATE_COUNT = 3
_MAX_CONCURRENT_READS = 16
# A faulty engine that reports ever higher fences must not end every term.
_FLOOR_PERIOD = timedelta(minutes=1)
# A command that does not take effect this often is left alone for a longer time, in
# which the engine may be replaced, or until the document asks for something else.
_MAX_ATTEMPTS = 8
_PAUSE_AFTER_ATTEMPTS = timedelta(minutes=10)
_FIRST_RETRY = timedelta(seconds=5)
_LAST_RETRY = timedelta(minutes=2)
_OK = 200
_CONFLICT = 409


@dataclass
class _Attempts:
    """What was last sent to a server to reach one wanted state.

    :param check_at: when the server is read to see whether the command took effect.
    :param next_at: earliest time of the next attempt.
    """

    command: Command
    delays: Iterator[timedelta]
    count: int = 0
    check_at: timedelta = timedelta(0)
    next_at: timedelta = timedelta(0)


class ControlHolder:
    """Stands by for the control lease, and reconciles the engines while it holds it.

    :param router_id: this router.
    :param store: the platform's key-value service.
    :param client: HTTP client for the engines.
    :param get_config: returns the document in force.
    :param list_routers: returns the live routers.
    :param clock: source of time.
    :param random_state: source of tokens and jitter.
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
        self._swept_term: Term | None = None
        self._swept_config: FleetConfig | None = None
        self._next_pass_at = timedelta(0)
        self._next_floor_at = timedelta(0)
        self._tasks: list[curio.Task] = []

    @property
    def fence(self) -> Fence | None:
        """The fence of this router's term; None if it does not hold the lease."""
        return None if self.lease.term is None else self.lease.term.fence

    async def start(self) -> None:
        """Stand by for the lease."""
        for run in (self._run_lease, self._run_reconcile):
            self._tasks.append(await curio.spawn(run, daemon=True))

    async def stop(self) -> None:
        """Send nothing more, and hand the lease over by revoking it."""
        for task in reversed(self._tasks):
            await task.cancel()
        self._tasks.clear()
        await self.lease.release()

    async def step_lease(self) -> timedelta:
        """Acquire or renew the lease.

        :returns: time until the next step.
        """
        term = self.lease.term
        try:
            if term is not None:
                await self.lease.renew()
            elif self._is_candidate():
                await self.lease.acquire()
        except StoreUnavailableError as error:
            # The store's client logs an outage once, as a warning.
            log_event("control_store_unavailable", level="debug", reason=error)
            if term is not None and not self.lease.has_margin(term):
                self.lease.drop("not renewed in time")
            return _RETRY_PERIOD
        return _RENEW_PERIOD

    async def reconcile(self) -> None:
        """Compare engines with the document and send what is missing.

        Reads the engines whose part of the document changed, those that may need a
        command again, and of the others as many as the sweep's rate permits.

        :raises StoreUnavailableError: if the store cannot confirm the lease.
        """
        self._next_pass_at = self._clock.monotonic() + SWEEP_PERIOD
        term = self.lease.term
        if term is None or not await self.lease.confirm():
            return
        config = self._get_config()
        if term is not self._swept_term:
            self.forget_states()
        self._swept_term, self._swept_config = term, config
        due = self._sweep.select_servers(config, self._list_pending())
        states = await self._read_states(config, due)
        if await self._has_raised_floor(term, states):
            return
        for server, state in states.items():
            commands = list_commands(config, config.servers_by_id[server], state)
            self._forget_reached(server, commands)
            for command in commands:
                if not isinstance(command, LoadCommand):
                    await self._send_if_due(term, config.servers_by_id[server], command)
        await self._send_loads(term, config, states)

    def forget_states(self) -> None:
        """Let the next pass read every engine."""
        self._sweep.forget_all()

    async def look(self) -> None:
        """Reconcile if a pass is due, or at once after a new document or term.

        :raises StoreUnavailableError: if the store cannot confirm the lease.
        """
        is_changed = (
            self.lease.term is not self._swept_term
            or self._get_config() is not self._swept_config
        )
        is_due = self._clock.monotonic() >= self._next_pass_at
        if self.lease.term is not None and (is_changed or is_due):
            await self.reconcile()

    async def _has_raised_floor(
        self, term: Term, states: dict[ServerId, EngineState]
    ) -> bool:
        """End a term that engines would refuse although it is the newest.

        Its fence is too low after the store was restored to an earlier revision.
        """
        seen = max(
            (
                s.highest_fence
                for s in states.values()
                if s.highest_fence <= MAX_FENCE_FLOOR
            ),
            default=0,
        )
        now = self._clock.monotonic()
        if seen <= term.fence or now < self._next_floor_at:
            return False
        # A newer holder's fence is above as well, and it must be left alone.
        if not await self.lease.confirm():
            return True
        self._next_floor_at = now + _FLOOR_PERIOD
        await self.lease.raise_fence_floor(seen)
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

    async def _run_reconcile(self) -> None:
        while True:
            try:
                await self.look()
            except StoreUnavailableError as error:
                log_event("control_store_unavailable", level="debug", reason=error)
            except Exception as error:
                log_event("control_failed", level="error", error=repr(error))
                await self.lease.release()
            await self._clock.sleep(_LOOK_PERIOD)

    def _is_candidate(self) -> bool:
        ranked = rank_by_rendezvous(HOLDER_KEY, self._list_routers())
        return self._router_id in ranked[:_CANDIDATE_COUNT]

    def _list_pending(self) -> set[ServerId]:
        """Return the servers that must be read for a command sent earlier.

        They are read once after the time that the command takes, and again when the
        next attempt is due. An engine that cannot be sent the next attempt, because it
        does not answer or because the weight store is busy, is read seldom after that.
        """
        now = self._clock.monotonic()
        pending = set()
        for (server, _), attempts in self._attempts.items():
            if now >= attempts.check_at:
                is_early = now < attempts.next_at
                attempts.check_at = attempts.next_at if is_early else now + _LAST_RETRY
                pending.add(server)
        return pending

    async def _read_states(
        self, config: FleetConfig, due: list[ServerConfig]
    ) -> dict[ServerId, EngineState]:
        states: dict[ServerId, EngineState] = {}
        servers = iter(due)

        async def read_some() -> None:
            for server in servers:
                state = await self._read_state(config, server)
                if state is not None:
                    states[server.name] = state

        async with curio.TaskGroup() as group:
            for _ in range(min(_MAX_CONCURRENT_READS, len(due))):
                await group.spawn(read_some)
        return dict(sorted(states.items()))

    async def _read_state(
        self, config: FleetConfig, server: ServerConfig
    ) -> EngineState | None:
        state, body_bytes = None, 0
        try:
            answer = await self._client.request(
                server.address, "GET", "/v1/state", timeout=_CALL_TIMEOUT
            )
            body_bytes = len(answer.body)
            if answer.status != _OK:
                raise ValueError(f"status {answer.status}")
            state = parse_engine_state(answer.read_json())
        except (TransportError, ValueError) as error:
            log_event(
                "state_read_failed", level="debug", server=server.name, error=error
            )
        self._sweep.note_read(config, server, state, body_bytes)
        return state

    def _forget_reached(self, server: ServerId, commands: list[Command]) -> None:
        wanted = {type(command): command for command in commands}
        for key in [key for key in self._attempts if key[0] == server]:
            if wanted.get(key[1]) != self._attempts[key].command:
                del self._attempts[key]

    async def _send_loads(
        self,
        term: Term,
        config: FleetConfig,
        fresh_states: dict[ServerId, EngineState],
    ) -> None:
        """Send loads as far as the weight store can take them.

        :param fresh_states: states that were read in this pass.
        """
        states = self._sweep.states_by_server
        loads = self._list_loads(config, states)
        for name in order_loads(config, states, loads):
            if self._clock.monotonic() < self._next_load_at:
                return
            server, command = config.servers_by_id[name], loads[name]
            if not self._is_due(server, command):
                continue
            if name not in fresh_states and not await self._still_needs(
                config, server, command
            ):
                continue
            load_time = config.models_by_name[command.model].load_time
            now = self._clock.monotonic()
            if await self._send_if_due(term, server, command, load_time):
                self._next_load_at = now + load_time

    def _list_loads(
        self, config: FleetConfig, states: dict[ServerId, EngineState]
    ) -> dict[ServerId, LoadCommand]:
        return {
            server: command
            for server, state in states.items()
            for command in list_commands(config, config.servers_by_id[server], state)
            if isinstance(command, LoadCommand)
        }

    async def _still_needs(
        self, config: FleetConfig, server: ServerConfig, command: Command
    ) -> bool:
        """Read a server again whose state is of an earlier pass."""
        state = await self._read_state(config, server)
        return state is not None and command in list_commands(config, server, state)

    def _is_due(self, server: ServerConfig, command: Command) -> bool:
        attempts = self._attempts.get((server.name, type(command)))
        return attempts is None or self._clock.monotonic() >= attempts.next_at

    async def _send_if_due(
        self,
        term: Term,
        server: ServerConfig,
        command: Command,
        duration: timedelta = timedelta(0),
    ) -> bool:
        """Send a command unless it was sent recently or too often.

        :param duration: time that the engine takes to carry it out.
        :returns: whether the engine accepted it.
        """
        attempts = self._attempts.setdefault(
            (server.name, type(command)), self._make_attempts(command)
        )
        now = self._clock.monotonic()
        if now < attempts.next_at:
            return False
        # A pause may have happened anywhere before this line, even in the last read.
        if not self.lease.has_margin(term):
            return False
        attempts.count += 1
        attempts.check_at = now + duration
        attempts.next_at = now + duration + _FIRST_RETRY / 2 + next(attempts.delays)
        if attempts.count >= _MAX_ATTEMPTS:
            attempts.count = 0
            attempts.next_at = now + _PAUSE_AFTER_ATTEMPTS
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
            answer = await self._client.request_json(
                server.address,
                "POST",
                "/v1/orders",
                command.describe(term.fence),
                timeout=_CALL_TIMEOUT,
            )
        except TransportError as error:
            log_event(
                "command_failed", level="warning", server=server.name, error=error
            )
            return False
        if answer.status == _CONFLICT:
            self.lease.drop(f"{server.name} has seen a newer fence")
        log_event(
            "command_sent",
            server=server.name,
            action=type(command).__name__,
            fence=term.fence,
            status=answer.status,
        )
        return answer.status == _OK

    def _make_attempts(self, command: Command) -> _Attempts:
        delays = jittered_delays(_FIRST_RETRY, _LAST_RETRY, self._random_state)
        return _Attempts(command, delays)
