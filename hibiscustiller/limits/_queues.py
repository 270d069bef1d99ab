"""Request queues of one model, by class and by organisation within a class."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

import curio
from result import Result

from hibiscustiller.configuration import ClassConfig
from hibiscustiller.limits._usage import UsageLedger
from hibiscustiller.utils import ClassName, OrganisationId, Refusal, check_invariant

if TYPE_CHECKING:
    from hibiscustiller.limits._admission import AdmissionRequest, Grant


@dataclass(eq=False)
class Waiter:
    """A queued request.

    :param sequence: arrival number, unique within the controller.
    :param config: configuration of the request's class.
    :param weight: weight of the request's organisation.
    :param arrived_at: monotonic time of arrival.
    :param deadline_at: monotonic time at which the request is refused if it is still
        queued; None for a resumed request without a deadline.
    :param event: set after the outcome.
    :param outcome: the grant or the refusal, assigned once.
    """

    request: AdmissionRequest
    sequence: int
    config: ClassConfig
    weight: float
    arrived_at: timedelta
    deadline_at: timedelta | None
    event: curio.Event = field(default_factory=curio.Event)
    outcome: Result[Grant, Refusal] | None = None


@dataclass(eq=False)
class OrganisationQueue:
    """The new waiters of one organisation, in first-in, first-out order.

    :param queued_cost: cost of the waiters, in tokens.
    :param heap_key: key of the valid entry in the heap of the class queue.
    """

    organisation: OrganisationId
    weight: float
    waiters_by_sequence: OrderedDict[int, Waiter] = field(default_factory=OrderedDict)
    queued_cost: int = 0
    heap_key: float = 0.0

    @property
    def head(self) -> Waiter:
        """The first waiter in the queue."""
        return next(iter(self.waiters_by_sequence.values()))


class ClassQueue:
    """The waiters of one class for one model.

    :param config: configuration of the class.
    """

    def __init__(self, config: ClassConfig) -> None:
        self.config = config
        self.resumed_by_sequence: OrderedDict[int, Waiter] = OrderedDict()
        self.new_by_sequence: OrderedDict[int, Waiter] = OrderedDict()
        self.queues_by_organisation: dict[OrganisationId, OrganisationQueue] = {}
        self.queued_cost = 0
        self.total_weight = 0.0
        # Service that the class has not yet received under its floor, in tokens.
        self.floor_credit = 0.0
        self._heap: list[tuple[float, int, OrganisationQueue]] = []
        self._tie_breakers = itertools.count()
        self._ledger_generation = -1

    def __len__(self) -> int:
        return len(self.new_by_sequence) + len(self.resumed_by_sequence)

    def holds(self, waiter: Waiter) -> bool:
        """Return whether a waiter is in this queue."""
        return (
            waiter.sequence in self.new_by_sequence
            or waiter.sequence in self.resumed_by_sequence
        )

    def add(self, waiter: Waiter, ledger: UsageLedger) -> None:
        """Append a waiter to the queue of its organisation, or to the resumed ones."""
        self.config = waiter.config
        self.queued_cost += waiter.request.cost
        if waiter.request.is_resumed:
            self.resumed_by_sequence[waiter.sequence] = waiter
            return
        self.new_by_sequence[waiter.sequence] = waiter
        queue = self._get_organisation(waiter, ledger)
        queue.waiters_by_sequence[waiter.sequence] = waiter
        queue.queued_cost += waiter.request.cost

    def requeue_first(self, waiter: Waiter, ledger: UsageLedger) -> None:
        """Return a waiter to the front of the queue it was removed from."""
        self.add(waiter, ledger)
        if waiter.request.is_resumed:
            self.resumed_by_sequence.move_to_end(waiter.sequence, last=False)
            return
        queue = self.queues_by_organisation[waiter.request.organisation]
        queue.waiters_by_sequence.move_to_end(waiter.sequence, last=False)
        # Its arrival is the oldest, except for other skipped waiters. Those are put
        # back in reverse order.
        self.new_by_sequence.move_to_end(waiter.sequence, last=False)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter from any position."""
        self.queued_cost -= waiter.request.cost
        if waiter.request.is_resumed:
            del self.resumed_by_sequence[waiter.sequence]
        else:
            del self.new_by_sequence[waiter.sequence]
            self._remove_from_organisation(waiter)
        check_invariant(
            self.queued_cost >= 0,
            "queued_cost_not_negative",
            class_name=self.config.name,
        )
        if not len(self):
            # Credit carried over from the past would delay urgent requests at the next
            # surge.
            self.floor_credit = 0.0
            self.total_weight = 0.0

    def select_next(self, ledger: UsageLedger) -> Waiter:
        """Return the first resumed waiter, or one of the least served organisation.

        Keys in the heap are updated lazily: they may be too low after a charge, and are
        recomputed when their entry reaches the top.
        """
        if self.resumed_by_sequence:
            return next(iter(self.resumed_by_sequence.values()))
        if self._ledger_generation != ledger.generation:
            self._rebuild(ledger)
        while True:
            key, _, queue = self._heap[0]
            if not queue.waiters_by_sequence or queue.heap_key != key:
                heapq.heappop(self._heap)
                continue
            current = self._compute_key(queue, ledger)
            if current <= key:
                return queue.head
            queue.heap_key = current
            heapq.heapreplace(self._heap, (current, next(self._tie_breakers), queue))

    def move_forward(self, organisation: OrganisationId, ledger: UsageLedger) -> None:
        """Add a heap entry for an organisation whose usage was corrected downwards."""
        queue = self.queues_by_organisation.get(organisation)
        if queue is not None:
            self._push(queue, ledger)

    def _get_organisation(
        self, waiter: Waiter, ledger: UsageLedger
    ) -> OrganisationQueue:
        organisation = waiter.request.organisation
        queue = self.queues_by_organisation.get(organisation)
        if queue is None:
            queue = OrganisationQueue(organisation, waiter.weight)
            self.queues_by_organisation[organisation] = queue
            self.total_weight += queue.weight
            self._push(queue, ledger)
        return queue

    def _remove_from_organisation(self, waiter: Waiter) -> None:
        queue = self.queues_by_organisation[waiter.request.organisation]
        del queue.waiters_by_sequence[waiter.sequence]
        queue.queued_cost -= waiter.request.cost
        if not queue.waiters_by_sequence:
            del self.queues_by_organisation[queue.organisation]
            self.total_weight -= queue.weight

    def _push(self, queue: OrganisationQueue, ledger: UsageLedger) -> None:
        queue.heap_key = self._compute_key(queue, ledger)
        heapq.heappush(self._heap, (queue.heap_key, next(self._tie_breakers), queue))
        if len(self._heap) > 2 * len(self.queues_by_organisation) + 64:
            self._rebuild(ledger)

    def _rebuild(self, ledger: UsageLedger) -> None:
        for queue in self.queues_by_organisation.values():
            queue.heap_key = self._compute_key(queue, ledger)
        self._heap = [
            (queue.heap_key, next(self._tie_breakers), queue)
            for queue in self.queues_by_organisation.values()
        ]
        heapq.heapify(self._heap)
        self._ledger_generation = ledger.generation

    def _compute_key(self, queue: OrganisationQueue, ledger: UsageLedger) -> float:
        usage = ledger.get_scaled_usage(queue.organisation, self.config.name)
        return usage / queue.weight


