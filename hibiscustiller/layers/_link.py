"""What pipelines across failure domains may use of the link between them.

All of them share one link that carries one transfer after another. A prompt crosses it
with all its activations, so a few requests a second can fill it, long before the
memory of the engines is full. The streams of a full link get no events at all.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import pairwise

from hibiscustiller.fleet import EngineSpec
from hibiscustiller.layers._capacity import estimate_transfer_s
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.utils import check_invariant

# Transfers wait for each other, and the wait grows without bound near full use.
_USABLE_SHARE = 0.7


def count_crossings(pipeline: Pipeline) -> int:
    """Return how often a pipeline goes from one failure domain to another."""
    domains = [server.domain for server in pipeline.servers]
    return sum(one != other for one, other in pairwise(domains))


def share_link(spec: EngineSpec, pipelines: Sequence[Pipeline]) -> list[float]:
    """Divide the link among pipelines, those with the fewest crossings first.

    :returns: for each pipeline, the share of its request memory that may be in use.
    """
    shares = [1.0] * len(pipelines)
    left = _USABLE_SHARE
    crossings = [count_crossings(pipeline) for pipeline in pipelines]
    for number in sorted(range(len(pipelines)), key=lambda n: (crossings[n], n)):
        if not crossings[number]:
            continue
        wanted = _estimate_link_use(spec, pipelines[number], crossings[number])
        used = min(wanted, left)
        shares[number] = used / wanted if wanted > 0 else 1.0
        left -= used
    check_invariant(left > -1e-9, "link_is_shared_once", left=left)
    return shares


def _estimate_link_use(spec: EngineSpec, pipeline: Pipeline, crossings: int) -> float:
    """Return the share of time for which a full pipeline would use the link."""
    tokens = pipeline.count_memory_tokens(spec)
    requests = min(float(spec.slots), tokens / spec.usual_tokens)
    moved = spec.usual_prompt + spec.usual_answer
    transfer_s = crossings * estimate_transfer_s(spec, moved)
    token_time = pipeline.estimate_token_time(spec, 1, spec.usual_tokens)
    life_s = transfer_s + spec.usual_answer * token_time.total_seconds()
    return requests * transfer_s / life_s
