"""HTTP/1.1 server: h11 over curio sockets, one task for each connection."""

from __future__ import annotations

import json
import re
import select
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import curio
import curio.socket
import h11

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    Refusal,
    RefusalReason,
    Verdict,
    log_event,
)
from hibiscustiller.wire._deadlines import wait_at_most
from hibiscustiller.wire._memory import BodyHold, BodyMemory
from hibiscustiller.wire._sockets import is_readable, set_tcp_options

_RECEIVE_BYTES = 65536
_DRAIN_POLL_S = 0.02
_ACCEPT_RETRY_S = 0.1
# A client that has just connected sends its request within this time, or a balancer
# keeps the connection for later.
_FIRST_REQUEST_GRACE_S = 0.5
_LISTEN_BACKLOG = 512
# Answers sent to a client that has already broken the protocol get a short wait.
_CLOSING_TIMEOUT = timedelta(seconds=1)
# An engine's stream for a caller that is gone holds capacity at most this much longer.
_DISCONNECT_POLL_SECONDS = 0.25
# Parsing this many parts takes a few milliseconds, after which other tasks get a turn.
_PARTS_PER_TURN = 100
# CONNECT and unknown methods have no meaning for the services behind the router.
_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
# Answers with these statuses have no body, whatever the service behind them sent.
_NO_CONTENT = 204
_BODILESS_STATUSES = (_NO_CONTENT, 304)
_MAX_QUERY_FIELDS = 100
_BAD_ESCAPE = re.compile("%(?![0-9A-Fa-f]{2})")
_MAX_JSON_DEPTH_MESSAGE = "JSON is nested too deeply"


@dataclass(frozen=True)
class HttpLimits:
    """Bounds on one server's connections.

    :param max_connections: connections open at once.
    :param max_header_bytes: bytes of a request's line and headers.
    :param max_body_bytes: bytes of a request's body.
    :param read_timeout: time for a whole request to arrive once it has begun.
    :param idle_timeout: time a connection may stay open between requests.
    :param write_timeout: time for the client to take each part of an answer.
    """

    max_connections: int = 2000
    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    read_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)
    write_timeout: timedelta = timedelta(seconds=10)


@dataclass(frozen=True)
class HttpRequest:
    """One request, its body read in full.

    :param path: path without the query, percent-decoded.
    :param headers_by_name: headers by lower-case name; of a repeated one the last.
    :param query: the query as it was sent, still percent-encoded.
    :param target: path and query exactly as they were sent.
    :param fields: headers in the order in which they were sent, with repeated ones;
        names in lower case.
    """

    method: str
    path: str
    query_by_name: Mapping[str, str]
    headers_by_name: Mapping[str, str]
    body: bytes
    query: str = ""
    target: bytes = b""
    fields: tuple[tuple[bytes, bytes], ...] = ()

    def read_json(self) -> Any:
        """Decode the body.

        :raises ValueError: if it is no JSON, or nested too deeply to be read.
        """
        try:
            return json.loads(self.body)
        except RecursionError:
            raise ValueError(_MAX_JSON_DEPTH_MESSAGE) from None


