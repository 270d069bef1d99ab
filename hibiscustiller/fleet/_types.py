"""Data types of a deployment: documents, services, backend servers and host settings.

The types do not depend on the field names of the platform; ``hibiscustiller.platform``
decodes the platform's documents into them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from functools import cached_property

from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    DomainId,
    OrganisationId,
    RouterId,
    ServerId,
    ServiceName,
)


class RequestKind(Enum):
    """Kind of a route's requests, which decides whether a request may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class ServerState(Enum):
    """State that a backend server reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, order=True)
class LayerRange:
    """Half-open range of consecutive model layers.

    :param first: first layer of the range.
    :param end: layer after the last one of the range.
    """

    first: int
    end: int

    @property
    def width(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def covers(self, other: LayerRange) -> bool:
        """Return whether this range contains every layer of another range."""
        return self.first <= other.first and other.end <= self.end

    def __str__(self) -> str:
        return f"{self.first}-{self.end}"


EMPTY_RANGE = LayerRange(0, 0)


@dataclass(frozen=True)
class AcceleratorKind:
    """Properties of one kind of accelerator.

    :param memory_mb: usable memory for layers and requests, in MB.
    :param token_time_factor: factor on the time of a decoding step.
    :param read_factor: factor on the time to process prompts.
    """

    name: str
    memory_mb: float
    token_time_factor: float = 1.0
    read_factor: float = 1.0


@dataclass(frozen=True)
class EngineSpec:
    """Model size and timing parameters of a service's engines.

    :param slots: maximum number of concurrent requests that enter the model at one
        engine.
    :param layers: number of layers of the model.
    :param layer_mb: memory of the weights of one layer, in MB.
    :param token_bytes: memory of one token over all layers, in bytes.
    :param stride: number of tokens per stream event.
    :param step: base duration of a decoding step through all layers.
    :param per_sequence: time added to a step for each request that generates tokens.
    :param context_per_thousand: time added to a step for each 1,000 tokens of context.
    :param load_time: time to load the weights of all layers.
    :param mean_prompt_tokens: mean number of tokens of a prompt.
    :param mean_answer_tokens: mean number of tokens of an answer.
    :param activation_bytes: activations sent between engines per token, in bytes.
    :param pipe_mbps: bandwidth of the link between failure domains, in Mbit/s.
    :param domain_delay: one-way network delay between failure domains.
    :param kinds_by_name: accelerator kinds on which the engines run.
    """

    slots: int
    layers: int
    layer_mb: float
    token_bytes: float
    stride: int
    step: timedelta
    per_sequence: timedelta
    context_per_thousand: timedelta
    load_time: timedelta
    mean_prompt_tokens: float
    mean_answer_tokens: float
    activation_bytes: float
    pipe_mbps: float
    domain_delay: timedelta
    kinds_by_name: Mapping[str, AcceleratorKind]

    @property
    def mean_held_tokens(self) -> float:
        """Mean number of tokens that a request holds while it runs."""
        return self.mean_prompt_tokens + self.mean_answer_tokens / 2

    @property
    def layer_token_bytes(self) -> float:
        """Memory that one token takes at one layer, in bytes."""
        return self.token_bytes / self.layers


DEFAULT_HEALTH_PATH = "/health"


@dataclass(frozen=True)
class ServiceSpec:
    """A service to which requests are routed.

    :param engine: parameters of its engines; None for a service without model layers.
    :param max_connections: number of connections that each of its servers accepts from
        all routers together; None if unknown.
    :param health_path: path of the health checks of its servers.
    """

    name: ServiceName
    engine: EngineSpec | None = None
    max_connections: int | None = None
    health_path: str = DEFAULT_HEALTH_PATH


@dataclass(frozen=True)
class IngressRoute:
    """Routing rule for the requests of one host name and path prefix.

    :param host: host name, in lower case.
    :param prefix: path prefix; begins and ends with a slash.
    :param timeout: time limit for answering a request.
    :param target_latency: longest response time that earns full value.
    :param priority: priority of the requests; 0 is the most urgent.
    :param weights_by_service: relative share of the requests that each service gets.
    :param max_attempts: maximum number of backend servers to which one request is sent.
        Streams do not count attempts that a server rejected as not run.
    :param is_public: whether requests are served without an API key.
    :param is_resumable: whether another server may continue an interrupted stream after
        its last event.
    :param target_gap: longest time between two events of a stream that earns full
        value; None if the route sets no target.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: timedelta
    target_latency: timedelta
    priority: int
    weights_by_service: Mapping[ServiceName, float]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    target_gap: timedelta | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True)
class Organisation:
    """The holder of an API key.

    :param priority: overrides the priority of the route; None keeps it.
    """

    id: OrganisationId
    priority: int | None = None


