"""Crash history: which requests are quarantined, tested without a network.

The modelled load is a request that crashes each server that runs it, while dozens of
other requests run on the same server, and servers also fail for other reasons.
"""

import random
import sys
from datetime import timedelta

from hibiscustiller.ingress._crash_history import (
    CrashHistory,
    CrashRecord,
    ServerAnswer,
    ServerCrash,
)
from hibiscustiller.ingress._crash_messages import (
    make_crash_message,
    read_crash_message,
)
from hibiscustiller.utils import ManualClock, Metrics, Verdict, compute_fingerprint
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._messages_generated import CrashedRequest, MetCrash

SECOND = timedelta(seconds=1)
MINUTE = timedelta(minutes=1)
# Crashes that are further apart are not attributed to one failure.
CRASH_SPACING = SECOND
FINGERPRINT = compute_fingerprint(b"greens", b"POST", b"/chat/1", b"body")
OTHER_FINGERPRINT = compute_fingerprint(b"greens", b"POST", b"/chat/1", b"another")


class Bench:
    """A crash history on a manual clock."""

    def __init__(self, router_id="r0", clock=None, **options):
        self.clock = clock or ManualClock()
        self.update_count = 0
        self.history = CrashHistory(
            router_id, self.clock, Metrics(), self._count_update, **options
        )

    def _count_update(self):
        self.update_count += 1

    def run_until_crash(
        self, fingerprint=FINGERPRINT, run=SECOND / 10, has_progress=False
    ):
        """Run a request until its server crashes, apart from the previous crash."""
        self.clock.advance(CRASH_SPACING)
        started_at = self.clock.monotonic()
        self.clock.advance(run)
        self.history.record_crash(fingerprint, started_at, has_progress)

    def is_refused(self, fingerprint=FINGERPRINT):
        return self.history.check(fingerprint) is not None


def test_third_consecutive_crash_quarantines_a_request():
    """Guards against a request that crashes one server after the other."""
    bench = Bench()
    for _ in range(2):
        bench.run_until_crash()
        assert not bench.is_refused()
    bench.run_until_crash()
    refusal = bench.history.check(FINGERPRINT)
    assert refusal.reason.status == 503
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after == 10 * MINUTE
    assert not bench.is_refused(OTHER_FINGERPRINT)


def test_concurrent_copies_in_one_failure_count_as_one_crash():
    """Guards against quarantine of a frequent request when servers fail together.

    Copies of the request run on all of these servers, and each records a crash.
    """
    bench = Bench()
    for _ in range(2):
        bench.clock.advance(CRASH_SPACING)
        started_at = bench.clock.monotonic()
        bench.clock.advance(SECOND)
        for _ in range(30):
            bench.history.record_crash(FINGERPRINT, started_at, False)
        assert not bench.is_refused()
    bench.run_until_crash()
    assert bench.is_refused()


def test_an_answer_clears_a_request():
    """Guards against quarantine of a request that servers can run."""
    bench = Bench()
    for _ in range(4):
        bench.run_until_crash()
        bench.run_until_crash()
        bench.clock.advance(SECOND)
        bench.history.record_answer(FINGERPRINT)
        bench.clock.advance(SECOND)
        assert not bench.is_refused()
    # An answer to a request without crashes causes no update.
    before = bench.update_count
    bench.history.record_answer(OTHER_FINGERPRINT)
    assert bench.update_count == before


def test_a_stream_that_gets_past_the_point_of_its_crash_is_cleared():
    """Guards against quarantine of a long stream while many servers fail."""
    bench = Bench()
    for number in range(8):
        bench.run_until_crash(run=(1 + number) * SECOND, has_progress=True)
        assert not bench.is_refused()


def test_a_stream_that_crashes_servers_after_some_events_is_quarantined():
    """Guards against events that hide that each server crashes at the same point."""
    bench = Bench()
    for run_s in (1.0, 1.2, 0.9):
        assert not bench.is_refused()
        bench.run_until_crash(run=run_s * SECOND, has_progress=True)
    assert bench.is_refused()


def test_quarantine_expires_and_grows_with_further_crashes():
    """Guards against quarantine of a request after the servers have been fixed.

    Also guards against endless attempts of a request that still crashes servers.
    """
    bench = Bench()
    for _ in range(3):
        bench.run_until_crash()
    for minutes in (10, 20, 40):
        bench.clock.advance(minutes * MINUTE - SECOND)
        assert bench.is_refused()
        bench.clock.advance(2 * SECOND)
        assert not bench.is_refused()
        bench.run_until_crash()
        assert bench.is_refused()
    bench.clock.advance(12 * 60 * MINUTE)
    assert bench.is_refused()


