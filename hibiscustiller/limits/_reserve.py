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
        self._stream_counts: Counter[OrganisationId] = Counter()
        self._weights_by_organisation: dict[OrganisationId, float] = {}
        self._arrival_times: OrderedDict[OrganisationId, timedelta] = OrderedDict()
        self._total_weight = 0.0

    def record_arrival(
        self, organisation: OrganisationId, weight: float, now: timedelta
    ) -> None:
        """Count an organisation as active."""
        self._total_weight += weight - self._weights_by_organisation.get(
            organisation, 0.0
        )
        self._weights_by_organisation[organisation] = weight
        self._arrival_times[organisation] = now
        self._arrival_times.move_to_end(organisation)
        self._remove_inactive(now)

    def record_start(self, organisation: OrganisationId) -> None:
        """Count a stream that is granted."""
        self._stream_counts[organisation] += 1

    def record_end(self, organisation: OrganisationId) -> None:
        """Count a stream that is released."""
        self._stream_counts[organisation] -= 1
        if not self._stream_counts[organisation]:
            del self._stream_counts[organisation]

    def must_wait(
        self,
        organisation: OrganisationId,
        backlogged_count: int,
        running_count: int,
        capacity: int,
        now: timedelta,
    ) -> bool:
        """Tell whether the free streams are kept for other organisations.

        :param backlogged: organisations that have requests queued.
        :param running: streams of the model that run.
        :param capacity: streams of the model that run when none is free.
        """
        reserved_count = int(capacity * _RESERVED_SHARE)
        if not reserved_count or capacity - running_count > reserved_count:
            return False
        self._remove_inactive(now)
        if (
            len(self._arrival_times) <= backlogged_count
            or organisation not in self._weights_by_organisation
        ):
            return False
        share = (
            capacity * self._weights_by_organisation[organisation] / self._total_weight
        )
        return self._stream_counts[organisation] >= share

    def _remove_inactive(self, now: timedelta) -> None:
        while self._arrival_times:
            organisation, arrived_at = next(iter(self._arrival_times.items()))
            if now - arrived_at <= _ACTIVE_PERIOD:
                return
            del self._arrival_times[organisation]
            self._total_weight -= self._weights_by_organisation.pop(organisation)
