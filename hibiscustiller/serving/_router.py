"""One router daemon, assembled from its parts."""

from __future__ import annotations

import random
from datetime import timedelta

import curio

from hibiscustiller.configuration import CurrentConfiguration, parse_sections
from hibiscustiller.limits import AdmissionController
from hibiscustiller.orders import ServiceForwarder
from hibiscustiller.platform import EtcdStore
from hibiscustiller.routing import (
    CacheEventPoller,
    CacheView,
    RoutePlanner,
    ServerLoads,
)
from hibiscustiller.serving._callers import CallerApi
from hibiscustiller.settings import Settings
from hibiscustiller.streams import CrashRegistry, ReplayEstimator, StreamRunner
from hibiscustiller.utils import Clock, Metrics, Revision, ServerId, log_event
from hibiscustiller.wire import HttpClient, HttpLimits, HttpServer

_DRAIN_POLL = timedelta(milliseconds=50)


class Router:
    """One router daemon.

    :param settings: the daemon's settings.
    :param clock: source of time.
    :param random_state: source of randomness.
    :param metrics: where metrics go.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self._clock = clock
        self._is_ready = False
        self._is_stopping = False
        self._client = HttpClient(clock)
        self.store = EtcdStore(
            self._client, settings.platform.store, settings.platform.timeout
        )
        self.configuration = CurrentConfiguration({}, Revision(0))
        get_config = self.configuration.get_config
        self.loads = ServerLoads(clock)
        self.cache_view = CacheView()
        self.planner = RoutePlanner(
            settings.router.failure_domain,
            get_config,
            self._is_server_usable,
            lambda server: True,
            self.loads,
            random_state,
            settings.router.id,
            self.cache_view,
        )
        self._cache_poll_task: curio.Task | None = None
        self._cache_poller = CacheEventPoller(
            self._client,
            get_config,
            self.planner.get_subset,
            self.cache_view,
            clock,
            random_state,
        )
        self.admission = AdmissionController(
            lambda request: self.planner.plan_route(
                request.model, request.prompt, request.avoided
            )
        )
        self.crash_registry = CrashRegistry(clock)
        self.runner = StreamRunner(
            self._client,
            self.admission,
            [self.loads, self.cache_view],
            settings.limits.next_byte_timeout,
            clock,
            random_state,
            self.crash_registry,
            replay_estimator=ReplayEstimator(get_config),
            note_answer_delay=self.planner.note_answer_delay,
        )
        self.forwarder = ServiceForwarder(self._client, self.store, random_state)
        callers = CallerApi(
            get_config,
            self.runner,
            self.forwarder,
            lambda: self._is_ready,
            clock,
            metrics,
            random_state,
        )
        self.caller_server = HttpServer(
            settings.listen.callers,
            callers.handle,
            make_http_limits(settings),
            "callers",
        )

    def install_document(self, text: str, revision: Revision) -> None:
        """Put a document in force."""
        self.configuration.install(parse_sections(text, "document"), revision)

    async def start(self) -> None:
        """Start to serve."""
        await self.caller_server.start()
        self._cache_poll_task = await curio.spawn(self._cache_poller.run, daemon=True)
        self._is_ready = True
        log_event(
            "router_started",
            router=self.settings.router.id,
            callers=self.caller_server.address,
        )

    async def stop(self) -> None:
        """Shut down without cutting off a request; a second call changes nothing."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._is_ready = False
        log_event("shutdown_started", router=self.settings.router.id)
        # The balancer learns of the lost readiness late; requests are still accepted.
        await self._clock.sleep(self.settings.router.shutdown_lag)
        await self.caller_server.stop_accepting()
        while self.caller_server.busy_count:
            await self._clock.sleep(_DRAIN_POLL)
        await self.caller_server.close()
        if self._cache_poll_task is not None:
            await self._cache_poll_task.cancel()
        await self._client.close()
        log_event("shutdown_finished", router=self.settings.router.id)

    def _is_server_usable(self, server: ServerId) -> bool:
        return self.configuration.config.servers_by_id[server].state == "serving"


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
