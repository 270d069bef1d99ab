"""Reads one request from a connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11

from hibiscustiller.wire._chunk_merging import ChunkMerger
from hibiscustiller.wire._connection_shedding import OpenConnection
from hibiscustiller.wire._http_requests import (
    HttpLimits,
    HttpRequest,
    check_head,
    check_incomplete,
    make_request,
    make_too_large_error,
    measure_head,
)
from hibiscustiller.wire._memory import BodyHold

RECEIVE_BYTES = 65536
# Parsing this many parts takes a few milliseconds, after which other tasks get a turn.
_PARTS_PER_TURN = 100


class RequestReader:
    """Reads one request.

    :param connection: h11's state of the connection.
    :param hold: memory of the head, the body, and what arrives after them.
    :param place: the connection among the others of its server.
    :param is_relay: whether requests are passed on as they were sent.
    """

    def __init__(
        self,
        connection: h11.Connection,
        sock: Any,
        hold: BodyHold,
        place: OpenConnection,
        *,
        is_relay: bool = False,
    ) -> None:
        self._is_relay = is_relay
        self.connection = connection
        self.sock = sock
        self.hold = hold
        self.place = place
        self._limits = HttpLimits()
        # The head, once it has been read.
        self.head: h11.Request | None = None
        self._event: Any = None
        self._merger: ChunkMerger | None = None

    def needs_data(self) -> bool:
        """Tell whether nothing of the request has arrived."""
        self._event = self.connection.next_event()
        return self._event is h11.NEED_DATA and not self.connection.trailing_data[0]

    def receive(self, data: bytes) -> None:
        """Take the first bytes of the request."""
        self.connection.receive_data(data)
        self._event = self.connection.next_event()

    async def read(
        self,
        limits: HttpLimits,
        begin_unfinished: Callable[[OpenConnection], Awaitable[None]],
    ) -> HttpRequest | None:
        """Read the request; None if the client closed before it.

        :param limits: the limits in force when the request begins to arrive.
        :param begin_unfinished: called if the request has not arrived whole.
        """
        self._limits = limits
        event, connection, hold = self._event, self.connection, self.hold
        head: h11.Request | None = None
        head_bytes = body_bytes = parts = 0
        is_begun = False
        while True:
            if event is h11.NEED_DATA:
                if not is_begun:
                    is_begun = True
                    await begin_unfinished(self.place)
                if head is not None and connection.they_are_waiting_for_100_continue:
                    await self.sock.sendall(
                        connection.send(
                            h11.InformationalResponse(status_code=100, headers=[])
                        )
                    )
                # Heads, trailers and the lines of chunks that have not arrived whole.
                buffered_bytes = self._count_buffered()
                check_incomplete(buffered_bytes, self._limits)
                hold.resize(head_bytes + body_bytes + buffered_bytes)
                await self._receive_more()
                hold.resize(head_bytes + body_bytes)
            elif isinstance(event, h11.Request):
                self.head = head = event
                check_head(head, self._limits, is_relay=self._is_relay)
                head_bytes = measure_head(head)
                hold.resize(head_bytes)
                if _is_chunked(head):
                    self._merge_chunks()
            elif isinstance(event, h11.Data):
                body_bytes += len(event.data)
                hold.append(event.data)
                if body_bytes > self._limits.max_body_bytes:
                    raise make_too_large_error(self._limits.max_body_bytes)
                parts += 1
                if parts % _PARTS_PER_TURN == 0:
                    await curio.sleep(0)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                # Requests that were sent ahead are held until this one is answered.
                hold.resize(head_bytes + body_bytes + self._count_buffered())
                return make_request(head, hold.finish(), is_relay=self._is_relay)
            else:
                return None
            event = connection.next_event()

    def release(self) -> None:
        """Let go of all that was read of a request that is refused."""
        self.hold.release()
        self._merger = None
        self._take_buffer()

    def _take_buffer(self) -> bytes:
        """Take back what h11 has not read; it has no public way to do so."""
        buffer = self.connection._receive_buffer
        return bytes(buffer.maybe_extract_at_most(len(buffer)) or b"")

    def _count_buffered(self) -> int:
        """Return the bytes that h11 has not read; it has no public way to tell them."""
        line = 0 if self._merger is None else self._merger.line_bytes
        return len(self.connection._receive_buffer) + line

    async def _receive_more(self) -> None:
        if self._merger is not None:
            # Merging takes up to a few milliseconds; others get a turn.
            await curio.sleep(0)
        data = await self.sock.recv(RECEIVE_BYTES)
        self.place.received_bytes += len(data)
        if self._merger is None or not data:
            self.connection.receive_data(data)
            return
        merged = self._merger.merge(data)
        if merged:
            # Nothing would tell h11 that the client has closed.
            self.connection.receive_data(merged)

    def _merge_chunks(self) -> None:
        """Merge the chunks from here on, also those that have arrived."""
        self._merger = ChunkMerger(self._limits.max_header_bytes)
        merged = self._merger.merge(self._take_buffer())
        if merged:
            self.connection.receive_data(merged)


def _is_chunked(head: h11.Request) -> bool:
    return any(name == b"transfer-encoding" for name, _ in head.headers)
