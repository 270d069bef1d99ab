"""Randomised runs of several routers under faults, checked from the outside.

Invariants inside the program are asserted as everywhere; here every answer is checked
against the reference and every refusal against what the stand-ins saw.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio

from hibiscustiller.serving.tests._automation import Automation
from hibiscustiller.serving.tests._fleet_checks import FleetChecks
from hibiscustiller.serving.tests._fleet_faults import FleetFaults
from hibiscustiller.serving.tests._part_faults import PartFaults
from hibiscustiller.serving.tests._world import (
    Outcomes,
    World,
    read_reason,
    read_verdict,
)
from hibiscustiller.standins import (
    MODEL,
    MODEL_LAYERS,
    ORGANISATION_KEYS_BY_ID,
    compute_answer,
)
from hibiscustiller.utils import violations_by_name
from hibiscustiller.wire import HttpAnswer

_MAX_TOKENS = 20
_EDITS = 3
# After an outage the store's clients pause for up to 3 s.
_RECOVERY_TRIES = 100
_RECOVERY_PAUSE = timedelta(milliseconds=100)
_RECOVERY_NUMBER = 1_000_000


class Scenario:
    """One randomised run.

    :param seed: decides requests, faults and their order.
    :param fault_names: faults to choose from; names of :meth:`list_faults`.
    """

    def __init__(self, seed: int, fault_names: tuple[str, ...]) -> None:
        self._fault_names = fault_names
        self.world = World(seed)
        self._random_state = self.world.random_state
        self._automation = Automation(self.world)
        self._checks = FleetChecks(self.world, self._automation)
        self._part_faults = PartFaults(self.world)
        self._fleet_faults = FleetFaults(
            self.world, self._automation, self.complete, self._checks
        )
        self._order_answers_by_key: dict[str, list[HttpAnswer]] = {}

    @property
    def outcomes(self) -> Outcomes:
        """What callers got."""
        return self.world.outcomes

    async def run(self, requests: int, fault_rounds: int) -> Outcomes:
        """Run requests beside faults, then check everything.

        :param requests: completions and as many calls to the booking service.
        :param fault_rounds: rounds of one or two faults at once.
        """
        violations_before = sum(violations_by_name.values())
        await self.world.start()
        faults = await curio.spawn(self._cause_faults, fault_rounds)
        edits = await curio.spawn(self._edit)
        number = 0
        async with curio.TaskGroup() as group:
            # Longer faults get more requests, so that all of each fault is observed.
            while number < requests or not faults.terminated:
                await group.spawn(self.complete, number)
                await group.spawn(self._order, number)
                number += 1
                pause = 0.02 if number < requests else 0.3
                await curio.sleep(self._random_state.random() * pause)
        await faults.join()
        await edits.join()
        await self._await_recovery()
        self._check_bookings()
        await self._checks.check_end()
        if sum(violations_by_name.values()) != violations_before:
            self.world.add_problem(f"invariants broken: {violations_by_name}")
        await self.world.close()
        return self.outcomes

    def list_faults(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return what causes each fault and ends it, by name."""
        return {
            **self._part_faults.list_faults(),
            **self._fleet_faults.list_faults(),
        }

    async def _cause_faults(self, rounds: int) -> None:
        faults_by_name = self.list_faults()
        for _ in range(rounds):
            count = self._random_state.choice((1, 2))
            names = self._random_state.sample(
                self._fault_names, min(count, len(self._fault_names))
            )
            async with curio.TaskGroup() as group:
                for name in names:
                    await group.spawn(faults_by_name[name])
            await curio.sleep(self._random_state.random() * 0.1)

    async def _edit(self) -> None:
        for _ in range(_EDITS):
            await self._automation.edit()
            await curio.sleep(self._random_state.random() * 0.3)

    async def complete(
        self,
        number: int,
        organisation: str | None = None,
        max_tokens: int = _MAX_TOKENS,
    ) -> None:
        """Ask for a completion and check its answer."""
        prompt = f"request {number}"
        max_tokens = self._random_state.randint(1, max_tokens)
        if organisation is None:
            organisation = self._random_state.choice(sorted(ORGANISATION_KEYS_BY_ID))
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        answer = await self.world.send("/v1/completions", body, organisation, {})
        if answer is None:
            return
        if answer.status == 200:
            expected = compute_answer(MODEL, "1", MODEL_LAYERS, prompt, max_tokens)
            text = json.loads(answer.body)["choices"][0]["text"]
            if text.split() != expected:
                self.world.add_problem(f"wrong answer to {prompt}: {text}")
            self.outcomes.answers_by_kind["completed"] += 1
            return
        self._note_refusal(answer)
        request_id = answer.headers_by_name["x-request-id"]
        if read_verdict(answer) == "not-run" and self._has_started(request_id):
            self.world.add_problem(f"{prompt} ran although refused as not-run")
        if read_reason(answer) == "quarantined" and self._is_quarantine_wrong():
            self.world.add_problem(f"{prompt} was quarantined without a reason")

    def _is_quarantine_wrong(self) -> bool:
        # Engines that die by chance can make an innocent request a culprit.
        return not {"stage-death", "silent-engine"} & set(self._fault_names)

    async def _await_recovery(self) -> None:
        """Check that orders and completions are accepted again after the faults."""
        for kind, send in (("completed", self.complete), ("booked", self._order)):
            before = self._count_successes(kind)
            for number in range(_RECOVERY_TRIES):
                await send(_RECOVERY_NUMBER + number)
                if self._count_successes(kind) > before:
                    break
                await self.world.clock.sleep(_RECOVERY_PAUSE)
            else:
                self.world.add_problem(f"not {kind} after the faults")

    def _count_successes(self, kind: str) -> int:
        if kind == "completed":
            return self.outcomes.answers_by_kind[kind]
        return sum(len(booking.bookings) for booking in self.world.fleet.bookings)

    def _has_started(self, request_id: str) -> bool:
        return any(
            request_id in engine.started_streams
            for engine in self.world.fleet.engines_by_id.values()
        )

    async def _order(self, number: int) -> None:
        key = f"order-{number}"
        answers = self._order_answers_by_key.setdefault(key, [])
        for _ in range(self._random_state.randint(1, 3)):
            answer = await self.world.send(
                "/v1/services/booking/bookings",
                {"order": key, "quantity": 1},
                "greens",
                {"idempotency-key": key},
            )
            if answer is not None:
                answers.append(answer)
                if answer.status != 201:
                    self._note_refusal(answer)

    def _note_refusal(self, answer: HttpAnswer) -> None:
        kind = f"{read_reason(answer)}/{read_verdict(answer)}"
        self.outcomes.answers_by_kind[kind] += 1

    def _check_bookings(self) -> None:
        counts = Counter(
            order["order"]
            for booking in self.world.fleet.bookings
            for order in booking.bookings
        )
        for key, answers in self._order_answers_by_key.items():
            booked = counts[key]
            bodies = {answer.body for answer in answers if answer.status == 201}
            verdicts = {read_verdict(a) for a in answers if a.status != 201}
            if booked > 1:
                self.world.add_problem(f"{key} was booked {booked} times")
            if len(bodies) > 1:
                self.world.add_problem(f"{key} got different answers")
            if bodies and not booked:
                self.world.add_problem(f"{key} was confirmed but not booked")
            # An attempt that ended with its router got no answer that could be wrong.
            is_denied = verdicts == {"not-run"} and not self.world.is_repeated(key)
            if booked and not bodies and is_denied:
                self.world.add_problem(f"{key} ran although always not-run")
            self.outcomes.answers_by_kind["booked"] += booked
