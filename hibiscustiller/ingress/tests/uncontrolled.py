"""A daemon as a process of its own, and crowds of clients around it."""

import re
import tempfile
from collections import deque
from pathlib import Path

import curio
import curio.socket

from hibiscustiller.ingress.tests.fixtures import (
    HOST,
    KEY,
    RawServer,
    exchange,
    make_document,
)
from hibiscustiller.ingress.tests.soak.processes import Program
from hibiscustiller.ingress.tests.soak.site import (
    choose_ports,
    make_settings,
    wait_for_port,
)
from hibiscustiller.standins import MetadataStoreStandin, PlainServerStandin
from hibiscustiller.utils import SystemClock

MAX_FDS = 400
MEMORY_MB = 96
# More than the descriptors that the settings allow.
CROWD = 480
MAX_HEADER_BYTES = 4096
MAX_BODY_BYTES = 1_000_000
HEADER_TIMEOUT_S = 10
GRACE_S = 4
LARGE_ANSWER = b"x" * 2_000_000
# Against hanging only; the crowd is complete when each client has sent its part.
_CROWD_TIME_S = 8
_ANSWER_TIME_S = 8
_START_TIME_S = 20
_SAMPLING_PERIOD_S = 0.05
_REQUEST_ID = re.compile(rb"request-id: *(\S+)", re.IGNORECASE)


class LargeAnswerServer(RawServer):
    """Answers each request with ``LARGE_ANSWER``."""

    async def serve(self, sock):
        async with sock:
            try:
                while found := _REQUEST_ID.search(await sock.recv(65536)):
                    await sock.sendall(
                        b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\nrequest-id: %s\r\n"
                        b"response-seal: s\r\n\r\n" % (len(LARGE_ANSWER), found[1])
                    )
                    await sock.sendall(LARGE_ANSWER)
            except OSError:
                return


class DaemonWorld:
    """One daemon process with low limits, a store and two plain servers."""

    def __init__(self):
        self._directory = tempfile.TemporaryDirectory()
        self.settings_path = Path(self._directory.name) / "settings.toml"
        self.store = MetadataStoreStandin(SystemClock())
        self.plain = PlainServerStandin("p0", self.store)
        # The bodies of all requests would take the memory of the test.
        self.plain.requests = deque(maxlen=1)
        self.large = LargeAnswerServer()
        self.front, self.ready, self.inner, self.inspection = choose_ports(4)
        self.socks = []
        self.tasks = []
        # Most descriptors that the process had open at a time.
        self.peak_fds = 0

    def write_settings(self, max_fds=MAX_FDS):
        """Write the settings file of the daemon."""
        text = make_settings(
            "router-1", self.front, self.ready, self.inner, self.store.address.port
        )
        control = f'[listen]\ncontrol = "127.0.0.1:{self.inner}"'
        limits = f"\n[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {max_fds}\n"
        self.settings_path.write_text(text.replace("[listen]", control) + limits)

    async def __aenter__(self):
        await self.store.start()
        await self.plain.start()
        await self.large.__aenter__()
        self.store.put("op/config", self._make_document())
        entry = {"service": "large", "address": str(self.large.address)}
        entry |= {"zone": "north", "slots": 100, "state": "ready", "born": 1}
        self.store.put("servers/large-0", entry)
        self.write_settings()
        arguments = ["-m", "hibiscustiller.ingress", "--settings"]
        arguments += [str(self.settings_path), "--inspection-port"]
        arguments.append(str(self.inspection))
        self.program = Program("router-1", arguments, self._directory.name)
        self.program.start()
        await wait_for_port(self.front, _START_TIME_S)
        async with curio.timeout_after(_START_TIME_S):
            while await self.get_status(self.ready, "/") != 200:
                await curio.sleep(0.05)
        await self.check_ordinary_request()
        self.tasks.append(await curio.spawn(self._sample, daemon=True))
        return self

    async def __aexit__(self, *args):
        for task in self.tasks:
            await task.cancel()
        for sock in self.socks:
            await sock.close()
        await self.program.kill()
        await self.large.__aexit__()
        await self.plain.server.close()
        await self.store.stop()
        self._directory.cleanup()

    def _make_document(self):
        document = make_document()
        route = next(r for r in document["routes"] if r["name"] == "stock")
        route["timeout_ms"] = 4000
        added = {"name": "large", "prefix": "/large/", "service": "large"}
        document["routes"].append({**route, **added})
        document["services"].append({"name": "large", "max_connections": 100})
        document["limits"] = {
            "max_header_bytes": MAX_HEADER_BYTES,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": HEADER_TIMEOUT_S * 1000,
            "idle_timeout_ms": 60_000,
        }
        return document

    async def _sample(self):
        while True:
            self.peak_fds = max(self.peak_fds, self.count_fds())
            await curio.sleep(_SAMPLING_PERIOD_S)

    def count_fds(self):
        """Return how many descriptors the process has open."""
        try:
            return len(list(Path(f"/proc/{self.program.pid}/fd").iterdir()))
        except OSError:
            return 0

    def read_peak_memory(self):
        """Return the peak of the resident memory of the process, in bytes."""
        status = Path(f"/proc/{self.program.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024

    async def open_crowd(self, send, count=CROWD, port=None):
        """Open connections that stay open, and let each client send its part.

        :param send: called with the socket and the number of the client.
        """
        tasks = [
            await curio.spawn(self._run_client, send, number, port or self.front)
            for number in range(count)
        ]
        self.tasks.extend(tasks)
        async with curio.ignore_after(_CROWD_TIME_S):
            for task in tasks:
                await task.wait()

    async def _run_client(self, send, number, port):
        try:
            sock = curio.socket.socket()
            # A client that does not read soon holds up the daemon.
            sock.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_RCVBUF, 4096)
            self.socks.append(sock)
            await sock.connect(("127.0.0.1", port))
            await send(sock, number)
        except OSError:
            # The daemon may close the connection at any time.
            return

    async def get_status(self, port, path):
        """Return the status of the answer to a GET request on a new connection."""
        async with curio.timeout_after(_ANSWER_TIME_S):
            sock = await curio.open_connection("127.0.0.1", port)
            async with sock:
                await sock.sendall(
                    b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n" % path.encode()
                )
                return int((await sock.recv(4096)).split()[1])

    async def check_ordinary_request(self):
        """Check that one request on a new connection is answered with 200."""
        sock = await curio.open_connection("127.0.0.1", self.front)
        async with sock:
            answer = await exchange(
                sock,
                "/stock/ordinary",
                request_id="ordinary",
                time_limit_s=_ANSWER_TIME_S,
            )
        assert answer.status == 200, answer

    async def check_process(self, max_fds=MAX_FDS):
        """Check that the process lives, within its bounds, and serves a request."""
        assert self.program.is_running
        await self.check_ordinary_request()
        assert self.program.is_running
        memory, peak_fds = self.read_peak_memory(), self.peak_fds
        assert peak_fds <= max_fds, (peak_fds, memory)
        assert memory <= MEMORY_MB * 1_000_000, (peak_fds, memory)


def make_head(number, *fields, path="stock"):
    """Return the head of a legal request, without the empty line at its end.

    :param fields: further lines.
    """
    lines = [
        b"POST /%s/%d HTTP/1.1" % (path.encode(), number),
        b"host: " + HOST.encode(),
        b"request-id: crowd-%d" % number,
        b"authorization: Token " + KEY.encode(),
        *fields,
    ]
    return b"\r\n".join(lines) + b"\r\n"
