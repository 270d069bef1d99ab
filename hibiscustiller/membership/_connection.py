"""One authenticated connection between two routers."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import curio

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.utils import Clock, RouterId
from hibiscustiller.wire import wait_at_most
from hibiscustiller.wire._framing import FRAME_HEADER_BYTES, FrameReader
from hibiscustiller.wire._messages_generated import (
    Hello,
    MemberState,
    Message,
    decode_message,
)

# A whole document and a second of other messages fit; a peer that takes less is slow.
_MAX_QUEUED_BYTES = 2 << 20
_MAX_QUEUED_FRAMES = 1024
_WRITE_TIMEOUT = timedelta(seconds=10)


@dataclass
class PeerTraffic:
    """What a router has exchanged with other routers since its start."""

    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    received_messages: int = 0
    dropped_messages: int = 0


class PeerConnection:
    """Sends from a bounded queue and hands over what arrives.

    :param sock: the socket, authenticated.
    :param reader: reads frames from the socket.
    :param peer: the other side's greeting.
    :param is_dialler: whether this router opened the connection.
    :param clock: tells when something was heard or sent.
    :param traffic: where bytes and messages are counted.
    """

    def __init__(
        self,
        sock: Any,
        reader: FrameReader,
        peer: Hello,
        is_dialler: bool,
        clock: Clock,
        traffic: PeerTraffic,
    ) -> None:
        self.router_id = RouterId(peer.router_id)
        self.peer = peer
        self.is_dialler = is_dialler
        # The peer's last heartbeat counted this router among its neighbours.
        self.is_wanted_by_peer = False
        self.heard_at = clock.monotonic()
        self.used_at = self.heard_at
        # Entries that the peer is to learn with the next heartbeat.
        self.pending_by_router: dict[str, MemberState] = {}
        self.mismatch_count = 0
        self.is_closed = False
        self._sock = sock
        self._reader = reader
        self._clock = clock
        self._traffic = traffic
        self._frames: deque[bytes] = deque()
        self._queued_bytes = 0
        self._has_frames = curio.Event()

    async def enqueue(self, frame: bytes, is_use: bool = True) -> bool:
        """Queue a frame without waiting.

        :param is_use: whether the frame keeps an otherwise idle connection open.
        :returns: False if the connection is closed or its queue is full; a slow peer
            loses messages and is found by its silence.
        """
        is_full = (
            self._queued_bytes + len(frame) > _MAX_QUEUED_BYTES
            or len(self._frames) >= _MAX_QUEUED_FRAMES
        )
        if self.is_closed or is_full:
            self._traffic.dropped_messages += 1
            return False
        if is_use:
            self.used_at = self._clock.monotonic()
        self._frames.append(frame)
        self._queued_bytes += len(frame)
        await self._has_frames.set()
        return True

    async def run(self, handle: Callable[[Message], Awaitable[None]]) -> None:
        """Send and receive until the connection ends.

        :raises WireFormatError: if the peer breaks the protocol.
        :raises OSError: if the connection fails.
        """
        writer = await curio.spawn(self._write_frames, daemon=True)
        try:
            while (data := await self._reader.read_frame()) is not None:
                await self._take_frame(data, handle)
        finally:
            self.is_closed = True
            await writer.cancel()
            await self._sock.close()

    async def close(self) -> None:
        """End the connection; its reader then sees the end of the stream."""
        if self.is_closed:
            return
        self.is_closed = True
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    async def drain(self, timeout: timedelta) -> None:
        """Wait until all queued frames are written, for a limited time."""
        deadline = self._clock.monotonic() + timeout
        while self._queued_bytes and not self.is_closed:
            if self._clock.monotonic() >= deadline:
                return
            await curio.sleep(0.01)

    async def _take_frame(
        self, data: bytes, handle: Callable[[Message], Awaitable[None]]
    ) -> None:
        sender, message = decode_message(data)
        if sender != self.router_id:
            raise WireFormatError(f"sender is {sender!r}, not the authenticated peer")
        self._traffic.received_messages += 1
        self._traffic.received_bytes += FRAME_HEADER_BYTES + len(data)
        await handle(message)

    async def _write_frames(self) -> None:
        try:
            while True:
                await self._has_frames.wait()
                self._has_frames.clear()
                while self._frames:
                    await self._write_frame(self._frames.popleft())
        except OSError:
            await self.close()

    async def _write_frame(self, frame: bytes) -> None:
        await wait_at_most(_WRITE_TIMEOUT, self._sock.sendall(frame))
        self._queued_bytes -= len(frame)
        self._traffic.sent_bytes += len(frame)
        self._traffic.sent_messages += 1
