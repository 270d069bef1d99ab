"""Options and state of TCP sockets."""

import select
from typing import Any

import curio.socket

# A connection can fall silent without a reset. Probes on an idle one and the limit on
# unacknowledged bytes end it within about three seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_LIMIT_MS = 3000


def set_tcp_options(sock: Any) -> None:
    """Disable delayed sends and let dead connections fail.

    :param sock: a connected TCP socket.
    """
    tcp = curio.socket.IPPROTO_TCP
    sock.setsockopt(tcp, curio.socket.TCP_NODELAY, 1)
    sock.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, curio.socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, curio.socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, curio.socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, curio.socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_LIMIT_MS)


def is_readable(sock: Any) -> bool:
    """Tell whether bytes or an end of stream wait on an idle connection."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
