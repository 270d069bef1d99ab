"""Faults of the fleet as a whole: routers, partitions, hosts, edits and callers."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

import curio

from hibiscustiller.leadership import LEASE_TTL
from hibiscustiller.serving.tests._automation import Automation
from hibiscustiller.serving.tests._fleet_checks import FleetChecks
from hibiscustiller.serving.tests._routers import wait_for
from hibiscustiller.serving.tests._world import World, read_reason
from hibiscustiller.settings import Address
from hibiscustiller.standins import MODEL, EngineOptions, EngineStandin

_DOWN_TIME = timedelta(milliseconds=300)
# Longer than the scaled time after which a peer is dropped, 1.5 s.
_PARTITION_TIME = timedelta(milliseconds=2500)
_RESTORE_AFTER = timedelta(milliseconds=700)
_LEAVING_LIMIT = timedelta(seconds=3)
_LEAVING_CHECK = timedelta(seconds=1.5)
_RETURN_LIMIT = timedelta(seconds=20)
_READY_LIMIT = timedelta(seconds=30)
_JOIN_LIMIT = timedelta(seconds=15)
_RESTART_POLL = timedelta(milliseconds=50)
_EDITS_AT_EACH_ROUTER = 3
_POISON = "crashes-engines"
_POISON_TRIES = 12
_MAX_POISONED = 3
_SURGE = 40
_SURGE_TOKENS = 8
_NUMBERS_A_SURGE = 10_000
_LAYERS_A_STAGE = 6


class FleetFaults:
    """Causes faults of the fleet and ends them.

    :param world: the fleet.
    :param automation: edits the document.
    :param complete: asks for a completion and checks the answer.
    :param checks: knows the holder of the control lease.
    """

    def __init__(
        self,
        world: World,
        automation: Automation,
        complete: Callable[..., Awaitable[None]],
        checks: FleetChecks,
    ) -> None:
        self._world = world
        self._clock = world.clock
        self._random_state = world.random_state
        self._automation = automation
        self._complete = complete
        self._checks = checks
        self._surges = 0
        self._joined = 0
        self._poisons = 0
        self._leaving_lock = curio.Lock()
        self._router_lock = curio.Lock()

    def list_faults(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return what causes each fault and ends it, by name."""
        return {
            "router-aborted": self._abort_router,
            "partition": self._part_routers,
            "partition-without-store": self._part_routers_and_store,
            "store-restored": self._restore_store,
            "store-emptied": self._empty_store,
            "leaves-by-report": lambda: self._leave("report"),
            "leaves-by-host-list": lambda: self._leave("host-list"),
            "leaves-by-document": lambda: self._leave("document"),
            "server-joins": self._join_server,
            "conflicting-edits": self._edit_everywhere,
            "poison-request": self._send_poison,
            "surge-least-urgent-first": lambda: self._surge(("notes", "greens")),
            "surge-most-urgent-first": lambda: self._surge(("greens", "notes")),
            "holder-paused": self._pause_holder,
        }

    # Routers.

    async def _abort_router(self) -> None:
        async with self._router_lock:
            router = self._random_state.choice(self._world.routers)
            self._world.routers.remove(router)
            await router.abort()
            await self._clock.sleep(_DOWN_TIME)
            started = await self._world.start_router(router.name, router.domain)
            if not await wait_for(lambda: started.is_ready, _READY_LIMIT):
                self._world.add_problem(f"restarted {router.name} did not get ready")

    async def _part_routers(self) -> None:
        await self._part(loses_store=False)

    async def _part_routers_and_store(self) -> None:
        await self._part(loses_store=True)

    async def _part(self, loses_store: bool) -> None:
        async with self._router_lock:
            count = self._random_state.choice((1, 2))
            parted = self._random_state.sample(self._world.routers, count)
            self._world.cuts.group = frozenset(router.name for router in parted)
            for router in parted:
                router.store_link.is_cut = loses_store
            await self._clock.sleep(_PARTITION_TIME)
            self._world.cuts.group = frozenset()
            for router in parted:
                router.store_link.is_cut = False

    async def _pause_holder(self) -> None:
        async with self._router_lock:
            if not await wait_for(self._checks.find_holder, _READY_LIMIT):
                self._world.add_problem("no router holds the control lease")
                return
            holder = self._checks.find_holder()
            holder.clock.is_paused = True
            await self._clock.sleep(LEASE_TTL + _DOWN_TIME)
            holder.clock.is_paused = False

    # Store and document.

    async def _restore_store(self) -> None:
        backup = self._world.fleet.platform.take_backup()
        await self._automation.edit()
        await self._clock.sleep(_RESTORE_AFTER * self._random_state.random())
        self._world.fleet.platform.restore_backup(backup)
        # A proposal reads the head, and so finds the loss at once.
        await self._automation.edit()

    async def _empty_store(self) -> None:
        """Restore the store to its state before the first router started."""
        platform = self._world.fleet.platform
        platform.restore_backup(self._world.first_backup)
        await self._automation.edit()
        # The next holder must get its commands accepted by engines that know fences
        # of the lost state.
        engine = self._world.choose_engine()
        engine.role = "prefill"

    async def _edit_everywhere(self) -> None:
        async with curio.TaskGroup() as group:
            for _ in self._world.routers:
                await group.spawn(self._edit_in_a_row)

    async def _edit_in_a_row(self) -> None:
        for _ in range(_EDITS_AT_EACH_ROUTER):
            await self._automation.edit()

    async def _change_servers(self, changes: Mapping[str, object]) -> bool:
        """Propose a change of servers until it is accepted."""
        proposal_id = f"servers-{self._random_state.getrandbits(64):x}"
        for _ in range(100):
            read = await self._world.read_section("class quotes")
            if read is not None:
                answer = await self._world.propose(
                    proposal_id, read[0], changes, "carnbeg"
                )
                if answer is not None and answer.status == 200:
                    return True
            await self._clock.sleep(_DOWN_TIME)
        self._world.add_problem(f"not accepted: {changes}")
        return False

    # Backend servers.

    async def _leave(self, signal: str) -> None:
        # Of two leaving servers the replicas left over would not suffice.
        async with self._leaving_lock:
            engine = self._world.choose_engine()
            if not await self._announce(engine, signal, is_leaving=True):
                return
            await self._clock.sleep(_LEAVING_LIMIT)
            before = _list_streams(engine)
            await self._clock.sleep(_LEAVING_CHECK)
            name = engine.options.server_id
            new = _list_streams(engine) - before
            if new and not engine.is_crashed:
                self._world.add_problem(
                    f"{name} got {len(new)} streams 3 s after its {signal} signal"
                )
            await self._announce(engine, signal, is_leaving=False)
            if not await wait_for(lambda: self._is_used(name), _RETURN_LIMIT):
                self._world.add_problem(f"{name} did not return to service")

    async def _announce(
        self, engine: EngineStandin, signal: str, is_leaving: bool
    ) -> bool:
        match signal:
            case "report":
                engine.is_leaving = is_leaving
            case "host-list":
                state = "leaving" if is_leaving else "live"
                states = self._world.fleet.platform.host_states_by_address
                states[engine.address.host] = state
            case _:
                state = "draining" if is_leaving else "serving"
                section = f"server {engine.options.server_id}"
                return await self._change_servers({section: {"state": state}})
        return True

    def _is_used(self, name: str) -> bool:
        return all(
            router.router.control_plane.backends.is_usable(name)
            for router in self._world.routers
        )

    async def _join_server(self) -> None:
        self._joined += 1
        name = f"engine-new{self._joined}-0"
        options = EngineOptions(
            name, MODEL, 0, _LAYERS_A_STAGE, token_time=timedelta(milliseconds=2)
        )
        # Beside the other engines, which begin at 127.0.0.2.
        address = Address(f"127.0.0.{100 + self._joined}", 0)
        engine = EngineStandin(options, address, self._clock)
        await engine.start()
        self._world.fleet.platform.host_states_by_address[address.host] = "live"
        self._world.fleet.engines_by_id[name] = engine
        section = {
            "address": str(engine.address),
            "failure_domain": "domain-0",
            "model": MODEL,
            "first_layer": "0",
            "last_layer": str(_LAYERS_A_STAGE),
            "token_time": "2ms",
            "streams": "16",
        }
        if not await self._change_servers({f"server {name}": section}):
            return
        if not await wait_for(lambda: engine.started_streams, _JOIN_LIMIT):
            self._world.add_problem(f"{name} got no stream after it joined")

    # Callers.

    async def _send_poison(self) -> None:
        self._poisons += 1
        prompt = f"{_POISON} {self._poisons}"
        engines = self._world.fleet.engines_by_id
        for engine in engines.values():
            engine.faults.poison = prompt
        killed: list[str] = []
        restarts = await curio.spawn(self._restart_poisoned, killed, daemon=True)
        for _ in range(_POISON_TRIES):
            body = {"model": MODEL, "prompt": prompt, "max_tokens": 4}
            answer = await self._world.send("/v1/completions", body, "schools", {})
            if answer is not None and answer.status == 200:
                self._world.add_problem("a poison request was answered")
            if answer is not None and answer.status != 200:
                reason = read_reason(answer)
                self._world.outcomes.answers_by_kind[f"poison {reason}"] += 1
                if reason == "quarantined":
                    break
            await self._clock.sleep(_DOWN_TIME / 3)
        else:
            self._world.add_problem(f"{prompt} was not quarantined")
        await self._check_refused_everywhere(prompt)
        await self._clock.sleep(_DOWN_TIME)
        await restarts.cancel()
        for engine in engines.values():
            engine.faults.poison = ""
        if len(killed) > _MAX_POISONED:
            self._world.add_problem(f"{prompt} killed {killed}")

    async def _check_refused_everywhere(self, prompt: str) -> None:
        """Wait for the peers' reports, then send the request through each router."""
        await self._clock.sleep(timedelta(seconds=1.5))
        for _ in range(_POISON_TRIES):
            body = {"model": MODEL, "prompt": prompt, "max_tokens": 4}
            answer = await self._world.send("/v1/completions", body, "schools", {})
            if answer is not None and answer.status == 200:
                detail = json.loads(answer.body)
                self._world.add_problem(f"a poison request was answered: {detail}")

    async def _restart_poisoned(self, killed: list[str]) -> None:
        while True:
            for name, engine in list(self._world.fleet.engines_by_id.items()):
                if engine.is_crashed and name not in self._world.killed_engines:
                    killed.append(name)
                    await self._clock.sleep(_DOWN_TIME)
                    await engine.start()
            await self._clock.sleep(_RESTART_POLL)

    async def _surge(self, organisations: tuple[str, str]) -> None:
        self._surges += 1
        number = self._surges * _NUMBERS_A_SURGE
        async with curio.TaskGroup() as group:
            for organisation in organisations:
                for _ in range(_SURGE):
                    number += 1
                    await group.spawn(
                        self._complete, number, organisation, _SURGE_TOKENS
                    )
                await curio.sleep(self._random_state.random() * 0.2)


def _list_streams(engine: EngineStandin) -> set[str]:
    """Return the streams that ran at an engine as any stage."""
    return set(engine.started_streams) | set(engine._kv_by_stream)
