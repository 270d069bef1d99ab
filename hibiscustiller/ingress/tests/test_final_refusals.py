"""Requests that a router cannot find in a configuration that may be outdated."""

import random
import sys
from dataclasses import replace
from datetime import timedelta

import curio

from hibiscustiller.discovery import StateCurrency
from hibiscustiller.ingress._final_refusals import FinalRefusals
from hibiscustiller.ingress.tests.fixtures import World
from hibiscustiller.platform import Revision
from hibiscustiller.utils import ManualClock, Refusal, RefusalReason, Verdict
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
NOT_FOUND = Refusal(RefusalReason.NOT_FOUND, Verdict.NOT_RUN, "no route")
TOO_LARGE = Refusal(RefusalReason.TOO_LARGE, Verdict.NOT_RUN, "too large")
CURRENT = StateCurrency(7, 7, 1 * SECOND, 2 * SECOND)


def name_next_version(gateway):
    """Let a gateway hear of a newer document than its own."""
    gateway.view.record_named_version(gateway.view.document.version + 1)


def put_next_document_in_force(gateway, prefix):
    """Put a newer document in force that has another route."""
    document = gateway.view.document
    route = replace(document.routes[-1], name="late", prefix=prefix)
    newer = replace(
        document, version=document.version + 1, routes=(route, *document.routes)
    )
    gateway.view.apply_document(newer, Revision(1000, 1))


def make_refusals(currency):
    """Return the decision for a state, whose clock stands still."""
    return FinalRefusals(lambda: currency, ManualClock(), random.Random(1))


async def test_a_router_that_is_behind_does_not_refuse_for_good():
    """Guards against DENIED: 404 and 401 by a configuration known to be outdated."""
    async with World() as world:
        assert (await world.request("/late/1")).status == 404
        name_next_version(world.gateway)
        for options in ({"path": "/late/1"}, {"path": "/stock/1", "key": "new-key"}):
            answer = await world.request(**options)
            assert answer.status == 503, answer
            assert 0 < float(answer.headers["retry-after"]) < 1
            assert answer.headers["x-verdict"] == "not-run"


async def test_a_limit_of_an_outdated_configuration_does_not_refuse_for_good():
    """Guards against 413 by a configuration known to be outdated."""
    async with World() as world:
        body = b"x" * (world.gateway.view.document.limits.max_body_bytes + 1)
        assert (await world.request("/stock/1", body=body)).status == 413
        name_next_version(world.gateway)
        assert (await world.request("/stock/1", body=body)).status == 503


async def test_a_request_waits_for_a_newer_configuration_that_is_on_its_way():
    """Guards against refusals while a change is being transferred."""
    async with World() as world:
        name_next_version(world.gateway)
        task = await curio.spawn(world.request, "/late/1")
        await curio.sleep(0.05)
        put_next_document_in_force(world.gateway, "/late/")
        assert (await task.join()).status == 200


async def test_wrong_paths_get_their_final_answer_at_once_from_a_current_router():
    """Guards against wrong requests that are held, or sent again by their callers."""
    async with World() as world:
        world.gateway.view.record_named_version(world.gateway.view.document.version)
        began_at = await curio.clock()
        answers = [await world.request("/none/1") for _ in range(20)]
        assert {answer.status for answer in answers} == {404}
        assert await curio.clock() - began_at < 1.0


async def test_a_flood_of_wrong_paths_does_not_wait_at_a_router_that_is_behind():
    """Guards against requests that pile up while a change is being transferred."""
    refusals = FinalRefusals(
        lambda: replace(CURRENT, named_version=8), SleepingClock(), random.Random(1)
    )
    tasks = [
        await curio.spawn(
            refusals.wait_for_newer, NOT_FOUND, refusals.get_deadline(10 * SECOND)
        )
        for _ in range(500)
    ]
    await curio.sleep(0)
    assert sum(not task.terminated for task in tasks) <= 64
    for task in tasks:
        await task.cancel()


class SleepingClock(ManualClock):
    """A clock whose sleeps do not end."""

    async def sleep(self, delay):
        await curio.sleep(1000)


def test_only_a_current_state_refuses_for_good():
    """Guards against final refusals by a state that may lack changes."""
    for currency, reason in (
        (CURRENT, RefusalReason.NOT_FOUND),
        (replace(CURRENT, named_version=8), RefusalReason.OUTDATED),
        (replace(CURRENT, age=3 * SECOND), RefusalReason.OUTDATED),
        (replace(CURRENT, age=None), RefusalReason.OUTDATED),
    ):
        assert make_refusals(currency).check(NOT_FOUND).reason is reason, currency
        assert make_refusals(currency).check(TOO_LARGE) is TOO_LARGE


async def test_a_request_waits_for_a_part_of_its_time_only():
    """Guards against requests held until their time is up."""
    clock = ManualClock()
    behind = replace(CURRENT, named_version=8)
    refusals = FinalRefusals(lambda: behind, clock, random.Random(1))
    until = refusals.get_deadline(0.8 * SECOND)
    assert not await refusals.wait_for_newer(NOT_FOUND, until)
    assert clock.monotonic() <= 0.24 * SECOND


async def test_a_series_of_changes_does_not_hold_a_request_until_its_time_is_up():
    """Guards against a wait that begins anew with each version of a series."""
    clock = ManualClock()

    def get_currency():
        # 12 changes a second; the newest is always named before it is in force.
        version = 1 + int(clock.monotonic() / timedelta(milliseconds=83))
        return replace(CURRENT, version=version, named_version=version + 1)

    refusals = FinalRefusals(get_currency, clock, random.Random(1))
    until = refusals.get_deadline(8 * SECOND)
    while await refusals.wait_for_newer(NOT_FOUND, until):
        pass
    assert clock.monotonic() <= 2 * SECOND


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
