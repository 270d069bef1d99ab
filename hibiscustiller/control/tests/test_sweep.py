"""Which engines the control holder reads, and at what rate of bytes."""

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
from hibiscustiller.control.tests.test_holder import Bench
from hibiscustiller.control.tests.test_lease import SECOND
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

BODY_BYTES = 130
READ_BYTES = READ_HEADER_BYTES + BODY_BYTES
STATE = EngineState("m", "1", (), "mixed", 0)


class SweepBench:
    """Answers the sweep's reads and records when each server was read."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.sweep = StateSweep(self.clock)
        self.sections = {
            "model m": {"layers": "40"},
            "model n": {"layers": "40"},
        }
        for index in range(count):
            self.add_server(f"s{index:04}", "m")
        self.times_by_server = {}
        self.body_bytes = BODY_BYTES
        self.failing = set()
        self.apply_document()

    def add_server(self, name, model):
        self.sections[f"server {name}"] = {
            "address": "127.0.0.1:9000",
            "failure_domain": "d",
            "model": model,
            "first_layer": "0",
            "last_layer": "40",
        }

    def apply_document(self):
        self.config = build_config(self.sections)

    def run_pass(self, pending=()):
        """Run one pass and return the names of the servers that were read."""
        servers = self.sweep.select_servers(self.config, pending)
        for server in servers:
            state = None if server.name in self.failing else STATE
            self.sweep.record_read(self.config, server, state, self.body_bytes)
            times = self.times_by_server.setdefault(server.name, [])
            times.append(self.clock.monotonic())
        return [server.name for server in servers]

    def run_passes(self, count, step=SWEEP_PERIOD):
        """Run passes and return the number of reads of each."""
        counts = []
        for _ in range(count):
            self.clock.advance(step)
            counts.append(len(self.run_pass()))
        return counts


async def test_every_server_is_read_within_the_stated_period():
    """Guards against a server that the sweep passes over for longer than stated."""
    for count in (1, 40, 45, 46, 80, 300, 600):
        bench = SweepBench(count)
        assert len(bench.run_pass()) == count, "a new term reads all at once"
        bench.run_passes(60)
        period = compute_sweep_period(count, READ_BYTES)
        end = bench.clock.monotonic()
        assert len(bench.times_by_server) == count
        for name, times in bench.times_by_server.items():
            gaps = [b - a for a, b in zip(times, [*times[1:], end], strict=True)]
            assert max(gaps) <= period, (count, name, max(gaps), period)


async def test_small_fleet_keeps_the_shortest_period():
    """Guards against a longer window at today's size of 40 replicas."""
    assert compute_sweep_period(40, READ_BYTES) == SWEEP_PERIOD
    assert SweepBench(40).run_passes(3) == [40, 40, 40]


async def test_rate_of_bytes_is_bounded():
    """Guards against control traffic that grows with the fleet or with the answers."""
    # Passes at irregular times, as they follow when documents change often.
    for step in (SECOND, SWEEP_PERIOD, SECOND * 7.3):
        for body_bytes in (BODY_BYTES, 2000):
            bench = SweepBench(600)
            bench.body_bytes = body_bytes
            bench.run_pass()
            bench.run_passes(1, step)
            cost = READ_HEADER_BYTES + body_bytes
            passes = 40
            read = sum(bench.run_passes(passes, step)) * cost
            elapsed = (step * passes).total_seconds()
            # One share of a pass and one read may be kept from before.
            kept = SWEEP_PERIOD.total_seconds() * SWEEP_BYTES_PER_SECOND + cost
            assert read <= elapsed * SWEEP_BYTES_PER_SECOND + kept, (step, read)


async def test_pause_causes_no_burst():
    """Guards against a holder that reads all engines at once after a pause."""
    bench = SweepBench(600)
    bench.run_pass()
    bench.run_passes(3)
    bench.clock.advance(SECOND * 600)
    share = SWEEP_PERIOD.total_seconds() * SWEEP_BYTES_PER_SECOND
    assert len(bench.run_pass()) * READ_BYTES <= share + READ_BYTES


async def test_changed_servers_are_read_at_once():
    """Guards against a change of the document that waits for the sweep."""
    bench = SweepBench(600)
    bench.run_pass()
    bench.sections["server s0300"]["role"] = "decode"
    bench.sections["server s0301"]["state"] = "draining"
    bench.add_server("s9999", "n")
    bench.apply_document()
    assert set(bench.run_pass()) == {"s0300", "s0301", "s9999"}
    assert bench.run_pass() == [], "nothing changed since"
    bench.sections["model n"]["version"] = "2"
    bench.apply_document()
    assert bench.run_pass() == ["s9999"]
    bench.sections["team t"] = {"key_sha256": "0" * 64, "owns": "server *"}
    bench.apply_document()
    assert bench.run_pass() == [], "no server's part changed"


