"""The order in which waiting requests get a place: urgent first, then fair.

Classes share what becomes free by weights that fall steeply with their rank, so that
urgent work goes first and no class stands still. Within a class the organisation that
has been given least goes first. A decision without I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from hibiscustiller.utils import OrganisationId

Item = TypeVar("Item")
# Each rank gets a quarter of the rank above it while both have a backlog.
_RANK_FACTOR = 0.25


@dataclass
class _ClassQueue(Generic[Item]):
    served: float = 0.0
    waiting_by_organisation: dict[OrganisationId, deque[tuple[float, Item]]] = field(
        default_factory=dict
    )
    served_by_organisation: dict[OrganisationId, float] = field(default_factory=dict)


class FairQueue(Generic[Item]):
    """Waiting requests by class and organisation."""

    def __init__(self) -> None:
        self._by_priority: dict[int, _ClassQueue[Item]] = {}
        self._served = 0.0

    def __len__(self) -> int:
        return sum(
            len(waiting)
            for queue in self._by_priority.values()
            for waiting in queue.waiting_by_organisation.values()
        )

    def push(
        self, priority: int, organisation: OrganisationId, tokens: float, item: Item
    ) -> None:
        """Add a request behind those of its class and organisation."""
        queue = self._by_priority.setdefault(priority, _ClassQueue())
        if not queue.waiting_by_organisation:
            # A class that had nothing to wait for does not save up its share.
            queue.served = max(queue.served, self._served)
        waiting = queue.waiting_by_organisation.setdefault(organisation, deque())
        if not waiting:
            least = min(queue.served_by_organisation.values(), default=0.0)
            served = queue.served_by_organisation.get(organisation, least)
            queue.served_by_organisation[organisation] = max(served, least)
        waiting.append((tokens, item))

    def peek(self) -> tuple[float, Item] | None:
        """Return the tokens and the item of the request that is next."""
        place = self._find_next()
        if place is None:
            return None
        priority, organisation = place
        return self._by_priority[priority].waiting_by_organisation[organisation][0]

    def pop(self) -> Item | None:
        """Take the request that is next."""
        place = self._find_next()
        if place is None:
            return None
        priority, organisation = place
        queue = self._by_priority[priority]
        tokens, item = queue.waiting_by_organisation[organisation][0]
        self._served = queue.served
        queue.served += tokens / self._get_weight(priority)
        queue.served_by_organisation[organisation] += tokens
        self._take(queue, organisation, 0)
        return item

    def remove(self, priority: int, organisation: OrganisationId, item: Item) -> None:
        """Take out a request that no longer waits."""
        queue = self._by_priority.get(priority)
        waiting = queue.waiting_by_organisation.get(organisation) if queue else None
        for position, (_, candidate) in enumerate(waiting or ()):
            if candidate is item:
                self._take(queue, organisation, position)
                return

    def estimate_share(
        self, priority: int, organisation: OrganisationId, tokens: float
    ) -> tuple[float, float]:
        """Return what a new request would wait for.

        Organisations get places in turn, so that a long queue of one of them is not
        ahead of another's first request.

        :returns: tokens that get places before it, and its class's share of what gets
            free.
        """
        queue = self._by_priority.get(priority)
        ahead = 0.0
        if queue is not None:
            queued_by_organisation = {
                other: sum(size for size, _ in waiting)
                for other, waiting in queue.waiting_by_organisation.items()
            }
            own = queued_by_organisation.pop(organisation, 0.0)
            ahead = own + sum(
                min(queued, own + tokens) for queued in queued_by_organisation.values()
            )
        weights = [
            self._get_weight(other)
            for other, candidate in self._by_priority.items()
            if candidate.waiting_by_organisation and other != priority
        ]
        weight = self._get_weight(priority)
        return ahead, weight / (weight + sum(weights))

    def _get_weight(self, priority: int) -> float:
        return _RANK_FACTOR**priority

    def _find_next(self) -> tuple[int, OrganisationId] | None:
        waiting = [
            (queue.served, priority)
            for priority, queue in self._by_priority.items()
            if queue.waiting_by_organisation
        ]
        if not waiting:
            return None
        priority = min(waiting)[1]
        queue = self._by_priority[priority]
        organisation = min(
            queue.waiting_by_organisation,
            key=lambda key: queue.served_by_organisation[key],
        )
        return priority, organisation

    def _take(
        self, queue: _ClassQueue[Item], organisation: OrganisationId, position: int
    ) -> None:
        waiting = queue.waiting_by_organisation[organisation]
        del waiting[position]
        if not waiting:
            del queue.waiting_by_organisation[organisation]
