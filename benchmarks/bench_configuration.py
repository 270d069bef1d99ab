"""Measures the propagation of the configuration.

Prints one JSON line for each figure with its baseline and their ratio. The baselines
are routers that poll the store, and whole documents instead of differences.
Times use the store's stand-in over loopback; counts of calls and bytes use simulated
time. It ends by itself in less than a minute.
"""

from __future__ import annotations

import gc
import json
import random
import time
import tracemalloc
from datetime import timedelta

import click
import curio

from hibiscustiller.configuration import (
    CurrentConfiguration,
    SyncOptions,
    build_config,
    format_sections,
    parse_sections,
)
from hibiscustiller.configuration._changes import (
    Change,
    apply_difference,
    make_change_message,
    read_change_message,
    seal_change,
)
from hibiscustiller.configuration._head import HEAD_KEY, MAX_CHAIN_CHANGES
from hibiscustiller.configuration._validation import check_document, measure_document
from hibiscustiller.configuration.tests._harness import (
    MemoryNetwork,
    Node,
    SimulatedFleet,
    edit,
    make_sections,
)
from hibiscustiller.platform import EtcdStore
from hibiscustiller.settings import Address
from hibiscustiller.standins import PlatformStandin
from hibiscustiller.utils import (
    Revision,
    SystemClock,
    TeamId,
    configure_logging,
    hash_secret,
)
from hibiscustiller.wire import HttpClient
from hibiscustiller.wire._messages_generated import (
    decode_message,
    encode_message,
)

SIZES = {"10KB": 10_000, "100KB": 100_000, "800KB": 800_000}
NODE_COUNTS = (3, 9, 30)
CHANGES = 5
# A router that only polls must do so at least this often to meet the 4 s target.
POLL_PERIOD = timedelta(seconds=2)
CHANGES_PER_DAY = 2100
REST_SECONDS = 90
CPU_CHANGES = 40
MERGED_CHANGES = 150
MEAN_EDIT_SECONDS = 30
# Enough to fill the list of folded changes and then two chains.
HEAD_CHANGES = 330
# Sizes and counts of the two-year plan.
DAEMONS = 330
CONTROL_BYTES_PER_SECOND = 7000
CONTROL_MEGABYTES = 32


def report(name: str, value: float, unit: str, baseline: float, against: str) -> None:
    """Print one figure."""
    ratio = None if baseline == 0 else round(value / baseline, 6)
    line = {
        "benchmark": "configuration",
        "figure": name,
        "value": round(value, 6),
        "unit": unit,
        "baseline": round(baseline, 6),
        "baseline_is": against,
        "ratio": ratio,
    }
    click.echo(json.dumps(line))


def make_document(size: int) -> dict[str, dict[str, str]]:
    """Return a valid document of about a size, in bytes."""
    sections = make_sections()
    total = measure_document(sections)
    number = 0
    while total < size:
        heading = f"organisation org-{number:05d}"
        values = {
            "key_sha256": hash_secret(str(number)),
            "priority_class": "slow",
            "weight": "1",
        }
        sections[heading] = values
        total += measure_document({heading: values})
        number += 1
    return sections


