"""Decisions of the admission controller."""

import sys
from datetime import timedelta

from hibiscustiller.exceptions import InvariantError
from hibiscustiller.limits import AdmissionController
from hibiscustiller.limits.tests.fixtures import (
    LOW,
    MIDDLE,
    URGENT,
    Harness,
    make_config,
)
from hibiscustiller.utils import RefusalReason, SystemClock, Verdict
from hibiscustiller.utils._testing import breaks_invariant, collect_tests


async def release_all(harness):
    """Release grants one at a time until no request holds one."""
    while harness.grants:
        await harness.release(next(iter(harness.grants)))


async def test_order_within_and_between_classes():
    """Guards against grants ahead of more urgent or less served requests."""
    cases = [
        # Class and organisation of arrivals while a stream of o0 in LOW runs, and the
        # order in which the arrivals are granted.
        ([(LOW, "o1"), (URGENT, "o1"), (MIDDLE, "o1")], [1, 2, 0]),
        ([(LOW, "o0"), (LOW, "o1")], [1, 0]),
        ([(LOW, "o0"), (LOW, "o0"), (LOW, "o1"), (LOW, "o1")], [2, 0, 3, 1]),
        # o2 has twice the weight of o1, and o3 half of it. Among organisations with
        # equal usage, the one that was served longest ago is next.
        ([(LOW, "o1")] * 2 + [(LOW, "o2")] * 4, [0, 2, 3, 1, 4, 5]),
        ([(LOW, "o3")] * 2 + [(LOW, "o1")] * 4, [0, 2, 3, 1, 4, 5]),
    ]
    for arrivals, expected in cases:
        harness = Harness()
        await harness.arrive()
        request_ids = [await harness.arrive(*arrival) for arrival in arrivals]
        await release_all(harness)
        order = [
            request_ids.index(request_id) for request_id in harness.granted_ids[1:]
        ]
        # An urgent arrival preempts the running stream, which completes regardless.
        assert order == expected, (arrivals, order)


async def test_blocked_model_does_not_block_another():
    """Guards against requests of one model that wait for the capacity of another."""
    harness = Harness()
    first = await harness.arrive(model="m0")
    second = await harness.arrive(URGENT, model="m0")
    third = await harness.arrive(model="m1")
    assert list(harness.grants) == [first, third]
    assert second in harness.tasks


async def test_no_route_is_refused_at_once():
    """Guards against requests queued for a route that no release can provide."""
    harness = Harness()
    harness.fleet.limits["m0"] = 0
    harness.fleet.reason = RefusalReason.NO_ROUTE
    refused = await harness.arrive()
    assert harness.refusals[refused].reason is RefusalReason.NO_ROUTE
    assert harness.controller.count_queued() == {LOW: 0}


async def test_request_that_avoids_servers_does_not_block_others():
    """Guards against a retry without a route that blocks its whole class."""
    harness = Harness()
    running = await harness.arrive()
    retried = await harness.arrive(avoided_servers=frozenset({"s"}))
    other = await harness.arrive(organisation="o0")
    await harness.release(running)
    assert list(harness.grants) == [other]
    assert retried in harness.tasks


async def test_avoided_servers_are_evaluated_at_the_grant():
    """Guards against a suspect that stays queued after servers became available, and
    against two suspects that are granted the same server."""
    harness = Harness(limit=3)
    occupied = set()

    def submit():
        return harness.arrive(
            is_resumed=True,
            get_occupied_servers=lambda: frozenset(occupied),
            on_granted=lambda route: occupied.add("s"),
        )

    first = await submit()
    second, third = await submit(), await submit()
    new = await harness.arrive()
    assert list(harness.grants) == [first, new]
    occupied.clear()
    harness.controller.handle_changed_routes()
    await harness.advance(0.02)
    assert list(harness.grants) == [first, new, second]
    assert third in harness.tasks


