"""The HTTP client against servers that are silent, broken or lying."""

import sys
from datetime import timedelta

import curio
import curio.socket

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock, Verdict
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient, RawRequest, set_tcp_options

TIMEOUT = timedelta(milliseconds=200)
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN


class ScriptedServer:
    """Answers each request on a connection by the next bytes of a script.

    None as the answer means silence; b"" closes the connection.
    """

    def __init__(self, *answers, greeting=b""):
        self.answers = list(answers)
        self.greeting = greeting
        self.connections = 0
        self._socket = None
        self._tasks = []

    async def __aenter__(self):
        self._socket = curio.tcp_server_socket("127.0.0.1", 0)
        self.address = Address("127.0.0.1", self._socket.getsockname()[1])
        self._tasks.append(await curio.spawn(self._accept, daemon=True))
        return self

    async def __aexit__(self, *args):
        for task in self._tasks:
            await task.cancel()
        await self._socket.close()

    async def _accept(self):
        while True:
            sock, _ = await self._socket.accept()
            self.connections += 1
            self._tasks.append(await curio.spawn(self._serve, sock, daemon=True))

    async def _serve(self, sock):
        async with sock:
            await sock.sendall(self.greeting)
            while self.answers and await sock.recv(65536):
                answer = self.answers.pop(0)
                if answer is None:
                    await curio.sleep(30)
                if not answer:
                    return
                try:
                    await sock.sendall(answer)
                except OSError:
                    return


def make_answer(head, body=b""):
    return b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + body


# The server's answer to a request, before it closes the connection.
BROKEN_ANSWERS = {
    "silence": None,
    "close": b"",
    "half a head": b"HTTP/1.1 200 OK\r\ncontent-",
    "no HTTP": b"SSH-2.0-server\r\n\r\n",
    "half a body": make_answer(b"content-length: 10", b"half"),
    "bad length": make_answer(b"content-length: x", b"ok"),
    "two lengths": make_answer(b"content-length: 1\r\ncontent-length: 2", b"ok"),
    "half a chunk": make_answer(b"transfer-encoding: chunked", b"a\r\nhalf"),
    "bad chunk": make_answer(b"transfer-encoding: chunked", b"zz\r\n"),
    "large head": make_answer(b"x: " + b"a" * 200_000),
    "large body": make_answer(b"content-length: 9000000", b"a" * 9_000_000),
    "endless body": make_answer(b"connection: close", b"a" * 9_000_000),
}


async def request(client, address, **options):
    answer = await client.request(address, "POST", "/", timeout=TIMEOUT, **options)
    return answer.status, answer.body


async def get_verdict(coroutine):
    try:
        raise AssertionError(f"accepted: {await coroutine!r}")
    except TransportError as error:
        assert "\n" not in str(error)
        return error.verdict


async def test_broken_answers_may_have_run():
    """Guards against a false not-run, a hang or an answer cut short."""
    for name, answer in BROKEN_ANSWERS.items():
        client = HttpClient(SystemClock())
        async with ScriptedServer(answer) as server:
            verdict = await get_verdict(request(client, server.address))
            assert verdict is MAY_HAVE_RUN, name
            assert not client._idle_by_address, name
        await client.close()


async def test_requests_that_never_left_are_not_run():
    """Guards against an order that stays in doubt although no byte was sent."""
    client = HttpClient(SystemClock())
    async with ScriptedServer(OK) as server:
        closed = server.address
        for options in ({"headers": {"x": "a\nb"}}, {"headers": {"bad name": "a"}}):
            verdict = await get_verdict(request(client, server.address, **options))
            assert verdict is NOT_RUN, options
        target = client.request(server.address, "GET", "/a b", timeout=TIMEOUT)
        assert await get_verdict(target) is NOT_RUN
    assert await get_verdict(request(client, closed)) is NOT_RUN


async def test_hook_runs_before_the_first_byte():
    """Guards against a byte that leaves although the hook forbids it."""

    class ForbiddenError(Exception):
        pass

    def forbid():
        raise ForbiddenError

    client = HttpClient(SystemClock())
    async with ScriptedServer(OK) as server:
        try:
            await request(client, server.address, before_send=forbid)
            raise AssertionError("the hook was not called")
        except ForbiddenError:
            await curio.sleep(0.02)
            assert len(server.answers) == 1


async def test_pooled_connection_that_was_closed_is_replaced():
    """Guards against a request lost on a connection that its server closed."""
    client = HttpClient(SystemClock())
    async with ScriptedServer(OK, b"", OK) as server:
        assert await request(client, server.address) == (200, b"ok")
        # The connection dies under the request: its fate is unknown.
        assert await get_verdict(request(client, server.address)) is MAY_HAVE_RUN
        assert await request(client, server.address) == (200, b"ok")
        await curio.sleep(0.02)
        # The server closed after its last answer; the client must see that in time.
        server.answers.append(OK)
        assert await request(client, server.address) == (200, b"ok")
        assert server.connections == 3
    await client.close()


