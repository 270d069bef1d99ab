"""Routers and stand-ins as processes of their own, for benchmarks."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from hibiscustiller.configuration import parse_sections
from hibiscustiller.settings import Address
from hibiscustiller.standins import TEAM_KEYS_BY_ID
from hibiscustiller.wire import HttpClient

ROOT = Path(__file__).resolve().parent.parent
SHARED_KEY = "benchmark-shared-key"
_START_SECONDS = 15.0
_TIMEOUT = timedelta(seconds=10)
_SETTINGS = """
[router]
id = router-{number}
failure_domain = domain-{domain}
shutdown_lag = 1s
log_level = warning
[listen]
callers = 127.0.0.1:{callers}
administration = 127.0.0.1:{administration}
peers = 127.0.0.1:{peers}
[peers]
seeds = {seeds}
shared_key = {key}
[platform]
store = 127.0.0.1:{platform}
host_list = 127.0.0.1:{platform}
"""


@dataclass
class RouterProcess:
    """One router and its ports."""

    number: int
    callers: int
    administration: int
    peers: int
    process: subprocess.Popen | None = None

    def read_memory_mb(self) -> float:
        """Return the resident size in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024


@dataclass
class ProcessFleet:
    """A platform with engines in one process, and routers in one each.

    :param directory: where settings and the document are written.
    :param standin_options: further options of ``standin fleet``.
    """

    router_count: int
    replicas: int
    directory: Path
    standin_options: tuple[str, ...] = ()
    routers: list[RouterProcess] = field(default_factory=list)
    platform_port: int = 0
    standins: subprocess.Popen | None = None

    @property
    def document(self) -> str:
        """The operators' document that describes the fleet."""
        return (self.directory / "fleet.ini").read_text()

    def start(self) -> None:
        """Start all processes and wait until they listen."""
        ports = find_free_ports(1 + 3 * self.router_count)
        self.platform_port = ports.pop()
        for number in range(self.router_count):
            router = RouterProcess(number, ports.pop(), ports.pop(), ports.pop())
            self.routers.append(router)
        document = self.directory / "fleet.ini"
        self.standins = start_command(
            "standin",
            "fleet",
            "--replicas",
            str(self.replicas),
            "--platform-address",
            f"127.0.0.1:{self.platform_port}",
            "--document",
            str(document),
            *self.standin_options,
        )
        wait_until(document.exists)
        wait_for_port(self.platform_port)
        for router in self.routers:
            self.start_router(router)
        for router in self.routers:
            wait_for_port(router.administration)

    def start_router(self, router: RouterProcess) -> None:
        """Start one router, afresh after it was ended."""
        seeds = ", ".join(f"127.0.0.1:{other.peers}" for other in self.routers)
        path = self.directory / f"router-{router.number}.ini"
        path.write_text(
            _SETTINGS.format(
                number=router.number,
                domain=router.number % 3,
                callers=router.callers,
                administration=router.administration,
                peers=router.peers,
                seeds=seeds,
                key=SHARED_KEY,
                platform=self.platform_port,
            )
        )
        router.process = start_command("router", "--settings", str(path))

    def stop(self) -> None:
        """End every process that was started here."""
        processes = [router.process for router in self.routers] + [self.standins]
        for process in processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()


async def propose_document(fleet: ProcessFleet, client: HttpClient) -> None:
    """Have the first document accepted through the first router.

    :raises RuntimeError: if it is refused.
    """
    sections = parse_sections(fleet.document, "fleet.ini")
    changes = {heading: dict(values) for heading, values in sections.items()}
    await propose(fleet.routers[0], client, 0, "first", changes, "carnbeg")


async def propose(
    router: RouterProcess,
    client: HttpClient,
    base: int,
    proposal_id: str,
    changes: dict[str, dict[str, str]],
    team: str,
) -> None:
    """Propose changes as a team of the stand-ins' document.

    :raises RuntimeError: if they are refused.
    """
    body = {
        "proposal_id": proposal_id,
        "base_revision": base,
        "changes": changes,
        "check_only": False,
    }
    answer = await client.request_json(
        Address("127.0.0.1", router.administration),
        "POST",
        "/admin/proposals",
        body,
        timeout=_TIMEOUT,
        headers={"authorization": f"Bearer {TEAM_KEYS_BY_ID[team]}"},
    )
    if answer.status != 200:
        raise RuntimeError(f"proposal refused: {answer.body!r}")


def print_figure(
    figure: str,
    value: float,
    unit: str,
    baseline: float | None = None,
    ratio: float | None = None,
) -> None:
    """Print a figure as one JSON line."""
    line = {"figure": figure, "value": value, "unit": unit}
    if baseline is not None:
        line |= {"baseline": baseline, "ratio": ratio}
    print(json.dumps(line), flush=True)


def start_command(*arguments: str) -> subprocess.Popen:
    """Start the program with a command."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    return subprocess.Popen(
        [sys.executable, "-m", "hibiscustiller", *arguments],
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=sys.stderr,
    )


def make_directory() -> tempfile.TemporaryDirectory:
    """Return a directory that is removed at the end."""
    return tempfile.TemporaryDirectory(prefix="hibiscustiller-")


def find_free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def wait_for_port(port: int) -> None:
    """Wait until something listens on a loopback port."""

    def is_open() -> bool:
        with socket.socket() as sock:
            return sock.connect_ex(("127.0.0.1", port)) == 0

    wait_until(is_open)


def wait_until(condition: object) -> None:
    """Wait for a condition for a limited time.

    :raises TimeoutError: when the time is up.
    """
    end = time.monotonic() + _START_SECONDS
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError("a process did not start in time")
        time.sleep(0.05)
