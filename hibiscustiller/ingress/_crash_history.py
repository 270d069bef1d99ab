"""Requests under which backend servers have ended, so that they are not sent on and on.

A caller repeats a request that got no answer. One that ends each server that runs it
would end them one after the other, whatever router it comes to: an attempt has a new
request id, but the same caller, path and body.

Of all requests that run at a server when it ends, one at most is the cause, and most
ends have another cause. A request is therefore refused only after several ends in
succession, with no answer to it between them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import islice
from typing import Any

from hibiscustiller.utils import (
    Clock,
    Fingerprint,
    Metrics,
    Refusal,
    RefusalReason,
    RouterId,
    Verdict,
    compute_fingerprint,
    log_event,
)

# Where servers fail one after the other, a request meets two ends by chance.
_CRASHES_ALLOWED = 3
# How long a request is refused after its third, fourth and fifth end in succession. It
# may be served once the servers' software has been mended; after that it is refused for
# as long as it is remembered.
_QUARANTINES = tuple(timedelta(minutes=minutes) for minutes in (10, 20, 40))
_RECORD_LIFE = timedelta(days=1)
# About a kilobyte each.
_RECORDS_KEPT = 2048
_CRASHES_KEPT = 12
# Times that other routers tell are late by a datagram's way, and by more where a router
# is busy.
_TIME_ERROR = timedelta(milliseconds=100)
# A run that has brought events, and has lasted this much longer than every run under
# which a server ended, has got past what would end the server.
_PROGRESS_MARGIN = timedelta(milliseconds=500)
# Ends that follow each other more closely may be of one failure of several servers,
# which all routers have found out by then.
_APART = timedelta(milliseconds=400)
# Requests that met two ends together start again apart from each other. A request that
# ends servers does so within a turn, and callers wait two seconds at least.
_TURN = timedelta(milliseconds=200)
_TURNS = 4
# Hexadecimal digits of 64 bits.
_ID_DIGITS = 16
_FINGERPRINT_DIGITS = 64
_HEXADECIMAL = frozenset("0123456789abcdef")


@dataclass(frozen=True)
class ServerCrash:
    """The end of a server under a request, as one attempt met it.

    :param id: made for the attempt.
    :param started_at: when the request was sent to the server, on the monotonic clock.
    :param ended_at: when the server was found to have ended.
    """

    id: int
    started_at: timedelta
    ended_at: timedelta


@dataclass(frozen=True)
class ServerAnswer:
    """A proof that a request can run to its end.

    :param id: made for the answer.
    :param at: when it was there, on the monotonic clock.
    """

    id: int
    at: timedelta


@dataclass
class CrashRecord:
    """What is known of one request.

    Records of several routers are merged; their order and repeats make no difference.

    :param crashes_by_id: ends of servers under it.
    :param answer: the latest answer to it; None if there was none.
    """

    crashes_by_id: dict[int, ServerCrash] = field(default_factory=dict)
    answer: ServerAnswer | None = None

    @property
    def latest(self) -> timedelta:
        """When something was last found out."""
        times = [crash.ended_at for crash in self.crashes_by_id.values()]
        if self.answer is not None:
            times.append(self.answer.at)
        return max(times)

    @property
    def longest_run(self) -> timedelta:
        """The longest run under which a server ended."""
        return max(
            (
                crash.ended_at - crash.started_at
                for crash in self.crashes_by_id.values()
            ),
            default=timedelta(0),
        )

    def list_unanswered(self) -> list[ServerCrash]:
        """Return the ends after the latest answer, in order."""
        crashes = self.crashes_by_id.values()
        if self.answer is not None:
            crashes = [crash for crash in crashes if crash.ended_at > self.answer.at]
        return sorted(crashes, key=lambda crash: crash.ended_at)

    def list_consecutive(self) -> list[ServerCrash]:
        """Return the ends that followed each other with no answer between them.

        One failure may end several servers, at which copies of a request run, or to
        which it is sent again. Only an attempt that began some time after an end tells
        more than that end.
        """
        successive: list[ServerCrash] = []
        for crash in self.list_unanswered():
            apart = _APART - _TIME_ERROR
            if not successive or crash.started_at >= successive[-1].ended_at + apart:
                successive.append(crash)
        return successive

    def count_consecutive(self) -> int:
        """Return how many ends followed each other with no answer between them."""
        return len(self.list_consecutive())

    def merge(self, other: CrashRecord) -> bool:
        """Take over what another router knows.

        The earliest time of an event is kept: each way between routers adds to it.

        :returns: whether anything was new.
        """
        is_new = False
        for key, crash in other.crashes_by_id.items():
            known = self.crashes_by_id.get(key)
            is_new = is_new or known is None
            if known is None or crash.ended_at < known.ended_at:
                self.crashes_by_id[key] = crash
        answer = other.answer
        if answer is not None and (self.answer is None or _is_better(answer, self)):
            is_new = is_new or self.answer is None or self.answer.id != answer.id
            self.answer = answer
        self._trim()
        return is_new

    def _trim(self) -> None:
        if len(self.crashes_by_id) <= _CRASHES_KEPT:
            return
        counted = {crash.id for crash in self.list_consecutive()}
        by_worth = sorted(
            self.crashes_by_id.values(),
            key=lambda crash: (crash.id in counted, crash.ended_at),
        )
        for crash in by_worth[:-_CRASHES_KEPT]:
            del self.crashes_by_id[crash.id]


@dataclass(frozen=True)
class CrashUpdate:
    """What other routers are to be told of a request.

    :param is_for_all: whether all routers need it, or only those that collect records.
    """

    fingerprint: Fingerprint
    record: CrashRecord
    is_broadcast: bool


class CrashHistory:
    """Knows under which requests servers have ended, and refuses the worst of them.

    :param router_id: this router.
    :param clock: source of time.
    :param on_news: called when there is something to tell the other routers.
    :param capacity: bound on the requests that are remembered.
    """

    def __init__(
        self,
        router_id: RouterId,
        clock: Clock,
        metrics: Metrics,
        on_update: Callable[[], None] = lambda: None,
        capacity: int = _RECORDS_KEPT,
    ) -> None:
        self._router_id = router_id
        self._clock = clock
        self._metrics = metrics
        self._on_news = on_update
        self._capacity = capacity
        self._records: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        # Requests that are refused or near to it, the latest last.
        self._suspects: OrderedDict[Fingerprint, None] = OrderedDict()
        # Requests with news, and whether they are for all routers, in order.
        self._untold: dict[Fingerprint, bool] = {}
        self._id_count = 0

    def record_crash(
        self, fingerprint: Fingerprint, started_at: timedelta, has_progress: bool
    ) -> None:
        """Record that a server ended while it ran a request.

        :param started_at: when the request was sent to it.
        :param has_progress: whether it had brought a part of the answer.
        """
        now = self._clock.monotonic()
        record = self._records.get(fingerprint, CrashRecord())
        news = CrashRecord()
        is_longer = now - started_at > record.longest_run + _PROGRESS_MARGIN
        if has_progress and record.crashes_by_id and is_longer:
            news.answer = ServerAnswer(self._make_id(), started_at)
        crash = ServerCrash(self._make_id(), started_at, now)
        news.crashes_by_id[crash.id] = crash
        self._metrics.count("crashes.met")
        self._take(fingerprint, news)
        self._tell(fingerprint, fingerprint in self._suspects)

    def record_answer(self, fingerprint: Fingerprint) -> None:
        """Record a server's whole answer, which clears the request."""
        record = self._records.get(fingerprint)
        if record is None or not record.list_unanswered():
            return
        answer = ServerAnswer(self._make_id(), self._clock.monotonic())
        is_broadcast = fingerprint in self._suspects
        self._take(fingerprint, CrashRecord(answer=answer))
        self._tell(fingerprint, is_broadcast)

    def check(self, fingerprint: Fingerprint) -> Refusal | None:
        """Return why a request must not be sent to a server; None if it may."""
        record = self._records.get(fingerprint)
        if record is None:
            return None
        left = self._find_quarantine_left(record)
        if left <= timedelta(0):
            return None
        message = "servers ended one after the other under this request"
        return Refusal(RefusalReason.CRASHES_SERVERS, Verdict.NOT_RUN, message, left)

    async def admit(
        self, fingerprint: Fingerprint, time_left: timedelta
    ) -> Refusal | None:
        """Wait until a request may be sent to a server.

        :param time_left: what is left of the request's time.
        :returns: why it must not be sent at all; None if it may.
        """
        refusal = self.check(fingerprint)
        wait = self.compute_retry_delay(fingerprint)
        if refusal is not None or wait <= timedelta(0):
            return refusal
        if wait >= time_left:
            message = "servers have just ended under this request"
            return Refusal(
                RefusalReason.CRASHES_SERVERS, Verdict.NOT_RUN, message, wait
            )
        await self._clock.sleep(wait)
        return self.check(fingerprint)

    def compute_retry_delay(self, fingerprint: Fingerprint) -> timedelta:
        """Return how long to wait before a request is sent to another server.

        After one end it is sent at once: most ends are not its fault. After two, what
        else has failed is to be known first. All requests that ran at a server would
        be sent again at the same moment, and the one that ended it would take the
        same ones along from server to server.
        """
        record = self._records.get(fingerprint)
        crashes = [] if record is None else record.list_unanswered()
        if len(crashes) < _CRASHES_ALLOWED - 1:
            return timedelta(0)
        turn = int(fingerprint[:8], 16) % _TURNS * _TURN
        wait = crashes[-1].ended_at + _APART + turn - self._clock.monotonic()
        return max(timedelta(0), wait)

    def merge(
        self, fingerprint: Fingerprint, told: CrashRecord, is_aggregator: bool
    ) -> None:
        """Take over what another router knows of a request.

        :param is_teller: whether this router puts together what the others know of the
            request, and tells all of them.
        """
        if not _is_fingerprint(fingerprint):
            log_event("crash_record_unreadable", level="warning", key=fingerprint[:80])
            return
        if not told.crashes_by_id and told.answer is None:
            return
        count = told.count_consecutive()
        self._take(fingerprint, told)
        known = self._records.get(fingerprint)
        if known is None or not is_aggregator:
            return
        has_more = fingerprint in self._suspects and known.count_consecutive() > count
        if has_more or _lacks_answer(told, known):
            self._tell(fingerprint, is_broadcast=True)

    def take_updates(self, limit: int) -> list[CrashUpdate]:
        """Return what the other routers do not know, and count it as told."""
        keys = list(islice(self._untold, limit))
        return [
            CrashUpdate(key, self._records[key], self._untold.pop(key)) for key in keys
        ]

    @property
    def has_updates(self) -> bool:
        """Whether there is something to tell the other routers."""
        return bool(self._untold)

    def list_suspects(
        self, limit: int, max_age: timedelta = _RECORD_LIFE
    ) -> dict[Fingerprint, CrashRecord]:
        """Return the requests that are refused or near to it, the latest first.

        A router that has started, or to which datagrams were lost, does not know them.

        :param max_age: longest time since their latest news.
        """
        since = self._clock.monotonic() - max_age
        latest = {
            fingerprint: self._records[fingerprint]
            for fingerprint in islice(reversed(self._suspects), limit)
        }
        return {key: record for key, record in latest.items() if record.latest >= since}

    def describe(self) -> dict[str, Any]:
        """Return the requests that are refused or near to it, as JSON values."""
        return {
            fingerprint: {
                "crashes": record.count_consecutive(),
                "refused_for_s": round(
                    self._find_quarantine_left(record).total_seconds(), 1
                ),
            }
            for fingerprint, record in self.list_suspects(self._capacity).items()
        }

    def _take(self, fingerprint: Fingerprint, news: CrashRecord) -> None:
        record = self._records.setdefault(fingerprint, CrashRecord())
        before = record.count_consecutive()
        if not record.merge(news):
            return
        count = record.count_consecutive()
        self._records.move_to_end(fingerprint)
        self._suspects.pop(fingerprint, None)
        if count >= _CRASHES_ALLOWED - 1:
            self._suspects[fingerprint] = None
        self._drop_old()
        if count > before:
            log_event(
                "servers_ended_under_request",
                level="warning",
                fingerprint=fingerprint,
                count=count,
                refused_for=self._find_quarantine_left(record),
            )

    def _tell(self, fingerprint: Fingerprint, is_broadcast: bool) -> None:
        """Tell the other routers soon: all of them, or those that collect records."""
        self._untold[fingerprint] = self._untold.get(fingerprint, False) or is_broadcast
        self._on_news()

    def _find_quarantine_left(self, record: CrashRecord) -> timedelta:
        """Return how much longer a request is refused; zero if it is not."""
        number = record.count_consecutive() - _CRASHES_ALLOWED
        if number < 0:
            return timedelta(0)
        time = _QUARANTINES[number] if number < len(_QUARANTINES) else _RECORD_LIFE
        left = record.latest + time - self._clock.monotonic()
        return max(timedelta(0), left)

    def _drop_old(self) -> None:
        now = self._clock.monotonic()
        while self._records:
            # Records are in the order of their latest news.
            fingerprint, record = next(iter(self._records.items()))
            if record.latest + _RECORD_LIFE > now:
                break
            self._drop(fingerprint)
        while len(self._records) > self._capacity:
            self._drop(self._find_least())

    def _find_least(self) -> Fingerprint:
        """Return the oldest record that no refusal depends on, or just the oldest."""
        others = (key for key in self._records if key not in self._suspects)
        return next(others, next(iter(self._records)))

    def _drop(self, fingerprint: Fingerprint) -> None:
        del self._records[fingerprint]
        self._suspects.pop(fingerprint, None)
        self._untold.pop(fingerprint, None)

    def _make_id(self) -> int:
        """Return a number that no other router, and no earlier process, has used."""
        self._id_count += 1
        parts = (self._router_id, self._clock.now().isoformat(), str(self._id_count))
        digest = compute_fingerprint(*(part.encode() for part in parts))
        return int(digest[:_ID_DIGITS], 16)


def _is_fingerprint(text: str) -> bool:
    """Tell whether a text that another router sent is a digest in hexadecimal."""
    return len(text) == _FINGERPRINT_DIGITS and _HEXADECIMAL.issuperset(text)


def _is_better(answer: ServerAnswer, record: CrashRecord) -> bool:
    """Tell whether an answer is later than a record's, or the same told better."""
    assert record.answer is not None
    if answer.id == record.answer.id:
        return answer.at < record.answer.at
    return answer.at > record.answer.at


def _lacks_answer(told: CrashRecord, known: CrashRecord) -> bool:
    """Tell whether a router that told a record lacks an answer that clears it."""
    answer = known.answer
    return answer is not None and any(
        crash.ended_at <= answer.at for crash in told.list_unanswered()
    )
