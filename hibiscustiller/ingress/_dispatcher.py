"""From a caller's request to the forwarder that answers it."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok, Result

from hibiscustiller.discovery import FleetView
from hibiscustiller.fleet import ClientLimits
from hibiscustiller.ingress._budget import RetryBudgets
from hibiscustiller.ingress._context import RequestContext, send_refusal
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._model_services import ModelServices
from hibiscustiller.ingress._plain import PlainForwarder
from hibiscustiller.ingress._routes import RouteTable, choose_service
from hibiscustiller.platform import read_request_facts
from hibiscustiller.utils import (
    Clock,
    Metrics,
    Refusal,
    RefusalReason,
    Verdict,
    log_event,
)
from hibiscustiller.wire import HttpRequest, Responder

_NO_DOCUMENT_RETRY = timedelta(milliseconds=500)


class RequestDispatcher:
    """Finds route, organisation and service of each request.

    :param crashes: requests under which servers have ended.
    :param apply_limits: called with the limits of each new document.
    """

    def __init__(
        self,
        view: FleetView,
        models: ModelServices,
        plain: PlainForwarder,
        crashes: CrashHistory,
        budgets: RetryBudgets,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
        apply_limits: Callable[[ClientLimits], None],
    ) -> None:
        self._view = view
        self._models = models
        self._plain = plain
        self._crashes = crashes
        self._budgets = budgets
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._apply_limits = apply_limits
        self._table: RouteTable | None = None

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request."""
        received_at = self._clock.monotonic()
        table = self.take_document()
        if table is None:
            await send_refusal(responder, _NO_DOCUMENT)
            return
        found = self._find_context(table, request, received_at)
        if isinstance(found, Err):
            await self._refuse(request, responder, found.err_value)
            return
        await self._forward(found.ok_value, responder)

    def take_document(self) -> RouteTable | None:
        """Return the routes of the document in force; None if none is known."""
        document = self._view.document
        if document is None:
            return None
        if self._table is None or self._table.document is not document:
            self._table = RouteTable(document)
            self._metrics.gauge("document.version", document.version)
            self._apply_limits(document.limits)
        return self._table

    def _find_context(
        self, table: RouteTable, request: HttpRequest, received_at: timedelta
    ) -> Result[RequestContext, Refusal]:
        facts = read_request_facts(request.fields)
        path = request.target.partition(b"?")[0].decode("latin-1")
        found = table.find_route(request.headers_by_name.get("host", ""), path)
        if isinstance(found, Err):
            return found
        route = found.ok_value
        holder = table.find_organisation(route, facts.api_key)
        if isinstance(holder, Err):
            return holder
        name = choose_service(route, self._random_state)
        services = table.document.services_by_name
        service = None if name is None else services.get(name)
        if service is None:
            return Err(_NO_SERVICE)
        return Ok(
            RequestContext(
                request,
                facts,
                route,
                service,
                holder.ok_value,
                table.document.version,
                received_at,
                self._clock,
            )
        )

    async def _forward(self, context: RequestContext, responder: Responder) -> None:
        service, kind = context.service, context.route.kind.value
        self._budgets.record_request(service.name)
        self._metrics.count(f"requests.{kind}")
        refusal = await self._crashes.admit(context.fingerprint, context.time_left)
        if refusal is not None:
            context.log("crashing_request_stopped", fingerprint=context.fingerprint)
            await self._refuse(context.request, responder, refusal)
            return
        try:
            if service.engine is not None:
                await self._models.get_forwarder(service).forward(context, responder)
            else:
                servers = self._view.list_servers(service.name)
                await self._plain.forward(context, servers, responder)
        finally:
            self._metrics.timing(f"request.{kind}", context.age)

    async def _refuse(
        self, request: HttpRequest, responder: Responder, refusal: Refusal
    ) -> None:
        document = self._view.document
        log_event(
            "request_refused",
            request=request.headers_by_name.get("request-id", ""),
            reason=refusal.reason.label,
            version=None if document is None else document.version,
        )
        self._metrics.count(f"refused.{refusal.reason.label}")
        await send_refusal(responder, refusal)


_NO_DOCUMENT = Refusal(
    RefusalReason.NO_ROUTE,
    Verdict.NOT_RUN,
    "no configuration is known yet",
    _NO_DOCUMENT_RETRY,
)
_NO_SERVICE = Refusal(
    RefusalReason.NO_ROUTE,
    Verdict.NOT_RUN,
    "the route names no service",
    _NO_DOCUMENT_RETRY,
)
