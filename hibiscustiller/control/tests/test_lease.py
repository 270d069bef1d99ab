"""Tests of the control lease against a platform stand-in, with injected faults."""

import random
import sys
from datetime import timedelta

from hibiscustiller.control import ControlLease
from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.leadership import HOLDER_KEY, MAX_FENCE_FLOOR
from hibiscustiller.platform import EtcdStore
from hibiscustiller.settings import Address
from hibiscustiller.standins import PlatformStandin
from hibiscustiller.utils import ManualClock, Verdict
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

SECOND = timedelta(seconds=1)


class StoreBench:
    """Runs a platform stand-in and a store client on a manual clock."""

    async def start(self):
        self.clock = ManualClock()
        self.platform = PlatformStandin(Address("127.0.0.1", 0), self.clock)
        await self.platform.start()
        self.client = HttpClient(self.clock)
        self.store = EtcdStore(
            self.client, self.platform.address, SECOND, clock=self.clock
        )
        return self

    def make_lease(self, router, store=None):
        store = store or self.store
        return ControlLease(router, store, self.clock, random.Random(router))

    async def stop(self):
        await self.client.close()
        await self.platform.close()


class StoreProxy:
    """Forwards calls to a store, except for the methods that a test replaces."""

    def __init__(self, store, **replacements):
        self._store = store
        self._replacements = replacements

    def __getattr__(self, name):
        return self._replacements.get(name) or getattr(self._store, name)


async def test_one_router_holds_the_lease_and_fences_increase():
    """Guards against two holders, and a new term whose fence is not above the last."""
    bench = await StoreBench().start()
    first, second = bench.make_lease("a"), bench.make_lease("b")
    assert await first.acquire()
    assert not await second.acquire()
    fences = [first.term.fence]
    await first.release()
    assert await second.acquire()
    fences.append(second.term.fence)
    bench.clock.advance(SECOND * 11)
    assert await first.acquire()
    fences.append(first.term.fence)
    assert fences == sorted(set(fences))
    assert not await second.renew()
    assert second.term is None
    await bench.stop()


async def test_margin_ends_before_the_lease():
    """Guards against commands sent while another router may hold the lease."""
    bench = await StoreBench().start()
    lease = bench.make_lease("a")
    await lease.acquire()
    term = lease.term
    bench.clock.advance(SECOND * 8)
    assert lease.has_margin(term)
    bench.clock.advance(timedelta(microseconds=1))
    assert not lease.has_margin(term)
    assert bench.platform.read_value(HOLDER_KEY) is not None
    assert await lease.renew()
    assert lease.has_margin(term)
    await bench.stop()


async def test_validity_counts_from_before_the_request():
    """Guards against overestimating a lease when the store responds slowly."""
    bench = await StoreBench().start()
    lease = bench.make_lease("a")
    bench.platform.faults.delay = SECOND * 3
    before = bench.clock.monotonic()
    await lease.acquire()
    # Reading the key takes the first 3 s; the TTL counts from the request after it.
    assert lease.term.valid_until == before + SECOND * 3 + SECOND * 10
    before = bench.clock.monotonic()
    await lease.renew()
    assert lease.term.valid_until == before + SECOND * 10
    await bench.stop()


async def test_acquire_with_a_lost_response_is_verified():
    """Guards against a held lease that no router uses, or that two routers use."""
    bench = await StoreBench().start()
    lease = bench.make_lease("a")
    bench.platform.faults.lost_answers = 1
    assert await lease.acquire()
    entry = await bench.store.get(HOLDER_KEY)
    assert lease.term.fence == entry.revision
    assert await lease.confirm() and await lease.renew()
    await bench.stop()


async def test_lost_request_starts_no_term():
    """Guards against a term whose holder key was never written."""
    for is_lease_taken in (False, True):
        bench = await StoreBench().start()
        other = bench.make_lease("b")

        async def lose_response(*args, is_lease_taken=is_lease_taken, other=other):
            if is_lease_taken:
                await other.acquire()
            raise StoreUnavailableError("response lost", Verdict.MAY_HAVE_RUN)

        store = StoreProxy(bench.store, compare_and_swap=lose_response)
        lease = bench.make_lease("a", store)
        assert not await lease.acquire()
        assert lease.term is None
        await bench.stop()


async def test_holder_has_no_margin_after_a_pause():
    """Guards against a paused holder that does not notice that its lease expired."""
    bench = await StoreBench().start()
    paused, other = bench.make_lease("a"), bench.make_lease("b")
    await paused.acquire()
    term = paused.term
    bench.clock.advance(SECOND * 60)
    assert await other.acquire()
    assert not paused.has_margin(term)
    assert not await paused.renew()
    assert other.term.fence > term.fence
    await bench.stop()


async def test_wall_clock_detects_a_suspended_machine():
    """Guards against a lease that seems valid as the monotonic clock was suspended."""
    bench = await StoreBench().start()
    lease = bench.make_lease("a")
    await lease.acquire()
    bench.clock._start += SECOND * 9
    assert not lease.has_margin(lease.term)
    await bench.stop()


async def test_store_that_lost_data_ends_the_term():
    """Guards against a holder whose key was lost when the store was restored."""
    bench = await StoreBench().start()
    backup = bench.platform.take_backup()
    lease = bench.make_lease("a")
    await lease.acquire()
    fence = lease.term.fence
    bench.platform.restore_backup(backup)
    assert not await lease.confirm()
    assert lease.term is None
    # The restored store assigns the same revision again; without a raised floor, the
    # fence would not increase.
    bench.platform._leases_by_id.clear()
    assert await lease.acquire()
    assert lease.term.fence > fence
    fences = [lease.term.fence]
    await lease.release()
    other = bench.make_lease("b")
    assert await other.acquire()
    assert other.term.fence > fences[0], "the other router applies the floor"
    await bench.stop()


async def test_fence_floor_never_decreases():
    """Guards against a late write that lowers the floor, and an implausible fence."""
    bench = await StoreBench().start()
    lease = bench.make_lease("a")
    for seen_fence, expected_floor in (
        (50, 50),
        (20, 50),
        (MAX_FENCE_FLOOR + 1, 50),
        (70, 70),
    ):
        assert await lease.raise_fence_floor(seen_fence) == expected_floor
    assert await lease.acquire()
    assert lease.term.fence > 70
    await bench.stop()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
