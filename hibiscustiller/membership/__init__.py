"""Which routers and backend servers are live, leaving or suspected."""

from hibiscustiller.membership._connection import PeerTraffic
from hibiscustiller.membership._mesh import MeshTimings, PeerMesh
from hibiscustiller.membership._transport import Member, PeerTransport

__all__ = ["Member", "MeshTimings", "PeerMesh", "PeerTraffic", "PeerTransport"]
