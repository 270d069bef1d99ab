"""One router daemon, assembled from its parts."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from datetime import timedelta

import curio

from hibiscustiller.configuration import CurrentConfiguration, parse_sections
from hibiscustiller.limits import (
    AdmissionController,
    RetryBudget,
    ServerLimits,
    UsageAggregator,
    UsageLedger,
)
from hibiscustiller.membership import LoadReport
from hibiscustiller.orders import ServiceForwarder
from hibiscustiller.platform import EtcdStore
from hibiscustiller.routing import (
    CacheEventPoller,
    CacheView,
    RoutePlanner,
    ServerLoads,
)
from hibiscustiller.serving._administration import ReportSection
from hibiscustiller.serving._callers import CallerApi
from hibiscustiller.serving._configuration import ConfigurationParts
from hibiscustiller.serving._control_plane import ControlPlane
from hibiscustiller.serving._report import ReportParts, make_report_sections
from hibiscustiller.settings import Settings
from hibiscustiller.streams import CrashRegistry, ReplayEstimator, StreamRunner
from hibiscustiller.utils import Clock, Metrics, Revision, ServerId, log_event
from hibiscustiller.wire import BodyMemory, HttpClient, HttpLimits, HttpServer


class Router:
    """One router daemon.

    :param settings: the daemon's settings.
    :param clock: source of time.
    :param random_state: source of randomness.
    :param metrics: where metrics go.
    :param report_sections_by_name: further parts of the operators' report.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
        report_sections_by_name: Mapping[str, ReportSection] | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self._clock = clock
        self._random_state = random_state
        self._is_ready = False
        self._is_stopping = False
        self._cache_poll_task: curio.Task | None = None
        self._client = HttpClient(clock)
        self.store = EtcdStore(
            self._client,
            settings.platform.store,
            settings.platform.timeout,
            metrics=metrics,
            clock=clock,
            random_state=random_state,
        )
        self.configuration = CurrentConfiguration({}, Revision(0))
        self.control_plane = ControlPlane(
            settings, self.store, self._client, self.configuration, clock, random_state
        )
        self._assemble_routing()
        self._assemble_streams()
        backends = self.control_plane.backends
        self.forwarder = ServiceForwarder(
            self._client,
            self.store,
            random_state,
            clock,
            metrics,
            self.retry_budget,
            is_leaving=lambda address: backends.is_host_leaving(address.host),
            count_routers=self._count_routers,
        )
        self._assemble_configuration(report_sections_by_name or {})
        self._assemble_callers()

    def _assemble_routing(self) -> None:
        get_config = self.configuration.get_config
        self.loads = ServerLoads(self._clock)
        self.cache_view = CacheView()
        self.server_limits = ServerLimits(
            get_config, self._clock, count_routers=self._count_routers_of_server
        )
        self.configuration.subscribe(self.server_limits.remove_unconfigured)
        self.planner = RoutePlanner(
            self.settings.router.failure_domain,
            get_config,
            self.control_plane.backends.is_usable,
            self.server_limits.has_capacity,
            self.loads,
            self._random_state,
            self.settings.router.id,
            self.cache_view,
        )
        self.control_plane.get_subset = self.planner.get_subset
        self.control_plane.record_report = self._record_load_report
        self._cache_poller = CacheEventPoller(
            self._client,
            get_config,
            self.planner.get_subset,
            self.cache_view,
            self._clock,
            self._random_state,
        )

    def _assemble_streams(self) -> None:
        get_config = self.configuration.get_config
        self.usage = UsageLedger(self._clock)
        self.control_plane.share_usage(self.usage, UsageAggregator(self._clock))
        self.admission = AdmissionController(
            lambda request: self.planner.plan_route(
                request.model, request.prompt, request.get_avoided_servers()
            ),
            get_config,
            self._clock,
            self.usage,
            self.server_limits,
            self.metrics,
            # Each queued request holds a caller's connection; the other half is for
            # streams that run and for more urgent arrivals.
            queue_limit=max(1, self.settings.limits.max_connections // 2),
        )
        self.crash_registry = CrashRegistry(self._clock)
        self.crash_registry.subscribe(self.admission.handle_changed_routes)
        self.control_plane.share_crashes(self.crash_registry)
        self.retry_budget = RetryBudget(self._clock)
        self.runner = StreamRunner(
            self._client,
            self.admission,
            [
                self.loads,
                self.cache_view,
                self.server_limits,
                self.control_plane.backends,
            ],
            self.settings.limits.next_byte_timeout,
            self._clock,
            self._random_state,
            self.crash_registry,
            self.retry_budget,
            ReplayEstimator(get_config),
            self.planner.record_answer_delay,
        )

    def _assemble_configuration(
        self, report_sections_by_name: Mapping[str, ReportSection]
    ) -> None:
        report_parts = ReportParts(
            self.configuration,
            self.control_plane,
            self.admission,
            self.server_limits,
            self.usage,
            self.crash_registry,
            self.metrics,
        )
        self.configuration_parts = ConfigurationParts(
            self.settings,
            self.configuration,
            self.store,
            self.control_plane.transport,
            self._clock,
            self._random_state,
            self.metrics,
            {**make_report_sections(report_parts), **report_sections_by_name},
        )
        sync = self.configuration_parts.sync
        self.control_plane.get_confirmed_age = lambda: timedelta(
            milliseconds=sync.confirmed_age_ms()
        )

    def _assemble_callers(self) -> None:
        callers = CallerApi(
            self.configuration.get_config,
            self.runner,
            self.forwarder,
            lambda: self._is_ready and self.configuration_parts.sync.is_ready(),
            self._clock,
            self.metrics,
            self._random_state,
        )
        self.caller_server = HttpServer(
            self.settings.listen.callers,
            callers.handle,
            make_http_limits(self.settings),
            "callers",
            BodyMemory(self.settings.limits.max_bodies_bytes),
            self._clock,
            self.metrics.count,
        )

    def install_document(self, text: str, revision: Revision) -> None:
        """Put a document in force."""
        self.configuration.install(parse_sections(text, "document"), revision)

    async def start(self) -> None:
        """Start to serve.

        :raises OSError: if an address cannot be listened on.
        """
        await self.control_plane.start()
        await self.configuration_parts.start()
        await self.admission.start()
        self._cache_poll_task = await curio.spawn(self._cache_poller.run, daemon=True)
        await self.caller_server.start()
        self._is_ready = True
        log_event(
            "router_started",
            router=self.settings.router.id,
            callers=self.caller_server.address,
            administration=self.configuration_parts.server.address,
            revision=self.configuration.revision,
        )

    async def stop(self) -> None:
        """Shut down without cutting off a request; a second call changes nothing."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._is_ready = False
        self.caller_server.announce_end()
        log_event("shutdown_started", router=self.settings.router.id)
        # The balancer learns of the lost readiness late; requests are still accepted.
        await self._clock.sleep(self.settings.router.shutdown_lag)
        await self.caller_server.drain()
        await self.forwarder.drain()
        await self.admission.stop()
        if self._cache_poll_task is not None:
            await self._cache_poll_task.cancel()
        await self.configuration_parts.stop()
        await self.control_plane.stop()
        await self._client.close()
        log_event("shutdown_finished", router=self.settings.router.id)

    def _count_routers(self) -> int:
        return len(self.control_plane.transport.list_members())

    def _count_routers_of_server(self, server: ServerId) -> int:
        """Estimate how many routers use a server.

        Every router chooses a subset of the same size by rendezvous hashing, so that
        the subsets are spread evenly over the servers.
        """
        servers = len(self.configuration.config.servers_by_id)
        if servers == 0:
            return 1
        share = len(self.planner.get_subset()) / servers
        return max(1, math.ceil(self._count_routers() * share))

    def _record_load_report(self, server: ServerId, report: LoadReport) -> None:
        age = timedelta(0)
        if report.measured_at is not None:
            age = self._clock.now() - report.measured_at
        self.loads.record_report(server, report.running, report.queued, age)


def make_http_limits(settings: Settings) -> HttpLimits:
    """Return the HTTP limits that the settings ask for."""
    limits = settings.limits
    return HttpLimits(
        max_connections=limits.max_connections,
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        read_timeout=limits.read_timeout,
        idle_timeout=limits.idle_timeout,
        write_timeout=limits.write_timeout,
    )
