"""A store that is silent to the followers and answers the other routers."""

import sys

import curio

from hibiscustiller.discovery.tests.fixtures import Fleet, make_entry
from hibiscustiller.utils._testing import collect_tests

# A change must be in force within this time on routers that reach the store.
CHANGE_LIMIT_S = 2.0
# A router that lost the store is not bound by that limit for some seconds after.
RETURN_TIME_S = 6.0


async def check_changes_beside_silence(size, delays_s, loss=0.0):
    """Silence the store for the followers and write a change after each delay."""
    async with Fleet(size, loss=loss) as fleet:
        followers = {m.router_id for m in fleet.members if m.relay.is_follower}
        others = [m for m in fleet.members if m.router_id not in followers]
        for number, delay_s in enumerate(delays_s):
            fleet.store.silent_routers = set(followers)
            await curio.sleep(delay_s)
            fleet.store.put(f"servers/s{number}", make_entry())
            async with curio.timeout_after(CHANGE_LIMIT_S):
                while any(m.watcher.revision < fleet.store.revision for m in others):
                    await curio.sleep(0.01)
            fleet.store.silent_routers = set()
            await curio.sleep(RETURN_TIME_S)


async def test_changes_arrive_while_the_store_is_silent_to_all_followers():
    """Guards against CONFIG: a watch that only waits counted as current."""
    await check_changes_beside_silence(9, (0.0, 0.3, 1.2))


async def test_changes_arrive_in_a_large_fleet_while_the_store_is_silent_to_followers():
    """Guards against the same where polls of the followers are farther apart."""
    await check_changes_beside_silence(60, (0.0,))


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
