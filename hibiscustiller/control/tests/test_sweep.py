"""Tests of which engines the controller reads, and at what rate in bytes."""

import sys

from hibiscustiller.configuration import build_config
from hibiscustiller.control._commands import EngineState
from hibiscustiller.control._sweep import (
    READ_HEADER_BYTES,
    SWEEP_BYTES_PER_SECOND,
    SWEEP_PERIOD,
    StateSweep,
    compute_sweep_period,
)
from hibiscustiller.control.tests.test_holder import EngineBench
from hibiscustiller.control.tests.test_lease import SECOND
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

BODY_BYTES = 130
READ_BYTES = READ_HEADER_BYTES + BODY_BYTES
STATE = EngineState("m", "1", (), "mixed", 0)


class SweepBench:
    """Responds to the sweep's reads and records the times of each server's reads."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.sweep = StateSweep(self.clock)
        self.sections = {
            "model m": {"layers": "40"},
            "model n": {"layers": "40"},
        }
        for index in range(count):
            self.add_server(f"s{index:04}", "m")
        self.read_times_by_server = {}
        self.body_bytes = BODY_BYTES
        self.failing_servers = set()
        self.rebuild_config()

    def add_server(self, name, model):
        self.sections[f"server {name}"] = {
            "address": "127.0.0.1:9000",
            "failure_domain": "d",
            "model": model,
            "first_layer": "0",
            "last_layer": "40",
        }

    def rebuild_config(self):
        self.config = build_config(self.sections)

    def run_pass(self, pending=()):
        """Run one pass and return the names of the servers that it read."""
        servers = self.sweep.select_servers(self.config, pending)
        for server in servers:
            state = None if server.name in self.failing_servers else STATE
            self.sweep.record_read(self.config, server, state, self.body_bytes)
            read_times = self.read_times_by_server.setdefault(server.name, [])
            read_times.append(self.clock.monotonic())
        return [server.name for server in servers]

    def run_passes(self, count, step=SWEEP_PERIOD):
        """Run passes, ``step`` apart, and return the number of reads in each."""
        counts = []
        for _ in range(count):
            self.clock.advance(step)
            counts.append(len(self.run_pass()))
        return counts


async def test_every_server_is_read_within_the_stated_period():
    """Guards against a server that the sweep skips for longer than the period."""
    for count in (1, 40, 45, 46, 80, 300, 600):
        bench = SweepBench(count)
        assert len(bench.run_pass()) == count, (
            "the first pass of a term reads all servers"
        )
        bench.run_passes(60)
        period = compute_sweep_period(count, READ_BYTES)
        end = bench.clock.monotonic()
        assert len(bench.read_times_by_server) == count
        for name, read_times in bench.read_times_by_server.items():
            gaps = [
                b - a for a, b in zip(read_times, [*read_times[1:], end], strict=True)
            ]
            assert max(gaps) <= period, (count, name, max(gaps), period)


async def test_small_fleet_keeps_the_shortest_period():
    """Guards against a longer period for a fleet of 40 replicas, the present size."""
    assert compute_sweep_period(40, READ_BYTES) == SWEEP_PERIOD
    assert SweepBench(40).run_passes(3) == [40, 40, 40]


async def test_byte_rate_is_bounded():
    """Guards against control traffic that grows with the fleet or with the answers."""
    # Frequent changes of the document cause passes at irregular times.
    for step in (SECOND, SWEEP_PERIOD, SECOND * 7.3):
        for body_bytes in (BODY_BYTES, 2000):
            bench = SweepBench(600)
            bench.body_bytes = body_bytes
            bench.run_pass()
            bench.run_passes(1, step)
            bytes_per_read = READ_HEADER_BYTES + body_bytes
            passes = 40
            bytes_read = sum(bench.run_passes(passes, step)) * bytes_per_read
            elapsed = (step * passes).total_seconds()
            # The bytes of one pass and of one read may be carried over from before.
            carried_bytes = (
                SWEEP_PERIOD.total_seconds() * SWEEP_BYTES_PER_SECOND + bytes_per_read
            )
            assert bytes_read <= elapsed * SWEEP_BYTES_PER_SECOND + carried_bytes, (
                step,
                bytes_read,
            )


async def test_pause_causes_no_burst():
    """Guards against a holder that reads all engines at once after it was paused."""
    bench = SweepBench(600)
    bench.run_pass()
    bench.run_passes(3)
    bench.clock.advance(SECOND * 600)
    bytes_per_pass = SWEEP_PERIOD.total_seconds() * SWEEP_BYTES_PER_SECOND
    assert len(bench.run_pass()) * READ_BYTES <= bytes_per_pass + READ_BYTES


async def test_changed_servers_are_read_at_once():
    """Guards against a change of the document that takes effect only in turn."""
    bench = SweepBench(600)
    bench.run_pass()
    bench.sections["server s0300"]["role"] = "decode"
    bench.sections["server s0301"]["state"] = "draining"
    bench.add_server("s9999", "n")
    bench.rebuild_config()
    assert set(bench.run_pass()) == {"s0300", "s0301", "s9999"}
    assert bench.run_pass() == [], "the document has not changed again"
    bench.sections["model n"]["version"] = "2"
    bench.rebuild_config()
    assert bench.run_pass() == ["s9999"]
    bench.sections["team t"] = {"key_sha256": "0" * 64, "owns": "server *"}
    bench.rebuild_config()
    assert bench.run_pass() == [], "no part about a server changed"


async def test_servers_with_a_pending_command_are_read_at_once():
    """Guards against a command whose effect is only checked when its turn comes."""
    bench = SweepBench(600)
    bench.run_pass()
    assert bench.run_pass(pending={"s0599"}) == ["s0599"]


async def test_new_term_reads_all_at_once():
    """Guards against a holder that uses states from before another router's term."""
    bench = SweepBench(600)
    bench.run_pass()
    bench.sweep.discard_all()
    assert bench.sweep.states_by_server == {}
    assert len(bench.run_pass()) == 600