async def test_servers_with_a_command_are_read_at_once():
    """Guards against a command whose effect is looked for only in the sweep."""
    bench = SweepBench(600)
    bench.run_pass()
    assert bench.run_pass(pending={"s0599"}) == ["s0599"]


async def test_new_term_reads_all_at_once():
    """Guards against a holder that relies on states from before another's term."""
    bench = SweepBench(600)
    bench.run_pass()
    bench.sweep.discard_all()
    assert bench.sweep.states_by_server == {}
    assert len(bench.run_pass()) == 600


async def test_unreachable_fleet_is_read_at_the_bounded_rate():
    """Guards against reads without end at changed servers that do not answer."""
    bench = SweepBench(600)
    bench.failing = {f"s{index:04}" for index in range(600)}
    assert len(bench.run_pass()) == 600
    counts = bench.run_passes(6)
    assert counts[:2] == [600, 600], "a broken connection is tried again at once"
    share = SWEEP_PERIOD.total_seconds() * SWEEP_BYTES_PER_SECOND
    assert max(counts[2:]) * READ_BYTES <= share + READ_BYTES, counts
    assert bench.sweep.states_by_server == {}


async def test_removed_servers_are_forgotten():
    """Guards against memory that grows with every replaced server."""
    bench = SweepBench(3)
    bench.run_pass()
    del bench.sections["server s0001"]
    bench.apply_document()
    bench.run_pass()
    assert set(bench.sweep.states_by_server) == {"s0000", "s0002"}
    assert set(bench.sweep._records_by_server) == {"s0000", "s0002"}


class CountingClient(HttpClient):
    """Records the addresses whose state is read."""

    def __init__(self, clock):
        super().__init__(clock)
        self.reads = []

    async def request(self, address, method, target, **options):
        if target == "/v1/state":
            self.reads.append(address)
        return await super().request(address, method, target, **options)


async def start_counted_holder(engines):
    """Return a bench and a holder whose client records its reads."""
    bench = await Bench().start(engines=engines)
    config = build_config(bench.sections)
    bench.current = config
    holder = bench.make_holder(client=CountingClient(bench.clock))
    holder._get_config = lambda: bench.current
    return bench, holder


async def test_holder_looks_at_a_new_document_and_term_at_once():
    """Guards against a change that waits for the next pass."""
    bench, holder = await start_counted_holder(engines=4)
    reads = holder._client.reads
    await holder.reconcile_if_due()
    assert reads == [], "no lease yet"
    await holder.step_lease()
    await holder.reconcile_if_due()
    assert len(reads) == 4 and bench.is_converged()
    await holder.reconcile_if_due()
    assert len(reads) == 4, "no pass is due"
    bench.clock.advance(SECOND)
    bench.sections["server e1"]["role"] = "prefill"
    bench.current = build_config(bench.sections)
    await holder.reconcile_if_due()
    # The other engines are read once to see whether their commands took effect.
    assert bench.engines["e1"].role == "prefill"
    reads.clear()
    bench.clock.advance(SECOND)
    await holder.reconcile_if_due()
    assert reads == []
    bench.clock.advance(SWEEP_PERIOD - SECOND)
    await holder.reconcile_if_due()
    assert len(reads) == 4
    await holder._client.close()
    await bench.stop()


async def test_load_is_confirmed_by_a_fresh_read():
    """Guards against a load for an engine that has what it needs since its last read.

    Loads wait for the weight store, so the state that called for one may be old.
    """
    bench = await Bench().start(engines=2, load_time="20s")
    holder = bench.make_holder()
    await holder.step_lease()
    await holder.reconcile()
    loads = [o for o in bench.list_orders() if o["action"] == "load"]
    assert len(loads) == 1
    waiting = next(
        e
        for e in bench.engines.values()
        if all(o["action"] != "load" for o in e.orders)
    )
    # Another way to the same state, such as a replaced engine, between two reads.
    for _ in range(4):
        bench.clock.advance(SECOND * 5)
        await holder.step_lease()
    waiting.version, waiting.adapters = "2", ("x", "y")
    holder._sweep.select_servers = lambda config, pending: []
    await holder.reconcile()
    assert all(o["action"] != "load" for o in waiting.orders)
    await bench.stop()


async def test_pending_reads_are_bounded_while_the_weight_store_is_busy():
    """Guards against reads in every pass at engines that wait for a second load."""
    bench, holder = await start_counted_holder(engines=3)
    bench.sections["model m"]["load_time"] = "1000s"
    bench.current = build_config(bench.sections)
    await holder.step_lease()
    await holder.reconcile_if_due()
    holder._sweep._select_least_recent = lambda servers: []
    holder._client.reads.clear()
    for _ in range(60):
        bench.clock.advance(SWEEP_PERIOD)
        await holder.step_lease()
        await holder.reconcile_if_due()
    # 300 s: one read for each command's effect, and then one in two minutes.
    assert len(holder._client.reads) <= 3 * (2 + 3), len(holder._client.reads)
    await holder._client.close()
    await bench.stop()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
