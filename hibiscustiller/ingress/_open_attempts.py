"""Which engines are silent, as told by the streams of this router that wait for them.

An engine that is silent for all its streams does not answer a further request either. A
second attempt is sent only to engines that are not silent, so that a silence of a whole
service causes no storm of attempts. This module does no I/O.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from hibiscustiller.layers import Pipeline
from hibiscustiller.utils import Clock, ServerId

# Events come every 250 ms or faster, and first events take up to about half a second.
_SILENCE_TIME = timedelta(milliseconds=650)
# The evidence is gathered at most once in this time.
_REFRESH_PERIOD = timedelta(milliseconds=50)


class WaitingAttempt(Protocol):
    """An attempt as far as the silence of its engines is concerned.

    Attributes: see :class:`~hibiscustiller.ingress._stream_attempts.StreamAttempt`.
    """

    event_count: int
    progress_at: timedelta
    is_second: bool

    @property
    def pipeline(self) -> Pipeline:
        """The engines that run the request."""
        ...


class OpenAttempts:
    """The attempts that wait for engines, by which silent engines are known.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._attempts: set[WaitingAttempt] = set()
        # When engines last sent an event to an attempt that is closed.
        self._answered_at_by_id: dict[ServerId, timedelta] = {}
        self._silent_ids: frozenset[ServerId] = frozenset()
        self._refreshed_at: timedelta | None = None

    def add(self, attempt: WaitingAttempt) -> None:
        """Add an attempt that begins."""
        self._attempts.add(attempt)
        if attempt.is_second:
            self._refreshed_at = None

    def discard(self, attempt: WaitingAttempt) -> None:
        """Remove an attempt that is closed."""
        self._attempts.discard(attempt)
        if attempt.event_count:
            for server_id in attempt.pipeline.server_ids:
                self._record_answer(self._answered_at_by_id, server_id, attempt)

    def list_silent(self) -> frozenset[ServerId]:
        """Return the engines that answer none of the attempts that wait for them.

        Where it is not known whether an engine answers, one second attempt may find
        out; while it waits, the engine counts as silent for all others.
        """
        now = self._clock.monotonic()
        if self._refreshed_at is None or now - self._refreshed_at >= _REFRESH_PERIOD:
            self._silent_ids = self._find_silent(now)
            self._refreshed_at = now
        return self._silent_ids

    def _find_silent(self, now: timedelta) -> frozenset[ServerId]:
        oldest = now - _SILENCE_TIME
        self._answered_at_by_id = {
            server_id: answered_at
            for server_id, answered_at in self._answered_at_by_id.items()
            if answered_at > oldest
        }
        answered_at_by_id = dict(self._answered_at_by_id)
        awaited_ids: set[ServerId] = set()
        for attempt in self._attempts:
            has_waited = attempt.progress_at <= oldest
            is_probe = attempt.is_second and not attempt.event_count
            for server_id in attempt.pipeline.server_ids:
                if has_waited or is_probe:
                    awaited_ids.add(server_id)
                if attempt.event_count and not has_waited:
                    self._record_answer(answered_at_by_id, server_id, attempt)
        return frozenset(awaited_ids - set(answered_at_by_id))

    @staticmethod
    def _record_answer(
        answered_at_by_id: dict[ServerId, timedelta],
        server_id: ServerId,
        attempt: WaitingAttempt,
    ) -> None:
        known = answered_at_by_id.get(server_id, attempt.progress_at)
        answered_at_by_id[server_id] = max(known, attempt.progress_at)
