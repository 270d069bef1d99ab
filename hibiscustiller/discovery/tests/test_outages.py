"""Which failed calls to the store are taken for an outage of it."""

import sys
from datetime import timedelta

from hibiscustiller.discovery._outages import (
    StoreAnswer,
    StoreOutage,
    StoreOutages,
)
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)


def make_outages():
    """Return a clock and the outages that a router knows after it reached the store."""
    clock = ManualClock()
    clock.advance(100 * SECOND)
    outages = StoreOutages(clock)
    outages.record_answer()
    return clock, outages


def lose_store(clock, outages, duration=3 * SECOND):
    """Let the router's calls fail for a time; return that time as an outage."""
    began_at = clock.monotonic()
    outages.record_failure(began_at)
    clock.advance(duration)
    outages.record_answer()
    return StoreOutage(began_at, clock.monotonic())


def test_the_first_answer_to_a_router_ends_no_outage():
    """Guards against the start of a process that counts as a return of the store."""
    _, outages = make_outages()
    assert outages.find_last() is None


def test_an_outage_lasts_from_the_first_failed_call_to_the_next_answer():
    """Guards against servers that are lost because their entries expired."""
    clock, outages = make_outages()
    expected = lose_store(clock, outages)
    assert outages.find_last() == expected


def test_a_call_that_was_answered_meanwhile_does_not_lengthen_an_outage():
    """Guards against a call that waited for long before it failed."""
    clock, outages = make_outages()
    called_at = clock.monotonic()
    clock.advance(10 * SECOND)
    outages.record_answer()
    answered_at = clock.monotonic()
    outages.record_failure(called_at)
    clock.advance(0.5 * SECOND)
    outages.record_answer()
    assert outages.find_last().began_at == answered_at


def test_a_loss_of_the_store_is_the_routers_own_if_another_one_was_answered():
    """Guards against a router cut off from the store that keeps servers everywhere.

    It may learn of the other router's answers during its loss, or only afterwards.
    """
    for is_known_before in (True, False):
        clock, outages = make_outages()
        began_at = clock.monotonic()
        other = StoreAnswer(began_at - 50 * SECOND, began_at + SECOND)
        outages.record_failure(began_at)
        clock.advance(3 * SECOND)
        if is_known_before:
            outages.record_answer_to_other(other)
        outages.record_answer()
        outages.record_answer_to_other(other)
        assert outages.find_last() is None
        outages.record_reported(StoreOutage(began_at, clock.monotonic()), "r2")
        assert outages.find_last() is None


def test_an_outage_is_not_disproved_by_routers_that_saw_it_too():
    """Guards against an outage that is overlooked since some notice its end sooner."""
    clock, outages = make_outages()
    began_at = clock.monotonic()
    # Answered right before the outage, and again right after it.
    outages.record_answer_to_other(StoreAnswer(SECOND, began_at + 0.01 * SECOND))
    returned_at = began_at + 2.5 * SECOND
    expected = lose_store(clock, outages)
    outages.record_answer_to_other(StoreAnswer(returned_at, clock.monotonic()))
    assert outages.find_last() == expected


def test_reports_of_an_outage_do_not_extend_it():
    """Guards against servers that are kept longer with each router that reports."""
    clock, outages = make_outages()
    began_at = clock.monotonic()
    clock.advance(3 * SECOND)
    first = StoreOutage(began_at, clock.monotonic())
    outages.record_reported(first, "r1")
    clock.advance(SECOND)
    later = StoreOutage(began_at + 0.1 * SECOND, clock.monotonic())
    outages.record_reported(later, "r2")
    assert outages.find_last() == first
    # A second outage is another one.
    expected = lose_store(clock, outages)
    assert outages.find_last() == expected


