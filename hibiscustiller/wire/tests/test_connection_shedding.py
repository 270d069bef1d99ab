"""The choice of the connections that end when places run short."""

import sys
from datetime import timedelta

from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._connection_shedding import ConnectionTable, Phase

START = timedelta(0)
LATER = timedelta(seconds=10)


def add(table, phase, client="a", at=START, received=0):
    connection = table.add(client, at)
    connection.is_new = False
    table.begin(connection, phase, at)
    connection.received_bytes = received
    return connection


def test_nothing_ends_while_places_are_free():
    """Guards against load shedding in calm."""
    table = ConnectionTable()
    for phase in (Phase.IDLE, Phase.UNFINISHED, Phase.HANDLED):
        add(table, phase)
    assert table.end_for_new(4, LATER) == []
    assert table.end_unfinished(4, LATER) == []


def test_connections_end_in_the_order_of_their_worth():
    """Guards against a request that ends while an idle connection is kept."""
    table = ConnectionTable()
    handled = add(table, Phase.HANDLED)
    blocked = add(table, Phase.HANDLED)
    blocked.blocked_since = START
    others = [
        add(table, phase) for phase in (Phase.UNFINISHED, Phase.IDLE, Phase.REFUSED)
    ]
    ended = []
    for _ in range(4):
        # All places are taken.
        ended += table.end_for_new(len(table) - len(ended), LATER)
    assert table.end_for_new(1, LATER) == []
    assert ended == [*reversed(others), blocked]
    assert not handled.is_ending
    assert blocked.ended_in is Phase.HANDLED


def test_connections_that_were_just_opened_are_kept():
    """Guards against clients that are cut off before their first request."""
    table = ConnectionTable()
    table.add("a", LATER)
    assert table.end_for_new(1, LATER) == []
    assert len(table.end_for_new(1, LATER + timedelta(seconds=1))) == 1


def test_the_least_progress_of_the_busiest_client_ends():
    """Guards against a crowd of one client that ends the requests of others."""
    table = ConnectionTable()
    sound = add(table, Phase.UNFINISHED, "sound")
    fast = add(table, Phase.UNFINISHED, "crowd", received=5000)
    slow = add(table, Phase.UNFINISHED, "crowd", received=10)
    fresh = add(table, Phase.UNFINISHED, "crowd", at=LATER)
    # Three of four, and then two of three, may go on.
    assert table.end_unfinished(4, LATER) == [slow]
    assert table.end_unfinished(3, LATER) == [fast]
    assert not sound.is_ending and not fresh.is_ending


def test_unfinished_requests_leave_a_quarter_of_the_places():
    """Guards against unfinished requests that take all places."""
    table = ConnectionTable()
    for _ in range(400):
        add(table, Phase.UNFINISHED)
        table.end_unfinished(400, LATER)
    assert table.count(Phase.UNFINISHED) <= 300


def test_handled_requests_take_places_for_the_connections_that_they_open():
    """Guards against a process that runs out of descriptors under legal requests."""
    table = ConnectionTable()
    table.outgoing_fds = 2
    idle = [add(table, Phase.IDLE) for _ in range(10)]
    assert table.end_for_handled(idle[0], 10, LATER) == []
    assert table.end_for_handled(idle[1], 10, LATER) == []
    for _ in range(4):
        begun = next(found for found in reversed(idle) if found.phase is Phase.IDLE)
        ended = table.end_for_handled(begun, 10, LATER)
        assert ended and not any(found.ended_in is Phase.HANDLED for found in ended)
        assert table.count_taken() <= 10
    assert table.end_for_handled(add(table, Phase.UNFINISHED), 10, LATER) is None


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
