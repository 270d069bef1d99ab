"""How old a router's knowledge of the store is.

A watch that waits for changes proves nothing by itself: it also waits while the store
is silent. Its state is known to be that of the store when a call was answered: the
watch itself, or a lease renewal that began while the watch was waiting, because the
store answers a waiting watch at once when something changes. A router that does not
watch the store takes over the evidence of others, with its age.

This module does no I/O. Moments are times since the host's start, which include its
suspensions: a process that was suspended must not take its evidence for recent.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.platform import NO_REVISION, Revision


@dataclass(frozen=True)
class ReportedEvidence:
    """What another router knows of its own state.

    :param revision: the state that was that of the store.
    :param at: the latest moment at which it was.
    """

    revision: Revision
    at: timedelta


class StateEvidence:
    """The latest moment at which this router's state was that of the store."""

    def __init__(self) -> None:
        self._waiting_since: timedelta | None = None
        # None before the first read.
        self.at: timedelta | None = None

    def begin_wait(self, at: timedelta) -> None:
        """Record that a watch begins to wait for changes of the present state."""
        self._waiting_since = at

    def end_wait(self) -> None:
        """Record that no watch is waiting any more."""
        self._waiting_since = None

    def record_answer(self, at: timedelta) -> None:
        """Record that the store told of all changes up to a moment."""
        self.at = at if self.at is None else max(self.at, at)

    def record_renewal(self, called_at: timedelta) -> None:
        """Record that the store answered another call of this router.

        :param called_at: when that call began.
        """
        if self._waiting_since is not None and self._waiting_since <= called_at:
            self.record_answer(called_at)

    def record_report(self, report: ReportedEvidence, revision: Revision) -> None:
        """Take over the evidence of another router.

        :param revision: the revision of this router's state, which may lack changes
            that the other one has.
        """
        if NO_REVISION < report.revision <= revision:
            self.record_answer(report.at)

    def get_age(self, now: timedelta) -> timedelta | None:
        """Return the age of the evidence; None without any."""
        return None if self.at is None else now - self.at
