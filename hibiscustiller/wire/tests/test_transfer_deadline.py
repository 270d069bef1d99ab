"""The time of answers that are large or arrive slowly."""

import sys
from datetime import timedelta

import curio
import curio.socket

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient, TransferDeadline, TransferLimits

SECOND = timedelta(seconds=1)
LIMITS = TransferLimits(0.2 * SECOND, 10_000)


async def request(parts, gap_s):
    """Request an answer that arrives in parts, and return its body.

    The whole of it takes longer than the timeout of the request.
    """
    size = sum(len(part) for part in parts)

    async def serve():
        sock, _ = await listener.accept()
        async with sock:
            await sock.recv(65536)
            await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
            for part in parts:
                await curio.sleep(gap_s)
                await sock.sendall(part)

    listener = curio.tcp_server_socket("127.0.0.1", 0)
    address = Address("127.0.0.1", listener.getsockname()[1])
    server = await curio.spawn(serve)
    try:
        client = HttpClient(SystemClock())
        answer = await client.request(
            address, "GET", "/", timeout=0.2 * SECOND, transfer=LIMITS
        )
        return answer.body
    finally:
        await server.cancel()
        await listener.close()


async def test_an_answer_that_keeps_arriving_is_not_given_up():
    """Guards against a constant time for answers that share a link with others."""
    parts = [b"x" * 4000] * 10
    assert await request(parts, 0.05) == b"".join(parts)


async def test_a_byte_now_and_then_does_not_keep_a_read_alive():
    """Guards against reads without end of an answer that makes no progress."""
    began_at = await curio.clock()
    try:
        await request([b"x"] * 100, 0.05)
    except TransportError:
        assert await curio.clock() - began_at < 1.0
    else:
        raise AssertionError("the answer was read to its end")


def test_a_deadline_moves_with_the_bytes():
    """Guards against a stalled answer that lives on what it sent before."""
    deadline = TransferDeadline(LIMITS, 0 * SECOND)
    assert deadline.at == 0.2 * SECOND
    deadline.record(0.1 * SECOND, 100)
    # The average rate bounds it.
    assert deadline.at == 0.21 * SECOND
    deadline.record(0.2 * SECOND, 50_000)
    # The pause bounds it, however much has arrived.
    assert deadline.at == 0.4 * SECOND


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
