"""The store refuses every router for some seconds; refused calls are charged too."""

import sys
from datetime import timedelta

import curio

from hibiscustiller.discovery import StoreReach
from hibiscustiller.discovery.tests.fixtures import Fleet, make_entry
from hibiscustiller.utils._testing import collect_tests

OUTAGE_S = 6.0
# A change is in force everywhere within this time after the store's return.
CHANGE_LIMIT_S = 2.0
# Routers that learn that their sources are still cut off have to follow the store.
LATE_SOURCES_LIMIT_S = 4.0


async def test_an_outage_costs_each_router_a_call_a_second_or_two():
    """Guards against a fleet that asks a store which is away several times a second."""
    size = 30
    async with Fleet(size) as fleet:
        fleet.store.is_down = True
        before = fleet.store.calls
        await curio.sleep(OUTAGE_S)
        calls = fleet.store.calls - before
        # A follower tries its watch and its entry up to three times a second each, any
        # other router its entry once a second and its watch as often at most.
        followers = sum(member.relay.is_follower for member in fleet.members)
        assert calls <= OUTAGE_S * (followers * 7 + (size - followers) * 2)
        fleet.store.is_down = False
        fleet.store.put("servers/late", make_entry())
        await fleet.wait_for_all(CHANGE_LIMIT_S)


async def test_an_outage_turns_no_router_into_a_follower():
    """Guards against watches and reads of the whole fleet when the store is away.

    Watches, full reads and writes have the full price; a router that does not follow
    the store needs none of them for an outage.
    """
    async with Fleet(60) as fleet:
        followers = {m.router_id for m in fleet.members if m.relay.is_follower}
        fleet.store.calls_by_router.clear()
        fleet.store.is_down = True
        await curio.sleep(OUTAGE_S)
        assert {member.router_id for member in fleet.direct} == followers
        fleet.store.is_down = False
        fleet.store.put("servers/late", make_entry())
        await fleet.wait_for_all(CHANGE_LIMIT_S)
        others = set(fleet.store.calls_by_router) - followers
        calls = sum(fleet.store.calls_by_router[router_id] for router_id in others)
        # Some may find at its return that their source is still without the store.
        assert calls <= 0.2 * fleet.size, fleet.store.calls_by_router


async def test_routers_follow_a_store_that_is_away_for_the_followers_only():
    """Guards against an old configuration when the followers return last."""
    async with Fleet(24) as fleet:
        followers = {m.router_id for m in fleet.members if m.relay.is_follower}
        fleet.store.turned_away = {member.router_id for member in fleet.members}
        await curio.sleep(3.0)
        assert {member.router_id for member in fleet.direct} == followers
        fleet.store.turned_away = followers
        fleet.store.put("servers/late", make_entry())
        others = [m for m in fleet.members if m.router_id not in followers]
        async with curio.timeout_after(LATE_SOURCES_LIMIT_S):
            while any(m.watcher.revision < fleet.store.revision for m in others):
                await curio.sleep(0.01)


async def test_a_failed_check_is_not_repeated_at_once():
    """Guards against two calls where one has told that the store is away."""
    reach = StoreReach()
    assert reach.was_reached_since(timedelta(0))
    await reach.check_soon()
    reach.note_failure()
    await reach.check_soon()
    began_at = await curio.clock()
    await reach.wait_for_check(timedelta(milliseconds=50))
    assert await curio.clock() - began_at >= 0.05
    reach.note_answer(timedelta(seconds=3))
    assert reach.was_reached_since(timedelta(seconds=3))
    assert not reach.was_reached_since(timedelta(seconds=4))
    await reach.check_soon()
    async with curio.timeout_after(1.0):
        await reach.wait_for_check(timedelta(seconds=10))


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
