"""The lease by which one router controls the engines."""

from hibiscustiller.leadership._election import find_election_delay
from hibiscustiller.leadership._lease import (
    FLOOR_KEY,
    HOLDER_KEY,
    LEASE_MARGIN,
    LEASE_TTL,
    MAX_FLOOR,
    ControlLease,
    LeaseStore,
    Term,
)

__all__ = [
    "FLOOR_KEY",
    "HOLDER_KEY",
    "LEASE_MARGIN",
    "LEASE_TTL",
    "MAX_FLOOR",
    "ControlLease",
    "LeaseStore",
    "Term",
    "find_election_delay",
]
