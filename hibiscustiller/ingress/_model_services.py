"""Services that run models, with their pipelines and stream forwarders."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from typing import Any

import curio

from hibiscustiller.discovery import FleetView
from hibiscustiller.fleet import BackendServer, ServiceSpec
from hibiscustiller.ingress._budget import RetryBudgets
from hibiscustiller.ingress._connections import cap_engine_slots
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.ingress._open_attempts import OpenAttempts
from hibiscustiller.ingress._part_history import PartHistory
from hibiscustiller.ingress._rate_limits import RateLimits
from hibiscustiller.ingress._router_forwarding import RouterForwarder
from hibiscustiller.ingress._stream_attempts import StreamServices
from hibiscustiller.ingress._streams import StreamForwarder
from hibiscustiller.ingress._unanswered_runs import UnansweredRuns
from hibiscustiller.layers import (
    Admission,
    AdmissionPolicy,
    AnswerLengths,
    EngineGroup,
    EngineLoad,
    Pipeline,
    PipelineSelector,
    PlaceAllocator,
    PlaceClient,
    RejectionRecord,
    SharedAdmission,
    find_fastest_pipeline,
    find_pipelines,
)
from hibiscustiller.utils import (
    Clock,
    DomainId,
    Metrics,
    RouterId,
    ServerId,
    ServiceName,
    log_event,
)
from hibiscustiller.wire import DatagramSocket, HttpClient, wait_for_event

# Changes of servers arrive in bursts, so they are collected for this time.
_REFRESH_DELAY = timedelta(milliseconds=20)
# The cost of the search grows with the number of engines. A router that other routers
# do not ask for places needs its own pipelines only while the allocators do not answer.
_NON_ALLOCATOR_REFRESH_DELAY = timedelta(milliseconds=250)
# A leaving server is excluded after its deadline, at the latest after this period and a
# refresh delay.
_REFRESH_PERIOD = timedelta(milliseconds=250)
# One more than the number of routers that may be restarted when an engine is lost.
_WATCHERS_PER_ENGINE = 3


class ModelServices:
    """Keeps a forwarder for each model service and updates its pipelines.

    :param router_id: id of this router.
    :param domain: failure domain of this router.
    :param view: known services, servers and routers of the fleet.
    :param datagrams: carries the requests for places and their answers.
    :param load: load of the engines by all routers.
    :param health: reachability of the servers.
    :param crashes: server crashes by request.
    :param parts: server crashes by prompt part.
    :param unanswered: requests that servers may still run.
    :param rate_limits: limits that servers named.
    :param client: HTTP client for the engines.
    :param budgets: retry budgets of the services.
    :param routers: passes requests on while this router reaches no server.
    """

    def __init__(
        self,
        router_id: RouterId,
        domain: DomainId,
        view: FleetView,
        datagrams: DatagramSocket,
        load: EngineLoad,
        health: ServerHealth,
        crashes: CrashHistory,
        parts: PartHistory,
        unanswered: UnansweredRuns,
        rate_limits: RateLimits,
        client: HttpClient,
        budgets: RetryBudgets,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
        routers: RouterForwarder,
    ) -> None:
        self._routers = routers
        self._router_id = router_id
        self._domain = domain
        self._view = view
        self._load = load
        self._health = health
        self._crashes = crashes
        self._parts = parts
        self._unanswered = unanswered
        self._rate_limits = rate_limits
        self._client = client
        self._budgets = budgets
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._is_stale = curio.UniversalEvent()
        # Inputs of the latest search for a service's pipelines.
        self._search_inputs: dict[ServiceName, object] = {}
        self.forwarders_by_service: dict[ServiceName, StreamForwarder] = {}
        self._local_admissions: list[Admission] = []
        # Admission to the pipelines of each domain on behalf of all routers.
        self._admissions: dict[tuple[ServiceName, DomainId], Admission] = {}
        self.place_allocator = PlaceAllocator(
            datagrams, self.get_admission, view.get_server, clock
        )
        self.place_client = PlaceClient(
            router_id,
            view,
            datagrams,
            self.get_admission,
            self.list_service_domains,
            clock,
            random_state,
            metrics,
            on_failure=load.discard_report,
        )

    def get_admission(self, service: ServiceName, domain: DomainId) -> Admission | None:
        """Return the admission to a service's pipelines in a domain for all routers.

        It is created on first use.

        :returns: the admission; None if the service is unknown.
        """
        forwarder = self.forwarders_by_service.get(service)
        if forwarder is None:
            return None
        key = (service, domain)
        if key not in self._admissions:
            self._admissions[key] = self._make_admission(
                service, forwarder.selector, domain
            )
        return self._admissions[key]

    def list_service_domains(self) -> list[tuple[ServiceName, DomainId]]:
        """Return each service with each domain in which it has pipelines."""
        return [
            (name, domain)
            for name, forwarder in self.forwarders_by_service.items()
            for domain in sorted({p.entry.domain for p in forwarder.selector.pipelines})
        ]

    def list_allocators(self) -> set[RouterId]:
        """Return the router that gives out the places of each domain.

        The set is empty if each router chooses for itself.
        """
        if not self.place_client.uses_allocators:
            return set()
        allocators = [
            self.place_client.list_allocators(domain)
            for _, domain in self.list_service_domains()
        ]
        return {routers[0] for routers in allocators if routers}

    def describe_places(self) -> dict[str, object]:
        """Return the state of the places that this router grants or holds."""
        admissions = {
            f"{service}/{domain}": admission
            for (service, domain), admission in self._admissions.items()
        }
        return {
            "given": self.place_allocator.held_count,
            "held": self.place_client.held_count,
            "displaced": sum(a.displaced_count for a in admissions.values()),
            "gives_out": [
                f"{service}/{domain}"
                for service, domain in self.list_service_domains()
                if self.place_client.is_allocator(domain)
            ],
            "backed_off": {
                name: sorted(admission.places.rejections.list_excluded())
                for name, admission in admissions.items()
                if admission.places.rejections is not None
            },
            "answer_ratios": {
                name: admission.places.answer_lengths.describe()
                for name, admission in admissions.items()
                if admission.places.answer_lengths is not None
            },
        }

    def request_refresh(self) -> None:
        """Request a new search for pipelines after a change."""
        self._is_stale.set()

    async def run(self) -> None:
        """Update the pipelines after changes, and periodically, until cancelled."""
        while True:
            # The deadline of a leaving server passes without a change that sets the
            # event, so the wait is bounded by the period.
            await wait_for_event(_REFRESH_PERIOD, self._is_stale)
            await self._clock.sleep(self._choose_refresh_delay())
            self._is_stale.clear()
            for service in self._list_services():
                self.get_forwarder(service)
                self._find_pipelines(service)
            await self.grant_waiting()

    def _choose_refresh_delay(self) -> timedelta:
        """Return the time for which changes of servers are collected."""
        if not self.place_client.uses_allocators:
            return _REFRESH_DELAY
        may_be_asked = any(
            self.place_client.may_be_asked(domain)
            for _, domain in self.list_service_domains()
        )
        return _REFRESH_DELAY if may_be_asked else _NON_ALLOCATOR_REFRESH_DELAY

    async def grant_waiting(self) -> None:
        """Admit waiting requests to free places."""
        for admission in [*self._local_admissions, *self._admissions.values()]:
            await admission.grant_waiting()

    def get_forwarder(self, service: ServiceSpec) -> StreamForwarder:
        """Return the forwarder of a service, which is created on first use."""
        if service.name not in self.forwarders_by_service:
            self.forwarders_by_service[service.name] = self._make_forwarder(service)
            self._find_pipelines(service)
        return self.forwarders_by_service[service.name]

    def list_groups(self) -> list[EngineGroup]:
        """Return the engines that layers can be placed on, grouped by service."""
        return [
            EngineGroup(
                service.engine,
                tuple(
                    self._list_usable(
                        service,
                        self._view.list_servers(service.name),
                        # Without an engine that refuses requests only briefly, its
                        # layers would be loaded elsewhere to no purpose.
                        self._keeps_layers,
                    )
                ),
            )
            for service in self._list_services()
            if service.engine is not None
        ]

    def _keeps_layers(self, server: BackendServer) -> bool:
        return self._health.is_reachable(
            server
        ) and not self._health.statements.is_leaving(server)

    def list_watched(self) -> dict[ServerId, BackendServer]:
        """Return the pipelines' engines that this router monitors for the fleet."""
        return {
            server.id: server
            for forwarder in self.forwarders_by_service.values()
            for pipeline in forwarder.selector.pipelines
            for server in pipeline.servers
            if self._is_watcher(server.id)
        }

    def _list_services(self) -> list[ServiceSpec]:
        document = self._view.document
        services = {} if document is None else document.services_by_name
        return [service for service in services.values() if service.engine is not None]

    def _make_forwarder(self, service: ServiceSpec) -> StreamForwarder:
        selector = PipelineSelector(
            self._domain,
            self._load,
            self._clock,
            self._view.count_routers,
            self._random_state,
        )
        local = self._make_admission(service.name, selector, None)
        self._local_admissions.append(local)
        admission = SharedAdmission(
            service.name,
            self._domain,
            local,
            selector,
            self.place_client,
            self._random_state,
        )
        return StreamForwarder(
            StreamServices(
                self._client,
                admission,
                selector,
                self._load,
                self._health,
                self._crashes,
                self._parts,
                self._unanswered,
                self._rate_limits,
                self._budgets,
                lambda excluded: self._find_alternative(service.name, excluded),
                self._view.count_routers,
                self._metrics,
                self._routers,
                self._view.get_presence,
                OpenAttempts(self._clock),
                lambda: self._view.list_servers(service.name),
            )
        )

    def describe_admissions(self) -> dict[str, Any]:
        """Return the state of the domains that this router allocates."""
        return {
            f"{service}/{domain}": admission.describe()
            for (service, domain), admission in self._admissions.items()
            if self.place_client.is_allocator(domain)
        }

    def _make_admission(
        self,
        service: ServiceName,
        selector: PipelineSelector,
        domain: DomainId | None,
    ) -> Admission:
        # Only an allocator knows all requests of its domain, which a policy needs.
        policy = None if domain is None else AdmissionPolicy(self._random_state)
        return Admission(
            selector,
            self._load,
            self._clock,
            self._random_state,
            self._health.refusals.list_refusing,
            domain,
            None if domain is None else RejectionRecord(self._clock),
            policy,
            self._metrics,
            service,
            None if domain is None else AnswerLengths(),
        )

    def _find_alternative(
        self, name: ServiceName, excluded: Collection[ServerId]
    ) -> Pipeline | None:
        document = self._view.document
        service = None if document is None else document.services_by_name.get(name)
        if service is None or service.engine is None:
            return None
        usable = self._list_usable(service, self._view.list_servers(name))
        return find_fastest_pipeline(
            service.engine, [server for server in usable if server.id not in excluded]
        )

    def _find_pipelines(self, service: ServiceSpec) -> None:
        assert service.engine is not None
        usable = self._list_usable(service, self._view.list_servers(service.name))
        leaving = self._list_usable(service, self._view.list_leaving(service.name))
        leaving += self._list_usable(
            service, self._view.list_servers(service.name), self._is_last_resort
        )
        # In most cases nothing has changed, and the cost of the search grows with the
        # size of the fleet.
        inputs = (service, usable, leaving)
        if inputs == self._search_inputs.get(service.name):
            return
        self._search_inputs[service.name] = inputs
        # An engine that leaves may reject new requests as a stage of a pipeline.
        found = find_pipelines(service.engine, usable) or find_pipelines(
            service.engine, usable, leaving
        )
        selector = self.forwarders_by_service[service.name].selector
        before = selector.pipelines
        selector.set_pipelines(cap_engine_slots(service), found)
        if selector.pipelines != before:
            _log_pipelines(service.name, selector.pipelines, len(found))
        self._metrics.gauge(f"pipelines.{service.name}", len(selector.pipelines))

    def _is_last_resort(self, server: BackendServer) -> bool:
        """Tell whether a server that says that it leaves may still get requests."""
        statements = self._health.statements
        return (
            statements.is_leaving(server)
            and statements.get_wait(server) is None
            and self._health.is_reachable(server)
        )

    def _list_usable(
        self,
        service: ServiceSpec,
        servers: Sequence[BackendServer],
        is_usable: Callable[[BackendServer], bool] | None = None,
    ) -> list[BackendServer]:
        """Return the engines that are usable and of a kind that the service lists.

        :param is_usable: condition on an engine; by default it must be reachable and
            not considered to be leaving.
        """
        assert service.engine is not None
        is_usable = is_usable or self._health.is_usable
        return [
            server
            for server in servers
            if server.kind in service.engine.kinds_by_name and is_usable(server)
        ]

    def _is_watcher(self, server_id: ServerId) -> bool:
        own_id = self._router_id
        watchers = self._view.choose_routers(server_id, _WATCHERS_PER_ENGINE, own_id)
        return own_id in watchers


def _log_pipelines(
    name: ServiceName, pipelines: Sequence[Pipeline], found_count: int
) -> None:
    log_event(
        "pipelines_changed",
        service=name,
        count=len(pipelines),
        found=found_count,
        stages=",".join(str(len(pipeline.stages)) for pipeline in pipelines),
    )
