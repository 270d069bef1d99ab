"""Randomised runs of several routers under faults, checked from the outside.

Invariants inside the program are asserted as everywhere; here every answer is checked
against the reference and every refusal against what the stand-ins saw.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import curio

from hibiscustiller.cli._demo import make_demo_settings
from hibiscustiller.exceptions import TransportError
from hibiscustiller.serving import Router
from hibiscustiller.standins import (
    MODEL,
    MODEL_LAYERS,
    ORGANISATION_KEYS_BY_ID,
    EngineStandin,
    Fleet,
    compute_answer,
    start_fleet,
)
from hibiscustiller.utils import Metrics, Revision, SystemClock, violations_by_name
from hibiscustiller.wire import HttpAnswer, HttpClient

_TIMEOUT = timedelta(seconds=30)
_ROUTERS = 3
_FAULT_TIME = timedelta(milliseconds=300)
_MAX_TOKENS = 20
# After an outage the store's clients pause for up to 3 s.
_RECOVERY_TRIES = 100
_RECOVERY_PAUSE = timedelta(milliseconds=100)
_RECOVERY_NUMBER = 1_000_000


@dataclass
class Outcomes:
    """What callers got.

    :param problems: one line for each broken promise; empty when all is well.
    """

    answers_by_kind: Counter[str] = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)


class Scenario:
    """One randomised run.

    :param seed: decides requests, faults and their order.
    :param fault_names: faults to choose from; names of :meth:`list_faults`.
    """

    def __init__(self, seed: int, fault_names: tuple[str, ...]) -> None:
        self._random_state = random.Random(seed)
        self._fault_names = fault_names
        self._clock = SystemClock()
        self._client = HttpClient(self._clock)
        self.outcomes = Outcomes()
        self._fleet: Fleet
        self._routers: list[Router] = []
        self._order_answers_by_key: dict[str, list[HttpAnswer]] = {}

    async def run(self, requests: int, fault_rounds: int) -> Outcomes:
        """Run requests beside faults, then check everything.

        :param requests: completions and as many calls to the booking service.
        :param fault_rounds: rounds of one or two faults at once.
        """
        violations_before = sum(violations_by_name.values())
        await self._start()
        faults = await curio.spawn(self._cause_faults, fault_rounds)
        async with curio.TaskGroup() as group:
            for number in range(requests):
                await group.spawn(self._complete, number)
                await group.spawn(self._order, number)
                await curio.sleep(self._random_state.random() * 0.02)
        await faults.join()
        await self._await_recovery()
        self._check_bookings()
        if sum(violations_by_name.values()) != violations_before:
            self.outcomes.problems.append(f"invariants broken: {violations_by_name}")
        await self._close()
        return self.outcomes

    def list_faults(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return what causes each fault and ends it, by name."""
        return {
            "stage-death": self._kill_engine,
            "silent-engine": self._silence_engine,
            "slow-engine": self._slow_engine,
            "refusing-engine": self._refuse_at_engine,
            "reordered-frames": self._disturb_frames,
            "store-down": self._stop_store,
            "store-slow": self._slow_store,
            "store-answer-lost": self._lose_store_answers,
            "booking-dies": self._drop_bookings,
        }

    async def _start(self) -> None:
        self._fleet = await start_fleet(self._clock)
        for number in range(_ROUTERS):
            settings = make_demo_settings(self._fleet.platform.address)
            router = Router(settings, self._clock, random.Random(number), Metrics())
            router.install_document(self._fleet.document, Revision(1))
            await router.start()
            self._routers.append(router)

    async def _close(self) -> None:
        await self._client.close()
        for router in self._routers:
            await router.stop()
        await self._fleet.close()

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

    async def _send(
        self, path: str, body: object, organisation: str, headers: dict[str, str]
    ) -> HttpAnswer | None:
        router = self._random_state.choice(self._routers)
        key = ORGANISATION_KEYS_BY_ID[organisation]
        try:
            return await self._client.request_json(
                router.caller_server.address,
                "POST",
                path,
                body,
                timeout=_TIMEOUT,
                headers={"authorization": f"Bearer {key}", **headers},
            )
        except TransportError as error:
            self.outcomes.problems.append(f"no answer to {path}: {error}")
            return None

    async def _complete(self, number: int) -> None:
        prompt = f"request {number}"
        max_tokens = self._random_state.randint(1, _MAX_TOKENS)
        organisation = self._random_state.choice(sorted(ORGANISATION_KEYS_BY_ID))
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        answer = await self._send("/v1/completions", body, organisation, {})
        if answer is None:
            return
        if answer.status == 200:
            expected = compute_answer(MODEL, "1", MODEL_LAYERS, prompt, max_tokens)
            text = json.loads(answer.body)["choices"][0]["text"]
            if text.split() != expected:
                self.outcomes.problems.append(f"wrong answer to {prompt}: {text}")
            self.outcomes.answers_by_kind["completed"] += 1
            return
        self._note_refusal(answer)
        request_id = answer.headers_by_name["x-request-id"]
        if _read_verdict(answer) == "not-run" and self._has_started(request_id):
            self.outcomes.problems.append(f"{prompt} ran although refused as not-run")

    async def _await_recovery(self) -> None:
        """Check that orders and completions are accepted again after the faults."""
        for kind, send in (("completed", self._complete), ("booked", self._order)):
            before = self._count_successes(kind)
            for number in range(_RECOVERY_TRIES):
                await send(_RECOVERY_NUMBER + number)
                if self._count_successes(kind) > before:
                    break
                await self._clock.sleep(_RECOVERY_PAUSE)
            else:
                self.outcomes.problems.append(f"not {kind} after the faults")

    def _count_successes(self, kind: str) -> int:
        if kind == "completed":
            return self.outcomes.answers_by_kind[kind]
        return sum(len(booking.bookings) for booking in self._fleet.bookings)

    def _has_started(self, request_id: str) -> bool:
        return any(
            request_id in engine.started_streams
            for engine in self._fleet.engines_by_id.values()
        )

    async def _order(self, number: int) -> None:
        key = f"order-{number}"
        answers = self._order_answers_by_key.setdefault(key, [])
        for _ in range(self._random_state.randint(1, 3)):
            answer = await self._send(
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
        reason = json.loads(answer.body)["error"]["reason"]
        kind = f"{reason}/{_read_verdict(answer)}"
        self.outcomes.answers_by_kind[kind] += 1

    def _check_bookings(self) -> None:
        counts = Counter(
            order["order"]
            for booking in self._fleet.bookings
            for order in booking.bookings
        )
        for key, answers in self._order_answers_by_key.items():
            booked = counts[key]
            bodies = {answer.body for answer in answers if answer.status == 201}
            verdicts = {_read_verdict(a) for a in answers if a.status != 201}
            if booked > 1:
                self.outcomes.problems.append(f"{key} was booked {booked} times")
            if len(bodies) > 1:
                self.outcomes.problems.append(f"{key} got different answers")
            if bodies and not booked:
                self.outcomes.problems.append(f"{key} was confirmed but not booked")
            if booked and not bodies and verdicts == {"not-run"}:
                self.outcomes.problems.append(f"{key} ran although always not-run")
            self.outcomes.answers_by_kind["booked"] += booked

    def _choose_engine(self) -> EngineStandin:
        name = self._random_state.choice(sorted(self._fleet.engines_by_id))
        return self._fleet.engines_by_id[name]

    async def _kill_engine(self) -> None:
        engine = self._choose_engine()
        if engine.is_crashed:
            return
        await engine.crash()
        await self._clock.sleep(_FAULT_TIME)
        await engine.start()

    async def _silence_engine(self) -> None:
        engine = self._choose_engine()
        engine.faults.is_silent = True
        # Longer than the next-byte timeout, so that the silence must be noticed.
        await self._clock.sleep(_FAULT_TIME * 5)
        engine.faults.is_silent = False

    async def _slow_engine(self) -> None:
        engine = self._choose_engine()
        engine.faults.slowdown = 20.0
        await self._clock.sleep(_FAULT_TIME)
        engine.faults.slowdown = 1.0

    async def _refuse_at_engine(self) -> None:
        engine = self._choose_engine()
        engine.faults.refuses = True
        await self._clock.sleep(_FAULT_TIME)
        engine.faults.refuses = False

    async def _disturb_frames(self) -> None:
        engine = self._choose_engine()
        engine.faults.duplicates_frames = True
        engine.faults.stale_frames = True
        await self._clock.sleep(_FAULT_TIME)
        engine.faults.duplicates_frames = False
        engine.faults.stale_frames = False

    async def _stop_store(self) -> None:
        self._fleet.platform.faults.is_down = True
        await self._clock.sleep(_FAULT_TIME)
        self._fleet.platform.faults.is_down = False

    async def _slow_store(self) -> None:
        self._fleet.platform.faults.delay = timedelta(milliseconds=100)
        await self._clock.sleep(_FAULT_TIME)
        self._fleet.platform.faults.delay = timedelta(0)

    async def _lose_store_answers(self) -> None:
        self._fleet.platform.faults.lost_answers = 3
        await self._clock.sleep(_FAULT_TIME)
        self._fleet.platform.faults.lost_answers = 0

    async def _drop_bookings(self) -> None:
        booking = self._random_state.choice(self._fleet.bookings)
        fault = self._random_state.choice(("drops_before", "drops_after"))
        setattr(booking.faults, fault, True)
        await self._clock.sleep(_FAULT_TIME)
        setattr(booking.faults, fault, False)


def _read_verdict(answer: HttpAnswer) -> str:
    return answer.headers_by_name.get("x-verdict", "")
