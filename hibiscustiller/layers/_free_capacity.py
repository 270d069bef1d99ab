"""Free capacity of the pipelines whose first engine is in a domain."""

from __future__ import annotations

import math
from collections.abc import Set

from hibiscustiller.layers._choice import PipelineSelector
from hibiscustiller.utils import DomainId, ServerId


def count_unused_tokens(
    selector: PipelineSelector,
    domain: DomainId | None,
    full: Set[ServerId] = frozenset(),
) -> float:
    """Return the free capacity in tokens; pipelines that are overcommitted have none.

    :param domain: None for all domains.
    :param full: engines without room; they count only if every pipeline has one.
    """
    if selector.spec is None:
        return 0.0
    pipelines = selector.list_pipelines(domain)
    with_room = [p for p in pipelines if full.isdisjoint(p.server_ids)]
    return sum(
        max(0.0, selector.get_free_tokens(pipeline))
        for pipeline in with_room or pipelines
    )


def count_usable_tokens(selector: PipelineSelector, domain: DomainId | None) -> float:
    """Return the free capacity for whole requests of the usual size, in tokens.

    What is left over in each pipeline is too small for another request. In the sum over
    the pipelines it would count as room for some.

    :param domain: None for all domains.
    """
    if selector.spec is None:
        return 0.0
    usual = selector.spec.mean_held_tokens
    count = sum(
        # Floating-point sums of places may leave a little less than a whole request.
        max(0, math.floor(selector.get_free_tokens(pipeline) / usual + 1e-6))
        for pipeline in selector.list_pipelines(domain)
    )
    return count * usual


def has_room(
    selector: PipelineSelector, domain: DomainId | None, tokens: float
) -> bool:
    """Return whether a pipeline has free capacity for a request.

    :param tokens: size of the request; 0 for one of the usual size.
    """
    if selector.spec is None:
        return False
    return any(
        selector.get_free_tokens(pipeline) >= (tokens or selector.spec.mean_held_tokens)
        for pipeline in selector.list_pipelines(domain)
    )
