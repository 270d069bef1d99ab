"""Frames on the connections between routers: a length, then an encoded message."""

from __future__ import annotations

import struct
from typing import Any

from hibiscustiller.exceptions import WireFormatError

_LENGTH = struct.Struct(">I")
FRAME_HEADER_BYTES = _LENGTH.size
_RECEIVE_BYTES = 65536
# A whole document has at most 900 KB; its message must fit.
MAX_FRAME_BYTES = 1 << 20


def make_frame(payload: bytes) -> bytes:
    """Put a message's length before its bytes.

    :raises WireFormatError: if the message is empty or too long.
    """
    _check_length(len(payload), MAX_FRAME_BYTES)
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Reads frames from a socket; it holds at most one frame and one receive buffer.

    :param sock: a curio socket.
    :param max_bytes: longest accepted message, in bytes.
    """

    def __init__(self, sock: Any, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self.received_bytes = 0
        self._sock = sock
        self._buffer = bytearray()

    async def read_frame(self) -> bytes | None:
        """Read one message.

        :returns: its bytes; None if the stream ended between two frames.
        :raises WireFormatError: if the length is out of range or the stream ended
            inside a frame.
        :raises OSError: if the connection failed.
        """
        if not await self._fill(_LENGTH.size):
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        _check_length(length, self.max_bytes)
        end = _LENGTH.size + length
        await self._fill(end)
        payload = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return payload

    async def _fill(self, size: int) -> bool:
        while len(self._buffer) < size:
            data = await self._sock.recv(_RECEIVE_BYTES)
            if not data and not self._buffer:
                return False
            if not data:
                raise WireFormatError(
                    f"stream ended after {len(self._buffer)} of {size} bytes of a frame"
                )
            self.received_bytes += len(data)
            self._buffer += data
        return True


def _check_length(length: int, max_bytes: int) -> None:
    if not 1 <= length <= max_bytes:
        raise WireFormatError(
            f"frame length is {length} bytes; accepted range is 1 to {max_bytes}"
        )
