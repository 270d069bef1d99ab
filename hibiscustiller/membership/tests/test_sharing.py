"""Usage, crash reports and backend signals over real meshes."""

import random
import sys
from collections import Counter

from hibiscustiller.membership import (
    BackendState,
    CrashSharing,
    Member,
    SignalSharing,
    SoloTransport,
    UsageSharing,
)
from hibiscustiller.membership._relaying import SeenMessages
from hibiscustiller.membership._usage_sharing import (
    SHARD_COUNT,
    find_owner,
    find_period,
    find_shard,
)
from hibiscustiller.membership.tests import test_backends
from hibiscustiller.membership.tests._meshes import (
    ANY_PORT,
    start_mesh,
    start_meshes,
    stop_all,
    wait_for_agreement,
    wait_for_links,
    wait_until,
)
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._messages_generated import (
    BackendSignal,
    CrashReport,
    UsageEntry,
)

CLOCK = SystemClock()


class Ledger:
    def __init__(self):
        self.deltas = Counter()
        self.totals = {}

    def collect_deltas(self):
        entries = tuple(UsageEntry(o, "c", n) for o, n in self.deltas.items())
        self.deltas.clear()
        return entries

    def apply_totals(self, entries):
        self.totals.update({entry.organisation: entry.tokens for entry in entries})


class Aggregator:
    def __init__(self):
        self.totals = Counter()

    def add_report(self, sender, entries):
        for entry in entries:
            self.totals[entry.organisation] += entry.tokens

    def list_totals(self, sender):
        return tuple(UsageEntry(o, "c", n) for o, n in self.totals.items())


class Registry:
    def __init__(self):
        self.own = []
        self.applied = []
        self.quarantined = []

    def list_quarantine_reports(self):
        return tuple(self.quarantined)

    def collect_reports(self):
        reports, self.own = tuple(self.own), []
        return reports

    def apply_report(self, report):
        self.applied.append(report)


def share_usage(mesh):
    ledger, aggregator = Ledger(), Aggregator()
    sharing = UsageSharing(mesh, ledger, aggregator, CLOCK, random.Random(1))
    return sharing, ledger, aggregator


async def test_usage_of_all_routers_is_added_up():
    """Guards against fairness that sees only one router's part of the traffic."""
    meshes = await start_meshes(5)
    await wait_for_agreement(meshes)
    parts = [share_usage(mesh) for mesh in meshes]
    organisations = [f"org-{n}" for n in range(30)]
    for _, ledger, _ in parts:
        ledger.deltas.update({o: 10 for o in organisations})
    for sharing, _, _ in parts:
        await sharing.report_once()
    added = lambda: sum((Counter(a.totals) for _, _, a in parts), Counter())
    await wait_until(lambda: added() == {o: 50 for o in organisations})
    assert len([a for _, _, a in parts if a.totals]) > 1
    for sharing, ledger, _ in parts:
        ledger.deltas.update({o: 1 for o in organisations})
        await sharing.report_once()
    await wait_until(lambda: added() == {o: 55 for o in organisations})
    # Totals come with the answer to a router's own next report.
    sharing, ledger, _ = parts[-1]
    ledger.deltas.update({o: 0 for o in organisations})
    await sharing.report_once()
    final = ledger.totals
    await wait_until(lambda: final == {o: 55 for o in organisations}, lambda: final)
    await stop_all(meshes)


async def test_undelivered_usage_is_reported_later():
    """Guards against usage lost while its owner changes."""
    transport = SoloTransport(Member("a", "d", "r", ANY_PORT))
    sharing, ledger, aggregator = share_usage(transport)
    deliver = transport.send

    async def fail(router, message):
        return False

    transport.send = fail
    for _ in range(3):
        ledger.deltas["x"] += 5
        await sharing.report_once()
    transport.send = deliver
    await sharing.report_once()
    assert aggregator.totals == {"x": 15}
    assert ledger.totals == {"x": 15}


def test_owners_are_few_and_move_little():
    """Guards against aggregation by everyone, and totals lost at each restart."""
    members = [f"r{n}" for n in range(330)]
    owners = {shard: find_owner(shard, members) for shard in range(SHARD_COUNT)}
    assert len(set(owners.values())) <= 16
    gone = owners[0]
    rest = [member for member in members if member != gone]
    moved = [s for s in owners if find_owner(s, rest) != owners[s]]
    assert moved == [s for s in owners if owners[s] == gone]
    assert {find_shard(f"org-{n}") for n in range(1400)} == set(range(SHARD_COUNT))
    assert find_period(9).total_seconds() == 1
    assert 330 / find_period(330).total_seconds() <= 40


async def test_crash_reports_reach_all_routers_once():
    """Guards against a poisonous request that is new to another router."""
    meshes = await start_meshes(12)
    await wait_for_agreement(meshes)
    registries = [Registry() for _ in meshes]
    pairs = zip(meshes, registries, strict=True)
    sharings = [CrashSharing(mesh, registry, CLOCK) for mesh, registry in pairs]
    report = CrashReport("fingerprint", "engine", "lost", 5)
    registries[4].own.append(report)
    await wait_for_links(meshes)
    await sharings[4].share_once()
    rest = registries[:4] + registries[5:]
    await wait_until(lambda: all(r.applied for r in rest))
    assert all(r.applied == [report] for r in rest)
    assert registries[4].applied == []
    await stop_all(meshes)


async def test_new_router_learns_of_quarantines():
    """Guards against a poisonous request that is new to a restarted router."""
    meshes = await start_meshes(3)
    await wait_for_agreement(meshes)
    report = CrashReport("fingerprint", "engine", "quarantined", 5)
    registries = [Registry() for _ in meshes]
    sharings = [
        CrashSharing(mesh, registry, CLOCK)
        for mesh, registry in zip(meshes, registries, strict=True)
    ]
    for sharing in sharings:
        await sharing.inform_new_members()
    for registry in registries:
        registry.quarantined.append(report)
    seeds = [meshes[0].self_member.address]
    late, late_registry = await start_mesh("r09", seeds), Registry()
    CrashSharing(late, late_registry, CLOCK)
    await wait_for_agreement([*meshes, late])
    await wait_for_links([*meshes, late])
    for sharing in sharings:
        await sharing.inform_new_members()
    await wait_until(lambda: late_registry.applied)
    assert late_registry.applied == [report]
    await stop_all([*meshes, late])


async def test_backend_signals_reach_all_routers():
    """Guards against a departure that only the polling router knows (R5)."""
    meshes = await start_meshes(3)
    await wait_for_agreement(meshes)
    benches = [test_backends.Bench() for _ in meshes]
    pairs = zip(meshes, benches, strict=True)
    sharings = [SignalSharing(mesh, b.table, CLOCK) for mesh, b in pairs]
    await wait_for_links(meshes)
    benches[0].report(BackendState.LEAVING)
    await sharings[0].share_once()
    await wait_until(lambda: not any(b.is_usable() for b in benches))
    # Nonsense from a peer is refused and costs only its connection.
    await meshes[0].send("r01", BackendSignal("s", "odd", 1))
    await meshes[0].send("r02", BackendSignal("s", "serving", (1 << 64) - 1))
    await wait_for_agreement(meshes)
    assert benches[2].table.get_state("s") is BackendState.LEAVING
    await stop_all(meshes)


def test_seen_messages_are_bounded():
    """Guards against memory that grows with the messages passed on (R9)."""
    seen = SeenMessages()
    assert all(seen.add(n) for n in range(10_000))
    assert not seen.add(9_999)
    assert len(seen._seen) == 4096


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