async def test_suspects_of_a_failed_server_do_not_block_others():
    """Guards against new requests that are blocked behind many suspects."""
    harness = Harness(limit=2)
    running = [await harness.arrive(), await harness.arrive()]
    for _ in range(16):
        await harness.arrive(
            is_resumed=True, get_occupied_servers=lambda: frozenset({"s"})
        )
    other = await harness.arrive()
    await harness.release(running[0])
    assert other in harness.grants


async def test_suspects_stay_queued_while_all_servers_are_occupied():
    """Guards against an answer that fails because other suspects occupy all servers."""
    harness = Harness(limit=0)
    harness.fleet.reason = RefusalReason.NO_ROUTE
    occupied = {"s"}
    waiting = await harness.arrive(
        is_resumed=True, get_occupied_servers=lambda: frozenset(occupied)
    )
    assert waiting in harness.tasks
    occupied.clear()
    harness.controller.handle_changed_routes()
    await harness.advance(0.02)
    assert harness.refusals[waiting].reason is RefusalReason.NO_ROUTE


async def test_interrupted_stream_precedes_new_requests():
    """Guards against an interrupted answer that waits behind its class's backlog."""
    harness = Harness(limit=1)
    running = await harness.arrive(MIDDLE)
    new = await harness.arrive(MIDDLE)
    interrupted = await harness.arrive(MIDDLE, "o1", is_resumed=True)
    await harness.release(running)
    assert interrupted in harness.grants
    assert new in harness.tasks


async def test_interrupted_stream_preempts_less_urgent_streams():
    """Guards against an interrupted answer that waits for less urgent streams to end,
    also if it must avoid the server that failed."""
    for avoided in (frozenset(), frozenset({"dead"})):
        harness = Harness(limit=4)
        running = [await harness.arrive(LOW) for _ in range(4)]
        await harness.arrive(URGENT, is_resumed=True, avoided_servers=avoided)
        # Preemption begins after a quarter of the first-token target of 0.85 s.
        await harness.advance(0.25)
        preempted = [r for r in running if harness.grants[r].preempted.is_set()]
        assert len(preempted) == 1, avoided


async def test_deadline_of_a_resumed_request():
    """Guards against a resumed request without tokens that is queued beyond its
    deadline, and against one with tokens that is refused."""
    harness = Harness()
    await harness.arrive()
    deadline_at = harness.clock.monotonic() + timedelta(seconds=1)
    without_tokens = await harness.arrive(is_resumed=True, deadline_at=deadline_at)
    with_tokens = await harness.arrive(is_resumed=True)
    await harness.advance(1.1)
    assert list(harness.refusals) == [without_tokens]
    assert harness.refusals[without_tokens].reason is RefusalReason.DEADLINE
    await harness.advance(99)
    assert with_tokens in harness.tasks


async def test_full_queues():
    """Guards against unbounded queues and eviction of the wrong request."""
    cases = [
        # Queue limits of a class and of all classes, classes of the arrivals, and
        # indices of the refused arrivals.
        (2, 30, [LOW] * 4, [2, 3]),
        (2, 30, [LOW, LOW, LOW, MIDDLE, MIDDLE, MIDDLE], [2, 5]),
        (9, 3, [LOW, LOW, LOW, LOW], [3]),
        (9, 3, [LOW, LOW, LOW, URGENT], [2]),
        (9, 3, [LOW, MIDDLE, LOW, URGENT, URGENT], [2, 0]),
        (9, 3, [URGENT, MIDDLE, MIDDLE, LOW], [3]),
        (9, 3, [URGENT, URGENT, URGENT, MIDDLE, LOW], [3, 4]),
    ]
    for class_limit, limit, arrivals, expected in cases:
        harness = Harness(total_limit=limit)
        harness.config = make_config(queue_limit=class_limit)
        await harness.arrive(URGENT, "o3")
        request_ids = [await harness.arrive(name) for name in arrivals]
        refused = [request_ids.index(request_id) for request_id in harness.refusals]
        assert refused == expected, (arrivals, refused)
        for refusal in harness.refusals.values():
            assert refusal.verdict is Verdict.NOT_RUN
            assert refusal.retry_after >= timedelta(seconds=1)
        await release_all(harness)
        assert not set(harness.granted_ids) & set(harness.refusals)


