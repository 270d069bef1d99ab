"""Limits on the use of the link between failure domains.

All pipelines across domains share one link, which carries one transfer at a time. The
activations of a whole prompt have to cross it, so a few requests per second can
saturate it long before the memory of the engines is full. Streams that depend on a
saturated link receive no events at all.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import pairwise

from hibiscustiller.fleet import EngineSpec
from hibiscustiller.layers._capacity import estimate_transfer_s
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.utils import check_invariant

# Transfers queue for the link, and the wait grows without bound near full utilisation.
_MAX_LINK_UTILISATION = 0.7


def count_crossings(pipeline: Pipeline) -> int:
    """Return how many times a pipeline crosses between failure domains."""
    domains = [server.domain for server in pipeline.servers]
    return sum(one != other for one, other in pairwise(domains))


def share_link(spec: EngineSpec, pipelines: Sequence[Pipeline]) -> list[float]:
    """Divide the capacity of the link among pipelines, fewest crossings first.

    :returns: for each pipeline, the share of its request memory that it may use.
    """
    shares = [1.0] * len(pipelines)
    available = _MAX_LINK_UTILISATION
    crossings = [count_crossings(pipeline) for pipeline in pipelines]
    for index in sorted(range(len(pipelines)), key=lambda n: (crossings[n], n)):
        if not crossings[index]:
            continue
        required = _estimate_link_utilisation(spec, pipelines[index], crossings[index])
        allocated = min(required, available)
        shares[index] = allocated / required if required > 0 else 1.0
        available -= allocated
    check_invariant(available > -1e-9, "link_is_shared_once", left=available)
    return shares


def _estimate_link_utilisation(
    spec: EngineSpec, pipeline: Pipeline, crossings: int
) -> float:
    """Return the link utilisation that a full pipeline would cause."""
    tokens = pipeline.count_memory_tokens(spec)
    requests = min(float(spec.slots), tokens / spec.mean_held_tokens)
    transferred_tokens = spec.mean_prompt_tokens + spec.mean_answer_tokens
    transfer_s = crossings * estimate_transfer_s(spec, transferred_tokens)
    token_time = pipeline.estimate_token_time(spec, 1, spec.mean_held_tokens)
    duration_s = transfer_s + spec.mean_answer_tokens * token_time.total_seconds()
    return requests * transfer_s / duration_s
