"""HTTP/1.1 server: h11 over curio sockets, one task for each connection."""

from __future__ import annotations

import select
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
    Refusal,
    RefusalReason,
    Verdict,
    log_event,
)
from hibiscustiller.wire._deadlines import wait_at_most
from hibiscustiller.wire._http_requests import (
    HttpLimits,
    HttpRequest,
    RequestRefusedError,
    check_head,
    describe_protocol_error,
    make_request,
    make_too_large_error,
)
from hibiscustiller.wire._memory import BodyHold, BodyMemory
from hibiscustiller.wire._responder import Responder
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


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


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
            refusal = describe_protocol_error(error)
        except RequestRefusedError as error:
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
                check_head(head, self.limits)
            elif isinstance(event, h11.Data):
                hold.append(event.data)
                if hold.size > self.limits.max_body_bytes:
                    raise make_too_large_error(self.limits.max_body_bytes)
                parts += 1
                if parts % _PARTS_PER_TURN == 0:
                    await curio.sleep(0)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return make_request(head, hold.finish())
            else:
                return None
            event = connection.next_event()


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
