"""Types that describe a deployment: its documents, services and backend servers.

They carry no names of the platform; ``hibiscustiller.platform`` decodes into them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    DomainId,
    OrganisationId,
    RouterId,
    ServerId,
    ServiceName,
)


class RequestKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class ServerState(Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, order=True)
class LayerRange:
    """Consecutive layers of a model.

    :param first: first layer.
    :param end: the layer after the last one.
    """

    first: int
    end: int

    @property
    def width(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def covers(self, other: LayerRange) -> bool:
        """Tell whether every layer of another range is in this one."""
        return self.first <= other.first and other.end <= self.end

    def __str__(self) -> str:
        return f"{self.first}-{self.end}"


EMPTY_RANGE = LayerRange(0, 0)


@dataclass(frozen=True)
class AcceleratorKind:
    """A kind of accelerator.

    :param memory_mb: memory for layers and requests, in MB.
    :param pace: factor on the time of a decoding step.
    :param read_factor: factor on the time to read prompts.
    """

    name: str
    memory_mb: float
    pace: float = 1.0
    read_factor: float = 1.0


@dataclass(frozen=True)
class EngineSpec:
    """How the engines of a service run a model.

    :param slots: requests at once that enter the model at one engine.
    :param layers: layers of the model.
    :param layer_mb: memory of a layer's weights, in MB.
    :param token_bytes: memory of one token over all layers, in bytes.
    :param stride: tokens of one event of a stream.
    :param step: time of a decoding step through all layers.
    :param per_sequence: added to a step for each writing request.
    :param context_per_thousand: added to a step for each 1,000 tokens of context.
    :param load_time: time to load the weights of all layers.
    :param usual_prompt: mean tokens of a prompt.
    :param usual_answer: mean tokens of an answer.
    :param activation_bytes: sent between engines for each token, in bytes.
    :param pipe_mbps: bandwidth between failure domains, in Mbit/s.
    :param domain_delay: one-way delay between failure domains.
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
    usual_prompt: float
    usual_answer: float
    activation_bytes: float
    pipe_mbps: float
    domain_delay: timedelta
    kinds_by_name: Mapping[str, AcceleratorKind]

    @property
    def usual_tokens(self) -> float:
        """Mean tokens that a request holds while it runs."""
        return self.usual_prompt + self.usual_answer / 2

    @property
    def layer_token_bytes(self) -> float:
        """Memory of one token at one layer, in bytes."""
        return self.token_bytes / self.layers


@dataclass(frozen=True)
class ServiceSpec:
    """A service to which requests are routed.

    :param engine: how its engines run a model; None for a plain service.
    :param max_connections: connections that one of its servers accepts from all
        routers; None if that is not known.
    """

    name: ServiceName
    engine: EngineSpec | None = None
    max_connections: int | None = None


@dataclass(frozen=True)
class IngressRoute:
    """Where requests of a host name and a path prefix go.

    :param prefix: begins and ends with a slash.
    :param timeout: longest time in which a request is answered.
    :param target_latency: time in which an answer is worth most.
    :param priority: 0 is the most urgent.
    :param weights_by_service: shares of the requests.
    :param max_attempts: backend servers that one request may be sent to.
    :param is_public: no API key is needed.
    :param is_resumable: a stream may go on at another server after its last event.
    :param target_gap: longest pause between events of an answer in time.
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
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True)
class Organisation:
    """The holder of an API key.

    :param priority: replaces the priority of routes if set.
    """

    id: OrganisationId
    priority: int | None = None


@dataclass(frozen=True)
class ClientLimits:
    """What a client may send, and how long it may take.

    :param header_timeout: time for the headers of a request.
    :param idle_timeout: time that a connection may be idle between requests.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    header_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)


@dataclass(frozen=True)
class FleetDocument:
    """The operators' configuration in one version.

    :param organisations_by_key_digest: holders of API keys by the key's SHA-256.
    :param has_organisations: whether requests need an API key at all.
    """

    version: int
    routes: tuple[IngressRoute, ...]
    services_by_name: Mapping[ServiceName, ServiceSpec]
    organisations_by_key_digest: Mapping[str, Organisation]
    has_organisations: bool
    limits: ClientLimits


@dataclass(frozen=True)
class BackendServer:
    """A backend server as it describes itself.

    :param slots: requests that it processes at once.
    :param kind: name of its accelerator's kind; empty for a plain service.
    :param layers: the layers that it holds; an empty range if none.
    :param born: start of this incarnation, in Unix milliseconds; 0 if not told.
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


@dataclass(frozen=True)
class HostSettings:
    """What the platform tells a daemon about its host.

    :param front: where callers connect.
    :param readiness: where the balancer asks whether the daemon is ready.
    :param inner_ports: ports for traffic between daemons.
    :param drain: time that a leaving server goes on serving.
    :param grace: time between the request to stop and the kill.
    :param retry_ratio: repeats allowed for each request, over all daemons.
    :param retry_window: time over which repeats are counted.
    :param retry_slack: repeats allowed in the window besides, over all daemons.
    :param min_lease: shortest lease of the store.
    :param max_value_bytes: longest value that the store takes.
    :param capacity: processor time of the host, in cores.
    :param is_first_start: whether the whole system starts for the first time.
    :param inner: where the requests of other routers are served; None if nowhere.
    :param seeds: where some other routers serve those; they may be down.
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
    is_first_start: bool = False
    inner: Address | None = None
    seeds: tuple[Address, ...] = ()
