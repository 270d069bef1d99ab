"""Tests of hashing, back-off, clocks, logging and invariants."""

import io
import logging as std_logging
import random
import sys
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.exceptions import InvariantError
from hibiscustiller.utils import (
    BackedOff,
    ManualClock,
    Verdict,
    check_invariant,
    configure_logging,
    format_fields,
    jittered_delays,
    log_event,
    rank_by_rendezvous,
    violations_by_name,
)
from hibiscustiller.utils._testing import breaks_invariant, collect_tests


@settings(derandomize=True, max_examples=100)
@given(st.sets(st.text(min_size=1, max_size=5), min_size=2, max_size=12), st.text())
def test_removing_a_member_reassigns_only_its_keys(members, key):
    """Guards against a hash that reassigns keys when an unrelated host is removed."""
    ranked = rank_by_rendezvous(key, members)
    assert set(ranked) == members
    for removed in ranked[1:]:
        assert rank_by_rendezvous(key, members - {removed})[0] == ranked[0]


def test_delays_stay_within_growing_bounds():
    """Guards against delays that exceed the limit or their growing bound."""
    first, limit = timedelta(seconds=1), timedelta(seconds=8)
    for seed in range(20):
        delays = jittered_delays(first, limit, random.Random(seed))
        for bound in (1, 2, 4, 8, 8, 8):
            assert timedelta(0) <= next(delays) <= timedelta(seconds=bound)


def test_log_fields_are_quoted_on_one_line():
    """Guards against values that break the key=value format."""
    cases = [
        ({"a": 1, "b": "x-y"}, "a=1 b=x-y"),
        ({"a": "two words"}, 'a="two words"'),
        ({"a": "line\nbreak"}, 'a="line\\nbreak"'),
        ({"a": 'quo"te'}, 'a="quo\\"te"'),
        ({"a": ""}, 'a=""'),
        ({"a": "k=v"}, 'a="k=v"'),
        ({"a": timedelta(milliseconds=5)}, "a=0.005s"),
        ({"a": Verdict.NOT_RUN}, "a=not-run"),
    ]
    for fields, expected in cases:
        assert format_fields(fields) == expected


@breaks_invariant("test_only")
def test_violated_invariant_raises_and_is_counted():
    """Guards against a violation that is neither raised nor counted."""
    before = violations_by_name["test_only"]
    check_invariant(True, "test_only")
    try:
        check_invariant(False, "test_only", value=3)
    except InvariantError as error:
        assert "test_only" in str(error)
    else:
        raise AssertionError("no error was raised")
    assert violations_by_name["test_only"] == before + 1


def test_manual_clock_rejects_negative_delay():
    """Guards against tests that move the clock backwards by mistake."""
    clock = ManualClock()
    clock.advance(timedelta(seconds=2))
    assert clock.monotonic() == timedelta(seconds=2)
    try:
        clock.advance(timedelta(seconds=-1))
    except ValueError:
        return
    raise AssertionError("no error was raised")


def test_library_log_lines_have_the_same_format():
    """Guards against library log lines that a key=value parser cannot read."""
    logger = std_logging.getLogger("library")
    old_handlers = std_logging.getLogger().handlers
    configure_logging("warning")
    (handler,) = std_logging.getLogger().handlers
    old_stream = handler.setStream(io.StringIO())
    captured_stream = handler.stream
    try:
        logger.error("two words")
        log_event("known", level="warning", a=1)
        log_event("hidden", level="info", a=2)
    finally:
        handler.setStream(old_stream)
        std_logging.getLogger().handlers = old_handlers
        configure_logging("info")
    lines = captured_stream.getvalue().splitlines()
    assert len(lines) == 2, lines
    assert lines[0].endswith('level=error event=log message="two words"')
    assert lines[1].endswith("level=warning event=known a=1")


def test_key_is_backed_off_until_its_delay_expires():
    """Guards against a failed router that is retried at once, or never again."""
    clock = ManualClock()
    backed_off = BackedOff(clock)
    assert "a" not in backed_off
    backed_off.add("a", timedelta(seconds=2))
    assert "a" in backed_off and "b" not in backed_off
    clock.advance(timedelta(seconds=1))
    # A later failure restarts the delay from its own time.
    backed_off.add("a", timedelta(seconds=2))
    clock.advance(timedelta(seconds=1.5))
    assert "a" in backed_off
    clock.advance(timedelta(seconds=1))
    assert "a" not in backed_off


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
