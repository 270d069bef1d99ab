"""Tests of the controller with engines that check fences and engines that do not."""

import random
import sys
from datetime import timedelta

from hibiscustiller.configuration import build_config
from hibiscustiller.control import ControlHolder
from hibiscustiller.control.tests.test_lease import SECOND, StoreBench
from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.settings import Address
from hibiscustiller.standins import EngineOptions, EngineStandin
from hibiscustiller.utils import violations_by_name
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

ANY_PORT = Address("127.0.0.1", 0)


class PausingClient(HttpClient):
    """Simulates a pause of the process after a request to ``pause_after``."""

    def __init__(self, clock):
        super().__init__(clock)
        self._manual_clock = clock
        self.pause_after = None

    async def request(self, address, method, target, **options):
        response = await super().request(address, method, target, **options)
        if target == self.pause_after:
            self.pause_after = None
            self._manual_clock.advance(SECOND * 60)
        return response


class EngineBench(StoreBench):
    """Adds engine stand-ins and a configuration document to the store."""

    async def start(self, engines=4, load_time="0s", layers=2):
        await super().start()
        self.engines = {}
        self.sections = {
            "model m": {
                "layers": str(layers),
                "version": "2",
                "adapters": "x, y",
                "load_time": load_time,
            }
        }
        for index in range(engines):
            await self.add_engine(f"e{index}", "m", 0, layers, index % 2 == 0)
        return self

    async def add_engine(self, name, model, first, last, checks_fence=False):
        options = EngineOptions(name, model, first, last, checks_fence=checks_fence)
        engine = EngineStandin(options, ANY_PORT, self.clock)
        await engine.start()
        self.engines[name] = engine
        self.sections[f"server {name}"] = {
            "address": str(engine.address),
            "failure_domain": "d",
            "model": model,
            "first_layer": str(first),
            "last_layer": str(last),
            "role": "decode",
        }

    def make_holder(self, router="a", routers=("a", "b"), client=None):
        return ControlHolder(
            router,
            self.store,
            client or self.client,
            lambda: build_config(self.sections),
            lambda: routers,
            self.clock,
            random.Random(router),
        )

    def list_orders(self):
        return [order for e in self.engines.values() for order in e.orders]

    def is_converged(self):
        return all(
            (e.model, e.version, set(e.adapters), e.role)
            == ("m", "2", {"x", "y"}, "decode")
            for e in self.engines.values()
        )

    async def stop(self):
        for engine in self.engines.values():
            await engine.close()
        await super().stop()


async def test_engines_follow_the_document():
    """Guards against an engine that keeps an old version, adapters or role."""
    bench = await EngineBench().start()
    holder = bench.make_holder()
    await holder.reconcile()
    assert bench.list_orders() == [], "no lease yet"
    await holder.step_lease()
    await holder.reconcile()
    assert bench.is_converged()
    assert {order["fence"] for order in bench.list_orders()} == {holder.fence}
    order_count = len(bench.list_orders())
    await holder.reconcile()
    assert len(bench.list_orders()) == order_count, "no command is missing"
    # A replaced engine starts with its default version.
    bench.clock.advance(SECOND * 6)
    await holder.step_lease()
    bench.engines["e1"].version = "1"
    await holder.reconcile()
    assert bench.is_converged()
    await bench.stop()


async def test_draining_server_gets_no_command():
    """Guards against loads for a server that is about to be removed."""
    bench = await EngineBench().start(engines=1)
    bench.sections["server e0"]["state"] = "draining"
    holder = bench.make_holder()
    await holder.step_lease()
    await holder.reconcile()
    assert bench.list_orders() == []
    await bench.stop()


async def test_holder_paused_at_any_call_sends_nothing_more():
    """Guards against commands after a pause in a pass that outlasts the lease."""
    for target in ("/v3/kv/range", "/v1/state", "/v1/orders"):
        bench = await EngineBench().start()
        client = PausingClient(bench.clock)
        holder = bench.make_holder(client=client)
        if target.startswith("/v3"):
            bench.store._client = client
        await holder.step_lease()
        client.pause_after = target
        await holder.reconcile()
        sent_orders = bench.list_orders()
        assert len(sent_orders) == (1 if target == "/v1/orders" else 0), target
        other = bench.make_holder("b")
        await other.step_lease()
        assert other.fence is not None
        await holder.reconcile()
        assert bench.list_orders() == sent_orders, target
        assert holder.fence is None, "the key belongs to the other router"
        await client.close()
        await bench.stop()


