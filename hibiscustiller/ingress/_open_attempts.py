"""Which servers are silent, as told by the attempts of this router that wait for them.

A server that is silent for all requests does not answer a further one either. A second
attempt beside a silent one is sent only to servers that are not silent, so that a
silence of a whole service causes no storm of attempts. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

from hibiscustiller.utils import Clock, ServerId

# The evidence is gathered at most once in this time.
_REFRESH_PERIOD = timedelta(milliseconds=50)


class WaitingAttempt(Protocol):
    """An attempt as far as the silence of its servers is concerned.

    Attributes: ``is_second`` tells whether it was made beside another attempt.
    """

    is_second: bool

    @property
    def server_ids(self) -> tuple[ServerId, ...]:
        """The servers that have to answer."""
        ...

    @property
    def waiting_since(self) -> timedelta:
        """When the attempt began or last got an event."""
        ...

    @property
    def answered_at(self) -> timedelta | None:
        """When the attempt last got an event or its answer; None if it got none."""
        ...


class OpenAttempts:
    """The attempts that wait for servers, by which silent servers are known.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._attempts: set[WaitingAttempt] = set()
        # When servers last answered attempts that are closed.
        self._answered_at_by_id: dict[ServerId, timedelta] = {}
        self._found_answers_by_id: dict[ServerId, timedelta] = {}
        self._answers_found_at = clock.monotonic() - _REFRESH_PERIOD
        # Silent servers by the length of the silence, and when they were found.
        self._longest_silence = timedelta(0)
        self._found_by_silence: dict[timedelta, tuple[timedelta, frozenset]] = {}

    def add(self, attempt: WaitingAttempt) -> None:
        """Add an attempt that begins."""
        self._attempts.add(attempt)
        if attempt.is_second:
            self._found_by_silence.clear()

    def discard(self, attempt: WaitingAttempt) -> None:
        """Remove an attempt that is closed."""
        self._attempts.discard(attempt)
        _record_answer(self._answered_at_by_id, attempt)

    def list_silent(self, silence: timedelta) -> frozenset[ServerId]:
        """Return the servers that answer none of the attempts that wait for them.

        Where it is not known whether a server answers, one second attempt may find out;
        while it waits, the server counts as silent for all others.

        :param silence: time without an answer.
        """
        now = self._clock.monotonic()
        self._longest_silence = max(self._longest_silence, silence)
        found_at, silent_ids = self._found_by_silence.get(silence, (None, frozenset()))
        if found_at is None or now - found_at >= _REFRESH_PERIOD:
            silent_ids = self._find_silent(now, silence)
            self._found_by_silence[silence] = now, silent_ids
        return silent_ids

    def get_answer_times(self) -> Mapping[ServerId, timedelta]:
        """Return when servers last answered any attempt, as known a moment ago."""
        now = self._clock.monotonic()
        if now - self._answers_found_at >= _REFRESH_PERIOD:
            self._answers_found_at = now
            self._found_answers_by_id = self._find_answers()
        return self._found_answers_by_id

    def _find_answers(self) -> dict[ServerId, timedelta]:
        answered_at_by_id = dict(self._answered_at_by_id)
        for attempt in self._attempts:
            _record_answer(answered_at_by_id, attempt)
        return answered_at_by_id

    def _find_silent(self, now: timedelta, silence: timedelta) -> frozenset[ServerId]:
        self._answered_at_by_id = {
            server_id: answered_at
            for server_id, answered_at in self._answered_at_by_id.items()
            if now - answered_at < self._longest_silence
        }
        answered_at_by_id = self._find_answers()
        awaited_ids: set[ServerId] = set()
        for attempt in self._attempts:
            has_waited = now - attempt.waiting_since >= silence
            if has_waited or (attempt.is_second and attempt.answered_at is None):
                awaited_ids.update(attempt.server_ids)
        answering_ids = {
            server_id
            for server_id, answered_at in answered_at_by_id.items()
            if now - answered_at < silence
        }
        return frozenset(awaited_ids - answering_ids)


def _record_answer(
    answered_at_by_id: dict[ServerId, timedelta], attempt: WaitingAttempt
) -> None:
    """Record the latest answer of an attempt's servers, if there is one."""
    if attempt.answered_at is None:
        return
    for server_id in attempt.server_ids:
        known = answered_at_by_id.get(server_id, attempt.answered_at)
        answered_at_by_id[server_id] = max(known, attempt.answered_at)
