"""A fleet of stand-ins and routers for randomised runs, and its callers' client."""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta

from hibiscustiller.configuration import parse_sections
from hibiscustiller.exceptions import TransportError
from hibiscustiller.membership.tests._meshes import Cuts
from hibiscustiller.serving.tests._routers import FleetRouter, wait_for
from hibiscustiller.standins import (
    ORGANISATION_KEYS_BY_ID,
    TEAM_KEYS_BY_ID,
    EngineStandin,
    Fleet,
    start_fleet,
)
from hibiscustiller.utils import SystemClock
from hibiscustiller.wire import HttpAnswer, HttpClient

_TIMEOUT = timedelta(seconds=30)
_CONNECT_TIMEOUT = timedelta(seconds=15)
_START_LIMIT = timedelta(seconds=30)
_ROUTERS = 3
_REPEATS = 6


@dataclass
class Outcomes:
    """What callers got.

    :param problems: one line for each broken promise; empty when all is well.
    """

    answers_by_kind: Counter[str] = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)


class World:
    """Stand-ins, three routers with a shared key, and a client.

    :param seed: decides all random choices.
    """

    def __init__(self, seed: int) -> None:
        self.random_state = random.Random(seed)
        self.clock = SystemClock()
        # Many runs share the process, so that a connection may be accepted late.
        self.client = HttpClient(self.clock, connect_timeout=_CONNECT_TIMEOUT)
        self.outcomes = Outcomes()
        self.cuts = Cuts()
        self.fleet: Fleet
        self.routers: list[FleetRouter] = []
        self.all_routers: list[FleetRouter] = []
        self.killed_engines: set[str] = set()
        self._repeated_keys: set[str] = set()

    def add_problem(self, problem: str) -> None:
        """Note a broken promise."""
        self.outcomes.problems.append(problem)

    async def start(self) -> None:
        """Start everything; the document is proposed to the first router."""
        self.fleet = await start_fleet(self.clock, has_own_hosts=True)
        self.first_backup = self.fleet.platform.take_backup()
        for number, engine in enumerate(self.fleet.engines_by_id.values()):
            engine.options = replace(engine.options, checks_fence=number % 2 == 0)
            self.fleet.platform.host_states_by_address[engine.address.host] = "live"
        # The booking service's and the routers' host.
        self.fleet.platform.host_states_by_address["127.0.0.1"] = "live"
        for number in range(_ROUTERS):
            await self.start_router(f"r{number}", f"domain-{number}")
        sections = parse_sections(self.fleet.document, "fleet")
        sections["organisation greens"]["weight"] = "1"
        answer = await self.propose("first", 0, sections, "carnbeg", self.routers[0])
        if answer is None or answer.status != 200:
            self.add_problem(f"first document refused: {answer}")
        if not await wait_for(
            lambda: all(router.is_ready for router in self.routers), _START_LIMIT
        ):
            self.add_problem("not all routers became ready")

    async def start_router(self, name: str, domain: str) -> FleetRouter:
        """Start a router and put it behind the balancer."""
        seeds = [router.mesh.self_member.address for router in self.routers]
        router = FleetRouter(
            name,
            domain,
            self.fleet.platform.address,
            seeds,
            self.cuts,
            random.Random(self.random_state.getrandbits(64)),
        )
        await router.router.start()
        self.routers.append(router)
        self.all_routers.append(router)
        return router

    async def close(self) -> None:
        """Stop everything."""
        await self.client.close()
        for router in self.routers:
            await router.stop()
        await self.fleet.close()

    def choose_router(self) -> FleetRouter:
        """Choose as the balancer does, among the ready ones if there are any."""
        ready = [router for router in self.routers if router.is_ready]
        return self.random_state.choice(ready or self.routers)

    def is_repeated(self, key: str) -> bool:
        """Tell whether an order's router was aborted before it answered."""
        return key in self._repeated_keys

    def choose_engine(self) -> EngineStandin:
        """Choose any engine."""
        name = self.random_state.choice(sorted(self.fleet.engines_by_id))
        return self.fleet.engines_by_id[name]

    async def send(
        self, path: str, body: object, organisation: str, headers: dict[str, str]
    ) -> HttpAnswer | None:
        """Send a caller's request, again at another router if one is aborted."""
        key = ORGANISATION_KEYS_BY_ID[organisation]
        for _ in range(_REPEATS):
            router = self.choose_router()
            try:
                return await self.client.request_json(
                    router.router.caller_server.address,
                    "POST",
                    path,
                    body,
                    timeout=_TIMEOUT,
                    headers={"authorization": f"Bearer {key}", **headers},
                )
            except TransportError as error:
                if not router.is_aborted:
                    self.add_problem(f"no answer to {path}: {error}")
                    return None
                self.outcomes.answers_by_kind["repeated at another router"] += 1
                self._repeated_keys.add(headers.get("idempotency-key", ""))
        self.add_problem(f"no answer to {path} after {_REPEATS} tries")
        return None

    async def propose(
        self,
        proposal_id: str,
        base: int,
        changes: object,
        team: str,
        router: FleetRouter | None = None,
    ) -> HttpAnswer | None:
        """Send a proposal; None if there is no answer."""
        body = {
            "proposal_id": proposal_id,
            "base_revision": base,
            "changes": changes,
        }
        return await self._ask("POST", "/admin/proposals", team, body, router)

    async def read_section(self, heading: str) -> tuple[int, dict[str, str]] | None:
        """Return the revision and values of a section; None if not answered."""
        answer = await self._ask("GET", f"/admin/sections/{heading}", "tizas", None)
        if answer is None or answer.status != 200:
            return None
        fields = json.loads(answer.body)
        return fields["revision"], fields["values"]

    async def _ask(
        self,
        method: str,
        path: str,
        team: str,
        body: object,
        router: FleetRouter | None = None,
    ) -> HttpAnswer | None:
        router = router or self.choose_router()
        try:
            return await self.client.request(
                router.router.configuration_parts.server.address,
                method,
                path.replace(" ", "%20"),
                timeout=_TIMEOUT,
                body=json.dumps(body).encode(),
                headers={"authorization": f"Bearer {TEAM_KEYS_BY_ID[team]}"},
            )
        except TransportError as error:
            if not router.is_aborted:
                self.add_problem(f"no answer to {method} {path}: {error}")
            return None


def read_verdict(answer: HttpAnswer) -> str:
    """Return the verdict of a refusal."""
    return answer.headers_by_name.get("x-verdict", "")


def read_reason(answer: HttpAnswer) -> str:
    """Return the reason of a refusal."""
    return json.loads(answer.body)["error"]["reason"]
