"""Stand-in for a server of a plain service on the platform."""

from __future__ import annotations

from collections.abc import Callable

import curio

from hibiscustiller.settings import Address
from hibiscustiller.standins._layered_engine import EntryWriter
from hibiscustiller.wire import HttpLimits, HttpRequest, HttpServer, Responder

_SILENCE_S = 3.0
_SILENCE_POLL_S = 0.005


class PlainServerStandin:
    """A server that answers ``booked``.

    :param server_id: its id.
    :param store: where it keeps its entry.
    :param behave: one of ``answer``, ``fail``, ``full``, ``reset``, ``other``,
        ``short``, ``silent``, ``unsealed``.
    :param address: where it listens.
    :param public_address: where others reach it; its own address by default.
    :param born: start of its process, in ms.
    :param work_s: time between the start of a request and its answer.
    :param on_run: called when a request begins to run.
    :param crashes_on: tells which requests end its process.
    :param restart_s: time until it is back after such a request.
    :param crash_delay_s: time between the start of such a request and the crash.
    :param keeps_connections: whether connections stay open and silent after a crash;
        the next process listens elsewhere.
    :param on_crash: called when it crashes.

    Attributes: ``rate_limit`` is the number of requests per second that it names as its
    limit in its answers; None to name none. ``is_leaving`` makes all answers say that
    it leaves. ``pause_s`` is the time for which its refusals want no requests. While
    ``is_silent`` is set, nothing is begun or sent, as by a process that is stopped for
    a while; new connections are accepted. ``arrival_count`` is the number of requests
    that were sent to it, also those that it did not begin.
    """

    def __init__(
        self,
        server_id: str,
        store: EntryWriter,
        behave: str = "answer",
        *,
        service: str = "orders",
        address: Address | None = None,
        public_address: Address | None = None,
        born: int = 1,
        work_s: float = 0.0,
        on_run: Callable[[HttpRequest], None] = lambda request: None,
        crashes_on: Callable[[HttpRequest], bool] = lambda request: False,
        restart_s: float = 1.0,
        crash_delay_s: float = 0.0,
        keeps_connections: bool = False,
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        self.id = server_id
        self._store = store
        self._service = service
        self._public_address = public_address
        self._born = born
        self._work_s = work_s
        self.crashes_on = crashes_on
        self.restart_s = restart_s
        self.crash_delay_s = crash_delay_s
        self.keeps_connections = keeps_connections
        self.on_crash = on_crash
        self.on_run = on_run
        self._is_down = False
        self.is_silent = False
        self.arrival_count = 0
        self.rate_limit: float | None = None
        self.is_leaving = False
        self.pause_s: float | None = None
        self.behave = behave
        self.requests: list[HttpRequest] = []
        self.server = self._make_server(address or Address("127.0.0.1", 0))

    def _make_server(self, address: Address) -> HttpServer:
        return HttpServer(address, self._handle, HttpLimits(), self.id)

    async def start(self) -> None:
        """Start to listen and write its entry."""
        await self.server.start()
        self.write_entry()

    async def crash(self, delay_s: float = 0.0) -> None:
        """End as a crashed process does, and start again later.

        :param delay_s: time until the crash.
        """
        born = self._born
        await curio.sleep(delay_s)
        if self._is_down or self._born != born:
            return
        self._is_down = True
        self.on_crash()
        if self.keeps_connections:
            await self.server.stop_accepting()
            self.server = self._make_server(Address("127.0.0.1", 0))
        else:
            await self.server.close()
        await curio.sleep(self.restart_s)
        self._born += 1
        self._is_down = False
        await self.start()

    def write_entry(self, state: str = "ready") -> None:
        """Write its entry in the store."""
        self._store.put(
            f"servers/{self.id}",
            {
                "service": self._service,
                "address": str(self._public_address or self.server.address),
                "zone": "north",
                "slots": 6,
                "state": state,
                "born": self._born,
            },
        )

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        self.arrival_count += 1
        while self.is_silent:
            await curio.sleep(_SILENCE_POLL_S)
        if request.headers_by_name.get("expect-instance") != self.id:
            headers = {"Instance-Id": self.id}
            if "request-id" in request.headers_by_name:
                headers["Request-Id"] = request.headers_by_name["request-id"]
            await responder.send_json(421, {}, headers)
            return
        if request.path == "/health":
            await responder.send(200, headers={"Instance-Id": self.id})
            return
        self.requests.append(request)
        headers = {"Request-Id": request.headers_by_name["request-id"]}
        if self.rate_limit is not None:
            headers["Server-Limit"] = str(self.rate_limit)
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if self.behave == "full":
            if self.pause_s is not None:
                headers["Retry-After"] = str(self.pause_s)
            headers["Not-Executed"] = "1"
            await responder.send(503, b"", "text/plain", headers)
            return
        self.on_run(request)
        if self.crashes_on(request):
            await curio.spawn(self.crash, self.crash_delay_s, daemon=True)
            await curio.sleep(_SILENCE_S)
        await curio.sleep(self._work_s)
        sealed = {**headers, "Response-Seal": f"seal-{self.id}"}
        if self.behave == "answer":
            await responder.send(200, b"booked", "text/plain", sealed)
        elif self.behave == "fail":
            await responder.send(500, b"failed", "text/plain", sealed)
        elif self.behave == "other":
            other = {**sealed, "Request-Id": "another"}
            await responder.send(200, b"of another", "text/plain", other)
        elif self.behave == "short":
            await responder.start(200, "text/plain", sealed)
            await responder.send_part(b"boo")
        elif self.behave == "silent":
            await curio.sleep(_SILENCE_S)
        elif self.behave == "unsealed":
            await responder.send(200, b"booked", "text/plain", headers)
