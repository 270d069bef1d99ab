"""HTTP/1.1 server: h11 over curio sockets, one task for each connection."""

from __future__ import annotations

import errno
import select
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import curio
import curio.socket
import h11

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    Clock,
    Refusal,
    RefusalReason,
    SystemClock,
    Verdict,
    log_event,
)
from hibiscustiller.wire._connection_shedding import (
    FIRST_REQUEST_GRACE,
    ConnectionTable,
    OpenConnection,
    Phase,
)
from hibiscustiller.wire._deadlines import wait_at_most
from hibiscustiller.wire._http_requests import (
    HttpLimits,
    HttpRequest,
    RequestRefusedError,
    describe_protocol_error,
    refuse_by_outdated_limits,
)
from hibiscustiller.wire._memory import BodyMemory
from hibiscustiller.wire._request_reading import RECEIVE_BYTES, RequestReader
from hibiscustiller.wire._responder import Responder
from hibiscustiller.wire._sockets import (
    is_readable,
    reset_on_close,
    set_tcp_options,
)
from hibiscustiller.wire._turns import Turns

_DRAIN_POLL_S = 0.02
_ACCEPT_RETRY_S = 0.1
_LISTEN_BACKLOG = 512
# Pause until connections that are ending have closed.
_ENDING_POLL_S = 0.002
# Share of the places, in addition to them, for connections that are refused, and again
# for those that are ending. Without it a client that is refused would not learn why.
_MARGIN_SHARE = 0.01
_MIN_REFUSED_COUNT = 2
# A refusal fits into the buffer of a client that has read the answers before it, and
# a place that is needed waits no longer.
_ENDING_TIMEOUT = timedelta(milliseconds=20)
# Answers sent to a client that has already broken the protocol get a short wait.
_CLOSING_TIMEOUT = timedelta(seconds=1)
# An engine's stream for a caller that is gone holds capacity at most this much longer.
_DISCONNECT_POLL_SECONDS = 0.25


# Tells the name of an event to a counter.
CountEvent = Callable[[str], None]
Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


