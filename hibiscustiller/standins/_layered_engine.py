"""Stand-in for a model engine that holds a range of layers and joins pipelines."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import curio

from hibiscustiller.settings import Address
from hibiscustiller.wire import HttpLimits, HttpRequest, HttpServer, Responder

# Stages of a pipeline: address, first layer and the one after the last.
Path = list[tuple[str, int, int]]

_STALL_S = 2.0
_SILENCE_POLL_S = 0.005


class EntryWriter(Protocol):
    """Where servers keep their entries."""

    def put(self, key: str, value: Any) -> None:
        """Write an entry."""
        ...


class PipelineMember(Protocol):
    """An engine as another one of its pipeline sees it."""

    @property
    def is_alive(self) -> bool:
        """Whether its process runs."""
        ...

    def holds(self, first: int, end: int) -> bool:
        """Tell whether it holds layers."""
        ...

    async def leave(self) -> None:
        """Take note that the pipeline's stream has ended."""
        ...

    async def take_run(self, request: HttpRequest) -> bool:
        """Begin to run a request; False if that ends the engine's process."""
        ...


@dataclass
class LayeredEngineFaults:
    """Faults that a test switches on.

    :param is_full: requests are refused as not run, also as a later stage.
    :param breaks_after: a stream breaks off within the event after this many.
    :param is_of_other_request: answers bear another request's id.
    :param is_frozen: streams stand still after their first event.
    :param is_silent: nothing is read, begun or sent, and no connection is closed, as by
        a process that is stopped for a while. New connections are accepted.
    :param max_running: requests that run at the same time; more are refused as not run.
    :param begins_after_s: time that a request waits before it begins to run.
    :param rate_limit: requests per second that answers name as the engine's limit.
    :param is_leaving: all answers say that the engine leaves.
    :param pause_s: time for which refusals say that the engine wants no requests.
    """

    is_full: bool = False
    breaks_after: int | None = None
    is_of_other_request: bool = False
    is_frozen: bool = False
    is_silent: bool = False
    max_running: int | None = None
    begins_after_s: float = 0.0
    rate_limit: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None


