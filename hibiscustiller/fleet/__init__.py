"""What a deployment consists of, in the project's own types."""

from hibiscustiller.fleet._types import (
    EMPTY_RANGE,
    AcceleratorKind,
    BackendServer,
    ClientLimits,
    EngineSpec,
    FleetDocument,
    HostSettings,
    IngressRoute,
    LayerRange,
    Organisation,
    RequestKind,
    ServerState,
    ServiceSpec,
)

__all__ = [
    "EMPTY_RANGE",
    "AcceleratorKind",
    "BackendServer",
    "ClientLimits",
    "EngineSpec",
    "FleetDocument",
    "HostSettings",
    "IngressRoute",
    "LayerRange",
    "Organisation",
    "RequestKind",
    "ServerState",
    "ServiceSpec",
]
