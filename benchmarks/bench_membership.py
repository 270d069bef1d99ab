"""Cost of membership for each router, by fleet size, against a full mesh.

All meshes run in one process over loopback, at their real periods. The baseline is
the same code with every other router as a neighbour.
"""

import json
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import click
import curio

from hibiscustiller.membership import Member, PeerMesh
from hibiscustiller.membership._neighbours import choose_neighbours
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock, configure_logging

SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 3.0
# A time that is not reached is reported as null.
LONGEST_WAIT_SECONDS = 20.0
CONNECT_SECONDS = 12.0


@dataclass(frozen=True)
class Cost:
    """What one router spends, on average.

    :param sent_bytes: a second.
    :param sent_messages: a second.
    :param cpu: seconds of CPU time a second.
    """

    sent_bytes: float
    sent_messages: float
    cpu: float


def choose_all(router, members):
    """Choose every other router as a neighbour."""
    return frozenset(members) - {router}


async def start_mesh(index: int, seeds: Sequence[Address], choose) -> PeerMesh:
    """Start one mesh on loopback."""
    member = Member(f"router-{index:03}", "domain", "region", Address("127.0.0.1", 0))
    mesh = PeerMesh(
        member,
        seeds,
        "benchmark",
        lambda: 1,
        lambda: timedelta(milliseconds=300),
        SystemClock(),
        random.Random(index),
        choose=choose,
    )
    await mesh.start()
    return mesh


async def wait_for(condition, limit: float) -> float | None:
    """Return the seconds until a condition holds; None if it does not in time."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > limit:
            return None
        await curio.sleep(0.02)
    return time.monotonic() - started


def know_each_other(meshes: Sequence[PeerMesh], count: int) -> bool:
    """Tell whether all meshes list the same number of routers."""
    return all(len(mesh.list_members()) == count for mesh in meshes)


async def start_fleet(count: int, choose) -> list[PeerMesh]:
    """Start meshes and wait until they are connected."""
    meshes = [await start_mesh(0, (), choose)]
    seeds = [meshes[0].self_member.address]
    for index in range(1, count):
        meshes.append(await start_mesh(index, seeds, choose))
    await wait_for(lambda: know_each_other(meshes, count), LONGEST_WAIT_SECONDS)
    await wait_for(
        lambda: all(mesh.neighbours <= mesh.connected for mesh in meshes),
        CONNECT_SECONDS,
    )
    return meshes


async def measure_cost(count: int, choose) -> Cost:
    """Measure a fleet at rest."""
    meshes = await start_fleet(count, choose)
    await curio.sleep(SETTLE_SECONDS)
    sent_bytes = sum(mesh.traffic.sent_bytes for mesh in meshes)
    messages = sum(mesh.traffic.sent_messages for mesh in meshes)
    cpu, started = time.process_time(), time.monotonic()
    await curio.sleep(MEASURE_SECONDS)
    share = 1 / (time.monotonic() - started) / count
    cost = Cost(
        (sum(mesh.traffic.sent_bytes for mesh in meshes) - sent_bytes) * share,
        (sum(mesh.traffic.sent_messages for mesh in meshes) - messages) * share,
        (time.process_time() - cpu) * share,
    )
    for mesh in meshes:
        await mesh.abort()
    return cost


async def measure_join(count: int, choose) -> float | None:
    """Measure the seconds until all routers know one that joins."""
    meshes = await start_fleet(count, choose)
    await curio.sleep(1.0)
    seeds = [meshes[0].self_member.address]
    meshes.append(await start_mesh(count, seeds, choose))
    elapsed = await wait_for(
        lambda: know_each_other(meshes, count + 1), LONGEST_WAIT_SECONDS
    )
    for mesh in meshes:
        await mesh.abort()
    return elapsed


async def measure_death(count: int) -> float | None:
    """Measure the seconds until all routers have dropped one that died."""
    meshes = await start_fleet(count, choose_neighbours)
    await curio.sleep(1.0)
    await meshes.pop(count // 2).abort()
    elapsed = await wait_for(
        lambda: know_each_other(meshes, count - 1), LONGEST_WAIT_SECONDS
    )
    for mesh in meshes:
        await mesh.abort()
    return elapsed


def report(name: str, value: float | None, baseline: float | None, unit: str) -> None:
    """Print one figure."""
    ratio = value / baseline if value is not None and baseline else None
    line = {"figure": name, "value": value, "unit": unit}
    click.echo(json.dumps({**line, "baseline": baseline, "ratio": ratio}))


def report_slopes(
    name: str,
    unit: str,
    sparse: dict[int, float],
    full: dict[int, float],
    counts: Sequence[int],
) -> None:
    """Print how a cost grows with each further router of the fleet."""
    low, high = min(counts), max(counts)
    slopes = [(costs[high] - costs[low]) / (high - low) for costs in (sparse, full)]
    report(f"{name} for each further router, {low} to {high}", *slopes, unit)


@click.command()
@click.option("--sizes", default="3,9,20,40", help="Numbers of routers.")
def main(sizes: str) -> None:
    """Measure and print one JSON line for each figure."""
    configure_logging("error")
    units = {"sent_bytes": "B/s", "sent_messages": "1/s", "cpu": "cores"}
    sparse_by_unit: dict[str, dict[int, float]] = {name: {} for name in units}
    full_by_unit: dict[str, dict[int, float]] = {name: {} for name in units}
    counts = [int(size) for size in sizes.split(",")]
    for count in counts:
        sparse = curio.run(measure_cost, count, choose_neighbours)
        # Up to nine routers both choices are the same.
        full = curio.run(measure_cost, count, choose_all) if count > 9 else sparse
        for name, unit in units.items():
            figure, baseline = getattr(sparse, name), getattr(full, name)
            sparse_by_unit[name][count] = figure
            full_by_unit[name][count] = baseline
            report(f"{name}, {count} routers", figure, baseline, unit)
    large = [count for count in counts if count > 9]
    for name, unit in units.items():
        if len(large) < 2:
            continue
        report_slopes(name, unit, sparse_by_unit[name], full_by_unit[name], large)
    largest = max(counts)
    joined = curio.run(measure_join, largest, choose_neighbours)
    baseline = curio.run(measure_join, largest, choose_all)
    report(f"join known to all, {largest} routers", joined, baseline, "s")
    # The baseline is the documented silence after which a router is dropped.
    died = curio.run(measure_death, largest)
    report(f"death known to all, {largest} routers", died, 10.0, "s")


if __name__ == "__main__":
    main()