class LayeredEngineStandin:
    """An engine; the engines of a test know each other by address.

    :param server_id: its id.
    :param store: where it keeps its entry.
    :param engines_by_address: all engines of the test.
    :param event_count: events of each answer.
    :param event_period_s: time between two events.
    :param address: where it listens.
    :param public_address: where others reach it; its own address by default.
    :param born: start of its process, in ms.
    :param find_members: returns the engines of a pipeline; None for one that cannot
        be reached. By default they are looked up among those of the test.
    :param on_run: called when a request begins to run.
    :param crashes_on: tells which requests end its process.
    :param restart_s: time until it is back after such a request.
    :param crash_delay_s: time between the start of such a request and the crash, in
        which there is no event.
    :param on_crash: called when it crashes.
    """

    def __init__(
        self,
        server_id: str,
        store: EntryWriter,
        engines_by_address: dict[str, LayeredEngineStandin],
        *,
        service: str = "engines",
        zone: str = "north",
        kind: str = "large",
        event_count: int = 20,
        event_period_s: float = 0.01,
        address: Address | None = None,
        public_address: Address | None = None,
        born: int = 1,
        find_members: Callable[[Path], Awaitable[Sequence[PipelineMember | None]]]
        | None = None,
        on_run: Callable[[HttpRequest, Path], None] = lambda request, path: None,
        crashes_on: Callable[[HttpRequest], bool] = lambda request: False,
        restart_s: float = 1.0,
        crash_delay_s: float = 0.0,
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        self._public_address = public_address
        self._born = born
        self._find_members = find_members or self._look_up_members
        self.on_run = on_run
        self.crashes_on = crashes_on
        self._restart_s = restart_s
        self.crash_delay_s = crash_delay_s
        self.on_crash = on_crash
        self.id = server_id
        self._store = store
        self._engines_by_address = engines_by_address
        self._service = service
        self._zone = zone
        self._kind = kind
        self._event_count = event_count
        self._event_period_s = event_period_s
        self.layers = (0, 0)
        self.order_count = 0
        self.orders: list[dict[str, Any]] = []
        self.requests: list[HttpRequest] = []
        self.paths: list[Path] = []
        # Requests that were sent to it, also those that it did not begin.
        self.arrival_count = 0
        # Requests that hold a place, also if their callers left while it was silent.
        self.running_count = 0
        self.last_fence = 0
        self.is_alive = False
        self.state = "ready"
        self.faults = LayeredEngineFaults()
        self.server = HttpServer(
            address or Address("127.0.0.1", 0), self._handle, HttpLimits(), server_id
        )

    @property
    def address(self) -> Address:
        """Where others reach it."""
        return self._public_address or self.server.address

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

    async def crash(self, delay_s: float = 0.0) -> None:
        """End as a crashed process does, and start again later without layers.

        :param delay_s: time until the crash.
        """
        born = self._born
        await curio.sleep(delay_s)
        if not self.is_alive or self._born != born:
            return
        self.on_crash()
        await self.die()
        await curio.sleep(self._restart_s)
        self._born += 1
        self.layers = (0, 0)
        self.order_count = self.last_fence = 0
        await self.start()

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
                "born": self._born,
                "sequence": self.order_count,
            },
        )

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/member":
            await responder.send_json(200, {"layers": self.layers})
        elif request.headers_by_name.get("expect-instance") != self.id:
            headers = {"Instance-Id": self.id}
            if "request-id" in request.headers_by_name:
                headers["Request-Id"] = request.headers_by_name["request-id"]
            await responder.send_json(421, {}, headers)
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
            "born": self._born,
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
        self.arrival_count += 1
        await self._wait_while_silent()
        path = _parse_path(request.headers_by_name["hop-count"])
        stages = await self._find_members(path)
        self.requests.append(request)
        self.paths.append(path)
        max_running = self.faults.max_running
        if max_running is not None and self.running_count >= max_running:
            headers = {
                "Not-Executed": "1",
                "Request-Id": request.headers_by_name["request-id"],
            }
            await responder.send_json(503, {}, headers)
            return
        self.running_count += 1
        try:
            await self._run_request(request, responder, path, stages)
        finally:
            # A silent process does not notice that a caller has left.
            await curio.spawn(self._end_run, daemon=True)

    async def _end_run(self) -> None:
        await self._wait_while_silent()
        self.running_count -= 1

    async def _wait_while_silent(self) -> None:
        while self.faults.is_silent:
            await curio.sleep(_SILENCE_POLL_S)

    async def _run_request(
        self,
        request: HttpRequest,
        responder: Responder,
        path: Path,
        stages: Sequence[PipelineMember | None],
    ) -> None:
        try:
            for stage, (address, first, end) in zip(stages, path, strict=True):
                is_dead = stage is None or not stage.is_alive
                if is_dead or not stage.holds(first, end):
                    headers = {
                        "Not-Executed": "1",
                        "At-Server": address,
                        "Request-Id": request.headers_by_name["request-id"],
                    }
                    if self.faults.pause_s is not None:
                        headers["Retry-After"] = str(self.faults.pause_s)
                    await responder.send_json(503, {}, headers)
                    return
            await curio.sleep(self.faults.begins_after_s)
            self.on_run(request, path)
            for stage in stages:
                if stage is not None and not await stage.take_run(request):
                    await curio.sleep(_STALL_S)
                    return
            await self._stream(request, responder, stages)
        finally:
            for stage in stages:
                if stage is not None:
                    await stage.leave()

    async def _look_up_members(self, path: Path) -> Sequence[PipelineMember | None]:
        return [self._engines_by_address.get(address) for address, _, _ in path]

    async def take_run(self, request: HttpRequest) -> bool:
        """Begin to run a request; False if that ends this engine's process."""
        is_crash = self.crashes_on(request)
        if is_crash:
            # The handler that calls this belongs to what the crash cancels.
            await curio.spawn(self.crash, self.crash_delay_s, daemon=True)
        return not is_crash

    async def leave(self) -> None:
        """Nothing is kept for a pipeline within one process."""

    def holds(self, first: int, end: int) -> bool:
        """Tell whether it holds layers and takes requests for them."""
        is_held = self.layers[0] <= first and end <= self.layers[1]
        return is_held and not self.faults.is_full

    async def _stream(
        self,
        request: HttpRequest,
        responder: Responder,
        stages: Sequence[PipelineMember | None],
    ) -> None:
        request_id = request.headers_by_name["request-id"]
        if self.faults.is_of_other_request:
            request_id = "another"
        headers = {"Request-Id": request_id, "Response-Seal": f"seal-{self.id}"}
        if self.faults.rate_limit is not None:
            headers["Server-Limit"] = str(self.faults.rate_limit)
        if self.faults.is_leaving:
            headers["Server-Leaving"] = "1"
        last = int(request.headers_by_name.get("last-event-id", -1))
        await self._wait_while_silent()
        await responder.start(200, "text/event-stream", headers)
        for number in range(last + 1, self._event_count):
            while not all(stage is not None and stage.is_alive for stage in stages):
                # A pipeline with a dead stage stands still.
                await curio.sleep(_STALL_S)
            if self.faults.breaks_after == number:
                self.faults.breaks_after = None
                await responder.send_part(b"id: %d\nda" % number)
                return
            await self._wait_while_silent()
            await responder.send_part(make_event(number))
            while self.faults.is_frozen:
                await curio.sleep(self._event_period_s)
            await curio.sleep(self._event_period_s)
        await responder.finish()


def make_event(number: int) -> bytes:
    """Return the bytes of an event of every engine's answer."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


def _parse_path(text: str) -> Path:
    path: Path = []
    for part in text.split(","):
        address, _, layers = part.partition("=")
        first, _, end = layers.partition("-")
        path.append((address, int(first), int(end)))
    return path
