"""The HTTP client against servers that send bytes until their caller closes."""

import resource
import sys
from datetime import timedelta

import curio

from hibiscustiller.exceptions import TransportError
from hibiscustiller.standins import DrippingServer, EndlessAnswer, Flood
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient, RawRequest
from hibiscustiller.wire.tests.floods import (
    MAX_PAUSE_S,
    flooding_server,
    measure_pause,
)

TIMEOUT = timedelta(milliseconds=300)
# A loaded machine is late with its timers.
LIMIT_S = 2.0
MAX_BODY_BYTES = 1 << 20
MAX_GROWTH_KB = 64 << 10
REQUEST = RawRequest(b"GET", b"/", ((b"host", b"a"),))


async def read_answer(client, address):
    exchange = await client.open_exchange(
        address, REQUEST, head_timeout=TIMEOUT, is_fresh=False
    )
    try:
        await exchange.read_head(TIMEOUT)
        with client.memory.hold(address) as hold:
            return await exchange.read_body(hold, TIMEOUT, MAX_BODY_BYTES)
    finally:
        await exchange.close()


async def request(client, address):
    return await client.request(address, "GET", "/", timeout=TIMEOUT)


async def open_stream(client, address):
    stream = await client.open_stream(address, "GET", "/", next_byte_timeout=TIMEOUT)
    async with stream:
        raise TransportError("only the head has a limit", None)


async def read_lines(client, address):
    stream = await client.open_stream(address, "GET", "/", next_byte_timeout=TIMEOUT)
    async with stream, curio.timeout_after(TIMEOUT.total_seconds()):
        while True:
            assert await stream.read_line() is not None


async def test_endless_answers_end_within_their_time():
    """Guards against a request that is held for as long as a byte comes now and then.

    Each receive had the whole time anew, and interim answers were not counted.
    """
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for read in (read_answer, request, open_stream):
        for answer in EndlessAnswer:
            for period_s in (0.0, 0.05):
                client = HttpClient(SystemClock())
                async with DrippingServer(answer, period_s) as server:
                    case = (read.__name__, answer, period_s)
                    try:
                        async with curio.timeout_after(LIMIT_S):
                            await read(client, server.address)
                        raise AssertionError(f"accepted: {case}")
                    except curio.TaskTimeout:
                        raise AssertionError(f"held: {case}") from None
                    except (TransportError, TimeoutError):
                        pass
                    assert not client._idle_by_address, case
                    async with curio.timeout_after(LIMIT_S):
                        while server.open_count:
                            await curio.sleep(0.01)
    growth = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    assert growth < MAX_GROWTH_KB


async def test_other_tasks_go_on_beside_an_endless_answer():
    """Guards against a fast sender that takes all of the router's time."""
    client = HttpClient(SystemClock())
    async with DrippingServer(EndlessAnswer.CHUNKS, 0.0) as server:
        task = await curio.spawn(read_answer, client, server.address)
        pauses = []
        while not task.terminated:
            before = await curio.clock()
            await curio.sleep(0.001)
            pauses.append(await curio.clock() - before)
        try:
            await task.join()
        except curio.TaskError as error:
            assert isinstance(error.__cause__, (TransportError, TimeoutError))
        assert max(pauses) < 0.25


# Guards against a sender in another process, which is always ahead of the reader, that
# keeps all other tasks of the router waiting.
async def test_other_tasks_go_on_beside_a_flood():
    for flood in Flood:
        with flooding_server(flood) as address:
            for read in (read_answer, request, read_lines):
                client = HttpClient(SystemClock())
                task = await curio.spawn(read, client, address)
                pause_s = await measure_pause(task, LIMIT_S)
                assert pause_s < MAX_PAUSE_S, (read.__name__, flood, pause_s)
                try:
                    answer = await task.join()
                    raise AssertionError(f"accepted: {read.__name__} {flood} {answer}")
                except curio.TaskError as error:
                    expected = (TransportError, TimeoutError, curio.TaskTimeout)
                    assert isinstance(error.__cause__, expected), (flood, error)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
