"""Proper requests that the HTTP server must not refuse before they are dispatched."""

import sys
from dataclasses import replace

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


async def test_targets_in_absolute_form_find_their_route():
    """Guards against 404 for a form that servers must accept."""
    async with World() as world:
        answer = await world.request("http://router.example/stock/1?a=1")
        assert answer.status == 200, answer
        assert (await world.request("http://router.example")).status == 404


OVERSIZED = (
    ({"body": b"a" * 2000}, 413),
    ({"headers": [("x-long", "a" * 20000)]}, 431),
)


def lower_limits(server):
    server.limits = replace(server.limits, max_body_bytes=1000)


async def test_limits_that_may_be_outdated_do_not_refuse_for_good():
    """Guards against 413 and 431 by a document that may not be the newest one."""
    async with World() as world:
        lower_limits(world.gateway.front)
        for options, status in OVERSIZED:
            answer = await world.request("/stock/1", **options)
            assert answer.status == status, answer
        world.gateway._listeners.is_document_current = lambda: False
        for options, _ in OVERSIZED:
            answer = await world.request("/stock/1", **options)
            assert answer.status == 503, answer
            assert 0 < float(answer.headers["retry-after"]) <= 1
            assert answer.headers["x-verdict"] == "not-run"


async def test_a_router_without_a_document_does_not_refuse_large_requests_for_good():
    """Guards against 413 and 431 by default limits, before any document is known."""
    async with World() as world:
        listeners = world.gateway._listeners
        listeners._client_limits = None
        listeners._apply()
        lower_limits(world.gateway.front)
        for options, _ in OVERSIZED:
            answer = await world.request("/stock/1", **options)
            assert answer.status == 503, answer


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
