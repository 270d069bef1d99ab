"""Dispatch of callers' requests to the forwarder of their service."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from result import Err, Ok, Result

from hibiscustiller.discovery import FleetView, StateCurrency
from hibiscustiller.fleet import ClientLimits
from hibiscustiller.ingress._budget import RetryBudgets
from hibiscustiller.ingress._context import RequestContext, send_refusal
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._durations import RouteDurations
from hibiscustiller.ingress._final_refusals import FinalRefusals
from hibiscustiller.ingress._forwarding_fields import (
    DECLINED_HEADER,
    FORWARDED_BY_HEADER,
    limit_attempts,
    read_document_version,
)
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.ingress._model_services import ModelServices
from hibiscustiller.ingress._part_history import PartHistory
from hibiscustiller.ingress._plain import PlainForwarder
from hibiscustiller.ingress._router_forwarding import RouterForwarder
from hibiscustiller.ingress._routes import RouteTable, choose_service
from hibiscustiller.ingress._stream_demands import count_expected_events
from hibiscustiller.platform import read_request_facts
from hibiscustiller.utils import (
    Clock,
    Metrics,
    Refusal,
    RefusalReason,
    Verdict,
    hash_secret,
    log_event,
)
from hibiscustiller.wire import HttpRequest, Responder

_NO_ROUTE_RETRY_AFTER = timedelta(milliseconds=500)
_FIRST_ERROR_STATUS = 400
# The wait of a caller that does not tell its own, if its route is not known either.
_USUAL_WAIT_LIMIT = timedelta(seconds=1)
# A request that arrives after the listener has closed is owed its whole answer, so it
# is accepted only if this many times its expected duration is left.
_LATE_ARRIVAL_MARGIN = 2.0
# What a log line holds of a path, and of the digest of a key.
_MAX_LOGGED_PATH = 80
_LOGGED_DIGEST_LENGTH = 12
# Another router can take the request at once.
_STOPPING_RETRY_AFTER = timedelta(milliseconds=50)


class RequestDispatcher:
    """Dispatcher that resolves the route, organisation and service of each request.

    :param view: local copy of the fleet document and the servers.
    :param model_services: forwarders of the services that run a model.
    :param plain_forwarder: forwarder of all other services.
    :param crashes: history of requests whose backend servers crashed.
    :param parts: history of prompt parts under which backend servers crashed.
    :param budgets: retry budgets, which grow with the number of requests.
    :param apply_limits: called with the client limits of each new document.
    :param routers: passes requests on while this router reaches no server.
    :param health: reachability of the servers.
    :param get_currency: tells how current the state of this router is.
    """

    def __init__(
        self,
        view: FleetView,
        model_services: ModelServices,
        plain_forwarder: PlainForwarder,
        crashes: CrashHistory,
        parts: PartHistory,
        budgets: RetryBudgets,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
        apply_limits: Callable[[ClientLimits], None],
        routers: RouterForwarder,
        health: ServerHealth,
        get_currency: Callable[[], StateCurrency],
    ) -> None:
        self._get_currency = get_currency
        self._final_refusals = FinalRefusals(get_currency, clock, random_state)
        self._routers = routers
        self._health = health
        self._view = view
        self._model_services = model_services
        self._plain_forwarder = plain_forwarder
        self._crashes = crashes
        self._parts = parts
        self._budgets = budgets
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._apply_limits = apply_limits
        self._route_table: RouteTable | None = None
        self._durations = RouteDurations()
        self._stop_at: timedelta | None = None
        self._listen_until = timedelta(0)

    def begin_stop(self, stop_at: timedelta, listen_until: timedelta) -> None:
        """Accept only requests that can probably be answered before the router stops.

        :param stop_at: when the router stops to work on requests, on the monotonic
            clock.
        :param listen_until: when it closes its listener, on the same clock.
        """
        self._stop_at = stop_at
        self._listen_until = listen_until

    async def handle_forwarded(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Answer a request that another router passed on, or decline it."""
        if self._health.is_cut_off or self._stop_at is not None:
            await self._decline(request, responder)
            return
        version, document = read_document_version(request), self._view.document
        self._view.record_named_version(version)
        if document is not None and document.short_version < version:
            await self._decline(request, responder, _OUTDATED)
            return
        await self.handle(request, responder, is_forwarded=True)

    async def handle(
        self, request: HttpRequest, responder: Responder, *, is_forwarded: bool = False
    ) -> None:
        """Forward a request, or refuse it if it cannot be dispatched.

        :param is_forwarded: whether another router passed it on.
        """
        received_at = self._clock.monotonic()
        context_result = await self._judge(
            request, received_at, is_forwarded=is_forwarded
        )
        if isinstance(context_result, Ok):
            try:
                await self._forward(context_result.ok_value, responder)
            finally:
                request.release_body()
        elif is_forwarded and context_result.err_value.reason in _LACKING_REASONS:
            await self._decline(request, responder, context_result.err_value)
        else:
            await self._refuse(request, responder, context_result.err_value)

    async def _judge(
        self, request: HttpRequest, received_at: timedelta, *, is_forwarded: bool
    ) -> Result[RequestContext, Refusal]:
        """Find the route and the organisation of a request, or why it is refused.

        A final refusal is given only by a state that is known to be current.
        """
        wait_limit = read_request_facts(request.fields).wait_limit
        until = self._final_refusals.get_deadline(wait_limit or _USUAL_WAIT_LIMIT)
        while True:
            table = self.update_route_table()
            if table is None:
                return Err(_NO_DOCUMENT)
            result = self._build_context(
                table, request, received_at, is_forwarded=is_forwarded
            )
            if isinstance(result, Ok):
                return result
            refusal = result.err_value
            if not await self._final_refusals.wait_for_newer(refusal, until):
                return Err(self._final_refusals.check(refusal))

    def update_route_table(self) -> RouteTable | None:
        """Rebuild the route table if the fleet document has changed.

        :returns: the routes of the current document; None if there is none yet.
        """
        document = self._view.document
        if document is None:
            return None
        if self._route_table is None or self._route_table.document is not document:
            self._route_table = RouteTable(document)
            self._metrics.gauge("document.version", document.version)
            self._apply_limits(document.limits)
        return self._route_table

    def _build_context(
        self,
        table: RouteTable,
        request: HttpRequest,
        received_at: timedelta,
        *,
        is_forwarded: bool,
    ) -> Result[RequestContext, Refusal]:
        facts = read_request_facts(request.fields)
        host = request.headers_by_name.get("host", "")
        route_result = table.find_route(host, _read_path(request))
        if isinstance(route_result, Err):
            return route_result
        route = route_result.ok_value
        if is_forwarded:
            route = limit_attempts(route, request)
        organisation_result = table.find_organisation(route, facts.api_key)
        if isinstance(organisation_result, Err):
            return organisation_result
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
                organisation_result.ok_value,
                table.document.version,
                received_at,
                self._clock,
                lambda: self._stop_at,
                is_forwarded,
                may_forward_to_router=not is_forwarded,
                priority=table.document.get_priority(
                    route, organisation_result.ok_value
                ),
            )
        )

    async def _forward(self, context: RequestContext, responder: Responder) -> None:
        service, kind = context.service, context.route.kind.value
        self._metrics.count(f"requests.{kind}")
        if not self._can_end_before_stop(context):
            self._budgets.record_request(service.name)
            context.log("request_refused_by_stop", time_left=context.time_left)
            await self._refuse(context.request, responder, _STOPPING)
            return
        servers = self._view.list_servers(service.name)
        is_out_of_reach = servers and not self._health.is_any_reachable(servers)
        if is_out_of_reach:
            if await self._forward_to_router(context, responder):
                return
            context = replace(context, may_forward_to_router=False)
        # The router that answers a request counts it toward the budget.
        self._budgets.record_request(service.name)
        refusal = self._parts.check(context.facts.prompt_parts)
        if refusal is None:
            refusal = await self._crashes.admit(context.fingerprint, context.time_left)
        if refusal is not None:
            context.log(
                "crashing_request_stopped",
                fingerprint=context.fingerprint,
                parts=",".join(context.facts.prompt_parts),
                detail=refusal.message,
                retry_after=refusal.retry_after,
            )
            await self._refuse(context.request, responder, refusal)
            return
        timing = None
        try:
            if service.engine is not None:
                forwarder = self._model_services.get_forwarder(service)
                timing = await forwarder.forward(context, responder)
            else:
                await self._plain_forwarder.forward(context, responder)
            if responder.is_finished and responder.status < _FIRST_ERROR_STATUS:
                self._durations.record(context.route, context.age, timing)
        finally:
            self._metrics.timing(f"request.{kind}", context.age)

    async def _forward_to_router(
        self, context: RequestContext, responder: Responder
    ) -> bool:
        """Let another router answer a request, unless it comes from one.

        :returns: whether the request has an answer or a refusal; otherwise this router
            may reach a server after all.
        """
        if context.is_forwarded:
            await self._decline(context.request, responder)
            return True
        refusal = await self._routers.forward(context, responder)
        if refusal is None:
            return True
        # All servers may have crashed, and be back before the next regular probe.
        if refusal.verdict is Verdict.NOT_RUN and await self._health.reach.look_again():
            return False
        await self._refuse(context.request, responder, refusal)
        return True

    async def _decline(
        self, request: HttpRequest, responder: Responder, refusal: Refusal | None = None
    ) -> None:
        """Refuse a request so that the router that passed it on asks another one."""
        responder.extra_headers[DECLINED_HEADER] = "1"
        await self._refuse(request, responder, refusal or _DECLINED)

    def _can_end_before_stop(self, context: RequestContext) -> bool:
        """Tell whether a request will probably be answered before the router stops."""
        if self._stop_at is None:
            return True
        spec = context.service.engine
        if spec is None:
            expected = self._durations.estimate(context.route)
        else:
            event_count = count_expected_events(context.facts, spec)
            expected = self._durations.estimate_stream(context.route, event_count)
        if context.received_at >= self._listen_until:
            expected *= _LATE_ARRIVAL_MARGIN
        return expected < self._stop_at - self._clock.monotonic()

    async def _refuse(
        self, request: HttpRequest, responder: Responder, refusal: Refusal
    ) -> None:
        currency, headers = self._get_currency(), request.headers_by_name
        key = read_request_facts(request.fields).api_key
        log_event(
            "request_refused",
            request=headers.get("request-id", ""),
            reason=refusal.reason.label,
            detail=refusal.message,
            host=headers.get("host", ""),
            path=_read_path(request)[:_MAX_LOGGED_PATH],
            key="" if key is None else hash_secret(key)[:_LOGGED_DIGEST_LENGTH],
            passed_on_by=headers.get(FORWARDED_BY_HEADER, ""),
            version=currency.version,
            named_version=currency.named_version,
            state_age=currency.age,
        )
        self._metrics.count(f"refused.{refusal.reason.label}")
        await send_refusal(responder, refusal)


