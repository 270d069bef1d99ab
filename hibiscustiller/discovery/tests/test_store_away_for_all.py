"""The store refuses every router for some seconds; refused calls are charged too."""

import sys

import curio

from hibiscustiller.discovery.tests.fixtures import Fleet, make_entry
from hibiscustiller.utils._testing import collect_tests

OUTAGE_S = 6.0
# A change is in force everywhere within this time after the store's return.
CHANGE_LIMIT_S = 2.0


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


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
