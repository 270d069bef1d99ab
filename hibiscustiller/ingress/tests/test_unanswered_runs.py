"""Requests that servers may still run, tested without a network."""

import sys
from dataclasses import replace
from datetime import timedelta

import curio

from hibiscustiller.fleet import BackendServer, LayerRange, ServerState
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._part_history import PartHistory
from hibiscustiller.ingress._unanswered_runs import UnansweredRuns
from hibiscustiller.platform import RequestFacts
from hibiscustiller.settings import Address
from hibiscustiller.utils import ManualClock, Metrics, compute_fingerprint
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
FINGERPRINT = compute_fingerprint(b"request")
OTHER_FINGERPRINT = compute_fingerprint(b"another")
PARTS = ("part",)


class HealthStandin:
    """Reachability of servers as a test sets it."""

    def __init__(self):
        self.ended_ids = set()
        self.checked_ids = []

    def has_ended(self, server):
        return (server.id, server.born) in self.ended_ids

    def get_reached_at(self, server):
        return None

    async def check(self, servers):
        self.checked_ids += [server.id for server in servers]


class ContextStandin:
    """A request whose attempt has ended."""

    def __init__(self, fingerprint=FINGERPRINT, time_left=2 * SECOND):
        self.fingerprint = fingerprint
        self.caller_time_left = time_left
        self.facts = RequestFacts("id", None, None, prompt_parts=PARTS)

    def log_unanswered(self, servers):
        pass


class Bench:
    """Runs whose servers end as a test sets it, on a manual clock."""

    def __init__(self, **options):
        self.clock = ManualClock()
        self.health = HealthStandin()
        self.crashes = CrashHistory("r0", self.clock, Metrics())
        self.parts = PartHistory(self.clock, Metrics())
        self.leaving_ids = set()
        self.runs = UnansweredRuns(
            self.health,
            self.crashes,
            self.parts,
            lambda server: server.id in self.leaving_ids,
            self.clock,
            **options,
        )

    def add(self, server, context=None, has_begun=False):
        context = context or ContextStandin()
        self.runs.add(context, [server], self.clock.monotonic(), has_begun)

    def end(self, server):
        self.health.ended_ids.add((server.id, server.born))
        self.runs.update()

    def count_crashes(self, fingerprint=FINGERPRINT):
        record = self.crashes.records.get(fingerprint)
        return 0 if record is None else len(record.crashes_by_id)


def make_server(number, layers=LayerRange(0, 0), born=1):
    """Return a server; it is an engine if it holds layers."""
    return BackendServer(
        id=f"s{number}",
        service="orders",
        address=Address("127.0.0.1", 2000 + number),
        domain="north",
        slots=6,
        state=ServerState.READY,
        born=born,
        layers=layers,
    )


def test_a_crash_after_the_attempt_counts_once_for_each_process():
    """Guards against a forgotten crash, and one that counts for each copy."""
    bench = Bench()
    server = make_server(0)
    for _ in range(3):
        bench.add(server)
    assert len(bench.runs) == 1
    bench.end(server)
    assert bench.count_crashes() == 1
    assert len(bench.runs) == 0
    restarted = replace(server, born=2)
    bench.add(restarted)
    bench.end(restarted)
    assert bench.count_crashes() == 2


def test_the_end_of_a_leaving_server_is_no_crash():
    """Guards against quarantine by servers that leave as they announced."""
    bench = Bench()
    server = make_server(0)
    bench.add(server)
    bench.leaving_ids.add(server.id)
    bench.end(server)
    assert bench.count_crashes() == 0


def test_parts_are_suspects_only_if_the_answer_had_not_begun():
    """Guards against parts that count for a crash after the first event."""
    for has_begun in (False, True):
        bench = Bench()
        server = make_server(0, LayerRange(0, 8))
        bench.add(server, has_begun=has_begun)
        bench.end(server)
        assert (bench.parts.records.get("part") is None) is has_begun
        assert bench.count_crashes() == 1


def test_runs_expire_some_time_after_their_deadline():
    """Guards against evidence that grows old, and records without end."""
    bench = Bench()
    early, late = make_server(0), make_server(1)
    bench.add(early, ContextStandin(time_left=8 * SECOND))
    bench.clock.advance(8 * SECOND)
    bench.add(late, ContextStandin(time_left=3600 * SECOND))
    bench.runs.update()
    assert len(bench.runs) == 2
    bench.clock.advance(2 * SECOND)
    bench.end(make_server(9))
    assert len(bench.runs) == 1
    bench.clock.advance(30 * SECOND)
    bench.runs.update()
    bench.end(late)
    assert bench.count_crashes() == 0


def test_a_run_is_kept_until_the_deadline_that_its_server_was_told():
    """Guards against a crash before the deadline that is not counted.

    The request had been at the server for some time when its attempt ended.
    """
    bench = Bench()
    bench.clock.advance(3 * SECOND)
    context, server = ContextStandin(time_left=8 * SECOND), make_server(0)
    sent_at = bench.clock.monotonic() - 3 * SECOND
    bench.runs.add(context, [server], sent_at, False)
    bench.clock.advance(8 * SECOND)
    bench.runs.update()
    bench.end(server)
    assert bench.count_crashes() == 1


def test_an_attempt_at_servers_that_had_ended_keeps_nothing():
    """Guards against an empty record that is never dropped, or ends the router."""
    bench = Bench(capacity=1)
    bench.runs.add(ContextStandin(), [], bench.clock.monotonic(), False)
    for number in range(3):
        bench.add(make_server(number), ContextStandin(OTHER_FINGERPRINT))
    assert len(bench.runs) == 1


def test_an_answer_drops_the_runs_of_its_request_only():
    """Guards against quarantine of a sound request that timed out elsewhere."""
    bench = Bench()
    server = make_server(0)
    bench.add(server)
    bench.add(server, ContextStandin(OTHER_FINGERPRINT))
    bench.runs.record_answer(FINGERPRINT)
    bench.end(server)
    assert bench.count_crashes() == 0
    assert bench.count_crashes(OTHER_FINGERPRINT) == 1


def test_the_number_of_runs_is_bounded():
    """Guards against memory that grows with callers that leave."""
    bench = Bench(capacity=10)
    for number in range(50):
        bench.add(make_server(number))
    assert len(bench.runs) == 10


def test_only_plain_servers_and_suspects_cost_connections():
    """Guards against a connection to each engine that a caller has left."""

    async def run_checks(bench):
        task = await curio.spawn(bench.runs.run)
        for _ in range(4):
            await curio.sleep(0)
        await task.cancel()

    bench = Bench()
    engine, plain = make_server(0, LayerRange(0, 8)), make_server(1)
    curio.run(run_checks(bench))
    assert not bench.health.checked_ids
    bench.add(engine)
    bench.add(plain)
    curio.run(run_checks(bench))
    assert set(bench.health.checked_ids) == {plain.id}
    bench.crashes.record_crash(FINGERPRINT, bench.clock.monotonic(), False)
    curio.run(run_checks(bench))
    assert set(bench.health.checked_ids) == {plain.id, engine.id}


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
