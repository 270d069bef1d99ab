"""HTTP/1.1 client: h11 over curio sockets, with a pool of idle connections.

Each wait for bytes has a deadline, since a connection can go silent for good
without an error. Every failure says whether the other side may have acted.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

import h11

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, Verdict
from hibiscustiller.wire._deadlines import wait_at_most
from hibiscustiller.wire._memory import BodyHold, BodyMemory
from hibiscustiller.wire._sockets import (
    Connect,
    is_readable,
    open_connection,
    send_parts,
    set_tcp_options,
)
from hibiscustiller.wire._transfer_deadline import TransferDeadline, TransferLimits
from hibiscustiller.wire._turns import Turns

_RECEIVE_BYTES = 65536
# An answer larger than this is refused; a document of 1 MB grows by a third in base64.
_MAX_ANSWER_BYTES = 8 << 20
# Servers commonly close idle connections after a minute or less.
_MAX_IDLE = timedelta(seconds=20)
_MAX_IDLE_PER_ADDRESS = 32
# The statuses of final answers that HTTP has.
_STATUSES = range(200, 600)
# Chunks that are parsed before other tasks may run.
_MAX_JOINED_PARTS = 256
# A server sends one or two; one that goes on has no answer.
_MAX_INTERIM_ANSWERS = 20


@dataclass(frozen=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    headers_by_name: Mapping[str, str]
    body: bytes

    def read_json(self) -> Any:
        """Decode the body.

        :raises ValueError: if it is no JSON.
        """
        return json.loads(self.body)


@dataclass
class _Connection:
    sock: Any
    state: h11.Connection
    idle_since: timedelta = timedelta(0)
    is_reused: bool = False

    async def close(self) -> None:
        await self.sock.close()


class HttpClient:
    """Sends requests and keeps idle connections by address.

    :param clock: tells how long a connection has been idle.
    :param connect_timeout: longest wait for a connection.
    :param connect: opens connections.
    :param memory: bounds the memory of answers; None for no bound on their sum.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout: timedelta = timedelta(seconds=1),
        connect: Connect = open_connection,
        memory: BodyMemory | None = None,
    ) -> None:
        self.memory = memory or BodyMemory()
        self.clock = clock
        self._open_connection = connect
        self._connect_timeout = connect_timeout
        self._idle_by_address: dict[Address, deque[_Connection]] = {}

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        timeout: timedelta,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        is_fresh: bool = False,
        before_send: Callable[[], None] | None = None,
        transfer: TransferLimits | None = None,
        on_head: Callable[[], None] = lambda: None,
    ) -> HttpAnswer:
        """Send a request and read the whole answer.

        :param target: path with the query.
        :param timeout: longest wait for the whole exchange after connecting; with
            `transfer`, for the head of the answer.
        :param transfer: bounds on the time of the body of the answer; None to bound the
            whole exchange alone.
        :param is_fresh: use a new connection; a pooled one may have been closed by
            the other side, which leaves the fate of the request unknown.
        :param before_send: called before the first byte leaves; what it raises is
            passed on, and nothing is sent.
        :param on_head: called when the head of the answer has arrived.
        :raises TransportError: if there is no complete answer; its verdict says
            whether the request may have been acted on.
        """
        connection = await self._take_connection(address, is_fresh)
        exchange = Exchange(self, address, connection, None)
        deadline = self.clock.monotonic() + timeout
        try:
            data = _encode_request(
                connection, address, method, target, body, headers or {}
            )
            if before_send is not None:
                before_send()
            await wait_at_most(timeout, connection.sock.sendall(data))
            with self.memory.hold(address) as hold:
                await exchange.read_head(deadline - self.clock.monotonic())
                on_head()
                left = deadline - self.clock.monotonic()
                content = await exchange.read_body(
                    hold, left, _MAX_ANSWER_BYTES, transfer
                )
            return HttpAnswer(
                exchange.status, _decode_headers(exchange.fields), content
            )
        except TransportError:
            raise
        except OSError as error:
            raise TransportError(
                f"{method} {address}: {error}", Verdict.MAY_HAVE_RUN
            ) from error
        finally:
            await exchange.close()

    async def request_json(
        self,
        address: Address,
        method: str,
        target: str,
        value: Any,
        *,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Send a value as JSON; see :meth:`request`."""
        return await self.request(
            address,
            method,
            target,
            timeout=timeout,
            body=json.dumps(value, separators=(",", ":")).encode(),
            headers={"content-type": "application/json", **(headers or {})},
        )

    async def open_stream(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        next_byte_timeout: timedelta,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> AnswerStream:
        """Send a request and read the head of its answer.

        :param next_byte_timeout: longest silence, now and while the body is read.
        :returns: the answer, to be closed by the caller.
        :raises TransportError: as for :meth:`request`.
        """
        connection = await self._take_connection(address, is_fresh=False)
        exchange = Exchange(self, address, connection, None)
        # Lines may follow the last one that is read.
        exchange.discard()
        try:
            data = _encode_request(
                connection, address, method, target, body, headers or {}
            )
            await wait_at_most(next_byte_timeout, connection.sock.sendall(data))
            await exchange.read_head(next_byte_timeout)
        except BaseException as error:
            await connection.close()
            if isinstance(error, OSError) and not isinstance(error, TransportError):
                raise TransportError(
                    f"{method} {address}: {error}", Verdict.MAY_HAVE_RUN
                ) from error
            raise
        return AnswerStream(exchange, f"{method} {address}", next_byte_timeout)

    async def open_exchange(
        self,
        address: Address,
        request: RawRequest,
        *,
        head_timeout: timedelta,
        is_fresh: bool,
        on_sent: Callable[[], None] | None = None,
        max_idle: int | None = None,
    ) -> Exchange:
        """Send a request as it is and leave its answer to be read.

        :param request: method, target, headers and body.
        :param head_timeout: longest wait until the request has been sent.
        :param is_fresh: as for :meth:`request`.
        :param on_sent: called just before the first byte leaves.
        :param max_idle: idle connections to this address beyond which this one is
            closed after the answer, if that is below the client's own bound.
        :returns: the exchange, to be closed by the caller.
        :raises TransportError: if the request could not be sent.
        """
        connection = await self._take_connection(address, is_fresh)
        exchange = Exchange(self, address, connection, max_idle)
        try:
            parts = _encode_raw_request(connection, request)
            if on_sent is not None:
                on_sent()
            await wait_at_most(head_timeout, send_parts(connection.sock, parts))
        except BaseException as error:
            await connection.close()
            if isinstance(error, OSError) and not isinstance(error, TransportError):
                raise TransportError(
                    f"{address}: {error}", Verdict.MAY_HAVE_RUN
                ) from error
            raise
        return exchange

    async def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle_by_address.values():
            for connection in connections:
                await connection.close()
        self._idle_by_address.clear()

    async def _take_connection(self, address: Address, is_fresh: bool) -> _Connection:
        idle = self._idle_by_address.get(address)
        while idle and not is_fresh:
            connection = idle.pop()
            if not idle:
                del self._idle_by_address[address]
            age = self.clock.monotonic() - connection.idle_since
            if age < _MAX_IDLE and not is_readable(connection.sock):
                return connection
            await connection.close()
        return await self._connect(address)

    async def _connect(self, address: Address) -> _Connection:
        try:
            sock = await self._open_connection(address, self._connect_timeout)
        except OSError as error:
            raise TransportError(
                f"cannot connect to {address}: {error}", Verdict.NOT_RUN
            ) from error
        set_tcp_options(sock)
        return _Connection(sock, h11.Connection(h11.CLIENT))

    async def _give_back(
        self,
        address: Address,
        connection: _Connection,
        is_reusable: bool,
        max_idle: int | None = None,
    ) -> None:
        # Bytes after the answer would be taken for the answer to the next request.
        is_done = (
            connection.state.their_state is h11.DONE
            and not connection.state.trailing_data[0]
        )
        idle = self._idle_by_address.get(address, ())
        bound = _MAX_IDLE_PER_ADDRESS
        if max_idle is not None:
            bound = min(bound, max_idle)
        if not (is_reusable and is_done and len(idle) < bound):
            await connection.close()
            return
        connection.state.start_next_cycle()
        connection.is_reused = True
        connection.idle_since = self.clock.monotonic()
        self._idle_by_address.setdefault(address, deque()).append(connection)


@dataclass(frozen=True)
class RawRequest:
    """A request whose headers are passed on as they are.

    :param fields: headers, without those that describe the body's framing.
    """

    method: bytes
    target: bytes
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""


class Framing(Enum):
    """What tells where the body of an answer ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Exchange:
    """A request that has been sent, and its answer.

    :param client: takes the connection back after a complete answer.
    :param connection: the connection it uses.
    :param max_idle: idle connections beyond which it is closed instead, if that is
        below the client's own bound.
    """

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        connection: _Connection,
        max_idle: int | None,
    ) -> None:
        self._max_idle = max_idle
        self._client = client
        self._address = address
        self._connection = connection
        self.status = 0
        self.fields: tuple[tuple[bytes, bytes], ...] = ()
        self.is_ended = False
        self._is_reusable = False
        self._is_discarded = False
        self._interim_count = 0
        self._turns = Turns()
        # What follows the latest part of the body, to be returned or raised next; None
        # if that is not known.
        self._next: Any = None

    @property
    def is_on_new_connection(self) -> bool:
        """Whether no other request was sent on the connection before."""
        return not self._connection.is_reused

    @property
    def framing(self) -> Framing:
        """What tells where the body ends, by the head, which was read."""
        names = {name for name, _ in self.fields}
        if b"transfer-encoding" in names:
            return Framing.CHUNKS
        return Framing.LENGTH if b"content-length" in names else Framing.CONNECTION

    @property
    def is_framed(self) -> bool:
        """Whether the head tells where the body ends, other than by closing."""
        return self.framing is not Framing.CONNECTION

    def discard(self) -> None:
        """Let the connection be closed, since bytes of this request may follow."""
        self._is_discarded = True

    async def read_head(self, timeout: timedelta) -> None:
        """Read status and headers.

        :param timeout: longest wait for the whole head, however its bytes arrive.
        :raises TransportError: if the connection fails or ends.
        :raises TimeoutError: if there is no answer in time; it may be read again.
        """
        deadline = self._client.clock.monotonic() + timeout
        event = await self._next_event(deadline)
        while isinstance(event, h11.InformationalResponse):
            self._interim_count += 1
            if self._interim_count > _MAX_INTERIM_ANSWERS:
                message = f"{self._address}: interim answers without end"
                raise TransportError(message, Verdict.MAY_HAVE_RUN)
            event = await self._next_event(deadline)
        if event.status_code not in _STATUSES:
            # h11 accepts any number of three digits from 200 on.
            message = f"{self._address}: status {event.status_code} is unknown"
            raise TransportError(message, Verdict.MAY_HAVE_RUN)
        self.status = event.status_code
        self.fields = tuple(
            (bytes(name), bytes(value)) for name, value in event.headers
        )

    async def read_part(self, timeout: timedelta) -> bytes | None:
        """Read what has arrived of the body.

        :returns: some bytes; None at the end of the body.
        :raises TransportError: if the connection fails or ends early.
        :raises TimeoutError: if nothing arrives in time; it may be read again.
        """
        if self.is_ended:
            return None
        event = await self._next_event(self._client.clock.monotonic() + timeout)
        if isinstance(event, h11.Data):
            return self._join_arrived(event)
        self.is_ended = True
        self._is_reusable = True
        return None

    def _join_arrived(self, first: h11.Data) -> bytes:
        """Join the data of small chunks that were received together."""
        parts = [first.data]
        while len(parts) < _MAX_JOINED_PARTS:
            try:
                event = self._connection.state.next_event()
            except h11.RemoteProtocolError as error:
                self._next = error
                break
            if not isinstance(event, h11.Data):
                self._next = event
                break
            parts.append(event.data)
        self._turns.count_parts(len(parts))
        return b"".join(parts)

    async def read_body(
        self,
        hold: BodyHold,
        timeout: timedelta,
        max_bytes: int,
        transfer: TransferLimits | None = None,
    ) -> bytes:
        """Read the whole body; see :meth:`read_part`.

        :param hold: memory of the body, to be released when it has been passed on.
        :param timeout: longest wait for all of it, unless `transfer` is given.
        :param transfer: bounds on the time that follow from the bytes.
        """
        clock = self._client.clock
        now = clock.monotonic()
        deadline = now + timeout
        moving = None if transfer is None else TransferDeadline(transfer, now)
        while True:
            now = clock.monotonic()
            limit = deadline if moving is None else moving.at
            part = await self.read_part(limit - now)
            if part is None:
                return hold.finish()
            if moving is not None:
                moving.record(clock.monotonic(), len(part))
            hold.append(part)
            if hold.size > max_bytes:
                raise TransportError("answer too large", Verdict.MAY_HAVE_RUN)
            # Only the hold counts what waits for the rest.
            del part

    async def close(self) -> None:
        """Return the connection for the next request, or close it."""
        connection = self._connection
        is_reusable = self._is_reusable and connection.state.our_state is h11.DONE
        is_reusable = is_reusable and not self._is_discarded
        await self._client._give_back(
            self._address, connection, is_reusable, self._max_idle
        )

    async def _next_event(self, deadline: timedelta) -> Any:
        """Read until the next event of the answer.

        :param deadline: on the client's monotonic clock. Each receive has what is left
            of it, so that a byte now and then does not extend the wait.
        """
        state = self._connection.state
        if self._turns.is_over:
            await self._turns.end()
        try:
            while (event := self._take_event()) is h11.NEED_DATA:
                left = deadline - self._client.clock.monotonic()
                if left <= timedelta(0):
                    raise TimeoutError("the time for the answer is up")
                if self._turns.is_over:
                    await self._turns.end()
                data = await wait_at_most(
                    left, self._connection.sock.recv(_RECEIVE_BYTES)
                )
                state.receive_data(data)
                del data
                self._turns.count_receive()
        except (OSError, h11.RemoteProtocolError) as error:
            # The kernel's own time-out ends the connection; only the others, which have
            # no number, leave it to be read again.
            if isinstance(error, TimeoutError) and error.errno is None:
                raise
            raise TransportError(
                f"{self._address}: {error}", Verdict.MAY_HAVE_RUN
            ) from error
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise TransportError(
                f"{self._address}: connection closed early", Verdict.MAY_HAVE_RUN
            )
        return event

    def _take_event(self) -> Any:
        """Return what follows the latest part, or else the next event.

        :raises RemoteProtocolError: if the answer is malformed from here on.
        """
        event, self._next = self._next, None
        if isinstance(event, h11.RemoteProtocolError):
            raise event
        return self._connection.state.next_event() if event is None else event


