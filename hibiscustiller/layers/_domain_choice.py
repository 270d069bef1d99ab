"""Choice of the domains that a router asks for a place, and in which a request waits.

The load: demand swings out of step between domains, or the fast engines of one domain
are lost, so that requests wait or are refused in one domain while another has room.
Hundreds of routers choose by the same summaries, which are up to a second old or more.
Traffic between domains is charged, so a short wait in the own domain is preferred. This
module does no I/O.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from hibiscustiller.layers._admission import MAX_WAIT_SHARE, Demand
from hibiscustiller.utils import DomainId

# Another domain is asked only if it has free capacity for several such requests: its
# own requests take precedence, and its summary may be a second old.
_MIN_FREE_REQUESTS = 4
# Crossing to another domain counts as a wait of this share of the target latency.
_CROSSING_SHARE = 0.05
# Share of the requests that leave a long queue for an empty one at once. If all left
# until the next summary, the queue would move with them: in a simulation of three
# domains out of step, 6 in 100 requests were then refused, instead of 2.
_MAX_CROSSING_PROBABILITY = 0.3
_MIN_WAIT = timedelta(milliseconds=1)
# Summaries are sent every second. The wait of one that was sent before the latest is
# not used: queues last 0.6 of the target latency at most.
_MAX_WAIT_AGE = timedelta(seconds=1.5)


@dataclass(frozen=True)
class DomainSummary:
    """What the allocator of a domain has announced.

    :param free_tokens: free capacity in tokens; None if unknown.
    :param waits_by_priority: expected wait of a new request, by class; empty if
        unknown.
    :param age: time since the announcement.
    """

    free_tokens: float | None = None
    waits_by_priority: Mapping[int, timedelta] = field(default_factory=dict)
    age: timedelta = timedelta(0)

    def get_wait(self, priority: int) -> timedelta | None:
        """Return the expected wait of a class; None if it is not known.

        A class that is not named waits for as long as the next less urgent one at most,
        or else at least for as long as the next more urgent one.
        """
        waits_by_priority = self.waits_by_priority
        if not waits_by_priority or self.age > _MAX_WAIT_AGE:
            return None
        known = sorted(waits_by_priority)
        nearest = next((p for p in known if p >= priority), known[-1])
        return waits_by_priority[nearest]


def choose_domains(
    own: DomainId,
    summaries_by_domain: Mapping[DomainId, DomainSummary],
    demand: Demand,
    random_state: random.Random,
) -> list[tuple[DomainId, bool]]:
    """Return the domains to ask one after another, each with whether to wait there.

    The own domain is asked first while it has room, then another one with room. A
    request that finds none waits in its own domain or, in proportion to the time that
    it gains, in another one. The next domain is asked if that one refuses it at once:
    its allocator knows more than the summaries do. If the wait is too long in every
    domain, only the own one is left to refuse the request.

    :param own: the router's domain; another one stands in if it has no pipelines.
    :param random_state: chooses among other domains.
    """
    if own not in summaries_by_domain:
        own = max(
            summaries_by_domain,
            key=lambda domain: summaries_by_domain[domain].free_tokens or 0.0,
        )
    own_summary = summaries_by_domain[own]
    own_wait = own_summary.get_wait(demand.priority)
    has_room = own_summary.free_tokens is None or own_summary.free_tokens > 0
    others = {d: s for d, s in summaries_by_domain.items() if d != own}
    attempts = [(own, False)] if has_room else []
    is_wait_short = own_wait is not None and own_wait <= _get_crossing_cost(demand)
    if has_room or not is_wait_short:
        attempts += _choose_room(others, demand, random_state)
    attempts += _choose_waits(own, own_wait, others, demand, random_state)
    # A request that may wait gets a free place, too.
    return [
        attempt
        for attempt, following in zip(attempts, [*attempts[1:], None], strict=True)
        if following is None or following[0] != attempt[0]
    ]


def _get_crossing_cost(demand: Demand) -> timedelta:
    return demand.target_latency * _CROSSING_SHARE


def _choose_room(
    others: Mapping[DomainId, DomainSummary],
    demand: Demand,
    random_state: random.Random,
) -> list[tuple[DomainId, bool]]:
    """Return another domain with room, if there is one."""
    free_tokens_by_domain = {
        domain: summary.free_tokens
        for domain, summary in others.items()
        if summary.free_tokens is not None
        and summary.free_tokens > _MIN_FREE_REQUESTS * demand.tokens
    }
    if not free_tokens_by_domain:
        return []
    # Routers of a full domain do not all send their requests to the same other one.
    return [(_choose(free_tokens_by_domain, random_state), False)]


def _choose_waits(
    own: DomainId,
    own_wait: timedelta | None,
    others: Mapping[DomainId, DomainSummary],
    demand: Demand,
    random_state: random.Random,
) -> list[tuple[DomainId, bool]]:
    """Return the domains in which the request may wait, in order."""
    max_wait = demand.target_latency * MAX_WAIT_SHARE
    if own_wait is None or max_wait <= timedelta(0):
        return [(own, True)]
    waits_by_domain = {
        domain: wait + _get_crossing_cost(demand)
        for domain, summary in others.items()
        if (wait := summary.get_wait(demand.priority)) is not None and wait <= max_wait
    }
    if not waits_by_domain:
        return [(own, True)]
    longest = max_wait + 2 * _get_crossing_cost(demand)
    weights = {d: (longest - wait) / max_wait for d, wait in waits_by_domain.items()}
    other = _choose(weights, random_state)
    gain = 1 - waits_by_domain[other] / max(min(own_wait, max_wait), _MIN_WAIT)
    if random_state.random() < _MAX_CROSSING_PROBABILITY * gain:
        return [(other, True), (own, True)]
    return [(own, True), (other, True)]


def _choose(
    weights_by_domain: Mapping[DomainId, float], random_state: random.Random
) -> DomainId:
    domains = list(weights_by_domain)
    return random_state.choices(domains, list(weights_by_domain.values()))[0]
