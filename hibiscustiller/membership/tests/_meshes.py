"""Meshes on loopback for tests."""

import random
import time
from datetime import timedelta

import curio

from hibiscustiller.membership import Member, MeshTimings, PeerMesh
from hibiscustiller.membership._neighbours import choose_neighbours
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock

ANY_PORT = Address("127.0.0.1", 0)
# A tenth of the real periods; a busy machine must not look like a silent peer.
TIMINGS = MeshTimings().scale(0.15)
# Generous, since other work may keep the machine busy.
_DEADLINE_S = 40


class Cuts:
    """Loses the frames between two groups of routers while it is switched on."""

    def __init__(self):
        self.group = frozenset()

    def make_check(self, router):
        return lambda other: (router in self.group) != (other in self.group)


async def start_mesh(
    router, seeds=(), key="secret", cuts=None, address=ANY_PORT, **options
):
    mesh = PeerMesh(
        Member(router, "domain-0", "region-0", address),
        seeds,
        key,
        lambda: 7,
        lambda: timedelta(milliseconds=250),
        SystemClock(),
        random.Random(router),
        timings=options.pop("timings", TIMINGS),
        is_cut=(cuts or Cuts()).make_check(router),
        **options,
    )
    await mesh.start()
    return mesh


async def start_meshes(count, **options):
    first = await start_mesh("r00", **options)
    seeds = [first.self_member.address]
    rest = [await start_mesh(f"r{i:02}", seeds, **options) for i in range(1, count)]
    return [first, *rest]


async def stop_all(meshes):
    for mesh in meshes:
        await mesh.abort()


def list_ids(mesh):
    return [member.router_id for member in mesh.list_members()]


async def wait_until(condition, describe=lambda: ""):
    """Wait for a condition; the deadline only ends a test that hangs."""
    deadline = time.monotonic() + _DEADLINE_S
    while not condition():
        assert time.monotonic() < deadline, f"condition not reached: {describe()}"
        await curio.sleep(0.02)


async def wait_for_agreement(meshes, ids=None):
    expected = ids or [mesh.self_member.router_id for mesh in meshes]
    await wait_until(
        lambda: all(list_ids(mesh) == expected for mesh in meshes),
        lambda: [list_ids(mesh) for mesh in meshes],
    )


async def wait_for_links(meshes):
    """Wait until all know each other and are connected to their neighbours."""
    await wait_for_agreement(meshes)
    ids = [mesh.self_member.router_id for mesh in meshes]

    def is_linked(mesh):
        chosen = choose_neighbours(mesh.self_member.router_id, ids)
        return mesh.neighbours == chosen and chosen <= mesh.connected

    await wait_until(lambda: all(is_linked(mesh) for mesh in meshes))
