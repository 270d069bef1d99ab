"""Memory of a daemon's process beside many answers that do not end.

Two servers send 7 MB of each answer at once, and then go on slowly. A third one answers
small requests beside them.
"""

import json
import sys
import tempfile
import time
from pathlib import Path

import click
import curio

from hibiscustiller.ingress.tests.fixtures import exchange, make_document
from hibiscustiller.ingress.tests.soak.processes import Program
from hibiscustiller.ingress.tests.soak.site import make_settings, wait_for_port
from hibiscustiller.ingress.tests.test_many_endless_bodies import (
    HEADS,
    LargeAnswerServer,
)
from hibiscustiller.standins import MetadataStoreStandin, PlainServerStandin
from hibiscustiller.utils import SystemClock

MEMORY_MB = 300
TIMEOUT_MS = 8000
_PORTS = (21101, 21102, 21103)


async def measure(kind: str, count: int) -> dict[str, float]:
    """Send requests to servers in trouble, and others beside them.

    :param kind: framing of the endless answers.
    :param count: how many of them run at the same time.
    :returns: memory of the process in MB, and the requests beside that were served.
    """
    store = MetadataStoreStandin(SystemClock())
    sound = PlainServerStandin("p0", store, service="sound")
    await store.start()
    store.put("op/config", _make_document())
    async with LargeAnswerServer(kind) as first, LargeAnswerServer(kind) as second:
        await sound.start()
        for number, server in enumerate((first, second)):
            store.put(f"servers/f{number}", _make_entry(server.address))
        with tempfile.TemporaryDirectory() as directory:
            program = await _start_daemon(Path(directory), store)
            try:
                return await _send_requests(program, count)
            finally:
                await program.kill()
                await sound.server.close()
                await store.stop()


def _make_document() -> dict[str, object]:
    document = make_document()
    for route in document["routes"]:
        if route["service"] == "orders":
            route.update(timeout_ms=TIMEOUT_MS, max_attempts=1)
    sound = {**route, "name": "sound", "prefix": "/sound/", "service": "sound"}
    document["routes"].append(sound)
    document["services"].append({"name": "sound", "max_connections": 100})
    document["services"][1]["max_connections"] = 500
    return document


def _make_entry(address: object) -> dict[str, object]:
    return {
        "service": "orders",
        "address": str(address),
        "zone": "north",
        "slots": 200,
        "state": "ready",
        "born": 1,
    }


async def _start_daemon(directory: Path, store: MetadataStoreStandin) -> Program:
    path = directory / "settings.toml"
    text = make_settings("router-0", *_PORTS, store.address.port)
    path.write_text(f"{text}\n[limits]\nmemory_mb = {MEMORY_MB}\n")
    arguments = ["-m", "hibiscustiller.ingress", "--settings", str(path)]
    program = Program("router-0", arguments, directory)
    program.start()
    await wait_for_port(_PORTS[0])
    await curio.sleep(1.5)
    return program


async def _send_requests(program: Program, count: int) -> dict[str, float]:
    statuses: list[int] = []

    async def send(path: str, number: int) -> int:
        sock = await curio.open_connection("127.0.0.1", _PORTS[0])
        async with sock:
            request_id = f"{path}{number}"
            answer = await exchange(
                sock, request_id, request_id=request_id, time_limit_s=12.0
            )
        return answer.status

    async def send_endless(number: int) -> None:
        statuses.append(await send("/book/", number))

    at_rest = program.read_memory_mb()
    peak, served, slowest, number = at_rest, 0, 0.0, 0
    async with curio.TaskGroup() as group:
        for endless in range(count):
            await group.spawn(send_endless, endless)
        until = time.monotonic() + TIMEOUT_MS / 1000
        while time.monotonic() < until and program.is_running:
            started_at = time.monotonic()
            served += await send("/sound/", number) == 200
            slowest = max(slowest, time.monotonic() - started_at)
            number += 1
            peak = max(peak, program.read_memory_mb() or 0.0)
            await curio.sleep(0.01)
    return {
        "at rest, MB": at_rest,
        "peak, MB": peak,
        "requests beside": number,
        "served beside": served,
        "slowest beside, s": slowest,
        "502 and 504": sum(status in (502, 504) for status in statuses),
    }


@click.command()
@click.option("--count", default=60, show_default=True, help="Answers at once.")
def main(count: int) -> None:
    """Measure each framing, and print a JSON line for each figure."""
    for kind in HEADS:
        for name, value in curio.run(measure, kind, count).items():
            line = {
                "figure": f"{count} endless answers, {kind}: {name}",
                "value": round(value, 2),
                "unit": name.rpartition(", ")[2] if ", " in name else "requests",
            }
            click.echo(json.dumps(line))
    sys.exit(0)


if __name__ == "__main__":
    main()
