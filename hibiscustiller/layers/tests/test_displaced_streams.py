"""Begun streams that have lost their place and wait for another one."""

import random
import sys
from dataclasses import replace

import curio
from result import Ok

from hibiscustiller.layers import (
    Admission,
    EngineLoad,
    PipelineSelector,
    find_pipelines,
)
from hibiscustiller.layers.tests.fixtures import MS, SPEC
from hibiscustiller.layers.tests.test_places_of_a_large_fleet import (
    ENGINES,
    SECOND,
    Fleet,
    make_demand,
    request_and_hold,
)
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._messages_generated import PlaceRequest

NORTH_IDS = {engine.id for engine in ENGINES if engine.domain == "north"}
EAST_IDS = {engine.id for engine in ENGINES if engine.domain == "east"}
MAX_WAIT = 400 * MS


class Bench:
    """An admission to two pipelines that share no engine."""

    def __init__(self):
        self.clock = SystemClock()
        self.load = EngineLoad(self.clock)
        selector = PipelineSelector("north", self.load, self.clock)
        selector.set_pipelines(SPEC, find_pipelines(SPEC, ENGINES))
        self.admission = Admission(selector, self.load, self.clock, random.Random(1))
        self.grants = []
        while (grant := self.admission.try_admit(make_demand())) is not None:
            self.grants.append(grant)
        self.order = []

    async def displace(self, name, excluded=(), max_wait=5 * SECOND):
        """Let a begun stream wait; its name is noted when it has a place."""
        grant = await self.admission.wait_for_replacement(
            make_demand(9), excluded, max_wait
        )
        self.order.append(name)
        return grant

    async def admit(self, name):
        result = await self.admission.admit(make_demand(0, target=5000))
        self.order.append(name if isinstance(result, Ok) else f"{name} refused")

    async def release(self, engine_ids):
        """Release one place that uses some engines."""
        grant = next(g for g in self.grants if engine_ids & set(g.pipeline.server_ids))
        self.grants.remove(grant)
        await self.admission.release(grant)
        await curio.sleep(0.01)


async def spawn_in_order(*calls):
    tasks = []
    for call in calls:
        tasks.append(await curio.spawn(*call))
        await curio.sleep(0.01)
    return tasks


async def test_displaced_streams_precede_new_requests_in_order_of_arrival():
    """Guards against begun streams that leave while new requests take the places."""
    bench = Bench()
    await spawn_in_order(
        (bench.admit, "new"), (bench.displace, "first"), (bench.displace, "second")
    )
    assert bench.admission.try_admit(make_demand()) is None
    for _ in range(3):
        await bench.release(NORTH_IDS)
    assert bench.order == ["first", "second", "new"]


async def test_a_place_that_no_waiting_stream_may_use_goes_to_a_new_request():
    """Guards against free places that stay empty until the waits are over."""
    bench = Bench()
    tasks = await spawn_in_order(
        (bench.displace, "first", NORTH_IDS), (bench.displace, "second", NORTH_IDS)
    )
    assert bench.admission.try_admit(make_demand()) is None
    await bench.release(NORTH_IDS)
    assert bench.admission.try_admit(make_demand()) is not None
    await bench.release(EAST_IDS)
    assert bench.order == ["first"]
    await tasks[1].cancel()


async def test_small_requests_do_not_overtake_a_large_displaced_stream():
    """Guards against large streams that never find enough room at once."""
    bench = Bench()
    large = replace(make_demand(9), tokens=3 * SPEC.mean_held_tokens)
    wait = bench.admission.wait_for_replacement
    task = await curio.spawn(wait, large, EAST_IDS, 5 * SECOND)
    await curio.sleep(0.01)
    for _ in range(3):
        assert not task.terminated
        assert bench.admission.try_admit(make_demand()) is None
        assert bench.admission.try_replace(make_demand(), EAST_IDS) is None
        await bench.release(NORTH_IDS)
    assert set((await task.join()).pipeline.server_ids) == NORTH_IDS


async def test_a_wait_is_bounded_and_ends_beyond_the_limit():
    """Guards against streams that wait until their callers have left."""
    bench = Bench()
    started_at = bench.clock.monotonic()
    grant = await bench.displace("first", NORTH_IDS, MAX_WAIT)
    waited = bench.clock.monotonic() - started_at
    assert set(grant.pipeline.server_ids) == EAST_IDS
    assert MAX_WAIT <= waited < MAX_WAIT + 200 * MS
    assert await bench.displace("none", NORTH_IDS | EAST_IDS) is None


async def test_a_stream_whose_caller_leaves_makes_way():
    """Guards against places granted to streams that no caller reads."""
    bench = Bench()
    tasks = await spawn_in_order((bench.displace, "left"), (bench.displace, "stays"))
    await tasks[0].cancel()
    used = bench.load.get("north-0").entry_count
    await bench.release(NORTH_IDS)
    assert bench.order == ["stays"]
    assert bench.load.get("north-0").entry_count == used
    assert bench.admission.displaced_count == 0


