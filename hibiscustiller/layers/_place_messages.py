"""Conversion of demands and pipelines to and from messages between routers."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

from hibiscustiller.fleet import BackendServer, LayerRange
from hibiscustiller.layers._admission import Demand, PlaceOutcome
from hibiscustiller.layers._pipelines import Pipeline, Stage
from hibiscustiller.utils import (
    DomainId,
    OrganisationId,
    ServerId,
    ServiceName,
)
from hibiscustiller.wire._messages_generated import (
    ClassWait,
    HeldPlace,
    PlaceRelease,
    PlaceRequest,
    PlaceStage,
)

_MS = timedelta(milliseconds=1)
# Longer expected waits are sent as this one; a request waits for less than a second.
_MAX_SENT_WAIT = timedelta(minutes=1)


class PlaceStatus(IntEnum):
    """Status of an allocator's answer to a request for a place."""

    PLACED = 0
    WAITING = 1
    REFUSED = 2
    NO_ROOM = 3
    ASK_ANOTHER = 4


@dataclass(frozen=True)
class PlaceQuery:
    """A request for a place in the pipelines of one domain.

    :param domain: the domain of the pipeline's first engine.
    :param may_wait: whether the request may wait for a place.
    :param excluded: servers that a stream which has already begun must not use; None
        for a new request.
    :param max_wait: longest wait of a stream that has already begun and may wait. The
        wait of a new request follows from its target latency.
    """

    demand: Demand
    service: ServiceName
    domain: DomainId
    may_wait: bool
    excluded: tuple[ServerId, ...] | None = None
    max_wait: timedelta = timedelta(0)


def pack_query(query: PlaceQuery, place_id: int) -> PlaceRequest:
    """Build the message that requests a place."""
    demand, excluded = query.demand, query.excluded
    gap = demand.target_gap
    # A begun stream is not refused for its deadline, so that the field for the time
    # left carries how long it may wait. Older allocators do not read it then.
    has_max_wait = excluded is not None and query.may_wait
    time_left = query.max_wait if has_max_wait else demand.remaining_time
    return PlaceRequest(
        place_id=place_id,
        service=query.service,
        domain=query.domain,
        priority=demand.priority,
        organisation=demand.organisation,
        tokens=demand.tokens,
        target_latency_ms=demand.target_latency // _MS,
        longest_gap_ms=0 if gap is None else max(1, gap // _MS),
        time_left_ms=max(0, time_left // _MS),
        may_wait=query.may_wait,
        is_begun=excluded is not None,
        excluded=excluded or (),
        is_return=demand.is_return,
        is_resumable=demand.is_resumable,
        answer_tokens=demand.answer_tokens,
    )


def unpack_demand(request: PlaceRequest) -> Demand:
    """Return the demand contained in a request for a place."""
    gap = request.longest_gap_ms
    return Demand(
        priority=request.priority,
        organisation=OrganisationId(request.organisation),
        tokens=request.tokens,
        target_latency=request.target_latency_ms * _MS,
        target_gap=gap * _MS if gap else None,
        remaining_time=request.time_left_ms * _MS,
        is_return=request.is_return,
        is_resumable=request.is_resumable,
        answer_tokens=request.answer_tokens,
    )


def pack_release(place_id: int, outcome: PlaceOutcome) -> PlaceRelease:
    """Build the message that gives a place back."""
    return PlaceRelease(place_id, outcome.answer_tokens, outcome.rejected_by)


def unpack_outcome(release: PlaceRelease) -> PlaceOutcome:
    """Return what became of the request whose place is given back."""
    return PlaceOutcome(
        release.answer_tokens, tuple(map(ServerId, release.rejected_by))
    )


def unpack_held_demand(held: HeldPlace) -> Demand:
    """Return what is known of the demand of a request that holds a place."""
    return Demand(
        priority=held.priority,
        organisation=OrganisationId(held.organisation),
        tokens=held.tokens,
        target_latency=timedelta(0),
        target_gap=None,
        remaining_time=timedelta(0),
        is_resumable=held.is_resumable,
    )


def pack_waits(waits_by_priority: Mapping[int, timedelta]) -> tuple[ClassWait, ...]:
    """Return the expected waits of each class as message fields."""
    return tuple(
        ClassWait(priority, min(wait, _MAX_SENT_WAIT) // _MS)
        for priority, wait in waits_by_priority.items()
    )


def pack_stages(pipeline: Pipeline) -> tuple[PlaceStage, ...]:
    """Return the stages of a pipeline as message fields."""
    return tuple(
        PlaceStage(stage.server.id, stage.layers.first, stage.layers.end)
        for stage in pipeline.stages
    )


def unpack_stages(
    stages: Sequence[PlaceStage],
    get_server: Callable[[ServerId], BackendServer | None],
) -> Pipeline | None:
    """Rebuild a pipeline; None if it has no stages or a server is unknown."""
    found = []
    for stage in stages:
        server = get_server(ServerId(stage.server_id))
        if server is None:
            return None
        found.append(Stage(server, LayerRange(stage.first, stage.end)))
    return Pipeline(tuple(found)) if found else None
