"""Which backend servers do not take requests although they can be reached.

A full engine refuses, and so does one that is leaving or gives up its layers. The store
tells of the latter, but it may be away. A decision without I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import BackendServer
from hibiscustiller.utils import Clock, ServerId, log_event

# A server that refused is left out for this long: it is full, or it leaves before the
# store has told so. Others get the requests meanwhile.
_REFUSAL_EXCLUSION_TIME = timedelta(milliseconds=400)
# A server that refuses this often in a row although it has room is leaving.
_REFUSALS_BEFORE_LEAVING = 2
# Such a server is tried again after this time, and after twice as long each time.
_FIRST_LEAVING_EXCLUSION = timedelta(seconds=1)
_MAX_LEAVING_EXCLUSION = timedelta(seconds=8)
_MAX_EXCLUSION_DOUBLINGS = 3
# Routers of a large fleet report every one and a half seconds.
_PEER_REPORT_LIFETIME = timedelta(seconds=2)


@dataclass
class _RefusalRecord:
    """Refusals in a row of a server that has room.

    :param entry: what the store told of it; a changed entry begins anew.
    :param leaves: how often it was taken to be leaving.
    :param left_out_until: end of the present time without requests.
    """

    entry: BackendServer
    refusal_count: int = 0
    exclusion_count: int = 0
    excluded_until: timedelta = timedelta(0)


class ServerRefusals:
    """Refusals that this router met, and what the others tell of theirs.

    :param get_server: returns what is known of a server.
    :param on_change: called when this router takes a server to be leaving.
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
        # Servers that other routers take to be leaving, and until when.
        self._peer_reports_by_id: dict[ServerId, tuple[BackendServer, timedelta]] = {}

    def record_refusal(self, server: BackendServer, has_room: bool) -> None:
        """Record that a server did not take a request.

        :param has_room: whether it is known to be far from full.
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
        # After that time a single refusal is enough.
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
        """Record that servers run a request."""
        for server_id in server_ids:
            self._records_by_id.pop(server_id, None)

    def record_peer_report(self, server_ids: Iterable[ServerId]) -> None:
        """Take over which servers another router takes to be leaving.

        Pipelines are found again within a quarter of a second anyway. A change that is
        announced would be told on by each router, and grow with the fleet's square.
        """
        until = self._clock.monotonic() + _PEER_REPORT_LIFETIME
        for server_id in server_ids:
            server = self._get_server(server_id)
            if server is not None:
                self._peer_reports_by_id[server_id] = (server, until)

    def list_refusing(self) -> set[ServerId]:
        """Return the servers that refused a request just now."""
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
        """Tell whether a server is taken to be leaving."""
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
