"""Cost of the control holder at rest, by number of engines.

Engines are a minimal responder in the same process, so CPU time includes both sides.
The clock is set forward by the period between passes; the figures are for that time.
The baseline reads every engine in each pass.
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
from hibiscustiller.utils import ManualClock, configure_logging
from hibiscustiller.wire import HttpClient

# Twice the sweep period of 600 engines.
PASSES = 28
BASELINE_PASSES = 5
STORE_TIMEOUT = timedelta(seconds=2)
PERIOD = timedelta(seconds=5)
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
        self.read_count = 0

    async def serve(self, sock, address) -> None:
        """Serve one connection."""
        while data := await sock.recv(65536):
            self.read_count += 1
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


async def measure_rest(count: int, reads_all: bool) -> dict[str, float]:
    """Measure the mean of many passes that find nothing to do.

    :param reads_all: read every engine in each pass, as the baseline does.
    """
    clock = ManualClock()
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
    passes = BASELINE_PASSES if reads_all else PASSES
    bytes_before, reads_before = responder.byte_count, responder.read_count
    cpu, begun = time.process_time(), time.monotonic()
    for _ in range(passes):
        clock.advance(PERIOD)
        await holder.step_lease()
        if reads_all:
            holder.forget_states()
        await holder.reconcile()
    elapsed = passes * PERIOD.total_seconds()
    reads = responder.read_count - reads_before
    result = {
        "pass_time": (time.monotonic() - begun) / passes,
        "cpu": (time.process_time() - cpu) / elapsed,
        "bytes": (responder.byte_count - bytes_before) / elapsed,
        "sweep_period": count * elapsed / reads,
    }
    await holder.stop()
    await client.close()
    await task.cancel()
    await platform.close()
    return result


@click.command()
@click.option("--sizes", default="80,300,600", help="Numbers of engines.")
def main(sizes: str) -> None:
    """Measure and print one JSON line for each figure."""
    configure_logging("error")
    units = {"pass_time": "s", "cpu": "cores", "bytes": "B/s", "sweep_period": "s"}
    for count in (int(size) for size in sizes.split(",")):
        result = curio.run(measure_rest, count, False)
        baselines = curio.run(measure_rest, count, True)
        for name, unit in units.items():
            line = {
                "figure": f"{name}, {count} engines",
                "value": result[name],
                "baseline": baselines[name],
                "ratio": result[name] / baselines[name],
                "unit": unit,
            }
            click.echo(json.dumps(line))


if __name__ == "__main__":
    main()
