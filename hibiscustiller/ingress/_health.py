"""Which backend servers cannot be reached, found by connecting to them.

An engine reports a dead stage only seconds later, after the caller may have left. A
connection tells at once: a dead process refuses it, a dark host does not answer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

import curio

from hibiscustiller.fleet import BackendServer
from hibiscustiller.ingress._refusals import Refusals
from hibiscustiller.utils import Clock, ServerId, log_event
from hibiscustiller.wire import open_connection

# Connections take about 2 ms. TCP repeats a lost packet only after a second, so a
# second connection is tried before a server is taken to be away.
_CONNECT_TIMEOUT = timedelta(milliseconds=110)
_CONNECT_ATTEMPTS = 2
# A result is good for this long; more streams may stall at the same servers.
_RESULT_LIFE = timedelta(milliseconds=300)
# In a larger fleet than this, results are good for longer in proportion. All routers
# see the same stall, and the first that finds a server lost tells the others.
_CLOSE_ROUTERS = 20
# A server that another router cannot reach is checked this often at most: the other may
# be cut off itself, and tells of it in each report.
_HEARSAY_PERIOD = timedelta(seconds=2)
_RECHECK_PERIOD = timedelta(milliseconds=500)


@dataclass
class _Outage:
    """A server that cannot be reached.

    :param born: start of the incarnation that was lost.
    :param is_ended: whether its process has ended.
    :param is_dead: whether layers have ended with it.
    """

    born: int
    is_ended: bool
    has_lost_layers: bool


class ServerHealth:
    """Reachability of backend servers, and which of them take requests.

    :param get_server: returns what is known of a server.
    :param on_change: called after a server was lost or regained, with whether this
        router has found it out itself.
    :param count_routers: returns how many routers share what they find.
    """

    def __init__(
        self,
        clock: Clock,
        get_server: Callable[[ServerId], BackendServer | None],
        on_change: Callable[[bool], None],
        count_routers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._count_routers = count_routers
        self._clock = clock
        self._get_server = get_server
        self._on_change = on_change
        self._outages: dict[ServerId, _Outage] = {}
        self._checked_at: dict[ServerId, timedelta] = {}
        self._heard_at: dict[ServerId, timedelta] = {}
        self._checks: dict[ServerId, curio.Event] = {}
        self.refusals = Refusals(clock, get_server, lambda: on_change(True))

    def is_usable(self, server: BackendServer) -> bool:
        """Tell whether a server can be reached and is not taken to be leaving."""
        return self.is_reachable(server) and not self.refusals.is_leaving(server)

    def is_reachable(self, server: BackendServer) -> bool:
        """Tell whether a server is not known to be unreachable."""
        outage = self._outages.get(server.id)
        # A new incarnation under the same id has not been seen to fail.
        return outage is None or outage.born != server.born

    def has_ended(self, server: BackendServer) -> bool:
        """Tell whether the process of a server is known to have ended."""
        now = self._get_server(server.id)
        if now is not None and now.born > server.born:
            return True
        outage = self._outages.get(server.id)
        return outage is not None and outage.born == server.born and outage.is_ended

    def list_unreachable(self) -> list[ServerId]:
        """Return the servers that cannot be reached."""
        return [
            server_id
            for server_id in self._outages
            if (server := self._get_server(server_id)) and not self.is_reachable(server)
        ]

    def list_dead(self) -> dict[ServerId, int]:
        """Return the servers whose process has ended, with its start."""
        return {
            server_id: outage.born
            for server_id in self.list_unreachable()
            if (outage := self._outages[server_id]).has_lost_layers
        }

    def record_dead(self, server_id: ServerId, born: int) -> None:
        """Record that a server's process has ended, as another router found out.

        A refused connection is certain, so it need not be tried from here as well.
        """
        server = self._get_server(server_id)
        if server is not None and server.born == born and self.is_reachable(server):
            error = ConnectionRefusedError("refused a connection of another router")
            outage = _Outage(server.born, is_ended=True, has_lost_layers=True)
            self._note_lost(server, outage, error, is_told=True)

    async def check(
        self, servers: Iterable[BackendServer], since: timedelta | None = None
    ) -> bool:
        """Connect to servers whose state is not known from just now.

        :param since: results from before it are not used, on the monotonic clock; a
            connection that has just broken may tell that the server has ended.
        :returns: whether all of them can be reached.
        """
        servers = list(servers)
        async with curio.TaskGroup() as group:
            for server in servers:
                await group.spawn(self._check_one, server, since)
        return all(self.is_reachable(server) for server in servers)

    async def check_reported(self, server_ids: Iterable[ServerId]) -> None:
        """Check servers that another router could not reach."""
        now = self._clock.monotonic()
        due = []
        for server_id in server_ids:
            server = self._get_server(server_id)
            heard_at = self._heard_at.get(server_id, -_HEARSAY_PERIOD)
            if server is not None and now - heard_at >= _HEARSAY_PERIOD:
                self._heard_at[server_id] = now
                due.append(server)
        await self.check(due)

    async def run(self) -> None:
        """Connect to lost servers again until cancelled."""
        while True:
            await self._clock.sleep(_RECHECK_PERIOD)
            for server_id in list(self._outages):
                server = self._get_server(server_id)
                if server is None or self.is_reachable(server):
                    self._outages.pop(server_id, None)
                elif not self._outages[server_id].has_lost_layers:
                    await self.check([server])

    async def _check_one(
        self, server: BackendServer, since: timedelta | None = None
    ) -> None:
        pending = self._checks.get(server.id)
        if pending is not None:
            await pending.wait()
            return
        now = self._clock.monotonic()
        life = _RESULT_LIFE * max(1.0, self._count_routers() / _CLOSE_ROUTERS)
        oldest = now - life if since is None else max(now - life, since)
        checked_at = self._checked_at.get(server.id)
        if checked_at is not None and checked_at > oldest:
            return
        self._checks[server.id] = done = curio.Event()
        try:
            await self._connect(server)
        finally:
            self._checked_at[server.id] = self._clock.monotonic()
            del self._checks[server.id]
            await done.set()

    async def _connect(self, server: BackendServer) -> None:
        try:
            await _try_connect(server)
        except OSError as error:
            # A plain service loses nothing that its next process does not have again.
            has_layers = server.layers.width > 0
            is_refused = isinstance(error, ConnectionRefusedError)
            outage = _Outage(server.born, is_refused, is_refused and has_layers)
            self._note_lost(server, outage, error)
            return
        outage = self._outages.get(server.id)
        # A process that ended has lost its layers, whatever its entry still says.
        if outage is not None and not outage.has_lost_layers:
            del self._outages[server.id]
            log_event("server_reachable", server=server.id)
            self._on_change(True)

    def _note_lost(
        self,
        server: BackendServer,
        outage: _Outage,
        error: OSError,
        is_told: bool = False,
    ) -> None:
        if self._outages.get(server.id) == outage:
            return
        self._outages[server.id] = outage
        log_event(
            "server_unreachable",
            level="warning",
            server=server.id,
            is_ended=outage.is_ended,
            is_dead=outage.has_lost_layers,
            reason=error,
        )
        self._on_change(not is_told)


async def _try_connect(server: BackendServer) -> None:
    """Open a connection and close it.

    :raises OSError: if no attempt succeeds.
    """
    for attempt in range(1, _CONNECT_ATTEMPTS + 1):
        try:
            sock = await open_connection(server.address, _CONNECT_TIMEOUT)
        except TimeoutError:
            if attempt == _CONNECT_ATTEMPTS:
                raise
        else:
            await sock.close()
            return
