"""A server of the plain service that leaves without ever reporting ``draining``.

On SIGUSR1 it removes its entry from the store, goes on to serve for ``drain_ms`` and a
little longer, and then exits. It appends each run to a file, and the moment at which
the store acknowledged the removal.
"""

import asyncio
import json
import os
import signal
import sys
import time
from base64 import b64encode

from deployment import call_store

WORK_S = 0.05
HEARTBEAT_S = 1.2
LEASE_MS = 3600
# drain_ms, and a little longer.
SERVES_AFTER_S = 2.0 + 0.5


class LeavingServer:
    def __init__(self, server_id, port, store_port, record_path):
        self.id = server_id
        self.port = port
        self.store_port = store_port
        self.record = os.open(record_path, os.O_WRONLY | os.O_APPEND)
        self.lease = None
        self.is_leaving = False
        self.born = int(time.time() * 1000)

    def note(self, **values):
        values |= {"server": self.id, "at": time.monotonic()}
        os.write(self.record, json.dumps(values).encode() + b"\n")

    def register(self):
        status, answer = call_store(
            self.store_port, "POST", "/kv-lease", {"ttl_ms": LEASE_MS}
        )
        assert status == 200
        self.lease = answer["lease"]
        entry = {
            "service": "orders",
            "address": f"127.0.0.1:{self.port}",
            "zone": "north",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": self.born,
            "sequence": 1,
        }
        key = f"servers/{self.id}"
        put = {
            "key": key,
            "value": b64encode(json.dumps(entry).encode()).decode(),
            "lease": self.lease,
        }
        body = {"expected": [{"key": key, "rev": 0}], "puts": [put], "remove": []}
        status, _ = call_store(self.store_port, "POST", "/kv-txn", body)
        assert status == 200

    async def keep_alive(self):
        while not self.is_leaving:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_leaving:
                call_store(self.store_port, "POST", f"/kv-keep/{self.lease}", {})

    async def leave(self):
        self.is_leaving = True
        target = f"/kv-lease-end/{self.lease}"
        status, _ = call_store(self.store_port, "DELETE", target)
        assert status == 200
        self.note(event="removed")
        await asyncio.sleep(SERVES_AFTER_S)
        self.note(event="exits")
        os._exit(0)

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
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        request_id = fields.get("request-id", "")
        if fields.get("expect-instance", self.id) != self.id:
            self.send(writer, "421 Misdirected", request_id, b"", ["Not-Executed: 1"])
            return True
        self.note(event="run", request=request_id)
        await asyncio.sleep(WORK_S)
        self.send(writer, "200 OK", request_id, b"booked", ["Response-Seal: seal"])
        self.note(event="answered", request=request_id)
        await writer.drain()
        return True

    def send(self, writer, status, request_id, body, fields):
        lines = [
            f"HTTP/1.1 {status}",
            f"Request-Id: {request_id}",
            f"Instance-Id: {self.id}",
            f"Content-Length: {len(body)}",
            *fields,
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)


async def main():
    server_id, port, store_port, record_path = sys.argv[1:]
    server = LeavingServer(server_id, int(port), int(store_port), record_path)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", server.port)
    server.register()
    loop = asyncio.get_running_loop()
    leaving = []
    loop.add_signal_handler(
        signal.SIGUSR1,
        lambda: leaving.append(asyncio.ensure_future(server.leave())),
    )
    await asyncio.gather(server.keep_alive(), listener.serve_forever())


if __name__ == "__main__":
    asyncio.run(main())
