"""Capacity kept for organisations that ask for little.

Without it, a large organisation takes each stream as soon as it is free, and every
request of a small one waits for some other stream to end.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from datetime import timedelta

from hibiscustiller.utils import OrganisationId

# The part of a class's streams that is kept. It costs at most this much throughput,
# less than the 5% by which throughput may fall short of the fleet's bound.
_RESERVED_SHARE = 0.04
# An organisation that sent nothing for this long has nothing kept for it.
_ACTIVE_PERIOD = timedelta(seconds=10)


class ShareReserve:
    """Recently active organisations of one model and class, and their streams."""

    def __init__(self) -> None:
        self._running: Counter[OrganisationId] = Counter()
        self._weights: dict[OrganisationId, float] = {}
        self._active: OrderedDict[OrganisationId, timedelta] = OrderedDict()
        self._total_weight = 0.0

    def note_arrival(
        self, organisation: OrganisationId, weight: float, now: timedelta
    ) -> None:
        """Count an organisation as active."""
        self._total_weight += weight - self._weights.get(organisation, 0.0)
        self._weights[organisation] = weight
        self._active[organisation] = now
        self._active.move_to_end(organisation)
        self._forget_inactive(now)

    def note_started(self, organisation: OrganisationId) -> None:
        """Count a stream that is granted."""
        self._running[organisation] += 1

    def note_ended(self, organisation: OrganisationId) -> None:
        """Count a stream that is released."""
        self._running[organisation] -= 1
        if not self._running[organisation]:
            del self._running[organisation]

    def must_wait(
        self,
        organisation: OrganisationId,
        backlogged: int,
        running: int,
        capacity: int,
        now: timedelta,
    ) -> bool:
        """Tell whether the free streams are kept for other organisations.

        :param backlogged: organisations that have requests queued.
        :param running: streams of the model that run.
        :param capacity: streams of the model that run when none is free.
        """
        kept = int(capacity * _RESERVED_SHARE)
        if not kept or capacity - running > kept:
            return False
        self._forget_inactive(now)
        if len(self._active) <= backlogged or organisation not in self._weights:
            return False
        share = capacity * self._weights[organisation] / self._total_weight
        return self._running[organisation] >= share

    def _forget_inactive(self, now: timedelta) -> None:
        while self._active:
            organisation, active_at = next(iter(self._active.items()))
            if now - active_at <= _ACTIVE_PERIOD:
                return
            del self._active[organisation]
            self._total_weight -= self._weights.pop(organisation)
