"""Shares of the descriptors and the memory of a process, summed in one place.

The load is any crowd of clients: no number of connections, bodies or answers makes the
process exceed what the platform gives it. This module does no I/O.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass

from hibiscustiller.utils import log_event
from hibiscustiller.wire import count_descriptors

# Standard streams, the poll, signals, listeners, the store and datagrams.
_OWN_FDS = 30
# Shares of the remaining descriptors. The smallest hosts have 4,100 of them: 3,007
# callers, 600 other routers, 64 probes and 16 readers of metrics. The remaining 7 % are
# for connections to servers and other routers.
_FRONT_SHARE = 0.739
_INNER_SHARE = 0.148
_READINESS_SHARE = 0.016
_INSPECTION_SHARE = 0.004
# Shares of what remains then. A request that is handled needs a connection to a server;
# more of them take places of other connections.
_FRONT_OUTGOING_SHARE = 0.5
_INNER_OUTGOING_SHARE = 0.2
# Enough for the requests of several routers that reach no server themselves, for the
# probes of several balancers, and for several readers of metrics.
_MAX_INNER_CONNECTIONS = 600
_MAX_READINESS_CONNECTIONS = 64
_MAX_INSPECTION_CONNECTIONS = 16
_MIN_CONNECTIONS = 4
# Share of the memory for bodies of answers, and as much again for those of requests. At
# rest the process takes a fifth of the memory of the smallest hosts.
_BODY_SHARE = 0.2
# Share for what each connection takes.
_CONNECTION_SHARE = 0.4
# Bytes of a request, and again of an answer, that count as the connection's.
_UNCOUNTED_BYTES = 5 << 10
# Task, socket and state of the protocol (measured with 2,250 unfinished heads), and the
# uncounted bytes of request and answer.
_CONNECTION_BYTES = 10_000 + 2 * _UNCOUNTED_BYTES


@dataclass(frozen=True)
class ProcessLimits:
    """Bounds of one process.

    :param front_connections: connections from callers.
    :param inner_connections: connections from other routers.
    :param readiness_connections: connections from the load balancer's probes.
    :param inspection_connections: connections for metrics and state.
    :param front_outgoing_fds: descriptors for connections to servers on behalf of
        callers.
    :param inner_outgoing_fds: the same on behalf of other routers.
    :param other_fds: descriptors for checks, reports and messages.
    :param answer_bytes: bodies of answers that count.
    :param request_bytes: heads and bodies of requests that count.
    :param uncounted_bytes: bytes of each of them that do not count.
    :param connection_bytes: what all connections take at most.
    """

    front_connections: int
    inner_connections: int
    readiness_connections: int
    inspection_connections: int
    front_outgoing_fds: int
    inner_outgoing_fds: int
    other_fds: int
    answer_bytes: int
    request_bytes: int
    uncounted_bytes: int
    connection_bytes: int

    def log(self) -> None:
        """Log all parts."""
        log_event("process_limits", **asdict(self))


def derive_process_limits(memory_bytes: int, max_fds: int) -> ProcessLimits:
    """Return the bounds that follow from the settings of a host.

    :param memory_bytes: memory that the process may take.
    :param max_fds: descriptors that it may have open.
    """
    available = max_fds - _OWN_FDS
    inner = min(_MAX_INNER_CONNECTIONS, _take(available, _INNER_SHARE))
    readiness = min(_MAX_READINESS_CONNECTIONS, _take(available, _READINESS_SHARE))
    inspection = min(_MAX_INSPECTION_CONNECTIONS, _take(available, _INSPECTION_SHARE))
    others = inner + readiness + inspection
    places = int(memory_bytes * _CONNECTION_SHARE / _CONNECTION_BYTES)
    front = min(_take(available, _FRONT_SHARE), max(_MIN_CONNECTIONS, places - others))
    counts = (front, inner, readiness, inspection)
    outgoing = available - sum(count_descriptors(count) for count in counts)
    front_outgoing = int(outgoing * _FRONT_OUTGOING_SHARE)
    inner_outgoing = int(outgoing * _INNER_OUTGOING_SHARE)
    return ProcessLimits(
        *counts,
        front_outgoing_fds=front_outgoing,
        inner_outgoing_fds=inner_outgoing,
        other_fds=_OWN_FDS + outgoing - front_outgoing - inner_outgoing,
        answer_bytes=int(memory_bytes * _BODY_SHARE),
        request_bytes=int(memory_bytes * _BODY_SHARE),
        uncounted_bytes=_UNCOUNTED_BYTES,
        connection_bytes=sum(counts) * _CONNECTION_BYTES,
    )


def _take(count: int, share: float) -> int:
    return max(_MIN_CONNECTIONS, int(count * share))
