"""The control holder against engines that check fences and engines that do not."""

import random
import sys
from datetime import timedelta

from hibiscustiller.configuration import build_config
from hibiscustiller.control import ControlHolder
from hibiscustiller.control.tests.test_lease import SECOND
from hibiscustiller.control.tests.test_lease import Bench as StoreBench
from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.settings import Address
from hibiscustiller.standins import EngineOptions, EngineStandin
from hibiscustiller.utils import violations_by_name
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

ANY_PORT = Address("127.0.0.1", 0)


class PausingClient(HttpClient):
    """Stops the process, as seen by its clocks, at a chosen call."""

    def __init__(self, clock):
        super().__init__(clock)
        self._own_clock = clock
        self.pause_after = None

    async def request(self, address, method, target, **options):
        answer = await super().request(address, method, target, **options)
        if target == self.pause_after:
            self.pause_after = None
            self._own_clock.advance(SECOND * 60)
        return answer


class Bench(StoreBench):
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
    """Guards against an engine left with an old version, adapter or role."""
    bench = await Bench().start()
    holder = bench.make_holder()
    await holder.reconcile()
    assert bench.list_orders() == [], "no lease yet"
    await holder.step_lease()
    await holder.reconcile()
    assert bench.is_converged()
    assert {order["fence"] for order in bench.list_orders()} == {holder.fence}
    count = len(bench.list_orders())
    await holder.reconcile()
    assert len(bench.list_orders()) == count, "nothing is left to do"
    # An engine that was replaced comes up with its defaults.
    bench.clock.advance(SECOND * 6)
    await holder.step_lease()
    bench.engines["e1"].version = "1"
    await holder.reconcile()
    assert bench.is_converged()
    await bench.stop()


async def test_draining_server_gets_no_command():
    """Guards against loads for a server that is about to be taken away."""
    bench = await Bench().start(engines=1)
    bench.sections["server e0"]["state"] = "draining"
    holder = bench.make_holder()
    await holder.step_lease()
    await holder.reconcile()
    assert bench.list_orders() == []
    await bench.stop()


async def test_holder_paused_at_any_call_sends_nothing_more():
    """Guards against a holder that wakes past its lease in the middle of a pass."""
    for call in ("/v3/kv/range", "/v1/state", "/v1/orders"):
        bench = await Bench().start()
        client = PausingClient(bench.clock)
        holder = bench.make_holder(client=client)
        if call.startswith("/v3"):
            bench.store._client = client
        await holder.step_lease()
        client.pause_after = call
        await holder.reconcile()
        sent = bench.list_orders()
        assert len(sent) == (1 if call == "/v1/orders" else 0), call
        other = bench.make_holder("b")
        await other.step_lease()
        assert other.fence is not None
        await holder.reconcile()
        assert bench.list_orders() == sent, call
        assert holder.fence is None, "the key is another's"
        await client.close()
        await bench.stop()


async def test_late_command_of_an_old_holder():
    """Guards against an old command that stays in force at either kind of engine."""
    bench = await Bench().start(engines=2)
    old, new = bench.make_holder("a"), bench.make_holder("b")
    await old.step_lease()
    late = {"fence": old.fence, "action": "load", "model": "m", "version": "1"}
    bench.clock.advance(SECOND * 60)
    await new.step_lease()
    await new.reconcile()
    assert bench.is_converged()
    statuses = []
    for engine in bench.engines.values():
        answer = await bench.client.request_json(
            engine.address, "POST", "/v1/orders", late, timeout=SECOND
        )
        statuses.append(answer.status)
    assert statuses == [409, 200]
    # The window at the engine that ignores fences ends with the next pass.
    assert not bench.is_converged()
    bench.clock.advance(SECOND * 6)
    await new.step_lease()
    await new.reconcile()
    assert bench.is_converged()
    await bench.stop()