class PollingNode(Node):
    """A router that learns of changes by polling alone."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args, SyncOptions(poll_period=POLL_PERIOD))
        self.sync.is_watcher = lambda: False


async def measure_time_in_force(count: int, is_polling: bool) -> float:
    """Return the mean time from an acceptance until it is in force everywhere."""
    clock = SystemClock()
    platform = PlatformStandin(Address("127.0.0.1", 0), clock)
    await platform.start()
    network = None if is_polling else MemoryNetwork(clock, random.Random(1))
    clients = [HttpClient(clock) for _ in range(count)]
    kind = PollingNode if is_polling else Node
    nodes = []
    for index, client in enumerate(clients):
        store = EtcdStore(client, platform.address, timedelta(seconds=2))
        name = f"r{index:02d}"
        nodes.append(kind(name, f"d{index % 3}", store, clock, network, index, {}))
    for node in nodes:
        await node.start()
    answer = await nodes[0].propose("first", 0, make_sections())
    await wait_until_equal(nodes, answer.ok_value.revision)
    times = []
    for number in range(1 if is_polling else CHANGES):
        proposer = nodes[number % count]
        base = proposer.sync.revision
        answer = await proposer.propose(f"p{number}", base, edit(number + 2), "sales")
        started = time.monotonic()
        await wait_until_equal(nodes, answer.ok_value.revision)
        times.append(time.monotonic() - started)
    for node in nodes:
        await node.stop()
    for client in clients:
        await client.close()
    await platform.close()
    return sum(times) / len(times)


async def wait_until_equal(nodes: list[Node], revision: Revision) -> None:
    """Wait until all routers have a revision."""
    while any(node.sync.revision < revision for node in nodes):
        await curio.sleep(0.001)


async def report_times() -> None:
    """Report the time until a change is in force."""
    figures = [await measure_time_in_force(count, False) for count in NODE_COUNTS]
    # The baselines wait for polls most of the time, so they run side by side.
    tasks = [
        await curio.spawn(measure_time_in_force, count, True) for count in NODE_COUNTS
    ]
    baselines = [await task.join() for task in tasks]
    for count, figure, baseline in zip(NODE_COUNTS, figures, baselines, strict=True):
        report(
            f"time_in_force_{count}_routers",
            figure,
            "s",
            baseline,
            f"polling every {POLL_PERIOD.total_seconds():g} s",
        )


async def report_bytes() -> None:
    """Report the bytes that a daemon sends for a change of one key."""
    for name, size in SIZES.items():
        fleet = SimulatedFleet(10)
        await fleet.start(make_document(size))
        await fleet.run(3)
        sync = fleet.nodes[0].sync
        snapshot = encode_message("r00", sync._make_snapshot())
        neighbours = len(fleet.network.list_neighbours("r00"))
        # The snapshot message is compressed; so is the baseline.
        baseline = len(snapshot) * neighbours
        before = count_configuration_bytes(fleet)
        for number in range(CHANGES):
            node = fleet.nodes[number]
            base = node.sync.revision
            answer = await fleet.do(
                node.propose(f"p{number}", base, edit(number + 2), "sales")
            )
            assert answer.is_ok(), answer
            await fleet.run(1)
        fleet.assert_equal()
        sent = count_configuration_bytes(fleet) - before
        figure = sent * neighbours / CHANGES / len(fleet.nodes)
        report(
            f"bytes_sent_per_daemon_per_change_{name}",
            figure,
            "bytes",
            baseline,
            "whole documents, compressed, to the same 6 neighbours",
        )
        report(
            f"bytes_per_second_per_daemon_{CHANGES_PER_DAY}_changes_a_day_{name}",
            figure * CHANGES_PER_DAY / 86400,
            "bytes/s",
            CONTROL_BYTES_PER_SECOND,
            "the control budget of a daemon",
        )
        await fleet.stop()


def count_configuration_bytes(fleet: SimulatedFleet) -> int:
    """Return the bytes of configuration messages, each broadcast counted once."""
    return sum(
        node.metrics.totals_by_name["configuration.message_bytes"]
        for node in fleet.nodes
    )


async def report_calls() -> None:
    """Report calls of the store at rest, with changes, and after an outage."""
    fleet = SimulatedFleet(30)
    await fleet.start()
    polling = len(fleet.nodes) / POLL_PERIOD.total_seconds()
    against = f"30 routers that poll every {POLL_PERIOD.total_seconds():g} s"
    await fleet.run(30)
    at_rest = await count_calls(fleet, REST_SECONDS)
    report("store_calls_at_rest_30_routers", at_rest, "calls/s", polling, against)
    watchers = sum(node.sync.is_watcher() for node in fleet.nodes)
    # Per watcher a new watch every 2 s and a read every 30 s; else a read every 45 s.
    planned = 14 * (1 / 2 + 1 / 30) + (DAEMONS - 14) / 45
    report(
        f"store_calls_at_rest_{DAEMONS}_routers_computed",
        planned,
        "calls/s",
        DAEMONS / POLL_PERIOD.total_seconds(),
        f"{DAEMONS} routers that poll; open watches: 14 (30 routers: {watchers})",
    )
    before = sum(fleet.store.calls.values())
    started = fleet.clock.monotonic()
    for number in range(3):
        node = fleet.nodes[number]
        answer = await fleet.do(
            node.propose(f"p{number}", node.sync.revision, edit(number + 2), "sales")
        )
        assert answer.is_ok(), answer
        await fleet.run(86400 / CHANGES_PER_DAY)
    elapsed = (fleet.clock.monotonic() - started).total_seconds()
    figure = (sum(fleet.store.calls.values()) - before) / elapsed
    report("store_calls_2100_changes_a_day", figure, "calls/s", polling, against)
    await fleet.store.fail()
    await fleet.run(60)
    fleet.store.is_down = False
    peak = 0.0
    for _ in range(30):
        peak = max(peak, await count_calls(fleet, 1))
    report(
        "store_calls_peak_second_after_outage",
        peak,
        "calls/s",
        len(fleet.nodes) * 2,
        "30 routers that all read and watch in the same second",
    )
    await fleet.stop()


async def report_merging() -> None:
    """Report the proposals refused for an old base, at the planned rate of changes."""
    slow = SyncOptions(tick=timedelta(seconds=2), watch_period=timedelta(seconds=20))
    fleet = SimulatedFleet(1, options=slow)
    await fleet.start(make_document(10_000))
    node, state = fleet.nodes[0], random.Random(1)
    outcomes = []

    async def propose(number: int) -> None:
        base = node.sync.revision
        delay = state.expovariate(1 / MEAN_EDIT_SECONDS)
        await fleet.clock.sleep(timedelta(seconds=delay))
        is_last = base == node.sync.revision
        heading = f"org-{state.randrange(40):05d}"
        changes = edit(number + 2, heading)
        answer = await node.propose(f"m{number}", base, changes, "sales")
        outcomes.append((answer.is_ok(), is_last))

    tasks = []
    for number in range(MERGED_CHANGES):
        tasks.append(await curio.spawn(propose, number))
        await fleet.run(state.expovariate(CHANGES_PER_DAY / 86400))
    await fleet.run(MEAN_EDIT_SECONDS * 20)
    for task in tasks:
        await task.join()
    report(
        "proposals_refused_for_an_old_base",
        sum(not is_ok for is_ok, _ in outcomes) / len(outcomes),
        "share",
        sum(not is_last for _, is_last in outcomes) / len(outcomes),
        "accepting only the newest base; 30 s from reading to proposing, 40 sections",
    )
    await fleet.stop()


async def report_head() -> None:
    """Report what a watcher receives from the store."""
    fleet = SimulatedFleet(1)
    await fleet.start()
    sizes = []
    for number in range(HEAD_CHANGES):
        node = fleet.nodes[0]
        answer = await fleet.do(
            node.propose(f"change-{number:08d}", number + 1, edit(number + 2), "sales")
        )
        assert answer.is_ok(), answer
        sizes.append(len(fleet.store.entries[HEAD_KEY].value))
    mean = sum(sizes[-2 * MAX_CHAIN_CHANGES :]) / (2 * MAX_CHAIN_CHANGES)
    report("head_size_mean", mean, "bytes", 800_000, "a document of 800 KB")
    reads = CHANGES_PER_DAY / 86400 + 1 / SyncOptions().head_period.total_seconds()
    # The store's gateway encodes values in base64.
    report(
        "bytes_per_second_received_by_a_watcher_2100_changes_a_day",
        mean * 4 / 3 * reads,
        "bytes/s",
        CONTROL_BYTES_PER_SECOND,
        "the control budget of a daemon",
    )
    await fleet.stop()


async def count_calls(fleet: SimulatedFleet, seconds: float) -> float:
    """Return the store's calls a second while time passes."""
    before = sum(fleet.store.calls.values())
    await fleet.run(seconds)
    return (sum(fleet.store.calls.values()) - before) / seconds


