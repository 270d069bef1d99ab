"""Weighted fair queue of the requests that wait for a place.

Priority classes share free capacity by weights that decrease steeply with rank, so that
urgent requests go first and no class is starved. Within a class, the organisation that
has received the fewest tokens goes first. The queue performs no I/O.

An allocator's policy refines this order: it excludes classes that may not take a place
now, and puts organisations that hold more than their share behind the others of their
class. Among organisations that are equal in this, returning requests go first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Set
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from hibiscustiller.utils import OrganisationId

Item = TypeVar("Item")
# While both have a backlog, a class gets a quarter of the share of the class above it.
_CLASS_WEIGHT_RATIO = 0.25


@dataclass(frozen=True)
class QueueEntry(Generic[Item]):
    """A request that waits.

    :param is_return: whether its caller was refused before.
    """

    priority: int
    organisation: OrganisationId
    tokens: float
    item: Item
    is_return: bool = False


@dataclass(frozen=True)
class QueueRules:
    """Rules of a policy on the order of the requests that wait.

    :param may_take: returns whether a class may take a place with so many tokens now.
    :param find_over_share: returns those of the waiting organisations of a class that
        hold more than their share.
    :param get_weight: returns the share of a class while several classes wait, by
        whether it is the most urgent of them.
    """

    may_take: Callable[[int, float], bool]
    find_over_share: Callable[[int, Collection[OrganisationId]], Set[OrganisationId]]
    get_weight: Callable[[bool], float]


@dataclass
class _ClassQueue(Generic[Item]):
    virtual_time: float = 0.0
    waiting_by_organisation: dict[OrganisationId, deque[QueueEntry[Item]]] = field(
        default_factory=dict
    )
    granted_tokens_by_organisation: dict[OrganisationId, float] = field(
        default_factory=dict
    )


class FairQueue(Generic[Item]):
    """Waiting requests, ordered by weighted fair queueing.

    :param rules: rules of a policy; None orders by weights alone.
    """

    def __init__(self, rules: QueueRules | None = None) -> None:
        self._rules = rules
        self._by_priority: dict[int, _ClassQueue[Item]] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(
            len(waiting)
            for queue in self._by_priority.values()
            for waiting in queue.waiting_by_organisation.values()
        )

    def find_most_urgent(self) -> int | None:
        """Return the most urgent class that waits; None if the queue is empty."""
        return min(self._list_waiting(), default=None)

    def push(
        self,
        priority: int,
        organisation: OrganisationId,
        tokens: float,
        item: Item,
        *,
        is_return: bool = False,
    ) -> None:
        """Append a request to the queue of its class and organisation.

        :param is_return: whether its caller was refused before.
        """
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
        entry = QueueEntry(priority, organisation, tokens, item, is_return)
        position = len(waiting)
        if is_return:
            position = sum(other.is_return for other in waiting)
        waiting.insert(position, entry)

    def peek(self) -> QueueEntry[Item] | None:
        """Return the next request; None if there is none that may take a place."""
        candidates = []
        for priority in self._list_waiting():
            entry = self._find_head(priority)
            rules = self._rules
            if rules is None or rules.may_take(priority, entry.tokens):
                virtual_time = self._by_priority[priority].virtual_time
                candidates.append((virtual_time, priority, entry))
        return min(candidates, key=lambda key: key[:2])[2] if candidates else None

    def pop(self) -> Item | None:
        """Remove and return the next request; None as for :meth:`peek`."""
        entry = self.peek()
        if entry is None:
            return None
        self.take(entry)
        return entry.item

    def take(self, entry: QueueEntry[Item]) -> None:
        """Remove a request that is granted a place."""
        queue = self._by_priority[entry.priority]
        self._virtual_time = queue.virtual_time
        queue.virtual_time += entry.tokens / self._get_weight(entry.priority)
        queue.granted_tokens_by_organisation[entry.organisation] += entry.tokens
        self.remove(entry.priority, entry.organisation, entry.item)
        for other in self._by_priority.values():
            # A class does not accumulate credit while it may not take a place.
            other.virtual_time = max(other.virtual_time, self._virtual_time)

    def remove(self, priority: int, organisation: OrganisationId, item: Item) -> None:
        """Remove a request that no longer waits, if it is still queued."""
        queue = self._by_priority.get(priority)
        waiting = queue.waiting_by_organisation.get(organisation) if queue else None
        for position, entry in enumerate(waiting or ()):
            if entry.item is item:
                del waiting[position]
                if not waiting:
                    del queue.waiting_by_organisation[organisation]
                return

    def count_tokens(self, priority: int, *, is_return: bool = False) -> float:
        """Return the tokens that wait in a class.

        :param is_return: whether to count the returning requests only.
        """
        queue = self._by_priority.get(priority)
        if queue is None:
            return 0.0
        return sum(
            entry.tokens
            for waiting in queue.waiting_by_organisation.values()
            for entry in waiting
            if entry.is_return or not is_return
        )

    def count_tokens_ahead(self, priority: int) -> float:
        """Return the tokens that wait in more urgent classes."""
        return sum(
            self.count_tokens(other) for other in self._by_priority if other < priority
        )

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
                other: sum(entry.tokens for entry in waiting)
                for other, waiting in queue.waiting_by_organisation.items()
            }
            own_queued = queued_by_organisation.pop(organisation, 0.0)
            tokens_ahead = own_queued + sum(
                min(queued, own_queued + tokens)
                for queued in queued_by_organisation.values()
            )
        return tokens_ahead, self.estimate_class_share(priority)

    def estimate_class_share(self, priority: int) -> float:
        """Return the share of the released capacity that a class receives."""
        weight = self._get_weight(priority)
        other_weights = (
            self._get_weight(other)
            for other in self._list_waiting()
            if other != priority
        )
        return weight / (weight + sum(other_weights))

    def _get_weight(self, priority: int) -> float:
        if self._rules is not None:
            return self._rules.get_weight(
                priority <= min(self._list_waiting(), default=0)
            )
        return _CLASS_WEIGHT_RATIO**priority

    def _list_waiting(self) -> list[int]:
        return [
            priority
            for priority, queue in self._by_priority.items()
            if queue.waiting_by_organisation
        ]

    def _find_head(self, priority: int) -> QueueEntry[Item]:
        """Return the next request of a class that waits."""
        queue = self._by_priority[priority]
        waiting_by_organisation = queue.waiting_by_organisation
        over_share: Set[OrganisationId] = frozenset()
        if self._rules is not None and len(waiting_by_organisation) > 1:
            asking = waiting_by_organisation.keys()
            over_share = self._rules.find_over_share(priority, asking)
        organisation = min(
            waiting_by_organisation,
            key=lambda key: (
                key in over_share,
                not waiting_by_organisation[key][0].is_return,
                queue.granted_tokens_by_organisation[key],
            ),
        )
        return waiting_by_organisation[organisation][0]
