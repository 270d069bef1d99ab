"""History of server crashes by prompt part, used to quarantine the parts at fault.

A part of a prompt may crash each server that begins to answer on it, whatever else the
request holds. Only requests that had not begun their answers at a server can have
crashed it, so the parts of these are its suspects. A part is cleared of a crash by any
answer that begins later, and refused after several crashes of which it was not cleared.

Parts that many requests share are suspects in most crashes, and are cleared within
moments, unless several crashes come before any answer begins. Where several parts
explain the same crashes, give or take one, the last one in the prompt is taken for the
cause: its refusal affects the fewest requests. If that is wrong, the next crashes show
it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from hibiscustiller.ingress._shared_records import SharedRecords
from hibiscustiller.utils import (
    Clock,
    CrashId,
    Metrics,
    PartId,
    Refusal,
    RefusalReason,
    ServerId,
    Verdict,
    compute_fingerprint,
    log_event,
)

# While servers fail one after the other, rarely used parts can be involved in two
# crashes by chance. Two are enough for a part that is the only one involved in both.
_QUARANTINE_THRESHOLD = 3
_SOLE_SUSPECT_THRESHOLD = 2
# The first part stands in all requests of a kind or a subject, and its refusal stops
# them all, so it takes more evidence.
_FIRST_PART_THRESHOLD = 5
# The records of a prompt's parts come from different aggregators. A first part is not
# judged before those of the parts behind it have arrived, of which a datagram may be
# lost and sent again after a second.
_SETTLING_TIME = timedelta(seconds=1.5)
# Two parts at fault may be suspects of the same crash, so that one of the crashes of a
# part may have another known cause.
_SHARED_CRASHES = 1
# A sound part may be a suspect of this many crashes more than a part at fault behind it
# in the prompt, before an answer clears it.
_COINCIDENCE_MARGIN = 1
# Trials stop at this number of crashes for good.
_MAX_CRASHES = 8
# Time from the latest crash to the next trial, by the number of crashes beyond the
# threshold. A trial may cost an engine with all its requests, so it comes late.
_TRIAL_DELAYS = (
    timedelta(minutes=1),
    timedelta(minutes=10),
    timedelta(hours=1),
    timedelta(hours=6),
    timedelta(hours=24),
)
# The first trial of a first part comes sooner: many sound requests may be refused.
_FIRST_PART_TRIAL_DELAY = timedelta(seconds=10)
# Each slot gives the trial to another router, as not every router gets requests with
# the part.
_TRIAL_SLOT = timedelta(seconds=5)
# A trial that shows nothing, such as one that its caller left, is repeated after this.
_TRIAL_TIMEOUT = timedelta(seconds=30)
# Shortest time after which the caller of a refused request may return.
_MIN_RETRY_AFTER = timedelta(seconds=10)
_RECORD_TTL = timedelta(days=2)
# A record takes about a kilobyte.
_MAX_RECORDS = 2048
# A datagram carries 32 records.
_MAX_CRASHES_PER_RECORD = 12
_CRASH_ID_HEX_DIGITS = 16
# As for an id of a part that a caller sends.
_MAX_PART_ID_LENGTH = 64


def compute_crash_id(server_id: ServerId, born: int) -> CrashId:
    """Return the id of the crash of a server's process, the same at all routers.

    :param born: start time of the process, in Unix milliseconds.
    """
    digest = compute_fingerprint(server_id.encode(), str(born).encode())
    return CrashId(int(digest[:_CRASH_ID_HEX_DIGITS], 16))


@dataclass(frozen=True)
class SuspectedCrash:
    """A crash of a server at which a request with a part had not begun its answer.

    :param sent_at: when the first such request was sent to the server, on the
        monotonic clock.
    :param detected_at: when the crash was first detected, on the monotonic clock.
    :param earlier_ids: crashes that were known when such a request was sent.
    :param is_cleared: whether an answer to a request with the part began after it.
    :param learned_at: when this router learned of it, on the monotonic clock.
    """

    id: CrashId
    sent_at: timedelta
    detected_at: timedelta
    earlier_ids: frozenset[CrashId]
    is_cleared: bool
    learned_at: timedelta


@dataclass
class PartRecord:
    """Crashes that a part is or was suspected of.

    Records of several routers are merged. Merging is idempotent and does not depend on
    the order.

    :param position: place of the part in prompts; 0 for the first part.
    :param crashes_by_id: the crashes.
    :param asked_at: latest time at which a request with the part was refused.
    :param tried_at: start of the latest trial by this router; None if there was none.
    :param broadcast_ids: crashes that aggregators told all routers of, which must also
        learn that the part is cleared of them.
    """

    position: int = 0
    crashes_by_id: dict[CrashId, SuspectedCrash] = field(default_factory=dict)
    asked_at: timedelta | None = None
    tried_at: timedelta | None = None
    broadcast_ids: set[CrashId] = field(default_factory=set)

    @property
    def has_cleared_broadcast(self) -> bool:
        """Whether the part is cleared of a crash that all routers were told of."""
        return any(self.crashes_by_id[id].is_cleared for id in self.broadcast_ids)

    @property
    def updated_at(self) -> timedelta:
        """Time of the latest crash or refusal, on the monotonic clock."""
        times = [crash.detected_at for crash in self.crashes_by_id.values()]
        if self.asked_at is not None:
            times.append(self.asked_at)
        return max(times)

    @property
    def is_open(self) -> bool:
        """Whether the part is not cleared of some crash."""
        return any(not crash.is_cleared for crash in self.crashes_by_id.values())

    @property
    def learned_at(self) -> timedelta:
        """When this router learned of the latest crash, on the monotonic clock."""
        return max(crash.learned_at for crash in self.crashes_by_id.values())

    def list_suspected(
        self, explained: Collection[CrashId] = ()
    ) -> list[SuspectedCrash]:
        """Return the crashes that the part may have caused, in order of time.

        :param explained: crashes with another cause.
        """
        crashes = [
            crash
            for crash in self.crashes_by_id.values()
            if not crash.is_cleared and crash.id not in explained
        ]
        return sorted(crashes, key=lambda crash: crash.detected_at)

    def merge(self, other: PartRecord) -> bool:
        """Add what another record holds.

        :returns: whether it held a crash or a clearance that was not known.
        """
        is_new = False
        self.position = max(self.position, other.position)
        for crash in other.crashes_by_id.values():
            known = self.crashes_by_id.get(crash.id)
            if known is None:
                self.crashes_by_id[crash.id] = crash
                is_new = True
                continue
            # Reported times are late by the transmission time of a datagram, so the
            # earlier one is kept: it does not grow as records go round.
            merged = replace(
                known,
                sent_at=min(known.sent_at, crash.sent_at),
                detected_at=min(known.detected_at, crash.detected_at),
                earlier_ids=known.earlier_ids | crash.earlier_ids,
                is_cleared=known.is_cleared or crash.is_cleared,
            )
            self.crashes_by_id[crash.id] = merged
            is_new = is_new or merged.is_cleared != known.is_cleared
            is_new = is_new or merged.earlier_ids != known.earlier_ids
        self._trim()
        return is_new

    def _trim(self) -> None:
        by_relevance = sorted(
            self.crashes_by_id.values(),
            key=lambda crash: (not crash.is_cleared, crash.detected_at),
        )
        for crash in by_relevance[:-_MAX_CRASHES_PER_RECORD]:
            del self.crashes_by_id[crash.id]
            self.broadcast_ids.discard(crash.id)


def count_separate(crashes: Iterable[SuspectedCrash]) -> int:
    """Return how many crashes are evidence of their own.

    One failure may crash several servers that run requests with a part. A crash is
    therefore further evidence only if a request was sent after the previous one.

    :param crashes: crashes in order of time.
    """
    count = 0
    previous: SuspectedCrash | None = None
    for crash in crashes:
        if (
            previous is None
            or previous.id in crash.earlier_ids
            or crash.sent_at >= previous.detected_at
        ):
            count += 1
            previous = crash
    return count


class PartHistory:
    """Records which parts servers crashed under, and refuses requests with such parts.

    :param clock: source of time.
    :param is_chosen: tells whether this router is the one that all routers choose for
        a key.
    :param on_update: called when an update for other routers is available.
    :param capacity: maximum number of parts with a record.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        is_chosen: Callable[[str], bool] = lambda key: True,
        on_update: Callable[[], None] = lambda: None,
        capacity: int = _MAX_RECORDS,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._is_chosen = is_chosen
        # Parts with two crashes or more are under suspicion.
        self.records: SharedRecords[PartId, PartRecord] = SharedRecords(
            clock, on_update, capacity, _RECORD_TTL
        )
        # Quarantined parts, each with the crashes that it explains.
        self._causes: dict[PartId, list[SuspectedCrash]] = {}
        self._explained_ids: set[CrashId] = set()
        # Whether records have changed since. The parts of a prompt change together, so
        # that none of them may be judged before the others have changed.
        self._is_stale = False

    def record_crash(
        self, parts: Sequence[PartId], crash_ids: Iterable[CrashId], sent_at: timedelta
    ) -> None:
        """Record that servers crashed before an answer of theirs had begun.

        :param parts: shared parts of the request's prompt, in order.
        :param sent_at: when the request was sent, on the monotonic clock.
        """
        now = self._clock.monotonic()
        crash_ids = list(crash_ids)
        for position, part in enumerate(parts):
            known = self.records.get(part) or PartRecord()
            earlier_ids = frozenset(
                crash.id
                for crash in known.list_suspected()
                if crash.learned_at < sent_at
            )
            crashes_by_id = {
                id: SuspectedCrash(id, sent_at, now, earlier_ids, False, now)
                for id in crash_ids
            }
            if self._apply(part, PartRecord(position, crashes_by_id)):
                self.records.record_observation(part)
                self.records.queue_update(part, is_broadcast=False)

    def record_begin(self, parts: Iterable[PartId], sent_at: timedelta) -> None:
        """Record that an answer began, which clears the parts of earlier crashes.

        Only crashes that were known when the request was sent are certainly earlier.

        :param sent_at: when the request was sent, on the monotonic clock.
        """
        if not len(self.records):
            return
        for part in parts:
            record = self.records.get(part)
            if record is None:
                continue
            disproved = {
                crash.id: replace(crash, is_cleared=True)
                for crash in record.list_suspected()
                if crash.learned_at < sent_at
            }
            if disproved and self._apply(part, PartRecord(0, disproved)):
                self.records.queue_update(part, is_broadcast=False)

    def check(self, parts: Iterable[PartId]) -> Refusal | None:
        """Return the refusal of a request with a quarantined part; None for others."""
        for part, record in self._list_quarantined(parts):
            if not self._is_trial_due(part, record):
                return self._refuse(part, record)
        return None

    def admit(self, parts: Iterable[PartId]) -> Refusal | None:
        """Decide whether a request may be sent now; call just before it is sent.

        It may be a trial of quarantined parts, of which there is one at a time.

        :returns: why it must not be sent; None if it may be sent.
        """
        refusal = self.check(parts)
        if refusal is not None:
            return refusal
        for part, record in self._list_quarantined(parts):
            record.tried_at = self._clock.monotonic()
            log_event("part_tried", level="warning", part=part)
        return None

    def is_quarantined(self, parts: Iterable[PartId]) -> bool:
        """Tell whether a prompt has a quarantined part."""
        return bool(self._list_quarantined(parts))

    def is_explained(self, crash_id: CrashId) -> bool:
        """Tell whether a quarantined part has caused a crash."""
        self._update_causes()
        return crash_id in self._explained_ids

    def merge(self, part: PartId, received: PartRecord, is_aggregator: bool) -> None:
        """Add what another router knows of a part.

        :param received: the record of the other router.
        :param is_aggregator: whether this router merges the records of the part and
            broadcasts the result.
        """
        if not 0 < len(part) <= _MAX_PART_ID_LENGTH or not received.crashes_by_id:
            log_event("part_record_unreadable", level="warning", part=part[:80])
            return
        is_new = self._apply(part, received)
        record = self.records.get(part)
        if record is None:
            return
        if not is_aggregator:
            count = count_separate(received.list_suspected())
            known_count = count_separate(record.list_suspected())
            if known_count > count >= _SOLE_SUSPECT_THRESHOLD:
                # The aggregators, which sent this, lack a crash that this router
                # observed.
                self.records.queue_update(part, is_broadcast=False)
            return
        if not is_new:
            return
        if self.records.is_suspect(part) or record.has_cleared_broadcast:
            record.broadcast_ids = {crash.id for crash in record.list_suspected()}
            self.records.queue_update(part, is_broadcast=True)

    def describe(self) -> dict[str, Any]:
        """Return the suspected parts as JSON values."""
        self._update_causes()
        return {
            part: {
                "crashes": [_format_id(crash) for crash in record.list_suspected()],
                "is_refused": part in self._causes,
            }
            for part, record in self.records.list_suspects().items()
        }

    def _list_quarantined(
        self, parts: Iterable[PartId]
    ) -> list[tuple[PartId, PartRecord]]:
        """Return the quarantined ones among parts, with their records."""
        self._update_causes()
        if not self._causes:
            return []
        return [
            (part, record)
            for part in parts
            if part in self._causes and (record := self.records.get(part)) is not None
        ]

    def _apply(self, part: PartId, update: PartRecord) -> bool:
        """Merge an update into a record; return whether it changed what is known."""
        record = self.records.get(part) or PartRecord()
        before = count_separate(record.list_suspected())
        if not record.merge(update):
            return False
        suspected = record.list_suspected()
        count = count_separate(suspected)
        is_suspect = count >= _SOLE_SUSPECT_THRESHOLD
        if is_suspect:
            record.broadcast_ids.update(crash.id for crash in suspected)
        self.records.put(part, record, is_suspect)
        if count > 1 or before > 1:
            log_event(
                "crashes_under_part",
                level="warning",
                part=part,
                count=count,
                crashes=",".join(map(_format_id, suspected)),
            )
            self._is_stale = True
        return True

    def _update_causes(self) -> None:
        """Find the parts that explain the crashes, if records have changed."""
        if not self._is_stale:
            return
        self._is_stale = False
        causes: dict[PartId, list[SuspectedCrash]] = {}
        explained_ids: set[CrashId] = set()
        while (part := self._choose_cause(explained_ids)) is not None:
            record = self.records.get(part)
            assert record is not None
            causes[part] = record.list_suspected()
            explained_ids.update(crash.id for crash in causes[part])
        for part in causes.keys() - self._causes.keys():
            self._metrics.count("parts.quarantined")
            crashes = ",".join(map(_format_id, causes[part]))
            log_event("part_quarantined", level="error", part=part, crashes=crashes)
        for part in self._causes.keys() - causes.keys():
            log_event("part_released", level="warning", part=part)
        self._causes, self._explained_ids = causes, explained_ids

    def _choose_cause(self, explained: Collection[CrashId]) -> PartId | None:
        """Return the part that explains the remaining crashes best; None if none does.

        :param explained: crashes that other parts explain.
        """
        ranks = {}
        ids_by_suspect: dict[PartId, set[CrashId]] = {}
        settled_at = self._clock.monotonic() - _SETTLING_TIME
        for part, record in self.records.list_suspects().items():
            if not record.position and record.learned_at > settled_at:
                self._is_stale = True
                continue
            threshold = _get_threshold(record)
            remaining = record.list_suspected(explained)
            if record.position and count_separate(remaining) >= _SOLE_SUSPECT_THRESHOLD:
                ids_by_suspect[part] = {crash.id for crash in remaining}
            if (
                count_separate(record.list_suspected()) >= threshold
                and count_separate(remaining) >= threshold - _SHARED_CRASHES
            ):
                ranks[part] = (record.position, len(remaining), part)
        if not ranks:
            return max(_list_sole_suspects(ids_by_suspect), default=None)
        most = max((count for _, count, _ in ranks.values()), default=0)
        candidates = [
            part
            for part, rank in ranks.items()
            if rank[1] >= most - _COINCIDENCE_MARGIN
        ]
        return max(candidates, key=ranks.__getitem__, default=None)

    def _is_trial_due(self, part: PartId, record: PartRecord) -> bool:
        trial_at = self._compute_trial_time(part)
        now = self._clock.monotonic()
        if trial_at is None or now < trial_at:
            return False
        if record.tried_at is not None and now < record.tried_at + _TRIAL_TIMEOUT:
            return False
        slot = (now - trial_at) // _TRIAL_SLOT
        return self._is_chosen(f"{part}/{slot}")

    def _compute_trial_time(self, part: PartId) -> timedelta | None:
        """Return when the next trial of a part is due; None if there is none."""
        crashes = self._causes[part]
        record = self.records.get(part)
        if record is None or len(crashes) >= _MAX_CRASHES:
            return None
        index = max(0, len(crashes) - _get_threshold(record))
        delay = _TRIAL_DELAYS[index]
        if not record.position and not index:
            delay = _FIRST_PART_TRIAL_DELAY
        return crashes[-1].detected_at + delay

    def _refuse(self, part: PartId, record: PartRecord) -> Refusal:
        now = self._clock.monotonic()
        record.asked_at = now
        trial_at = self._compute_trial_time(part)
        # Callers return after the trial, rather than into the same refusal.
        left = _RECORD_TTL if trial_at is None else trial_at + _TRIAL_SLOT - now
        message = f"servers crashed one after the other under part {part} of the prompt"
        return Refusal(
            RefusalReason.CRASHES_SERVERS,
            Verdict.NOT_RUN,
            message,
            max(left, _MIN_RETRY_AFTER),
        )


def _list_sole_suspects(ids_by_suspect: dict[PartId, set[CrashId]]) -> list[PartId]:
    """Return the suspects that share no two crashes with another one."""
    return [
        part
        for part, ids in ids_by_suspect.items()
        if all(
            len(ids & other_ids) < _SOLE_SUSPECT_THRESHOLD
            for other, other_ids in ids_by_suspect.items()
            if other != part
        )
    ]


def _get_threshold(record: PartRecord) -> int:
    """Return the number of crashes from which a part is quarantined."""
    return _QUARANTINE_THRESHOLD if record.position else _FIRST_PART_THRESHOLD


def _format_id(crash: SuspectedCrash) -> str:
    return f"{crash.id:016x}"
