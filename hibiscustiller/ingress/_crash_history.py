"""History of server crashes by request, used to quarantine requests that cause crashes.

A crash is the end of a server's process while it runs a request, whatever the cause. A
caller retries a request that got no answer, so a request that crashes each server that
runs it would crash them one after the other, whichever router it reaches. Its attempts
have different request ids, but the same caller, path and body, which its fingerprint is
computed from.

Of all requests that run on a server when it crashes, at most one is the cause, and most
crashes have another cause. A request is therefore refused only after several
consecutive crashes, with no answer to it in between.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from hibiscustiller.ingress._shared_records import SharedRecords
from hibiscustiller.utils import (
    Clock,
    CrashId,
    Fingerprint,
    Metrics,
    Refusal,
    RefusalReason,
    RouterId,
    Verdict,
    compute_fingerprint,
    log_event,
)

# While servers fail one after the other, a request can be involved in two crashes by
# chance.
_QUARANTINE_THRESHOLD = 3
# Refusal times after the third, fourth and fifth consecutive crash. The request may
# succeed once the software of the servers has been fixed. After further crashes it is
# refused for as long as its record is kept.
_QUARANTINE_TIMES = tuple(timedelta(minutes=minutes) for minutes in (10, 20, 40))
_RECORD_TTL = timedelta(days=1)
# A record takes about a kilobyte.
_MAX_RECORDS = 2048
_MAX_CRASHES_PER_RECORD = 12
# Times that other routers report are late by the transmission time of a datagram, and
# by more if a router is busy.
_REPORTED_TIME_ERROR = timedelta(milliseconds=100)
# A run that has produced events, and has lasted this much longer than every run that
# ended in a crash, has got past the point at which the server would crash.
_PROGRESS_MARGIN = timedelta(milliseconds=500)
# Crashes that are closer together may stem from one failure of several servers. All
# routers have detected such a failure after this time.
_CRASH_SEPARATION = timedelta(milliseconds=400)
# Requests that were involved in the same two crashes are retried in separate slots. A
# request that crashes servers does so within a slot, and callers wait at least two
# seconds.
_RETRY_SLOT = timedelta(milliseconds=200)
_RETRY_SLOTS = 4
# 64 bits in hexadecimal digits.
_ID_HEX_DIGITS = 16
_FINGERPRINT_HEX_DIGITS = 64
_HEX_DIGITS = frozenset("0123456789abcdef")


@dataclass(frozen=True)
class ServerCrash:
    """A crash of a server while it ran a request, as observed by one attempt.

    :param id: id of the crash, the same at all routers.
    :param started_at: when the request was sent to the server, on the monotonic clock.
    :param alive_at: when the process of the server is known to have run last.
    :param ended_at: when the crash was detected, on the monotonic clock.
    """

    id: CrashId
    started_at: timedelta
    alive_at: timedelta
    ended_at: timedelta


@dataclass(frozen=True)
class ServerAnswer:
    """Evidence that a request can run without crashing its server.

    :param id: unique id of the answer.
    :param answered_at: when the answer was received, on the monotonic clock.
    """

    id: int
    answered_at: timedelta


@dataclass
class CrashRecord:
    """Crashes and answers that are known of one request.

    Records of several routers are merged. Merging is idempotent and does not depend on
    the order.

    :param crashes_by_id: crashes of servers that ran the request.
    :param answer: the latest answer to the request; None if there was none.
    """

    crashes_by_id: dict[CrashId, ServerCrash] = field(default_factory=dict)
    answer: ServerAnswer | None = None

    @property
    def updated_at(self) -> timedelta:
        """Time of the latest crash or answer, on the monotonic clock."""
        times = [crash.ended_at for crash in self.crashes_by_id.values()]
        if self.answer is not None:
            times.append(self.answer.answered_at)
        return max(times)

    @property
    def is_open(self) -> bool:
        """Whether servers crashed since the latest answer."""
        return bool(self.list_unanswered())

    @property
    def longest_run(self) -> timedelta:
        """Duration of the longest run that ended in a crash; zero if there is none."""
        return max(
            (
                crash.ended_at - crash.started_at
                for crash in self.crashes_by_id.values()
            ),
            default=timedelta(0),
        )

    def list_unanswered(self) -> list[ServerCrash]:
        """Return the crashes after the latest answer, in order of time.

        A crash of a server that had the request before the answer has another cause.
        """
        crashes = self.crashes_by_id.values()
        if self.answer is not None:
            crashes = [
                crash
                for crash in crashes
                if crash.started_at >= self.answer.answered_at
            ]
        return sorted(crashes, key=lambda crash: crash.ended_at)

    def list_consecutive(self) -> list[ServerCrash]:
        """Return the consecutive crashes, with no answer in between, in order of time.

        One failure may crash several servers that run copies of a request, or that it
        is sent to again. A crash is therefore further evidence only if its server was
        alive some time after the previous crash.
        """
        consecutive: list[ServerCrash] = []
        for crash in self.list_unanswered():
            separation = _CRASH_SEPARATION - _REPORTED_TIME_ERROR
            if (
                not consecutive
                or crash.alive_at >= consecutive[-1].ended_at + separation
            ):
                consecutive.append(crash)
        return consecutive

    def count_consecutive(self) -> int:
        """Return the number of consecutive crashes, with no answer in between."""
        return len(self.list_consecutive())

    def merge(self, other: CrashRecord) -> bool:
        """Add what another router knows.

        The earliest time of an event is kept, since each transmission between routers
        delays it.

        :returns: whether the other record held anything new.
        """
        is_new = False
        for key, crash in other.crashes_by_id.items():
            known = self.crashes_by_id.get(key)
            is_new = is_new or known is None
            self.crashes_by_id[key] = crash if known is None else _merge(known, crash)
        answer = other.answer
        if answer is not None and (self.answer is None or _supersedes(answer, self)):
            is_new = is_new or self.answer is None or self.answer.id != answer.id
            self.answer = answer
        self._trim()
        return is_new

    def _trim(self) -> None:
        if len(self.crashes_by_id) <= _MAX_CRASHES_PER_RECORD:
            return
        counted = {crash.id for crash in self.list_consecutive()}
        by_relevance = sorted(
            self.crashes_by_id.values(),
            key=lambda crash: (crash.id in counted, crash.ended_at),
        )
        for crash in by_relevance[:-_MAX_CRASHES_PER_RECORD]:
            del self.crashes_by_id[crash.id]


class CrashHistory:
    """Records which requests servers crashed under, and refuses quarantined requests.

    :param router_id: id of this router.
    :param clock: source of time.
    :param on_update: called when an update for other routers is available.
    :param capacity: maximum number of requests with a record.
    :param is_explained: tells whether a crash is known to have another cause than the
        requests that ran on the server.
    """

    def __init__(
        self,
        router_id: RouterId,
        clock: Clock,
        metrics: Metrics,
        on_update: Callable[[], None] = lambda: None,
        capacity: int = _MAX_RECORDS,
        is_explained: Callable[[CrashId], bool] = lambda crash_id: False,
    ) -> None:
        self._is_explained = is_explained
        self._router_id = router_id
        self._clock = clock
        self._metrics = metrics
        # Requests that are quarantined or one crash short of it are under suspicion.
        self.records: SharedRecords[Fingerprint, CrashRecord] = SharedRecords(
            clock, on_update, capacity, _RECORD_TTL
        )
        self._id_count = 0

    def record_crash(
        self,
        fingerprint: Fingerprint,
        started_at: timedelta,
        has_progress: bool,
        crash_id: CrashId | None = None,
        alive_at: timedelta | None = None,
    ) -> None:
        """Record that a server crashed while it ran a request.

        :param started_at: when the request was sent to the server, on the monotonic
            clock.
        :param has_progress: whether the server had sent a part of the answer.
        :param crash_id: id of the crash; None for an id of its own.
        :param alive_at: when the process of the server is known to have run last; None
            if that is when the request was sent.
        """
        now = self._clock.monotonic()
        record = self.records.get(fingerprint) or CrashRecord()
        update = CrashRecord()
        is_longer = now - started_at > record.longest_run + _PROGRESS_MARGIN
        if has_progress and record.crashes_by_id and is_longer:
            update.answer = ServerAnswer(self._make_id(), started_at)
        crash = ServerCrash(
            crash_id or CrashId(self._make_id()),
            started_at,
            alive_at or started_at,
            now,
        )
        update.crashes_by_id[crash.id] = crash
        if not self._apply(fingerprint, update):
            return
        self._metrics.count("crashes.met")
        self.records.record_observation(fingerprint)
        self.records.queue_update(fingerprint, self.records.is_suspect(fingerprint))

    def record_answer(self, fingerprint: Fingerprint) -> None:
        """Record that a server answered a request in full, which clears the request.

        An error of the server is no such answer: the request may not have got as far as
        the place of the crash.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.list_unanswered():
            return
        answer = ServerAnswer(self._make_id(), self._clock.monotonic())
        is_broadcast = self.records.is_suspect(fingerprint)
        self._apply(fingerprint, CrashRecord(answer=answer))
        self.records.queue_update(fingerprint, is_broadcast)

    def has_crashes(self, fingerprint: Fingerprint) -> bool:
        """Tell whether servers crashed under a request since its latest answer."""
        record = self.records.get(fingerprint)
        return record is not None and record.is_open

    def check(self, fingerprint: Fingerprint) -> Refusal | None:
        """Return the refusal of a quarantined request; None for any other request."""
        record = self.records.get(fingerprint)
        if record is None:
            return None
        left = self._compute_quarantine_left(record)
        if left <= timedelta(0):
            return None
        message = "servers ended one after the other under this request"
        return Refusal(RefusalReason.CRASHES_SERVERS, Verdict.NOT_RUN, message, left)

    async def admit(
        self, fingerprint: Fingerprint, time_left: timedelta
    ) -> Refusal | None:
        """Wait until a request may be sent to a server.

        :param time_left: time until the deadline of the request.
        :returns: why the request must not be sent; None if it may be sent.
        """
        refusal = self.check(fingerprint)
        delay = self.compute_retry_delay(fingerprint)
        if refusal is not None or delay <= timedelta(0):
            return refusal
        if delay >= time_left:
            message = "servers have just ended under this request"
            return Refusal(
                RefusalReason.CRASHES_SERVERS, Verdict.NOT_RUN, message, delay
            )
        await self._clock.sleep(delay)
        return self.check(fingerprint)

    def compute_retry_delay(self, fingerprint: Fingerprint) -> timedelta:
        """Return how long to wait before a request is sent to another server.

        After one crash there is no delay, since most crashes have another cause. After
        two, the delay gives the routers time to detect what else has failed. It also
        separates the requests that ran on the same server: if all of them were retried
        at the same moment, the one that crashes servers would involve the same others
        in each crash.
        """
        record = self.records.get(fingerprint)
        crashes = [] if record is None else self._list_unexplained(record)
        if len(crashes) < _QUARANTINE_THRESHOLD - 1:
            return timedelta(0)
        slot = int(fingerprint[:8], 16) % _RETRY_SLOTS * _RETRY_SLOT
        delay = (
            crashes[-1].ended_at + _CRASH_SEPARATION + slot - self._clock.monotonic()
        )
        return max(timedelta(0), delay)

    def merge(
        self, fingerprint: Fingerprint, received: CrashRecord, is_aggregator: bool
    ) -> None:
        """Add what another router knows of a request.

        :param received: the record of the other router.
        :param is_aggregator: whether this router merges the records of the request and
            broadcasts the result.
        """
        if not _is_fingerprint(fingerprint):
            log_event("crash_record_unreadable", level="warning", key=fingerprint[:80])
            return
        if not received.crashes_by_id and received.answer is None:
            return
        count = received.count_consecutive()
        self._apply(fingerprint, received)
        known = self.records.get(fingerprint)
        if known is None:
            return
        is_suspect = self.records.is_suspect(fingerprint)
        has_more = is_suspect and known.count_consecutive() > count
        if is_aggregator and (has_more or _lacks_answer(received, known)):
            self.records.queue_update(fingerprint, is_broadcast=True)
        elif has_more and count >= _QUARANTINE_THRESHOLD - 1:
            # The aggregators, which sent this, lack a crash that this router observed.
            self.records.queue_update(fingerprint, is_broadcast=False)

    def describe(self) -> dict[str, Any]:
        """Return the suspected requests as JSON values; times are in seconds."""
        return {
            fingerprint: {
                "crashes": record.count_consecutive(),
                "refused_for_s": round(
                    self._compute_quarantine_left(record).total_seconds(), 1
                ),
            }
            for fingerprint, record in self.records.list_suspects().items()
        }

    def _apply(self, fingerprint: Fingerprint, update: CrashRecord) -> bool:
        """Merge an update into a record; return whether it held anything new."""
        record = self.records.get(fingerprint) or CrashRecord()
        before = record.count_consecutive()
        if not record.merge(update):
            return False
        count = record.count_consecutive()
        is_suspect = count >= _QUARANTINE_THRESHOLD - 1
        self.records.put(fingerprint, record, is_suspect)
        if count > before:
            log_event(
                "servers_ended_under_request",
                level="warning",
                fingerprint=fingerprint,
                count=count,
                refused_for=self._compute_quarantine_left(record),
            )
        return True

    def _compute_quarantine_left(self, record: CrashRecord) -> timedelta:
        """Return how much longer a request is quarantined; zero if it is not."""
        unexplained = CrashRecord(
            {crash.id: crash for crash in self._list_unexplained(record)}
        )
        index = unexplained.count_consecutive() - _QUARANTINE_THRESHOLD
        if index < 0:
            return timedelta(0)
        time = (
            _QUARANTINE_TIMES[index] if index < len(_QUARANTINE_TIMES) else _RECORD_TTL
        )
        left = record.updated_at + time - self._clock.monotonic()
        return max(timedelta(0), left)

    def _list_unexplained(self, record: CrashRecord) -> list[ServerCrash]:
        """Return the crashes after the latest answer that have no other known cause."""
        return [
            crash
            for crash in record.list_unanswered()
            if not self._is_explained(crash.id)
        ]

    def _make_id(self) -> int:
        """Return an id that no other router, and no earlier process, has used."""
        self._id_count += 1
        parts = (self._router_id, self._clock.now().isoformat(), str(self._id_count))
        digest = compute_fingerprint(*(part.encode() for part in parts))
        return int(digest[:_ID_HEX_DIGITS], 16)


