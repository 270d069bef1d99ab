"""Outages of the store, told apart from a router's own loss of it.

The entries of servers expire while the store is unavailable to them. A router that was
cut off, or has just started, has not seen such an outage: the store answered others in
the meantime, and an entry that is gone then belongs to a server that left.

This module does no I/O. Times are on the monotonic clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.utils import Clock, log_event

# An answer to another router counts as given during an outage if it came this much
# later than the first failure. The message that tells of it takes some time.
_REPORT_DELAY = timedelta(milliseconds=300)
# Without an answer for longer, a router that was paused itself may have missed an
# outage. A router that watches the store renews its lease every second.
_MAX_ANSWER_GAP = timedelta(seconds=2)
# A router hears of about three answers a second. More than those during the longest
# loss of the store by one router.
_MAX_ANSWERS = 128
# Own answers are kept as times without a failed call. A router rarely loses the store
# more often while an outage matters.
_MAX_OWN_TIMES = 8
# Entries expire after three heartbeats without a renewal. The store must be silent for
# about two of them before an entry can expire; a renewal may be early.
_MIN_MISSED_HEARTBEATS = 1.5
# Several routers report the same outage, and a router may lose the store by itself
# several times meanwhile.
_MAX_OUTAGES = 8


@dataclass(frozen=True)
class StoreOutage:
    """A time during which the store answered nobody.

    :param began_at: when the first call was made that got no answer.
    :param ended_at: when the store answered again.
    :param is_restore: whether the store came back from a copy. It then lacks entries
        even if it answered all the time.
    :param is_local: whether it is known from the first calls of this process only,
        which tell nothing of how the store was before.
    """

    began_at: timedelta
    ended_at: timedelta
    is_restore: bool = False
    is_local: bool = False


@dataclass(frozen=True)
class StoreAnswer:
    """An answer of the store to a router.

    :param reached_since: since when that router had no failed call.
    :param at: when the answer arrived.
    """

    reached_since: timedelta
    at: timedelta


class StoreOutages:
    """The outages of the store, as far as this router knows.

    A router's own failures are evidence of an outage only if no other router is known
    to have reached the store meanwhile. What it learns afterwards counts too. A silence
    in which no entry can have expired is none.

    :param heartbeat: period in which servers renew their entries; zero if unknown.
    """

    def __init__(self, clock: Clock, heartbeat: timedelta = timedelta(0)) -> None:
        self._clock = clock
        self._min_silence = heartbeat * _MIN_MISSED_HEARTBEATS
        self._reached_since: timedelta | None = None
        self._answered_at: timedelta | None = None
        # When the first of the failed calls since the last answer was made.
        self._failing_since: timedelta | None = None
        self._answers_to_others: deque[StoreAnswer] = deque(maxlen=_MAX_ANSWERS)
        # The last answer of each time in which this router watched the store and no
        # call of it failed.
        self._watched_since: timedelta | None = None
        self._own_answers: deque[StoreAnswer] = deque(maxlen=_MAX_OWN_TIMES)
        # Times in which the routers that reported an outage say that there was none.
        self._withdrawn: deque[StoreAnswer] = deque(maxlen=_MAX_OUTAGES)
        self._reporters_by_outage: dict[StoreOutage, set[str]] = {}
        self._disproved: set[StoreOutage] = set()
        self._outages: deque[StoreOutage] = deque(maxlen=_MAX_OUTAGES)

    def record_answer(self, *, is_follower: bool = False) -> None:
        """Record that the store has answered a call of this router.

        :param is_follower: whether this router watches the store. Another one may
            have made no call during an outage, so that its answers disprove none.
        """
        now = self._clock.monotonic()
        failing_since, self._failing_since = self._failing_since, None
        answered_at, self._answered_at = self._answered_at, now
        is_gap = answered_at is None or now - answered_at > _MAX_ANSWER_GAP
        if is_gap or failing_since is not None:
            self._reached_since = now
        self._record_own_answer(now, is_follower)
        if failing_since is not None:
            self._record_silence(failing_since, now, answered_at)
        self._log_disproved("own calls")

    def _record_silence(
        self, began_at: timedelta, ended_at: timedelta, answered_at: timedelta | None
    ) -> None:
        """Record a time in which own calls failed, if it may have been an outage.

        :param answered_at: the last answer before it; None for a process that has had
            none since its start or its suspension.
        """
        if answered_at is None:
            outage = StoreOutage(began_at, ended_at, is_local=True)
            self._record(outage, "first calls")
        elif ended_at - answered_at >= self._min_silence:
            self._record(StoreOutage(began_at, ended_at), "own calls")

    def record_failure(self, called_at: timedelta) -> None:
        """Record a call of this router that got no usable answer.

        :param called_at: when it was made, or when it failed if it was made to wait.
        """
        if self._failing_since is None:
            self._failing_since = max(called_at, self._answered_at or called_at)

    def record_suspension(self) -> None:
        """Record that this router was suspended, and may have missed an outage."""
        self._answered_at = None

    def record_restore(self) -> None:
        """Record that the store came back from a copy, which lacks later entries."""
        now = self._clock.monotonic()
        self._outages.append(StoreOutage(now, now, is_restore=True))
        log_event("store_outage_recorded", reason="restored from a copy")

    def record_answer_to_other(self, answer: StoreAnswer, router_id: str = "") -> None:
        """Record the last answer of the store to another router."""
        self._answers_to_others.append(answer)
        self._log_disproved(router_id)

    def record_reported(self, outage: StoreOutage, reporter: str) -> None:
        """Record an outage that another router knows."""
        self._record(outage, reporter)

    def record_report_of_none(
        self, reporter: str, answer: StoreAnswer, since: timedelta | None = None
    ) -> None:
        """Record that another router knows of no outage.

        A router that reported one then has learnt that the store answered others
        meanwhile. One that restarted since has only forgotten it.

        :param answer: the last answer of the store to that router.
        :param since: the end of the last outage that it still reports.
        """
        for outage in list(self._outages):
            is_reported = reporter in self._reporters_by_outage.get(outage, ())
            was_there = answer.reached_since <= outage.ended_at + _REPORT_DELAY
            is_newer = answer.at >= outage.ended_at
            is_later = since is None or outage.began_at > since
            if is_reported and was_there and is_newer and is_later:
                # Other reports of it begin and end at slightly different times.
                self._withdrawn.append(
                    StoreAnswer(
                        outage.began_at - _REPORT_DELAY,
                        outage.ended_at + _REPORT_DELAY,
                    )
                )
        self._log_disproved(reporter)

    def find_last(self) -> StoreOutage | None:
        """Return the last outage; None if there was none."""
        known = [outage for outage in self._outages if not self._is_disproved(outage)]
        return max(known, key=lambda outage: outage.ended_at, default=None)

    def find_last_reported(self) -> StoreOutage | None:
        """Return the last outage that other routers are told of; None if none is."""
        known = [
            outage
            for outage in self._outages
            if not outage.is_local and not self._is_disproved(outage)
        ]
        return max(known, key=lambda outage: outage.ended_at, default=None)

    def get_last_answer(self) -> StoreAnswer | None:
        """Return the last answer of the store to this router; None without one."""
        if self._reached_since is None or self._answered_at is None:
            return None
        return StoreAnswer(self._reached_since, self._answered_at)

    def _record(self, outage: StoreOutage, reporter: str) -> None:
        # The same outage, seen by different routers, ends at slightly different times.
        # The first one holds, or each report would extend it.
        same = [
            known
            for known in self._outages
            if outage.began_at < known.ended_at
            and known.began_at < outage.ended_at
            and not self._is_disproved(known)
        ]
        for known in same:
            self._reporters_by_outage.setdefault(known, set()).add(reporter)
        is_known = any(outage.is_local or not known.is_local for known in same)
        if is_known or self._is_disproved(outage):
            return
        self._outages.append(outage)
        self._reporters_by_outage[outage] = {reporter}
        self._forget_old()
        log_event(
            "store_outage_recorded",
            reason=reporter,
            duration=outage.ended_at - outage.began_at,
            age=self._clock.monotonic() - outage.ended_at,
        )

    def _record_own_answer(self, now: timedelta, is_follower: bool) -> None:
        if not is_follower:
            self._watched_since = None
            return
        if self._watched_since is None or self._reached_since == now:
            self._watched_since = now
            self._own_answers.append(StoreAnswer(now, now))
        else:
            self._own_answers[-1] = StoreAnswer(self._watched_since, now)

    def _forget_old(self) -> None:
        outages = set(self._outages)
        self._disproved &= outages
        for outage in self._reporters_by_outage.keys() - outages:
            del self._reporters_by_outage[outage]

    def _log_disproved(self, reason: str) -> None:
        """Log each outage that is disproved now and was not before.

        :param reason: the router whose answers or report disprove it.
        """
        for outage in self._outages:
            if outage not in self._disproved and self._is_disproved(outage):
                self._disproved.add(outage)
                log_event(
                    "store_outage_disproved",
                    reason=reason,
                    duration=outage.ended_at - outage.began_at,
                    age=self._clock.monotonic() - outage.ended_at,
                )

    def _is_disproved(self, outage: StoreOutage) -> bool:
        """Tell whether a router reached the store throughout an outage."""
        return not outage.is_restore and (
            any(_disproves(answer, outage) for answer in self._answers_to_others)
            or any(_disproves(answer, outage) for answer in self._own_answers)
            or any(
                time.reached_since <= outage.began_at and outage.ended_at <= time.at
                for time in self._withdrawn
            )
        )


def _disproves(answer: StoreAnswer, outage: StoreOutage) -> bool:
    return (
        answer.reached_since <= outage.began_at
        and answer.at > outage.began_at + _REPORT_DELAY
    )
