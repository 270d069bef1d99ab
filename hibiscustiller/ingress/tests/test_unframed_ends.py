"""Answers that end with their connection although their servers run on."""

import re
import sys

import curio

from hibiscustiller.ingress.tests.fixtures import HOST, KEY, RawServer, World
from hibiscustiller.ingress.tests.test_broken_answers import (
    REPORT,
    ScriptedServer,
    make_chunk,
    make_stream,
    use_for_engine,
)
from hibiscustiller.standins._layered_engine import make_event
from hibiscustiller.utils._testing import collect_tests

# Requests allow this many events, and the stand-ins' engines send them.
EVENT_COUNT = 20
BROKEN_COUNT = 3
CHUNKED = b"transfer-encoding: chunked"


def make_events(count, first=0):
    """Return the bytes of events up to a number."""
    return b"".join(make_event(number) for number in range(first, count))


def find_first(request):
    """Return the number of the first event that a request asks for."""
    found = re.search(rb"last-event-id: *(\d+)", request, re.IGNORECASE)
    return int(found[1]) + 1 if found else 0


class StreamServer(RawServer):
    """An engine whose streams have no framing; its reports are sound.

    :param event_count: events of its answers; a request that resumes after them gets
        none.
    :param is_chunked: whether it frames its answers all the same.
    :param silent_s: time between the last event and the end of the connection.
    """

    def __init__(self, event_count, *, is_chunked=False, silent_s=0.0):
        super().__init__()
        self.event_count = event_count
        self.is_chunked = is_chunked
        self.silent_s = silent_s
        self.requests = []

    async def serve(self, sock):
        async with sock:
            request = await sock.recv(65536)
            if request.startswith(b"GET /report"):
                await sock.sendall(REPORT)
                return
            if not request:
                return
            self.requests.append(request)
            found = re.search(rb"request-id: *(\S+)", request, re.IGNORECASE)
            events = make_events(self.event_count, find_first(request))
            if self.is_chunked:
                chunks = make_chunk(events) if events else b""
                await sock.sendall(make_stream(found[1], chunks, CHUNKED))
                await sock.sendall(b"0\r\n\r\n")
                return
            await sock.sendall(make_stream(found[1], events))
            await curio.sleep(self.silent_s)


async def use_engines(world, *servers):
    """Let servers answer at the addresses of the engines, in their order."""
    world.hold_all_layers(*world.engines)
    await world.wait_for_pipelines(len(world.engines))
    for engine, server in zip(world.engines, servers, strict=False):
        await use_for_engine(world, engine.id, server)


# Guards against a stream that ends as complete before its last event: its engine has
# closed the connection between two events, and runs on.
async def test_a_stream_that_a_running_engine_breaks_off_goes_on_elsewhere():
    async with World(("e0", "e1"), ("north", "east")) as world:
        async with StreamServer(BROKEN_COUNT) as server:
            await use_engines(world, server)
            for number in range(4):
                answer = await world.request(f"/chat/{number}")
                assert answer.is_complete, answer
                assert answer.body == make_events(EVENT_COUNT), answer.body
            assert server.requests


# Guards against the same end where each engine that is asked breaks the stream off.
async def test_a_stream_that_all_engines_break_off_is_not_complete():
    async with World(("e0", "e1"), ("north", "east")) as world:
        async with StreamServer(BROKEN_COUNT) as first, StreamServer(5) as second:
            await use_engines(world, first, second)
            for number in range(4):
                answer = await world.request(f"/chat/{number}")
                assert not answer.is_complete, answer


# Guards against the same end of a stream that cannot be resumed: a later stage of its
# pipeline was lost, so that its engine was silent before it closed the connection.
async def test_a_stream_that_stalled_before_its_end_is_not_complete():
    async with World(("e0", "e1"), ("north", "east")) as world:
        async with (
            StreamServer(BROKEN_COUNT, silent_s=0.6) as first,
            StreamServer(BROKEN_COUNT, silent_s=0.6) as second,
        ):
            await use_engines(world, first, second)
            answer = await world.request("/once/1")
            assert answer.body == make_events(BROKEN_COUNT), answer.body
            assert not answer.is_complete, answer


