"""Streams that lose their place, to a lost engine or to an urgent request.

A single router, or two of them, allocate places as the routers of a large fleet do.
"""

import sys
from contextlib import asynccontextmanager
from datetime import timedelta
from unittest.mock import patch

import curio

from hibiscustiller.fleet import IngressRoute
from hibiscustiller.ingress._patience import compute_replacement_wait
from hibiscustiller.ingress.tests.fixtures import make_document
from hibiscustiller.ingress.tests.test_silent_engines import (
    CALLER_PATIENCE_S,
    SilentWorld,
    check_streams,
    check_whole,
)
from hibiscustiller.layers import _place_client
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
# Streams of the usual size that an engine of the tests' configuration has slots for.
ROOM = 8
# An answer of 50 events of one token, of which half are left after 1 s.
LONG = [("token-usage", "10,50"), ("length-hint", "50")]
# A request that is worth a repeat of such a stream.
URGENT = [("token-usage", "400,20")]


@asynccontextmanager
async def start_world(engine_count, **options):
    """Start a router that allocates the places of engines, with two classes."""
    with patch.object(_place_client, "MAX_ROUTERS_WITH_FRESH_REPORTS", 0):
        async with SilentWorld(engine_count, ROOM, **options) as world:
            document = make_document(2)
            chat = next(r for r in document["routes"] if r["name"] == "chat")
            night = {"name": "night", "prefix": "/night/", "priority": 2}
            document["routes"].append({**chat, **night})
            world.store.put("op/config", document)
            await world.wait_until(lambda: world.gateway.view.document.version == 2)
            yield world


def list_attempts(world):
    forwarder = world.gateway.models.forwarders_by_service["engines"]
    return list(forwarder.services.open_attempts._attempts)


def recall(world):
    """Recall the places of all streams, as an allocator does."""
    for attempt in list_attempts(world):
        attempt.grant.on_recall()


def test_a_wait_leaves_the_caller_time_for_the_prompt():
    """Guards against streams that wait for a place until their callers leave."""
    route = IngressRoute.__new__(IngressRoute)
    object.__setattr__(route, "target_latency", SECOND)
    object.__setattr__(route, "target_gap", None)
    assert compute_replacement_wait(route, SECOND / 2, 20 * SECOND) == 1.5 * SECOND
    assert compute_replacement_wait(route, 3 * SECOND, 20 * SECOND) == 0 * SECOND
    assert compute_replacement_wait(route, 0 * SECOND, SECOND) == SECOND / 2
    assert compute_replacement_wait(route, 0 * SECOND, -SECOND) == 0 * SECOND


async def test_streams_of_a_lost_engine_wait_for_places_at_the_full_one():
    """Guards against streams that a full engine rejects, and that are cut then."""
    async with start_world(2) as world:
        tasks = await world.start_streams(8)
        await curio.sleep(0.7)
        tasks += await world.start_streams(4)
        lost, other = world.engines
        displaced_count = lost.running_count
        arrival_count = other.arrival_count
        assert displaced_count > ROOM - other.running_count
        await lost.die()
        gaps = await check_streams(tasks)
        assert max(gaps) < CALLER_PATIENCE_S, gaps
        # None was rejected.
        assert other.arrival_count == arrival_count + displaced_count


async def test_a_rejected_stream_waits_for_the_only_engine():
    """Guards against streams cut, or sent again and again, after a full engine."""
    async with start_world(1) as world:
        world.engines[0].faults.max_running = 4
        tasks = await world.start_streams(4)
        await curio.sleep(1.3)
        check_whole((await world.stream())[0])
        await check_streams(tasks)
        # One rejection; the next attempt comes when the other streams have ended.
        assert world.count_arrivals() == 6


