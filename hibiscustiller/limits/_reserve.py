"""Capacity reserved for organisations that use less than their share.

Without the reserve, an organisation with a large backlog occupies each stream as soon
as it is free, and every request of a small organisation waits for a stream to end.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from datetime import timedelta

from hibiscustiller.utils import OrganisationId

# Share of a model's streams that is reserved. It reduces throughput by at most this
# share, which is less than the 5% by which throughput may fall below the bound of the
# fleet.
_RESERVED_SHARE = 0.04
# Time without requests after which no capacity is reserved for an organisation.
_ACTIVE_PERIOD = timedelta(seconds=10)


class ShareReserve:
    """Recently active organisations of one model and class, and their stream counts."""

    def __init__(self) -> None:
        self._stream_counts: Counter[OrganisationId] = Counter()
        self._weights_by_organisation: dict[OrganisationId, float] = {}
        self._arrival_times: OrderedDict[OrganisationId, timedelta] = OrderedDict()
        self._total_weight = 0.0

    def record_arrival(
        self, organisation: OrganisationId, weight: float, now: timedelta
    ) -> None:
        """Record the arrival of a request, which makes its organisation active."""
        self._total_weight += weight - self._weights_by_organisation.get(
            organisation, 0.0
        )
        self._weights_by_organisation[organisation] = weight
        self._arrival_times[organisation] = now
        self._arrival_times.move_to_end(organisation)
        self._remove_inactive(now)

    def record_start(self, organisation: OrganisationId) -> None:
        """Count a stream of an organisation when it is granted."""
        self._stream_counts[organisation] += 1

    def record_end(self, organisation: OrganisationId) -> None:
        """Stop counting a stream of an organisation when it is released."""
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
        """Return whether the free streams are reserved for other organisations.

        :param backlogged_count: number of organisations with queued requests.
        :param running_count: number of running streams of the model.
        :param capacity: number of running streams of the model when none is free.
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
