"""Leader election among the routers that may control the engines."""

from hibiscustiller.leadership._election import find_election_delay
from hibiscustiller.leadership._lease import (
    FENCE_FLOOR_KEY,
    HOLDER_KEY,
    LEASE_MARGIN,
    LEASE_TTL,
    MAX_FENCE_FLOOR,
    ControlLease,
    LeaseStore,
    Term,
)

__all__ = [
    "FENCE_FLOOR_KEY",
    "HOLDER_KEY",
    "LEASE_MARGIN",
    "LEASE_TTL",
    "MAX_FENCE_FLOOR",
    "ControlLease",
    "LeaseStore",
    "Term",
    "find_election_delay",
]