async def test_deadline_refusals():
    """Guards against queued requests that cannot meet their deadline."""
    harness = Harness()
    # One stream of 10 tokens takes 1 s, so the service rate is 10 tokens per second.
    first = await harness.arrive(URGENT)
    harness.clock.advance(timedelta(seconds=1))
    await harness.release(first)
    await harness.arrive(URGENT)
    request_ids = [await harness.arrive(URGENT) for _ in range(8)]
    refused = [request_ids.index(request_id) for request_id in harness.refusals]
    # The deadline is 5 s. Requests from index 6 on are expected to start later.
    assert refused == [6, 7], refused
    for refusal in harness.refusals.values():
        assert refusal.reason is RefusalReason.DEADLINE
        assert refusal.retry_after == timedelta(seconds=1)
    await harness.advance(4.9)
    assert harness.tasks
    await harness.advance(0.2)
    assert not harness.tasks
    assert len(harness.refusals) == 8


async def test_queued_request_is_refused_when_the_rate_falls():
    """Guards against refusals that are delayed until the deadline has passed."""
    harness = Harness(limit=4)
    first = [await harness.arrive(MIDDLE) for _ in range(4)]
    harness.clock.advance(timedelta(seconds=1))
    for name in first:
        await harness.release(name)
    running = [await harness.arrive(MIDDLE) for _ in range(4)]
    queued = [await harness.arrive(MIDDLE) for _ in range(12)]
    assert not harness.refusals
    # Three of four streams end, and their capacity is lost.
    harness.fleet.limits["m0"] = 1
    harness.clock.advance(timedelta(seconds=6))
    for name in running[:3]:
        await harness.release(name)
    await harness.advance(0.02)
    assert harness.refusals, "no request was refused early"
    assert queued[0] in harness.tasks
    for refusal in harness.refusals.values():
        assert refusal.reason is RefusalReason.DEADLINE


async def test_preemption():
    """Guards against unnecessary or repeated preemptions, and of the wrong stream."""
    harness = Harness(limit=3)
    short = await harness.arrive(LOW, cost=10)
    longest = await harness.arrive(LOW, cost=50)
    middle = await harness.arrive(MIDDLE, cost=90)
    await harness.arrive(URGENT)
    assert harness.grants[longest].preempted.is_set()
    assert not harness.grants[short].preempted.is_set()
    assert not harness.grants[middle].preempted.is_set()
    await harness.resume(longest, 20)
    assert harness.granted_ids[-1] == "r4"
    # The resumed request precedes new requests of its class.
    older = await harness.arrive(LOW, "o1")
    await harness.release("r4")
    assert longest in harness.grants and older in harness.tasks
    await harness.arrive(URGENT)
    assert harness.grants[longest].preempted.is_set()
    await harness.resume(longest, 10)
    await harness.release(harness.granted_ids[-1])
    assert longest in harness.grants
    # The stream has reached the maximum number of preemptions. It also is the one
    # stream that provides the floor of its class.
    await harness.arrive(URGENT)
    assert not harness.grants[longest].preempted.is_set()


async def test_urgent_requests_wait_for_streams_that_end_soon():
    """Guards against a second prefill where waiting for a stream to end costs less."""
    harness = Harness(limit=8)
    for _ in range(2):
        request_ids = [await harness.arrive(LOW) for _ in range(8)]
        harness.clock.advance(timedelta(milliseconds=400))
        if len(harness.granted_ids) == 8:
            for name in request_ids:
                await harness.release(name)
    # Streams last 0.4 s and 8 run, so about 4 end in a quarter of 0.85 s.
    for _ in range(4):
        await harness.arrive(URGENT)
    assert not any(g.preempted.is_set() for g in harness.grants.values())
    for _ in range(2):
        await harness.arrive(URGENT)
    assert sum(g.preempted.is_set() for g in harness.grants.values()) == 2