# Guards against whole streams that are taken for broken ones: all events that the
# request allows have arrived, so that no other engine is asked.
async def test_a_stream_with_all_events_that_it_allows_is_complete():
    async with World(("e0", "e1"), ("north", "east")) as world:
        async with (
            StreamServer(EVENT_COUNT) as first,
            StreamServer(EVENT_COUNT) as second,
        ):
            await use_engines(world, first, second)
            for path in ("/chat/1", "/once/1"):
                answer = await world.request(path)
                assert answer.is_complete, (path, answer)
                assert answer.body == make_events(EVENT_COUNT), (path, answer)
            assert len(first.requests) + len(second.requests) == 2


# Guards against whole streams that are taken for broken ones: they have fewer events
# than the request allows, and others agree. Without framing it takes two of them.
async def test_a_shorter_stream_is_complete_if_other_engines_have_no_more_events():
    for is_chunked, count in ((True, 2), (False, 3)):
        names, zones = ("e0", "e1", "e2")[:count], ("north", "east", "north")[:count]
        async with World(names, zones, retry_slack=200.0) as world:
            async with (
                StreamServer(BROKEN_COUNT) as first,
                StreamServer(BROKEN_COUNT, is_chunked=is_chunked) as second,
                StreamServer(BROKEN_COUNT) as third,
            ):
                await use_engines(world, first, second, third)
                for number in range(4):
                    answer = await world.request(f"/chat/{number}")
                    assert answer.is_complete, (is_chunked, answer)
                    assert answer.body == make_events(BROKEN_COUNT), answer.body


# Guards against two engines that break a stream off after the same event, the second
# one before it has sent an event, and so seem to agree on its end.
async def test_two_early_ends_after_the_same_event_are_no_end_of_a_stream():
    async with World(("e0", "e1"), ("north", "east")) as world:
        async with (
            StreamServer(BROKEN_COUNT, silent_s=0.6) as first,
            StreamServer(BROKEN_COUNT, silent_s=0.6) as second,
        ):
            await use_engines(world, first, second)
            answer = await world.request("/chat/1")
            assert answer.body == make_events(BROKEN_COUNT), answer.body
            assert not answer.is_complete, answer


# Guards against whole streams that are cut although nothing else can tell of their end:
# the other engine holds no layers.
async def test_a_stream_is_complete_if_no_other_engine_can_tell():
    async with World(("e0", "e1"), ("north", "east")) as world:
        world.hold_all_layers(world.engines[0])
        await world.wait_for_pipelines(1)
        async with StreamServer(BROKEN_COUNT) as server:
            await use_for_engine(world, "e0", server)
            answer = await world.request("/chat/1")
            assert answer.is_complete, answer


async def receive_all(sock):
    """Return what arrives, and whether the connection was reset at its end."""
    received = b""
    while True:
        try:
            data = await sock.recv(65536)
        except ConnectionResetError:
            return received, True
        if not data:
            return received, False
        received += data


async def send_http_10(world, path):
    """Send a request of HTTP/1.0, whose answer ends with its connection."""
    sock = await world.connect()
    async with sock:
        fields = f"host: {HOST}\r\nauthorization: Token {KEY}\r\nrequest-id: old-1\r\n"
        fields += "deadline-ms: 5000\r\ntoken-usage: 100,20\r\ncontent-length: 2\r\n"
        request = f"POST {path} HTTP/1.0\r\n{fields}\r\n{{}}"
        await sock.sendall(request.encode())
        return await receive_all(sock)


# Guards against a cut stream that looks complete to a caller of HTTP/1.0, whose answers
# have no chunks: only a reset tells it that the end is missing.
async def test_a_cut_stream_resets_the_connection_of_an_http_10_caller():
    async with World(("e0",), ("north",)) as world:
        async with ScriptedServer(
            lambda id, _: make_stream(id, make_chunk(make_events(3)), CHUNKED)
        ) as server:
            await use_engines(world, server)
            received, is_reset = await send_http_10(world, "/once/1")
            assert received.endswith(make_events(3)), received
            assert is_reset
    async with World(("e0",), ("north",)) as world:
        await use_engines(world)
        received, is_reset = await send_http_10(world, "/once/1")
        assert received.endswith(make_events(EVENT_COUNT)), received
        assert not is_reset


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
