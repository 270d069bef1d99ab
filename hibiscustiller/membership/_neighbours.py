"""Choice of the neighbours that a router exchanges heartbeats with."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from hibiscustiller.utils import RouterId

MAX_FULL_MESH = 9
# Three rings of differently ranked ids give six neighbours and, as a random regular
# graph, a diameter that grows with the logarithm of the fleet's size. A join or a
# death changes two links of each ring; fixed offsets on one ring would move many.
_RING_COUNT = 3


def choose_neighbours(
    router: RouterId, members: Sequence[RouterId]
) -> frozenset[RouterId]:
    """Choose a router's neighbours. The relation is symmetric for equal members.

    :param router: the router, which must be among the members.
    :param members: all live routers.
    """
    if len(members) <= MAX_FULL_MESH:
        return frozenset(members) - {router}
    neighbours: set[RouterId] = set()
    for ring in range(_RING_COUNT):
        ranked = sorted(members, key=lambda member: _place(ring, member))
        position = ranked.index(router)
        neighbours.add(ranked[position - 1])
        neighbours.add(ranked[(position + 1) % len(ranked)])
    return frozenset(neighbours) - {router}


def _place(ring: int, member: RouterId) -> bytes:
    key = ring.to_bytes(1, "big")
    return hashlib.blake2b(member.encode(), key=key, digest_size=8).digest()
