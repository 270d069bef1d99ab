"""Data types of a deployment, independent of the platform's formats."""

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
