"""One router beside stand-ins, for tests of services and of disconnecting callers."""

import json
import random
from datetime import timedelta

import curio

from hibiscustiller.cli._demo import make_demo_settings
from hibiscustiller.serving import Router
from hibiscustiller.standins import ORGANISATION_KEYS_BY_ID, start_fleet
from hibiscustiller.utils import Metrics, Revision, SystemClock
from hibiscustiller.wire import HttpClient

TIMEOUT = timedelta(seconds=10)
KEY = ORGANISATION_KEYS_BY_ID["greens"]


class ServiceBench:
    """A router, its surroundings and a caller's client."""

    async def __aenter__(self):
        clock = SystemClock()
        self.fleet = await start_fleet(clock)
        settings = make_demo_settings(self.fleet.platform.address)
        self.router = Router(settings, clock, random.Random(7), Metrics())
        self.router.install_document(self.fleet.document, Revision(1))
        await self.router.start()
        self.client = HttpClient(clock)
        return self

    async def __aexit__(self, *args):
        await self.client.close()
        await self.router.stop()
        await self.fleet.close()

    @property
    def booked(self):
        return sum(len(booking.bookings) for booking in self.fleet.bookings)

    def delay_bookings(self, delay):
        for booking in self.fleet.bookings:
            booking.faults.delay = delay

    async def post(self, path, body, headers=None):
        return await self.client.request_json(
            self.router.caller_server.address,
            "POST",
            path,
            body,
            timeout=TIMEOUT,
            headers={"authorization": f"Bearer {KEY}", **(headers or {})},
        )

    async def open_request(self, path, body, headers=""):
        """Send a request over a connection that the test closes itself."""
        address = self.router.caller_server.address
        sock = await curio.open_connection(address.host, address.port)
        data = json.dumps(body, separators=(",", ":")).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n"
            f"{headers}content-length: {len(data)}\r\n\r\n"
        )
        await sock.sendall(head.encode() + data)
        return sock


async def wait_until(condition):
    """Wait for a condition; the limit only keeps a failing test from hanging."""
    async with curio.timeout_after(30):
        while not condition():
            await curio.sleep(0.01)


def read_error(answer):
    error = json.loads(answer.body)["error"]
    assert answer.headers_by_name["x-verdict"] == error["verdict"]
    return answer.status, error["reason"], error["verdict"]
