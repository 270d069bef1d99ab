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

# Between the decision to watch the store and the last request that is judged without a
# change: the first call, applying its changes, and requests being judged meanwhile.
_LEARNING_TIME = timedelta(milliseconds=400)
# A renewal that a slow store answers, a message, and timers that are late.
_DELAY = timedelta(milliseconds=200)
# What renewals and messages need at least. A shorter limit cannot be kept while the
# store is silent to all followers.
_SHORTEST_LIMIT = timedelta(seconds=1.5)
# Each renewal is charged.
_LONGEST_RENEWAL_PERIOD = timedelta(seconds=1)
_SHORTEST_RENEWAL_PERIOD = timedelta(milliseconds=500)
# Followers that lost the store retry within this time.
_FOLLOWER_RETURN_TIME = timedelta(milliseconds=500)
# A check of this router's own reach takes a lease renewal.
_CHECK_TIME = timedelta(milliseconds=400)
# Polls of a source are spread by this fraction of their period.
POLL_JITTER = 0.1
# The period of polls, as a fraction of the time in which a change must be in force.
_MAX_POLL_FRACTION = 1 / 6


@dataclass(frozen=True)
class FreshnessLimits:
    """The parts of the time in which a change must be in force.

    On a calm day the evidence of a router is at most as old as a renewal of its
    source's lease and a poll. A router that has none for `max_age` begins to watch the
    store, so that `max_age` and the time to learn of a change are within the limit.

    :param poll_period: period in which a router polls its source.
    :param renewal_period: period in which a follower renews its lease.
    :param check_age: age of the evidence at which a router checks its own reach and
        asks all followers.
    :param max_age: age of the evidence at which it watches the store itself.
    :param return_time: for how long a router that reaches the store again leaves it to
        the followers, which retry more often.
    """

    poll_period: timedelta
    renewal_period: timedelta
    check_age: timedelta
    max_age: timedelta
    return_time: timedelta


def compute_limits(change_limit: timedelta, poll_period: timedelta) -> FreshnessLimits:
    """Divide the time in which a change must be in force.

    :param change_limit: time from the store's acknowledgement of a change until it must
        be in force on a router that reaches the store.
    :param poll_period: desired period of polls.
    """
    change_limit = max(change_limit, _SHORTEST_LIMIT)
    poll_period = min(poll_period, change_limit * _MAX_POLL_FRACTION)
    longest_poll = poll_period * (1 + POLL_JITTER)
    # The answer to one poll may be lost.
    polls = longest_poll * 2 + _DELAY
    max_age = min(change_limit - _LEARNING_TIME, _LONGEST_RENEWAL_PERIOD + polls)
    renewal_period = min(
        _LONGEST_RENEWAL_PERIOD, max(_SHORTEST_RENEWAL_PERIOD, max_age - polls)
    )
    return FreshnessLimits(
        poll_period=poll_period,
        renewal_period=renewal_period,
        check_age=max_age - max(_CHECK_TIME, longest_poll),
        max_age=max_age,
        return_time=_FOLLOWER_RETURN_TIME + longest_poll + _DELAY,
    )


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

    def record_report(self, report: ReportedEvidence, revision: Revision) -> bool:
        """Take over the evidence of another router.

        :param revision: the revision of this router's state, which may lack changes
            that the other one has.
        :returns: whether it tells of this state.
        """
        if not NO_REVISION < report.revision <= revision:
            return False
        self.record_answer(report.at)
        return True

    def get_age(self, now: timedelta) -> timedelta | None:
        """Return the age of the evidence; None without any."""
        return None if self.at is None else now - self.at
