"""Memory of a router beside many bodies that do not end, at the same time."""

import gc
import random
import re
import sys
import time
from dataclasses import replace
from pathlib import Path

import curio

from hibiscustiller.ingress import Gateway
from hibiscustiller.ingress._exposition import ExposedMetrics
from hibiscustiller.ingress.tests.fixtures import (
    HOST,
    KEY,
    RawServer,
    World,
    make_document,
    make_settings,
)
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import open_connection

MB = 1_000_000
# The limit of the router's process.
MEMORY_BYTES = 96 * MB
ENDLESS_COUNT = 40
# Sound answers beside them, and the size of each in MB.
LARGE_COUNT = 3
SOUND_PARTS = 4
MAX_REQUEST_BYTES = 8 << 20
PART = b"x" * (1 << 18)
TIMEOUT_S = 3.0
# An answer must arrive within half a second after the route's timeout.
MAX_ANSWER_TIME_S = TIMEOUT_S + 0.5
_REQUEST_ID = re.compile(rb"request-id: *(\S+)", re.IGNORECASE)
HEADS = {
    "chunked": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\n",
    "failure": b"HTTP/1.1 500 Failed\r\n",
    # Its length is that of a large sound answer.
    "announced": b"HTTP/1.1 200 OK\r\ncontent-length: 8000000\r\n",
}


class LargeAnswerServer(RawServer):
    """Sends 7 MB at once and then slowly more, until the caller closes.

    :param kind: key of ``HEADS``.
    :param is_sound: whether the body ends after the first 4 MB instead.
    """

    def __init__(self, kind, is_sound=False):
        super().__init__()
        self.kind = kind
        self.is_sound = is_sound
        self.open_count = 0

    def make_part(self, size):
        if self.kind == "chunked":
            return b"%x\r\n" % size + b"x" * size + b"\r\n"
        return b"x" * size

    async def serve(self, sock):
        async with sock:
            request = await sock.recv(65536)
            found = _REQUEST_ID.search(request)
            if not found:
                return
            self.open_count += 1
            try:
                await self.send(sock, found[1])
            except OSError:
                return
            finally:
                self.open_count -= 1

    async def send(self, sock, request_id):
        fields = b"request-id: " + request_id + b"\r\nresponse-seal: s\r\n\r\n"
        await sock.sendall(HEADS[self.kind] + fields)
        part = self.make_part(1 << 20)
        for _ in range(SOUND_PARTS if self.is_sound else 7):
            await sock.sendall(part)
            await curio.sleep(0)
        if self.is_sound:
            await sock.sendall(b"0\r\n\r\n" if self.kind == "chunked" else b"")
            return
        while True:
            await sock.sendall(self.make_part(4096))
            await curio.sleep(0.06)


class SmallWorld(World):
    """A world whose gateway may take little memory, with a service for each server."""

    def __init__(self):
        super().__init__((), (), plain_count=1)

    def _make_gateway(self, name, connect=open_connection):
        settings = replace(make_settings(self.store.address), memory_bytes=MEMORY_BYTES)
        return Gateway(settings, self.clock, random.Random(name), ExposedMetrics())

    async def add_services(self, servers_by_name):
        """Add services, each with one server and with a route of its name.

        :param servers_by_name: servers by the name of their service.
        """
        document = make_document(version=2)
        route = next(r for r in document["routes"] if r["name"] == "book")
        for name, server in servers_by_name.items():
            timeout_ms = int(TIMEOUT_S * 1000)
            added = {"name": name, "prefix": f"/{name}/", "service": name}
            document["routes"].append({**route, **added, "timeout_ms": timeout_ms})
            document["services"].append({"name": name, "max_connections": 100})
            entry = {
                "service": name,
                "address": str(server.address),
                "zone": "north",
                "slots": 100,
                "state": "ready",
                "born": 1,
            }
            self.store.put(f"servers/server-of-{name}", entry)
        self.store.put("op/config", document)
        view = self.gateway.view
        await self.wait_until(
            lambda: (
                view.document.version == 2
                and all(view.list_servers(name) for name in servers_by_name)
            )
        )


