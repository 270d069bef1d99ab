"""Ends of servers under requests: which requests are refused, without network.

The load behind it: a request that ends each server that runs it, beside dozens of
others that run there at the time, on days on which servers also fail for other reasons.
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
# Ends of servers that are further apart are not taken for one failure.
APART = SECOND
REQUEST = compute_fingerprint(b"greens", b"POST", b"/chat/1", b"body")
OTHER = compute_fingerprint(b"greens", b"POST", b"/chat/1", b"another")


class Bench:
    """A history on a clock that a test moves."""

    def __init__(self, router_id="r0", clock=None, **options):
        self.clock = clock or ManualClock()
        self.news_count = 0
        self.history = CrashHistory(
            router_id, self.clock, Metrics(), self._note_news, **options
        )

    def _note_news(self):
        self.news_count += 1

    def meet_crash(self, request=REQUEST, run=SECOND / 10, has_progress=False):
        """Run a request until its server ends, some time after the last one did."""
        self.clock.advance(APART)
        started_at = self.clock.monotonic()
        self.clock.advance(run)
        self.history.record_crash(request, started_at, has_progress)

    def is_refused(self, request=REQUEST):
        return self.history.check(request) is not None


def test_third_end_in_succession_leads_to_a_refusal():
    """Guards against a request that goes on to the next server, and the next."""
    bench = Bench()
    for _ in range(2):
        bench.meet_crash()
        assert not bench.is_refused()
    bench.meet_crash()
    refusal = bench.history.check(REQUEST)
    assert refusal.reason.status == 503
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after == 10 * MINUTE
    assert not bench.is_refused(OTHER)


def test_copies_that_meet_one_failure_together_count_once():
    """Guards against a refusal of a frequent request when some servers fail at once."""
    bench = Bench()
    for _ in range(2):
        bench.clock.advance(APART)
        started_at = bench.clock.monotonic()
        bench.clock.advance(SECOND)
        for _ in range(30):
            bench.history.record_crash(REQUEST, started_at, False)
        assert not bench.is_refused()
    bench.meet_crash()
    assert bench.is_refused()


def test_an_answer_clears_a_request():
    """Guards against a refusal of a request that servers can run."""
    bench = Bench()
    for _ in range(4):
        bench.meet_crash()
        bench.meet_crash()
        bench.clock.advance(SECOND)
        bench.history.record_answer(REQUEST)
        bench.clock.advance(SECOND)
        assert not bench.is_refused()
    # An answer to a request that nobody suspects is no news.
    before = bench.news_count
    bench.history.record_answer(OTHER)
    assert bench.news_count == before


def test_a_stream_that_gets_past_the_place_of_its_crash_is_cleared():
    """Guards against a refusal of a long stream on a day of many failures."""
    bench = Bench()
    for number in range(8):
        bench.meet_crash(run=(1 + number) * SECOND, has_progress=True)
        assert not bench.is_refused()


def test_a_stream_that_ends_servers_after_some_events_is_refused():
    """Guards against events that hide that each server ends at the same place."""
    bench = Bench()
    for run_s in (1.0, 1.2, 0.9):
        assert not bench.is_refused()
        bench.meet_crash(run=run_s * SECOND, has_progress=True)
    assert bench.is_refused()


def test_refusals_end_and_grow_longer():
    """Guards against a refusal after servers were mended, and against endless tries."""
    bench = Bench()
    for _ in range(3):
        bench.meet_crash()
    for minutes in (10, 20, 40):
        bench.clock.advance(minutes * MINUTE - SECOND)
        assert bench.is_refused()
        bench.clock.advance(2 * SECOND)
        assert not bench.is_refused()
        bench.meet_crash()
        assert bench.is_refused()
    bench.clock.advance(12 * 60 * MINUTE)
    assert bench.is_refused()


def test_requests_that_met_two_ends_start_again_apart():
    """Guards against a request that takes the ones beside it along to each server."""
    bench = Bench()
    requests = [compute_fingerprint(str(number).encode()) for number in range(40)]
    for _ in range(2):
        # One end is no reason to hold a request up.
        assert not any(
            bench.history.compute_retry_delay(request) for request in requests
        )
        started_at = bench.clock.monotonic()
        bench.clock.advance(SECOND)
        for request in requests:
            bench.history.record_crash(request, started_at, False)
    waits = [bench.history.compute_retry_delay(request) for request in requests]
    assert len(set(waits)) == 4
    assert SECOND / 3 < min(waits) and max(waits) < 1.2 * SECOND
    assert max(map(waits.count, waits)) < len(requests) / 2


def test_repeats_that_meet_one_failure_count_once():
    """Guards against a refusal of a request that is sent to several lost servers."""
    bench = Bench()
    for _ in range(6):
        started_at = bench.clock.monotonic()
        bench.clock.advance(SECOND / 20)
        bench.history.record_crash(REQUEST, started_at, False)
    assert not bench.is_refused()
    # The failure is known to all before the request is sent again.
    for _ in range(2):
        assert not bench.is_refused()
        bench.clock.advance(bench.history.compute_retry_delay(REQUEST))
        started_at = bench.clock.monotonic()
        bench.history.record_crash(REQUEST, started_at, False)
    assert bench.is_refused()


def test_many_other_requests_do_not_displace_one_that_is_refused():
    """Guards against a table that a failure of many servers fills."""
    bench = Bench(capacity=50)
    for _ in range(3):
        bench.meet_crash()
    for number in range(500):
        bench.meet_crash(compute_fingerprint(str(number).encode()))
    assert bench.is_refused()
    assert len(bench.history._records) == 50


def relay(source, target, delay, is_aggregator=False):
    """Hand a record over, as a datagram does after some time."""
    records = source.history._records
    messages = [
        make_crash_message(request, record, source.clock.monotonic())
        for request, record in records.items()
    ]
    now = target.clock.monotonic() + delay
    for message in messages:
        record = read_crash_message(message, now)
        target.history.merge(message.fingerprint, record, is_aggregator)


def test_records_agree_in_any_order_and_with_repeats():
    """Guards against a count that depends on the way that datagrams took."""
    random_state = random.Random(5)
    for _ in range(30):
        clock = ManualClock()
        benches = [Bench(f"r{number}", clock) for number in range(4)]
        for _ in range(3):
            random_state.choice(benches).meet_crash()
        pairs = [(a, b) for a in benches for b in benches if a is not b] * 3
        random_state.shuffle(pairs)
        for source, target in pairs:
            relay(source, target, timedelta(milliseconds=random_state.randrange(40)))
        assert all(bench.is_refused() for bench in benches)
        random_state.choice(benches).history.record_answer(REQUEST)
        random_state.shuffle(pairs)
        for source, target in pairs:
            relay(source, target, timedelta(milliseconds=random_state.randrange(40)))
        assert not any(bench.is_refused() for bench in benches)


def test_times_do_not_shift_when_records_go_round():
    """Guards against an answer that wanders past the crashes that came after it."""
    clock = ManualClock()
    first, second = Bench("r0", clock), Bench("r1", clock)
    first.meet_crash()
    clock.advance(SECOND)
    first.history.record_answer(REQUEST)
    clock.advance(SECOND)
    for _ in range(3):
        first.meet_crash()
    for _ in range(1000):
        relay(first, second, timedelta(milliseconds=5))
        relay(second, first, timedelta(milliseconds=5))
    assert first.is_refused() and second.is_refused()


def test_a_teller_passes_on_what_only_it_can_put_together():
    """Guards against two crashes at two routers that count as one at all of them."""
    clock = ManualClock()
    teller, other = Bench("r0", clock), Bench("r1", clock)
    sources = [Bench("r2", clock), Bench("r3", clock)]
    for source in sources:
        source.meet_crash()
        relay(source, teller, timedelta(0), is_aggregator=True)
        relay(source, other, timedelta(0))
    (news,) = teller.history.take_updates(9)
    assert news.is_broadcast
    assert news.record.count_consecutive() == 2
    assert not other.history.has_updates
    # What all have been told already is not told again.
    relay(other, teller, timedelta(0), is_aggregator=True)
    assert not teller.history.has_updates


def test_a_lost_answer_is_told_again():
    """Guards against a datagram whose loss leaves a request refused at some routers."""
    clock = ManualClock()
    teller, other = Bench("r0", clock), Bench("r1", clock)
    for _ in range(3):
        other.meet_crash()
    relay(other, teller, timedelta(0), is_aggregator=True)
    clock.advance(SECOND)
    teller.history.record_answer(REQUEST)
    teller.history.take_updates(9)
    relay(other, teller, timedelta(0), is_aggregator=True)
    (news,) = teller.history.take_updates(9)
    assert news.is_broadcast


def test_impossible_records_are_left_out():
    """Guards against a message that stops the daemon or refuses what it should not."""
    bench = Bench()
    now = bench.clock.monotonic()
    huge = 2**64 - 1
    for crash in (MetCrash(1, huge, 0), MetCrash(1, 5, 9), MetCrash(1, huge, huge)):
        record = read_crash_message(CrashedRequest(REQUEST, (crash,), 1, huge), now)
        assert not record.crashes_by_id
        bench.history.merge(REQUEST, record, False)
    crashes = {
        number: ServerCrash(number, number * SECOND, number * SECOND)
        for number in range(5)
    }
    for key in ("", "x" * 64, "ab", REQUEST + "0"):
        bench.history.merge(key, CrashRecord(dict(crashes)), False)
    bench.history.merge(OTHER, CrashRecord(answer=ServerAnswer(1, now)), False)
    assert not any(
        bench.is_refused(key) for key in ("", "x" * 64, "ab", REQUEST, OTHER)
    )


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
