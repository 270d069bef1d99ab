"""Answers that are broken off, empty, or the refusal of another request."""

import re
import socket
import sys

import curio

from hibiscustiller.ingress.tests.fixtures import RawServer, World
from hibiscustiller.ingress.tests.test_endless_answers import write_plain_entry
from hibiscustiller.standins._layered_engine import make_event
from hibiscustiller.utils._testing import collect_tests

EVENT_COUNT = 3
EVENTS = b"".join(make_event(number) for number in range(EVENT_COUNT))
# What a sound process says of itself; its entry names the same start.
_REPORT = b'{"sequence": 0, "busy": false, "born": 1}'
REPORT = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(_REPORT) + _REPORT


class ScriptedServer(RawServer):
    """A server that answers each request with bytes of the test's choice.

    Its health checks and reports are those of a sound server, as long as it accepts
    connections.

    :param make_answer: returns the bytes for a request's id and its number on the
        connection, from 0.
    :param is_closed: whether the connection is closed after each answer.
    """

    def __init__(self, make_answer, is_closed=True):
        super().__init__()
        self.make_answer = make_answer
        self.report = REPORT
        self.health = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        self.is_closed = is_closed
        self.request_count = 0

    async def serve(self, sock):
        async with sock:
            number = 0
            while request := await sock.recv(65536):
                if request.startswith(b"GET /report"):
                    await sock.sendall(self.report)
                    return
                if request.startswith(b"GET /health"):
                    await sock.sendall(self.health)
                    return
                found = re.search(rb"request-id: *(\S+)", request, re.IGNORECASE)
                self.request_count += 1
                await sock.sendall(self.make_answer(found[1], number))
                number += 1
                if self.is_closed:
                    return


def make_head(request_id, status=b"200 OK", *fields):
    """Return the head of an answer."""
    fields = (b"request-id: " + request_id, b"response-seal: s", *fields)
    return b"HTTP/1.1 " + status + b"\r\n" + b"\r\n".join(fields) + b"\r\n\r\n"


def make_refusal(request_id):
    """Return a statement that a request was not run; without an id if it is None."""
    fields = [b"HTTP/1.1 503 Busy", b"not-executed: 1", b"content-length: 0"]
    if request_id is not None:
        fields.append(b"request-id: " + request_id)
    return b"\r\n".join(fields) + b"\r\n\r\n"


def make_stream(request_id, body=EVENTS, *fields):
    """Return a stream; without a field for its framing it ends with its connection."""
    return (
        make_head(request_id, b"200 OK", b"content-type: text/event-stream", *fields)
        + body
    )


def make_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def break_off(request_id, number):
    """Begin a stream and break it off after its events."""
    return make_stream(request_id, make_chunk(EVENTS), b"transfer-encoding: chunked")


# Heads that a server broke off, and answers after them that are none.
BROKEN_ANSWERS = {
    "nothing": lambda id, number: b"",
    "status line": lambda id, number: b"HTTP/1.1 200 OK\r\n",
    "part of the head": lambda id, number: make_head(id)[:-2],
    "half a field": lambda id, number: make_head(id)[:-9],
    "short body": lambda id, number: (
        make_head(id, b"200 OK", b"content-length: 9") + b"boo"
    ),
    "short chunk": lambda id, number: (
        make_head(id, b"200 OK", b"transfer-encoding: chunked") + b"9\r\nboo"
    ),
}


async def use_only(world, server):
    """Let a server be the only one of the plain service."""
    # Until then the view keeps servers whose entries are missing.
    await curio.sleep(2.4)
    for plain in world.plain:
        world.store.delete(f"servers/{plain.id}")
    write_plain_entry(world, "scripted", server)
    view = world.gateway.view
    await world.wait_until(
        lambda: [s.id for s in view.list_servers("orders")] == ["scripted"]
    )


async def use_for_engine(world, engine_id, server):
    """Let a server answer at the address of an engine."""
    key = f"servers/{engine_id}"
    engine = next(engine for engine in world.engines if engine.id == engine_id)
    value = world.store.items[key].value
    own, other = str(engine.address).encode(), str(server.address).encode()
    world.store.put(key, value.replace(own, other))
    view = world.gateway.view
    await world.wait_until(lambda: view.get_server(engine_id).address == server.address)
    await curio.sleep(0.05)


async def test_a_refusal_of_another_request_is_no_promise():
    """Guards against 'not run' for a booking that a server has run.

    The server writes the refusal of an earlier request once more.
    """
    async with World() as world:
        async with ScriptedServer(
            lambda id, number: make_refusal(b"another")
        ) as server:
            await use_only(world, server)
            for path in ("/book/1", "/stock/1"):
                answer = await world.request(path)
                assert answer.status == 502, (path, answer)