def _is_fingerprint(text: str) -> bool:
    """Tell whether a text from another router is a digest in hexadecimal digits."""
    return len(text) == _FINGERPRINT_HEX_DIGITS and _HEX_DIGITS.issuperset(text)


def _merge(known: ServerCrash, other: ServerCrash) -> ServerCrash:
    """Merge two observations of one crash.

    Several copies of the request may have run there. The latest times tell most, but
    the transmission between routers must not delay them further and further.
    """

    def choose(at: timedelta, other_at: timedelta) -> timedelta:
        return other_at if other_at > at + _REPORTED_TIME_ERROR else at

    return replace(
        known,
        started_at=choose(known.started_at, other.started_at),
        alive_at=choose(known.alive_at, other.alive_at),
        ended_at=min(known.ended_at, other.ended_at),
    )


def _supersedes(answer: ServerAnswer, record: CrashRecord) -> bool:
    """Tell whether an answer replaces a record's.

    A later answer does, and so does the same answer with an earlier time.
    """
    assert record.answer is not None
    if answer.id == record.answer.id:
        return answer.answered_at < record.answer.answered_at
    return answer.answered_at > record.answer.answered_at


def _lacks_answer(received: CrashRecord, known: CrashRecord) -> bool:
    """Tell whether the sender of a record lacks an answer that clears its crashes."""
    answer = known.answer
    return answer is not None and any(
        crash.ended_at <= answer.answered_at for crash in received.list_unanswered()
    )
