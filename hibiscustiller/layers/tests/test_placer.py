"""Execution of placement at stand-in engines, with lost orders and leases."""

import random
import sys
from datetime import timedelta

import curio

from hibiscustiller.fleet import LayerRange, ServerState
from hibiscustiller.layers import EngineGroup, LayerPlacer
from hibiscustiller.layers.tests.fixtures import SPEC
from hibiscustiller.leadership import HOLDER_KEY, ControlLease
from hibiscustiller.platform import (
    SERVER_PREFIX,
    MetadataStore,
    decode_server_entry,
)
from hibiscustiller.standins import LayeredEngineStandin, MetadataStoreStandin
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

SECOND = timedelta(seconds=1)
# Above the fences of the first term in the first era of the store.
NEWER_FENCE = 1 << 42


class Bench:
    """Engines, a store, and placers that read the store's entries directly.

    :param count: number of engines; three of the large kind can hold the model.
    """

    def __init__(self, count=4):
        self.clock = SystemClock()
        self.standin = MetadataStoreStandin(self.clock)
        self.engines_by_address = {}
        self.engines = [
            LayeredEngineStandin(f"e{n}", self.standin, self.engines_by_address)
            for n in range(count)
        ]
        self.client = HttpClient(self.clock)
        self.tasks = []
        self.placers_by_name = {}

    async def __aenter__(self):
        await self.standin.start()
        for engine in self.engines:
            await engine.start()
        return self

    async def __aexit__(self, *args):
        for task in self.tasks:
            await task.cancel()
        for engine in self.engines:
            await engine.server.close()
        await self.standin.stop()
        await self.client.close()

    def list_groups(self):
        servers = [
            decode_server_entry(key, item.value)
            for key, item in self.standin.items.items()
            if key.startswith(SERVER_PREFIX)
        ]
        ready = [server for server in servers if server.state is ServerState.READY]
        alive = [s for s in ready if self.engines_by_address[str(s.address)].is_alive]
        return [EngineGroup(SPEC, tuple(alive))]

    def has_lease_holder(self):
        self.standin.expire_leases()
        return HOLDER_KEY in self.standin.items

    async def start_placer(self, name="router-1", ttl=2 * SECOND):
        store = MetadataStore(self.client, self.standin.address, SECOND, 1 << 20)
        lease = ControlLease(
            name,
            store,
            self.clock,
            random.Random(name),
            ttl,
            SECOND / 4,
            lambda: store.era,
        )
        placer = LayerPlacer(
            lease,
            self.has_lease_holder,
            lambda: True,
            self.list_groups,
            self.client,
            self.clock,
            lambda: SECOND / 100,
            SECOND / 2,
        )
        self.tasks.append(await curio.spawn(placer.run))
        self.placers_by_name[name] = placer
        return lease

    @property
    def missing_layers(self):
        """The layers that no living engine holds."""
        held = set()
        for engine in self.engines:
            if engine.is_alive:
                held |= set(range(*engine.layers))
        return set(range(SPEC.layers)) - held

    async def wait_until(self, condition, timeout_s=6.0):
        async with curio.timeout_after(timeout_s):
            while not condition():
                await curio.sleep(0.01)


async def test_stopping_router_does_not_take_the_lease_again():
    """Guards against a holder that stops in the middle of a placement."""
    async with Bench() as bench:
        lease = await bench.start_placer()
        await bench.wait_until(lambda: lease.term is not None)
        await bench.placers_by_name["router-1"].release()
        await curio.sleep(0.6)
        assert lease.term is None and not bench.has_lease_holder()


async def test_engines_get_all_layers_and_no_second_order():
    """Guards against gaps, and against unnecessary orders, which are charged."""
    async with Bench() as bench:
        await bench.start_placer()
        await bench.wait_until(lambda: not bench.missing_layers)
        orders = sum(len(engine.orders) for engine in bench.engines)
        await curio.sleep(1.5)
        assert sum(len(engine.orders) for engine in bench.engines) == orders
        for engine in bench.engines:
            assert all(order["fencing_token"] > 0 for order in engine.orders)


async def test_lost_engine_is_replaced():
    """Guards against a cover that stays incomplete while an engine is unused."""
    async with Bench() as bench:
        await bench.start_placer()
        await bench.wait_until(lambda: not bench.missing_layers)
        lost = next(engine for engine in bench.engines if engine.layers[1])
        await lost.die()
        assert bench.missing_layers
        await bench.wait_until(lambda: not bench.missing_layers)