class AnswerStream:
    """An answer whose body is read line by line.

    :param exchange: the exchange, whose head was read.
    :param label: method and address, for messages.
    :param next_byte_timeout: longest silence.
    """

    def __init__(
        self, exchange: Exchange, label: str, next_byte_timeout: timedelta
    ) -> None:
        self._exchange = exchange
        self._label = label
        self._next_byte_timeout = next_byte_timeout
        self.status = exchange.status
        self.headers_by_name = _decode_headers(exchange.fields)
        self._lines: deque[bytes] = deque()
        self._rest = bytearray()

    async def __aenter__(self) -> AnswerStream:
        return self

    async def __aexit__(self, *args: object) -> None:
        await self.close()

    async def read_line(self) -> bytes | None:
        """Read one line of the body, without its end.

        :returns: the line, perhaps empty; None at the end of the body.
        :raises TransportError: if the connection fails, falls silent or ends early.
        """
        try:
            while not self._lines and not self._exchange.is_ended:
                await self._read_part()
        except TransportError:
            raise
        except OSError as error:
            raise TransportError(
                f"{self._label}: {error}", Verdict.MAY_HAVE_RUN
            ) from error
        return self._lines.popleft() if self._lines else None

    async def _read_part(self) -> None:
        part = await self._exchange.read_part(self._next_byte_timeout)
        if part is None:
            if self._rest:
                self._lines.append(bytes(self._rest))
            return
        # What has arrived of a line is not searched again.
        first, *others = part.split(b"\n")
        self._rest += first
        for line in others:
            self._lines.append(bytes(self._rest))
            self._rest = bytearray(line)
        if len(self._rest) > _MAX_ANSWER_BYTES:
            raise TransportError(f"{self._label}: line too long", Verdict.MAY_HAVE_RUN)

    async def close(self) -> None:
        """Close the connection."""
        await self._exchange.close()