async def test_a_recalled_stream_goes_on_with_every_event_once():
    """Guards against events that are lost or repeated when a stream yields."""
    async with start_world(2) as world:
        task = await curio.spawn(lambda: world.stream("/night/1", headers=LONG))
        await curio.sleep(1.2)
        recall(world)
        # A crash of the first engine from now on may be due to the closed attempt.
        await world.wait_until(lambda: world.gateway.describe()["unanswered_runs"])
        answer, gap = await task.join()
        check_whole(answer)
        assert not world.gateway.describe()["unanswered_runs"]
        assert gap < CALLER_PATIENCE_S / 2
        assert world.count_arrivals() == 2
        assert not world.gateway._load.get_own_use()


async def test_no_stream_yields_twice():
    """Guards against streams that read their prompt again and again."""
    async with start_world(2) as world:
        for engine in world.engines:
            engine._event_period_s = 0.06
        headers = [("token-usage", "10,200"), ("length-hint", "200")]
        task = await curio.spawn(lambda: world.stream("/night/1", headers=headers))
        for _ in range(2):
            await curio.sleep(1.2)
            recall(world)
        answer, _ = await task.join()
        check_whole(answer)
        assert world.count_arrivals() == 2


async def test_a_stream_goes_on_undisturbed_if_it_may_not_yield():
    """Guards against streams that are cut since a second run is not allowed."""
    short = [("token-usage", "10,20")]
    cases = [("/once/1", LONG, 1.2), ("/night/1", short, 1.2), ("/night/1", LONG, 0.3)]
    async with start_world(2) as world:
        for path, headers, after_s in cases:
            arrival_count = world.count_arrivals()
            task = await curio.spawn(
                lambda path=path, headers=headers: world.stream(path, headers=headers)
            )
            await curio.sleep(after_s)
            recall(world)
            answer, gap = await task.join()
            check_whole(answer)
            assert gap < 0.5
            assert world.count_arrivals() == arrival_count + 1
    async with start_world(2, retry_slack=0.0) as world:
        task = await curio.spawn(lambda: world.stream("/night/1", headers=LONG))
        await curio.sleep(1.2)
        recall(world)
        check_whole((await task.join())[0])
        assert world.count_arrivals() == 1


async def start_full_fleet(world):
    """Fill the engine with streams at a router that does not allocate its places.

    :returns: the allocator, the other router and the streams at it.
    """
    # As at a real engine, there is some room beyond the usual limit.
    world.engines[0].faults.max_running = ROOM + 1
    world.engines[0]._event_period_s = 0.06
    other = await world.start_other("router-2")
    gateways = [world.gateway, other]
    for gateway in gateways:
        await world.wait_until(
            lambda gateway=gateway: gateway.models.list_service_domains()
        )
    is_first = world.gateway.models.place_client.is_allocator("north")
    allocator, holder = gateways if is_first else gateways[::-1]
    tasks = []
    for _ in range(ROOM):
        tasks.append(
            await curio.spawn(lambda: world.request("/night/1", holder, headers=LONG))
        )
    return allocator, holder, tasks


async def test_an_urgent_request_gets_the_place_of_the_least_urgent_stream():
    """Guards against urgent requests refused while less urgent streams run on."""
    async with start_world(1) as world:
        allocator, holder, tasks = await start_full_fleet(world)
        await curio.sleep(1.2)
        held = holder.models.place_client.held_count
        assert held == ROOM, held
        urgent = await world.request("/chat/1", allocator, headers=URGENT)
        check_whole(urgent)
        for task in tasks:
            check_whole(await task.join())
        assert world.count_arrivals() == ROOM + 2


async def test_an_older_router_ignores_a_recall():
    """Guards against an allocator that counts on the place of an older router."""
    async with start_world(1) as world:
        allocator, holder, tasks = await start_full_fleet(world)

        async def ignore(router_id, address, message):
            pass

        holder._datagrams.register(_place_client.PlaceRecall, ignore)
        await curio.sleep(1.2)
        urgent = await world.request("/chat/1", allocator, headers=URGENT)
        assert urgent.status == 429
        for task in tasks:
            check_whole(await task.join())
        assert world.count_arrivals() == ROOM


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