@dataclass(frozen=True)
class ClientLimits:
    """Size and time limits for the requests of clients.

    :param max_header_bytes: largest size of a request's headers, in bytes.
    :param max_body_bytes: largest size of a request's body, in bytes.
    :param header_timeout: time limit for receiving the headers of a request.
    :param idle_timeout: longest time that a connection may be idle between requests.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    header_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)


# Messages hold numbers of 64 bits.
_MAX_SHORT_VERSION = 2**63 - 1


@dataclass(frozen=True)
class FleetDocument:
    """One version of the operators' configuration.

    :param organisations_by_key_digest: organisations by the SHA-256 digest of their API
        key.
    :param has_organisations: whether the document has a list of organisations, which
        may be empty; without a list, no request needs an API key.
    """

    version: int
    routes: tuple[IngressRoute, ...]
    services_by_name: Mapping[ServiceName, ServiceSpec]
    organisations_by_key_digest: Mapping[str, Organisation]
    has_organisations: bool
    limits: ClientLimits

    @property
    def short_version(self) -> int:
        """The version, as far as a message between routers can hold it."""
        return min(max(0, self.version), _MAX_SHORT_VERSION)

    def get_priority(
        self, route: IngressRoute, organisation: Organisation | None
    ) -> int:
        """Return the priority class of a request; 0 is the most urgent.

        An organisation's priority goes before the route's, which orders the requests
        of organisations with the same one. Without an organisation's priority, the
        route's counts alone.
        """
        key = _make_priority_key(route, organisation)
        return self._classes_by_priorities.get(key, key[0])

    @cached_property
    def _classes_by_priorities(self) -> Mapping[tuple[int, int], int]:
        """Consecutive class numbers of the combinations that may occur."""
        leading = {org.priority for org in self.organisations_by_key_digest.values()}
        if not self.has_organisations or any(route.is_public for route in self.routes):
            leading.add(None)
        keys = {
            (route.priority if first is None else first, route.priority)
            for first in leading
            for route in self.routes
        }
        return {key: number for number, key in enumerate(sorted(keys))}


def _make_priority_key(
    route: IngressRoute, organisation: Organisation | None
) -> tuple[int, int]:
    if organisation is None or organisation.priority is None:
        return route.priority, route.priority
    return organisation.priority, route.priority


@dataclass(frozen=True)
class BackendServer:
    """A backend server, as reported by the server itself.

    :param slots: number of requests that it processes concurrently.
    :param kind: name of its accelerator kind; empty for a service without model layers.
    :param layers: model layers that it has loaded; an empty range if none.
    :param born: start time of its process, in Unix milliseconds; 0 if not reported.
    :param update: number of this report among those of its process; 0 if not reported.
    """

    id: ServerId
    service: ServiceName
    address: Address
    domain: DomainId
    slots: int
    state: ServerState
    kind: str = ""
    layers: LayerRange = EMPTY_RANGE
    born: int = 0
    update: int = field(default=0, compare=False)


@dataclass(frozen=True)
class HostSettings:
    """Settings of one host, provided to the daemon by the platform.

    :param front: listening address for callers.
    :param readiness: listening address for the load balancer's readiness checks.
    :param inner_ports: first and last port for traffic between daemons.
    :param store: address of the key-value store.
    :param drain: time for which a leaving server continues to serve requests.
    :param grace: time between the request to stop a daemon and its kill.
    :param retry_ratio: retries allowed per request, over all daemons.
    :param retry_window: time window in which retries are counted.
    :param retry_slack: retries allowed per window beyond ``retry_ratio``, over all
        daemons.
    :param min_lease: shortest lease that the store grants.
    :param max_value_bytes: largest value that the store accepts, in bytes.
    :param capacity: processor capacity of the host, in cores.
    :param memory_bytes: memory that a process may take before it is killed.
    :param max_fds: descriptors that a process may have open.
    :param is_first_start: whether the whole system starts for the first time.
    :param inner: listening address for the requests of other routers; None if the
        daemon does not serve any.
    :param seeds: ``inner`` addresses of some other routers, which may be down.
    :param change_limit: time in which a new configuration must be in force.
    :param heartbeat: period in which backend servers renew their entries in the store;
        zero if unknown.
    """

    router_id: RouterId
    domain: DomainId
    ip: str
    front: Address
    readiness: Address
    inner_ports: tuple[int, int]
    store: Address
    drain: timedelta
    grace: timedelta
    retry_ratio: float
    retry_window: timedelta
    retry_slack: float
    min_lease: timedelta
    max_value_bytes: int
    capacity: float = 1.0
    memory_bytes: int = 256 << 20
    max_fds: int = 4100
    is_first_start: bool = False
    inner: Address | None = None
    seeds: tuple[Address, ...] = ()
    change_limit: timedelta = timedelta(seconds=2)
    heartbeat: timedelta = timedelta(0)
