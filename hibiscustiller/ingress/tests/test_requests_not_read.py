"""Proper requests that the HTTP server must not refuse before they are dispatched."""

import sys

from hibiscustiller.ingress.tests.fixtures import World
from hibiscustiller.utils._testing import collect_tests

UNUSUAL_TARGETS = (
    "/stock/%ff%fe",
    "/stock/a%00b",
    "/stock/a%0d%0ab",
    "/stock/100%",
    "/stock/a?b=%g1",
    "/stock/a?" + "&".join(["a=1"] * 200),
    "/stock//[::1",
)


async def test_unusual_targets_and_methods_reach_the_server_as_they_were_sent():
    """Guards against 400 for targets and methods that the router need not read."""
    async with World() as world:
        for server in world.plain:
            server.server.is_relay = True
        for target in UNUSUAL_TARGETS:
            answer = await world.request(target)
            assert answer.status == 200, (target, answer)
        received = [r for server in world.plain for r in server.requests]
        assert {r.target.decode() for r in received} == set(UNUSUAL_TARGETS)
        for method in ("PROPFIND", "BREW"):
            answer = await world.request("/stock/1", method=method)
            assert answer.status == 200, (method, answer)
        assert (await world.request("a:1", method="CONNECT")).status == 400


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