async def test_next_holder_continues_after_the_last_one_was_killed():
    """Guards against layers that no router places after the holder was killed."""
    async with Bench() as bench:
        await bench.start_placer("router-1", ttl=SECOND)
        await bench.wait_until(lambda: HOLDER_KEY in bench.standin.items)
        await bench.tasks[0].cancel()
        await bench.start_placer("router-2", ttl=SECOND)
        await bench.wait_until(lambda: not bench.missing_layers)
        # Engines ordered by both holders must have seen increasing fencing tokens.
        for engine in bench.engines:
            fences = [order["fencing_token"] for order in engine.orders]
            assert fences == sorted(fences)


async def test_engine_that_saw_a_newer_fence_ends_the_term():
    """Guards against a holder that sends orders after it was replaced."""
    async with Bench() as bench:
        for engine in bench.engines:
            engine.last_fence = NEWER_FENCE
        lease = await bench.start_placer()
        await bench.wait_until(lambda: lease.term is not None)
        await bench.wait_until(lambda: lease.term is None)
        assert all(not engine.orders for engine in bench.engines)


async def test_a_restored_store_ends_the_term_and_the_next_fence_is_higher():
    """Guards against fences that are given out a second time.

    The restored store lacks the holder's lease, and numbers its revisions again from
    those of the copy.
    """
    async with Bench() as bench:
        copy = bench.standin.copy()
        lease = await bench.start_placer()
        await bench.wait_until(lambda: not bench.missing_layers)
        before = lease.term.fence
        orders = sum(len(engine.orders) for engine in bench.engines)
        bench.standin.restore(copy)
        await bench.wait_until(lambda: lease.term and lease.term.fence != before)
        assert lease.term.fence > before
        for engine in bench.engines:
            engine.write_entry()
        await curio.sleep(0.5)
        assert not bench.missing_layers
        assert sum(len(engine.orders) for engine in bench.engines) == orders


async def test_two_holders_around_a_restore_have_different_fences():
    """Guards against orders of a holder that has not learnt of the restore.

    A second router acquires the lease, since the restored store lacks the first one's.
    Engines that the second one ordered refuse the first, whatever it believes.
    """
    async with Bench() as bench:
        leases = []
        for name in ("router-1", "router-2"):
            store = MetadataStore(bench.client, bench.standin.address, SECOND, 1 << 20)
            lease = ControlLease(
                name,
                store,
                bench.clock,
                random.Random(name),
                get_store_era=lambda store=store: store.era,
            )
            leases.append(lease)
        first, second = leases
        copy = bench.standin.copy()
        assert await first.acquire()
        bench.standin.restore(copy)
        assert await second.acquire()
        assert second.term.fence > first.term.fence
        # Any answer of the store tells the first one that its term is over.
        term = first.term
        assert first.has_margin(term)
        assert not await first.renew()
        assert not first.has_margin(term) and first.is_ended_by_restore
        assert not await first.acquire()
        await second.release()
        assert await first.acquire()
        assert first.term.fence > term.fence


async def test_order_whose_answer_is_lost_is_not_assumed():
    """Guards against a plan that relies on layers that no engine holds."""
    async with Bench() as bench:
        first = bench.engines[0]
        answer_order = first._answer_order

        async def lose_order(order, responder):
            first._answer_order = answer_order

        first._answer_order = lose_order
        await bench.start_placer()
        await bench.wait_until(lambda: not bench.missing_layers)


async def test_order_carried_out_late_is_refused_by_its_count():
    """Guards against a delayed order that reverts a newer one seconds later."""
    async with Bench() as bench:
        await bench.start_placer()
        await bench.wait_until(lambda: not bench.missing_layers)
        engine = next(engine for engine in bench.engines if engine.orders)
        delayed = engine.orders[0]
        assert delayed["expected"] == 0
        held = engine.layers
        answers = []

        class Recorder:
            async def send_json(self, status, body):
                answers.append(status)

        await engine._answer_order({**delayed, "from": 0, "target": 1}, Recorder())
        assert answers == [409]
        assert engine.layers == held
        assert LayerRange(*held).width > 1


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
