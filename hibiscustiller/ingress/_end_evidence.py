"""Whether the end of a stream without framing is the end of the answer.

Such a stream ends with its connection, which closes in the same way if the answer is
whole, if its process ends, and if an engine that runs on breaks it off, as when a later
stage of the pipeline is lost. The load: engines that send all their streams without
framing, so that asking another engine about each end takes more retries than the budget
has, and engines that break off all their streams at once. This module does no I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from hibiscustiller.utils import Clock

# What other engines told of ends counts for this time.
_HISTORY_WINDOW = timedelta(seconds=10)
# Whole streams that others must have confirmed in that time.
_MIN_CONFIRMED_COUNT = 3


class EndEvidence(Enum):
    """What is known of an end.

    EVENT_LIMIT: the request allows no further event. CONFIRMED: another engine has no
    further event either. RUNNING: its process runs, and nothing else can tell. USUAL:
    its process runs, no other engine can be asked now, and those that were asked lately
    about other streams had no further event.
    UNCONFIRMED: its process runs, and another engine can tell whether events follow.
    SILENT: the engine was silent before the end, as one whose pipeline has stalled.
    PROCESS_LOST: its process did not answer afterwards.
    """

    EVENT_LIMIT = "event-limit"
    CONFIRMED = "confirmed"
    RUNNING = "running"
    USUAL = "usual"
    UNCONFIRMED = "unconfirmed"
    SILENT = "silent"
    PROCESS_LOST = "process-lost"

    @property
    def is_end(self) -> bool:
        """Whether the answer counts as whole."""
        return self in (self.EVENT_LIMIT, self.CONFIRMED, self.RUNNING, self.USUAL)


@dataclass(frozen=True)
class UnframedEnd:
    """The end of a stream without framing.

    :param events_left: how many more events the request allows; None if not known.
    :param is_running: whether the same process has answered since.
    :param is_confirmed: whether another engine has ended the stream after the same
        event.
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


class EndHistory:
    """What other engines told of the ends of a service's streams."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_at: deque[timedelta] = deque(maxlen=_MIN_CONFIRMED_COUNT)
        self._refuted_at: timedelta | None = None

    def record(self, *, is_whole: bool) -> None:
        """Record whether another engine had no event after an end."""
        now = self._clock.monotonic()
        if is_whole:
            self._confirmed_at.append(now)
        else:
            self._refuted_at = now

    @property
    def has_early_ends(self) -> bool:
        """Whether an end that was asked about lately was not whole."""
        return self._refuted_at is not None and self._refuted_at >= self._since

    @property
    def are_ends_whole(self) -> bool:
        """Whether all ends that were asked about lately were whole, and some were."""
        if self.has_early_ends or len(self._confirmed_at) < _MIN_CONFIRMED_COUNT:
            return False
        return self._confirmed_at[0] >= self._since

    @property
    def _since(self) -> timedelta:
        return self._clock.monotonic() - _HISTORY_WINDOW
