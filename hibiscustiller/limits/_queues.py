"""Queues of one model: by class, and within a class by organisation."""

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
    """A request that waits for its grant.

    :param sequence: number of its arrival.
    :param weight: weight of its organisation.
    :param deadline_at: when its class's deadline ends; None if it is resumed.
    :param outcome: set once, to the grant or the refusal.
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
    """One organisation's waiters, first come first served."""

    organisation: OrganisationId
    weight: float
    waiters: OrderedDict[int, Waiter] = field(default_factory=OrderedDict)
    cost: int = 0
    heap_key: float = 0.0

    @property
    def head(self) -> Waiter:
        """The waiter that is next."""
        return next(iter(self.waiters.values()))


class ClassQueue:
    """The waiters of one class for one model.

    :param config: the class.
    """

    def __init__(self, config: ClassConfig) -> None:
        self.config = config
        self.resumed: OrderedDict[int, Waiter] = OrderedDict()
        self.by_arrival: OrderedDict[int, Waiter] = OrderedDict()
        self.organisations: dict[OrganisationId, OrganisationQueue] = {}
        self.cost = 0
        self.active_weight = 0.0
        # Tokens of service that the class is owed under its floor.
        self.credit = 0.0
        self._heap: list[tuple[float, int, OrganisationQueue]] = []
        self._ties = itertools.count()
        self._generation = -1

    def __len__(self) -> int:
        return len(self.by_arrival) + len(self.resumed)

    def holds(self, waiter: Waiter) -> bool:
        """Tell whether a waiter is queued here."""
        return waiter.sequence in self.by_arrival or waiter.sequence in self.resumed

    def add(self, waiter: Waiter, ledger: UsageLedger) -> None:
        """Queue a waiter behind those of its organisation."""
        self.config = waiter.config
        self.cost += waiter.request.cost
        if waiter.request.is_resumed:
            self.resumed[waiter.sequence] = waiter
            return
        self.by_arrival[waiter.sequence] = waiter
        queue = self._get_organisation(waiter, ledger)
        queue.waiters[waiter.sequence] = waiter
        queue.cost += waiter.request.cost

    def put_back(self, waiter: Waiter, ledger: UsageLedger) -> None:
        """Queue a waiter before all others of its organisation."""
        self.add(waiter, ledger)
        if waiter.request.is_resumed:
            self.resumed.move_to_end(waiter.sequence, last=False)
            return
        queue = self.organisations[waiter.request.organisation]
        queue.waiters.move_to_end(waiter.sequence, last=False)
        # Its arrival is the oldest but for a few others that were set aside.
        self.by_arrival.move_to_end(waiter.sequence, last=False)

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out, wherever it stands."""
        self.cost -= waiter.request.cost
        if waiter.request.is_resumed:
            del self.resumed[waiter.sequence]
        else:
            del self.by_arrival[waiter.sequence]
            self._remove_from_organisation(waiter)
        check_invariant(
            self.cost >= 0, "queued_cost_not_negative", class_name=self.config.name
        )
        if not len(self):
            # What is owed for the past would delay urgent work at the next surge.
            self.credit = 0.0
            self.active_weight = 0.0

    def pick(self, ledger: UsageLedger) -> Waiter:
        """Return the next waiter: one that is resumed, or the least served."""
        if self.resumed:
            return next(iter(self.resumed.values()))
        if self._generation != ledger.generation:
            self._rebuild(ledger)
        while True:
            key, _, queue = self._heap[0]
            if not queue.waiters or queue.heap_key != key:
                heapq.heappop(self._heap)
                continue
            current = self._rank(queue, ledger)
            if current <= key:
                return queue.head
            queue.heap_key = current
            heapq.heapreplace(self._heap, (current, next(self._ties), queue))

    def note_rank_fell(self, organisation: OrganisationId, ledger: UsageLedger) -> None:
        """Move an organisation forward after its usage was corrected downwards."""
        queue = self.organisations.get(organisation)
        if queue is not None:
            self._push(queue, ledger)

    def _get_organisation(
        self, waiter: Waiter, ledger: UsageLedger
    ) -> OrganisationQueue:
        organisation = waiter.request.organisation
        queue = self.organisations.get(organisation)
        if queue is None:
            queue = OrganisationQueue(organisation, waiter.weight)
            self.organisations[organisation] = queue
            self.active_weight += queue.weight
            self._push(queue, ledger)
        return queue

    def _remove_from_organisation(self, waiter: Waiter) -> None:
        queue = self.organisations[waiter.request.organisation]
        del queue.waiters[waiter.sequence]
        queue.cost -= waiter.request.cost
        if not queue.waiters:
            del self.organisations[queue.organisation]
            self.active_weight -= queue.weight

    def _push(self, queue: OrganisationQueue, ledger: UsageLedger) -> None:
        queue.heap_key = self._rank(queue, ledger)
        heapq.heappush(self._heap, (queue.heap_key, next(self._ties), queue))
        if len(self._heap) > 2 * len(self.organisations) + 64:
            self._rebuild(ledger)

    def _rebuild(self, ledger: UsageLedger) -> None:
        for queue in self.organisations.values():
            queue.heap_key = self._rank(queue, ledger)
        self._heap = [
            (queue.heap_key, next(self._ties), queue)
            for queue in self.organisations.values()
        ]
        heapq.heapify(self._heap)
        self._generation = ledger.generation

    def _rank(self, queue: OrganisationQueue, ledger: UsageLedger) -> float:
        attained = ledger.get_rank(queue.organisation, self.config.name)
        return attained / queue.weight


@dataclass(frozen=True)
class Choice:
    """The waiter that is next at a model.

    :param is_floor: whether its class goes first only because of its floor.
    """

    queue: ClassQueue
    waiter: Waiter
    is_floor: bool


class ModelQueues:
    """All waiters of one model."""

    def __init__(self) -> None:
        self.queues_by_class: dict[ClassName, ClassQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues_by_class.values())

    def get_queue(self, config: ClassConfig) -> ClassQueue:
        """Return the queue of a class."""
        queue = self.queues_by_class.get(config.name)
        if queue is None:
            queue = ClassQueue(config)
            self.queues_by_class[config.name] = queue
        return queue

    def iterate_backlogged(self) -> Iterator[ClassQueue]:
        """Yield the queues that hold waiters, most urgent first."""
        queues = [queue for queue in self.queues_by_class.values() if len(queue)]
        yield from sorted(queues, key=lambda queue: queue.config.rank)

    def choose(self, ledger: UsageLedger) -> Choice | None:
        """Choose the next waiter: of a class below its floor, or the most urgent."""
        backlogged = list(self.iterate_backlogged())
        if not backlogged:
            return None
        for queue in backlogged[1:]:
            if queue.credit <= 0:
                continue
            waiter = queue.pick(ledger)
            if queue.credit >= waiter.request.cost:
                return Choice(queue, waiter, True)
        return Choice(backlogged[0], backlogged[0].pick(ledger), False)

    def account_service(self, served: ClassQueue, cost: int) -> None:
        """Credit the floors of all classes with a backlog, and debit the one served.

        Credit counts from when a backlog forms. A class that was idle is owed
        nothing; otherwise its first requests would hold up urgent work.
        """
        for queue in self.queues_by_class.values():
            if len(queue):
                queue.credit += queue.config.floor * cost
        served.credit = max(0.0, served.credit - cost)
