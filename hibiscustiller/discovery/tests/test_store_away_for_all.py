"""A store outage of some seconds for all routers; refused calls are charged too."""

import sys
from datetime import timedelta

import curio

from hibiscustiller.discovery import StoreReach
from hibiscustiller.discovery.tests.fixtures import Fleet, make_entry
from hibiscustiller.utils._testing import collect_tests

OUTAGE_S = 6.0
# A change must be in force on all routers within this time after the outage.
CHANGE_LIMIT_S = 2.0
# The limit for routers that first detect that their sources still lack the store, and
# then watch it themselves.
LATE_SOURCES_LIMIT_S = 4.0


async def test_an_outage_costs_each_router_a_call_a_second_or_two():
    """Guards against routers that call an unavailable store several times a second."""
    size = 30
    async with Fleet(size) as fleet:
        fleet.store.is_down = True
        before = fleet.store.calls
        await curio.sleep(OUTAGE_S)
        calls = fleet.store.calls - before
        # A follower retries its watch and its lease up to three times a second each.
        # Any other router retries its lease once a second, and its watch at most as
        # often.
        followers = sum(member.relay.is_follower for member in fleet.members)
        assert calls <= OUTAGE_S * (followers * 7 + (size - followers) * 2)
        fleet.store.is_down = False
        fleet.store.put("servers/late", make_entry())
        await fleet.wait_for_all(CHANGE_LIMIT_S)


async def test_an_outage_turns_no_router_into_a_follower():
    """Guards against watches and reads by the whole fleet during a store outage.

    Watches, full reads and writes have the full cost. A router that does not watch the
    store needs none of them because of an outage.
    """
    async with Fleet(60) as fleet:
        followers = {m.router_id for m in fleet.members if m.relay.is_follower}
        fleet.store.calls_by_router.clear()
        fleet.store.is_down = True
        await curio.sleep(OUTAGE_S)
        assert {member.router_id for member in fleet.store_followers} == followers
        fleet.store.is_down = False
        fleet.store.put("servers/late", make_entry())
        await fleet.wait_for_all(CHANGE_LIMIT_S)
        others = set(fleet.store.calls_by_router) - followers
        calls = sum(fleet.store.calls_by_router[router_id] for router_id in others)
        # After the outage, some may find that their source has not reached the store
        # yet.
        assert calls <= 0.2 * fleet.size, fleet.store.calls_by_router


async def test_routers_follow_a_store_that_is_away_for_the_followers_only():
    """Guards against stale state when the followers reach the store last."""
    async with Fleet(24) as fleet:
        followers = {m.router_id for m in fleet.members if m.relay.is_follower}
        fleet.store.refused_routers = {member.router_id for member in fleet.members}
        await curio.sleep(3.0)
        assert {member.router_id for member in fleet.store_followers} == followers
        fleet.store.refused_routers = followers
        fleet.store.put("servers/late", make_entry())
        others = [m for m in fleet.members if m.router_id not in followers]
        async with curio.timeout_after(LATE_SOURCES_LIMIT_S):
            while any(m.watcher.revision < fleet.store.revision for m in others):
                await curio.sleep(0.01)


async def test_a_failed_check_is_not_repeated_at_once():
    """Guards against a repeated call to a store that is known to be unavailable."""
    reach = StoreReach()
    assert reach.was_reached_since(timedelta(0))
    await reach.request_check()
    reach.record_failure()
    await reach.request_check()
    began_at = await curio.clock()
    await reach.wait_for_check(timedelta(milliseconds=50))
    assert await curio.clock() - began_at >= 0.05
    reach.record_success(timedelta(seconds=3))
    assert reach.was_reached_since(timedelta(seconds=3))
    assert not reach.was_reached_since(timedelta(seconds=4))
    await reach.request_check()
    async with curio.timeout_after(1.0):
        await reach.wait_for_check(timedelta(seconds=10))


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
