"""HTTP server for the metrics and the state of the daemon."""

from __future__ import annotations

import resource
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from hibiscustiller.ingress._exposition import ExposedMetrics
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, log_event
from hibiscustiller.wire import Handler, HttpRequest, HttpServer, Responder

_SAMPLING_PERIOD = timedelta(seconds=1)


class InspectionServer:
    """Server of ``/metrics`` and ``/state``.

    :param address: address to listen at.
    :param metrics: metrics to serve.
    :param describe: returns the state of the daemon as JSON values.
    :param clock: source of time.
    :param make_server: makes the server of a name, an address and a handler.
    :param record_levels: sets gauges; called once per second.
    """

    def __init__(
        self,
        address: Address,
        metrics: ExposedMetrics,
        describe: Callable[[], dict[str, Any]],
        clock: Clock,
        make_server: Callable[[str, Address, Handler], HttpServer],
        record_levels: Callable[[], None] = lambda: None,
    ) -> None:
        self._record_levels = record_levels
        self._metrics = metrics
        self._describe = describe
        self._clock = clock
        self._server = make_server("inspection", address, self._handle)

    @property
    def address(self) -> Address:
        """Address at which the server listens."""
        return self._server.address

    async def start(self) -> None:
        """Start to listen.

        A failure is only logged, since the daemon can route without inspection.
        """
        try:
            await self._server.start()
        except OSError as error:
            log_event("inspection_failed", level="error", reason=error)

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def run(self) -> None:
        """Record levels, the delay of the event loop and the peak memory regularly."""
        while True:
            sleep_started_at = self._clock.monotonic()
            await self._clock.sleep(_SAMPLING_PERIOD)
            delay = self._clock.monotonic() - sleep_started_at - _SAMPLING_PERIOD
            self._metrics.timing("loop_delay", max(timedelta(0), delay))
            usage = resource.getrusage(resource.RUSAGE_SELF)
            self._metrics.gauge("memory.peak_kb", usage.ru_maxrss)
            self._record_levels()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/metrics":
            await responder.send(200, self._metrics.render(), "text/plain")
        elif request.path == "/state":
            await responder.send_json(200, self._describe())
        else:
            await responder.send_json(404, {"error": "only /metrics and /state exist"})
