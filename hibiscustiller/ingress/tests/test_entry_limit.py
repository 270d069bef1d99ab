"""The limit of entry servers under attempts that engines reject, without a network."""

import sys

from hibiscustiller.ingress._entry_limit import EntryLimit
from hibiscustiller.utils._testing import collect_tests


def test_a_full_stage_does_not_use_up_the_attempts():
    """Guards against a stream that is cut after two entries passed it to full stages.

    The entries are not excluded: only the stages behind them rejected the request.
    """
    limit = EntryLimit(2)
    for entry_id in ("a", "b", "c"):
        limit.record_sent(entry_id)
        limit.record_rejected(entry_id)
        assert not limit.is_reached
    limit.record_sent("a")
    limit.record_sent("b")
    assert limit.is_reached


def test_an_entry_that_has_run_the_request_counts_although_it_rejects_it_later():
    """Guards against a request that runs on more engines than its route allows."""
    limit = EntryLimit(1)
    limit.record_sent("a")
    limit.record_sent("a")
    limit.record_rejected("a")
    assert limit.is_reached
    assert limit.entry_ids == {"a"}


def test_servers_that_have_ended_do_not_count():
    """Guards against streams that are given up since engines were lost before."""
    limit = EntryLimit(1)
    limit.record_sent("a")
    limit.discount({"a"})
    assert not limit.is_reached


def test_a_route_without_repeats_still_allows_one_entry():
    """Guards against a limit of 0 that allows no attempt at all."""
    limit = EntryLimit(0)
    assert not limit.is_reached
    limit.record_sent("a")
    assert limit.is_reached


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
