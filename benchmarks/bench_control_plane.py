"""Control cost of each router by number of routers, at rest and at changes.

Real routers run in this process and form a real mesh over loopback. Stand-ins of the
platform and the engines run in a process of their own. Callers' usage is charged to the
routers' ledgers without requests. Bytes are those of frames and of HTTP, without TCP
and IP. Reads with long periods, such as the watchers' every 30 s, can be missing. The
lines of each figure's fit over the numbers of routers come last.
"""

import json
import random
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import click
import curio
from processes import find_free_ports

from hibiscustiller.configuration import parse_sections
from hibiscustiller.serving import Router
from hibiscustiller.settings import Address
from hibiscustiller.standins import make_standin_settings, start_fleet
from hibiscustiller.standins._fleet import TEAM_KEYS_BY_ID
from hibiscustiller.utils import (
    Metrics,
    SystemClock,
    configure_logging,
    hash_secret,
)
from hibiscustiller.wire import HttpClient

SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 5.0
# 2,100 changes a day are one in 41 s. This rate makes their cost visible; divide by 82.
CHANGES_PER_SECOND = 2.0
ORGANISATIONS = 10
MAX_KEPT_FRAMES = 256
CHARGES_PER_SECOND = 2.0
# The benchmark stops by itself even if something hangs.
LONGEST_RUN_SECONDS = 58.0
BYTES_BUDGET = 7000.0
CPU_BUDGET = 0.037
# Every router polls the head of the configuration every 2 s.
POLLING_CALLS = 0.5
_MESH_KINDS = {
    "Heartbeat": "mesh heartbeats",
    "MemberDigests": "membership gossip",
    "MemberEntries": "membership gossip",
    "Leaving": "membership gossip",
    "UsageReport": "usage",
    "UsageTotals": "usage",
    "ConfigChange": "configuration",
    "ConfigRequest": "configuration",
    "ConfigSnapshot": "configuration",
}
_HTTP_KINDS = {
    "/v1/load": "backend load reports",
    "/v1/hosts": "host list",
    "/v1/state": "engine states (control)",
    "/v1/orders": "engine commands (control)",
    "/v1/cache-events": "cache events",
}


@dataclass
class Counts:
    """Bytes and store calls by kind, summed over all routers."""

    bytes_by_kind: Counter[tuple[str, str]] = field(default_factory=Counter)
    calls_by_kind: Counter[str] = field(default_factory=Counter)

    def note(self, kind: str, direction: str, count: int) -> None:
        """Count bytes of one kind."""
        self.bytes_by_kind[kind, direction] += count

    def copy(self) -> "Counts":
        """Return a copy."""
        return Counts(self.bytes_by_kind.copy(), self.calls_by_kind.copy())


class CountingSocket:
    """Counts the bytes of an HTTP connection by the target of its last request."""

    def __init__(self, sock, counts: Counts) -> None:
        self._sock = sock
        self._counts = counts
        self._kind = ""

    def __getattr__(self, name):
        return getattr(self._sock, name)

    async def sendall(self, data: bytes):
        """Send a whole request."""
        path = data.split(b" ", 2)[1].decode().partition("?")[0]
        if path.startswith("/v3/"):
            self._kind = "store calls"
            self._counts.calls_by_kind[path] += 1
        else:
            self._kind = _HTTP_KINDS.get(path, path)
        self._counts.note(self._kind, "sent", len(data))
        return await self._sock.sendall(data)

    async def recv(self, size: int) -> bytes:
        """Receive a part of an answer."""
        data = await self._sock.recv(size)
        self._counts.note(self._kind, "received", len(data))
        return data


def count_client(client: HttpClient, counts: Counts) -> None:
    """Count the bytes of a client's connections."""
    connect = client._connect

    async def connect_counted(address: Address):
        connection = await connect(address)
        connection.sock = CountingSocket(connection.sock, counts)
        return connection

    client._connect = connect_counted


def count_mesh(mesh, counts: Counts) -> None:
    """Count the bytes of a mesh by the kind of message."""
    encode, send_frame = mesh._encode, mesh._send_frame
    kinds_by_frame: dict[bytes, str] = {}

    def encode_counted(message) -> bytes:
        name = type(message).__name__
        frame = encode(message)
        if len(kinds_by_frame) >= MAX_KEPT_FRAMES:
            kinds_by_frame.clear()
        kinds_by_frame[frame] = _MESH_KINDS.get(name, name)
        return frame

    async def send_counted(connection, frame: bytes, is_use: bool = True) -> bool:
        # A broadcast is encoded once for all of its frames.
        kind = kinds_by_frame.get(frame, "broadcasts, kind not known")
        counts.note(kind, "sent", len(frame))
        return await send_frame(connection, frame, is_use)

    mesh._encode = encode_counted
    mesh._send_frame = send_counted


