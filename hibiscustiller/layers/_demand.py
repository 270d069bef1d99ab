"""What a request asks of a pipeline, and the place that it is granted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.utils import OrganisationId, ServerId


@dataclass(frozen=True)
class Demand:
    """The resources and response times that a request needs.

    :param priority: priority class; 0 is the most urgent.
    :param tokens: average number of tokens held while the request runs.
    :param target_latency: longest time to the first event that earns full value.
    :param target_gap: longest time between events that earns full value; None if there
        is no target.
    :param remaining_time: time until the caller's deadline.
    :param is_return: whether the caller was refused before and comes again.
    :param is_resumable: whether the stream may be ended and resumed in one answer.
    :param answer_tokens: expected tokens of the answer; ``tokens`` counts them in part;
        0 if unknown.
    """

    priority: int
    organisation: OrganisationId
    tokens: float
    target_latency: timedelta
    target_gap: timedelta | None
    remaining_time: timedelta
    is_return: bool = False
    is_resumable: bool = False
    answer_tokens: float = 0.0


@dataclass(frozen=True)
class PlaceOutcome:
    """What became of a request at its place.

    :param answer_tokens: tokens of the complete answer; 0 if it is not complete.
    :param rejected_by: servers that rejected the request for want of room.
    """

    answer_tokens: float = 0.0
    rejected_by: tuple[ServerId, ...] = ()


UNKNOWN_OUTCOME = PlaceOutcome()


class PlaceOwner(Protocol):
    """Tracks the places that it has granted."""

    async def release(
        self, grant: Grant, outcome: PlaceOutcome = UNKNOWN_OUTCOME
    ) -> None:
        """Release a place."""
        ...


@dataclass
class Grant:
    """A place in a pipeline, held until it is released by its admission.

    :param demand: of the request that holds the place; None if unknown.
    :param admission: the admission that granted the place; None if another router did.
    :param place_id: identifier of the place at that other router.
    :param on_recall: called when that other router recalls the place.
    :param granted_at: when a new request got the place, on the monotonic clock; None if
        this is unknown, or if a stream that had begun got it.
    """

    pipeline: Pipeline
    tokens: float
    admission: PlaceOwner | None = None
    place_id: int = 0
    demand: Demand | None = None
    granted_at: timedelta | None = None
    on_recall: Callable[[], None] | None = None
