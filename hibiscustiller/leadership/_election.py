"""Delay before a router tries to acquire the control lease, by its rank.

All routers notice a free lease at about the same time. Delays by rank keep them from
calling the store all at once.
"""

from __future__ import annotations

from datetime import timedelta

# Delay between the attempts of routers of adjacent ranks. It takes about as long until
# the other routers learn of a new holder.
_EARLY_STEP = timedelta(milliseconds=300)
# Routers that start at the same time need to discover each other first.
_FIRST_DELAY = timedelta(milliseconds=400)
# In nearly all cases, the loss of a failure domain takes away fewer routers than this.
_EARLY_CANDIDATE_COUNT = 9
# Shorter step for the other routers, so that the last of hundreds waits for less than a
# minute.
_LATE_STEP = timedelta(milliseconds=30)


def find_election_delay(rank: int, *, is_store_reachable: bool) -> timedelta | None:
    """Return how long a router waits before it tries to acquire a free lease.

    Calls to an unreachable store are charged as well. While the store is unreachable,
    only the first few routers keep trying, in order to notice its recovery early.

    :param rank: position of the router among the candidates, 0 for the first.
    :param is_store_reachable: whether this router's last call to the store succeeded.
    :returns: the delay; None if the router should not try now.
    """
    if rank >= _EARLY_CANDIDATE_COUNT and not is_store_reachable:
        return None
    early_steps = min(rank, _EARLY_CANDIDATE_COUNT)
    return _FIRST_DELAY + _EARLY_STEP * early_steps + _LATE_STEP * (rank - early_steps)