async def run_standins() -> None:
    """Run stand-ins until standard input ends, and print where they are."""
    fleet = await start_fleet(SystemClock())
    line = {"platform": str(fleet.platform.address), "document": fleet.document}
    print(json.dumps(line), flush=True)
    await curio.run_in_thread(sys.stdin.read)
    await fleet.close()


async def start_routers(count: int, platform: str, counts: Counts) -> list[Router]:
    """Start routers that know each other."""
    ports = find_free_ports(count)
    routers = []
    for index, port in enumerate(ports):
        settings = make_standin_settings(
            platform,
            router_id=f"router-{index:03}",
            failure_domain=f"domain-{index % 3}",
            peers=f"127.0.0.1:{port}",
            seeds=[f"127.0.0.1:{seed}" for seed in ports[:2] if seed != port],
            shared_key="benchmark",
        )
        router = Router(settings, SystemClock(), random.Random(index), Metrics())
        count_client(router._client, counts)
        count_mesh(router.control_plane.mesh, counts)
        await router.start()
        routers.append(router)
    return routers


def add_organisations(document: str) -> str:
    """Add organisations whose usage is charged."""
    lines = [document]
    for index in range(ORGANISATIONS):
        lines.append(f"[organisation measured-{index:03}]")
        lines.append(f"key_sha256 = {hash_secret(f'key-{index}')}")
        lines.append("priority_class = quotes")
    return "\n".join(lines) + "\n"


async def run_periodically(
    rate: float, act: Callable[[int], Awaitable[None]]
) -> curio.Task:
    """Call a function at a rate until the task is cancelled."""

    async def run() -> None:
        number = 0
        while True:
            await act(number)
            number += 1
            await curio.sleep(1 / rate)

    return await curio.spawn(run, daemon=True)


async def propose(client: HttpClient, router: Router, number: int) -> None:
    """Change a value of the document through a router."""
    change = {"server engine-0-0": {"streams": str(16 + number % 2)}}
    answer = await client.request_json(
        router.configuration_parts.server.address,
        "POST",
        "/admin/proposals",
        {
            "base_revision": router.configuration.revision,
            "proposal_id": f"change-{number}-{time.monotonic_ns()}",
            "changes": change,
        },
        timeout=timedelta(seconds=5),
        headers={"authorization": f"Bearer {TEAM_KEYS_BY_ID['carnbeg']}"},
    )
    if answer.status != 200:
        raise RuntimeError(f"proposal refused: {answer.status} {answer.body!r}")


async def measure_phase(routers: list[Router], counts: Counts) -> dict:
    """Return each figure for one router."""
    before, cpu, begun = counts.copy(), time.process_time(), time.monotonic()
    await curio.sleep(MEASURE_SECONDS)
    elapsed = time.monotonic() - begun
    share = 1 / elapsed / len(routers)
    figures = {("CPU", "cores"): (time.process_time() - cpu) * share}
    spent = counts.bytes_by_kind - before.bytes_by_kind
    for (kind, direction), value in sorted(spent.items()):
        figures[f"{kind}, {direction}", "B/s"] = value * share
    for direction in ("sent", "received"):
        total = sum(value for (_, d), value in spent.items() if d == direction)
        if direction == "received":
            # What a router receives on the mesh is on average what another sends.
            mesh_kinds = {*_MESH_KINDS.values(), "broadcasts, kind not known"}
            mesh_kinds |= {"BackendSignal", "CrashReport"}
            total += sum(
                value
                for (kind, d), value in spent.items()
                if d == "sent" and kind in mesh_kinds
            )
        figures[f"all, {direction}", "B/s"] = total * share
    calls = counts.calls_by_kind - before.calls_by_kind
    for path, value in sorted(calls.items()):
        figures[f"store calls {path}", "1/s"] = value * share
    figures["store calls, all", "1/s"] = sum(calls.values()) * share
    return figures


