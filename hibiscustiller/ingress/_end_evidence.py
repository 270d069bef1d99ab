"""Whether the end of a stream without framing is the end of the answer.

Such a stream ends with its connection, which closes in the same way if the answer is
whole, if its process ends, and if an engine that runs on breaks it off, as when a later
stage of the pipeline is lost. The load: few streams have no framing, and an engine may
break off all its streams at once; asking another engine about an end costs a retry.
This module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class EndEvidence(Enum):
    """What is known of an end.

    EVENT_LIMIT: the request allows no further event. CONFIRMED: other engines have no
    further event either. RUNNING: its process runs, and nothing else can tell.
    UNCONFIRMED: its process runs, and another engine can tell whether events follow.
    SILENT: the engine was silent before the end, as one whose pipeline has stalled.
    PROCESS_LOST: its process did not answer afterwards.
    """

    EVENT_LIMIT = "event-limit"
    CONFIRMED = "confirmed"
    RUNNING = "running"
    UNCONFIRMED = "unconfirmed"
    SILENT = "silent"
    PROCESS_LOST = "process-lost"

    @property
    def is_end(self) -> bool:
        """Whether the answer counts as whole."""
        return self in (self.EVENT_LIMIT, self.CONFIRMED, self.RUNNING)


@dataclass(frozen=True)
class UnframedEnd:
    """The end of a stream without framing.

    :param events_left: how many more events the request allows; None if not known.
    :param is_running: whether the same process has answered since.
    :param is_confirmed: whether enough other engines have ended the stream after the
        same event, see ``StreamEnds.check``.
    :param may_confirm: whether another engine, or the caller by resuming the stream,
        can tell whether events follow.
    :param silent_for: time between the last event and the end.
    :param max_silence: time without an event that is usual in a sound stream.
    """

    events_left: int | None
    is_running: bool
    is_confirmed: bool
    may_confirm: bool
    silent_for: timedelta
    max_silence: timedelta


def judge_unframed_end(end: UnframedEnd) -> EndEvidence:
    """Tell on what evidence a stream has ended, or why it may not have."""
    if end.events_left is not None and end.events_left <= 0:
        return EndEvidence.EVENT_LIMIT
    if not end.is_running:
        return EndEvidence.PROCESS_LOST
    if end.is_confirmed:
        return EndEvidence.CONFIRMED
    if end.may_confirm:
        return EndEvidence.UNCONFIRMED
    if end.silent_for > end.max_silence:
        return EndEvidence.SILENT
    return EndEvidence.RUNNING
