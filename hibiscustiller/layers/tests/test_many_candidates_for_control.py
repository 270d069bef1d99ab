"""Election for a free control lease among hundreds of routers."""

import sys
from datetime import timedelta

from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.layers import LayerPlacer
from hibiscustiller.leadership import find_election_delay
from hibiscustiller.utils import ManualClock, Verdict
from hibiscustiller.utils._testing import collect_tests

TICK = timedelta(milliseconds=150)
ROUTER_COUNT = 195
# Delay until a change in the store reaches the other routers through followers.
PROPAGATION_DELAY = timedelta(milliseconds=700)


class Store:
    """A store that grants the lease to the first router that requests it."""

    def __init__(self, clock):
        self.clock = clock
        self.is_down = False
        self.call_count = 0
        self.taken_at = None

    @property
    def is_holder_known(self):
        if self.taken_at is None:
            return False
        return self.clock.monotonic() - self.taken_at >= PROPAGATION_DELAY


class Lease:
    """The lease as seen by one router."""

    term = None

    def __init__(self, store):
        self.store = store

    async def acquire(self):
        self.store.call_count += 1
        if self.store.is_down:
            raise StoreUnavailableError("away", Verdict.NOT_RUN)
        if self.store.taken_at is not None:
            return False
        self.store.taken_at = self.store.clock.monotonic()
        return True


class Fleet:
    """Placers of many routers that share one clock.

    :param is_reachable: whether the routers believe that the store is reachable.
    :param lost: ranks of the routers that are absent.
    """

    def __init__(self, is_reachable=True, lost=()):
        self.clock = ManualClock()
        self.store = Store(self.clock)
        self.is_reachable = is_reachable
        self.placers = [
            self.make_placer(rank) for rank in range(ROUTER_COUNT) if rank not in lost
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


async def test_few_routers_call_an_unreachable_store():
    """Guards against calls by every router every few seconds during an outage."""
    fleet = Fleet(is_reachable=False)
    fleet.store.is_down = True
    await fleet.run(20)
    assert 20 <= fleet.store.call_count <= 20 * 9
    # Once the store is back, the next attempt acquires the lease.
    fleet.store.is_down = False
    await fleet.run(1)
    assert fleet.store.taken_at is not None


async def test_a_free_lease_costs_few_calls():
    """Guards against attempts by all routers after the first has the lease."""
    fleet = Fleet()
    await fleet.run(10)
    assert fleet.store.taken_at <= timedelta(seconds=0.6)
    assert fleet.store.call_count <= 4


async def test_the_loss_of_all_early_candidates_costs_few_calls():
    """Guards against hundreds of simultaneous attempts."""
    fleet = Fleet(lost=range(9))
    await fleet.run(10)
    assert fleet.store.taken_at <= timedelta(seconds=3.5)
    assert fleet.store.call_count <= 40


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
