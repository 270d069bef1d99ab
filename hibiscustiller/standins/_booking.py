"""Stand-in for a booking service: a plain service whose orders must not repeat."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, Verdict
from hibiscustiller.wire import HttpLimits, HttpRequest, HttpServer, Responder


@dataclass
class BookingFaults:
    """Faults that a test switches on.

    :param drops_before: the connection breaks before the order takes effect.
    :param drops_after: the connection breaks after the order took effect.
    :param delay: wait before an order takes effect.
    :param is_leaving: every call is answered 503 without effect.
    :param answer_bytes: size of padding in the answer to an order.
    """

    drops_before: bool = False
    drops_after: bool = False
    delay: timedelta = timedelta(0)
    is_leaving: bool = False
    answer_bytes: int = 0


class BookingStandin:
    """A small booking service with a stock.

    :param address: where it listens.
    :param clock: paces it.
    :param stock: units in stock at the start.
    """

    def __init__(self, address: Address, clock: Clock, stock: int = 1000) -> None:
        self.faults = BookingFaults()
        self.bookings: list[dict[str, Any]] = []
        # The service does not recognise repeats; the counts show each booking.
        self.bookings_by_key: Counter[str] = Counter()
        # A test tells calls of one order apart by their content types.
        self.booked_content_types: list[str] = []
        self.calls = 0
        self.stock = stock
        self._clock = clock
        self.server = HttpServer(address, self._handle, HttpLimits(), "booking")

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.server.address

    async def start(self) -> None:
        """Start to listen."""
        await self.server.start()

    async def close(self) -> None:
        """Stop and close all connections."""
        await self.server.close()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        self.calls += 1
        if self.faults.is_leaving:
            headers = {"x-verdict": Verdict.NOT_RUN.value}
            await responder.send_json(503, {"error": "leaving"}, headers)
            return
        match (request.method, request.path):
            case ("POST", "/bookings"):
                await self._book(request, responder)
            case ("GET", "/stock"):
                await responder.send_json(200, {"stock": self.stock})
            case _:
                await responder.send_json(404, {"error": "not found"})

    async def _book(self, request: HttpRequest, responder: Responder) -> None:
        if self.faults.delay:
            await self._clock.sleep(self.faults.delay)
        if self.faults.drops_before:
            raise TransportError("dropped on purpose", Verdict.NOT_RUN)
        order = json.loads(request.body)
        quantity = int(order["quantity"])
        if quantity > self.stock:
            await responder.send_json(409, {"error": "out of stock"})
            return
        self.stock -= quantity
        self.bookings.append(order)
        self.bookings_by_key[request.headers_by_name.get("idempotency-key", "")] += 1
        content_type = request.headers_by_name.get("content-type", "")
        self.booked_content_types.append(content_type)
        if self.faults.drops_after:
            raise TransportError("dropped on purpose", Verdict.MAY_HAVE_RUN)
        number = len(self.bookings)
        answer = {"booking": number, "quantity": quantity}
        if self.faults.answer_bytes:
            answer["padding"] = "x" * self.faults.answer_bytes
        await responder.send_json(201, answer)
