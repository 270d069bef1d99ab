"""Memory and CPU time of one real router process at rest, and memory of its imports.

The baseline is a process of the same interpreter that has imported only curio, h11
and pycapnp. Modules are loaded from bytecode, as after an installation: compiling them
in the process would leave memory of the compiler resident.
"""

import json
import os
import random
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path

import click
from _imports import read_memory_kb

MEASURE_SECONDS = 20
# Planned for the control of a daemon.
_BUDGET_KB = 32 * 1024
ROUTER_COUNT = 3
_ROOT = Path(__file__).resolve().parent.parent
_IMPORTS = "import capnp, curio, h11"
# Imported one after the other in one process, so that each row shows what it adds.
_IMPORT_ORDER = (
    "curio",
    "capnp",
    "h11",
    "result",
    "absl.logging",
    "click",
    "hibiscustiller.utils",
    "hibiscustiller.settings",
    "hibiscustiller.wire",
    "hibiscustiller.platform",
    "hibiscustiller.configuration",
    "hibiscustiller.membership",
    "hibiscustiller.control",
    "hibiscustiller.routing",
    "hibiscustiller.limits",
    "hibiscustiller.streams",
    "hibiscustiller.orders",
    "hibiscustiller.serving",
    "hibiscustiller.cli",
)
# Imported alone in a fresh process; modules shared with others are counted each time.
_ALONE = (
    *_IMPORT_ORDER[:6],
    "ssl",
    "asyncio",
    "statsd",
    "statistics",
    "unittest",
    "http.client",
    "hypothesis",
)
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


def make_environment(cache: str) -> dict[str, str]:
    """Return the environment of child processes that load bytecode from a directory."""
    environment = {**os.environ, "PYTHONPYCACHEPREFIX": cache, "PYTHONPATH": str(_ROOT)}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    return environment


def measure_imports(modules: Iterable[str], environment: dict[str, str]) -> list[dict]:
    """Import modules in a fresh process and return what each added.

    The first of two runs writes the bytecode.
    """
    command = [sys.executable, str(Path(__file__).with_name("_imports.py")), *modules]
    for _ in range(2):
        done = subprocess.run(
            command, env=environment, stdout=subprocess.PIPE, text=True, check=True
        )
    return json.loads(done.stdout)


def report_imports(environment: dict[str, str]) -> None:
    """Print what each import adds, in the router's order and alone."""
    rows = measure_imports(_IMPORT_ORDER, environment)
    total = rows[-1]["total_kb"]
    for row in rows:
        name = f"import of {row['module']} after those before"
        report(f"{name}, resident", row["resident_kb"], total, "kB")
        report(f"{name}, private", row["private_kb"], total, "kB")
    report("resident after all imports", total, _BUDGET_KB, "kB")
    for module in _ALONE:
        (row,) = measure_imports([module], environment)
        report(f"import of {module} alone", row["resident_kb"], total, "kB")


def run_router(port: int, peer_ports: list[int], platform: str, document: str) -> dict:
    """Run one router with peers for a while and measure it."""
    import curio

    from hibiscustiller.serving import Router
    from hibiscustiller.settings import parse_settings
    from hibiscustiller.utils import Metrics, Revision, SystemClock, configure_logging

    configure_logging("error")
    imported_kb = read_memory_kb("VmRSS")
    seeds = ", ".join(f"127.0.0.1:{peer}" for peer in peer_ports)
    text = _PEERS.format(index=port, port=port, seeds=seeds, platform=platform)
    clock = SystemClock()
    settings = parse_settings(text, "benchmark")

    async def measure() -> dict:
        router = Router(settings, clock, random.Random(port), Metrics())
        router.install_document(document, Revision(1))
        await router.start()
        await curio.sleep(3)
        started_kb = read_memory_kb("VmRSS")
        cpu, begun = time.process_time(), time.monotonic()
        await curio.sleep(MEASURE_SECONDS)
        elapsed = time.monotonic() - begun
        cpu = (time.process_time() - cpu) / elapsed
        return {
            "imported_kb": imported_kb,
            "started_kb": started_kb,
            "rested_kb": read_memory_kb("VmRSS"),
            "private_kb": read_memory_kb("RssAnon"),
            "cpu": cpu,
            "members": len(router.control_plane.transport.list_members()),
            "is_holder": router.control_plane.holder.fence is not None,
        }

    return curio.run(measure)


def measure_baseline(environment: dict[str, str]) -> int:
    """Return the resident memory of a process with only the libraries."""
    code = f"{_IMPORTS}; print(open('/proc/self/status').read())"
    done = subprocess.run(
        [sys.executable, "-c", code],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
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


def measure_fleet(environment: dict[str, str]) -> list[dict]:
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
                curio_subprocess.Popen(
                    command, env=environment, stdout=curio_subprocess.PIPE
                )
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
    with tempfile.TemporaryDirectory() as cache:
        measure_all(make_environment(cache))


def measure_all(environment: dict[str, str]) -> None:
    """Measure imports and routers at rest."""
    report_imports(environment)
    baseline = measure_baseline(environment)
    for result in sorted(
        measure_fleet(environment), key=lambda result: result["is_holder"]
    ):
        role = "control holder" if result["is_holder"] else "router"
        role += f" with {result['members'] - 1} peers"
        for when in ("imported", "started", "rested", "private"):
            kilobytes = result[f"{when}_kb"]
            report(f"memory of {role}, {when}", kilobytes, baseline, "kB")
        # The baseline is the budget for control at the planned size.
        report(f"CPU of {role} at rest", result["cpu"], 0.037, "cores")


if __name__ == "__main__":
    sys.path.insert(0, str(_ROOT))
    main()
