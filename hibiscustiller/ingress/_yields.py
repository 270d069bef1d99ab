"""Whether a running stream may yield its place, which its allocator recalls.

The router that holds the place decides, since only it knows how far the stream is. A
stream that may not yield goes on undisturbed.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from hibiscustiller.ingress._context import RequestContext
from hibiscustiller.ingress._patience import compute_caller_timeout
from hibiscustiller.ingress._pipeline_search import PipelineSearch
from hibiscustiller.ingress._stream_attempts import StreamAttempt, StreamServices
from hibiscustiller.layers import MIN_LEFT_SHARE, MIN_RUN_TIME


async def decide_on_recall(
    services: StreamServices,
    context: RequestContext,
    attempt: StreamAttempt,
    search: PipelineSearch,
    progress: tuple[int, int | None],
    acquire_retry: Callable[[], Awaitable[bool]] | None,
) -> bool:
    """Decide whether an attempt whose place is recalled ends, and log the decision.

    :param progress: number of events that the caller has received, and the id of the
        last one.
    :param acquire_retry: asks the retry budget for the second run; None if another
        attempt of the stream is open.
    """
    attempt.is_recalled = False
    event_count, last_event = progress
    if acquire_retry is None:
        obstacle: str | None = "another attempt is open"
    else:
        obstacle = _find_obstacle(services, context, attempt, search, event_count)
        if obstacle is None and not await acquire_retry():
            obstacle = "the retry budget is exhausted"
    name = "stream_yielded" if obstacle is None else "recall_declined"
    services.metrics.count(
        "streams.yielded" if obstacle is None else "streams.not_yielded"
    )
    context.log(
        name,
        attempt=attempt.number,
        pipeline=",".join(attempt.server_ids),
        events=event_count,
        last_event=last_event,
        expected_tokens=search.demand.answer_tokens,
        reason=obstacle or "its place was recalled",
    )
    return obstacle is None


def _find_obstacle(
    services: StreamServices,
    context: RequestContext,
    attempt: StreamAttempt,
    search: PipelineSearch,
    event_count: int,
) -> str | None:
    """Return why a stream may not yield, the retry budget apart; None if it may."""
    spec, demand = context.service.engine, search.demand
    assert spec is not None
    left_tokens = demand.answer_tokens - event_count * spec.stride
    if not demand.is_resumable:
        return "the stream cannot be resumed or has yielded before"
    if not attempt.event_count or attempt.is_trial:
        return "the answer has not begun or is a trial"
    if context.clock.monotonic() - attempt.started_at < MIN_RUN_TIME:
        return "the stream has just begun"
    if left_tokens < demand.answer_tokens * MIN_LEFT_SHARE:
        return "the stream is about to end"
    if context.time_left < compute_caller_timeout(context.route):
        return "little time is left"
    if context.get_stop_at() is not None or services.health.is_cut_off:
        return "this router stops or reaches no server"
    if not search.may_find_next():
        return "no pipeline may be used next"
    if services.parts.is_quarantined(context.facts.prompt_parts):
        return "a part of the prompt is quarantined"
    if services.crashes.has_crashes(context.fingerprint):
        return "servers have crashed under the request"
    return None
