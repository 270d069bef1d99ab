"""Memory and CPU time of one real router process at rest.

The baseline is a process of the same interpreter that has imported only curio, h11
and pycapnp.
"""

import json
import random
import re
import subprocess
import sys
import time
from pathlib import Path

import click

MEASURE_SECONDS = 20
ROUTER_COUNT = 3
_ROOT = Path(__file__).resolve().parent.parent
_IMPORTS = "import capnp, curio, h11"
_PEERS = """
[router]
id = idle-{index}
failure_domain = domain-0
[listen]
callers = 127.0.0.1:0
administration = 127.0.0.1:0
peers = 127.0.0.1:{port}
[peers]
seeds = {seeds}
shared_key = benchmark
[platform]
store = {platform}
host_list = {platform}
"""


def read_resident_kb() -> int:
    """Return this process's resident memory."""
    text = Path("/proc/self/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", text).group(1))


def run_router(port: int, peer_ports: list[int], platform: str, document: str) -> dict:
    """Run one router with peers for a while and measure it."""
    import curio

    from hibiscustiller.serving import Router
    from hibiscustiller.settings import parse_settings
    from hibiscustiller.utils import Metrics, Revision, SystemClock, configure_logging

    configure_logging("error")
    imported_kb = read_resident_kb()
    seeds = ", ".join(f"127.0.0.1:{peer}" for peer in peer_ports)
    text = _PEERS.format(index=port, port=port, seeds=seeds, platform=platform)
    clock = SystemClock()
    settings = parse_settings(text, "benchmark")

    async def measure() -> dict:
        router = Router(settings, clock, random.Random(port), Metrics())
        router.install_document(document, Revision(1))
        await router.start()
        await curio.sleep(3)
        started_kb = read_resident_kb()
        cpu, begun = time.process_time(), time.monotonic()
        await curio.sleep(MEASURE_SECONDS)
        elapsed = time.monotonic() - begun
        cpu = (time.process_time() - cpu) / elapsed
        return {
            "imported_kb": imported_kb,
            "started_kb": started_kb,
            "rested_kb": read_resident_kb(),
            "cpu": cpu,
            "members": len(router.control_plane.transport.list_members()),
            "is_holder": router.control_plane.holder.fence is not None,
        }

    return curio.run(measure)


def measure_baseline() -> int:
    """Return the resident memory of a process with only the libraries."""
    code = f"{_IMPORTS}; print(open('/proc/self/status').read())"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return int(re.search(r"VmRSS:\s+(\d+) kB", done.stdout).group(1))


def find_ports(count: int) -> list[int]:
    """Return ports that are free at the moment."""
    import socket

    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def measure_fleet() -> list[dict]:
    """Run a few routers as processes beside stand-ins in this one."""
    import curio
    from curio import subprocess as curio_subprocess

    from hibiscustiller.standins import start_fleet
    from hibiscustiller.utils import SystemClock

    async def run() -> list[dict]:
        fleet = await start_fleet(SystemClock())
        ports = find_ports(ROUTER_COUNT)
        processes = []
        for port in ports:
            arguments = {
                "port": port,
                "peer_ports": [peer for peer in ports if peer != port],
                "platform": str(fleet.platform.address),
                "document": fleet.document,
            }
            command = [sys.executable, __file__, "--child", json.dumps(arguments)]
            processes.append(
                curio_subprocess.Popen(command, stdout=curio_subprocess.PIPE)
            )
        outputs = [(await process.communicate())[0] for process in processes]
        await fleet.close()
        return [json.loads(output) for output in outputs]

    return curio.run(run)


def report(name: str, value: float, baseline: float, unit: str) -> None:
    """Print one figure."""
    line = {"figure": name, "value": value, "unit": unit, "baseline": baseline}
    click.echo(json.dumps({**line, "ratio": value / baseline}))


@click.command()
@click.option("--child", default="", hidden=True)
def main(child: str) -> None:
    """Measure and print one JSON line for each figure."""
    if child:
        click.echo(json.dumps(run_router(**json.loads(child))))
        return
    baseline = measure_baseline()
    for result in sorted(measure_fleet(), key=lambda result: result["is_holder"]):
        role = "control holder" if result["is_holder"] else "router"
        role += f" with {result['members'] - 1} peers"
        for when in ("imported", "started", "rested"):
            kilobytes = result[f"{when}_kb"]
            report(f"memory of {role}, {when}", kilobytes, baseline, "kB")
        # The baseline is the budget for control at the planned size.
        report(f"CPU of {role} at rest", result["cpu"], 0.037, "cores")


if __name__ == "__main__":
    sys.path.insert(0, str(_ROOT))
    main()