@dataclass
class HttpServer:
    """A listening server.

    :param address: where it listens; a port of 0 is replaced by the bound port.
    :param memory: bounds the memory of the bodies of all requests.
    :param is_relay: whether the handler passes requests on as they were sent. Methods
        and targets are then neither checked nor decoded.
    :param are_limits_current: tells whether the limits are known to be the newest ones.
        Otherwise a request that exceeds them is not refused for good.
    :param count_event: counts requests that are refused before they are handled, and
        connections that are refused or give way to others.
    """

    address: Address
    handle: Handler
    limits: HttpLimits
    name: str
    memory: BodyMemory = field(default_factory=BodyMemory)
    clock: Clock = field(default_factory=SystemClock)
    count_event: CountEvent = lambda name: None
    is_relay: bool = False
    are_limits_current: Callable[[], bool] = lambda: True
    _connections: ConnectionTable = field(default_factory=ConnectionTable)
    _socks_by_connection: dict[OpenConnection, Any] = field(default_factory=dict)
    _refused_count: int = 0
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

    def describe(self) -> dict[str, int]:
        """Return the number of connections by what they do, and of places."""
        counts = {phase.value: self._connections.count(phase) for phase in Phase}
        return {"places": self.limits.max_connections, **counts}

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
            is_grace = waited_s < FIRST_REQUEST_GRACE.total_seconds()
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
            while self._connections.count(Phase.ENDING) > self._margin:
                await curio.sleep(_ENDING_POLL_S)

    @property
    def _margin(self) -> int:
        return find_margin(self.limits.max_connections)

    async def _accept_one(self) -> bool:
        """Take the next connection; False if that failed."""
        if len(self._connections) >= self.limits.max_connections:
            # What the connections before it have sent tells which of them may end.
            # A stop may cancel this wait, so nothing is accepted before it.
            await curio.sleep(0)
        try:
            client, (host, *_) = await self._socket.accept()
        except OSError as error:
            log_event("accept_failed", level="error", server=self.name, error=error)
            if error.errno in (errno.EMFILE, errno.ENFILE):
                now = self.clock.monotonic()
                ended = self._connections.end_some(self.limits.max_connections, now)
                await self._end_connections(ended)
            return False
        max_count, now = self.limits.max_connections, self.clock.monotonic()
        self._connections.outgoing_fds = self.limits.outgoing_fds
        await self._end_connections(self._connections.end_for_new(max_count, now))
        if self._connections.count_taken() < max_count:
            connection = self._connections.add(host, now)
            self._socks_by_connection[connection] = client
            task = await curio.spawn(self._serve, client, connection, daemon=True)
            self._new_tasks.add(task)
        else:
            self.count_event("connections.refused")
            log_event("connection_refused", server=self.name, client=host)
            if self._refused_count >= max(_MIN_REFUSED_COUNT, self._margin):
                await client.close()
                return True
            self._refused_count += 1
            task = await curio.spawn(self._refuse_connection, client, daemon=True)
        self._tasks.add(task)
        return True

    async def _end_connections(self, connections: list[OpenConnection]) -> None:
        """Let connections give way to others.

        Their tasks are not cancelled: a request may have become complete, and begun,
        by then. A task that reads finds the end of what the client sends.
        """
        for connection in connections:
            phase = connection.ended_in or connection.phase
            self.count_event(f"connections.ended.{phase.value}")
            log_event(
                "connection_ended",
                server=self.name,
                client=connection.client,
                phase=phase.value,
                received=connection.received_bytes,
                age=self.clock.monotonic() - connection.since,
                open=len(self._connections),
            )
            is_blocked = connection.blocked_since is not None
            how = curio.socket.SHUT_RDWR if is_blocked else curio.socket.SHUT_RD
            try:
                await self._socks_by_connection[connection].shutdown(how)
            except OSError:
                # The client has closed it.
                continue

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

    async def _serve(self, sock: Any, place: OpenConnection) -> None:
        task = await curio.current_task()
        try:
            async with sock:
                await self._serve_connection(sock, place)
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
            self._connections.remove(place)
            del self._socks_by_connection[place]

    async def _refuse_connection(self, sock: Any) -> None:
        task = await curio.current_task()
        try:
            async with sock:
                connection = h11.Connection(h11.SERVER)
                responder = Responder(connection, sock, _CLOSING_TIMEOUT)
                await _refuse_and_close(responder, sock, _NO_PLACE)
        finally:
            self._tasks.discard(task)
            self._refused_count -= 1

    def _begin_phase(self, place: OpenConnection, phase: Phase) -> None:
        self._connections.begin(place, phase, self.clock.monotonic())

    async def _serve_connection(self, sock: Any, place: OpenConnection) -> None:
        set_tcp_options(sock)
        # The connections of a host count together.
        client = Address(place.client, 0)

        def mark_blocked(is_blocked: bool) -> None:
            place.blocked_since = self.clock.monotonic() if is_blocked else None

        # The limits in force at each request apply to it.
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        while True:
            responder = Responder(connection, sock, self.limits.write_timeout)
            responder.mark_blocked = mark_blocked
            with self.memory.hold(client) as hold:
                reader = RequestReader(
                    connection, sock, hold, place, is_relay=self.is_relay
                )
                request = await self._read_or_refuse(reader, responder)
                if request is None:
                    return
                responder.is_head = request.method == "HEAD"
                responder.should_close = lambda: self._is_ending
                try:
                    await self._handle_request(request, responder, sock.fileno())
                finally:
                    if responder.is_cut_unframed:
                        reset_on_close(sock)
            self._begin_phase(place, Phase.IDLE)
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
        self, reader: RequestReader, responder: Responder
    ) -> HttpRequest | None:
        """Read one request; None if the connection is to be closed."""
        connection, place = reader.connection, reader.place
        try:
            return await self._read_request(reader)
        except TransportError:
            # The body was dropped.
            refusal = _NO_MEMORY
        except h11.RemoteProtocolError as error:
            refusal = describe_protocol_error(error)
        except RequestRefusedError as error:
            refusal = error.refusal
        except TimeoutError:
            is_begun = connection.their_state is not h11.IDLE
            if not is_begun and not connection.trailing_data[0]:
                return None
            refusal = _SLOW_REQUEST
        if not self.are_limits_current():
            refusal = refuse_by_outdated_limits(refusal)
        if place.is_ending:
            # The end of what the client sends may look like an error of its own.
            refusal = _NO_PLACE
        self.count_event(f"requests.not_read.{refusal.reason.label}")
        log_event(
            "request_not_read",
            server=self.name,
            request=_find_request_id(reader.head),
            client=place.client,
            reason=refusal.reason.label,
            detail=refusal.message,
            received=place.received_bytes,
        )
        # Neither the body nor the place is of use to anyone from here on.
        reader.release()
        self._begin_phase(place, Phase.REFUSED)
        responder.write_timeout = _CLOSING_TIMEOUT
        if place.is_ending:
            responder.write_timeout = _ENDING_TIMEOUT
        await _refuse_and_close(responder, reader.sock, refusal)
        return None

    async def _read_request(self, reader: RequestReader) -> HttpRequest | None:
        """Read one request; None if the client closed between requests."""
        if reader.needs_data():
            reader.receive(await self._receive_first(reader.sock))
        # They may have changed since the connection became idle.
        limits = self.limits
        request = await wait_at_most(
            limits.read_timeout, reader.read(limits, self._begin_unfinished)
        )
        if request is not None:
            await self._begin_handled(reader.place)
        return request

    async def _begin_handled(self, place: OpenConnection) -> None:
        if place.is_ending:
            raise RequestRefusedError(_NO_PLACE)
        max_count, now = self.limits.max_connections, self.clock.monotonic()
        ended = self._connections.end_for_handled(place, max_count, now)
        if ended is None:
            raise RequestRefusedError(_NO_PLACE)
        await self._end_connections(ended)

    async def _begin_unfinished(self, place: OpenConnection) -> None:
        """Note that a request has not arrived whole; others may give way to it."""
        self._begin_phase(place, Phase.UNFINISHED)
        max_count, now = self.limits.max_connections, self.clock.monotonic()
        await self._end_connections(self._connections.end_unfinished(max_count, now))

    async def _receive_first(self, sock: Any) -> bytes:
        """Wait between requests for the first bytes of the next one."""
        task = await curio.current_task()
        self._idle_socks_by_task[task] = sock
        try:
            return await wait_at_most(
                self.limits.idle_timeout, sock.recv(RECEIVE_BYTES)
            )
        finally:
            del self._idle_socks_by_task[task]

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