def test_a_router_that_was_paused_tells_nothing_about_the_time_of_its_pause():
    """Guards against an outage that a frozen or suspended router seems to disprove."""
    clock, outages = make_outages()
    clock.advance(5 * SECOND)
    outages.record_answer()
    assert outages.get_last_answer() == StoreAnswer(
        clock.monotonic(), clock.monotonic()
    )
    since = clock.monotonic()
    clock.advance(SECOND)
    outages.record_answer()
    assert outages.get_last_answer().reached_since == since
    # The clock stands still while a host is suspended.
    outages.record_suspension()
    assert outages.get_last_answer() is None
    outages.record_answer()
    assert outages.get_last_answer().reached_since == clock.monotonic()


def test_a_restore_of_the_store_ends_an_outage():
    """Guards against servers that are dropped since a restored store lacks them."""
    clock, outages = make_outages()
    outages.record_restore()
    restored_at = clock.monotonic()
    # Whether or not it was unavailable before.
    clock.advance(SECOND)
    outages.record_answer_to_other(StoreAnswer(SECOND, clock.monotonic()))
    assert outages.find_last().ended_at == restored_at


def test_an_outage_is_dropped_when_the_router_that_reported_it_withdraws_it():
    """Guards against DRAIN: the disproof of a report reached only its reporter.

    Repeated reports by others, which have not learnt that yet, change nothing.
    """
    clock, outages = make_outages()
    clock.advance(10 * SECOND)
    ended_at = clock.monotonic()
    outage = StoreOutage(ended_at - 0.388 * SECOND, ended_at)
    outages.record_reported(outage, "r2")
    assert outages.find_last() == outage
    clock.advance(0.5 * SECOND)
    outages.record_report_of_none("r2", StoreAnswer(ended_at, clock.monotonic()))
    assert outages.find_last() is None
    similar = StoreOutage(outage.began_at - 0.1 * SECOND, ended_at + 0.1 * SECOND)
    outages.record_reported(similar, "r3")
    assert outages.find_last() is None


def test_an_outage_is_not_withdrawn_by_routers_that_do_not_know_it():
    """Guards against a true outage that a restarted reporter seems to withdraw."""
    clock, outages = make_outages()
    clock.advance(10 * SECOND)
    ended_at = clock.monotonic()
    outage = StoreOutage(ended_at - 3 * SECOND, ended_at)
    outages.record_reported(outage, "r2")
    clock.advance(SECOND)
    now = clock.monotonic()
    # It restarted after the outage.
    outages.record_report_of_none("r2", StoreAnswer(now, now))
    # It started right after the outage.
    outages.record_report_of_none("r3", StoreAnswer(ended_at + 0.1 * SECOND, now))
    # The message was sent before the outage.
    outages.record_report_of_none("r2", StoreAnswer(SECOND, outage.began_at))
    assert outages.find_last() == outage


def report_between_own_answers(is_follower):
    """Return the outages of a router that was answered before and after a report."""
    clock, outages = make_outages()
    outages.record_answer(is_follower=is_follower)
    clock.advance(0.6 * SECOND)
    began_at = clock.monotonic() - 0.5 * SECOND
    outages.record_reported(StoreOutage(began_at, clock.monotonic()), "r2")
    clock.advance(0.4 * SECOND)
    outages.record_answer(is_follower=is_follower)
    return clock, outages


def test_a_reported_outage_is_disproved_by_own_answers():
    """Guards against DRAIN: a follower believed others against its own calls."""
    clock, outages = report_between_own_answers(is_follower=True)
    assert outages.find_last() is None
    # The answer may also come before the report.
    began_at = clock.monotonic() + 0.1 * SECOND
    clock.advance(0.5 * SECOND)
    outages.record_answer(is_follower=True)
    outages.record_reported(StoreOutage(began_at, clock.monotonic()), "r2")
    assert outages.find_last() is None


def test_a_router_that_made_no_call_in_an_outage_does_not_disprove_it():
    """Guards against servers that are dropped although they register again.

    A router that does not watch the store calls it every few seconds only.
    """
    _, outages = report_between_own_answers(is_follower=False)
    assert outages.find_last() is not None


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
