"""Expected waits of queued requests, and refusals with a retry delay."""

from __future__ import annotations

from datetime import timedelta

from hibiscustiller.limits._queues import ClassQueue, ModelQueues, Waiter
from hibiscustiller.limits._service import ModelService
from hibiscustiller.utils import Refusal, RefusalReason, Verdict

_MIN_RETRY_AFTER = timedelta(seconds=1)
_MAX_RETRY_AFTER = timedelta(minutes=10)
# Used while the service rate is unknown because no stream has ended.
_DEFAULT_RETRY_AFTER = timedelta(seconds=2)


def estimate_wait(
    queues: ModelQueues,
    queue: ClassQueue,
    waiter: Waiter,
    cost_ahead: int,
    service: ModelService,
) -> timedelta | None:
    """Estimate the remaining queueing time of a waiter.

    :param cost_ahead: cost in tokens that the waiter's organisation has queued ahead of
        it.
    :returns: the wait, or None while the service rate is unknown.
    """
    rate = service.service_rate
    if rate is None:
        return None
    # Organisations are served in proportion to their weight. Until the waiter is
    # served, each of the others receives at most about as much per weight as this one.
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
    """Build the refusal of a request that cannot start within its class's deadline.

    :param wait: expected wait from arrival to grant; None while unknown.
    """
    deadline = waiter.config.deadline
    # After this time, the backlog is short enough for a new request to meet its
    # deadline.
    retry_after = _DEFAULT_RETRY_AFTER if wait is None else wait - deadline
    return Refusal(
        RefusalReason.DEADLINE,
        Verdict.NOT_RUN,
        f"no capacity within the deadline of {deadline.total_seconds():g} s"
        f" of class {waiter.config.name}",
        _clip_retry_after(retry_after),
    )


def make_queue_refusal(waiter: Waiter, wait: timedelta | None) -> Refusal:
    """Build the refusal of a request that exceeds a queue limit.

    :param wait: expected wait in the queue; None while unknown.
    """
    # By then, half of the backlog has been served and the queue accepts requests again.
    retry_after = _DEFAULT_RETRY_AFTER if wait is None else wait / 2
    return Refusal(
        RefusalReason.OVERLOADED,
        Verdict.NOT_RUN,
        f"the queue of class {waiter.config.name} is full",
        _clip_retry_after(retry_after),
    )


def _clip_retry_after(retry_after: timedelta) -> timedelta:
    return min(_MAX_RETRY_AFTER, max(_MIN_RETRY_AFTER, retry_after))
