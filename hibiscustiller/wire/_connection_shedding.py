"""Which connections end when the places of a server run short.

The load is a crowd of clients that hold connections without use to anyone: requests
that do not become complete, connections that send nothing, answers that are not read.
A connection with such a request is worth less than a new one. While places are free,
nothing ends before its time. This module does no I/O.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

# A client that has just connected sends its request within this time, or a balancer
# keeps the connection for later.
FIRST_REQUEST_GRACE = timedelta(seconds=0.5)
# Share of the places that unfinished requests may take.
_UNFINISHED_SHARE = 0.75
# The rate of a request that began more recently says nothing about its client.
_MIN_RATE_TIME = timedelta(seconds=1)
# A client that reads takes part of an answer within this time.
_MAX_BLOCKED_TIME = timedelta(seconds=1)
# The choice looks at all connections. Ending several of them at a time spreads its cost
# over as many new connections.
_BATCH_SHARE = 0.01


class Phase(Enum):
    """What a connection is doing."""

    # The client was refused and has not closed yet.
    REFUSED = "refused"
    # Between requests.
    IDLE = "idle"
    # Part of a request has arrived.
    UNFINISHED = "unfinished"
    # A request is handled or answered.
    HANDLED = "handled"
    # The connection is being closed to make room.
    ENDING = "ending"


@dataclass(eq=False)
class OpenConnection:
    """State of one connection.

    :param client: host of the client.
    :param since: start of its phase.
    """

    client: str
    since: timedelta
    phase: Phase = Phase.IDLE
    # Whether no request has arrived yet.
    is_new: bool = True
    # Bytes of the unfinished request.
    received_bytes: int = 0
    # The phase before it began to give way.
    ended_in: Phase | None = None
    # Since when the client has not taken what is sent; None if it has.
    blocked_since: timedelta | None = None

    @property
    def is_ending(self) -> bool:
        """Whether the connection gives way to others."""
        return self.phase is Phase.ENDING


class ConnectionTable:
    """The open connections of one server, by phase."""

    def __init__(self) -> None:
        # Descriptors for the connections that handlers open, besides the places. More
        # handled requests take places of other connections; None for no bound.
        self.outgoing_fds: int | None = None
        # In the order in which the phases began.
        self._by_phase: dict[Phase, dict[OpenConnection, None]] = {
            phase: {} for phase in Phase
        }

    def __len__(self) -> int:
        return sum(len(found) for found in self._by_phase.values())

    def count(self, phase: Phase) -> int:
        """Return how many connections are in a phase."""
        return len(self._by_phase[phase])

    def add(self, client: str, now: timedelta) -> OpenConnection:
        """Add a connection that was just accepted."""
        connection = OpenConnection(client, now)
        self._by_phase[Phase.IDLE][connection] = None
        return connection

    def remove(self, connection: OpenConnection) -> None:
        """Remove a connection that was closed."""
        del self._by_phase[connection.phase][connection]

    def begin(self, connection: OpenConnection, phase: Phase, now: timedelta) -> None:
        """Note that a phase begins; a connection that is ending stays so."""
        if connection.is_ending or connection.phase is phase:
            return
        del self._by_phase[connection.phase][connection]
        self._by_phase[phase][connection] = None
        connection.phase, connection.since = phase, now
        connection.received_bytes = 0
        if phase is Phase.HANDLED:
            connection.is_new = False

    def end_for_new(self, max_count: int, now: timedelta) -> list[OpenConnection]:
        """Choose connections that end so that a new one finds a place.

        :param max_count: number of places.
        :returns: connections that are ending from now on; none if there is a place, or
            if no connection may end.
        """
        excess = self.count_taken() + 1 - max_count
        if excess <= 0:
            return []
        return self._end(self._choose(excess, max_count, now))

    def end_for_handled(
        self, connection: OpenConnection, max_count: int, now: timedelta
    ) -> list[OpenConnection] | None:
        """Begin to handle a request; choose connections that end for it.

        :param max_count: number of places.
        :returns: connections that are ending from now on; None if the request cannot be
            handled, since no connection may end.
        """
        self.begin(connection, Phase.HANDLED, now)
        excess = self.count_taken() - max_count
        if excess <= 0:
            return []
        return self._end(self._choose(excess, max_count, now)) or None

    def count_taken(self) -> int:
        """Return the number of places that are taken."""
        open_count = len(self) - self.count(Phase.ENDING)
        if self.outgoing_fds is None:
            return open_count
        return open_count + max(0, self.count(Phase.HANDLED) - self.outgoing_fds)

    def end_unfinished(self, max_count: int, now: timedelta) -> list[OpenConnection]:
        """Choose unfinished requests that end since there are too many of them.

        :param max_count: number of places.
        """
        allowed = max(1, int(max_count * _UNFINISHED_SHARE))
        excess = self.count(Phase.UNFINISHED) - allowed
        if excess <= 0:
            return []
        return self._end(self._choose_unfinished(_size_batch(excess, max_count), now))

    def end_some(self, max_count: int, now: timedelta) -> list[OpenConnection]:
        """Choose connections that end since the process is short of descriptors."""
        return self._end(self._choose(1, max_count, now))

    def _choose(
        self, excess: int, max_count: int, now: timedelta
    ) -> list[OpenConnection]:
        count = _size_batch(excess, max_count)
        chosen = list(self._by_phase[Phase.REFUSED])[:count]
        idle = [
            connection
            for connection in self._by_phase[Phase.IDLE]
            if not connection.is_new or now - connection.since >= FIRST_REQUEST_GRACE
        ]
        chosen += _choose_of_largest(
            count - len(chosen), idle, lambda connection: (now - connection.since,)
        )
        if len(chosen) >= excess:
            return chosen
        chosen += self._choose_unfinished(count - len(chosen), now)
        if len(chosen) >= excess:
            return chosen
        blocked_times = {
            connection: now - connection.blocked_since
            for connection in self._by_phase[Phase.HANDLED]
            if connection.blocked_since is not None
            and now - connection.blocked_since >= _MAX_BLOCKED_TIME
        }
        return chosen + _choose_of_largest(
            excess - len(chosen),
            list(blocked_times),
            lambda connection: (blocked_times[connection],),
        )

    def _choose_unfinished(self, count: int, now: timedelta) -> list[OpenConnection]:
        """Choose those with the lowest rate; the most recent ones are spared longest.

        Bytes alone would end each request that has just begun.
        """

        def rank(connection: OpenConnection) -> tuple[bool, float]:
            age = now - connection.since
            if age < _MIN_RATE_TIME:
                return False, age.total_seconds()
            return True, -connection.received_bytes / age.total_seconds()

        return _choose_of_largest(count, list(self._by_phase[Phase.UNFINISHED]), rank)

    def _end(self, connections: list[OpenConnection]) -> list[OpenConnection]:
        for connection in connections:
            del self._by_phase[connection.phase][connection]
            self._by_phase[Phase.ENDING][connection] = None
            connection.ended_in = connection.phase
            connection.phase = Phase.ENDING
        return connections


def _size_batch(excess: int, max_count: int) -> int:
    return max(excess, int(max_count * _BATCH_SHARE))


def _choose_of_largest(
    count: int,
    connections: list[OpenConnection],
    rank: Callable[[OpenConnection], tuple[Any, ...]],
) -> list[OpenConnection]:
    """Choose the highest ranks of the clients that hold most connections."""
    counts_by_client = Counter(connection.client for connection in connections)
    return heapq.nlargest(
        count,
        connections,
        key=lambda connection: (counts_by_client[connection.client], rank(connection)),
    )