async def check_many_answers(kind):
    """Send many requests to a server in trouble, and others beside them."""
    peaks, small, large, times = [], [], [], []

    async def request_endless(number):
        started_at = time.monotonic()
        answer = await world.request(f"/faulty/{number}")
        times.append(time.monotonic() - started_at)
        # The requests may have run.
        assert answer.status in (502, 504), answer

    async def request_others():
        while True:
            small.append((await world.request(f"/book/{len(small)}")).status)
            peaks.append(read_memory())
            await curio.sleep(0.02)

    async def request_large():
        for number in range(LARGE_COUNT):
            answer = await world.request(f"/large/{number}")
            large.append((answer.status, len(answer.body), answer.is_complete))

    async with (
        LargeAnswerServer(kind) as faulty,
        LargeAnswerServer("chunked", is_sound=True) as sound,
        SmallWorld() as world,
    ):
        await world.add_services({"faulty": faulty, "large": sound})
        gc.collect()
        before = read_memory()
        beside = await curio.spawn(request_others, daemon=True)
        async with curio.TaskGroup() as group:
            for number in range(ENDLESS_COUNT):
                await group.spawn(request_endless, number)
            await group.spawn(request_large)
        assert not beside.terminated
        await beside.cancel()
        await world.wait_until(lambda: faulty.open_count == 0)
        assert world.gateway._body_memory.used_bytes == 0
    assert max(peaks) - before < MEMORY_BYTES, (max(peaks), before)
    assert max(times) < MAX_ANSWER_TIME_S, sorted(times)
    assert set(small) == {200}, small
    assert large == [(200, SOUND_PARTS << 20, True)] * LARGE_COUNT, large


async def test_many_chunked_answers_without_end_are_bounded_together():
    """Guards against a router that runs out of memory, with the requests of all."""
    await check_many_answers("chunked")


async def test_many_unframed_answers_without_end_are_bounded_together():
    """Guards against a router that runs out of memory, with the requests of all."""
    await check_many_answers("unframed")


async def test_many_failures_without_end_are_bounded_together():
    """Guards against a router that runs out of memory, with the requests of all."""
    await check_many_answers("failure")


async def test_many_large_answers_of_known_length_are_bounded_together():
    """Guards against a router that runs out of memory, with the requests of all."""
    await check_many_answers("announced")


async def send_endless_body(world, number):
    """Send a large body whose end never comes; return the status of the answer."""
    sock = await world.connect()
    async with sock:
        await sock.sendall(
            b"POST /book/%d HTTP/1.1\r\nhost: %s\r\nrequest-id: large-%d\r\n"
            b"authorization: Token %s\r\ncontent-length: %d\r\n\r\n"
            % (number, HOST.encode(), number, KEY.encode(), MAX_REQUEST_BYTES)
        )
        try:
            for _ in range(MAX_REQUEST_BYTES // len(PART) - 1):
                await sock.sendall(PART)
                await curio.sleep(0)
            answer = await sock.recv(1000)
        except OSError:
            # The router closed the connection while more was sent.
            return 0
    return int(answer.split()[1]) if answer else 0


async def test_many_large_requests_are_bounded_together():
    """Guards against a router that runs out of memory as its callers send much."""
    peaks, small = [], []

    async def request_others():
        while True:
            small.append((await world.request(f"/stock/{len(small)}")).status)
            peaks.append(read_memory())
            await curio.sleep(0.02)

    async with SmallWorld() as world:
        document = make_document(version=2)
        document["limits"]["max_body_bytes"] = MAX_REQUEST_BYTES
        document["limits"]["header_timeout_ms"] = int(TIMEOUT_S * 1000)
        world.store.put("op/config", document)
        await world.wait_until(lambda: world.gateway.view.document.version == 2)
        gc.collect()
        before = read_memory()
        beside = await curio.spawn(request_others, daemon=True)
        async with curio.TaskGroup() as group:
            for number in range(ENDLESS_COUNT):
                await group.spawn(send_endless_body, world, number)
        assert not beside.terminated
        await beside.cancel()
        statuses = set(group.results)
        assert world.gateway._request_memory.used_bytes == 0
        assert not any(
            "large" in str(r.headers_by_name) for r in world.plain[0].requests
        )
    # Those that were not dropped are too slow.
    assert statuses <= {0, 408, 429}, statuses
    assert 429 in statuses, statuses
    assert max(peaks) - before < MEMORY_BYTES, (max(peaks), before)
    assert set(small) == {200}, small


def read_memory():
    """Return the memory of this process, in bytes."""
    status = Path("/proc/self/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) * 1024


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
