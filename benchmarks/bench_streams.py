"""Memory of a router process by the number of open streams."""

from __future__ import annotations

import json
import sys
from datetime import timedelta
from pathlib import Path

import curio

sys.path.insert(0, str(Path(__file__).resolve().parent))

from processes import (
    ProcessFleet,
    RouterProcess,
    make_directory,
    print_figure,
    propose_document,
)

from hibiscustiller.settings import Address
from hibiscustiller.standins import MODEL, ORGANISATION_KEYS_BY_ID
from hibiscustiller.utils import SystemClock
from hibiscustiller.wire import AnswerStream, HttpClient

COUNTS = (0, 75, 150, 225, 300)
SETTLE_TIME = timedelta(seconds=4)
SILENCE = timedelta(seconds=30)
# Slow tokens, so that memory and not processor time is what grows.
STANDIN_OPTIONS = ("--token-time", "500ms", "--streams", "600")
PROMPT = " ".join(f"word{number}" for number in range(200))
MAX_TOKENS = 400


async def open_stream(client: HttpClient, router: RouterProcess) -> AnswerStream:
    """Start a streamed answer."""
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": MAX_TOKENS, "stream": True}
    key = ORGANISATION_KEYS_BY_ID["greens"]
    return await client.open_stream(
        Address("127.0.0.1", router.callers),
        "POST",
        "/v1/completions",
        next_byte_timeout=SILENCE,
        body=json.dumps(body).encode(),
        headers={"authorization": f"Bearer {key}"},
    )


async def measure(fleet: ProcessFleet) -> list[tuple[int, float]]:
    """Return the resident size in MB by number of open streams."""
    clock = SystemClock()
    client = HttpClient(clock)
    await propose_document(fleet, client)
    router = fleet.routers[0]
    streams: list[AnswerStream] = []
    points = []
    for count in COUNTS:
        tasks = [
            await curio.spawn(open_stream, client, router)
            for _ in range(count - len(streams))
        ]
        streams += [await task.join() for task in tasks]
        await clock.sleep(SETTLE_TIME)
        refused = [stream for stream in streams if stream.status != 200]
        if refused:
            body = await refused[0].read_line()
            raise RuntimeError(f"{len(refused)} of {count} refused: {body!r}")
        points.append((count, router.read_memory_mb()))
    for stream in streams:
        await stream.close()
    return points


def fit_line(points: list[tuple[int, float]]) -> tuple[float, float, float]:
    """Return slope, intercept and the largest residual of a least-squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return slope, intercept, residual


def main() -> None:
    """Run the benchmark."""
    with make_directory() as directory:
        fleet = ProcessFleet(1, 1, Path(directory), STANDIN_OPTIONS)
        try:
            fleet.start()
            points = curio.run(measure, fleet)
        finally:
            fleet.stop()
    for count, memory in points:
        print_figure(f"memory with {count} open streams", memory, "MB")
    slope, intercept, residual = fit_line(points)
    print_figure("memory a stream", slope * 1024, "KB")
    print_figure("memory without streams by the fit", intercept, "MB")
    print_figure("largest residual of the fit", residual, "MB")


if __name__ == "__main__":
    main()
