"""What a stream asks of the engines, from its request and its route."""

from __future__ import annotations

from hibiscustiller.fleet import EngineSpec
from hibiscustiller.ingress._context import RequestContext
from hibiscustiller.ingress._usual_deadlines import UsualDeadlines
from hibiscustiller.layers import Demand
from hibiscustiller.platform import RequestFacts
from hibiscustiller.utils import OrganisationId

# Share of the answer that an engine holds in memory on average while generating it.
_MEAN_HELD_ANSWER_SHARE = 0.5
_NO_ORGANISATION = OrganisationId("")


def make_demand(context: RequestContext, usual_deadlines: UsualDeadlines) -> Demand:
    """Return the resources and response times that a stream needs.

    :param usual_deadlines: deadlines with which callers of the routes begin.
    """
    facts, spec = context.facts, context.service.engine
    assert spec is not None
    answer = float(facts.estimated_answer_tokens or spec.mean_answer_tokens)
    if facts.max_answer_tokens:
        answer = min(answer, facts.max_answer_tokens)
    prompt = facts.prompt_tokens or spec.mean_prompt_tokens
    organisation = context.organisation
    return Demand(
        priority=context.priority,
        organisation=_NO_ORGANISATION if organisation is None else organisation.id,
        tokens=prompt + answer * _MEAN_HELD_ANSWER_SHARE,
        target_latency=context.route.target_latency,
        target_gap=context.route.target_gap,
        remaining_time=context.time_left,
        is_return=usual_deadlines.record(context.route.name, facts.wait_limit),
        is_resumable=context.route.is_resumable,
        answer_tokens=answer,
    )


def count_allowed_events(facts: RequestFacts, spec: EngineSpec) -> int | None:
    """Return the most events that the answer to a request has; None if not known."""
    if not facts.max_answer_tokens:
        return None
    return -(-facts.max_answer_tokens // spec.stride)


def count_expected_events(facts: RequestFacts, spec: EngineSpec) -> float:
    """Return how many more events the answer to a stream's request may have."""
    tokens = facts.max_answer_tokens or spec.mean_answer_tokens
    sent_count = 0 if facts.last_event is None else facts.last_event + 1
    return max(0.0, tokens / spec.stride - sent_count)
