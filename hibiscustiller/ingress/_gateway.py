"""One daemon on the platform: its parts, its start and its end."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import Any

import curio
from result import Err

from hibiscustiller.discovery import FleetView, FleetWatcher, Registration
from hibiscustiller.fleet import BackendServer, HostSettings, ServiceSpec
from hibiscustiller.ingress._budget import RepeatBudget
from hibiscustiller.ingress._context import RequestContext, send_refusal
from hibiscustiller.ingress._exposition import ExposedMetrics
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.ingress._inspection import Inspection
from hibiscustiller.ingress._monitor import EngineMonitor
from hibiscustiller.ingress._plain import PlainForwarder, PlainServers
from hibiscustiller.ingress._routes import RouteTable, choose_service
from hibiscustiller.ingress._sharing import LoadSharing
from hibiscustiller.ingress._streams import StreamForwarder
from hibiscustiller.layers import (
    Admission,
    EngineGroup,
    EngineLoad,
    LayerPlacer,
    PipelineChoice,
    find_pipelines,
)
from hibiscustiller.leadership import ControlLease
from hibiscustiller.platform import MetadataStore, read_request_facts
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    Clock,
    Refusal,
    RefusalReason,
    ServerId,
    ServiceName,
    Verdict,
    log_event,
    rank_by_rendezvous,
)
from hibiscustiller.wire import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpServer,
    Responder,
    wait_at_most,
)

# The store answers in about 4 ms; a slow one takes 60 to 80 times as long.
_STORE_TIMEOUT = timedelta(milliseconds=800)
_CONNECT_TIMEOUT = timedelta(milliseconds=350)
# A holder that died is replaced after this time.
_CONTROL_TTL = timedelta(seconds=2)
_CONTROL_MARGIN = timedelta(milliseconds=800)
_RENEWAL_PERIOD = timedelta(milliseconds=600)
# Between the attempts of routers of adjacent ranks to take a free lease.
_ELECTION_STEP = timedelta(milliseconds=300)
# Routers that start together first need to know of each other.
_FIRST_ELECTION_DELAY = timedelta(milliseconds=400)
_LONGEST_ELECTION_DELAY = timedelta(seconds=3)
# Changes of servers come in groups.
_REFRESH_DELAY = timedelta(milliseconds=20)
# One more than may be restarted at the same moment as the engine is lost.
_WATCHERS_PER_ENGINE = 3
# Leaving servers are left out at most this much after their time.
_REFRESH_PERIOD = timedelta(milliseconds=250)
# The balancer asks once a second and needs two misses; new connections come until then.
_LISTEN_AFTER_STOP = timedelta(seconds=3)
# Kept free at the end of the grace time for closing.
_CLOSING_TIME = timedelta(milliseconds=700)
_NO_DOCUMENT_RETRY = timedelta(milliseconds=500)
_MAX_CONNECTIONS = 3000
_SMALL_LIMITS = HttpLimits(max_connections=64, max_body_bytes=1024)


class Gateway:
    """A daemon between callers and backend servers on the platform.

    :param settings: what the platform tells of the host.
    :param clock: source of time.
    :param random_state: source of choices and jitter.
    :param metrics: counters and histograms.
    :param inspection_port: port of ``/metrics`` and ``/state``; 0 for any free one.
    """

    def __init__(
        self,
        settings: HostSettings,
        clock: Clock,
        random_state: random.Random,
        metrics: ExposedMetrics,
        inspection_port: int = 0,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._is_ending = False
        self._tasks: list[curio.Task] = []
        self._table: RouteTable | None = None
        self._forwarders: dict[ServiceName, StreamForwarder] = {}
        self._is_stale = curio.UniversalEvent()
        self._watchers_by_id: dict[ServerId, tuple[object, bool]] = {}
        self.view = FleetView(clock, settings.drain)
        self.view.subscribe(self._note_change)
        self._load = EngineLoad(clock)
        self._health = ServerHealth(
            clock, self.view.get_server, self._note_health_change
        )
        self._monitor = EngineMonitor(clock, self._health, self._list_watched)
        self._client = HttpClient(clock, _CONNECT_TIMEOUT)
        self._make_store_parts()
        self._make_plain_forwarder()
        self._make_servers()
        address = Address(settings.ip, inspection_port)
        self.inspection = Inspection(address, metrics, self.describe, clock)

    def _make_store_parts(self) -> None:
        settings, clock = self._settings, self._clock
        self._store_client = HttpClient(clock, _STORE_TIMEOUT)
        store = MetadataStore(
            self._store_client,
            settings.store,
            _STORE_TIMEOUT,
            settings.max_value_bytes,
            self._metrics,
        )
        self._watcher = FleetWatcher(store, self.view, clock, self._random_state)
        inner = Address(settings.ip, settings.inner_ports[0])
        self._sharing = LoadSharing(
            settings.router_id,
            inner,
            self.view,
            self._load,
            self._health,
            clock,
            self._dispatch,
        )
        self._registration = Registration(
            settings.router_id, inner, store, clock, self._note_store_returned
        )
        lease = ControlLease(
            settings.router_id,
            store,
            clock,
            self._random_state,
            max(_CONTROL_TTL, settings.min_lease),
            _CONTROL_MARGIN,
        )
        self._placer = LayerPlacer(
            lease,
            lambda: self.view.has_holder,
            lambda: self.view.is_settled,
            self._list_groups,
            HttpClient(clock, _CONNECT_TIMEOUT),
            clock,
            self._get_election_delay,
            _RENEWAL_PERIOD,
        )

    def _make_plain_forwarder(self) -> None:
        self._budgets: dict[ServiceName, RepeatBudget] = {}
        self._plain_servers = PlainServers(
            self._settings.domain, self._load, self._clock, self._random_state
        )

    def _make_servers(self) -> None:
        settings = self._settings
        self._front = HttpServer(
            settings.front,
            self._handle,
            HttpLimits(max_connections=_MAX_CONNECTIONS),
            "front",
        )
        self._readiness = HttpServer(
            settings.readiness, self._handle_readiness, _SMALL_LIMITS, "readiness"
        )

    async def start(self) -> None:
        """Listen, and start to follow the store."""
        await self._sharing.start()
        await self._readiness.start()
        await self._front.start()
        await self.inspection.start()
        for run in (
            self.inspection.run,
            self._watcher.run,
            self._registration.run,
            self._placer.run,
            self._health.run,
            self._monitor.run,
            self._sharing.send_reports,
            self._sharing.take_reports,
            self._refresh_pipelines,
        ):
            self._tasks.append(await curio.spawn(run, daemon=True))
        log_event(
            "started",
            router=self._settings.router_id,
            domain=self._settings.domain,
            front=self._settings.front,
        )

    async def stop(self) -> None:
        """Answer what is there, and end within the grace time."""
        log_event("stopping", router=self._settings.router_id)
        began_at = self._clock.monotonic()
        self._is_ending = True
        self._front.announce_end()
        await self._placer.release()
        await self._clock.sleep(min(_LISTEN_AFTER_STOP, self._settings.grace / 2))
        left = self._settings.grace - _CLOSING_TIME
        left -= self._clock.monotonic() - began_at
        try:
            async with curio.timeout_after(max(0.0, left.total_seconds())):
                await self._front.drain()
        except curio.TaskTimeout:
            log_event("stop_cut_requests", level="warning", open=self._front.busy_count)
            await self._front.close()
        await self._registration.end()
        for task in self._tasks:
            await task.cancel()
        await self._readiness.close()
        await self.inspection.stop()
        log_event("stopped", router=self._settings.router_id)

    def reload(self, settings: HostSettings) -> None:
        """Take changed settings; addresses stay until the next start."""
        self._settings = settings
        log_event("settings_reloaded", router=settings.router_id)

    def describe(self) -> dict[str, Any]:
        """Return what this daemon believes, as JSON values."""
        document = self.view.document
        return {
            "router": self._settings.router_id,
            "is_ready": self.is_ready,
            "document_version": None if document is None else document.version,
            "store_reachable": self._registration.is_reachable,
            "watch_reachable": not self._watcher.is_cut_off,
            "routers": sorted(self.view.peers_by_id),
            "unreachable": self._health.list_unreachable(),
            "waiting": {
                name: forwarder.admission.waiting_count
                for name, forwarder in self._forwarders.items()
            },
            "pipelines": {
                name: [
                    [f"{stage.server.id}={stage.layers}" for stage in pipeline.stages]
                    for pipeline in forwarder.choice.pipelines
                ]
                for name, forwarder in self._forwarders.items()
            },
            "in_flight": {
                server_id: use.entered
                for server_id, use in self._load.list_own().items()
                if use.entered
            },
        }

    @property
    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        return not self._is_ending and self.view.document is not None

    async def _handle_readiness(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        await responder.send(200 if self.is_ready else 503)

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        received_at = self._clock.monotonic()
        document = self.view.document
        if document is None:
            await send_refusal(responder, _NO_DOCUMENT)
            return
        if self._table is None or self._table.document is not document:
            self._take_document()
        assert self._table is not None
        facts = read_request_facts(request.fields)
        path = request.target.partition(b"?")[0].decode("latin-1")
        host = request.headers_by_name.get("host", "")
        found = self._table.find_route(host, path)
        if isinstance(found, Err):
            await self._refuse(request, responder, found.err_value)
            return
        route = found.ok_value
        holder = self._table.find_organisation(route, facts.api_key)
        if isinstance(holder, Err):
            await self._refuse(request, responder, holder.err_value)
            return
        name = choose_service(route, self._random_state)
        service = None if name is None else document.services_by_name.get(name)
        if service is None:
            await send_refusal(responder, _NO_SERVICE)
            return
        context = RequestContext(
            request,
            facts,
            route,
            service,
            holder.ok_value,
            document.version,
            received_at,
            self._clock,
        )
        await self._forward(context, responder)

    async def _forward(self, context: RequestContext, responder: Responder) -> None:
        service = context.service
        budget = self._get_budget(service.name)
        budget.note_request()
        kind = context.route.kind.value
        self._metrics.count(f"requests.{kind}")
        try:
            await self._forward_to(context, budget, responder)
        finally:
            self._metrics.timing(f"request.{kind}", context.age)

    async def _forward_to(
        self, context: RequestContext, budget: RepeatBudget, responder: Responder
    ) -> None:
        service = context.service
        if service.engine is not None:
            await self._get_forwarder(service).forward(context, responder)
            return
        forwarder = PlainForwarder(
            self._client,
            self._plain_servers,
            self._load,
            self._health,
            budget,
            self._count_routers,
            self._metrics,
        )
        servers = self.view.list_servers(service.name)
        await forwarder.forward(context, servers, responder)

    async def _refuse(
        self, request: HttpRequest, responder: Responder, refusal: Refusal
    ) -> None:
        log_event(
            "request_refused",
            request=request.headers_by_name.get("request-id", ""),
            reason=refusal.reason.label,
            version=self.view.document and self.view.document.version,
        )
        self._metrics.count(f"refused.{refusal.reason.label}")
        await send_refusal(responder, refusal)

    def _take_document(self) -> None:
        document = self.view.document
        assert document is not None
        self._table = RouteTable(document)
        self._metrics.gauge("document.version", document.version)
        limits = document.limits
        self._front.limits = HttpLimits(
            max_connections=_MAX_CONNECTIONS,
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            read_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def _get_budget(self, name: ServiceName) -> RepeatBudget:
        if name not in self._budgets:
            settings = self._settings
            self._budgets[name] = RepeatBudget(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
                self._clock,
            )
        return self._budgets[name]

    def _get_forwarder(self, service: ServiceSpec) -> StreamForwarder:
        if service.name not in self._forwarders:
            choice = PipelineChoice(
                self._settings.domain,
                self._load,
                self._clock,
                self._count_routers,
                self._random_state,
            )
            self._forwarders[service.name] = StreamForwarder(
                self._client,
                Admission(
                    choice,
                    self._load,
                    self._clock,
                    self._random_state,
                    self._health.list_refusing,
                ),
                choice,
                self._health,
                self._get_budget(service.name),
                self._count_routers,
                self._metrics,
            )
            self._find_pipelines(service)
        return self._forwarders[service.name]

    def _find_pipelines(self, service: ServiceSpec) -> None:
        assert service.engine is not None
        usable = self._list_usable(service, self.view.list_servers(service.name))
        leaving = self._list_usable(service, self.view.list_leaving(service.name))
        pipelines = find_pipelines(service.engine, usable, leaving)
        choice = self._forwarders[service.name].choice
        if [p.stages for p in pipelines] != [p.stages for p in choice.pipelines]:
            log_event(
                "pipelines_changed",
                service=service.name,
                count=len(pipelines),
                stages=",".join(str(len(p.stages)) for p in pipelines),
            )
        choice.replace(service.engine, pipelines)
        self._metrics.gauge(f"pipelines.{service.name}", len(pipelines))

    def _list_usable(
        self, service: ServiceSpec, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Return the engines that can be reached and are of a known kind."""
        assert service.engine is not None
        return [
            server
            for server in servers
            if server.kind in service.engine.kinds_by_name
            and self._health.is_usable(server)
        ]

    def _list_groups(self) -> list[EngineGroup]:
        document = self.view.document
        if document is None:
            return []
        return [
            EngineGroup(
                service.engine,
                tuple(self._list_usable(service, self.view.list_servers(name))),
            )
            for name, service in document.services_by_name.items()
            if service.engine is not None
        ]

    def _list_watched(self) -> dict[ServerId, BackendServer]:
        """Return the engines of pipelines that this router watches for the fleet."""
        stages = [
            stage.server
            for forwarder in self._forwarders.values()
            for pipeline in forwarder.choice.pipelines
            for stage in pipeline.stages
        ]
        return {server.id: server for server in stages if self._is_watcher(server.id)}

    def _is_watcher(self, server_id: ServerId) -> bool:
        routers = {*self.view.peers_by_id, self._settings.router_id}
        key = (server_id, len(routers), self.view.routers_generation)
        if self._watchers_by_id.get(server_id, (None, False))[0] != key:
            watchers = rank_by_rendezvous(server_id, routers)[:_WATCHERS_PER_ENGINE]
            is_watcher = self._settings.router_id in watchers
            self._watchers_by_id[server_id] = (key, is_watcher)
        return self._watchers_by_id[server_id][1]

    async def _refresh_pipelines(self) -> None:
        """Find the pipelines again after changes, until cancelled."""
        while True:
            await self._wait_until_stale()
            await self._clock.sleep(_REFRESH_DELAY)
            self._is_stale.clear()
            document = self.view.document
            if document is None:
                continue
            if self._table is None or self._table.document is not document:
                self._take_document()
            for service in document.services_by_name.values():
                if service.engine is not None:
                    self._get_forwarder(service)
                    self._find_pipelines(service)
            await self._dispatch()

    async def _wait_until_stale(self) -> None:
        """Wait for a change, or for the time at which leaving servers are left out."""
        try:
            await wait_at_most(_REFRESH_PERIOD, self._is_stale.wait())
        except TimeoutError:
            # Nothing changed; the time itself may have.
            return

    def _note_change(self) -> None:
        self._is_stale.set()

    def _note_health_change(self) -> None:
        self._is_stale.set()
        self._sharing.hurry()

    async def _note_store_returned(self) -> None:
        self.view.note_store_returned()
        await self._store_client.close()
        await self._watcher.restart()

    async def _dispatch(self) -> None:
        for forwarder in list(self._forwarders.values()):
            await forwarder.admission.dispatch()

    def _count_routers(self) -> int:
        return max(1, len(self.view.peers_by_id))

    def _get_election_delay(self) -> timedelta:
        router_id = self._settings.router_id
        names = {*self.view.peers_by_id, router_id}
        rank = rank_by_rendezvous("control", names).index(router_id)
        return min(
            _LONGEST_ELECTION_DELAY, _FIRST_ELECTION_DELAY + _ELECTION_STEP * rank
        )


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
