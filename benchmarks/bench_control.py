"""Cost of one reconcile pass of the control holder, by number of engines.

Engines are a minimal responder in the same process, so CPU time includes both sides.
The baseline is the smallest number of engines of the same run, scaled up.
"""

import json
import random
import time
from datetime import timedelta

import click
import curio

from hibiscustiller.configuration import build_config
from hibiscustiller.control import ControlHolder
from hibiscustiller.platform import EtcdStore
from hibiscustiller.settings import Address
from hibiscustiller.standins import PlatformStandin
from hibiscustiller.utils import SystemClock, configure_logging
from hibiscustiller.wire import HttpClient

PASSES = 5
STORE_TIMEOUT = timedelta(seconds=2)
PERIOD_SECONDS = 5.0
_STATE = {
    "model": "m",
    "version": "1",
    "adapters": ["carnbeg-turf", "tizas-chalk"],
    "role": "mixed",
    "first_layer": 0,
    "last_layer": 40,
    "highest_fence": 12345,
}


class Responder:
    """Answers every request with the same engine state and counts bytes."""

    def __init__(self):
        body = json.dumps(_STATE).encode()
        head = (
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        self.answer = head.encode() + body
        self.byte_count = 0

    async def serve(self, sock, address) -> None:
        """Serve one connection."""
        while data := await sock.recv(65536):
            self.byte_count += len(data) + len(self.answer)
            await sock.sendall(self.answer)


def make_config(count: int, address: Address):
    """Return a document with many engines at one address."""
    sections = {
        "model m": {"layers": "40", "adapters": "carnbeg-turf, tizas-chalk"},
    }
    for index in range(count):
        sections[f"server s{index:04}"] = {
            "address": str(address),
            "failure_domain": "d",
            "model": "m",
            "first_layer": "0",
            "last_layer": "40",
        }
    return build_config(sections)


async def measure_pass(count: int) -> dict[str, float]:
    """Measure the mean of several passes that find nothing to do."""
    clock = SystemClock()
    platform = PlatformStandin(Address("127.0.0.1", 0), clock)
    await platform.start()
    responder = Responder()
    listener = curio.tcp_server_socket("127.0.0.1", 0)
    port = listener.getsockname()[1]
    task = await curio.spawn(
        curio.network.run_server, listener, responder.serve, daemon=True
    )
    client = HttpClient(clock)
    config = make_config(count, Address("127.0.0.1", port))
    store = EtcdStore(client, platform.address, STORE_TIMEOUT)
    holder = ControlHolder(
        "router",
        store,
        client,
        lambda: config,
        lambda: ["router"],
        clock,
        random.Random(1),
    )
    await holder.step_lease()
    await holder.reconcile()
    before, cpu, begun = responder.byte_count, time.process_time(), time.monotonic()
    for _ in range(PASSES):
        await holder.reconcile()
    result = {
        "pass_time": (time.monotonic() - begun) / PASSES,
        "cpu": (time.process_time() - cpu) / PASSES / PERIOD_SECONDS,
        "bytes": (responder.byte_count - before) / PASSES / PERIOD_SECONDS,
    }
    await holder.stop()
    await client.close()
    await task.cancel()
    await platform.close()
    return result


@click.command()
@click.option("--sizes", default="80,600", help="Numbers of engines.")
def main(sizes: str) -> None:
    """Measure and print one JSON line for each figure."""
    configure_logging("error")
    units = {"pass_time": "s", "cpu": "cores", "bytes": "B/s"}
    counts = [int(size) for size in sizes.split(",")]
    results = {count: curio.run(measure_pass, count) for count in counts}
    for count, result in results.items():
        for name, unit in units.items():
            baseline = results[counts[0]][name] * count / counts[0]
            line = {
                "figure": f"{name}, {count} engines",
                "value": result[name],
                "baseline": baseline,
                "ratio": result[name] / baseline,
                "unit": unit,
            }
            click.echo(json.dumps(line))


if __name__ == "__main__":
    main()