async def fill(fleet):
    """Take all places of the fleet; return them with their holders."""
    held = []
    while True:
        member = fleet.members[len(held) % fleet.size]
        admitted = await member.admission.admit(make_demand(target=20))
        if not isinstance(admitted, Ok):
            return held
        held.append((member, admitted.ok_value))


async def displace(member, outcomes, max_wait=MAX_WAIT, excluded=frozenset(EAST_IDS)):
    """Let a stream of a router wait for a place in the north, and hold it."""
    clock = member.client._clock
    started_at = clock.monotonic()
    grant = await member.admission.find_replacement(
        make_demand(2), tuple(excluded), max_wait
    )
    outcomes.append((grant, clock.monotonic() - started_at))
    await curio.sleep(0.3)
    if grant is not None:
        await member.admission.release(grant)


async def release_north(held, count):
    """Release places in the north; return how many there were."""
    in_north = [h for h in held if h[1].pipeline.entry.domain == "north"][:count]
    for member, grant in in_north:
        await member.admission.release(grant)
    return len(in_north)


def list_holders(fleet, domain):
    """Return routers that are not asked for the places of a domain."""
    asked = fleet.members[0].client.list_allocators(domain)[:2]
    return [m for m in fleet.members if m.router_id not in asked]


async def test_freed_places_go_to_displaced_streams_of_all_routers():
    """Guards against new requests that take a place before displaced streams.

    Streams and requests are at different routers, which know nothing of each other.
    """
    async with Fleet() as fleet:
        held = await fill(fleet)
        displaced, new, tasks = [], [], []
        members = list_holders(fleet, "north")
        for member in members[:8]:
            tasks.append(await curio.spawn(displace, member, displaced, 2 * SECOND))
        await curio.sleep(0.1)
        for member in members[8:20]:
            demand = make_demand(0, target=2000)
            tasks.append(await curio.spawn(request_and_hold, member, demand, 1.0, new))
        await curio.sleep(0.1)
        await release_north(held, 8)
        await curio.sleep(0.2)
        assert len(displaced) == 8, displaced
        assert not any(is_placed for _, is_placed, _ in new), new
        assert all(waited < SECOND for _, waited in displaced), displaced
        for task in tasks:
            await task.cancel()


async def test_waits_end_in_time_although_datagrams_are_lost():
    """Guards against waits without end, and places that are lost with an answer."""
    async with Fleet(loss=0.15, answer_timeout=60 * MS) as fleet:
        outcomes, tasks = [], []
        held = await fill(fleet)
        for member in list_holders(fleet, "north")[:20]:
            tasks.append(await curio.spawn(displace, member, outcomes))
        await release_north(held, 10)
        for task in tasks:
            await task.join()
        for member, grant in held:
            await member.admission.release(grant)
        assert len(outcomes) == 20 and all(grant for grant, _ in outcomes)
        # The wait, its margin, and one answer timeout for each router asked.
        assert max(waited for _, waited in outcomes) < MAX_WAIT + 350 * MS, outcomes
        async with curio.timeout_after(6):
            while fleet.count_granted():
                await curio.sleep(0.05)


async def test_streams_wait_on_when_another_router_becomes_the_allocator():
    """Guards against streams cut because the allocator ended while they waited."""
    async with Fleet(answer_timeout=60 * MS) as fleet:
        await fill(fleet)
        outcomes, tasks = [], []
        members = list_holders(fleet, "north")[:10]
        for member in members:
            tasks.append(await curio.spawn(displace, member, outcomes, SECOND))
        await curio.sleep(0.1)
        victim = fleet.find_allocator("north")

        async def drop(address, data):
            pass

        # What it has begun for others runs on in this process.
        victim.datagrams.send = drop
        await victim.kill()
        for task in tasks:
            await task.join()
    assert len(outcomes) == 10 and all(grant for grant, _ in outcomes)
    # Its end is known after two repeats of the request, 0.25 s each.
    assert max(waited for _, waited in outcomes) < SECOND, outcomes


async def test_an_older_allocator_answers_begun_streams_at_once():
    """Guards against a wait for an allocator that does not know such waits."""
    async with Fleet() as fleet:
        await fill(fleet)
        allocator = fleet.find_allocator("north").allocator
        handle = allocator._handle_request

        async def handle_without_wait(router_id, address, request):
            if request.is_begun:
                request = replace(request, may_wait=False)
            await handle(router_id, address, request)

        allocator._datagrams.register(PlaceRequest, handle_without_wait)
        outcomes = []
        await displace(list_holders(fleet, "north")[0], outcomes)
    grant, waited = outcomes[0]
    assert grant is not None and waited < MAX_WAIT / 2, outcomes


async def test_a_stream_that_waits_no_more_leaves_the_allocator():
    """Guards against a queue of streams whose callers have left."""
    async with Fleet() as fleet:
        await fill(fleet)
        admission = fleet.find_allocator("north").admissions["north"]
        member = list_holders(fleet, "north")[0]
        task = await curio.spawn(displace, member, [], 5 * SECOND)
        await curio.sleep(0.1)
        assert admission.displaced_count == 1
        await task.cancel()
        await curio.sleep(0.1)
        assert admission.displaced_count == 0


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
