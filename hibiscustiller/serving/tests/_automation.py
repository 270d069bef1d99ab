"""Automation that edits the document while faults happen.

Each accepted proposal adds one to the same number, so that the sum shows whether any
was lost or applied twice.
"""

from __future__ import annotations

import json
from datetime import timedelta

from hibiscustiller.serving.tests._world import World, read_reason, read_verdict
from hibiscustiller.wire import HttpAnswer

COUNTED_SECTION = "organisation greens"
_COUNTED_KEY = "weight"
_TEAM = "tizas"
_TRIES = 200
_PAUSE = timedelta(milliseconds=100)
_REPEAT_CHANCE = 0.3


class Automation:
    """Programs that edit one section at all routers.

    :param world: the fleet.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.revisions_by_proposal: dict[str, int] = {}
        self._sent = 0

    async def edit(self) -> None:
        """Add one, with a new proposal after each refusal."""
        for _ in range(_TRIES):
            read = await self._world.read_section(COUNTED_SECTION)
            if read is not None and await self._propose(*read):
                return
            await self._pause()
        self._world.add_problem("an edit was not accepted in all its tries")

    async def _propose(self, base: int, values: dict[str, str]) -> bool:
        """Send one proposal until its outcome is definite.

        :returns: whether it was applied.
        """
        self._sent += 1
        proposal_id = f"edit-{self._sent}"
        value = f"{float(values[_COUNTED_KEY]) + 1:g}"
        changes = {COUNTED_SECTION: {_COUNTED_KEY: value}}
        is_doubtful = False
        for _ in range(_TRIES):
            answer = await self._world.propose(proposal_id, base, changes, _TEAM)
            if answer is not None and answer.status == 200:
                self._note_applied(proposal_id, answer)
                if self._world.random_state.random() >= _REPEAT_CHANCE:
                    return True
                await self._repeat(proposal_id, base, changes)
                return True
            if answer is None or read_verdict(answer) != "not-run":
                is_doubtful = True
            elif not is_doubtful or read_reason(answer) == "conflict":
                self._world.outcomes.answers_by_kind["edit refused"] += 1
                return False
            await self._pause()
        self._world.add_problem(f"{proposal_id} got no definite answer")
        return False

    async def _repeat(self, proposal_id: str, base: int, changes: object) -> None:
        answer = await self._world.propose(proposal_id, base, changes, _TEAM)
        if answer is not None and answer.status == 200:
            self._note_applied(proposal_id, answer)
        elif answer is not None and read_reason(answer) == "conflict":
            self._world.add_problem(f"{proposal_id} was applied and not recognised")

    def _note_applied(self, proposal_id: str, answer: HttpAnswer) -> None:
        revision = json.loads(answer.body)["revision"]
        known = self.revisions_by_proposal.setdefault(proposal_id, revision)
        if known != revision:
            self._world.add_problem(
                f"{proposal_id} was applied at {known} and at {revision}"
            )

    async def _pause(self) -> None:
        await self._world.clock.sleep(
            _PAUSE * (0.5 + self._world.random_state.random())
        )

    def check_applied_once(self, weight: float) -> None:
        """Check that the number counts each accepted proposal once."""
        applied = len(self.revisions_by_proposal)
        if weight != 1 + applied:
            self._world.add_problem(
                f"{applied} edits were accepted, but the number is {weight:g}"
            )
        if len(set(self.revisions_by_proposal.values())) != applied:
            self._world.add_problem("two edits were accepted at one revision")
