"""Which routers and backend servers are live, leaving or suspected."""

from hibiscustiller.membership._transport import Member, PeerTransport

__all__ = ["Member", "PeerTransport"]
