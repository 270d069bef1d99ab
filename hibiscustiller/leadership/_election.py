"""When a router tries to take the control lease, by its rank among the others.

A lease that is free or may be free is seen by every router at about the same time.
"""

from __future__ import annotations

from datetime import timedelta

# Between the attempts of routers of adjacent ranks. News of a holder takes about as
# long.
_STEP = timedelta(milliseconds=300)
# Routers that start together first need to know of each other.
_FIRST_DELAY = timedelta(milliseconds=400)
# More than are lost at once with a failure domain's hosts in nearly all cases.
_EARLY_CANDIDATES = 9
# The others follow more closely, so that the last of hundreds need not wait a minute.
_LATE_STEP = timedelta(milliseconds=30)


def find_election_delay(rank: int, *, is_store_reachable: bool) -> timedelta | None:
    """Return how long a router waits for a free lease before it tries to take it.

    A call to a store that is away is charged as well, so only a few routers go on
    trying, to find it back early.

    :param rank: 0 for the router that tries first.
    :param is_store_reachable: whether this router's last call to it succeeded.
    :returns: None if the router should not try now.
    """
    if rank >= _EARLY_CANDIDATES and not is_store_reachable:
        return None
    early = min(rank, _EARLY_CANDIDATES)
    return _FIRST_DELAY + _STEP * early + _LATE_STEP * (rank - early)