@dataclass(frozen=True)
class Selection:
    """The next waiter of a model.

    :param uses_floor: whether the waiter precedes more urgent classes because its class
        is below its floor.
    """

    queue: ClassQueue
    waiter: Waiter
    uses_floor: bool


class ModelQueues:
    """All waiters of one model."""

    def __init__(self) -> None:
        self.queues_by_class: dict[ClassName, ClassQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues_by_class.values())

    def get_queue(self, config: ClassConfig) -> ClassQueue:
        """Return the queue of a class, creating it if necessary."""
        queue = self.queues_by_class.get(config.name)
        if queue is None:
            queue = ClassQueue(config)
            self.queues_by_class[config.name] = queue
        return queue

    def iterate_backlogged(self) -> Iterator[ClassQueue]:
        """Yield the queues that are not empty, most urgent class first."""
        queues = [queue for queue in self.queues_by_class.values() if len(queue)]
        yield from sorted(queues, key=lambda queue: queue.config.rank)

    def select_waiter(self, ledger: UsageLedger) -> Selection | None:
        """Select a waiter of a class below its floor, or of the most urgent class."""
        backlogged_queues = list(self.iterate_backlogged())
        if not backlogged_queues:
            return None
        for queue in backlogged_queues[1:]:
            if queue.floor_credit <= 0:
                continue
            waiter = queue.select_next(ledger)
            if queue.floor_credit >= waiter.request.cost:
                return Selection(queue, waiter, True)
        return Selection(
            backlogged_queues[0], backlogged_queues[0].select_next(ledger), False
        )

    def update_floor_credits(self, served: ClassQueue, cost: int) -> None:
        """Credit all backlogged classes with their floor, and debit the served class.

        Credit accrues only while a class has a backlog. If an idle class accrued
        credit, its first requests would delay urgent ones.

        :param cost: cost of the granted request, in tokens.
        """
        for queue in self.queues_by_class.values():
            if len(queue):
                queue.floor_credit += queue.config.floor * cost
        served.floor_credit = max(0.0, served.floor_credit - cost)