async def test_a_refusal_without_an_id_counts_on_a_new_connection_only():
    """Guards against a late refusal on a kept connection that names no request."""

    def make_answer(request_id, number):
        if number == 0:
            return make_head(request_id, b"200 OK", b"content-length: 6") + b"booked"
        return make_refusal(None)

    async with World() as world, ScriptedServer(make_answer, False) as server:
        await use_only(world, server)
        assert (await world.request("/stock/1")).status == 200
        assert (await world.request("/stock/1")).status == 502
    async with World() as world:
        async with ScriptedServer(lambda id, number: make_refusal(None)) as server:
            await use_only(world, server)
            assert (await world.request("/book/1")).status == 503


async def test_an_answer_after_a_refusal_of_another_request_is_not_used():
    """Guards against the real answer, late, on a connection that is in use again."""

    def make_answer(request_id, number):
        answer = make_head(request_id, b"200 OK", b"content-length: 2")
        return make_refusal(b"another") + answer + request_id[-2:]

    async with World() as world, ScriptedServer(make_answer, False) as server:
        await use_only(world, server)
        for number in range(4):
            answer = await world.request("/stock/1", request_id=f"id-{number:02}")
            assert answer.status == 502, answer


async def test_a_broken_plain_answer_reaches_no_caller():
    """Guards against an answer that was broken off and looks complete."""
    async with World() as world:
        async with ScriptedServer(BROKEN_ANSWERS["nothing"]) as server:
            await use_only(world, server)
            for name, make_answer in BROKEN_ANSWERS.items():
                server.make_answer = make_answer
                for path in ("/book/1", "/stock/1"):
                    answer = await world.request(path)
                    assert answer.status == 502, (name, path, answer)


def fail(status, *fields):
    """Return a function that makes a sealed failure with a body."""
    fields = (*fields, b"content-length: 5")
    return lambda id, number: make_head(id, status, *fields) + b"error"


AFTER_BREAK = {
    **BROKEN_ANSWERS,
    "failure": fail(b"500 Failed"),
    "failure as a stream": fail(b"500 Failed", b"content-type: text/event-stream"),
    "not found": fail(b"404 Unknown"),
    "no stream": fail(b"200 OK"),
    "unframed failure": lambda id, number: make_head(id, b"500 Failed") + b"error",
    "refusal": lambda id, number: make_refusal(id),
    "no event, unframed": lambda id, number: make_stream(id, b""),
    "no event, chunked": lambda id, number: make_stream(
        id, b"0\r\n\r\n", b"transfer-encoding: chunked"
    ),
    "no event, with a length": lambda id, number: make_stream(
        id, b"", b"content-length: 0"
    ),
    "half an event": lambda id, number: make_stream(id, b"id: 3\nda"),
    "other events": lambda id, number: make_stream(id, make_event(7)),
}


async def test_a_broken_stream_stays_whole_when_the_next_engine_fails():
    """Guards against error text in a stream, or an end that looks complete."""
    async with World(("e0", "e1"), ("north", "east")) as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(2)
        async with (
            ScriptedServer(break_off) as first,
            ScriptedServer(break_off) as second,
        ):
            await use_for_engine(world, "e0", first)
            await use_for_engine(world, "e1", second)
            for name, make_answer in AFTER_BREAK.items():

                def answer_once(id, number, make_answer=make_answer):
                    # Only the first attempt begins a stream, wherever it goes.
                    if first.request_count + second.request_count == 1:
                        return break_off(id, number)
                    return make_answer(id, number)

                first.request_count = second.request_count = 0
                first.make_answer = second.make_answer = answer_once
                answer = await world.request("/chat/1")
                assert answer.status == 200, (name, answer)
                if name.startswith("no event"):
                    # Two engines agree that nothing is left.
                    assert answer.body == EVENTS, (name, answer)
                    continue
                assert answer.body == EVENTS, (name, answer)
                assert not answer.is_complete, (name, answer)


async def test_one_engine_without_events_does_not_end_a_broken_stream():
    """Guards against a stream that ends as complete before its last event."""
    for path in ("/chat/1", "/once/1"):
        async with World(("e0",), ("north",)) as world:
            world.hold_all_layers(*world.engines)
            await world.wait_for_pipelines(1)
            async with ScriptedServer(break_off) as server:
                await use_for_engine(world, "e0", server)

                def make_answer(id, number, server=server):
                    if server.request_count == 1:
                        return break_off(id, number)
                    return make_stream(id, b"")

                server.make_answer = make_answer
                answer = await world.request(path)
                assert not answer.is_complete, (path, answer)
                assert server.request_count <= 3, server.request_count


async def test_unframed_streams_are_complete_at_the_end_of_their_connection():
    """Guards against streams without a length or chunks that are taken for broken."""

    def make_answer(request_id, number):
        return make_stream(request_id, EVENTS)

    async with World(("e0",), ("north",)) as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(1)
        async with ScriptedServer(make_answer) as server:
            await use_for_engine(world, "e0", server)
            for path in ("/chat/1", "/once/1"):
                answer = await world.request(path)
                assert (answer.body, answer.is_complete) == (EVENTS, True), path


