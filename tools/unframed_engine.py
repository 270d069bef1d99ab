"""An engine whose streams end with their connection, for ``probe_unframed_streams``.

It is the engine of the review's cases, but for the framing of its streams.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "review" / "lib2"))

from http_messages import Message, encode
from server import Server, main, parse

EVENT_PERIOD_S = 0.04


class UnframedEngine(Server):
    """Answers streams with neither a length nor chunks."""

    async def stream(
        self,
        request: Message,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
        trouble: str,
    ) -> bool:
        """Run a request; False, since the answer ends with its connection."""
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
            "Connection": "close",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        self.note_run(request)
        self.running += 1
        try:
            first = int(request.fields.get("last-event-id", -1)) + 1
            count = int(request.fields["token-usage"].split(",")[1])
            for number in range(first, count):
                writer.write(b"id: %d\ndata: piece-%d\n\n" % (number, number))
                await writer.drain()
                await asyncio.sleep(EVENT_PERIOD_S)
        finally:
            self.running -= 1
        return False


if __name__ == "__main__":
    sys.modules["server"].Server = UnframedEngine
    asyncio.run(main(parse()))
