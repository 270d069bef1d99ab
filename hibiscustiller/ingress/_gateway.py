"""One daemon on the platform: its parts, its start and its end."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import Any

import curio

from hibiscustiller.discovery import (
    ChangeLog,
    FleetView,
    FleetWatcher,
    Peer,
    Registration,
    SnapshotExchange,
    StoreReach,
    StoreRelay,
)
from hibiscustiller.fleet import ClientLimits, HostSettings
from hibiscustiller.ingress._budget import RetryBudgets
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._crash_sharing import CrashSharing
from hibiscustiller.ingress._dispatcher import RequestDispatcher
from hibiscustiller.ingress._exposition import ExposedMetrics
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.ingress._inspection import Inspection
from hibiscustiller.ingress._model_services import ModelServices
from hibiscustiller.ingress._monitor import EngineMonitor
from hibiscustiller.ingress._plain import PlainForwarder, PlainServers
from hibiscustiller.ingress._sharing import LoadSharing
from hibiscustiller.layers import EngineLoad, LayerPlacer
from hibiscustiller.leadership import ControlLease, find_election_delay
from hibiscustiller.platform import MetadataStore
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, log_event, rank_by_rendezvous
from hibiscustiller.wire import (
    DatagramSocket,
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpServer,
    Responder,
)

# Longer than a slow store takes for an answer; a silent one is found by it.
_STORE_TIMEOUT = timedelta(milliseconds=800)
# When the whole system starts, its routers register within this time. A router that
# knows the others need not follow the store to learn of them.
_FIRST_READ_DELAY = timedelta(seconds=1)
# Connections take a few milliseconds; a caller's target is some hundred.
_CONNECT_TIMEOUT = timedelta(milliseconds=350)
# A holder that died is replaced after this time, in which layers stay as they are.
_CONTROL_TTL = timedelta(seconds=2)
# An order takes up to the store's timeout, and must arrive within the lease.
_CONTROL_MARGIN = timedelta(milliseconds=800)
# Leaves time for a second attempt before the margin is reached.
_RENEWAL_PERIOD = timedelta(milliseconds=600)
# The balancer asks once a second and needs two misses; new connections come until then.
_LISTEN_AFTER_STOP = timedelta(seconds=3)
# Share of the grace time that is kept free for closing. Slow hosts take a second, and
# are killed at the end of the grace time.
_CLOSING_SHARE = 1 / 7
# A store that is away must not hold up the end; entries end with their lease.
_DEREGISTRATION_TIMEOUT = timedelta(milliseconds=300)
# Below the descriptors of the smallest hosts, with room for connections to servers.
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
        self.view = FleetView(clock, settings.drain)
        self._load = EngineLoad(clock)
        self._health = ServerHealth(
            clock,
            self.view.get_server,
            self._note_health_change,
            self.view.count_routers,
        )
        self._crashes = CrashHistory(
            settings.router_id,
            clock,
            self._metrics,
            lambda: self._crash_sharing.request_send(),
        )
        self._make_forwarding()
        self._make_store_parts()
        self._make_servers()
        address = Address(settings.ip, inspection_port)
        self.inspection = Inspection(address, metrics, self.describe, clock)

    def _make_forwarding(self) -> None:
        settings, clock = self._settings, self._clock
        client = HttpClient(clock, _CONNECT_TIMEOUT)
        inner = Address(settings.ip, settings.inner_ports[0])
        self._datagrams = DatagramSocket(settings.router_id, inner)
        self._budgets = budgets = RetryBudgets(
            settings,
            self.view,
            self._datagrams,
            self._load.count_reporting,
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
            client,
            budgets,
            clock,
            self._random_state,
            self._metrics,
        )
        self.view.subscribe(self.models.request_refresh)
        self._monitor = EngineMonitor(clock, self._health, self.models.list_watched)
        plain = PlainForwarder(
            client,
            PlainServers(settings.domain, self._load, clock, self._random_state),
            self._load,
            self._health,
            self._crashes,
            budgets,
            self.view.count_routers,
            self._metrics,
        )
        self._dispatcher = RequestDispatcher(
            self.view,
            self.models,
            plain,
            self._crashes,
            budgets,
            clock,
            self._random_state,
            self._metrics,
            self._apply_limits,
        )

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
        log = ChangeLog()
        first_read_delay = timedelta(0)
        if settings.is_first_start:
            first_read_delay = _FIRST_READ_DELAY
        self._reach = StoreReach()
        self._watcher = FleetWatcher(
            store,
            self.view,
            log,
            clock,
            self._random_state,
            lambda: self._reach.is_reachable or self._relay.is_follower,
            first_read_delay,
        )
        self._relay = StoreRelay(
            settings.router_id,
            settings.domain,
            self.view,
            self._watcher,
            log,
            self._datagrams,
            clock,
            self._random_state,
            self._reach,
        )
        self._sharing = LoadSharing(
            settings.router_id,
            self._datagrams,
            self.view,
            self._load,
            self._health,
            clock,
            self.models.dispatch,
            self.models.list_allocators,
        )
        self._crash_sharing = CrashSharing(
            settings.router_id,
            self._datagrams,
            self.view,
            self._crashes,
            clock,
            self._random_state,
        )
        self._snapshots = SnapshotExchange(
            settings.seeds,
            settings.inner,
            self._watcher,
            HttpClient(clock, _CONNECT_TIMEOUT),
            clock,
            first_read_delay,
        )
        self._registration = Registration(
            Peer(
                settings.router_id,
                self._datagrams.address,
                settings.domain,
                settings.capacity,
            ),
            store,
            clock,
            self._note_store_returned,
            lambda: self._relay.is_follower,
            self._random_state,
            self._reach,
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
            self.models.list_groups,
            HttpClient(clock, _CONNECT_TIMEOUT),
            clock,
            self._get_election_delay,
            _RENEWAL_PERIOD,
        )

    def _make_servers(self) -> None:
        settings = self._settings
        self.front = HttpServer(
            settings.front,
            self._dispatcher.handle,
            HttpLimits(max_connections=_MAX_CONNECTIONS),
            "front",
        )
        self._readiness = HttpServer(
            settings.readiness, self._handle_readiness, _SMALL_LIMITS, "readiness"
        )
        self._inner: HttpServer | None = None
        if settings.inner is not None:
            self._inner = HttpServer(
                settings.inner, self._snapshots.handle, _SMALL_LIMITS, "inner"
            )
        # Limits of a new document apply before its first request.
        self.view.subscribe(self._dispatcher.take_document)

    async def start(self) -> None:
        """Listen, and start to follow the store."""
        await self._datagrams.start()
        await self._readiness.start()
        if self._inner is not None:
            await self._inner.start()
        await self.front.start()
        await self.inspection.start()
        for run in (
            self.inspection.run,
            self._watcher.run,
            self._snapshots.run,
            self._registration.run,
            self._placer.run,
            self._health.run,
            self._monitor.run,
            self._datagrams.run,
            self._relay.run,
            self._sharing.send_reports,
            self._crash_sharing.run,
            self._crash_sharing.query_peers,
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
        """Answer what is there, and end within the grace time."""
        log_event("stopping", router=self._settings.router_id)
        began_at = self._clock.monotonic()
        self._is_ending = True
        self.front.announce_end()
        self.models.place_allocator.is_ending = True
        await self._placer.release()
        await self._clock.sleep(min(_LISTEN_AFTER_STOP, self._settings.grace / 2))
        left = self._settings.grace * (1 - _CLOSING_SHARE)
        left -= self._clock.monotonic() - began_at
        try:
            async with curio.timeout_after(max(0.0, left.total_seconds())):
                await self.front.drain()
        except curio.TaskTimeout:
            log_event("stop_cut_requests", level="warning", open=self.front.busy_count)
            await self.front.close()
        await curio.ignore_after(
            _DEREGISTRATION_TIMEOUT.total_seconds(), self._registration.end()
        )
        for task in self._tasks:
            await task.cancel()
        await self._readiness.close()
        if self._inner is not None:
            await self._inner.close()
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
            "store_reachable": self._reach.is_reachable,
            "watch_reachable": not self._watcher.is_cut_off,
            "follows_store": self._watcher.is_direct,
            "source": self._relay.source,
            "store_revision": self._watcher.revision,
            "routers": sorted(self.view.peers_by_id),
            "unreachable": self._health.list_unreachable(),
            "waiting": {
                name: forwarder.admission.waiting_count
                for name, forwarder in self.models.forwarders_by_service.items()
            },
            "pipelines": {
                name: [
                    [f"{stage.server.id}={stage.layers}" for stage in pipeline.stages]
                    for pipeline in forwarder.choice.pipelines
                ]
                for name, forwarder in self.models.forwarders_by_service.items()
            },
            "places": {
                "given": self.models.place_allocator.held_count,
                "held": self.models.place_client.held_count,
                "gives_out": [
                    f"{service}/{domain}"
                    for service, domain in self.models.list_shares()
                    if self.models.place_client.is_allocator(domain)
                ],
            },
            "crashed_requests": self._crashes.describe(),
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

    def _apply_limits(self, limits: ClientLimits) -> None:
        self.front.limits = HttpLimits(
            max_connections=_MAX_CONNECTIONS,
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            read_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def _note_health_change(self, is_own_finding: bool) -> None:
        self.models.request_refresh()
        # What was told by another router has been told to all.
        if is_own_finding:
            self._sharing.request_send()

    async def _note_store_returned(self) -> None:
        self.view.note_store_returned()
        await self._store_client.close()
        await self._watcher.restart()

    def _get_election_delay(self) -> timedelta | None:
        router_id = self._settings.router_id
        names = {*self.view.peers_by_id, router_id}
        rank = rank_by_rendezvous("control", names).index(router_id)
        return find_election_delay(rank, is_store_reachable=self._reach.is_reachable)
