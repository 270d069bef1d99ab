"""Conversion between crash records and the messages that carry them.

Times are sent as ages in milliseconds: routers do not share a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from hibiscustiller.ingress._crash_history import (
    CrashRecord,
    ServerAnswer,
    ServerCrash,
)
from hibiscustiller.ingress._part_history import PartRecord, SuspectedCrash
from hibiscustiller.utils import CrashId, Fingerprint, PartId
from hibiscustiller.wire import _messages_generated as messages
from hibiscustiller.wire._messages_generated import (
    CrashedPart,
    CrashedParts,
    CrashedRequest,
    CrashedRequests,
    MetCrash,
)

_MS = timedelta(milliseconds=1)
# A message can hold any 64-bit number; ``timedelta`` cannot represent all of them.
_MAX_AGE_MS = timedelta(days=2) // _MS


@dataclass(frozen=True)
class RecordCodec:
    """Conversion of one kind of records by key.

    :param message_type: type of the messages.
    :param encode: makes a message of records, whether other records are asked for, and
        the current time of the monotonic clock.
    :param decode: returns the records of a message, given the current time.
    """

    message_type: type
    encode: Callable[[Mapping[Any, Any], bool, timedelta], messages.Message]
    decode: Callable[[Any, timedelta], dict[Any, Any]]


def make_crash_message(
    fingerprint: Fingerprint, record: CrashRecord, now: timedelta
) -> CrashedRequest:
    """Make the message that carries a request's record.

    :param now: current time of this router's monotonic clock.
    """
    crashes = tuple(
        MetCrash(
            crash.id,
            _compute_age_ms(crash.started_at, now),
            _compute_age_ms(crash.ended_at, now),
            _compute_age_ms(crash.alive_at, now),
        )
        for crash in record.crashes_by_id.values()
    )
    answer = record.answer
    if answer is None:
        return CrashedRequest(fingerprint, crashes, 0, 0)
    return CrashedRequest(
        fingerprint, crashes, answer.id, _compute_age_ms(answer.answered_at, now)
    )


def read_crash_message(message: CrashedRequest, now: timedelta) -> CrashRecord:
    """Return the record that a message carries.

    Crashes and answers with impossible times are left out.

    :param now: current time of this router's monotonic clock.
    """
    crashes = [
        ServerCrash(
            CrashId(crash.id),
            now - _parse_age(crash.started_ms),
            now - _parse_age(_get_alive_ms(crash)),
            now - _parse_age(crash.ended_ms),
        )
        for crash in message.crashes
        if crash.ended_ms <= crash.started_ms <= _MAX_AGE_MS
    ]
    answer = None
    if message.answer_id and message.answered_ms <= _MAX_AGE_MS:
        answered_at = now - _parse_age(message.answered_ms)
        answer = ServerAnswer(message.answer_id, answered_at)
    return CrashRecord({crash.id: crash for crash in crashes}, answer)


def _get_alive_ms(crash: MetCrash) -> int:
    """Return when the process ran last; routers of an earlier version do not tell."""
    is_told = crash.ended_ms <= crash.alive_ms <= crash.started_ms
    return crash.alive_ms if is_told else crash.started_ms


def _encode_requests(
    records: Mapping[Fingerprint, CrashRecord], is_asking: bool, now: timedelta
) -> CrashedRequests:
    requests = tuple(
        make_crash_message(fingerprint, record, now)
        for fingerprint, record in records.items()
    )
    return CrashedRequests(requests, is_asking)


def _decode_requests(
    message: CrashedRequests, now: timedelta
) -> dict[Fingerprint, CrashRecord]:
    return {
        Fingerprint(request.fingerprint): read_crash_message(request, now)
        for request in message.requests
    }


def _encode_parts(
    records: Mapping[PartId, PartRecord], is_asking: bool, now: timedelta
) -> CrashedParts:
    parts = tuple(
        CrashedPart(
            part,
            record.position,
            tuple(
                messages.SuspectedCrash(
                    crash.id,
                    _compute_age_ms(crash.sent_at, now),
                    _compute_age_ms(crash.detected_at, now),
                    crash.is_cleared,
                    tuple(crash.earlier_ids),
                )
                for crash in record.crashes_by_id.values()
            ),
        )
        for part, record in records.items()
    )
    return CrashedParts(parts, is_asking)


def _decode_parts(message: CrashedParts, now: timedelta) -> dict[PartId, PartRecord]:
    """Return the records; crashes with impossible times are left out."""
    return {
        PartId(part.part_id): PartRecord(
            part.position,
            {
                CrashId(crash.id): SuspectedCrash(
                    CrashId(crash.id),
                    now - _parse_age(crash.sent_ms),
                    now - _parse_age(crash.detected_ms),
                    frozenset(map(CrashId, crash.earlier_ids)),
                    crash.is_cleared,
                    learned_at=now,
                )
                for crash in part.crashes
                # Merged times of a short run may be in the wrong order by a few ms.
                if max(crash.sent_ms, crash.detected_ms) <= _MAX_AGE_MS
            },
        )
        for part in message.parts
    }


def _compute_age_ms(at: timedelta, now: timedelta) -> int:
    return max(0, (now - at) // _MS)


def _parse_age(age_ms: int) -> timedelta:
    return age_ms * _MS


REQUEST_CODEC = RecordCodec(CrashedRequests, _encode_requests, _decode_requests)
PART_CODEC = RecordCodec(CrashedParts, _encode_parts, _decode_parts)
