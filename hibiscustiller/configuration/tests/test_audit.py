"""The audit trail of refused changes: batches, bounds and faults."""

import sys
from datetime import timedelta

from hibiscustiller.configuration._audit import (
    MAX_PENDING,
    MAX_REFUSED_BYTES,
    MAX_REFUSED_PER_HOUR,
    AuditTrail,
    redact_difference,
)
from hibiscustiller.configuration.tests._harness import (
    MemoryStore,
    SimulatedClock,
    SimulatedFleet,
    edit,
)
from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.utils import Metrics, RouterId
from hibiscustiller.utils._testing import collect_tests


class Bench:
    """Audit trails of several routers on one store."""

    def __init__(self, count=1):
        self.clock = SimulatedClock()
        self.store = MemoryStore(self.clock)
        self.trails = [
            AuditTrail(self.store, self.clock, RouterId(f"r{index}"), Metrics())
            for index in range(count)
        ]

    async def do(self, coroutine):
        return await self.clock.run_until_done(coroutine)

    async def flush(self, trail):
        async def try_to_flush():
            try:
                await trail.flush()
            except StoreUnavailableError:
                return False
            return True

        return await self.do(try_to_flush())

    async def list_ids(self, trail=0, hours=1):
        entries = await self.do(self.trails[trail].list_refused(1000, hours))
        return sorted(entry.proposal_id for entry in entries)


def refuse(trail, number, difference=None):
    difference = edit(number) if difference is None else difference
    trail.note_refused("sales", f"p{number:04d}", 1, difference, "conflict", "text")


async def test_lost_answer_at_every_write_keeps_each_entry_once():
    """Guards against entries that are lost or doubled after a lost answer."""
    for lost_after in range(3):
        bench = Bench(2)
        for number in range(3):
            refuse(bench.trails[0], number)
            refuse(bench.trails[1], number + 10)
        bench.store.lost_after, bench.store.lost_answers = lost_after, 1
        for _ in range(2):
            for trail in bench.trails:
                await bench.flush(trail)
        expected = [f"p{number:04d}" for number in (0, 1, 2, 10, 11, 12)]
        assert await bench.list_ids(1) == expected, lost_after


async def test_refused_changes_are_written_in_one_batch():
    """Guards against a store write for each refused change."""
    bench = Bench()
    for number in range(100):
        refuse(bench.trails[0], number)
    assert await bench.flush(bench.trails[0])
    assert bench.store.calls["swap"] == 1


async def test_trail_is_bounded():
    """Guards against refused proposals that fill the memory or the store."""
    bench = Bench()
    trail = bench.trails[0]
    big = {f"organisation x{n}": {"weight": "9" * 100} for n in range(1000)}
    for number in range(3 * MAX_PENDING):
        refuse(trail, number, big)
    assert len(trail._pending) == MAX_PENDING
    assert await bench.flush(trail)
    for number in range(MAX_PENDING):
        refuse(trail, number + 5000)
    assert await bench.flush(trail)
    (segment,) = bench.store.entries.values()
    assert len(segment.value) <= MAX_REFUSED_BYTES + 1024
    assert len(await bench.list_ids()) <= MAX_REFUSED_PER_HOUR
    assert b'"dropped":0' not in segment.value


async def test_entries_wait_for_the_store_and_go_to_their_hour():
    """Guards against entries lost in an outage or filed under a wrong hour."""
    bench = Bench()
    trail = bench.trails[0]
    await bench.store.fail()
    refuse(trail, 1)
    assert not await bench.flush(trail)
    bench.clock.advance(timedelta(hours=1))
    refuse(trail, 2)
    bench.store.is_down = False
    assert await bench.flush(trail)
    keys = sorted(bench.store.entries)
    assert keys == ["audit/2026-01-01T00", "audit/2026-01-01T01"]
    assert await bench.list_ids(hours=2) == ["p0001", "p0002"]


async def test_refused_proposals_of_a_fleet_are_read_at_another_router():
    """Guards against refusals that only the refusing router knows."""
    fleet = SimulatedFleet(2)
    await fleet.start()
    first, second = fleet.nodes
    await fleet.do(first.audit.start())
    await fleet.do(first.propose("bad", 1, edit(0), "sales"))
    await fleet.do(first.propose("foreign", 1, edit(2), "bot"))
    await fleet.do(first.propose("check", 1, edit(0), "sales", is_check_only=True))
    await fleet.run(4)
    entries = await fleet.do(second.audit.list_refused(10, 1))
    found = {entry.proposal_id: (entry.team, entry.reason) for entry in entries}
    assert found == {
        "bad": ("sales", "invalid-configuration"),
        "foreign": ("bot", "forbidden"),
    }
    await fleet.do(first.audit.stop())
    await fleet.stop()


def test_key_hashes_and_unknown_values_are_hidden():
    """Guards against secrets in the trail."""
    difference = {
        "team a": {"key_sha256": "secret", "owns": "x", "key": "secret"},
        "nothing": {"password": "secret"},
        "organisation a": None,
    }
    redacted = redact_difference(difference)
    assert "secret" not in str(redacted)
    assert redacted["team a"]["owns"] == "x" and redacted["organisation a"] is None


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
