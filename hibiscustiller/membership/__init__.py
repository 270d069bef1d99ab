"""Which routers and backend servers are live, leaving or suspected."""

from hibiscustiller.membership._backends import (
    BackendState,
    BackendTable,
    LoadReport,
    StateChange,
)
from hibiscustiller.membership._connection import PeerTraffic
from hibiscustiller.membership._crash_sharing import CrashSharing
from hibiscustiller.membership._mesh import PeerMesh
from hibiscustiller.membership._polling import BackendPoller, parse_load_report
from hibiscustiller.membership._signal_sharing import SignalSharing
from hibiscustiller.membership._solo import SoloTransport
from hibiscustiller.membership._timings import MeshTimings
from hibiscustiller.membership._transport import Member, PeerTransport
from hibiscustiller.membership._usage_sharing import UsageSharing

__all__ = [
    "BackendPoller",
    "BackendState",
    "BackendTable",
    "CrashSharing",
    "LoadReport",
    "Member",
    "MeshTimings",
    "PeerMesh",
    "PeerTraffic",
    "PeerTransport",
    "SignalSharing",
    "SoloTransport",
    "StateChange",
    "UsageSharing",
    "parse_load_report",
]