def _read_path(request: HttpRequest) -> str:
    """Return the path as it was sent, also that of a target in absolute form."""
    path = request.target.partition(b"?")[0].decode("latin-1")
    if path.startswith("/"):
        return path
    _, _, location = path.partition("://")
    return "/" + location.partition("/")[2] if location else path


_NO_DOCUMENT = Refusal(
    RefusalReason.NO_ROUTE,
    Verdict.NOT_RUN,
    "the router has not received a configuration yet",
    _NO_ROUTE_RETRY_AFTER,
)
# Another router may have the configuration that this one lacks.
_LACKING_REASONS = frozenset({RefusalReason.NO_ROUTE, RefusalReason.OUTDATED})
_DECLINED = Refusal(
    RefusalReason.NO_ROUTE,
    Verdict.NOT_RUN,
    "the router reaches no server, or is stopping",
    _STOPPING_RETRY_AFTER,
)
_OUTDATED = Refusal(
    RefusalReason.OUTDATED,
    Verdict.NOT_RUN,
    "the router lacks the configuration under which the request was passed on",
    _STOPPING_RETRY_AFTER,
)
_STOPPING = Refusal(
    RefusalReason.NO_ROUTE,
    Verdict.NOT_RUN,
    "the router is stopping and cannot answer the request in time",
    _STOPPING_RETRY_AFTER,
)
_NO_SERVICE = Refusal(
    RefusalReason.NO_ROUTE,
    Verdict.NOT_RUN,
    "the route has no service that can be selected",
    _NO_ROUTE_RETRY_AFTER,
)
