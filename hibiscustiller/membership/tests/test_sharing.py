"""Usage, crash reports and backend signals over real meshes."""

import random
import sys
from collections import Counter

import curio

from hibiscustiller.limits import UsageAggregator, UsageLedger
from hibiscustiller.limits._usage import MAX_ENTRIES_PER_MESSAGE
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
    OWNER_BYTES_PER_SECOND,
    SHARD_COUNT,
    estimate_bytes,
    find_allowed_bytes,
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
from hibiscustiller.utils import ManualClock, SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._framing import make_frame
from hibiscustiller.wire._messages_generated import (
    BackendSignal,
    CrashReport,
    UsageEntry,
    UsageReport,
    UsageTotals,
    encode_message,
)

CLOCK = SystemClock()


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
    # A clock that stands still keeps sums from decaying.
    clock = ManualClock()
    ledger, aggregator = UsageLedger(clock), UsageAggregator(clock)
    sharing = UsageSharing(mesh, ledger, aggregator, CLOCK, random.Random(1))
    return sharing, ledger, aggregator


def read_attained(ledger, organisations):
    return {o: round(ledger.get_attained(o, "c")) for o in organisations}


async def test_usage_of_all_routers_is_added_up():
    """Guards against fairness that sees only one router's part of the traffic."""
    meshes = await start_meshes(5)
    await wait_for_agreement(meshes)
    parts = [share_usage(mesh) for mesh in meshes]
    organisations = [f"org-{n}" for n in range(30)]
    for tokens in (10, 1):
        for _, ledger, _ in parts:
            for organisation in organisations:
                ledger.charge(organisation, "c", tokens)
        # The first round fills the owners; totals come with the answer to the next.
        for _ in range(2):
            for sharing, _, _ in parts:
                await sharing.report_once()
            await curio.sleep(0.05)
        expected = {o: 50 if tokens == 10 else 55 for o in organisations}
        for _, ledger, _ in parts:
            await wait_until(
                lambda ledger=ledger, expected=expected: (
                    read_attained(ledger, organisations) == expected
                )
            )
    await stop_all(meshes)


async def test_undelivered_usage_is_neither_lost_nor_counted_twice():
    """Guards against sums that are added up while their owner cannot be reached."""
    transport = SoloTransport(Member("a", "d", "r", ANY_PORT))
    sharing, ledger, aggregator = share_usage(transport)
    deliver = transport.send

    async def fail(router, message):
        return False

    # More than fit into one message, so that a report names only some of them.
    organisations = [f"org-{n}" for n in range(3 * MAX_ENTRIES_PER_MESSAGE)]
    transport.send = fail
    for _ in range(8):
        for organisation in organisations:
            ledger.charge(organisation, "c", 5)
        await sharing.report_once()
    transport.send = deliver
    await sharing.report_once()
    questions = tuple(UsageEntry(o, "c", 1) for o in organisations)
    aggregator.add_report("b", questions)
    totals = {e.organisation: e.tokens for e in aggregator.list_totals("b")}
    assert totals and set(totals.values()) == {40}, totals
    for _ in range(20):
        await sharing.report_once()
    totals = {e.organisation: e.tokens for e in aggregator.list_totals("b")}
    assert totals == {o: 40 for o in organisations}


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


def make_entries(random_state, count):
    """Return entries with names and token sums of many lengths."""
    return tuple(
        UsageEntry(
            f"{number:04}" + "o" * random_state.randint(0, 36),
            "c" * random_state.randint(1, 20),
            random_state.randrange(1 << random_state.randint(1, 40)),
        )
        for number in range(count)
    )


def test_size_of_messages_is_never_underestimated():
    """Guards against an owner's bytes above the bound by messages that are larger."""
    random_state = random.Random(5)
    sender = "region-1-domain-2-rt-330"
    for _ in range(300):
        entries = make_entries(random_state, random_state.randint(1, 48))
        for message in (UsageReport(entries), UsageTotals(entries)):
            size = len(make_frame(encode_message(sender, message)))
            assert size <= estimate_bytes(entries), (size, entries)


class CountingTransport:
    """Delivers nothing, and counts the bytes of reports by the owner they go to."""

    def __init__(self, member, members, reports_by_owner):
        self.self_member = member
        self._members = members
        self._reports_by_owner = reports_by_owner

    def list_members(self):
        return self._members

    def register(self, kind, handle):
        pass

    async def send(self, router, message):
        if router != self.self_member.router_id:
            frame = make_frame(encode_message(self.self_member.router_id, message))
            self._reports_by_owner.setdefault(router, []).append((frame, message))
        return True


class SteadyLedger:
    """Always has the same sums."""

    def __init__(self, entries):
        self._entries = entries

    def collect_usage(self):
        return self._entries


def make_sharings(count, entries_of):
    """Return the sharing of each of many routers, and the reports sent to owners."""
    members = tuple(Member(f"router-{n:03}", "d", "r", ANY_PORT) for n in range(count))
    reports_by_owner = {}
    sharings = []
    for number, member in enumerate(members):
        transport = CountingTransport(member, members, reports_by_owner)
        ledger = SteadyLedger(entries_of(number))
        sharing = UsageSharing(transport, ledger, None, CLOCK, random.Random(number))
        sharings.append(sharing)
    return sharings, reports_by_owner


async def test_owners_stay_within_their_bytes():
    """Guards against an owner above its share of 7 KB/s when all report to it.

    Every router names the same few large organisations and others of 1,400; a report
    and its reply, which names the same entries, are counted.
    """
    for count in (9, 40, 100, 330):
        random_state = random.Random(count)

        def draw_entries(number, random_state=random_state):
            names = [0, 1, 2, 3, *random_state.sample(range(4, 1400), 44)]
            return tuple(
                UsageEntry(f"organisation-{n:03}", "quotes", 10**6 // (n + 1))
                for n in names
            )

        sharings, reports_by_owner = make_sharings(count, draw_entries)
        # The first report tells a router the size of its messages.
        for sharing in sharings:
            await sharing.report_once()
        for reports in reports_by_owner.values():
            reports.clear()
        rate_by_owner = Counter()
        for sharing in sharings:
            await sharing.report_once()
            period = find_period(count, sharing._message_bytes).total_seconds()
            for owner, reports in reports_by_owner.items():
                for frame, message in reports:
                    reply = make_frame(
                        encode_message(owner, UsageTotals(message.entries))
                    )
                    rate_by_owner[owner] += (len(frame) + len(reply)) / period
                reports.clear()
        assert max(rate_by_owner.values()) <= OWNER_BYTES_PER_SECOND, count


async def test_every_organisation_is_reported_in_turn():
    """Guards against organisations that a report of bounded size always leaves out."""
    entries = tuple(UsageEntry(f"org-{n}", "c", 10000 // (n + 1)) for n in range(48))
    sharings, reports_by_owner = make_sharings(330, lambda number: entries)
    sent = Counter()
    # A router that owns no shard, since what it sends to itself is not bounded.
    reporter = sharings[0]
    for _ in range(100):
        await reporter.report_once()
    for reports in reports_by_owner.values():
        for frame, message in reports:
            assert len(frame) <= max(
                find_allowed_bytes(330), estimate_bytes(message.entries[:1])
            )
            sent.update(entry.organisation for entry in message.entries)
    assert set(sent) == {entry.organisation for entry in entries}
    for reports in reports_by_owner.values():
        named = {entry for _, message in reports for entry in message.entries}
        largest = max(named, key=lambda entry: entry.tokens).organisation
        smallest = min(named, key=lambda entry: entry.tokens).organisation
        assert sent[largest] >= sent[smallest], "large usage is reported more often"


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
