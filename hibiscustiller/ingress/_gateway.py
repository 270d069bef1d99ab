"""Composition, start and shutdown of one router daemon on the platform."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import Any

import curio

from hibiscustiller.discovery import (
    CHANGES_PATH,
    ChangeExchange,
    ChangeLog,
    FleetView,
    FleetWatcher,
    Peer,
    Registration,
    SnapshotExchange,
    StoreReach,
    StoreRelay,
)
from hibiscustiller.exceptions import TransportError
from hibiscustiller.fleet import BackendServer, HostSettings
from hibiscustiller.ingress._budget import RetryBudgets
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._crash_messages import PART_CODEC, REQUEST_CODEC
from hibiscustiller.ingress._crash_sharing import CrashSharing
from hibiscustiller.ingress._dispatcher import RequestDispatcher
from hibiscustiller.ingress._exposition import ExposedMetrics
from hibiscustiller.ingress._forwarding_fields import FORWARDED_BY_HEADER
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.ingress._inspection import InspectionServer
from hibiscustiller.ingress._listeners import Listeners
from hibiscustiller.ingress._load_peaks import record_load_peaks
from hibiscustiller.ingress._model_services import ModelServices
from hibiscustiller.ingress._monitor import EngineMonitor
from hibiscustiller.ingress._open_attempts import OpenAttempts
from hibiscustiller.ingress._part_history import PartHistory
from hibiscustiller.ingress._plain import PlainForwarder
from hibiscustiller.ingress._plain_selection import PlainServerSelector
from hibiscustiller.ingress._rate_limits import RateLimits
from hibiscustiller.ingress._router_forwarding import RouterForwarder
from hibiscustiller.ingress._server_reach import ServerReach
from hibiscustiller.ingress._sharing import LoadSharing
from hibiscustiller.ingress._unanswered_runs import UnansweredRuns
from hibiscustiller.layers import EngineLoad, LayerPlacer
from hibiscustiller.leadership import ControlLease, find_election_delay
from hibiscustiller.platform import (
    MetadataStore,
    check_process,
    read_engine_report,
)
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    Clock,
    Refusal,
    RefusalReason,
    Verdict,
    log_event,
    rank_by_rendezvous,
)
from hibiscustiller.wire import (
    Connect,
    DatagramSocket,
    HttpClient,
    HttpRequest,
    HttpServer,
    Responder,
    open_connection,
)

# A slow store answers within this time; a store that does not is taken to be down.
_STORE_TIMEOUT = timedelta(milliseconds=800)
# When the whole system starts, all routers register within this time. A router that
# knows the others by then need not watch the store to learn of them.
_FIRST_READ_DELAY = timedelta(seconds=1)
# Connecting takes a few milliseconds; callers' target latencies are a few hundred.
_CONNECT_TIMEOUT = timedelta(milliseconds=350)
# A server that is silent for a moment may still answer whether its process runs; the
# caller has all of its answer but the end.
_PROCESS_ANSWER_TIMEOUT = timedelta(seconds=1)
# A crashed lease holder is replaced after this time; until then the placement of
# layers does not change.
_CONTROL_LEASE_TTL = timedelta(seconds=2)
# A placement command takes up to the timeout of the store, and must arrive before the
# lease expires.
_CONTROL_LEASE_MARGIN = timedelta(milliseconds=800)
# Leaves time for a second renewal attempt before the margin is reached.
_CONTROL_RENEWAL_PERIOD = timedelta(milliseconds=600)
# The load balancer probes readiness once a second and removes the host after two failed
# probes; new connections arrive until then.
_LISTEN_TIME_AFTER_STOP = timedelta(seconds=3)
# Share of the grace time that is reserved for closing after requests were drained. Slow
# hosts take a second for it, and the process is killed at the end of the grace time.
_CLOSING_SHARE_OF_GRACE = 1 / 7
# Time for the answers to requests that are still open when the router stops to work.
_LAST_ANSWERS_TIME = timedelta(milliseconds=150)
# An unreachable store must not delay the shutdown; the entries expire with their lease.
_DEREGISTRATION_TIMEOUT = timedelta(milliseconds=300)
_STOPPED = Refusal(
    RefusalReason.BACKEND_TIMEOUT,
    Verdict.MAY_HAVE_RUN,
    "the router stopped before the request was answered",
)


class Gateway:
    """Router daemon between callers and backend servers on the platform.

    :param settings: settings of the host, as provided by the platform.
    :param clock: source of time.
    :param random_state: source of random choices and jitter.
    :param metrics: counters and histograms.
    :param inspection_port: port of ``/metrics`` and ``/state``; 0 for any free port.
    :param connect: opens connections to backend servers.
    """

    def __init__(
        self,
        settings: HostSettings,
        clock: Clock,
        random_state: random.Random,
        metrics: ExposedMetrics,
        inspection_port: int = 0,
        connect: Connect = open_connection,
    ) -> None:
        self._connect = connect
        self._settings = settings
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._is_stopping = False
        self._tasks: list[curio.Task] = []
        self.view = FleetView(clock, settings.drain, settings.heartbeat)
        self._load = EngineLoad(clock)
        self._reach = ServerReach(
            clock,
            random_state,
            connect,
            self.view.list_all_servers,
            self._has_other_routers,
            self._handle_reach_change,
        )
        self._listeners = Listeners(settings, clock, metrics)
        self._body_memory = memory = self._listeners.answer_memory
        self._request_memory = self._listeners.request_memory
        self._server_client = HttpClient(clock, _CONNECT_TIMEOUT, connect, memory)
        self._health = ServerHealth(
            clock,
            self.view.get_server,
            self._handle_health_change,
            self.view.count_routers,
            self.view.is_replaced,
            settings.drain,
            connect,
            self._reach,
            self._read_born,
            random_state,
            self._ask_process,
        )
        router_id = settings.router_id
        self._parts = PartHistory(
            clock,
            self._metrics,
            lambda key: self.view.choose_routers(key, 1, router_id) == [router_id],
            lambda: self._part_sharing.request_send(),
        )
        self._crashes = CrashHistory(
            router_id,
            clock,
            self._metrics,
            lambda: self._crash_sharing.request_send(),
            is_explained=self._parts.is_explained,
        )
        self._unanswered = UnansweredRuns(
            self._health,
            self._crashes,
            self._parts,
            lambda server: (
                self.view.is_leaving(server)
                or self._health.statements.is_leaving(server)
            ),
            clock,
        )
        self._build_forwarders()
        self._build_store_clients()
        self._build_servers()
        address = Address(settings.ip, inspection_port)
        self.inspection = InspectionServer(
            address,
            metrics,
            self.describe,
            clock,
            self._listeners.make_server,
            lambda: record_load_peaks(self.view, self._load, self._metrics),
        )

    def _build_forwarders(self) -> None:
        settings, clock = self._settings, self._clock
        client = self._server_client
        inner = Address(settings.ip, settings.inner_ports[0])
        self._datagrams = DatagramSocket(settings.router_id, inner)
        self._rate_limits = RateLimits(
            settings.router_id,
            self.view,
            self._datagrams,
            self._load.count_reporting_routers,
            clock,
            self._random_state,
            self._metrics,
            self._health.statements.get_wait,
        )
        self._budgets = budgets = RetryBudgets(
            settings,
            self.view,
            self._datagrams,
            self._load.count_reporting_routers,
            clock,
            self._random_state,
            self._metrics,
        )
        self._router_forwarder = RouterForwarder(
            settings.router_id,
            settings.domain,
            self.view,
            self._health,
            HttpClient(clock, _CONNECT_TIMEOUT, memory=self._body_memory),
            budgets,
            clock,
            self._random_state,
            self._metrics,
        )
        self.models = ModelServices(
            settings.router_id,
            settings.domain,
            self.view,
            self._datagrams,
            self._load,
            self._health,
            self._crashes,
            self._parts,
            self._unanswered,
            self._rate_limits,
            client,
            budgets,
            clock,
            self._random_state,
            self._metrics,
            self._router_forwarder,
        )
        self.view.subscribe(self.models.request_refresh)
        self._engine_monitor = EngineMonitor(
            clock, self._health, self.models.list_watched, self._connect
        )
        plain_forwarder = PlainForwarder(
            client,
            PlainServerSelector(
                settings.domain,
                self._load,
                clock,
                self._random_state,
                self.view.count_routers,
            ),
            self._load,
            self._health,
            self._crashes,
            self._unanswered,
            self._rate_limits,
            budgets,
            self.view.count_routers,
            self._metrics,
            self._router_forwarder,
            self.view.get_presence,
            self.view.list_servers,
            OpenAttempts(clock),
        )
        self._dispatcher = RequestDispatcher(
            self.view,
            self.models,
            plain_forwarder,
            self._crashes,
            self._parts,
            budgets,
            clock,
            self._random_state,
            self._metrics,
            self._listeners.apply_document,
            self._router_forwarder,
            self._health,
            lambda: self._store_relay.get_currency(),
        )

    def _build_store_clients(self) -> None:
        settings, clock = self._settings, self._clock
        self._store_client = HttpClient(clock, _STORE_TIMEOUT, memory=self._body_memory)
        store = MetadataStore(
            self._store_client,
            settings.store,
            _STORE_TIMEOUT,
            settings.max_value_bytes,
            self._metrics,
        )
        log = ChangeLog()
        first_read_delay = timedelta(0)
        if settings.is_first_start:
            first_read_delay = _FIRST_READ_DELAY
        self._store_reach = StoreReach()
        self._fleet_watcher = FleetWatcher(
            store,
            self.view,
            log,
            clock,
            self._random_state,
            lambda: self._store_reach.is_reachable or self._store_relay.is_follower,
            first_read_delay,
        )
        router_client = HttpClient(clock, _CONNECT_TIMEOUT, memory=self._body_memory)
        self._change_exchange = ChangeExchange(
            settings.router_id, router_client, self._metrics
        )
        self._store_relay = StoreRelay(
            settings.router_id,
            settings.domain,
            self.view,
            self._fleet_watcher,
            log,
            self._datagrams,
            clock,
            self._random_state,
            self._store_reach,
            lambda address: self._snapshot_exchange.fetch(address),
            self._change_exchange.request,
            # The entries of servers that leave come the same way.
            min(settings.change_limit, settings.drain),
        )
        self._listeners.is_document_current = self.is_current
        self._load_sharing = LoadSharing(
            settings.router_id,
            self._datagrams,
            self.view,
            self._load,
            self._health,
            clock,
            self.models.grant_waiting,
            self.models.list_allocators,
        )
        self._crash_sharing, self._part_sharing = (
            CrashSharing(
                settings.router_id,
                self._datagrams,
                self.view,
                history.records,
                history.merge,
                codec,
                clock,
                self._random_state,
            )
            for history, codec in (
                (self._crashes, REQUEST_CODEC),
                (self._parts, PART_CODEC),
            )
        )
        self._snapshot_exchange = SnapshotExchange(
            settings.seeds,
            settings.inner,
            self._fleet_watcher,
            router_client,
            clock,
            self._random_state,
            first_read_delay,
        )
        self._registration = Registration(
            Peer(
                settings.router_id,
                self._datagrams.address,
                settings.domain,
                settings.capacity,
                settings.inner,
            ),
            store,
            clock,
            self._handle_store_return,
            lambda: self._store_relay.is_follower,
            self._random_state,
            self._store_reach,
            self._fleet_watcher.handle_store_era,
            self.view.count_routers,
            self.view.outages,
            self._fleet_watcher.record_renewal,
            self._store_relay.get_watch_period,
        )
        self._fleet_watcher.subscribe_to_restores(self._registration.handle_restore)
        self._control_lease_ttl = max(_CONTROL_LEASE_TTL, settings.min_lease)
        self._control_lease = ControlLease(
            settings.router_id,
            store,
            clock,
            self._random_state,
            self._control_lease_ttl,
            _CONTROL_LEASE_MARGIN,
            lambda: store.era,
        )
        self._layer_placer = LayerPlacer(
            self._control_lease,
            lambda: self.view.has_lease_holder,
            lambda: self.view.is_settled,
            self.models.list_groups,
            HttpClient(clock, _CONNECT_TIMEOUT, self._connect, self._body_memory),
            clock,
            self._get_election_delay,
            _CONTROL_RENEWAL_PERIOD,
            lambda: not self._health.is_cut_off,
        )

    def _build_servers(self) -> None:
        settings = self._settings
        make_server = self._listeners.make_server
        self.front = make_server("front", settings.front, self._dispatcher.handle)
        self._readiness_server = make_server(
            "readiness", settings.readiness, self._handle_readiness
        )
        self._inner_server: HttpServer | None = None
        if settings.inner is not None:
            self._inner_server = make_server(
                "inner", settings.inner, self._handle_inner
            )
        # This also applies the client limits of a new document, which must hold for the
        # first request after it.
        self.view.subscribe(self._dispatcher.update_route_table)

    async def start(self) -> None:
        """Open all listeners and start the background tasks."""
        self._listeners.log()
        await self._datagrams.start()
        await self._readiness_server.start()
        if self._inner_server is not None:
            await self._inner_server.start()
        await self.front.start()
        await self.inspection.start()
        for run in (
            self.inspection.run,
            self._fleet_watcher.run,
            self._snapshot_exchange.run,
            self._registration.run,
            self._layer_placer.run,
            self._reach.run,
            self._health.run,
            self._unanswered.run,
            self._rate_limits.run,
            self._engine_monitor.run,
            self._datagrams.run,
            self._store_relay.run,
            self._load_sharing.send_reports,
            self._crash_sharing.run,
            self._crash_sharing.query_peers,
            self._part_sharing.run,
            self._part_sharing.query_peers,
            self._budgets.run,
            self.models.run,
            self.models.place_allocator.run,
            self.models.place_client.run,
        ):
            self._tasks.append(await curio.spawn(run, daemon=True))
        log_event(
            "started",
            router=self._settings.router_id,
            domain=self._settings.domain,
            front=self._settings.front,
        )

    async def stop(self) -> None:
        """Shut down within the grace time.

        New connections are accepted until the load balancer has noticed. Open requests
        are drained, then the host is deregistered and everything is closed.
        """
        log_event("stopping", router=self._settings.router_id)
        started_at = self._clock.monotonic()
        self._is_stopping = True
        self.front.announce_end()
        self.models.place_allocator.is_stopping = True
        working_time = self._settings.grace * (1 - _CLOSING_SHARE_OF_GRACE)
        stop_at = started_at + working_time - _LAST_ANSWERS_TIME
        listen_time = min(_LISTEN_TIME_AFTER_STOP, self._settings.grace / 2)
        listen_until = started_at + listen_time
        self._dispatcher.begin_stop(stop_at, listen_until)
        await self._layer_placer.release()
        listening_time_left = listen_until - self._clock.monotonic()
        await self._clock.sleep(max(timedelta(0), listening_time_left))
        time_left = stop_at - self._clock.monotonic()
        try:
            async with curio.timeout_after(max(0.0, time_left.total_seconds())):
                await self.front.drain()
                if self._inner_server is not None:
                    await self._inner_server.drain()
        except curio.TaskTimeout:
            log_event("stop_cut_requests", level="warning", open=self.front.busy_count)
        # The entry is removed while the last answers are sent.
        deregistration = await curio.spawn(
            curio.ignore_after,
            _DEREGISTRATION_TIMEOUT.total_seconds(),
            self._registration.end(),
        )
        if self._inner_server is not None:
            await self._inner_server.abandon_requests(_STOPPED, timedelta(0))
        await self.front.abandon_requests(_STOPPED, _LAST_ANSWERS_TIME)
        await self.front.close()
        await deregistration.join()
        for task in self._tasks:
            await task.cancel()
        await self._readiness_server.close()
        if self._inner_server is not None:
            await self._inner_server.close()
        await self.inspection.stop()
        log_event("stopped", router=self._settings.router_id)

    def reload(self, settings: HostSettings) -> None:
        """Apply changed settings; changed addresses need a restart."""
        self._settings = settings
        self._listeners.apply_settings(settings)
        log_event("settings_reloaded", router=settings.router_id)

    def describe(self) -> dict[str, Any]:
        """Return the state of this daemon as JSON values."""
        document = self.view.document
        state_age = self._fleet_watcher.evidence.get_age(self._clock.boot_time())
        return {
            "router": self._settings.router_id,
            "is_ready": self.is_ready,
            "document_version": None if document is None else document.version,
            "store_reachable": self._store_reach.is_reachable,
            "watch_reachable": not self._fleet_watcher.is_watch_lost,
            "follows_store": self._fleet_watcher.follows_store,
            "source": self._store_relay.source,
            "store_revision": self._fleet_watcher.revision.number,
            "store_era": self._fleet_watcher.revision.era,
            "state_age_s": None if state_age is None else state_age.total_seconds(),
            "routers": sorted(self.view.peers_by_id),
            "unreachable": self._health.list_unreachable(),
            "is_cut_off": self._health.is_cut_off,
            "cut_off_routers": sorted(self._health.cut_off_routers),
            "connections": self._listeners.describe(),
            "waiting": {
                name: forwarder.admission.waiting_count
                for name, forwarder in self.models.forwarders_by_service.items()
            },
            "pipelines": {
                name: [
                    [f"{stage.server.id}={stage.layers}" for stage in pipeline.stages]
                    for pipeline in forwarder.selector.pipelines
                ]
                for name, forwarder in self.models.forwarders_by_service.items()
            },
            "places": self.models.describe_places(),
            "admission": self.models.describe_admissions(),
            "crashed_requests": self._crashes.describe(),
            "unanswered_runs": len(self._unanswered),
            "rate_limits": self._rate_limits.describe(),
            "crashed_parts": self._parts.describe(),
            "in_flight": {
                server_id: use.entry_count
                for server_id, use in self._load.get_own_use().items()
                if use.entry_count
            },
        }

    @property
    def is_ready(self) -> bool:
        """Whether this daemon accepts new connections."""
        return not self._is_stopping and self.view.document is not None

    def is_current(self) -> bool:
        """Tell whether the configuration in force is known to be the newest one."""
        return self._store_relay.get_currency().is_current

    async def _handle_inner(self, request: HttpRequest, responder: Responder) -> None:
        """Handle the request of another router."""
        if FORWARDED_BY_HEADER in request.headers_by_name:
            await self._dispatcher.handle_forwarded(request, responder)
        elif request.path == CHANGES_PATH:
            sender = self._store_relay.sender
            await self._change_exchange.handle(sender, request, responder)
        else:
            await self._snapshot_exchange.handle(request, responder)

    async def _handle_readiness(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        await responder.send(200 if self.is_ready else 503)

    def _handle_health_change(self, is_own_result: bool) -> None:
        self.models.request_refresh()
        # A result reported by another router has been sent to all routers already.
        if is_own_result:
            self._load_sharing.request_send()

    def _has_other_routers(self) -> bool:
        return any(
            router_id != self._settings.router_id for router_id in self.view.peers_by_id
        )

    def _handle_reach_change(self) -> None:
        # Other routers choose by it which router they pass requests to.
        self._load_sharing.request_send()

    async def _read_born(self, server: BackendServer) -> int | None:
        """Ask an engine for the start time of its process; None if it does not tell."""
        try:
            report = await read_engine_report(
                self._server_client, server, _CONNECT_TIMEOUT
            )
        except TransportError as error:
            log_event("engine_report_failed", level="warning", reason=error)
            return None
        return report.born

    async def _ask_process(self, server: BackendServer) -> bool:
        """Tell whether the process that is known as a server answers.

        :raises TransportError: if there is no answer.
        """
        client, timeout = self._server_client, _PROCESS_ANSWER_TIMEOUT
        document = self.view.document
        services = {} if document is None else document.services_by_name
        service = services.get(server.service)
        if service is not None and service.engine is None:
            return await check_process(client, server, service.health_path, timeout)
        report = await read_engine_report(client, server, timeout)
        return report.born == server.born

    async def _handle_store_return(self) -> None:
        await self._store_client.close()
        await self._fleet_watcher.restart()

    def _get_election_delay(self) -> timedelta | None:
        if self._health.is_cut_off:
            # It could not send orders to engines.
            return None
        router_id = self._settings.router_id
        names = {*self.view.peers_by_id, router_id}
        rank = rank_by_rendezvous("control", names).index(router_id)
        delay = find_election_delay(
            rank, is_store_reachable=self._store_reach.is_reachable
        )
        if self._control_lease.is_ended_by_restore:
            # No other router may act on a term from before the restore.
            return timedelta(0)
        era_age = self._fleet_watcher.era_age
        if era_age is not None and era_age < self._control_lease_ttl:
            # The restored store lacks the lease of a holder that may not have heard of
            # the restore, and acts until its time is over.
            return None
        return delay
