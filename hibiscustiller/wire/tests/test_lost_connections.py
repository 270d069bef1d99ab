"""Connections that the kernel gives up while an answer is read."""

import errno
import sys
from collections import deque
from datetime import timedelta

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient, RawRequest

HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\n"
TIMEOUT = timedelta(seconds=1)


class LostSocket:
    """A socket of a connection without acknowledgements.

    The kernel reports the error once, and the end of the connection from then on.

    :param received: bytes that arrive before that.
    """

    def __init__(self, received):
        error = TimeoutError(errno.ETIMEDOUT, "Connection timed out")
        self.outcomes = deque([received, error])

    def setsockopt(self, *args):
        pass

    async def sendall(self, data):
        pass

    async def recv(self, size):
        outcome = self.outcomes.popleft() if self.outcomes else b""
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def close(self):
        pass


# Guards against a part of an answer that looks whole: the error of the kernel has the
# class of a time-out, after which a caller reads again and meets the connection's end.
async def test_a_connection_that_the_kernel_gives_up_is_no_end_of_an_answer():
    async def connect(address, timeout):
        return LostSocket(HEAD + b"half an answer")

    client = HttpClient(SystemClock(), connect=connect)
    exchange = await client.open_exchange(
        Address("127.0.0.1", 1),
        RawRequest(b"GET", b"/", ((b"host", b"a"),)),
        head_timeout=TIMEOUT,
        is_fresh=True,
    )
    await exchange.read_head(TIMEOUT)
    assert await exchange.read_part(TIMEOUT) == b"half an answer"
    try:
        part = await exchange.read_part(TIMEOUT)
    except TransportError as error:
        assert "timed out" in str(error), error
    else:
        raise AssertionError(f"the answer went on with {part!r}")


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
