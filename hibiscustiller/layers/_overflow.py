"""Choice of a pipeline for a stream that has begun, when no pipeline has capacity.

The load: an engine is lost, and all its streams look for another pipeline at the same
moment, while the remaining pipelines are full. An engine keeps a share of its memory
free, which these streams may use. Were all sent to the fastest pipeline, its engines
would run out of memory and reject them. This module does no I/O.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from hibiscustiller.layers._pipelines import Pipeline

# Beyond this share of its memory or slots, an engine rejects requests or interrupts
# others. Up to it, answers shorter than expected leave room.
MAX_USED_SHARE = 1.1
# Weight of a pipeline without room, relative to one that is empty, where routers choose
# by old reports.
_MIN_WEIGHT = 0.01


@dataclass(frozen=True)
class OverflowCandidate:
    """A pipeline without capacity that may take a stream nevertheless.

    :param used_share: share of its memory or slots in use with the stream.
    :param is_rejecting: whether one of its engines rejected a request lately.
    :param is_late: whether its events come later than the stream's target gap.
    """

    pipeline: Pipeline
    used_share: float
    is_rejecting: bool = False
    is_late: bool = False


def choose_overflow(
    candidates: Iterable[OverflowCandidate], random_state: random.Random | None = None
) -> Pipeline | None:
    """Return the pipeline with the most free memory relative to its size.

    One beyond its memory is used only if all are; among the others, one that rejects or
    is late is used last.

    :param random_state: chooses in proportion to the free memory, for routers that have
        the same old report; None to choose the pipeline with the most.
    :returns: None if there is no candidate.
    """
    ranked = sorted(candidates, key=_get_rank)
    if not ranked:
        return None
    best = [c for c in ranked if _get_rank(c) == _get_rank(ranked[0])]
    if random_state is None:
        return min(best, key=lambda candidate: candidate.used_share).pipeline
    weights = [max(_MIN_WEIGHT, MAX_USED_SHARE - c.used_share) for c in best]
    return random_state.choices(best, weights)[0].pipeline


def _get_rank(candidate: OverflowCandidate) -> tuple[bool, bool, bool]:
    is_beyond = candidate.used_share > MAX_USED_SHARE
    return is_beyond, candidate.is_rejecting, candidate.is_late
