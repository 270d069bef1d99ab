"""The member table: merging, suspicion, dropping and digests."""

import itertools
import sys
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.exceptions import InvariantError
from hibiscustiller.membership._members import (
    MemberStatus,
    MemberTable,
    Merge,
    find_differences,
    order_state,
)
from hibiscustiller.utils._testing import breaks_invariant, collect_tests
from hibiscustiller.wire._messages_generated import MemberState

DROP_DELAY = timedelta(seconds=7)
ZERO = timedelta(0)
LIVE, SUSPECTED, LEAVING = (status.value for status in MemberStatus)


def make_state(router="b", incarnation=1, status=LIVE, address="127.0.0.1:1"):
    return MemberState(router, "domain", "region", address, incarnation, status)


def make_table():
    return MemberTable(make_state("self"), DROP_DELAY)


def merge_all(states):
    table = make_table()
    for state in states:
        table.merge(state, ZERO)
    return table


STATES = st.builds(
    make_state,
    st.sampled_from("abc"),
    st.integers(1, 3),
    st.sampled_from([LIVE, SUSPECTED, LEAVING]),
    st.sampled_from(["127.0.0.1:1", "127.0.0.1:2"]),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(STATES, max_size=6), st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_order_or_repetition(states, shuffler):
    """Guards against routers that hear the same news and disagree for ever."""
    shuffled = states + states[: len(states) // 2]
    shuffler.shuffle(shuffled)
    one, other = merge_all(states), merge_all(shuffled)
    for router in "abc":
        assert one.find(router) == other.find(router)


@settings(derandomize=True, deadline=None)
@given(st.lists(STATES, max_size=8))
def test_incarnation_never_falls(states):
    """Guards against an entry of a router's former process that comes back."""
    table = make_table()
    for state in states:
        before = table.find(state.router_id)
        table.merge(state, ZERO)
        after = table.find(state.router_id)
        if before is not None:
            assert order_state(after) >= order_state(before)
            assert after.incarnation >= before.incarnation


@settings(derandomize=True, deadline=None)
@given(st.lists(STATES, max_size=6), st.lists(STATES, max_size=6))
def test_equal_digests_mean_equal_live_entries(left, right):
    """Guards against a difference that the digests hide."""
    one, other = merge_all(left), merge_all(right)
    live = [
        {member.router_id: table.find(member.router_id) for member in table.list_live()}
        for table in (one, other)
    ]
    assert (live[0] == live[1]) == (one.make_digest() == other.make_digest())
    buckets = find_differences(one.list_digests(), other.list_digests())
    assert (buckets == 0) == (live[0] == live[1])


def test_suspicion_ends_in_a_drop_unless_refuted():
    """Guards against dead routers kept, and live ones dropped after a refutation."""
    table = merge_all([make_state("b"), make_state("c")])
    assert table.suspect("b", ZERO).status == SUSPECTED
    assert table.suspect("c", ZERO) is not None
    assert table.suspect("c", ZERO) is None
    assert table.merge(make_state("c", 1), ZERO) is Merge.OLDER
    assert table.merge(make_state("c", 2), ZERO) is Merge.NEWER
    assert table.drop_overdue(DROP_DELAY - timedelta(milliseconds=1)) == []
    assert [m.router_id for m in table.list_live()] == ["b", "c", "self"]
    assert table.drop_overdue(DROP_DELAY) == ["b"]
    assert [m.router_id for m in table.list_live()] == ["c", "self"]
    assert [m.router_id for m in table.list_dropped()] == ["b"]
    assert table.merge(make_state("b", 2), DROP_DELAY) is Merge.NEWER
    assert "b" in [m.router_id for m in table.list_live()]


def test_own_pause_is_not_the_silence_of_others():
    """Guards against dropping the whole fleet after this process was paused."""
    table = merge_all([make_state("b")])
    table.suspect("b", ZERO)
    table.shift_times(timedelta(seconds=60))
    assert table.drop_overdue(timedelta(seconds=61)) == []


def test_ended_entries_are_passed_on_for_a_limited_time():
    """Guards against entries that routers pass around for ever."""
    table = merge_all([make_state("b")])
    table.merge(make_state("b", 1, LEAVING), ZERO)
    every = (1 << 16) - 1

    def is_shared(now):
        return "b" in [s.router_id for s in table.list_states(every, now)]

    assert is_shared(timedelta(minutes=4))
    assert not is_shared(timedelta(minutes=6))
    table.drop_overdue(timedelta(minutes=59))
    assert table.find("b") is not None
    table.drop_overdue(timedelta(minutes=61))
    assert table.find("b") is None
    # News of a departed router that was never known is not passed on again.
    table.merge(make_state("b", 1, LEAVING), timedelta(minutes=62))
    assert not is_shared(timedelta(minutes=62))
    assert [m.router_id for m in table.list_live()] == ["self"]


@breaks_invariant("own_member_entry_rises")
def test_own_entry_must_rise():
    """Guards against a refutation that the others would ignore."""
    table = make_table()
    try:
        table.replace_self(make_state("self", 0), ZERO)
    except InvariantError:
        return
    raise AssertionError("a lower incarnation was accepted")


def test_every_order_of_join_suspicion_and_leave_agrees():
    """Guards against a late suspicion that hides a departure or a restart."""
    news = [
        make_state("b", 1),
        make_state("b", 1, SUSPECTED),
        make_state("b", 1, LEAVING),
        make_state("b", 2),
    ]
    for order in itertools.permutations(news):
        assert merge_all(order).find("b") == make_state("b", 2), order


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