def report_cpu() -> None:
    """Report the CPU time of a daemon that receives a change, and of validation."""
    for name, size in SIZES.items():
        sections = make_document(size)
        figure = measure_change_cpu(sections)
        text = format_sections(sections)
        # The least of three, because a collection of garbage falls into some.
        baseline = min(measure_parse_cpu(text) for _ in range(3))
        report(
            f"cpu_per_change_per_daemon_{name}",
            figure * 1000,
            "ms",
            baseline * 1000,
            "parsing the whole document",
        )
        config = build_config(sections)
        started = time.process_time()
        check_document(sections, config)
        checked = time.process_time() - started
        report(
            f"cpu_of_validation_at_the_accepting_router_{name}",
            checked * 1000,
            "ms",
            baseline * 1000,
            "parsing the whole document",
        )


def measure_parse_cpu(text: str) -> float:
    """Return the CPU time to parse a whole document, in s."""
    started = time.process_time()
    build_config(parse_sections(text, "bench"))
    return time.process_time() - started


def report_memory() -> None:
    """Report the memory that the largest document takes."""
    text = format_sections(make_document(SIZES["800KB"]))
    gc.collect()
    tracemalloc.start()
    current = CurrentConfiguration(parse_sections(text, "bench"), Revision(1))
    gc.collect()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert current.revision == 1
    against = "the control budget of a daemon"
    report("memory_held_800KB", held / 1e6, "MB", CONTROL_MEGABYTES, against)
    report("memory_peak_800KB", peak / 1e6, "MB", CONTROL_MEGABYTES, against)


def measure_change_cpu(sections: dict[str, dict[str, str]]) -> float:
    """Return the CPU time to decode, check and put one change in force, in s."""
    current = CurrentConfiguration(sections, Revision(1))
    digest, messages = "", []
    for number in range(CPU_CHANGES):
        change = seal_change(
            Change(
                Revision(number + 1),
                Revision(number + 2),
                f"p{number}",
                TeamId("sales"),
                SystemClock().now(),
                "",
                edit(number + 2),
                digest,
            )
        )
        digest = change.digest
        messages.append(encode_message("r00", make_change_message(change)))
    started = time.process_time()
    for data in messages:
        change = read_change_message(decode_message(data)[1])
        assert seal_change(change).digest == change.digest
        changed = apply_difference(current.sections, change.difference)
        current.install(changed, change.to_revision, change.digest)
    return (time.process_time() - started) / CPU_CHANGES


@click.command()
def main() -> None:
    """Measure and report."""
    configure_logging("error")
    curio.run(report_times)
    curio.run(report_bytes)
    curio.run(report_calls)
    curio.run(report_head)
    curio.run(report_merging)
    report_cpu()
    report_memory()


if __name__ == "__main__":
    main()