def test_requests_that_share_two_crashes_are_retried_in_separate_slots():
    """Guards against quarantine of requests that ran beside the one at fault.

    If all of them were retried at the same moment, they would run on the same server
    again, and would be involved in each of its crashes.
    """
    bench = Bench()
    fingerprints = [compute_fingerprint(str(number).encode()) for number in range(40)]
    for _ in range(2):
        # After one crash a request is retried without delay.
        assert not any(
            bench.history.compute_retry_delay(fingerprint)
            for fingerprint in fingerprints
        )
        started_at = bench.clock.monotonic()
        bench.clock.advance(SECOND)
        for fingerprint in fingerprints:
            bench.history.record_crash(fingerprint, started_at, False)
    delays = [
        bench.history.compute_retry_delay(fingerprint) for fingerprint in fingerprints
    ]
    assert len(set(delays)) == 4
    assert SECOND / 3 < min(delays) and max(delays) < 1.2 * SECOND
    assert max(map(delays.count, delays)) < len(fingerprints) / 2


def test_retries_in_one_failure_count_as_one_crash():
    """Guards against quarantine of a request retried on servers that fail together."""
    bench = Bench()
    for _ in range(6):
        started_at = bench.clock.monotonic()
        bench.clock.advance(SECOND / 20)
        bench.history.record_crash(FINGERPRINT, started_at, False)
    assert not bench.is_refused()
    # All routers have detected the failure before the request is sent again.
    for _ in range(2):
        assert not bench.is_refused()
        bench.clock.advance(bench.history.compute_retry_delay(FINGERPRINT))
        started_at = bench.clock.monotonic()
        bench.history.record_crash(FINGERPRINT, started_at, False)
    assert bench.is_refused()


def test_other_requests_do_not_evict_a_quarantined_one():
    """Guards against eviction of a quarantined request when many servers fail."""
    bench = Bench(capacity=50)
    for _ in range(3):
        bench.run_until_crash()
    for number in range(500):
        bench.run_until_crash(compute_fingerprint(str(number).encode()))
    assert bench.is_refused()
    assert len(bench.history.records) == 50


def send_records(source, target, delay, is_aggregator=False):
    """Merge the records of one history into another, as datagrams do after a delay."""
    records = source.history.records
    messages = [
        make_crash_message(fingerprint, record, source.clock.monotonic())
        for fingerprint, record in records.items()
    ]
    now = target.clock.monotonic() + delay
    for message in messages:
        record = read_crash_message(message, now)
        target.history.merge(message.fingerprint, record, is_aggregator)


def test_merged_records_agree_in_any_order_and_with_duplicates():
    """Guards against a crash count that depends on the order of datagrams."""
    random_state = random.Random(5)
    for _ in range(30):
        clock = ManualClock()
        benches = [Bench(f"r{number}", clock) for number in range(4)]
        for _ in range(3):
            random_state.choice(benches).run_until_crash()
        pairs = [(a, b) for a in benches for b in benches if a is not b] * 3
        random_state.shuffle(pairs)
        for source, target in pairs:
            send_records(
                source, target, timedelta(milliseconds=random_state.randrange(40))
            )
        assert all(bench.is_refused() for bench in benches)
        random_state.choice(benches).history.record_answer(FINGERPRINT)
        random_state.shuffle(pairs)
        for source, target in pairs:
            send_records(
                source, target, timedelta(milliseconds=random_state.randrange(40))
            )
        assert not any(bench.is_refused() for bench in benches)


def test_times_do_not_drift_when_records_are_exchanged_repeatedly():
    """Guards against an answer whose time drifts past the crashes that followed it.

    Each transmission delays the times in a record by the time of a datagram.
    """
    clock = ManualClock()
    first, second = Bench("r0", clock), Bench("r1", clock)
    first.run_until_crash()
    clock.advance(SECOND)
    first.history.record_answer(FINGERPRINT)
    clock.advance(SECOND)
    for _ in range(3):
        first.run_until_crash()
    for _ in range(1000):
        send_records(first, second, timedelta(milliseconds=5))
        send_records(second, first, timedelta(milliseconds=5))
    assert first.is_refused() and second.is_refused()


def test_an_aggregator_broadcasts_merged_crashes():
    """Guards against crashes at two routers that every router counts as one."""
    clock = ManualClock()
    aggregator, other = Bench("r0", clock), Bench("r1", clock)
    sources = [Bench("r2", clock), Bench("r3", clock)]
    for source in sources:
        source.run_until_crash()
        send_records(source, aggregator, timedelta(0), is_aggregator=True)
        send_records(source, other, timedelta(0))
    (update,) = aggregator.history.records.take_updates(9)
    assert update.is_broadcast
    assert update.record.count_consecutive() == 2
    assert not other.history.records.has_updates
    # A record that all routers already have is not broadcast again.
    send_records(other, aggregator, timedelta(0), is_aggregator=True)
    assert not aggregator.history.records.has_updates


