"""A small HTTP/1.1 layer for stand-ins and clients; it uses the standard library."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

_HEAD_END = b"\r\n\r\n"
_READ_BYTES = 65536


@dataclass
class Message:
    """The head and the body of a request or an answer.

    :param first: the three words of the first line.
    :param fields: headers by lower-case name.
    """

    first: list[str]
    fields: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])


@dataclass
class Reader:
    """Reads messages from a connection.

    :param stream: the connection.
    """

    stream: asyncio.StreamReader
    rest: bytearray = field(default_factory=bytearray)

    async def read_head(self) -> Message | None:
        """Read the next head; None at the end of the connection."""
        while _HEAD_END not in self.rest:
            data = await self.stream.read(_READ_BYTES)
            if not data:
                return None
            self.rest += data
        head, _, rest = bytes(self.rest).partition(_HEAD_END)
        self.rest = bytearray(rest)
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
        return Message(first.split(" ", 2), fields)

    async def _fill(self, count: int) -> bool:
        while len(self.rest) < count:
            data = await self.stream.read(_READ_BYTES)
            if not data:
                return False
            self.rest += data
        return True

    def _take(self, count: int) -> bytes:
        taken = bytes(self.rest[:count])
        del self.rest[:count]
        return taken

    async def read_body(self, message: Message) -> None:
        """Read the body by its length or its chunks; without both there is none.

        An answer without both ends with its connection; see `read_to_end`.
        """
        if message.fields.get("transfer-encoding", "").lower() == "chunked":
            await self._read_chunks(message)
            return
        length = int(message.fields.get("content-length", 0))
        message.is_complete = await self._fill(length)
        message.body = self._take(length)

    async def _read_chunks(self, message: Message) -> None:
        while True:
            piece = await self.read_chunk()
            if piece is None:
                message.is_complete = False
                return
            if not piece:
                return
            message.body += piece

    async def read_chunk(self) -> bytes | None:
        """Read one chunk: empty at the end of the body, None if it was broken off."""
        while b"\r\n" not in self.rest:
            if not await self._fill(len(self.rest) + 1):
                return None
        line, _, _ = bytes(self.rest).partition(b"\r\n")
        size = int(line.split(b";")[0], 16)
        if not await self._fill(len(line) + 2 + size + 2):
            return None
        self._take(len(line) + 2)
        piece = self._take(size)
        self._take(2)
        return piece

    async def read_to_end(self, message: Message) -> None:
        """Read a body that ends with its connection."""
        while data := await self.stream.read(_READ_BYTES):
            self.rest += data
        message.body = self._take(len(self.rest))


def encode(first: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message whose body has a length."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    fields: dict[str, str] | None = None,
    body: bytes = b"",
) -> Message | None:
    """Send one request on a new connection; None if no head of an answer comes."""
    stream, writer = await asyncio.open_connection(host, port)
    try:
        fields = {"Host": f"{host}:{port}", **(fields or {})}
        writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
        reader = Reader(stream)
        answer = await reader.read_head()
        while answer is not None and answer.status < 200:
            answer = await reader.read_head()
        if answer is None:
            return None
        names = answer.fields
        if "content-length" in names or "transfer-encoding" in names:
            await reader.read_body(answer)
        else:
            await reader.read_to_end(answer)
        return answer
    finally:
        writer.close()


async def call_json(
    host: str, port: int, method: str, target: str, value: Any = None
) -> tuple[int, Any]:
    """Call the store; return the status and the decoded body."""
    fields, body = {}, b""
    if value is not None:
        fields, body = {"Content-Type": "application/json"}, json.dumps(value).encode()
    answer = await call(host, port, method, target, fields, body)
    if answer is None:
        raise ConnectionError("the store gave no answer")
    return answer.status, json.loads(answer.body or b"null")