def _encode_request(
    connection: _Connection,
    address: Address,
    method: str,
    target: str,
    body: bytes,
    headers: Mapping[str, str],
) -> bytes:
    """Encode a request.

    :raises TransportError: if it cannot be sent as HTTP; no byte has left.
    """
    fields = {"host": str(address), **headers, "content-length": str(len(body))}
    parts = _encode_events(
        connection,
        f"{method} {address}: ",
        {"method": method, "target": target, "headers": list(fields.items())},
        body,
    )
    return b"".join(parts)


def _encode_raw_request(connection: _Connection, request: RawRequest) -> list[bytes]:
    length = (b"content-length", str(len(request.body)).encode())
    has_body = bool(request.body) or request.method in (b"POST", b"PUT", b"PATCH")
    fields = [*request.fields, *([length] if has_body else [])]
    head = {"method": request.method, "target": request.target, "headers": fields}
    return _encode_events(connection, "", head, request.body)


def _encode_events(
    connection: _Connection, label: str, head: dict[str, Any], body: bytes
) -> list[bytes]:
    """Encode the head, body and end of a request.

    :param label: names the request in messages.
    :raises TransportError: if it cannot be sent as HTTP; no byte has left.
    """
    state = connection.state
    try:
        events = (h11.Request(**head), h11.Data(data=body), h11.EndOfMessage())
        return [state.send(event) or b"" for event in events]
    except (h11.LocalProtocolError, UnicodeError) as error:
        raise TransportError(
            f"{label}request cannot be sent: {error}", Verdict.NOT_RUN
        ) from error


def find_described_length(fields: Iterable[tuple[bytes, bytes]]) -> bytes | None:
    """Return the value of ``Content-Length``; None if there is none."""
    return next((value for name, value in fields if name == b"content-length"), None)


def _decode_headers(fields: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode("ascii"): value.decode("latin-1") for name, value in fields}
