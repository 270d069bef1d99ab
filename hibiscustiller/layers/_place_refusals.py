"""Refusals of requests that get no place: retry delays, log lines and metrics."""

from __future__ import annotations

import random
from datetime import timedelta

from hibiscustiller.layers._appointments import MAX_DELAY_SHARE
from hibiscustiller.layers._demand import Demand
from hibiscustiller.utils import Metrics, Refusal, log_event

# Range of the random retry delay: callers refused together must not retry together.
_MIN_RETRY_DELAY = timedelta(seconds=1.5)
_MAX_RETRY_DELAY = timedelta(seconds=4.5)


def choose_retry_delay(demand: Demand, random_state: random.Random) -> timedelta:
    """Return a random delay that leaves the caller most of its time."""
    spread = (_MAX_RETRY_DELAY - _MIN_RETRY_DELAY) * random_state.random()
    max_delay = max(demand.remaining_time * MAX_DELAY_SHARE, timedelta(0))
    return min(_MIN_RETRY_DELAY + spread, max_delay)


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