def test_a_lost_answer_is_sent_again():
    """Guards against a quarantine that a lost datagram leaves at some routers."""
    clock = ManualClock()
    aggregator, other = Bench("r0", clock), Bench("r1", clock)
    for _ in range(3):
        other.run_until_crash()
    send_records(other, aggregator, timedelta(0), is_aggregator=True)
    clock.advance(SECOND)
    aggregator.history.record_answer(FINGERPRINT)
    aggregator.history.records.take_updates(9)
    send_records(other, aggregator, timedelta(0), is_aggregator=True)
    (update,) = aggregator.history.records.take_updates(9)
    assert update.is_broadcast


def test_overlapping_copies_count_each_crash():
    """Guards against a third crash that counts long after it happened.

    All copies were sent before the first crash, but their servers were alive since.
    """
    bench = Bench()
    sent_at = bench.clock.monotonic()
    for number in range(3):
        assert not bench.is_refused()
        bench.clock.advance(SECOND)
        alive_at = bench.clock.monotonic() - SECOND / 10
        bench.history.record_crash(FINGERPRINT, sent_at, False, number + 1, alive_at)
    assert bench.is_refused()


def test_crashes_detected_one_after_the_other_count_as_one():
    """Guards against quarantine by one failure of servers that is detected late.

    Nothing shows that the servers were alive after the first crash.
    """
    bench = Bench()
    sent_at = bench.clock.monotonic()
    for number in range(4):
        bench.clock.advance(SECOND)
        bench.history.record_crash(FINGERPRINT, sent_at, False, number + 1)
    assert not bench.is_refused()


def test_copies_at_one_process_count_as_one_crash():
    """Guards against quarantine of a frequent request by one crash at several routers.

    Each router has observed it at another time.
    """
    clock = ManualClock()
    bench, others = Bench("r0", clock), [Bench(f"r{n}", clock) for n in range(1, 5)]
    for other in others:
        clock.advance(SECOND)
        now = clock.monotonic()
        other.history.record_crash(FINGERPRINT, now, False, crash_id=7, alive_at=now)
        send_records(other, bench, timedelta(0), is_aggregator=True)
    assert bench.history.records.get(FINGERPRINT).count_consecutive() == 1


def test_an_answer_clears_crashes_of_copies_that_were_sent_before_it():
    """Guards against quarantine of a sound request by servers that it had left.

    Its attempts had timed out there before another server answered it.
    """
    bench = Bench()
    bench.run_until_crash()
    sent_at = bench.clock.monotonic()
    bench.clock.advance(SECOND)
    bench.history.record_answer(FINGERPRINT)
    for number in range(4):
        bench.clock.advance(SECOND)
        now = bench.clock.monotonic()
        bench.history.record_crash(FINGERPRINT, sent_at, False, number + 1, now)
    assert not bench.is_refused()


def test_times_of_a_crash_do_not_drift_between_routers():
    """Guards against times that grow with each transmission between two routers."""
    clock = ManualClock()
    first, second = Bench("r0", clock), Bench("r1", clock)
    first.run_until_crash()
    before = first.history.records.get(FINGERPRINT)
    times = [(c.started_at, c.alive_at) for c in before.crashes_by_id.values()]
    for _ in range(60):
        send_records(first, second, timedelta(milliseconds=20), is_aggregator=True)
        send_records(second, first, timedelta(milliseconds=20), is_aggregator=True)
    after = first.history.records.get(FINGERPRINT)
    assert [(c.started_at, c.alive_at) for c in after.crashes_by_id.values()] == times


def test_invalid_records_are_ignored():
    """Guards against a message that crashes the daemon or quarantines a request."""
    bench = Bench()
    now = bench.clock.monotonic()
    huge = 2**64 - 1
    for times in ((huge, 0, 0), (5, 9, 7), (huge, huge, huge)):
        crash = MetCrash(1, *times)
        record = read_crash_message(CrashedRequest(FINGERPRINT, (crash,), 1, huge), now)
        assert not record.crashes_by_id
        bench.history.merge(FINGERPRINT, record, False)
    crashes = {
        number: ServerCrash(number, number * SECOND, number * SECOND, number * SECOND)
        for number in range(5)
    }
    for key in ("", "x" * 64, "ab", FINGERPRINT + "0"):
        bench.history.merge(key, CrashRecord(dict(crashes)), False)
    bench.history.merge(
        OTHER_FINGERPRINT, CrashRecord(answer=ServerAnswer(1, now)), False
    )
    assert not any(
        bench.is_refused(key)
        for key in ("", "x" * 64, "ab", FINGERPRINT, OTHER_FINGERPRINT)
    )


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