async def test_connections_are_reused_except_by_fresh_requests():
    """Guards against an order on a pooled connection and a pool that is not used."""
    client = HttpClient(SystemClock())
    async with ScriptedServer(*[OK] * 9) as server:
        for _ in range(4):
            await request(client, server.address)
        assert server.connections == 1
        await request(client, server.address, is_fresh=True)
        assert server.connections == 2
    await client.close()


async def test_concurrent_requests_keep_the_pool_consistent():
    """Guards against two tasks that give connections back at the same time."""
    client = HttpClient(SystemClock())
    async with ScriptedServer(*[OK, b""] * 40) as server:

        async def run():
            try:
                await request(client, server.address)
            except TransportError:
                pass

        for _ in range(4):
            tasks = [await curio.spawn(run) for _ in range(20)]
            for task in tasks:
                await task.join()
    await client.close()


async def test_unsolicited_answer_is_not_taken_for_the_next():
    """Guards against an answer that reaches another request."""
    client = HttpClient(SystemClock())
    other = OK.replace(b"ok", b"no")
    async with ScriptedServer(OK + other, OK) as server:
        try:
            assert await request(client, server.address) == (200, b"ok")
        except TransportError as error:
            assert error.verdict is MAY_HAVE_RUN
        await curio.sleep(0.02)
        assert await request(client, server.address) == (200, b"ok")


async def test_probes_of_an_idle_connection_and_unacknowledged_bytes_end_it_alike():
    """Guards against connections that a silence of a second ends.

    The limit on unacknowledged bytes also decides when probes of an idle connection
    give up, whatever their number, so it must not be shorter than they need.
    """
    tcp = curio.socket.IPPROTO_TCP
    async with ScriptedServer(OK) as server:
        sock = await curio.open_connection(server.address.host, server.address.port)
        async with sock:
            set_tcp_options(sock)
            idle_s, interval_s, probes, limit_ms = (
                sock.getsockopt(tcp, option)
                for option in (
                    curio.socket.TCP_KEEPIDLE,
                    curio.socket.TCP_KEEPINTVL,
                    curio.socket.TCP_KEEPCNT,
                    curio.socket.TCP_USER_TIMEOUT,
                )
            )
            assert limit_ms >= 1000 * (idle_s + interval_s * probes)
            assert limit_ms <= 3000


async def test_streams_end_with_the_right_verdict():
    """Guards against a stream cut short that looks complete, and against silence."""
    chunked = b"transfer-encoding: chunked"
    cases = [
        (make_answer(chunked, b"2\r\na\n\r\n0\r\n\r\n"), [b"a"]),
        (make_answer(chunked, b"3\r\na\nb\r\n0\r\n\r\n"), [b"a", b"b"]),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + make_answer(b"content-length: 0"), []),
        (make_answer(chunked, b"2\r\na\n\r\n"), MAY_HAVE_RUN),
        (make_answer(b"content-length: 9", b"a\n"), MAY_HAVE_RUN),
        (make_answer(chunked, b"zz\r\n"), MAY_HAVE_RUN),
        (None, MAY_HAVE_RUN),
        (b"", MAY_HAVE_RUN),
    ]
    for answer, expected in cases:
        client = HttpClient(SystemClock())
        async with ScriptedServer(answer) as server:
            if isinstance(expected, list):
                assert await read_lines(client, server.address) == expected, answer
            else:
                verdict = await get_verdict(read_lines(client, server.address))
                assert verdict is expected, answer


async def read_lines(client, address):
    lines = []
    stream = await client.open_stream(address, "GET", "/", next_byte_timeout=TIMEOUT)
    async with stream:
        while (line := await stream.read_line()) is not None:
            lines.append(line)
    return lines


# Guards against a number that HTTP does not know as a status, which reaches a caller or
# counts as the store's, a router's or an engine's answer.
async def test_statuses_outside_of_http_are_no_answers():
    for status in (b"000", b"099", b"101", b"600", b"700", b"999"):
        answer = b"HTTP/1.1 " + status + b" Odd\r\ncontent-length: 2\r\n\r\nok"
        for read in (read_lines, request_once, read_exchange):
            async with ScriptedServer(answer) as server:
                client = HttpClient(SystemClock())
                verdict = await get_verdict(read(client, server.address))
                assert verdict is MAY_HAVE_RUN, (status, read.__name__)
                assert not client._idle_by_address, (status, read.__name__)


async def request_once(client, address):
    return await client.request(address, "GET", "/", timeout=TIMEOUT)


async def read_exchange(client, address):
    request = RawRequest(b"GET", b"/", ((b"host", b"a"),))
    exchange = await client.open_exchange(
        address, request, head_timeout=TIMEOUT, is_fresh=False
    )
    try:
        await exchange.read_head(TIMEOUT)
    finally:
        await exchange.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
