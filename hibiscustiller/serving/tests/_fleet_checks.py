"""Checks of the whole fleet from the outside."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta
from itertools import pairwise

from hibiscustiller.configuration._head import HEAD_KEY, decode_head
from hibiscustiller.serving.tests._automation import COUNTED_SECTION, Automation
from hibiscustiller.serving.tests._routers import FleetRouter, wait_for
from hibiscustiller.serving.tests._world import World
from hibiscustiller.standins import EngineStandin

# Watchers find a restored store within 1.5 times 30 s, the others poll in 45 s.
_AGREEMENT_LIMIT = timedelta(seconds=70)
# A term of 10 s ends, candidates ask each 3 s, and the holder reconciles each 5 s.
_ENGINES_LIMIT = timedelta(seconds=30)


class FleetChecks:
    """Checks that hold for every run.

    :param world: the fleet.
    :param automation: the programs that edited the document.
    """

    def __init__(self, world: World, automation: Automation) -> None:
        self._world = world
        self._automation = automation

    async def check_end(self) -> None:
        """Wait until the fleet agrees, then check it."""
        if not await wait_for(self._is_agreed, _AGREEMENT_LIMIT):
            self._world.add_problem(f"no agreement: {list(self._list_points())}")
        if not await wait_for(self._do_engines_match, _ENGINES_LIMIT):
            wrong = [e.options.server_id for e in self._list_unmatched()]
            self._world.add_problem(f"engines differ from the document: {wrong}")
        self._check_revisions()
        self._check_history()
        self._check_fences()

    def _list_points(self) -> Iterator[tuple[int, str]]:
        for router in self._world.routers:
            configuration = router.router.configuration
            yield configuration.revision, configuration.digest

    def _is_agreed(self) -> bool:
        return len(set(self._list_points())) == 1

    def _do_engines_match(self) -> bool:
        return not any(self._list_unmatched())

    def _list_unmatched(self) -> Iterator[EngineStandin]:
        config = self._world.routers[0].router.configuration.config
        for server in config.servers_by_id.values():
            engine = self._world.fleet.engines_by_id[server.name]
            model = config.models_by_name[server.model]
            held = (engine.model, engine.version, engine.role)
            if held != (server.model, model.version, server.role):
                yield engine

    def _check_revisions(self) -> None:
        for router in self._world.all_routers:
            if any(b <= a for a, b in pairwise(router.revisions)):
                self._world.add_problem(
                    f"revisions at {router.name} did not rise: {router.revisions}"
                )

    def _check_history(self) -> None:
        """Compare the document in force with the store's and with accepted edits."""
        router = self._world.routers[0]
        current = router.router.configuration
        weight = current.sections[COUNTED_SECTION]["weight"]
        self._automation.check_applied_once(float(weight))
        head = decode_head(self._world.fleet.platform.read_value(HEAD_KEY))
        if (head.revision, head.digest) != (current.revision, current.digest):
            self._world.add_problem(
                f"the store holds revision {head.revision}, the routers"
                f" {current.revision}"
            )

    def _check_fences(self) -> None:
        for name, engine in self._world.fleet.engines_by_id.items():
            fences = [int(order["fence"]) for order in engine.orders]
            if engine.options.checks_fence and fences != sorted(fences):
                self._world.add_problem(f"{name} applied an old fence: {fences}")

    def find_holder(self) -> FleetRouter | None:
        """Return the router that holds the control lease."""
        for router in self._world.routers:
            if router.router.control_plane.holder.fence is not None:
                return router
        return None
