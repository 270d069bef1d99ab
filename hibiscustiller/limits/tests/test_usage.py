"""Decayed usage and its exchange between routers, and the retry budget."""

import sys
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.limits import RetryBudget, UsageAggregator, UsageLedger
from hibiscustiller.limits._usage import MAX_ENTRIES_PER_MESSAGE, USAGE_HALF_LIFE
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._messages_generated import (
    UsageReport,
    decode_message,
    encode_message,
)


def exchange(ledgers, aggregator):
    for name, ledger in ledgers.items():
        aggregator.add_report(name, ledger.collect_usage())
    for name, ledger in ledgers.items():
        ledger.apply_totals(aggregator.list_totals(name))


def test_settlement_decays_with_its_charge():
    """Guards against a correction that exceeds the decayed value of an old charge."""
    clock = ManualClock()
    ledger = UsageLedger(clock)
    charge = ledger.charge("o", "c", 100)
    clock.advance(USAGE_HALF_LIFE)
    assert round(ledger.get_attained("o", "c")) == 50
    ledger.settle(charge, 20)
    assert round(ledger.get_attained("o", "c")) == 10
    other = ledger.charge("o", "c", 10)
    ledger.settle(other, 0)
    assert round(ledger.get_attained("o", "c")) == 10


def test_order_survives_rescaling():
    """Guards against weights that overflow after days of operation."""
    clock = ManualClock()
    ledger = UsageLedger(clock)
    aggregator = UsageAggregator(clock)
    for _ in range(40):
        early = ledger.charge("early", "c", 50)
        aggregator.add_report("a", ledger.collect_usage())
        clock.advance(USAGE_HALF_LIFE * 100)
        ledger.charge("late", "c", 60)
        ledger.charge("small", "c", 10)
        assert ledger.get_scaled_usage("late", "c") > ledger.get_scaled_usage(
            "small", "c"
        )
        ledger.settle(early, 0)
        assert ledger.get_attained("early", "c") < 1e-3
    assert round(ledger.get_attained("late", "c")) == 60
    aggregator.add_report("b", ledger.collect_usage())
    aggregator.add_report("a", ledger.collect_usage())
    by_name = {e.organisation: e.tokens for e in aggregator.list_totals("a")}
    assert by_name == {"late": 60, "small": 10}


def test_negligible_usage_is_removed():
    """Guards against memory that grows with every organisation ever seen."""
    clock = ManualClock()
    ledger = UsageLedger(clock)
    aggregator = UsageAggregator(clock)
    for number in range(500):
        ledger.charge(f"o{number}", "c", 100)
    for _ in range(60):
        aggregator.add_report("a", ledger.collect_usage())
    assert len(aggregator._totals_by_key) == 500
    clock.advance(USAGE_HALF_LIFE * 20)
    for _ in range(70):
        assert ledger.collect_usage() == ()
        aggregator.add_report("a", ())
    assert not aggregator._totals_by_key
    assert not aggregator._reports_by_router["a"].sums_by_key


def test_reports_are_bounded_and_complete():
    """Guards against messages over the size limit and keys that are never reported."""
    clock = ManualClock()
    ledger = UsageLedger(clock)
    for number in range(1400):
        ledger.charge(f"organisation-{number}", "confirmations", 1000 + number)
    seen = set()
    for _ in range(1400 // 12 + 40):
        entries = ledger.collect_usage()
        assert len(entries) <= MAX_ENTRIES_PER_MESSAGE
        size = len(encode_message("router-1", UsageReport(entries)))
        assert size <= 3500, size
        seen |= {entry.organisation for entry in entries}
    assert len(seen) == 1400
    # A large change is in the next report.
    ledger.charge("organisation-7", "confirmations", 50_000)
    assert "organisation-7" in {e.organisation for e in ledger.collect_usage()}
    message = UsageReport(ledger.collect_usage())
    assert decode_message(encode_message("a", message)) == ("a", message)


charges = st.tuples(
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from(["o0", "o1"]),
    st.integers(1, 1000),
    st.booleans(),
    st.booleans(),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(charges, max_size=30))
def check_faulty_messages(steps):
    """Compare shared usage with the sum of all charges after lost messages."""
    clock = ManualClock()
    ledgers = {name: UsageLedger(clock) for name in ("a", "b", "c")}
    aggregator = UsageAggregator(clock)
    expected = {"o0": 0, "o1": 0}
    for name, organisation, tokens, is_lost, is_reset in steps:
        ledgers[name].charge(organisation, "c", tokens)
        expected[organisation] += tokens
        if is_reset:
            aggregator = UsageAggregator(clock)
        report = ledgers[name].collect_usage()
        if not is_lost:
            aggregator.add_report(name, report)
            aggregator.add_report(name, report)
        totals = aggregator.list_totals(name)
        ledgers[name].apply_totals(totals)
        ledgers[name].apply_totals(totals)
    for ledger in ledgers.values():
        for organisation, total in expected.items():
            assert ledger.get_attained(organisation, "c") <= total + 1
    for _ in range(2):
        exchange(ledgers, aggregator)
    for name, ledger in ledgers.items():
        for organisation, total in expected.items():
            if any(organisation == s[1] and name == s[0] for s in steps):
                attained = ledger.get_attained(organisation, "c")
                assert abs(attained - total) <= 1, (name, organisation, attained)


def test_lost_and_repeated_messages_are_not_counted_twice():
    """Guards against usage that lost or repeated messages omit or count twice."""
    check_faulty_messages()


def test_dead_and_restarted_routers():
    """Guards against usage that a stopped or restarted router still contributes."""
    clock = ManualClock()
    ledgers = {name: UsageLedger(clock) for name in ("a", "b")}
    aggregator = UsageAggregator(clock)
    for ledger in ledgers.values():
        ledger.charge("o", "c", 1000)
    exchange(ledgers, aggregator)
    assert round(ledgers["a"].get_attained("o", "c")) == 2000
    ledgers["b"] = UsageLedger(clock)
    ledgers["b"].charge("o", "c", 1)
    exchange(ledgers, aggregator)
    assert round(ledgers["a"].get_attained("o", "c")) == 1001
    assert round(ledgers["b"].get_attained("o", "c")) == 1001
    clock.advance(USAGE_HALF_LIFE * 12)
    ledgers["a"].charge("o", "c", 10)
    aggregator.add_report("a", ledgers["a"].collect_usage())
    assert aggregator.list_totals("a") == ()


def test_retry_budget():
    """Guards against retries that amplify an overload, and against no retries."""
    cases = [
        # Number of requests, and retries allowed out of 200 attempted.
        (0, 10),
        (100, 20),
        (1000, 110),
    ]
    for requests, expected in cases:
        clock = ManualClock()
        budget = RetryBudget(clock)
        for _ in range(requests):
            budget.record_request()
        assert sum(budget.try_spend() for _ in range(200)) == expected, requests
        clock.advance(timedelta(seconds=9))
        assert not budget.try_spend()
        clock.advance(timedelta(seconds=1))
        assert sum(budget.try_spend() for _ in range(200)) == 10


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
