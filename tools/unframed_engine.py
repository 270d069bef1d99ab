"""An engine that breaks off its streams, for ``probe_unframed_streams``.

It is the engine of the review's cases, but for the framing of its streams and for the
ways in which they end early while its process runs on. ``--trouble`` takes them as
``FRAMING/WAY/SECONDS/SHARE/SPREAD``, such as ``none/close/0/0/1``:

- FRAMING: ``none`` or ``chunks``.
- WAY: what happens at SIGUSR1 to all streams of the engine: ``close`` and ``reset`` end
  the connection between two events, ``inside`` and ``inside-reset`` within one.
- SECONDS: silence before that.
- SHARE: of the streams that end so after a random event without a signal, between 0
  and 1.
- SPREAD: an answer has fewer events than its request allows, by the rest of the number
  at the end of the target divided by this one.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "review" / "lib2"))

from http_messages import Message, encode
from server import Server, main, parse

EVENT_PERIOD_S = 0.04
# With no time to linger, closing resets the connection.
_NO_LINGER = struct.pack("ii", 1, 0)


class UnframedEngine(Server):
    """Answers streams with neither a length nor chunks, or ends them early."""

    def __init__(self, options) -> None:
        words = (options.trouble or "none/close/0/0/1").split("/")
        framing, way, seconds, share, spread = words
        self.is_chunked = framing == "chunks"
        self.way = way
        self.silence_s = float(seconds)
        self.share = float(share)
        self.spread = int(spread)
        self.break_count = 0
        super().__init__(options)

    @property
    def is_in_trouble(self) -> bool:
        """Whether all streams are to be broken off; set by SIGUSR1."""
        return False

    @is_in_trouble.setter
    def is_in_trouble(self, value: bool) -> None:
        self.break_count += value

    async def stream(
        self,
        request: Message,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
        trouble: str,
    ) -> bool:
        """Run a request; False if its connection is to be closed."""
        if self.layers == (0, 0) or self.is_busy:
            fields = {**fields, "Not-Executed": "1"}
            writer.write(encode("HTTP/1.1 503 Service Unavailable", fields))
            await writer.drain()
            return True
        seal = f"seal-{self.options.id}-{request.fields['request-id']}"
        fields = {
            **fields,
            "Response-Seal": seal,
            "Content-Type": "text/event-stream",
        }
        if self.is_chunked:
            fields["Transfer-Encoding"] = "chunked"
        else:
            fields["Connection"] = "close"
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        self.note_run(request)
        self.running += 1
        try:
            first = int(request.fields.get("last-event-id", -1)) + 1
            count = int(request.fields["token-usage"].split(",")[1])
            count -= int(request.first[1].rpartition("/")[2]) % self.spread
            return await self.send_events(writer, first, count)
        finally:
            self.running -= 1

    async def send_events(
        self, writer: asyncio.StreamWriter, first: int, count: int
    ) -> bool:
        """Send events, all of them or up to a break; tell whether it stays open."""
        break_count = self.break_count
        breaks_at = None
        if first < count and random.random() < self.share:
            breaks_at = random.randrange(first, count)
        for number in range(first, count):
            event = b"id: %d\ndata: piece-%d\n\n" % (number, number)
            if breaks_at == number or self.break_count != break_count:
                self.note(event="break", number=number)
                await self.break_off(writer, event)
                return False
            self.send(writer, event)
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)
        if self.is_chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return self.is_chunked

    def send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send a part of the body."""
        if self.is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        writer.write(data)

    async def break_off(self, writer: asyncio.StreamWriter, event: bytes) -> None:
        """End the connection early, as the options say."""
        if self.way.startswith("inside"):
            self.send(writer, event[: len(event) // 2])
            await writer.drain()
        await asyncio.sleep(self.silence_s)
        if self.way.endswith("reset"):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


if __name__ == "__main__":
    sys.modules["server"].Server = UnframedEngine
    asyncio.run(main(parse()))
