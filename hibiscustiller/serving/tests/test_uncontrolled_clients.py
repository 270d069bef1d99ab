"""The product's own router beside crowds of uncontrolled clients.

The router is a process of its own. Each test checks that it lives, that its memory and
descriptors stay within its settings, and that it answers a request beside the crowd.
"""

import re
import sys
import tempfile
from pathlib import Path

import curio
import curio.socket

from hibiscustiller.ingress.tests.soak.processes import Program
from hibiscustiller.ingress.tests.soak.site import choose_ports, wait_for_port
from hibiscustiller.standins import start_fleet
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests

MAX_BODY_BYTES = 1_000_000
# All bodies together exceed the bound of the settings.
CROWD = 500
# The memory of all bodies by default, and as much as the process takes without them.
MAX_MEMORY_BYTES = (256 + 96) << 20
# Listeners, peers, engines and connections that are being refused.
OTHER_FDS = 100
PART = b"x" * 50_000
CROWD_TIME_S = 10
ANSWER_TIME_S = 8
SETTINGS = """
[router]
id = router
failure_domain = domain-0
shutdown_lag = 0s
[listen]
callers = 127.0.0.1:{callers}
administration = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
store = {platform}
host_list = {platform}
[limits]
max_connections = {max_connections}
max_body_bytes = {max_body_bytes}
read_timeout = 20s
"""


async def send_short_body(sock):
    await sock.sendall(
        b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
        % MAX_BODY_BYTES
    )
    for _ in range(MAX_BODY_BYTES // len(PART) - 2):
        await sock.sendall(PART)
        await curio.sleep(0)


async def send_short_head(sock):
    await sock.sendall(b"POST /v1/completions HTTP/1.1\r\nx-filler: " + b"x" * 2000)


async def send_request_and_wait(sock):
    await sock.sendall(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n")
    await sock.recv(4096)


async def check_crowd(send, max_connections, count):
    fleet = await start_fleet(SystemClock())
    with tempfile.TemporaryDirectory() as directory:
        (callers,) = choose_ports(1)
        path = Path(directory) / "router.ini"
        path.write_text(
            SETTINGS.format(
                callers=callers,
                platform=fleet.platform.address,
                max_connections=max_connections,
                max_body_bytes=MAX_BODY_BYTES,
            )
        )
        arguments = ["-m", "hibiscustiller", "router", "--settings", str(path)]
        program = Program("router", arguments, directory)
        program.start()
        socks, tasks = [], []
        try:
            await wait_for_port(callers)
            for _ in range(count):
                tasks.append(await curio.spawn(_run_client, send, callers, socks))
            async with curio.ignore_after(CROWD_TIME_S):
                for task in tasks:
                    await task.wait()
            assert program.is_running
            await _check_ordinary_request(callers)
            _check_process(program, max_connections)
        finally:
            for task in tasks:
                await task.cancel()
            for sock in socks:
                await sock.close()
            await program.kill()
            await fleet.close()


async def _run_client(send, port, socks):
    try:
        sock = await curio.open_connection("127.0.0.1", port)
        socks.append(sock)
        await send(sock)
    except OSError:
        # The router may close the connection at any time.
        return


async def _check_ordinary_request(port):
    async with curio.timeout_after(ANSWER_TIME_S):
        sock = await curio.open_connection("127.0.0.1", port)
        async with sock:
            await sock.sendall(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n")
            answer = await sock.recv(4096)
    assert answer.startswith(b"HTTP/1.1 200"), answer


def _check_process(program, max_connections):
    assert program.is_running
    process = Path(f"/proc/{program.pid}")
    status = (process / "status").read_text()
    memory = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024
    fds = len(list((process / "fd").iterdir()))
    assert memory <= MAX_MEMORY_BYTES, memory
    assert fds <= max_connections + OTHER_FDS, fds


async def test_bodies_that_stop_short_are_bounded_together():
    """Guards against a router that runs out of memory as its callers send much."""
    await check_crowd(send_short_body, 2 * CROWD, CROWD)


async def test_unfinished_heads_leave_places_for_others():
    """Guards against unfinished requests that take all connections."""
    await check_crowd(send_short_head, 100, 140)


async def test_idle_connections_leave_places_for_others():
    """Guards against idle connections that take all places."""
    await check_crowd(send_request_and_wait, 100, 140)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
