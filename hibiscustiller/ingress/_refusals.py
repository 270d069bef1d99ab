"""Tracking of backend servers that are reachable but refuse requests.

An engine refuses when it is full, when it is leaving and when it unloads its layers.
The store announces the latter two, but may be unavailable. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import BackendServer
from hibiscustiller.utils import Clock, ServerId, log_event

# A server that refused receives no requests for this long: it is full, or it is leaving
# and the store has not announced that yet.
_REFUSAL_EXCLUSION_TIME = timedelta(milliseconds=400)
# A server that refuses this often in a row although it has room is taken to be leaving.
_REFUSALS_BEFORE_LEAVING = 2
# A server taken to be leaving is tried again after this time, which doubles each time.
_FIRST_LEAVING_EXCLUSION = timedelta(seconds=1)
_MAX_LEAVING_EXCLUSION = timedelta(seconds=8)
_MAX_EXCLUSION_DOUBLINGS = 3
# Longer than the report period in a large fleet, which is one and a half seconds.
_PEER_REPORT_LIFETIME = timedelta(seconds=2)


@dataclass
class _RefusalRecord:
    """Consecutive refusals of a server that has room.

    :param entry: the server's entry in the store; a changed entry starts a new record.
    :param refusal_count: number of the refusals.
    :param exclusion_count: how often the server was taken to be leaving, up to a limit.
    :param excluded_until: end of the current exclusion, on the monotonic clock.
    """

    entry: BackendServer
    refusal_count: int = 0
    exclusion_count: int = 0
    excluded_until: timedelta = timedelta(0)


class ServerRefusals:
    """Refusals by backend servers, as observed here and as reported by other routers.

    :param get_server: returns the entry of a server; None if there is none.
    :param on_change: called when this router starts to take a server to be leaving.
    """

    def __init__(
        self,
        clock: Clock,
        get_server: Callable[[ServerId], BackendServer | None],
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._get_server = get_server
        self._on_change = on_change
        self._refusing_until_by_id: dict[ServerId, timedelta] = {}
        self._records_by_id: dict[ServerId, _RefusalRecord] = {}
        # Servers that other routers take to be leaving, and when each report expires.
        self._peer_reports_by_id: dict[ServerId, tuple[BackendServer, timedelta]] = {}

    def record_refusal(self, server: BackendServer, has_room: bool) -> None:
        """Record that a server refused a request.

        :param has_room: whether the server is known to have spare capacity.
        """
        now = self._clock.monotonic()
        self._refusing_until_by_id[server.id] = now + _REFUSAL_EXCLUSION_TIME
        if not has_room:
            return
        record = self._records_by_id.get(server.id)
        if record is None or record.entry != server:
            record = self._records_by_id[server.id] = _RefusalRecord(server)
        record.refusal_count += 1
        if (
            record.refusal_count < _REFUSALS_BEFORE_LEAVING
            or now < record.excluded_until
        ):
            return
        exclusion_time = min(
            _MAX_LEAVING_EXCLUSION, _FIRST_LEAVING_EXCLUSION * 2**record.exclusion_count
        )
        # The count of refusals is kept, so that a single refusal after this exclusion
        # starts the next one.
        record.exclusion_count = min(
            record.exclusion_count + 1, _MAX_EXCLUSION_DOUBLINGS
        )
        record.excluded_until = now + exclusion_time
        log_event(
            "server_refuses",
            level="warning",
            server=server.id,
            refusals=record.refusal_count,
            left_out=exclusion_time,
        )
        self._on_change()

    def record_accepted(self, server_ids: Iterable[ServerId]) -> None:
        """Record that servers accepted a request."""
        for server_id in server_ids:
            self._records_by_id.pop(server_id, None)

    def record_peer_report(self, server_ids: Iterable[ServerId]) -> None:
        """Record the servers that another router takes to be leaving.

        This does not call ``on_change``, since every router would then report to all
        others, and the number of reports would grow with the square of the fleet's
        size. The pipelines are searched again within a quarter of a second anyway.
        """
        until = self._clock.monotonic() + _PEER_REPORT_LIFETIME
        for server_id in server_ids:
            server = self._get_server(server_id)
            if server is not None:
                self._peer_reports_by_id[server_id] = (server, until)

    def list_refusing(self) -> set[ServerId]:
        """Return the servers that recently refused a request."""
        now = self._clock.monotonic()
        expired_ids = [
            key for key, until in self._refusing_until_by_id.items() if now >= until
        ]
        for server_id in expired_ids:
            del self._refusing_until_by_id[server_id]
        return set(self._refusing_until_by_id)

    def list_leaving(self) -> list[ServerId]:
        """Return the servers that this router itself takes to be leaving."""
        now = self._clock.monotonic()
        return [
            server_id
            for server_id, record in self._records_by_id.items()
            if now < record.excluded_until
        ]

    def is_leaving(self, server: BackendServer) -> bool:
        """Tell whether this router or another one takes a server to be leaving."""
        now = self._clock.monotonic()
        record = self._records_by_id.get(server.id)
        is_current = record is not None and record.entry == server
        if is_current and now < record.excluded_until:
            return True
        entry, until = self._peer_reports_by_id.get(server.id, (None, timedelta(0)))
        if entry is not None and now >= until:
            del self._peer_reports_by_id[server.id]
            return False
        return entry == server
