"""Weighted fair queue of the requests that wait for a place.

Priority classes share free capacity by weights that decrease steeply with rank, so that
urgent requests go first and no class is starved. Within a class, the organisation that
has received the fewest tokens goes first. The queue performs no I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from hibiscustiller.utils import OrganisationId

Item = TypeVar("Item")
# While both have a backlog, a class gets a quarter of the share of the class above it.
_CLASS_WEIGHT_RATIO = 0.25


@dataclass
class _ClassQueue(Generic[Item]):
    virtual_time: float = 0.0
    waiting_by_organisation: dict[OrganisationId, deque[tuple[float, Item]]] = field(
        default_factory=dict
    )
    granted_tokens_by_organisation: dict[OrganisationId, float] = field(
        default_factory=dict
    )


class FairQueue(Generic[Item]):
    """Waiting requests, ordered by weighted fair queueing."""

    def __init__(self) -> None:
        self._by_priority: dict[int, _ClassQueue[Item]] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(
            len(waiting)
            for queue in self._by_priority.values()
            for waiting in queue.waiting_by_organisation.values()
        )

    def push(
        self, priority: int, organisation: OrganisationId, tokens: float, item: Item
    ) -> None:
        """Append a request to the queue of its class and organisation."""
        queue = self._by_priority.setdefault(priority, _ClassQueue())
        if not queue.waiting_by_organisation:
            # A class does not accumulate credit while it has no waiting requests.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        waiting = queue.waiting_by_organisation.setdefault(organisation, deque())
        if not waiting:
            least_granted = min(
                queue.granted_tokens_by_organisation.values(), default=0.0
            )
            granted = queue.granted_tokens_by_organisation.get(
                organisation, least_granted
            )
            queue.granted_tokens_by_organisation[organisation] = max(
                granted, least_granted
            )
        waiting.append((tokens, item))

    def peek(self) -> tuple[float, Item] | None:
        """Return the tokens and the item of the next request; None if empty."""
        next_key = self._find_next()
        if next_key is None:
            return None
        priority, organisation = next_key
        return self._by_priority[priority].waiting_by_organisation[organisation][0]

    def pop(self) -> Item | None:
        """Remove and return the next request; None if empty."""
        next_key = self._find_next()
        if next_key is None:
            return None
        priority, organisation = next_key
        queue = self._by_priority[priority]
        tokens, item = queue.waiting_by_organisation[organisation][0]
        self._virtual_time = queue.virtual_time
        queue.virtual_time += tokens / self._get_weight(priority)
        queue.granted_tokens_by_organisation[organisation] += tokens
        self._remove_at(queue, organisation, 0)
        return item

    def remove(self, priority: int, organisation: OrganisationId, item: Item) -> None:
        """Remove a request that no longer waits, if it is still queued."""
        queue = self._by_priority.get(priority)
        waiting = queue.waiting_by_organisation.get(organisation) if queue else None
        for position, (_, candidate) in enumerate(waiting or ()):
            if candidate is item:
                self._remove_at(queue, organisation, position)
                return

    def estimate_share(
        self, priority: int, organisation: OrganisationId, tokens: float
    ) -> tuple[float, float]:
        """Estimate the backlog ahead of a new request.

        Organisations take turns, so the long queue of one organisation does not delay
        the first request of another.

        :returns: tokens of its class that are served before it, and the share of the
            released capacity that its class receives.
        """
        queue = self._by_priority.get(priority)
        tokens_ahead = 0.0
        if queue is not None:
            queued_by_organisation = {
                other: sum(size for size, _ in waiting)
                for other, waiting in queue.waiting_by_organisation.items()
            }
            own_queued = queued_by_organisation.pop(organisation, 0.0)
            tokens_ahead = own_queued + sum(
                min(queued, own_queued + tokens)
                for queued in queued_by_organisation.values()
            )
        weights = [
            self._get_weight(other)
            for other, candidate in self._by_priority.items()
            if candidate.waiting_by_organisation and other != priority
        ]
        weight = self._get_weight(priority)
        return tokens_ahead, weight / (weight + sum(weights))

    def _get_weight(self, priority: int) -> float:
        return _CLASS_WEIGHT_RATIO**priority

    def _find_next(self) -> tuple[int, OrganisationId] | None:
        waiting = [
            (queue.virtual_time, priority)
            for priority, queue in self._by_priority.items()
            if queue.waiting_by_organisation
        ]
        if not waiting:
            return None
        priority = min(waiting)[1]
        queue = self._by_priority[priority]
        organisation = min(
            queue.waiting_by_organisation,
            key=lambda key: queue.granted_tokens_by_organisation[key],
        )
        return priority, organisation

    def _remove_at(
        self, queue: _ClassQueue[Item], organisation: OrganisationId, position: int
    ) -> None:
        waiting = queue.waiting_by_organisation[organisation]
        del waiting[position]
        if not waiting:
            del queue.waiting_by_organisation[organisation]
