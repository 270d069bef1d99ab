"""Expected waits of queued requests and the refusals that follow from them."""

from __future__ import annotations

from datetime import timedelta

from hibiscustiller.limits._queues import ClassQueue, ModelQueues, Waiter
from hibiscustiller.limits._service import ModelService
from hibiscustiller.utils import Refusal, RefusalReason, Verdict

_MIN_RETRY_AFTER = timedelta(seconds=1)
_MAX_RETRY_AFTER = timedelta(minutes=10)
# Used before any stream has ended, when there is no measured rate.
_DEFAULT_RETRY_AFTER = timedelta(seconds=2)


def estimate_wait(
    queues: ModelQueues,
    queue: ClassQueue,
    waiter: Waiter,
    cost_ahead: int,
    service: ModelService,
) -> timedelta | None:
    """Estimate how long a waiter stays queued.

    :param ahead: queued cost of the waiter's organisation before it.
    :returns: the wait, or None while the service rate is not known.
    """
    rate = service.service_rate
    if rate is None:
        return None
    # Organisations of equal weight are served in turn, so that each of the others
    # receives at most about what this one has received when the waiter's turn comes.
    weight_ratio = queue.total_weight / waiter.weight
    fair_cost = (cost_ahead + waiter.request.cost) * weight_ratio - waiter.request.cost
    cost_in_class = min(
        queue.queued_cost - waiter.request.cost, max(cost_ahead, fair_cost)
    )
    more_urgent_cost = sum(
        other.queued_cost
        for other in queues.queues_by_class.values()
        if other.config.rank < queue.config.rank
    )
    seconds = (more_urgent_cost + cost_in_class) / rate
    if queue.config.floor > 0:
        seconds = min(seconds, cost_in_class / (queue.config.floor * rate))
    return timedelta(seconds=min(seconds, _MAX_RETRY_AFTER.total_seconds()))


def make_deadline_refusal(waiter: Waiter, wait: timedelta | None) -> Refusal:
    """Refuse a request that cannot start within its class's deadline.

    :param wait: expected wait in the queue.
    """
    deadline = waiter.config.deadline
    # After this time the backlog is short enough for a new request to be in time.
    retry_after = _DEFAULT_RETRY_AFTER if wait is None else wait - deadline
    return Refusal(
        RefusalReason.DEADLINE,
        Verdict.NOT_RUN,
        f"no capacity within the deadline of {deadline.total_seconds():g} s"
        f" of class {waiter.config.name}",
        _clip_retry_after(retry_after),
    )


def make_queue_refusal(waiter: Waiter, wait: timedelta | None) -> Refusal:
    """Refuse a request for which there is no room in the queues.

    :param wait: expected wait in the queue.
    """
    # Half the backlog is served by then, so that there is room again.
    retry_after = _DEFAULT_RETRY_AFTER if wait is None else wait / 2
    return Refusal(
        RefusalReason.OVERLOADED,
        Verdict.NOT_RUN,
        f"the queue of class {waiter.config.name} is full",
        _clip_retry_after(retry_after),
    )


def _clip_retry_after(retry_after: timedelta) -> timedelta:
    return min(_MAX_RETRY_AFTER, max(_MIN_RETRY_AFTER, retry_after))
