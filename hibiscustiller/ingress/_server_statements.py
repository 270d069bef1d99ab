"""What the processes of backend servers say of themselves in their answers.

A process that says that it leaves, or that it wants no requests for some time, gets
none whatever its entry in the store says, which may be late or cannot be read. A new
process has said nothing yet. This module does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import BackendServer
from hibiscustiller.platform import AnswerFacts
from hibiscustiller.utils import Clock, ServerId, log_event

# Share of the platform's drain time in which a leaving server may still get requests
# that no other one takes.
_LEAVING_DRAIN_FRACTION = 0.5
# Callers whose servers all leave may return after this time.
_LEAVING_WAIT = timedelta(seconds=1)
# A longer time that a server names is an error of it.
_MAX_PAUSE = timedelta(minutes=10)
# More than the servers of a large fleet. A statement takes about 200 bytes.
_MAX_PROCESSES = 4096


@dataclass
class _Statements:
    """Statements of one process; times are on the monotonic clock.

    :param leaving_since: when it first said that it leaves; None if it did not.
    :param paused_until: until when it wants no requests.
    """

    leaving_since: timedelta | None = None
    paused_until: timedelta = timedelta(0)


class ServerStatements:
    """Statements of all processes, by id and start of the process.

    :param drain: time after which a leaving server must get no requests.
    :param on_change: called when a process says for the first time that it leaves.
    :param capacity: maximum number of processes; the oldest statements are dropped.
    """

    def __init__(
        self,
        clock: Clock,
        drain: timedelta,
        on_change: Callable[[], None] = lambda: None,
        capacity: int = _MAX_PROCESSES,
    ) -> None:
        self._clock = clock
        self._last_resort_time = drain * _LEAVING_DRAIN_FRACTION
        self._on_change = on_change
        self._capacity = capacity
        self._by_process: OrderedDict[tuple[ServerId, int], _Statements] = OrderedDict()

    def record(self, server: BackendServer, facts: AnswerFacts) -> None:
        """Record what an answer of a server's process says of it."""
        if not facts.is_leaving and facts.pause is None:
            return
        key = (server.id, server.born)
        statements = self._by_process.setdefault(key, _Statements())
        self._by_process.move_to_end(key)
        if len(self._by_process) > self._capacity:
            self._by_process.popitem(last=False)
        now = self._clock.monotonic()
        if facts.pause is not None:
            statements.paused_until = now + min(facts.pause, _MAX_PAUSE)
            log_event("server_pauses", server=server.id, pause=facts.pause)
        if facts.is_leaving and statements.leaving_since is None:
            statements.leaving_since = now
            log_event("server_says_it_leaves", server=server.id, born=server.born)
            self._on_change()

    def is_leaving(self, server: BackendServer) -> bool:
        """Tell whether a process said that it leaves."""
        statements = self._by_process.get((server.id, server.born))
        return statements is not None and statements.leaving_since is not None

    def is_paused(self, server: BackendServer) -> bool:
        """Tell whether a process wants no requests of this router now."""
        statements = self._by_process.get((server.id, server.born))
        return (
            statements is not None and self._clock.monotonic() < statements.paused_until
        )

    def get_wait(self, server: BackendServer) -> timedelta | None:
        """Return why a process must not be sent a request now, as a time to wait.

        A leaving server is a last resort for a while: its requests still end in time.

        :returns: the time to wait; None if a request may be sent.
        """
        statements = self._by_process.get((server.id, server.born))
        if statements is None:
            return None
        now = self._clock.monotonic()
        leaving_since = statements.leaving_since
        if leaving_since is not None and now >= leaving_since + self._last_resort_time:
            return _LEAVING_WAIT
        if now < statements.paused_until:
            return statements.paused_until - now
        return None

    def list_leaving(self) -> list[tuple[ServerId, int]]:
        """Return the processes that said that they leave, with their start times."""
        return [
            key
            for key, statements in self._by_process.items()
            if statements.leaving_since is not None
        ]
