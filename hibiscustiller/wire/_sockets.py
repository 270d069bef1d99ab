"""Opening, options and state of TCP sockets."""

import select
import struct
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import curio
import curio.socket

from hibiscustiller.settings import Address
from hibiscustiller.wire._deadlines import wait_at_most

# A connection can fall silent without a reset. Probes on an idle one and the limit on
# unacknowledged bytes end it within about three seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_LIMIT_MS = 3000
# Lingers for no time.
_NO_LINGER = struct.pack("ii", 1, 0)
# Joining large bodies would hold them twice.
_MAX_JOINED_BYTES = 65536


# Opens a TCP connection within a time; raises OSError if that fails.
Connect = Callable[[Address, timedelta], Awaitable[Any]]


async def open_connection(address: Address, timeout: timedelta) -> Any:
    """Open a TCP connection.

    :raises OSError: if it cannot be opened; a ``TimeoutError`` if the time is up.
    """
    return await wait_at_most(
        timeout, curio.open_connection(address.host, address.port)
    )


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


def reset_on_close(sock: Any) -> None:
    """Let closing a socket reset its connection, which drops what was not sent."""
    sock.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_LINGER, _NO_LINGER)


async def send_parts(sock: Any, parts: list[bytes]) -> None:
    """Send some bytes, in one packet if they are few."""
    if sum(map(len, parts)) <= _MAX_JOINED_BYTES:
        parts = [b"".join(parts)]
    for part in parts:
        await sock.sendall(part)


def is_readable(sock: Any) -> bool:
    """Tell whether bytes or an end of stream wait on an idle connection."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