async def test_late_command_of_an_old_holder():
    """Guards against a late command of an earlier term that stays in force.

    Engines that check fences refuse it; the next pass corrects the other engines.
    """
    bench = await EngineBench().start(engines=2)
    old_holder, new_holder = bench.make_holder("a"), bench.make_holder("b")
    await old_holder.step_lease()
    late_command = {
        "fence": old_holder.fence,
        "action": "load",
        "model": "m",
        "version": "1",
    }
    bench.clock.advance(SECOND * 60)
    await new_holder.step_lease()
    await new_holder.reconcile()
    assert bench.is_converged()
    statuses = []
    for engine in bench.engines.values():
        response = await bench.client.request_json(
            engine.address, "POST", "/v1/orders", late_command, timeout=SECOND
        )
        statuses.append(response.status)
    assert statuses == [409, 200]
    # The engine that ignores fences follows the late command until the next pass.
    assert not bench.is_converged()
    bench.clock.advance(SECOND * 6)
    await new_holder.step_lease()
    await new_holder.reconcile()
    assert bench.is_converged()
    await bench.stop()


async def test_newer_fence_at_an_engine_ends_the_term():
    """Guards against a holder that continues while a newer one is active."""
    bench = await EngineBench().start(engines=1)
    bench.engines["e0"].highest_fence = 10**6
    holder = bench.make_holder()
    await holder.step_lease()
    await holder.reconcile()
    assert holder.fence is None
    assert bench.engines["e0"].orders == []
    await bench.stop()


async def test_store_outage_ends_control_with_the_lease():
    """Guards against a holder that continues after its lease without a store."""
    bench = await EngineBench().start(engines=1)
    holder = bench.make_holder()
    await holder.step_lease()
    bench.platform.faults.is_down = True
    for _ in range(4):
        bench.clock.advance(SECOND * 2)
        await holder.step_lease()
        assert holder.fence is not None
    bench.clock.advance(SECOND)
    await holder.step_lease()
    assert holder.fence is None
    await holder.reconcile()
    assert bench.list_orders() == []
    bench.platform.faults.is_down = False
    bench.clock.advance(SECOND * 2)
    await holder.step_lease()
    await holder.reconcile()
    assert bench.is_converged()
    await bench.stop()


async def test_unconfirmed_lease_sends_nothing():
    """Guards against commands while another router may hold the lease."""
    bench = await EngineBench().start(engines=1)
    holder = bench.make_holder()
    await holder.step_lease()
    bench.platform.faults.is_down = True
    try:
        await holder.reconcile()
    except StoreUnavailableError:
        assert bench.list_orders() == []
    else:
        raise AssertionError(
            "reconcile did not raise although the lease was not confirmed"
        )
    await bench.stop()


async def test_shutdown_releases_the_lease():
    """Guards against a lease that blocks other routers until it expires."""
    bench = await EngineBench().start(engines=1)
    old_holder, new_holder = bench.make_holder("a"), bench.make_holder("b")
    await old_holder.step_lease()
    await old_holder.stop()
    await new_holder.step_lease()
    assert new_holder.fence is not None
    await bench.stop()


async def test_few_routers_compete_for_the_lease():
    """Guards against 330 routers that all request the lease from the store."""
    bench = await EngineBench().start(engines=0)
    routers = [f"r{n}" for n in range(330)]
    for router in routers:
        holder = bench.make_holder(router, routers)
        if holder._is_candidate():
            await holder.step_lease()
        else:
            before = sum(bench.platform.calls_by_kind.values())
            await holder.step_lease()
            assert sum(bench.platform.calls_by_kind.values()) == before
    candidates = [r for r in routers if bench.make_holder(r, routers)._is_candidate()]
    assert len(candidates) == 3
    await bench.stop()


