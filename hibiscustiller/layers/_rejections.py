"""Backoff of engines that reject requests for lack of room, at a domain's allocator.

The load: after a loss, or while answers are longer than expected, an engine holds more
than its allocator counts, and rejects what it is sent. Each router learns only of its
own attempts, while the allocator sends further requests of all routers there. Routers
report rejections with the release of a place. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.utils import Clock, ServerId, log_event

# A full pipeline ends some ten requests in this time.
_FIRST_EXCLUSION = timedelta(milliseconds=500)
# Callers of streams leave after 2 s or more without an event; an engine that is left
# out for longer than twice that is missed more than it is spared.
_MAX_EXCLUSION = timedelta(seconds=4)


@dataclass
class _Rejection:
    """The latest exclusion of an engine.

    :param length: length of the exclusion.
    :param until: end of the exclusion, on the monotonic clock.
    :param is_full: whether no place was given back since.
    """

    length: timedelta
    until: timedelta
    is_full: bool = True


class RejectionRecord:
    """Engines that rejected requests of any router.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rejections_by_id: dict[ServerId, _Rejection] = {}

    def record_release(
        self, server_ids: Collection[ServerId], rejected_by: Collection[ServerId]
    ) -> None:
        """Record that a request has given its place back.

        :param server_ids: engines of the pipeline.
        :param rejected_by: those that rejected the request.
        """
        if rejected_by:
            for server_id in rejected_by:
                self._record_rejection(server_id)
            return
        for server_id in server_ids:
            rejection = self._rejections_by_id.get(server_id)
            if rejection is not None:
                rejection.is_full = False

    def list_excluded(self) -> set[ServerId]:
        """Return the engines that get no new place now."""
        now = self._clock.monotonic()
        return {key for key, r in self._rejections_by_id.items() if now < r.until}

    def list_full(self) -> set[ServerId]:
        """Return the excluded engines at which no place was given back since."""
        rejections_by_id = self._rejections_by_id
        return {key for key in self.list_excluded() if rejections_by_id[key].is_full}

    def _record_rejection(self, server_id: ServerId) -> None:
        now = self._clock.monotonic()
        # An exclusion counts as the one before for as long as it took.
        self._rejections_by_id = {
            key: rejection
            for key, rejection in self._rejections_by_id.items()
            if now < rejection.until + rejection.length
        }
        before = self._rejections_by_id.get(server_id)
        if before is not None and now < before.until:
            # The request was sent before the engine was excluded.
            before.is_full = True
            return
        length = _FIRST_EXCLUSION
        if before is not None:
            length = min(2 * before.length, _MAX_EXCLUSION)
        self._rejections_by_id[server_id] = _Rejection(length, now + length)
        log_event("engine_backed_off", server=server_id, left_out=length)
