"""A stand-in for one backend server, as a process of its own.

It follows the platform's pages: it registers itself in the store, answers only what was
meant for its id, and writes what it runs to a file. The trouble that it was started
with begins at SIGUSR1, or at once with --at-start.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import os
import signal
import time

from http_messages import Message, Reader, call_json, encode

LAYERS = 80
HEARTBEAT_S = 1.2
LEASE_MS = 3600
WORK_S = 0.045
EVENT_PERIOD_S = 0.04
BOOKING = b"booked: 40 boxes of white chalk for the school of Getxo\n"
# Bytes of each piece of an answer without end, and about those of each write.
PIECE_BYTES = 64
WRITE_BYTES = 32768


class Server:
    """One backend server."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.order_count = 0
        self.last_fence = 0
        self.layers = (0, 0)
        self.loading_until = 0.0
        self.running = 0
        self.is_in_trouble = options.at_start
        self.is_changed = asyncio.Event()

    def note(self, **values: object) -> None:
        """Append a line to the record of the case."""
        line = json.dumps(
            {"at": round(time.monotonic(), 3), "server": self.options.id, **values}
        )
        with open(self.options.record, "a") as record:
            record.write(line + "\n")

    def describe_layers(self) -> dict[str, int]:
        return {"from": self.layers[0], "target": self.layers[1], "version": 1}

    @property
    def is_busy(self) -> bool:
        return time.monotonic() < self.loading_until

    def make_entry(self) -> dict[str, object]:
        entry = {
            "service": self.options.service,
            "address": f"{self.options.ip}:{self.options.port}",
            "zone": self.options.zone,
            "version": "v1",
            "slots": self.options.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.order_count,
            "born": self.born,
        }
        if self.options.engine:
            entry["stage"] = "mixed"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
            entry["kind"] = "whole"
            entry["layers"] = self.describe_layers()
        return entry

    async def keep_entry(self) -> None:
        """Write the entry and keep its lease alive."""
        store = (self.options.store_host, self.options.store_port)
        key, lease, written = f"servers/{self.options.id}", None, None
        while True:
            try:
                if lease is not None:
                    status, _ = await call_json(*store, "POST", f"/kv-keep/{lease}", {})
                    if status == 404:
                        lease = written = None
                if lease is None:
                    asked = {"ttl_ms": LEASE_MS}
                    _, granted = await call_json(*store, "POST", "/kv-lease", asked)
                    lease = granted["lease"]
                entry = self.make_entry()
                if entry != written:
                    status, found = await call_json(*store, "GET", f"/kv-key?key={key}")
                    revision = found["rev"] if status == 200 else 0
                    value = base64.b64encode(json.dumps(entry).encode()).decode()
                    put = {"key": key, "value": value, "lease": lease}
                    change = {
                        "expected": [{"key": key, "rev": revision}],
                        "puts": [put],
                        "remove": [],
                    }
                    status, _ = await call_json(*store, "POST", "/kv-txn", change)
                    if status == 200:
                        written = entry
            except (OSError, ValueError, KeyError, TypeError) as error:
                self.note(event="entry_not_written", error=repr(error))
            try:
                await asyncio.wait_for(self.is_changed.wait(), HEARTBEAT_S)
            except TimeoutError:
                pass
            self.is_changed.clear()

    async def serve(
        self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reader = Reader(stream)
        try:
            while True:
                request = await reader.read_head()
                if request is None:
                    return
                await reader.read_body(request)
                if not await self.answer(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; False if the connection is to be closed."""
        trouble = self.options.trouble if self.is_in_trouble else ""
        method, target, _ = request.first
        fields = {"Instance-Id": self.options.id}
        if "request-id" in request.fields:
            fields["Request-Id"] = request.fields["request-id"]
        if trouble == "endless-interim":
            self.note(event="endless", target=target)
            await self.send_without_end(writer, b"HTTP/1.1 100 Continue\r\n\r\n")
        if request.fields.get("expect-instance", self.options.id) != self.options.id:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", fields))
        elif method == "GET" and target == "/health":
            writer.write(encode("HTTP/1.1 200 OK", fields))
        elif method == "GET" and target == "/report":
            self.send_json(writer, 200, self.make_report())
        elif method == "POST" and target == "/order":
            self.answer_order(json.loads(request.body), writer)
        elif self.options.engine:
            return await self.stream(request, fields, writer, trouble)
        else:
            return await self.run(request, fields, writer, trouble)
        await writer.drain()
        return True

    def make_report(self) -> dict[str, object]:
        return {
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.is_busy,
            "sequence": self.order_count,
            "queued": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 200_000 * LAYERS,
            "active_handles": 0,
            "pace": 1.0,
            "kind": "whole",
            "layers": self.describe_layers(),
            "born": self.born,
            "stalled": [],
        }

    def answer_order(self, order: dict, writer: asyncio.StreamWriter) -> None:
        fence = order.get("fencing_token", 0)
        layers = (order["from"], order["target"])
        status = 202
        if fence < self.last_fence:
            status = 412
        elif order.get("expected", self.order_count) != self.order_count:
            status = 409
        elif layers == self.layers:
            status = 200
        elif self.is_busy:
            status = 409
        if status in (200, 202):
            self.last_fence = fence
        if status == 202:
            self.order_count += 1
            self.layers = layers
            self.loading_until = time.monotonic() + 0.2
            asyncio.get_running_loop().call_later(0.25, self.is_changed.set)
        self.note(event="order", order=order, status=status)
        self.send_json(writer, status, {"sequence": self.order_count})

    def send_json(self, writer: asyncio.StreamWriter, status: int, value: dict) -> None:
        fields = {"Content-Type": "application/json"}
        first = f"HTTP/1.1 {status} Answer"
        writer.write(encode(first, fields, json.dumps(value).encode()))

    def note_run(self, request: Message) -> None:
        self.note(
            event="run",
            request=request.fields["request-id"],
            target=request.first[1],
            last_event=request.fields.get("last-event-id"),
        )

    async def run(
        self,
        request: Message,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
        trouble: str,
    ) -> bool:
        """Run a request of a plain service."""
        self.note_run(request)
        seal = f"seal-{self.options.id}-{request.fields['request-id']}"
        fields = {**fields, "Response-Seal": seal, "Content-Type": "text/plain"}
        if trouble == "endless-chunks":
            self.note(event="endless", request=request.fields["request-id"])
            fields["Transfer-Encoding"] = "chunked"
            lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields.items())]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            await self.send_without_end(writer, b"1\r\nx\r\n")
        if not self.options.unframed:
            await asyncio.sleep(WORK_S)
            writer.write(encode("HTTP/1.1 200 OK", fields, BOOKING))
            await writer.drain()
            return True
        # The answer has no length and ends with its connection.
        fields["Connection"] = "close"
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        half = len(BOOKING) // 2
        writer.write(BOOKING[:half])
        await writer.drain()
        await asyncio.sleep(self.options.work_s)
        writer.write(BOOKING[half:])
        await writer.drain()
        self.note(event="whole", request=request.fields["request-id"])
        return False

    async def stream(
        self,
        request: Message,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
        trouble: str,
    ) -> bool:
        """Run a request of the model service."""
        path = request.fields.get("hop-count", "")
        own = f"{self.options.ip}:{self.options.port}=0-{LAYERS}"
        if path != own or self.layers != (0, LAYERS) or self.is_busy:
            self.note(event="refused", path=path)
            fields = {**fields, "Not-Executed": "1", "At-Server": own.split("=")[0]}
            writer.write(encode("HTTP/1.1 503 Service Unavailable", fields))
            await writer.drain()
            return True
        seal = f"seal-{self.options.id}-{request.fields['request-id']}"
        fields = {
            **fields,
            "Response-Seal": seal,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        if trouble == "endless-event":
            self.note(event="endless", request=request.fields["request-id"])
            piece = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
            await self.send_without_end(writer, piece)
        self.note_run(request)
        self.running += 1
        try:
            first = int(request.fields.get("last-event-id", -1)) + 1
            # One event for each token that the client allows.
            count = int(request.fields["token-usage"].split(",")[1])
            for number in range(first, count):
                event = b"id: %d\ndata: piece-%d\n\n" % (number, number)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_PERIOD_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return True

    async def send_without_end(
        self, writer: asyncio.StreamWriter, piece: bytes
    ) -> None:
        """Send the same bytes until the caller closes."""
        block = piece * (WRITE_BYTES // len(piece))
        while True:
            writer.write(block)
            await writer.drain()


async def main(options: argparse.Namespace) -> None:
    server = Server(options)
    loop = asyncio.get_running_loop()

    def begin_trouble() -> None:
        server.is_in_trouble = True
        server.note(event="trouble", kind=options.trouble)

    loop.add_signal_handler(signal.SIGUSR1, begin_trouble)
    loop.add_signal_handler(signal.SIGTERM, lambda: os._exit(0))
    listener = await asyncio.start_server(
        server.serve, options.ip, options.port, backlog=256
    )
    async with listener:
        await server.keep_entry()


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("id")
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--store-host", required=True)
    parser.add_argument("--store-port", type=int, required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--engine", action="store_true")
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--work-s", type=float, default=WORK_S)
    parser.add_argument("--trouble", default="")
    parser.add_argument("--at-start", action="store_true")
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(main(parse()))
