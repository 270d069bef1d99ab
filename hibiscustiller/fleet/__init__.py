"""Data types of a deployment, independent of the platform's formats."""

from hibiscustiller.fleet._document_changes import (
    ChangeKind,
    DocumentChange,
    check_succession,
    compare_fleet_documents,
)
from hibiscustiller.fleet._document_checks import (
    Finding,
    Severity,
    check_fleet_document,
    describe_place,
)
from hibiscustiller.fleet._types import (
    DEFAULT_HEALTH_PATH,
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
    "DEFAULT_HEALTH_PATH",
    "EMPTY_RANGE",
    "AcceleratorKind",
    "BackendServer",
    "ChangeKind",
    "ClientLimits",
    "DocumentChange",
    "EngineSpec",
    "Finding",
    "FleetDocument",
    "HostSettings",
    "IngressRoute",
    "LayerRange",
    "Organisation",
    "RequestKind",
    "ServerState",
    "ServiceSpec",
    "Severity",
    "check_fleet_document",
    "check_succession",
    "compare_fleet_documents",
    "describe_place",
]