async def measure_fleet(count: int, platform: str) -> dict[str, dict]:
    """Measure a number of routers at rest and while the document changes."""
    counts = Counts()
    routers = await start_routers(count, platform, counts)

    async def charge(number: int) -> None:
        for router in routers:
            for index in range(ORGANISATIONS):
                router.usage.charge(f"measured-{index:03}", "quotes", 100 + number)

    charging = await run_periodically(CHARGES_PER_SECOND, charge)
    await curio.sleep(SETTLE_SECONDS)
    members = [len(r.control_plane.transport.list_members()) for r in routers]
    if min(members) != count:
        raise RuntimeError(f"routers know {members} of {count} routers")
    figures = {"at rest": await measure_phase(routers, counts)}
    client = HttpClient(SystemClock())
    changing = await run_periodically(
        CHANGES_PER_SECOND, lambda number: propose(client, routers[0], number)
    )
    name = f"at {CHANGES_PER_SECOND:g} changes a second"
    figures[name] = await measure_phase(routers, counts)
    if changing.terminated:
        await changing.join()
    for task in (changing, charging):
        await task.cancel()
    await client.close()
    for router in routers:
        await router.stop()
    return figures


async def put_document(platform: str, document: str) -> None:
    """Put the first document into the store through a router without peers."""
    settings = make_standin_settings(platform)
    router = Router(settings, SystemClock(), random.Random(999), Metrics())
    await router.start()
    client = HttpClient(SystemClock())
    answer = await client.request_json(
        router.configuration_parts.server.address,
        "POST",
        "/admin/proposals",
        {
            "base_revision": 0,
            "proposal_id": "first",
            "changes": parse_sections(document, "document"),
        },
        timeout=timedelta(seconds=5),
        headers={"authorization": f"Bearer {TEAM_KEYS_BY_ID['carnbeg']}"},
    )
    await client.close()
    await router.stop()
    if answer.status != 200:
        raise RuntimeError(f"document refused: {answer.status} {answer.body!r}")


def find_baseline(unit: str) -> float:
    """Return what a figure is compared with."""
    if unit == "B/s":
        return BYTES_BUDGET
    return CPU_BUDGET if unit == "cores" else POLLING_CALLS


def report(name: str, value: float, unit: str, baseline: float) -> None:
    """Print one figure."""
    line = {"figure": name, "value": value, "unit": unit, "baseline": baseline}
    click.echo(json.dumps({**line, "ratio": value / baseline}))


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Fit a line by least squares.

    :returns: slope and largest residual.
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    residuals = [abs(y - mean_y - slope * (x - mean_x)) for x, y in points]
    return slope, max(residuals)


def report_fits(figures_by_count: dict[int, dict[str, dict]]) -> None:
    """Print the slope and the largest residual of each figure."""
    names = {
        (phase, *key)
        for figures_by_phase in figures_by_count.values()
        for phase, figures in figures_by_phase.items()
        for key in figures
    }
    for phase, name, unit in sorted(names):
        points = [
            (count, figures[phase].get((name, unit), 0.0))
            for count, figures in figures_by_count.items()
        ]
        slope, residual = fit_line(points)
        baseline = find_baseline(unit)
        label = f"{name} {phase}"
        report(f"{label}, slope a router", slope, f"{unit}/router", baseline)
        report(f"{label}, largest residual", residual, unit, baseline)


@click.command()
@click.option("--standins", is_flag=True, hidden=True)
@click.option("--sizes", default="3,9,18", help="Numbers of routers.")
def main(standins: bool, sizes: str) -> None:
    """Measure and print one JSON line for each figure."""
    configure_logging("error")
    if standins:
        curio.run(run_standins)
        return
    command = [sys.executable, __file__, "--standins"]
    process = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    try:
        found = json.loads(process.stdout.readline())
        counts = [int(size) for size in sizes.split(",")]
        curio.run(measure_all, counts, found)
    finally:
        process.stdin.close()
        process.wait(timeout=10)


async def measure_all(counts: list[int], found: dict[str, str]) -> None:
    """Measure all sizes, within the longest time of a run."""
    async with curio.timeout_after(LONGEST_RUN_SECONDS):
        await put_document(found["platform"], add_organisations(found["document"]))
        figures_by_count = {}
        for count in counts:
            figures_by_count[count] = await measure_fleet(count, found["platform"])
            for phase, figures in figures_by_count[count].items():
                for (name, unit), value in figures.items():
                    label = f"{name} {phase}, {count} routers"
                    report(label, value, unit, find_baseline(unit))
    if len(counts) > 1:
        report_fits(figures_by_count)


if __name__ == "__main__":
    main()
