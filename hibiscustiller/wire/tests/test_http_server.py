"""The HTTP server against clients that are wrong, slow, greedy or gone."""

import json
import re
import socket
import sys
import tracemalloc
from collections import Counter
from dataclasses import replace
from datetime import timedelta

import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.settings import Address
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import BodyMemory, HttpLimits, HttpServer
from hibiscustiller.wire._deadlines import wait_at_most
from hibiscustiller.wire._http_server import _discard_input

LIMITS = HttpLimits(
    max_connections=5,
    max_header_bytes=1024,
    max_body_bytes=2000,
    read_timeout=timedelta(milliseconds=300),
    idle_timeout=timedelta(milliseconds=300),
    write_timeout=timedelta(milliseconds=300),
)
GOOD = b"GET /echo HTTP/1.1\r\nhost: a\r\n\r\n"


class Bench:
    """A server whose handler echoes, parses, streams without end or waits."""

    def __init__(self, limits=LIMITS):
        self.requests = []
        self.cancelled = 0
        self.server = HttpServer(Address("127.0.0.1", 0), self.handle, limits, "test")

    async def __aenter__(self):
        await self.server.start()
        return self

    async def __aexit__(self, *args):
        await self.server.close()

    async def handle(self, request, responder):
        self.requests.append(request)
        if request.path == "/json":
            try:
                request.read_json()
            except ValueError:
                await responder.send_json(400, {"error": "no JSON"})
                return
        elif request.path == "/stream":
            await responder.start(200, "text/event-stream")
            while True:
                await responder.send_part(b"x" * 65536)
        elif request.path == "/parts":
            await responder.start(200, "text/plain")
            for part in (b"one", b"", b"two" * 10):
                await responder.send_part(part)
            await responder.finish()
            return
        elif request.path.startswith("/fields/"):
            status, length = request.path.removeprefix("/fields/").split("-")
            described = length.encode() or None
            await responder.send_fields(int(status), [], b"", described)
            return
        elif request.path == "/wait":
            try:
                await curio.sleep(30)
            except curio.CancelledError:
                self.cancelled += 1
                raise
        await responder.send(200, request.body or b"ok", "text/plain")

    async def connect(self):
        address = self.server.address
        return await curio.open_connection(address.host, address.port)

    async def exchange(self, data, pause=0.0):
        """Send bytes, then read until the server closes or falls silent."""
        sock = await self.connect()
        async with sock:
            try:
                if pause:
                    for byte in data:
                        await sock.sendall(bytes([byte]))
                        await curio.sleep(pause)
                else:
                    await sock.sendall(data)
            except OSError:
                pass
            return await read_all(sock)

    async def check_unharmed(self):
        answer = await self.exchange(GOOD)
        assert answer.startswith(b"HTTP/1.1 200"), answer
        assert self.server.busy_count == 0


async def read_all(sock):
    parts = []

    async def read():
        while data := await sock.recv(65536):
            parts.append(data)

    try:
        await curio.timeout_after(2, read())
    except (OSError, curio.TaskTimeout):
        pass
    return b"".join(parts)


async def test_answers_without_a_body_pass_on_its_length():
    """Guards against a length of 0 for what the server says has another, and in 204."""
    cases = (
        (b"HEAD", "200-17", b"17"),
        (b"GET", "304-17", b"17"),
        (b"GET", "304-", None),
        (b"GET", "204-17", None),
        (b"HEAD", "204-", None),
        (b"GET", "200-17", b"0"),
    )
    async with Bench() as bench:
        for method, path, expected in cases:
            answer = await bench.exchange(make_get(f"/fields/{path}".encode(), method))
            assert answer.startswith(b"HTTP/1.1 " + path[:3].encode()), answer
            found = re.search(rb"content-length: (\d+)", answer.lower())
            length = None if found is None else found[1]
            assert length == expected, (method, path, answer)


def make_post(body, extra=b"", path=b"/echo"):
    length = str(len(body)).encode()
    head = b"POST " + path + b" HTTP/1.1\r\nhost: a\r\n" + extra
    return head + b"content-length: " + length + b"\r\n\r\n" + body


