"""Log lines and metrics of requests that wait for a place or get none."""

from __future__ import annotations

from datetime import timedelta

from hibiscustiller.layers._demand import Demand
from hibiscustiller.utils import Metrics, Refusal, log_event


def report_refusal(
    demand: Demand,
    refusal: Refusal,
    metrics: Metrics,
    *,
    is_room_expected: bool,
    **figures: object,
) -> None:
    """Log and count a refusal by an allocator, with the appointment that it names.

    :param is_room_expected: whether room is expected at the time of the appointment.
    :param figures: what the decision was based on.
    """
    metrics.count(f"places.refused.{demand.priority}")
    if is_room_expected:
        metrics.count("places.appointments")
    if refusal.retry_after is not None:
        metrics.timing("places.retry_after", refusal.retry_after)
    log_event(
        "place_refused",
        reason=refusal.reason.label,
        detail=refusal.message,
        priority=demand.priority,
        organisation=demand.organisation,
        tokens=demand.tokens,
        is_return=demand.is_return,
        retry_after=refusal.retry_after,
        is_room_expected=is_room_expected,
        **figures,
    )


def report_wait(
    demand: Demand, waited: timedelta, metrics: Metrics, **figures: object
) -> None:
    """Log and count a request that got a place after a wait at an allocator.

    :param figures: why it waited, and what was expected.
    """
    metrics.count(f"places.waited.{demand.priority}")
    log_event(
        "place_waited",
        waited=waited,
        priority=demand.priority,
        organisation=demand.organisation,
        tokens=demand.tokens,
        is_return=demand.is_return,
        **figures,
    )
