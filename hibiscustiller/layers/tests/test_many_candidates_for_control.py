"""Hundreds of routers see that nobody holds the control lease."""

import sys
from datetime import timedelta

from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.layers import LayerPlacer
from hibiscustiller.leadership import find_election_delay
from hibiscustiller.utils import ManualClock, Verdict
from hibiscustiller.utils._testing import collect_tests

TICK = timedelta(milliseconds=150)
ROUTERS = 195
# What one router tells the store reaches the others through followers.
NEWS_DELAY = timedelta(milliseconds=700)


class Store:
    """Gives the lease to the first that asks."""

    def __init__(self, clock):
        self.clock = clock
        self.is_down = False
        self.calls = 0
        self.taken_at = None

    @property
    def is_holder_known(self):
        if self.taken_at is None:
            return False
        return self.clock.monotonic() - self.taken_at >= NEWS_DELAY


class Lease:
    """One router's attempts."""

    term = None

    def __init__(self, store):
        self.store = store

    async def acquire(self):
        self.store.calls += 1
        if self.store.is_down:
            raise StoreUnavailableError("away", Verdict.NOT_RUN)
        if self.store.taken_at is not None:
            return False
        self.store.taken_at = self.store.clock.monotonic()
        return True


class Fleet:
    """Placers of many routers on one clock.

    :param is_reachable: what the routers know of the store.
    """

    def __init__(self, is_reachable=True, lost=()):
        self.clock = ManualClock()
        self.store = Store(self.clock)
        self.is_reachable = is_reachable
        self.placers = [
            self.make_placer(rank) for rank in range(ROUTERS) if rank not in lost
        ]

    def make_placer(self, rank):
        return LayerPlacer(
            Lease(self.store),
            lambda: self.store.is_holder_known,
            lambda: True,
            list,
            None,
            self.clock,
            lambda: find_election_delay(rank, is_store_reachable=self.is_reachable),
            timedelta(seconds=1),
        )

    async def run(self, seconds):
        for _ in range(int(timedelta(seconds=seconds) / TICK)):
            for placer in self.placers:
                try:
                    await placer._try_acquire()
                except StoreUnavailableError:
                    pass
            self.clock.advance(TICK)


async def test_few_routers_ask_a_store_that_is_away():
    """Guards against a call of every router each few seconds during an outage."""
    fleet = Fleet(is_reachable=False)
    fleet.store.is_down = True
    await fleet.run(20)
    assert 20 <= fleet.store.calls <= 20 * 9
    # At its return the first of them takes the lease.
    fleet.store.is_down = False
    await fleet.run(1)
    assert fleet.store.taken_at is not None


async def test_a_free_lease_costs_few_calls():
    """Guards against routers that all try for a lease which the first one gets."""
    fleet = Fleet()
    await fleet.run(10)
    assert fleet.store.taken_at <= timedelta(seconds=0.6)
    assert fleet.store.calls <= 4


async def test_the_loss_of_all_early_candidates_costs_few_calls():
    """Guards against hundreds of attempts at the same moment."""
    fleet = Fleet(lost=range(9))
    await fleet.run(10)
    assert fleet.store.taken_at <= timedelta(seconds=3.5)
    assert fleet.store.calls <= 40


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
