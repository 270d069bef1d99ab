"""Merges the small chunks of a request's body into large ones.

h11 takes about 6 microseconds for each chunk, so a body of 4 MiB in chunks of one byte
would take 25 s of processor time. The merged chunks hold all that arrived at once; h11
still reads and checks them, and everything else is passed to it as it came. This module
does no I/O.
"""

from __future__ import annotations

import re

_HEADER = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\r\n]*)?[ \t]*\r\n")
# Runs of chunks of the same small size, by the digit of the size. Reading a run at once
# costs about as much as copying its bytes.
_RUNS_BY_DIGIT = {
    b"%x" % size: re.compile(rb"(?is:(?:%x\r\n.{%d}\r\n)++)" % (size, size))
    for size in range(1, 16)
}
_HEADER_BYTES = len(b"1\r\n")
_HEADER_AND_END_BYTES = _HEADER_BYTES + len(b"\r\n")
# Not a chunk header, so h11 refuses the request.
_MALFORMED_END = b"malformed chunk end\r\n"


class ChunkMerger:
    """Reads the chunks of one body as they arrive.

    :param max_line_bytes: longest incomplete line that is kept; h11 refuses longer
        ones by the same bound.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        # Incomplete line.
        self._line = b""
        # Bytes of the current chunk that have not arrived.
        self._missing_bytes = 0
        # Whether the line end after a chunk is due.
        self._is_end_due = False
        self._is_end_malformed = False
        # Whether the chunks are over; what follows is passed on as it is.
        self._is_over = False

    @property
    def line_bytes(self) -> int:
        """Bytes of a line that has not arrived whole."""
        return len(self._line)

    def merge(self, data: bytes) -> bytes:
        """Return what h11 shall read in place of some bytes; it may be empty."""
        if self._is_over:
            return data
        data, self._line = self._line + data, b""
        parts: list[bytes] = []
        rest = data[self._read(data, parts) :]
        body = b"".join(parts)
        if self._is_end_malformed:
            self._is_over = True
            rest = _MALFORMED_END
        elif not self._is_over:
            self._line, rest = rest, b""
        return (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + rest

    def _read(self, data: bytes, parts: list[bytes]) -> int:
        """Collect the bytes of chunks; return the position at which that ends."""
        position = 0
        while position < len(data):
            if self._missing_bytes:
                part = data[position : position + self._missing_bytes]
                parts.append(part)
                position += len(part)
                self._missing_bytes -= len(part)
                self._is_end_due = not self._missing_bytes
            elif self._is_end_due:
                found = data[position : position + 2]
                if found != b"\r\n":
                    self._is_end_malformed = found != b"\r"
                    break
                position += 2
                self._is_end_due = False
            elif run := _find_run(data, position):
                parts.append(_join_run(run[0]))
                position = run.end()
            else:
                header = _HEADER.match(data, position)
                size = 0 if header is None else int(header[1], 16)
                if header is None or not size:
                    is_complete = header is not None or data.find(b"\n", position) >= 0
                    is_long = len(data) - position > self._max_line_bytes
                    self._is_over = is_complete or is_long
                    break
                position = header.end()
                self._missing_bytes = size
        return position


def _find_run(data: bytes, position: int) -> re.Match[bytes] | None:
    """Find a run of complete small chunks of the same size."""
    pattern = _RUNS_BY_DIGIT.get(data[position : position + 1].lower())
    return None if pattern is None else pattern.match(data, position)


def _join_run(run: bytes) -> bytes:
    size = int(run[:1], 16)
    stride = size + _HEADER_AND_END_BYTES
    body = bytearray(len(run) // stride * size)
    for offset in range(size):
        body[offset::size] = run[_HEADER_BYTES + offset :: stride]
    return bytes(body)