async def test_newer_fence_at_an_engine_ends_the_term():
    """Guards against a holder that goes on beside a newer one."""
    bench = await Bench().start(engines=1)
    bench.engines["e0"].highest_fence = 10**6
    holder = bench.make_holder()
    await holder.step_lease()
    await holder.reconcile()
    assert holder.fence is None
    assert bench.engines["e0"].orders == []
    await bench.stop()


async def test_store_outage_ends_control_with_the_lease():
    """Guards against a holder that goes on without a store."""
    bench = await Bench().start(engines=1)
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
    """Guards against commands while the store may know another holder."""
    bench = await Bench().start(engines=1)
    holder = bench.make_holder()
    await holder.step_lease()
    bench.platform.faults.is_down = True
    try:
        await holder.reconcile()
    except StoreUnavailableError:
        assert bench.list_orders() == []
    else:
        raise AssertionError("the lease was not confirmed")
    await bench.stop()


async def test_shutdown_hands_over_at_once():
    """Guards against engines without control until a lease expires."""
    bench = await Bench().start(engines=1)
    old, new = bench.make_holder("a"), bench.make_holder("b")
    await old.step_lease()
    await old.stop()
    await new.step_lease()
    assert new.fence is not None
    await bench.stop()


async def test_few_routers_stand_by():
    """Guards against 330 routers that all ask the store for the lease."""
    bench = await Bench().start(engines=0)
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
    """Guards against a weight store asked for all weights at once."""
    bench = await Bench().start(engines=3, load_time="20s")
    holder = bench.make_holder()
    await holder.step_lease()
    loads = []
    for _ in range(30):
        await holder.reconcile()
        loads.append(sum(o["action"] == "load" for o in bench.list_orders()))
        bench.clock.advance(SECOND * 2)
        await holder.step_lease()
    assert loads[0] == 1 and loads[9] == 1
    assert loads[10] == 2 and loads[19] == 2
    assert loads[20] == 3 and bench.is_converged()
    await bench.stop()


async def test_least_ready_cover_is_loaded_first():
    """Guards against a model without any cover that waits behind others."""
    bench = await Bench().start(engines=0, load_time="20s", layers=4)
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
    loads = {s: e.orders for s, e in bench.engines.items()}
    loaded = [s for s, o in loads.items() if any(x["action"] == "load" for x in o)]
    assert loaded == ["n2"]
    await bench.stop()


async def test_retries_are_bounded_and_spaced():
    """Guards against an engine that is sent the same failing command for ever."""
    bench = await Bench().start(engines=1)
    engine = bench.engines["e0"]
    times = []

    async def accept_without_effect(order, responder):
        times.append(bench.clock.monotonic())
        await responder.send_json(500, {})

    engine._take_order = accept_without_effect
    engine.role = "decode"
    holder = bench.make_holder()
    for _ in range(500):
        await holder.step_lease()
        await holder.reconcile()
        bench.clock.advance(SECOND * 2)
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert len(times) <= 16, len(times)
    assert min(gaps) >= SECOND * 2.5, gaps
    assert max(gaps) >= timedelta(minutes=9), gaps
    await bench.stop()


async def test_unreachable_and_malformed_engines_hold_up_nobody():
    """Guards against one bad engine that stops the control of all (R9)."""
    bench = await Bench().start(engines=4)
    await bench.engines["e0"].crash()
    bench.engines["e1"]._describe_state = lambda: {"model": "m"}
    holder = bench.make_holder()
    await holder.step_lease()
    await holder.reconcile()
    assert all(bench.engines[name].version == "2" for name in ("e2", "e3"))
    assert bench.engines["e1"].orders == []
    assert violations_by_name["command_within_lease_margin"] == 0
    await bench.stop()


async def test_engines_that_know_fences_of_a_lost_store_are_controlled_again():
    """Guards against commands refused until a restored store has caught up."""
    bench = await Bench().start()
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
    """Guards against one faulty engine that keeps all others from being controlled."""
    bench = await Bench().start()
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