def make_head(header):
    return b"POST /echo HTTP/1.1\r\nhost: a\r\n" + header + b"\r\n\r\n"


def make_get(target, method=b"GET"):
    return method + b" " + target + b" HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


CHUNKED = make_head(b"transfer-encoding: chunked")

# What the client sends, and the status of the answer; None for a plain close.
BAD_REQUESTS = {
    "no HTTP": (b"hello\r\n\r\n", 400),
    "no version": (b"GET /echo\r\nhost: a\r\n\r\n", 400),
    "control bytes": (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
    "no host": (b"GET /echo HTTP/1.1\r\n\r\n", 400),
    "two hosts": (b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
    "bad header": (b"GET /echo HTTP/1.1\r\nhost: a\r\nno colon\r\n\r\n", 400),
    "NUL in header": (b"GET /echo HTTP/1.1\r\nhost: a\r\nx: \0\r\n\r\n", 400),
    "NUL in target": (b"GET /\0 HTTP/1.1\r\nhost: a\r\n\r\n", 400),
    "encoded NUL": (make_get(b"/a%00b"), 400),
    "encoded line break": (make_get(b"/a%0d%0ab"), 400),
    "bad percent": (make_get(b"/%zz"), 400),
    "cut percent": (make_get(b"/a%2"), 400),
    "bad percent in query": (make_get(b"/a?b=%g1"), 400),
    "no UTF-8": (make_get(b"/%ff%fe"), 400),
    "bad IPv6 target": (make_get(b"//[::1"), 400),
    "many query fields": (make_get(b"/a?" + b"&".join([b"a=1"] * 200)), 400),
    "unknown method": (make_get(b"/echo", b"BREW"), 400),
    "connect": (make_get(b"a:1", b"CONNECT"), 400),
    "large line": (make_get(b"/" + b"a" * 5000), 431),
    "large header": (make_head(b"x: " + b"a" * 5000), 431),
    "header without end": (b"GET / HTTP/1.1\r\nx: " + b"a" * 5000, 431),
    "declared too large": (make_post(b"a" * 2001), 413),
    "chunked too large": (CHUNKED + b"7d1\r\n" + b"a" * 2001 + b"\r\n0\r\n\r\n", 413),
    "chunk without end": (CHUNKED + b"1\r\na\r\n" * 2500, 413),
    "huge declared length": (make_head(b"content-length: " + b"9" * 20), 413),
    "length of many digits": (make_head(b"content-length: " + b"9" * 900), 400),
    "negative length": (make_head(b"content-length: -1"), 400),
    "two lengths": (make_post(b"ab", b"content-length: 1\r\n"), 400),
    "bad chunk": (CHUNKED + b"zz\r\n", 400),
    "unknown coding": (make_head(b"transfer-encoding: gzip"), 400),
    "truncated body": (make_post(b"abc")[:-1], 408),
    "truncated head": (b"GET / HT", 408),
    "silent": (b"", None),
    "deep JSON": (make_post(b"[" * 1900, path=b"/json"), 400),
    "invalid JSON": (make_post(b"{]", path=b"/json"), 400),
    "JSON of bad bytes": (make_post(b"\xff\xfe\xfa", path=b"/json"), 400),
}


async def test_bad_requests_get_a_clear_answer():
    """Guards against bad input that hangs, crashes or reaches a handler."""
    async with Bench() as bench:
        for name, (data, status) in BAD_REQUESTS.items():
            answer = await bench.exchange(data)
            if status is None:
                assert answer == b"", (name, answer)
            else:
                start = f"HTTP/1.1 {status}".encode()
                assert answer.startswith(start), (name, answer)
            if answer and b"no JSON" not in answer:
                error = json.loads(answer.partition(b"\r\n\r\n")[2])["error"]
                assert error["verdict"] == "not-run", name
                assert len(answer) < 2000, name
        assert all(request.path == "/json" for request in bench.requests)
        await bench.check_unharmed()


async def test_slow_clients_are_cut_off_and_harm_nobody():
    """Guards against clients that hold a connection by a byte now and then."""
    async with Bench() as bench:
        slow = [
            await curio.spawn(bench.exchange, make_post(b"a" * 50), 0.02)
            for _ in range(3)
        ]
        await bench.check_unharmed()
        for task in slow:
            assert (await task.join()).startswith(b"HTTP/1.1 408")


async def test_client_that_stops_reading_is_dropped():
    """Guards against a stream that is buffered without bound for a stalled client."""
    async with Bench() as bench:
        tracemalloc.start()
        sock = await bench.connect()
        async with sock:
            await sock.sendall(make_get(b"/stream"))
            await curio.sleep(0.2)
            assert bench.server.busy_count == 1
            await bench_until(lambda: bench.server.busy_count == 0)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < 4 << 20, peak
        await bench.check_unharmed()


async def bench_until(condition):
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.01)


async def test_disconnected_client_cancels_its_handler():
    """Guards against work that goes on for a caller that is gone."""
    async with Bench() as bench:
        waiting = await bench.connect()
        await waiting.sendall(make_get(b"/wait"))
        gone = await bench.connect()
        await gone.sendall(make_get(b"/wait"))
        await bench_until(lambda: bench.server.busy_count == 2)
        await gone.close()
        await bench_until(lambda: bench.cancelled == 1)
        await curio.sleep(0.3)
        assert (bench.cancelled, bench.server.busy_count) == (1, 1)
        await waiting.close()
        await bench_until(lambda: bench.server.busy_count == 0)
        await bench.check_unharmed()


async def test_pipelined_requests_are_answered_in_order():
    """Guards against lost or mixed answers when requests arrive together."""
    async with Bench() as bench:
        bodies = [f"body {index}".encode() for index in range(20)]
        answer = await bench.exchange(b"".join(make_post(body) for body in bodies))
        found = [part for part in answer.split(b"\r\n") if part.startswith(b"body")]
        found = [part.partition(b"HTTP")[0] for part in found]
        assert found == bodies, answer


async def test_older_and_bodiless_requests_are_answered():
    """Guards against HTTP/1.0 clients that wait and HEAD answers with a body."""
    async with Bench() as bench:
        answer = await bench.exchange(b"GET /echo HTTP/1.0\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"ok")
        answer = await bench.exchange(make_get(b"/echo", b"HEAD"))
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"\r\n\r\n")
        async with await bench.connect() as sock:
            head = make_post(b"abc", b"expect: 100-continue\r\n")[:-3]
            await sock.sendall(head)
            assert (await sock.recv(1000)).startswith(b"HTTP/1.1 100")
            await sock.sendall(b"abc")
            assert (await sock.recv(1000)).endswith(b"abc")


async def test_excess_connections_are_refused():
    """Guards against connections that use up memory or starve earlier ones."""
    async with Bench() as bench:
        socks = [await bench.connect() for _ in range(30)]
        await curio.sleep(0.05)
        await socks[0].sendall(GOOD)
        assert (await socks[0].recv(1000)).startswith(b"HTTP/1.1 200")
        refused = (await socks[6].recv(1000)).lower()
        assert refused.startswith(b"http/1.1 429") and b"retry-after: 1" in refused
        assert await socks[25].recv(1000) == b""
        for sock in socks:
            await sock.close()
        await bench_until(lambda: not bench.server._tasks)
        await bench.check_unharmed()


async def test_tiny_chunks_use_bounded_memory():
    """Guards against a body whose many parts take far more memory than its bytes."""
    size = 100_000
    async with Bench(HttpLimits(max_body_bytes=size)) as bench:
        data = CHUNKED + b"2\r\nab\r\n" * (size // 2) + b"0\r\n\r\n"
        tracemalloc.start()
        task = await curio.spawn(bench.exchange, data)
        await bench.check_unharmed()
        await bench_until(lambda: len(bench.requests) == 2)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await task.cancel()
        assert len(bench.requests[1].body) == size
        # The client's own copies and the body are about ten times the body.
        assert peak < 30 * size, peak


PATIENT_LIMITS = replace(LIMITS, read_timeout=timedelta(seconds=8))


async def test_unfinished_requests_give_way_to_new_ones():
    """Guards against unfinished requests that take all places of a server."""
    counts = Counter()
    async with Bench(PATIENT_LIMITS) as bench:
        bench.server.count_event = lambda name: counts.update([name])
        unfinished = []
        for _ in range(12):
            unfinished.append(await bench.connect())
            await unfinished[-1].sendall(GOOD[:-4])
            await curio.sleep(0.01)
        # Three of five places may be taken by them; the oldest are ended first.
        refused = (await unfinished[0].recv(1000)).lower()
        assert refused.startswith(b"http/1.1 429") and b"not-run" in refused
        await bench.check_unharmed()
        assert counts["connections.ended.unfinished"] == 9, counts
        await unfinished[11].sendall(GOOD[-4:])
        assert (await unfinished[11].recv(1000)).startswith(b"HTTP/1.1 200")
        for sock in unfinished:
            await sock.close()


async def test_idle_connections_give_way_before_unfinished_requests():
    """Guards against idle connections that are kept at the cost of requests."""
    async with Bench(PATIENT_LIMITS) as bench:
        idle = [await bench.connect() for _ in range(4)]
        for sock in idle:
            await sock.sendall(GOOD)
            await sock.recv(1000)
        unfinished = await bench.connect()
        await unfinished.sendall(GOOD[:-4])
        await bench.check_unharmed()
        assert await idle[0].recv(1000) == b""
        await unfinished.sendall(GOOD[-4:])
        assert (await unfinished.recv(1000)).startswith(b"HTTP/1.1 200")
        for sock in [*idle, unfinished]:
            await sock.close()


async def test_requests_sent_ahead_count_as_memory():
    """Guards against memory for requests that wait behind another one."""
    async with Bench() as bench:
        bench.server.memory = BodyMemory(1000, uncounted_bytes=1000)
        answer = await bench.exchange(GOOD * 500)
        assert answer.startswith(b"HTTP/1.1 429"), answer
        assert bench.server.memory.used_bytes == 0
        await bench.check_unharmed()


FRAGMENTS = st.sampled_from(
    [
        b"GET ",
        b"POST ",
        b"/echo",
        b"%",
        b"?a=%",
        b" HTTP/1.1\r\n",
        b" HTTP/9.9\r\n",
        b"\r\n",
        b"\r\n\r\n",
        b"host: a\r\n",
        b"content-length: 3\r\n",
        b"content-length: " + b"1" * 5000,
        b"transfer-encoding: chunked\r\n",
        b"expect: 100-continue\r\n",
        b"upgrade: h2c\r\n",
        b"connection: close\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"\0",
    ]
)
FUZZ_LIMITS = HttpLimits(
    max_header_bytes=8192,
    read_timeout=timedelta(milliseconds=20),
    idle_timeout=timedelta(milliseconds=20),
)


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(st.lists(st.one_of(FRAGMENTS, st.binary(max_size=20)), max_size=14))
def test_random_requests_harm_nobody(parts):
    """Guards against bytes that raise in the server or stop it."""
    curio.run(send_random, b"".join(parts))


async def send_random(data):
    async with Bench(FUZZ_LIMITS) as bench:
        sock = await bench.connect()
        async with sock:
            await sock.sendall(data)
            await sock.shutdown(curio.socket.SHUT_WR)
            answer = await read_all(sock)
        assert answer == b"" or answer.startswith(b"HTTP/1.1 "), answer
        assert not answer.startswith(b"HTTP/1.1 5"), answer
        await bench.check_unharmed()


async def test_parts_are_framed_for_the_version_of_the_client():
    """Guards against an empty part that ends the answer, and chunks to HTTP/1.0."""
    async with Bench() as bench:
        new = await bench.exchange(b"GET /parts HTTP/1.1\r\nhost: a\r\n\r\n")
        old = await bench.exchange(b"GET /parts HTTP/1.0\r\nhost: a\r\n\r\n")
        head = await bench.exchange(b"HEAD /parts HTTP/1.1\r\nhost: a\r\n\r\n")
    new_head, _, new_body = new.partition(b"\r\n\r\n")
    assert b"transfer-encoding: chunked" in new_head.lower(), new
    chunks = b"3\r\none\r\n1e\r\n" + b"two" * 10 + b"\r\n0\r\n\r\n"
    assert new_body == chunks, new
    old_head, _, old_body = old.partition(b"\r\n\r\n")
    assert b"transfer-encoding" not in old_head.lower(), old
    assert old_body == b"one" + b"two" * 10, old
    assert head.endswith(b"\r\n\r\n"), head
    assert head.count(b"\r\n\r\n") == 1, head


async def test_body_with_two_framings_is_refused():
    """Guards against a request hidden in a body that another server ends elsewhere."""
    data = (
        b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n" + GOOD
    )
    async with Bench() as bench:
        answer = await bench.exchange(data)
        assert answer.startswith(b"HTTP/1.1 400")
        assert bench.requests == []


async def send_in_pieces(sock, data, size=700):
    for position in range(0, len(data), size):
        await sock.sendall(data[position : position + size])
        await curio.sleep(0.02)


async def test_raised_limits_hold_for_open_connections():
    """Guards against 431 by limits that were in force when a connection was opened."""
    async with Bench() as bench, await bench.connect() as sock:
        await sock.sendall(GOOD)
        assert (await sock.recv(65536)).startswith(b"HTTP/1.1 200")
        bench.server.limits = replace(LIMITS, max_header_bytes=8000)
        await send_in_pieces(sock, make_head(b"x: " + b"a" * 5000))
        assert (await sock.recv(65536)).startswith(b"HTTP/1.1 200")


async def test_a_head_in_pieces_may_be_as_large_as_one_that_arrives_whole():
    """Guards against 431 for a head whose separators were counted in its size."""
    fields = b"\r\n".join(b"x%d: abcd" % number for number in range(100, 220))
    head = make_head(fields)
    assert len(head) > LIMITS.max_header_bytes
    async with Bench() as bench, await bench.connect() as sock:
        for size in (len(head), 1100):
            await send_in_pieces(sock, head, size)
            answer = await sock.recv(65536)
            assert answer.startswith(b"HTTP/1.1 200"), (size, answer)


async def test_a_drain_answers_connections_that_were_just_accepted():
    """Guards against requests reset at a planned stop that nobody had refused."""
    async with Bench() as bench:
        address = tuple(bench.server.address)
        # Connected without a turn for the server: the kernel has accepted it.
        waiting = socket.create_connection(address)
        waiting.sendall(GOOD)
        late = await bench.connect()
        await curio.sleep(0.02)
        drain = await curio.spawn(bench.server.drain)
        await curio.sleep(0.05)
        # Accepted before the drain, and sent after its begin.
        await late.sendall(GOOD)
        assert (await late.recv(4096)).startswith(b"HTTP/1.1 200")
        await drain.join()
        waiting.settimeout(1)
        assert waiting.recv(4096).startswith(b"HTTP/1.1 200")
        waiting.close()
        await late.close()


async def test_a_drain_takes_what_waits_at_the_listener():
    """Guards against a reset of connections that were never handed to the server."""
    async with Bench() as bench:
        await bench.server._accept_task.cancel()
        waiting = socket.create_connection(tuple(bench.server.address))
        waiting.sendall(GOOD)
        await bench.server.drain()
        waiting.settimeout(1)
        assert waiting.recv(4096).startswith(b"HTTP/1.1 200")
        waiting.close()


class AlwaysReadySocket:
    """A socket whose other side is always ahead, so that receiving never waits."""

    def __init__(self):
        self.count = 0

    async def recv(self, max_bytes):
        self.count += 1
        assert self.count < 1_000_000, "no timeout took effect"
        return b"x"


# Guards against a refused client whose further input is read past the time allowed,
# without a turn for other tasks.
async def test_input_after_a_refusal_is_discarded_for_a_limited_time():
    try:
        await wait_at_most(
            timedelta(milliseconds=50), _discard_input(AlwaysReadySocket())
        )
        raise AssertionError("the input has no end")
    except TimeoutError:
        pass


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