async def test_loads_follow_the_weight_stores_rate():
    """Guards against a weight store that has to serve all loads at once."""
    bench = await EngineBench().start(engines=3, load_time="20s")
    holder = bench.make_holder()
    await holder.step_lease()
    load_counts = []
    for _ in range(30):
        await holder.reconcile()
        load_counts.append(
            sum(order["action"] == "load" for order in bench.list_orders())
        )
        bench.clock.advance(SECOND * 2)
        await holder.step_lease()
    assert load_counts[0] == 1 and load_counts[9] == 1
    assert load_counts[10] == 2 and load_counts[19] == 2
    assert load_counts[20] == 3 and bench.is_converged()
    await bench.stop()


async def test_model_with_least_coverage_is_loaded_first():
    """Guards against a model without coverage that waits for loads of other models."""
    bench = await EngineBench().start(engines=0, load_time="20s", layers=4)
    bench.sections["model n"] = {"layers": "4", "version": "1", "load_time": "20s"}
    await bench.add_engine("m1", "m", 0, 4)
    await bench.add_engine("m2", "m", 0, 4)
    await bench.add_engine("n1", "n", 0, 2)
    await bench.add_engine("n2", "n", 2, 4)
    bench.engines["m1"].version, bench.engines["m1"].adapters = "2", ("y", "x")
    bench.engines["n2"].model = "other"
    holder = bench.make_holder()
    await holder.step_lease()
    await holder.reconcile()
    orders_by_server = {name: engine.orders for name, engine in bench.engines.items()}
    loaded_servers = [
        name
        for name, orders in orders_by_server.items()
        if any(order["action"] == "load" for order in orders)
    ]
    assert loaded_servers == ["n2"]
    await bench.stop()


async def test_retries_are_bounded_and_spaced():
    """Guards against sending an engine the same failing command without limit."""
    bench = await EngineBench().start(engines=1)
    engine = bench.engines["e0"]
    attempt_times = []

    async def accept_without_effect(order, responder):
        attempt_times.append(bench.clock.monotonic())
        await responder.send_json(500, {})

    engine._take_order = accept_without_effect
    engine.role = "decode"
    holder = bench.make_holder()
    for _ in range(500):
        await holder.step_lease()
        await holder.reconcile()
        bench.clock.advance(SECOND * 2)
    gaps = [b - a for a, b in zip(attempt_times, attempt_times[1:], strict=False)]
    assert len(attempt_times) <= 16, len(attempt_times)
    assert min(gaps) >= SECOND * 2.5, gaps
    assert max(gaps) >= timedelta(minutes=9), gaps
    await bench.stop()


async def test_faulty_engines_do_not_block_the_others():
    """Guards against one faulty engine that stops the control of all engines (R9)."""
    bench = await EngineBench().start(engines=4)
    await bench.engines["e0"].crash()
    bench.engines["e1"]._describe_state = lambda: {"model": "m"}
    holder = bench.make_holder()
    await holder.step_lease()
    await holder.reconcile()
    assert all(bench.engines[name].version == "2" for name in ("e2", "e3"))
    assert bench.engines["e1"].orders == []
    assert violations_by_name["command_within_lease_margin"] == 0
    await bench.stop()


async def test_engines_are_controlled_again_after_a_store_restore():
    """Guards against commands that are refused after the store was restored.

    The engines know fences above the revision of the restored store.
    """
    bench = await EngineBench().start()
    for engine in bench.engines.values():
        engine.highest_fence = 100_000
    holder = bench.make_holder()
    for _ in range(3):
        await holder.step_lease()
        await holder.reconcile()
        bench.clock.advance(SECOND * 3)
    assert bench.is_converged()
    assert min(order["fence"] for order in bench.list_orders()) > 100_000
    await bench.stop()


async def test_engine_that_reports_ever_higher_fences_does_not_end_every_term():
    """Guards against one faulty engine that prevents the control of all others."""
    bench = await EngineBench().start()
    holder = bench.make_holder()
    faulty = bench.engines["e1"]
    for _ in range(4):
        await holder.step_lease()
        faulty.highest_fence = (holder.fence or 0) + 1000
        await holder.reconcile()
        bench.clock.advance(SECOND * 3)
    assert bench.is_converged()
    await bench.stop()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
