"""The cost of router starts at a store that charges each call, and their correctness.

Pages that may be stale are cheap, but a router must not act on stale state.
"""

import sys

import curio

from hibiscustiller.discovery.tests.fixtures import (
    PAGE_KEYS,
    STALE_PAGE_COST,
    Fleet,
    make_entry,
)
from hibiscustiller.utils._testing import collect_tests


async def test_a_start_costs_little_however_many_keys_there_are():
    """Guards against a start that pays the full cost of each page of keys."""
    fleet = Fleet(20)
    for number in range(8 * PAGE_KEYS):
        fleet.store.put(f"servers/s{number}", make_entry())
    async with fleet:
        for member in fleet.members:
            assert len(member.view.list_servers("orders")) == 8 * PAGE_KEYS + 1
        pages = 1 + (8 * PAGE_KEYS + 1) // PAGE_KEYS
        # Each router reads the pages and the changes since then, requests a lease and
        # writes its entry. Each follower makes some watches while entries are written.
        limit = 20 * (pages * STALE_PAGE_COST + 3) + 8 * len(fleet.store_followers)
        assert fleet.store.cost <= limit


async def test_removed_servers_stay_out_of_use_after_a_restart():
    """Guards against the use of a removed server after a router's restart."""
    async with Fleet(6) as fleet:
        fleet.store.freeze_stale_reads()
        fleet.store.put("servers/first", None)
        fleet.store.put("servers/second", make_entry())
        await fleet.wait_for_all()
        restarted = fleet.restart(fleet.members[0])
        seen = set()

        async def record_servers():
            seen.update(s.id for s in restarted.view.list_servers("orders"))

        restarted.watcher.subscribe(record_servers)
        await restarted.start()
        await fleet.wait_for_all()
        assert seen == {"second"}


async def test_a_start_is_complete_although_the_history_is_lost():
    """Guards against stale pages that are not brought up to date.

    The changes since the pages were written are no longer in the store's history.
    """
    async with Fleet(6) as fleet:
        fleet.store.freeze_stale_reads()
        fleet.store.put("servers/first", None)
        await fleet.wait_for_all()
        fleet.store.forget_history()
        restarted = fleet.restart(fleet.members[0])
        await restarted.start()
        await fleet.wait_for_all()
        await curio.sleep(0.2)
        assert restarted.view.list_servers("orders") == []


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
