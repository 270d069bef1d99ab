"""Requests that are under way while servers leave."""

import sys

import curio

from hibiscustiller.ingress.tests.fixtures import World, make_document
from hibiscustiller.utils._testing import collect_tests

# The platform's drain time, after which a server that left must get no requests.
DRAIN_S = 2.0


def make_patient_document():
    """Return a document in which a request waits long for the head of an answer."""
    document = make_document(version=2)
    for route in document["routes"]:
        if route["name"] == "stock":
            route.update(timeout_ms=3500, target_latency_ms=4000)
    return document


async def test_a_repeat_does_not_go_to_a_server_that_left_since_the_request_came():
    """Guards against DRAIN: the servers were listed once, at a request's start."""
    async with World((), ()) as world:
        world.store.put("op/config", make_patient_document())
        await world.wait_until(lambda: world.gateway.view.document.version == 2)
        for server in world.plain:
            server.behave = "silent"
        request = await curio.spawn(world.request, "/stock/1", daemon=True)
        await world.wait_until(lambda: any(s.requests for s in world.plain))
        (other,) = [server for server in world.plain if not server.requests]
        world.store.delete(f"servers/{other.id}")
        answer = await request.join()
        assert answer.status in (502, 504), answer
        # The first server did not answer for longer than the drain time.
        assert other.requests == []


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