async def test_unreachable_fleet_is_read_at_the_bounded_rate():
    """Guards against unlimited reads of changed servers that do not respond."""
    bench = SweepBench(600)
    bench.failing_servers = {f"s{index:04}" for index in range(600)}
    assert len(bench.run_pass()) == 600
    counts = bench.run_passes(6)
    assert counts[:2] == [600, 600], "failed reads are retried at first"
    bytes_per_pass = SWEEP_PERIOD.total_seconds() * SWEEP_BYTES_PER_SECOND
    assert max(counts[2:]) * READ_BYTES <= bytes_per_pass + READ_BYTES, counts
    assert bench.sweep.states_by_server == {}


async def test_removed_servers_are_discarded():
    """Guards against memory use that grows with every replaced server."""
    bench = SweepBench(3)
    bench.run_pass()
    del bench.sections["server s0001"]
    bench.rebuild_config()
    bench.run_pass()
    assert set(bench.sweep.states_by_server) == {"s0000", "s0002"}
    assert set(bench.sweep._records_by_server) == {"s0000", "s0002"}


class ReadCountingClient(HttpClient):
    """Records the addresses of the engines whose state is read."""

    def __init__(self, clock):
        super().__init__(clock)
        self.read_addresses = []

    async def request(self, address, method, target, **options):
        if target == "/v1/state":
            self.read_addresses.append(address)
        return await super().request(address, method, target, **options)


async def start_counting_holder(engines):
    """Return a test bench and a controller whose client records its reads."""
    bench = await EngineBench().start(engines=engines)
    config = build_config(bench.sections)
    bench.current_config = config
    holder = bench.make_holder(client=ReadCountingClient(bench.clock))
    holder._get_config = lambda: bench.current_config
    return bench, holder


async def test_holder_reconciles_at_once_after_a_new_document_or_term():
    """Guards against a new document or term that waits for the next regular pass."""
    bench, holder = await start_counting_holder(engines=4)
    read_addresses = holder._client.read_addresses
    await holder.reconcile_if_due()
    assert read_addresses == [], "no lease yet"
    await holder.step_lease()
    await holder.reconcile_if_due()
    assert len(read_addresses) == 4 and bench.is_converged()
    await holder.reconcile_if_due()
    assert len(read_addresses) == 4, "no pass is due"
    bench.clock.advance(SECOND)
    bench.sections["server e1"]["role"] = "prefill"
    bench.current_config = build_config(bench.sections)
    await holder.reconcile_if_due()
    # The other engines are read once to check whether their commands took effect.
    assert bench.engines["e1"].role == "prefill"
    read_addresses.clear()
    bench.clock.advance(SECOND)
    await holder.reconcile_if_due()
    assert read_addresses == []
    bench.clock.advance(SWEEP_PERIOD - SECOND)
    await holder.reconcile_if_due()
    assert len(read_addresses) == 4
    await holder._client.close()
    await bench.stop()


async def test_load_is_confirmed_by_a_fresh_read():
    """Guards against a load that an engine no longer needs.

    Loads wait for the weight store, so the state that a load is based on may be
    outdated when the load is sent.
    """
    bench = await EngineBench().start(engines=2, load_time="20s")
    holder = bench.make_holder()
    await holder.step_lease()
    await holder.reconcile()
    loads = [order for order in bench.list_orders() if order["action"] == "load"]
    assert len(loads) == 1
    waiting_engine = next(
        engine
        for engine in bench.engines.values()
        if all(order["action"] != "load" for order in engine.orders)
    )
    # The engine reaches the state by other means between two reads, such as when it is
    # replaced.
    for _ in range(4):
        bench.clock.advance(SECOND * 5)
        await holder.step_lease()
    waiting_engine.version, waiting_engine.adapters = "2", ("x", "y")
    holder._sweep.select_servers = lambda config, pending: []
    await holder.reconcile()
    assert all(order["action"] != "load" for order in waiting_engine.orders)
    await bench.stop()


async def test_pending_reads_are_bounded_while_the_weight_store_is_busy():
    """Guards against reads in every pass of engines that wait to be loaded."""
    bench, holder = await start_counting_holder(engines=3)
    bench.sections["model m"]["load_time"] = "1000s"
    bench.current_config = build_config(bench.sections)
    await holder.step_lease()
    await holder.reconcile_if_due()
    holder._sweep._select_least_recent = lambda servers: []
    holder._client.read_addresses.clear()
    for _ in range(60):
        bench.clock.advance(SWEEP_PERIOD)
        await holder.step_lease()
        await holder.reconcile_if_due()
    # In 300 s: one read to check the effect of each command, then one per 2 minutes.
    assert len(holder._client.read_addresses) <= 3 * (2 + 3), len(
        holder._client.read_addresses
    )
    await holder._client.close()
    await bench.stop()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