async def test_an_unframed_stream_of_a_crashed_engine_is_not_complete():
    """Guards against the end of a process that looks like the end of a stream."""
    async with World(("e0", "e1"), ("north", "east")) as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(2)
        async with ScriptedServer(lambda id, number: b"") as server:
            await use_for_engine(world, "e0", server)

            def make_answer(request_id, number):
                # Connections are refused from now on, as by a host without the process.
                server.socket._socket.shutdown(socket.SHUT_RD)
                return make_stream(request_id, EVENTS)

            server.make_answer = make_answer
            for number in range(8):
                answer = await world.request(f"/chat/{number}")
                assert answer.is_complete
                assert answer.body.count(b"id:") == 20, answer.body


async def test_an_unframed_answer_of_a_crashed_server_reaches_no_caller():
    """Guards against a part of an answer that looks whole, as its server crashed.

    Without a crash such an answer is complete at the end of its connection.
    """
    async with World() as world:
        async with ScriptedServer(lambda id, number: make_head(id) + b"boo") as server:
            await use_only(world, server)
            for path in ("/book/1", "/stock/1"):
                answer = await world.request(path)
                assert (answer.status, answer.body) == (200, b"boo"), (path, answer)

            def make_answer(request_id, number):
                server.socket._socket.shutdown(socket.SHUT_RD)
                return make_head(request_id) + b"boo"

            server.make_answer = make_answer
            answer = await world.request("/book/1")
            assert answer.status == 502, answer


# Guards against a status that HTTP does not know, which reaches a caller.
async def test_answers_with_odd_statuses_reach_no_caller():
    async with World() as world:
        async with ScriptedServer(lambda id, _: b"") as server:
            await use_only(world, server)
            for status in (b"000", b"099", b"600", b"999"):
                server.make_answer = lambda id, _, status=status: make_head(
                    id, status + b" Odd", b"content-length: 0"
                )
                for path in ("/book/1", "/stock/1"):
                    answer = await world.request(path)
                    assert answer.status == 502, (status, path, answer)


# Guards against such an answer in place of a stream.
async def test_odd_statuses_in_place_of_streams_reach_no_caller():
    async with World(("e0", "e1"), ("north", "east")) as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(2)
        async with ScriptedServer(lambda id, _: b"") as server:
            await use_for_engine(world, "e0", server)
            for status in (b"000", b"600", b"999"):
                server.make_answer = lambda id, _, status=status: make_head(
                    id, status + b" Odd", b"content-length: 0"
                )
                for number in range(3):
                    answer = await world.request(f"/once/{number}")
                    assert answer.status in (200, 502), (status, answer)


# What the process says, or does not say, after its answers without framing have ended.
ENDED_PROCESSES = {
    "connections are accepted and closed": (b"", b""),
    "another process answers": (
        REPORT.replace(b'"born": 1', b'"born": 2'),
        b"HTTP/1.1 200 OK\r\ninstance-id: other\r\ncontent-length: 0\r\n\r\n",
    ),
}


# Guards against a stream that ends as complete before its last event: the kernel of an
# ending process still accepts connections, or a later process has its address.
async def test_a_stream_is_complete_only_if_its_process_still_answers():
    for name, (report, _) in ENDED_PROCESSES.items():
        async with World(("e0", "e1"), ("north", "east")) as world:
            world.hold_all_layers(*world.engines)
            await world.wait_for_pipelines(2)
            async with ScriptedServer(lambda id, _: make_stream(id)) as server:
                await use_for_engine(world, "e0", server)
                server.report = report
                for number in range(4):
                    answer = await world.request(f"/chat/{number}")
                    assert answer.is_complete, (name, answer)
                    assert answer.body.count(b"id:") == 20, (name, answer)
                    once = await world.request(f"/once/{number}")
                    is_whole = once.body.count(b"id:") == 20
                    assert once.is_complete == is_whole, (name, once)
                assert server.request_count, name


# Guards against a part of an answer that reaches its caller as whole, for the same
# reasons.
async def test_an_answer_is_whole_only_if_its_process_still_answers():
    async with World() as world:
        async with ScriptedServer(lambda id, _: make_head(id) + b"boo") as server:
            await use_only(world, server)
            for name, (_, server.health) in ENDED_PROCESSES.items():
                answer = await world.request("/book/1")
                assert answer.status == 502, (name, answer)


# Guards against a part of an answer that is no stream, on a route of streams.
async def test_an_answer_that_is_no_stream_is_whole_only_if_its_process_answers():
    async with World(("e0",), ("north",)) as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(1)
        async with ScriptedServer(
            lambda id, _: make_head(id, b"404 Unknown") + b"half"
        ) as server:
            await use_for_engine(world, "e0", server)
            answer = await world.request("/once/1")
            assert (answer.status, answer.body) == (404, b"half"), answer
            server.report = b""
            answer = await world.request("/once/2")
            assert answer.status == 502, answer


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
