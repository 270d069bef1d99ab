"""Which running stream yields its place to an urgent request, and when none does."""

import sys
from dataclasses import replace
from functools import partial

import curio

from hibiscustiller.layers._yielding import (
    RecallPace,
    RunningStream,
    choose_yielding,
)
from hibiscustiller.layers.tests.fixtures import MS
from hibiscustiller.layers.tests.test_places_of_a_large_fleet import (
    SECOND,
    Fleet,
    make_demand,
    request_and_hold,
)
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._messages_generated import PlaceRecall

URGENT = replace(make_demand(0), tokens=2000.0, answer_tokens=1000.0)
# A prompt of 300 tokens, and 100 of 600 tokens emitted.
STREAM = RunningStream(
    "stream",
    replace(make_demand(2), tokens=600.0, answer_tokens=600.0, is_resumable=True),
    2 * SECOND,
    lambda: 3000.0,
    20 * MS,
)
CLASSES = {0, 1, 2}
LATE = 200 * MS


def is_chosen(stream=STREAM, request=URGENT, waited=LATE, priorities=CLASSES):
    return choose_yielding(request, waited, [stream], priorities) is stream


def change_demand(**changes):
    return replace(STREAM, demand=replace(STREAM.demand, **changes))


def test_a_stream_yields_only_under_all_conditions():
    """Guards against streams that yield without a gain, or cannot be resumed."""
    assert is_chosen()
    assert is_chosen(change_demand(priority=1), priorities={0, 1})
    # A prompt as long as the urgent one is read in a fraction of the time of an answer.
    usual = replace(URGENT, tokens=900.0, answer_tokens=200.0)
    long_prompt = change_demand(tokens=1050.0, answer_tokens=500.0)
    assert is_chosen(long_prompt, request=usual)
    refused = [
        is_chosen(change_demand(priority=1)),
        is_chosen(request=replace(URGENT, priority=1)),
        is_chosen(request=replace(URGENT, priority=2)),
        is_chosen(change_demand(is_resumable=False)),
        is_chosen(change_demand(answer_tokens=0.0)),
        is_chosen(replace(STREAM, held_for=SECOND / 2)),
        is_chosen(replace(STREAM, held_for=9 * SECOND)),
        is_chosen(replace(STREAM, count_free_tokens=lambda: 1999.0)),
        is_chosen(request=replace(URGENT, tokens=300.0, answer_tokens=50.0)),
        is_chosen(waited=50 * MS),
    ]
    assert not any(refused), refused


def test_the_stream_with_the_least_to_read_again_yields():
    """Guards against work that is repeated to no purpose."""
    others = [replace(STREAM, key=n, held_for=(3 + n) * SECOND) for n in range(3)]
    chosen = choose_yielding(URGENT, LATE, [*others, STREAM], CLASSES)
    assert chosen is STREAM
    # Without observations the stream may be just before its last third.
    assert replace(STREAM, token_time=None).emitted_tokens // 1 == 400.0


def test_places_of_older_routers_are_not_recalled():
    """Guards against recalls of places of which only the stages are known."""
    unknown = replace(STREAM.demand, priority=0, is_resumable=False, answer_tokens=0.0)
    assert not is_chosen(replace(STREAM, demand=unknown))


def test_recalls_are_few_and_pause_after_a_loss_of_engines():
    """Guards against recalls that take the places of streams without engines."""
    pace = RecallPace()
    pace.record_servers("service", ["a", "b"], 0 * SECOND)
    for number in range(2):
        assert pace.may_recall(number * 100 * MS)
        pace.record_recall(number * 100 * MS)
    assert not pace.may_recall(999 * MS)
    assert pace.may_recall(SECOND)
    pace.record_servers("other", ["c"], 2 * SECOND)
    assert pace.may_recall(2 * SECOND)
    pace.record_servers("service", ["a"], 2 * SECOND)
    assert not pace.may_recall(2.9 * SECOND)
    assert pace.may_recall(3 * SECOND)


async def fill(fleet):
    """Take all places for streams of the least urgent class.

    :returns: the places, with their holders, that are recalled from then on.
    """
    demand = replace(make_demand(2, target=20), answer_tokens=900.0, is_resumable=True)
    recalled, held_count = [], 0
    while True:
        member = fleet.members[held_count % fleet.size]
        admitted = await member.admission.admit(demand)
        if admitted.is_err():
            return recalled
        held_count += 1
        grant = admitted.ok_value
        grant.on_recall = partial(recalled.append, (member, grant))


async def test_one_place_is_recalled_for_each_urgent_request():
    """Guards against several streams that yield to one request, and against none.

    The streams of older routers do not follow; nothing else changes for them then.
    """
    urgent = replace(make_demand(0, target=800), answer_tokens=9000.0)
    for yields in (True, False):
        async with Fleet() as fleet:
            outcomes = []
            recalled = await fill(fleet)
            await curio.sleep(1.1)
            task = await curio.spawn(
                request_and_hold, fleet.members[4], urgent, 0.1, outcomes
            )
            while not task.terminated:
                if yields and recalled and not outcomes:
                    member, grant = recalled[0]
                    await member.admission.release(grant)
                await curio.sleep(0.01)
            assert len(recalled) == 1, recalled
            assert outcomes[0][1] is yields, outcomes


async def test_a_recall_that_is_late_or_of_another_router_has_no_effect():
    """Guards against streams that yield a place nobody waits for."""
    async with Fleet() as fleet:
        recalled = await fill(fleet)
        holder = next(m for m in fleet.members if m.client.held_count)
        place_id, place = next(iter(holder.client._places_by_id.items()))
        sender = next(m for m in fleet.members if m.router_id != place.allocator)
        address = holder.datagrams.address

        async def send_recall(router):
            data = router.datagrams.encode(PlaceRecall(place_id))
            await router.datagrams.send(address, data)
            await curio.sleep(0.05)

        allocator = next(m for m in fleet.members if m.router_id == place.allocator)
        await send_recall(sender)
        assert not recalled
        await holder.client.release(place.grant)
        await send_recall(allocator)
        assert not recalled


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
