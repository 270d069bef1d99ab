"""Stand-in for a booking service: a plain service whose orders must not repeat."""

from __future__ import annotations

import json
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
    """

    drops_before: bool = False
    drops_after: bool = False
    delay: timedelta = timedelta(0)


class BookingStandin:
    """A small booking service with a stock.

    :param address: where it listens.
    :param clock: paces it.
    :param stock: units in stock at the start.
    """

    def __init__(self, address: Address, clock: Clock, stock: int = 1000) -> None:
        self.faults = BookingFaults()
        self.bookings: list[dict[str, Any]] = []
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
        if self.faults.drops_after:
            raise TransportError("dropped on purpose", Verdict.MAY_HAVE_RUN)
        number = len(self.bookings)
        await responder.send_json(201, {"booking": number, "quantity": quantity})
