"""Routers with peers, backend states and engine control in one process."""

import random
import sys
from datetime import timedelta

from hibiscustiller.membership.tests._meshes import wait_until
from hibiscustiller.serving import Router
from hibiscustiller.standins import (
    MODEL,
    ORGANISATION_KEYS_BY_ID,
    make_standin_settings,
    start_fleet,
)
from hibiscustiller.utils import Metrics, Revision, SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

CLOCK = SystemClock()


async def start_router(name, fleet, seeds=()):
    settings = make_standin_settings(
        fleet.platform.address, router_id=name, seeds=seeds, shared_key="secret"
    )
    router = Router(settings, CLOCK, random.Random(name), Metrics())
    router.install_document(fleet.document, Revision(1))
    await router.start()
    return router


def count_members(router):
    return len(router.control_plane.transport.list_members())


async def complete(client, router):
    body = {"model": MODEL, "prompt": "a b", "max_tokens": 2}
    key = ORGANISATION_KEYS_BY_ID["greens"]
    answer = await client.request_json(
        router.caller_server.address,
        "POST",
        "/v1/completions",
        body,
        timeout=timedelta(seconds=10),
        headers={"authorization": f"Bearer {key}"},
    )
    return answer.status


async def test_leaving_router_hands_over_lease_and_place():
    """Guards against engines without control after a graceful shutdown (R6)."""
    fleet = await start_fleet(CLOCK)
    first = await start_router("one", fleet)
    address = first.control_plane.mesh.self_member.address
    second = await start_router("two", fleet, [address])
    routers = [first, second]
    await wait_until(lambda: all(count_members(r) == 2 for r in routers))
    holders = lambda: [r for r in routers if r.control_plane.holder.fence is not None]
    await wait_until(lambda: len(holders()) == 1)
    holder = holders()[0]
    other = second if holder is first else first
    fence = holder.control_plane.holder.fence
    await holder.stop()
    await wait_until(lambda: count_members(other) == 1)
    await wait_until(lambda: other.control_plane.holder.fence is not None)
    assert other.control_plane.holder.fence > fence
    await other.stop()
    assert "control/holder" not in fleet.platform.list_keys()
    await fleet.close()


async def test_holder_brings_engines_in_line():
    """Guards against a document that changes versions and nobody tells the engines."""
    fleet = await start_fleet(CLOCK)
    engine = fleet.engines_by_id["engine-0-0"]
    engine.role = "prefill"
    router = await start_router("one", fleet)
    await wait_until(lambda: engine.role == "mixed")
    assert engine.orders[0]["fence"] == router.control_plane.holder.fence
    await router.stop()
    await fleet.close()


async def test_leaving_engines_get_no_new_streams():
    """Guards against new work for servers that announce their departure (R5)."""
    fleet = await start_fleet(CLOCK, replicas=2)
    router = await start_router("one", fleet)
    client = HttpClient(CLOCK)
    leaving = [fleet.engines_by_id[f"engine-0-{stage}"] for stage in (0, 1)]
    for engine in leaving:
        engine.is_leaving = True
    backends = router.control_plane.backends
    names = [engine.options.server_id for engine in leaving]
    await wait_until(lambda: not any(backends.is_usable(name) for name in names))
    before = [e.calls_by_path["POST /v1/streams"] for e in leaving]
    for _ in range(5):
        assert await complete(client, router) == 200
    assert [e.calls_by_path["POST /v1/streams"] for e in leaving] == before
    await client.close()
    await router.stop()
    await fleet.close()


async def test_router_without_shared_key_is_alone():
    """Guards against an open port for peers that nobody authenticates."""
    fleet = await start_fleet(CLOCK, replicas=1)
    settings = make_standin_settings(fleet.platform.address)
    router = Router(settings, CLOCK, random.Random(1), Metrics())
    router.install_document(fleet.document, Revision(1))
    await router.start()
    assert router.control_plane.mesh is None
    assert count_members(router) == 1
    await router.stop()
    await fleet.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