class Responder:
    """Sends the answer to one request.

    :param connection: h11's state of the connection.
    :param sock: the client's socket.
    :param write_timeout: time for the client to take each part.
    """

    def __init__(
        self, connection: h11.Connection, sock: Any, write_timeout: timedelta
    ) -> None:
        self._connection = connection
        self._sock = sock
        self._write_timeout = write_timeout
        self.is_head = False
        # Status of the answer; 0 before it starts.
        self.status = 0
        self.is_started = False
        self.is_finished = False
        # Sent with the head of the answer, whatever its kind.
        self.extra_headers: dict[str, str] = {}
        # Asked when the answer begins: whether the connection ends with it.
        self.should_close: Callable[[], bool] = lambda: False

    async def send(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete answer.

        :raises TransportError: if the client does not take it.
        """
        fields = {"content-type": content_type, **(headers or {})}
        length = str(len(body)).encode()
        await self.send_fields(status, _encode_fields(fields), body, length)

    async def send_json(
        self, status: int, value: Any, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a value as JSON."""
        body = json.dumps(value, separators=(",", ":")).encode()
        await self.send(status, body, headers=headers)

    async def send_refusal(self, refusal: Refusal) -> None:
        """Send a refusal with its verdict in a header and in the body."""
        await self.send_json(
            refusal.reason.status,
            describe_refusal(refusal),
            headers=make_refusal_headers(refusal),
        )

    async def send_fields(
        self,
        status: int,
        fields: Fields,
        body: bytes = b"",
        described_length: bytes | None = None,
    ) -> None:
        """Send a complete answer whose headers were made elsewhere.

        :param fields: headers without those that describe the body's framing.
        :param described_length: the server's ``Content-Length``. An answer that has no
            body tells how long the body of another one would be.
        :raises TransportError: if the client does not take it.
        """
        is_bodiless = self.is_head or status in _BODILESS_STATUSES
        length = described_length if is_bodiless else str(len(body)).encode()
        if length is not None and status != _NO_CONTENT:
            fields = [*fields, (b"content-length", length)]
        await self._write(
            self._make_response(status, fields),
            h11.Data(data=b"" if is_bodiless else body),
            h11.EndOfMessage(),
        )
        self.is_finished = True

    async def start_fields(self, status: int, fields: Fields) -> None:
        """Start an answer in parts whose headers were made elsewhere."""
        framing = (b"transfer-encoding", b"chunked")
        await self._write(self._make_response(status, [*fields, framing]))

    async def start(
        self, status: int, content_type: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Start an answer that is sent in parts."""
        fields = {"content-type": content_type, **(headers or {})}
        await self.start_fields(status, _encode_fields(fields))

    async def send_part(self, data: bytes) -> None:
        """Send one part of a started answer."""
        if not self.is_head:
            await self._write(h11.Data(data=data))

    async def finish(self) -> None:
        """End a started answer."""
        await self._write(h11.EndOfMessage())
        self.is_finished = True

    def _make_response(self, status: int, fields: Fields) -> h11.Response:
        self.is_started = True
        self.status = status
        headers = [*fields, *_encode_fields(self.extra_headers)]
        if self.should_close():
            headers.append((b"connection", b"close"))
        return h11.Response(status_code=status, headers=headers)

    async def _write(self, *events: Any) -> None:
        data = b"".join(self._connection.send(event) or b"" for event in events)
        try:
            await wait_at_most(self._write_timeout, self._sock.sendall(data))
        except OSError as error:
            raise TransportError(
                f"client does not take the answer: {error}", Verdict.MAY_HAVE_RUN
            ) from error


Fields = Sequence[tuple[bytes, bytes]]
Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


def _encode_fields(fields: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode()) for name, value in fields.items()]


def describe_refusal(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON body that states a refusal."""
    return {
        "error": {
            "reason": refusal.reason.label,
            "verdict": refusal.verdict.value,
            "message": refusal.message,
        }
    }


def make_refusal_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers that state a refusal."""
    headers = {"x-verdict": refusal.verdict.value}
    if refusal.retry_after is not None:
        # The header counts whole seconds; rounding down would invite early repeats.
        seconds = -(-refusal.retry_after // timedelta(seconds=1))
        headers["retry-after"] = str(max(1, seconds))
    return headers


@dataclass
class HttpServer:
    """A listening server.

    :param address: where it listens; a port of 0 is replaced by the bound port.
    :param memory: bounds the memory of the bodies of all requests.
    """

    address: Address
    handle: Handler
    limits: HttpLimits
    name: str
    memory: BodyMemory = field(default_factory=BodyMemory)
    _socket: Any = None
    _accept_task: Any = None
    _tasks: set[Any] = field(default_factory=set)
    _busy_count: int = 0
    _watch_task: Any = None
    _busy_tasks_by_fd: dict[int, Any] = field(default_factory=dict)
    # Connections between two requests.
    _idle_socks_by_task: dict[Any, Any] = field(default_factory=dict)
    # Connections that have sent no request yet.
    _new_tasks: set[Any] = field(default_factory=set)
    _is_ending: bool = False

    async def start(self) -> None:
        """Bind the address and start to accept connections.

        :raises OSError: if the address cannot be bound.
        """
        self._socket = curio.tcp_server_socket(
            self.address.host, self.address.port, backlog=_LISTEN_BACKLOG
        )
        self.address = Address(self.address.host, self._socket.getsockname()[1])
        self._accept_task = await curio.spawn(self._accept, daemon=True)
        self._watch_task = await curio.spawn(self._watch_clients, daemon=True)

    @property
    def busy_count(self) -> int:
        """Requests being handled."""
        return self._busy_count

    async def stop_accepting(self) -> None:
        """Close the listener; open connections go on."""
        if self._accept_task is not None:
            await self._accept_task.cancel()
            self._accept_task = None
            # Closing would reset connections that the kernel has already accepted.
            while is_readable(self._socket) and await self._accept_one():
                pass
            await self._socket.close()

    def announce_end(self) -> None:
        """Tell clients with each answer to send no more on its connection.

        A balancer keeps connections open and sends requests on them for as long as
        it is not told.
        """
        self._is_ending = True

    async def drain(self) -> None:
        """Close the listener, and each connection once it has no request.

        A request that has begun to arrive is read and answered, and a client that has
        just connected may still send one.
        """
        self.announce_end()
        await self.stop_accepting()
        waited_s = 0.0
        while self._tasks:
            is_grace = waited_s < _FIRST_REQUEST_GRACE_S
            for task, sock in list(self._idle_socks_by_task.items()):
                is_new = is_grace and task in self._new_tasks
                # The connection may have become busy while another one was closed.
                is_idle = task in self._idle_socks_by_task and not is_readable(sock)
                if is_idle and not is_new:
                    await task.cancel()
            await curio.sleep(_DRAIN_POLL_S)
            waited_s += _DRAIN_POLL_S
        await self.close()

    async def abandon_requests(self, refusal: Refusal, timeout: timedelta) -> None:
        """End the handling of all requests, and refuse those without an answer so far.

        The connections of answers that have begun are closed before their end.

        :param refusal: sent to the clients.
        :param timeout: time in which the clients can take it.
        """
        for task in list(self._busy_tasks_by_fd.values()):
            await task.cancel(exc=_RequestAbandonedError(refusal), blocking=False)
        async with curio.ignore_after(timeout.total_seconds()):
            while self._busy_count:
                await curio.sleep(_DRAIN_POLL_S)

    async def close(self) -> None:
        """Close the listener and every connection."""
        await self.stop_accepting()
        if self._watch_task is not None:
            await self._watch_task.cancel()
            self._watch_task = None
        for task in list(self._tasks):
            await task.cancel()

    async def _accept(self) -> None:
        while True:
            if not await self._accept_one():
                await curio.sleep(_ACCEPT_RETRY_S)

    async def _accept_one(self) -> bool:
        """Take the next connection; False if that failed."""
        try:
            client, _ = await self._socket.accept()
        except OSError as error:
            # Out of file descriptors, for one; accepting goes on afterwards.
            log_event("accept_failed", level="error", server=self.name, error=error)
            return False
        task = await curio.spawn(self._serve, client, daemon=True)
        self._tasks.add(task)
        self._new_tasks.add(task)
        return True

    async def _watch_clients(self) -> None:
        """Cancel the handlers of clients that have disconnected.

        One poll over all waiting requests costs less than a reading task for each.
        A client that closes only its sending side counts as disconnected too.
        """
        while True:
            await curio.sleep(_DISCONNECT_POLL_SECONDS)
            for fd in _find_closed(self._busy_tasks_by_fd):
                task = self._busy_tasks_by_fd.pop(fd, None)
                if task is not None:
                    log_event("client_disconnected", level="debug", server=self.name)
                    await task.cancel(blocking=False)

    async def _serve(self, sock: Any) -> None:
        task = await curio.current_task()
        try:
            async with sock:
                await self._serve_or_refuse(sock)
        except OSError as error:
            log_event("connection_closed", level="debug", server=self.name, error=error)
        except Exception as error:
            log_event(
                "connection_failed",
                level="error",
                server=self.name,
                error=repr(error),
            )
        finally:
            self._tasks.discard(task)
            self._new_tasks.discard(task)

    async def _serve_or_refuse(self, sock: Any) -> None:
        excess = len(self._tasks) - self.limits.max_connections
        if excess <= 0:
            await self._serve_connection(sock)
        elif excess <= self.limits.max_connections:
            await self._refuse_connection(sock)
        # Beyond twice the limit even the refusals would cost too much memory.

    async def _refuse_connection(self, sock: Any) -> None:
        connection = h11.Connection(h11.SERVER)
        responder = Responder(connection, sock, _CLOSING_TIMEOUT)
        refusal = Refusal(
            RefusalReason.OVERLOADED,
            Verdict.NOT_RUN,
            "too many connections are open",
            timedelta(seconds=1),
        )
        await _refuse_and_close(responder, sock, refusal)

    async def _serve_connection(self, sock: Any) -> None:
        set_tcp_options(sock)
        # The connections of a host count together.
        client = Address(sock.getpeername()[0], 0)
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )
        while True:
            responder = Responder(connection, sock, self.limits.write_timeout)
            with self.memory.hold(client) as hold:
                request = await self._read_or_refuse(connection, sock, responder, hold)
                if request is None:
                    return
                responder.is_head = request.method == "HEAD"
                responder.should_close = lambda: self._is_ending
                await self._handle_request(request, responder, sock.fileno())
            if not responder.is_finished or connection.our_state is h11.MUST_CLOSE:
                return
            try:
                connection.start_next_cycle()
            except h11.LocalProtocolError:
                return
            if connection.trailing_data[0]:
                # A client that sends requests ahead must not keep others waiting.
                await curio.sleep(0)

    async def _read_or_refuse(
        self,
        connection: h11.Connection,
        sock: Any,
        responder: Responder,
        hold: BodyHold,
    ) -> HttpRequest | None:
        """Read one request; None if the connection is to be closed.

        :param hold: memory of its body.
        """
        try:
            return await self._read_request(connection, sock, hold)
        except TransportError:
            # The body was dropped.
            refusal = _NO_MEMORY
        except h11.RemoteProtocolError as error:
            refusal = _describe_protocol_error(error)
        except _RequestRefusedError as error:
            refusal = error.refusal
        except TimeoutError:
            is_begun = connection.their_state is not h11.IDLE
            if not is_begun and not connection.trailing_data[0]:
                return None
            refusal = _SLOW_REQUEST
        await _refuse_and_close(responder, sock, refusal)
        return None

    async def _handle_request(
        self, request: HttpRequest, responder: Responder, fd: int
    ) -> None:
        self._busy_count += 1
        task = await curio.current_task()
        self._new_tasks.discard(task)
        self._busy_tasks_by_fd[fd] = task
        try:
            await self.handle(request, responder)
        except TransportError as error:
            log_event("answer_not_taken", level="debug", error=error)
        except _RequestAbandonedError as error:
            if not responder.is_started:
                await responder.send_refusal(error.refusal)
        except Exception as error:
            log_event(
                "request_failed",
                level="error",
                server=self.name,
                path=request.path,
                error=repr(error),
            )
            if not responder.is_started:
                await responder.send_refusal(_INTERNAL_ERROR)
        finally:
            self._busy_tasks_by_fd.pop(fd, None)
            self._busy_count -= 1

    async def _read_request(
        self, connection: h11.Connection, sock: Any, hold: BodyHold
    ) -> HttpRequest | None:
        """Read one request; None if the client closed between requests."""
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await self._receive_first(sock))
            event = connection.next_event()
        return await wait_at_most(
            self.limits.read_timeout, self._read_rest(connection, sock, event, hold)
        )

    async def _receive_first(self, sock: Any) -> bytes:
        """Wait between requests for the first bytes of the next one."""
        task = await curio.current_task()
        self._idle_socks_by_task[task] = sock
        try:
            return await wait_at_most(
                self.limits.idle_timeout, sock.recv(_RECEIVE_BYTES)
            )
        finally:
            del self._idle_socks_by_task[task]

    async def _read_rest(
        self, connection: h11.Connection, sock: Any, event: Any, hold: BodyHold
    ) -> HttpRequest | None:
        head: h11.Request | None = None
        parts = 0
        while True:
            if event is h11.NEED_DATA:
                if head is not None and connection.they_are_waiting_for_100_continue:
                    await sock.sendall(
                        connection.send(
                            h11.InformationalResponse(status_code=100, headers=[])
                        )
                    )
                connection.receive_data(await sock.recv(_RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                head = event
                _check_head(head, self.limits)
            elif isinstance(event, h11.Data):
                hold.append(event.data)
                if hold.size > self.limits.max_body_bytes:
                    raise _make_too_large_error(self.limits.max_body_bytes)
                parts += 1
                if parts % _PARTS_PER_TURN == 0:
                    await curio.sleep(0)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _make_request(head, hold.finish())
            else:
                return None
            event = connection.next_event()


class _RequestAbandonedError(curio.CancelledError):
    """The handling of a request is ended by :meth:`HttpServer.abandon_requests`."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class _RequestRefusedError(Exception):
    """A request is refused before it reaches a handler."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def _make_too_large_error(limit: int) -> _RequestRefusedError:
    message = f"the body is larger than {limit} bytes"
    return _RequestRefusedError(
        Refusal(RefusalReason.TOO_LARGE, Verdict.NOT_RUN, message)
    )


def _make_bad_request_error(message: str) -> _RequestRefusedError:
    return _RequestRefusedError(
        Refusal(RefusalReason.BAD_REQUEST, Verdict.NOT_RUN, message)
    )


def _check_head(head: h11.Request, limits: HttpLimits) -> None:
    # h11 applies its limit only to a head that arrives in several pieces.
    size = len(head.target)
    size += sum(len(name) + len(value) for name, value in head.headers)
    if size > limits.max_header_bytes:
        raise _RequestRefusedError(
            Refusal(
                RefusalReason.HEADERS_TOO_LARGE,
                Verdict.NOT_RUN,
                f"line and headers are larger than {limits.max_header_bytes} bytes",
            )
        )
    method = head.method.decode("ascii", "replace")
    if method not in _METHODS:
        raise _make_bad_request_error(
            f"unknown method {method[:20]!r};"
            f" accepted are {', '.join(sorted(_METHODS))}"
        )
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        # Two servers may disagree on where such a body ends, which hides a request.
        raise _make_bad_request_error(
            "the request has both Content-Length and Transfer-Encoding"
        )
    for name, value in head.headers:
        # h11 has refused numbers of more than 20 digits.
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            raise _make_too_large_error(limits.max_body_bytes)


_NO_MEMORY = Refusal(
    RefusalReason.OVERLOADED,
    Verdict.NOT_RUN,
    "the bodies of all requests take too much memory",
    timedelta(seconds=1),
)
_SLOW_REQUEST = Refusal(
    RefusalReason.REQUEST_TIMEOUT,
    Verdict.NOT_RUN,
    "the request did not arrive in time",
)
_INTERNAL_ERROR = Refusal(
    RefusalReason.INTERNAL,
    Verdict.MAY_HAVE_RUN,
    "the router failed to handle the request",
)


def _make_request(head: h11.Request, body: bytes) -> HttpRequest:
    path, query = _split_target(head.target)
    return HttpRequest(
        method=head.method.decode("ascii"),
        path=path,
        query_by_name=_parse_query(query),
        headers_by_name={
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        },
        body=body,
        query=query,
        target=bytes(head.target),
        fields=tuple((bytes(name), bytes(value)) for name, value in head.headers),
    )


def _split_target(target: bytes) -> tuple[str, str]:
    """Return the decoded path and the query as sent.

    :raises _RequestRefusedError: if the target is no path in valid percent encoding.
    """
    try:
        parts = urlsplit(target.decode("ascii"))
        path = unquote(parts.path, errors="strict")
    except ValueError:
        raise _make_bad_request_error("the path is not valid UTF-8") from None
    if _BAD_ESCAPE.search(parts.path) or _BAD_ESCAPE.search(parts.query):
        raise _make_bad_request_error("the target has a bad percent encoding")
    if not path.isprintable():
        raise _make_bad_request_error("the path has control characters")
    return path, parts.query


def _parse_query(query: str) -> dict[str, str]:
    if not query:
        return {}
    try:
        values_by_name = parse_qs(
            query, keep_blank_values=True, max_num_fields=_MAX_QUERY_FIELDS
        )
    except ValueError:
        raise _make_bad_request_error(
            f"the query has more than {_MAX_QUERY_FIELDS} fields"
        ) from None
    return {name: values[-1] for name, values in values_by_name.items()}


def _describe_protocol_error(error: h11.RemoteProtocolError) -> Refusal:
    is_large = error.error_status_hint == 431
    reason = RefusalReason.HEADERS_TOO_LARGE if is_large else RefusalReason.BAD_REQUEST
    message = f"malformed HTTP request: {error}"
    return Refusal(reason, Verdict.NOT_RUN, message)


async def _refuse_and_close(responder: Responder, sock: Any, refusal: Refusal) -> None:
    """Send a refusal and let the client read it before the connection closes."""
    try:
        await responder.send_refusal(refusal)
        await sock.shutdown(curio.socket.SHUT_WR)
        await wait_at_most(_CLOSING_TIMEOUT, _discard_input(sock))
    except (h11.LocalProtocolError, OSError):
        # h11 is past the point where an answer may be sent, or the client is gone.
        return


async def _discard_input(sock: Any) -> None:
    """Read until the client closes.

    Closing with unread bytes would reset the connection and destroy the answer.
    """
    while await sock.recv(_RECEIVE_BYTES):
        pass


def _find_closed(fds: Iterable[int]) -> list[int]:
    """Return the sockets whose other side has closed."""
    poll = select.poll()
    for fd in fds:
        poll.register(fd, select.POLLRDHUP)
    return [fd for fd, _ in poll.poll(0)]
