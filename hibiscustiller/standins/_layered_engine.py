"""Stand-in for a model engine that holds a range of layers and joins pipelines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import curio

from hibiscustiller.settings import Address
from hibiscustiller.standins._metadata_store import MetadataStoreStandin
from hibiscustiller.wire import HttpLimits, HttpRequest, HttpServer, Responder

_EVENT_PERIOD_S = 0.01
_STALL_S = 2.0


@dataclass
class LayeredEngineFaults:
    """Faults that a test switches on.

    :param is_full: requests are refused as not run.
    :param breaks_after: a stream breaks off within the event after this many.
    :param is_of_other_request: answers bear another request's id.
    """

    is_full: bool = False
    breaks_after: int | None = None
    is_of_other_request: bool = False


class LayeredEngineStandin:
    """An engine; the engines of a test know each other by address.

    :param server_id: its id.
    :param store: where it keeps its entry.
    :param engines_by_address: all engines of the test.
    :param event_count: events of each answer.
    """

    def __init__(
        self,
        server_id: str,
        store: MetadataStoreStandin,
        engines_by_address: dict[str, LayeredEngineStandin],
        *,
        service: str = "engines",
        zone: str = "north",
        kind: str = "large",
        event_count: int = 20,
    ) -> None:
        self.id = server_id
        self._store = store
        self._engines_by_address = engines_by_address
        self._service = service
        self._zone = zone
        self._kind = kind
        self._event_count = event_count
        self.layers = (0, 0)
        self.order_count = 0
        self.orders: list[dict[str, Any]] = []
        self.requests: list[HttpRequest] = []
        self.paths: list[list[tuple[str, int, int]]] = []
        self.last_fence = 0
        self.is_alive = False
        self.state = "ready"
        self.faults = LayeredEngineFaults()
        self.server = HttpServer(
            Address("127.0.0.1", 0), self._handle, HttpLimits(), server_id
        )

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.server.address

    async def start(self) -> None:
        """Start to listen and write its entry."""
        await self.server.start()
        self._engines_by_address[str(self.address)] = self
        self.is_alive = True
        self.write_entry()

    async def die(self) -> None:
        """End as a killed process does; its entry stays until its lease ends."""
        self.is_alive = False
        await self.server.close()

    def write_entry(self) -> None:
        """Write its entry in the store."""
        first, end = self.layers
        self._store.put(
            f"servers/{self.id}",
            {
                "service": self._service,
                "address": str(self.address),
                "zone": self._zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "kind": self._kind,
                "layers": {"from": first, "target": end, "version": 1},
                "born": 1,
                "sequence": self.order_count,
            },
        )

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.headers_by_name.get("expect-instance") != self.id:
            await responder.send_json(421, {}, {"Instance-Id": self.id})
        elif request.path == "/report":
            await responder.send_json(200, self._make_report())
        elif request.path == "/order":
            await self._answer_order(request.read_json(), responder)
        else:
            await self._answer_request(request, responder)

    def _make_report(self) -> dict[str, Any]:
        first, end = self.layers
        return {
            "sequence": self.order_count,
            "busy": False,
            "layers": {"from": first, "target": end, "version": 1},
        }

    async def _answer_order(self, order: dict[str, Any], responder: Responder) -> None:
        if order["fencing_token"] < self.last_fence:
            await responder.send_json(412, {})
            return
        if order.get("expected", self.order_count) != self.order_count:
            await responder.send_json(409, {})
            return
        self.last_fence = order["fencing_token"]
        self.order_count += 1
        self.orders.append(order)
        self.layers = (order["from"], order["target"])
        self.write_entry()
        await responder.send_json(202, {})

    async def _answer_request(self, request: HttpRequest, responder: Responder) -> None:
        path = _parse_path(request.headers_by_name["hop-count"])
        stages = [self._engines_by_address.get(address) for address, _, _ in path]
        self.requests.append(request)
        self.paths.append(path)
        for stage, (address, first, end) in zip(stages, path, strict=True):
            is_dead = stage is None or not stage.is_alive
            if self.faults.is_full or is_dead or not stage.holds(first, end):
                headers = {"Not-Executed": "1", "At-Server": address}
                await responder.send_json(503, {}, headers)
                return
        await self._stream(request, responder, stages)

    def holds(self, first: int, end: int) -> bool:
        """Tell whether it holds layers."""
        return self.layers[0] <= first and end <= self.layers[1]

    async def _stream(
        self,
        request: HttpRequest,
        responder: Responder,
        stages: list[LayeredEngineStandin | None],
    ) -> None:
        request_id = request.headers_by_name["request-id"]
        if self.faults.is_of_other_request:
            request_id = "another"
        headers = {"Request-Id": request_id, "Response-Seal": f"seal-{self.id}"}
        last = int(request.headers_by_name.get("last-event-id", -1))
        await responder.start(200, "text/event-stream", headers)
        for number in range(last + 1, self._event_count):
            while not all(stage is not None and stage.is_alive for stage in stages):
                # A pipeline with a dead stage stands still.
                await curio.sleep(_STALL_S)
            if self.faults.breaks_after == number:
                self.faults.breaks_after = None
                await responder.send_part(b"id: %d\nda" % number)
                return
            await responder.send_part(make_event(number))
            await curio.sleep(_EVENT_PERIOD_S)
        await responder.finish()


def make_event(number: int) -> bytes:
    """Return the bytes of an event of every engine's answer."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


def _parse_path(text: str) -> list[tuple[str, int, int]]:
    path = []
    for part in text.split(","):
        address, _, layers = part.partition("=")
        first, _, end = layers.partition("-")
        path.append((address, int(first), int(end)))
    return path
