"""Conversion between crash records and the messages that carry them."""

from __future__ import annotations

from datetime import timedelta

from hibiscustiller.ingress._crash_history import (
    CrashRecord,
    ServerAnswer,
    ServerCrash,
)
from hibiscustiller.utils import Fingerprint
from hibiscustiller.wire._messages_generated import CrashedRequest, MetCrash

_MS = timedelta(milliseconds=1)
# A message can hold any 64-bit number; ``timedelta`` cannot represent all of them.
_MAX_AGE_MS = timedelta(days=2) // _MS


def make_crash_message(
    fingerprint: Fingerprint, record: CrashRecord, now: timedelta
) -> CrashedRequest:
    """Make the message that carries a record.

    Times are sent as ages in milliseconds: routers do not share a monotonic clock.

    :param now: current time of this router's monotonic clock.
    """
    crashes = tuple(
        MetCrash(
            crash.id,
            _compute_age_ms(crash.started_at, now),
            _compute_age_ms(crash.ended_at, now),
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
            crash.id,
            now - _parse_age(crash.started_ms),
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


def _compute_age_ms(at: timedelta, now: timedelta) -> int:
    return max(0, (now - at) // _MS)


def _parse_age(age_ms: int) -> timedelta:
    return age_ms * _MS