async def test_resumed_request_is_never_refused():
    """Guards against an interrupted answer that is refused because of a queue limit."""
    harness = Harness(total_limit=1)
    await harness.arrive(URGENT)
    await harness.arrive(URGENT)
    resumed = await harness.arrive(LOW, is_resumed=True)
    await harness.arrive(URGENT)
    await harness.advance(3600)
    assert resumed in harness.tasks
    await release_all(harness)
    assert harness.granted_ids[-1] == resumed


async def test_capacity_is_reserved_for_small_organisations():
    """Guards against a large organisation that occupies every stream that is freed."""
    harness = Harness(limit=25)
    small = await harness.arrive(MIDDLE, "o1")
    await harness.release(small)
    large = [await harness.arrive(MIDDLE, "o0") for _ in range(26)]
    assert len(harness.grants) == 25
    await harness.release(large[0])
    # One of 25 streams is reserved, since o1 was active and o0 exceeds its share.
    assert len(harness.grants) == 24 and large[25] in harness.tasks
    small = await harness.arrive(MIDDLE, "o1")
    assert small in harness.grants
    await harness.release(small)
    # The reserved stream is granted to o0 once o1 is inactive.
    await harness.advance(4)
    assert large[25] in harness.tasks
    await harness.advance(7)
    assert large[25] in harness.grants


async def test_cancelled_waiters():
    """Guards against capacity that stays granted to a cancelled request."""
    harness = Harness()
    running = await harness.arrive()
    first = await harness.arrive(organisation="o1")
    second = await harness.arrive(organisation="o2")
    await harness.cancel(first)
    await harness.release(running)
    assert list(harness.grants) == [second]
    # The request is granted, but its task is cancelled before it resumes.
    third = await harness.arrive()
    harness.fleet.limits["m0"] = 2
    harness.controller.handle_raised_limit()
    model = harness.controller._models_by_name["m0"]
    model.is_blocked = False
    harness.controller._dispatch(model)
    assert harness.fleet.in_use["m0"] == 2
    await harness.cancel(third)
    assert harness.fleet.in_use["m0"] == 1
    assert harness.controller.count_queued()[LOW] == 0


@breaks_invariant("grant_released_once")
async def test_second_release_breaks_an_invariant():
    """Guards against capacity that is released twice."""
    harness = Harness()
    grant = harness.grants[await harness.arrive()]
    await harness.controller.release(grant, 10)
    try:
        await harness.controller.release(grant, 10)
    except InvariantError:
        pass
    else:
        raise AssertionError("a second release was accepted")
    assert harness.fleet.in_use["m0"] == 0


@breaks_invariant("request_admitted_once")
async def test_request_is_granted_once():
    """Guards against two concurrent grants of one request."""
    harness = Harness(limit=2)
    grant = harness.grants[await harness.arrive()]
    try:
        await harness.controller.admit(grant.request)
    except InvariantError:
        pass
    else:
        raise AssertionError("a running request was granted again")


async def test_background_sweep_refuses_at_the_deadline():
    """Guards against deadlines and raised limits that are ignored without a release."""
    harness = Harness(deadlines=("30ms", "15s", "60s"))
    controller = AdmissionController(
        harness.fleet.plan, lambda: harness.config, SystemClock(), None, harness.fleet
    )
    harness.controller = controller
    await controller.start()
    await harness.arrive(URGENT)
    waiting = await harness.arrive(URGENT)
    task = harness.tasks[waiting]
    await task.join()
    assert isinstance(harness.refusals[waiting].retry_after, timedelta)
    # A raised limit takes effect without a release.
    waiting = await harness.arrive(LOW)
    task = harness.tasks[waiting]
    harness.fleet.limits["m0"] = 2
    harness.fleet.listeners[-1]()
    await task.join()
    assert waiting in harness.grants
    await controller.stop()


async def test_unknown_class_and_removed_model():
    """Guards against failures when a class or model of a request was removed."""
    harness = Harness()
    name = await harness.arrive("removed-class")
    assert name in harness.grants
    refused = await harness.arrive(model="m9")
    assert harness.refusals[refused].reason is RefusalReason.UNKNOWN_MODEL


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