class _RequestAbandonedError(curio.CancelledError):
    """The handling of a request is ended by :meth:`HttpServer.abandon_requests`."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


_NO_MEMORY = Refusal(
    RefusalReason.OVERLOADED,
    Verdict.NOT_RUN,
    "the bodies of all requests take too much memory",
    timedelta(seconds=1),
)
_NO_PLACE = Refusal(
    RefusalReason.OVERLOADED,
    Verdict.NOT_RUN,
    "too many connections are open",
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


def find_margin(max_connections: int) -> int:
    """Return how many connections may be ending in addition to the places."""
    return max(1, int(max_connections * _MARGIN_SHARE))


def count_descriptors(max_connections: int) -> int:
    """Return how many connections a server has open at most, refused ones included."""
    margin = find_margin(max_connections)
    return max_connections + margin + max(_MIN_REFUSED_COUNT, margin)


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
    turns = Turns()
    while await sock.recv(RECEIVE_BYTES):
        turns.count_receive()
        if turns.is_over:
            await turns.end()


def _find_request_id(head: h11.Request | None) -> str:
    """Return the id that a caller gave its request; empty if it is not known."""
    headers = () if head is None else head.headers
    return next((v.decode("latin-1") for n, v in headers if n == b"request-id"), "")


def _find_closed(fds: Iterable[int]) -> list[int]:
    """Return the sockets whose other side has closed."""
    poll = select.poll()
    for fd in fds:
        poll.register(fd, select.POLLRDHUP)
    return [fd for fd, _ in poll.poll(0)]
