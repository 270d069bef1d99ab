"""An engine whose streams have neither a length nor chunks.

It holds the layers that it is ordered to hold, and writes the same events for the same
request as every other engine. It appends what it runs and writes to a file.
"""

import asyncio
import json
import os
import sys
import time
from base64 import b64encode

from deployment import call_store

EVENT_PERIOD_S = 0.05
HEARTBEAT_S = 1.2
LEASE_MS = 3600


class Engine:
    def __init__(self, server_id, port, public_port, store_port, record_path):
        self.id = server_id
        self.port = port
        self.public_port = public_port
        self.store_port = store_port
        self.record = os.open(record_path, os.O_WRONLY | os.O_APPEND)
        self.born = int(time.time() * 1000)
        self.layers = (0, 0)
        self.sequence = 0
        self.fence = 0
        self.lease = None
        self.revision = 0

    def note(self, **values):
        values |= {"server": self.id, "at": time.monotonic()}
        os.write(self.record, json.dumps(values).encode() + b"\n")

    def describe_layers(self):
        return {"from": self.layers[0], "target": self.layers[1], "version": 1}

    def write_entry(self):
        if self.lease is None:
            body = {"ttl_ms": LEASE_MS}
            _, answer = call_store(self.store_port, "POST", "/kv-lease", body)
            self.lease = answer["lease"]
        entry = {
            "service": "engines",
            "address": f"127.0.0.1:{self.public_port}",
            "zone": "north",
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "cold_remaining_ms": 0,
            "kind": "large",
            "layers": self.describe_layers(),
            "born": self.born,
            "sequence": self.sequence,
        }
        key = f"servers/{self.id}"
        value = b64encode(json.dumps(entry).encode()).decode()
        body = {
            "expected": [{"key": key, "rev": self.revision}],
            "puts": [{"key": key, "value": value, "lease": self.lease}],
            "remove": [],
        }
        status, answer = call_store(self.store_port, "POST", "/kv-txn", body)
        assert status == 200, (status, answer)
        self.revision = answer["rev"]

    async def keep_alive(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            call_store(self.store_port, "POST", f"/kv-keep/{self.lease}", {})

    async def serve(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length") or 0))
        if fields.get("expect-instance", self.id) != self.id:
            return self.send(writer, "421 Misdirected", fields, {}, ["Not-Executed: 1"])
        if head[0].startswith("GET /report"):
            report = {"sequence": self.sequence, "busy": False, "born": self.born}
            report["layers"] = self.describe_layers()
            return self.send(writer, "200 OK", fields, report)
        if head[0].startswith("POST /order"):
            return self.send(writer, *self.take_order(json.loads(body)))
        await self.stream(writer, fields, body)
        return False

    def take_order(self, order):
        if order.get("fencing_token", self.fence) < self.fence:
            return "412 Precondition Failed", {}, {}
        if order.get("expected", self.sequence) != self.sequence:
            return "409 Conflict", {}, {}
        self.fence = order.get("fencing_token", self.fence)
        self.layers = (order["from"], order["target"])
        self.sequence += 1
        self.write_entry()
        return "202 Accepted", {}, {}

    def send(self, writer, status, fields, value, more=()):
        data = json.dumps(value).encode()
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(data)}", *more]
        if "request-id" in fields:
            lines.append(f"Request-Id: {fields['request-id']}")
        lines += [f"Instance-Id: {self.id}", "Content-Type: application/json"]
        writer.write("\r\n".join([*lines, "", ""]).encode() + data)
        return True

    async def stream(self, writer, fields, body):
        count = json.loads(body)["events"]
        last = int(fields.get("last-event-id") or 0)
        request_id = fields["request-id"]
        self.note(event="run", request=request_id, after=last)
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Seal: seal-{self.id}",
            "Content-Type: text/event-stream",
            "Connection: close",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(last + 1, count + 1):
            writer.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)
        self.note(event="end", request=request_id, last=count)


async def main():
    server_id, port, public_port, store_port, record_path = sys.argv[1:]
    engine = Engine(
        server_id, int(port), int(public_port), int(store_port), record_path
    )
    listener = await asyncio.start_server(engine.serve, "127.0.0.1", engine.port)
    engine.write_entry()
    await asyncio.gather(engine.keep_alive(), listener.serve_forever())


if __name__ == "__main__":
    asyncio.run(main())
