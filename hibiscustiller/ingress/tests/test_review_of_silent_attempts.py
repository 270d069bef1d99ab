"""Attempts beside a silent one that are not ended, not counted or not replaced."""

import sys

import curio

from hibiscustiller.ingress.tests.test_silent_plain_servers import (
    TIMEOUT_MS,
    PlainWorld,
)
from hibiscustiller.utils._testing import collect_tests

# Time that an answer may take beyond the route's time-out.
MARGIN_S = 0.7


async def test_plain_requests_end_with_their_timeout_without_a_retry_budget():
    """Guards against callers that get no answer after the time-out of their request."""
    async with PlainWorld(retry_slack=0.0) as world:
        for plain in world.plain:
            plain.is_silent = True
        tasks = await world.start_requests(4)
        await curio.sleep(TIMEOUT_MS / 1000 + MARGIN_S)
        ended = [task.terminated for task in tasks]
        for plain in world.plain:
            plain.is_silent = False
        for task in tasks:
            await task.cancel()
        assert all(ended), ended


async def test_a_failed_silent_attempt_ends_a_request_without_a_retry_budget():
    """Guards against requests that search on after their only attempt has failed."""
    async with PlainWorld(retry_slack=0.0) as world:
        for plain in world.plain:
            plain.is_silent = True
        tasks = await world.start_requests(4)
        await curio.sleep(0.5)
        for plain in world.plain:
            await plain.server.close()
        await curio.sleep(1.0)
        ended = [task.terminated for task in tasks]
        for task in tasks:
            await task.cancel()
        assert all(ended), ended


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
