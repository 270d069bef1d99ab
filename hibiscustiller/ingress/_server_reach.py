"""Whether this router reaches backend servers at all.

A router whose links to all servers are cut finds each of them refusing or silent, as if
all had ended. A server is therefore taken for lost only if this router reaches another
one at that time; otherwise the router takes itself for cut off.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import curio

from hibiscustiller.fleet import BackendServer
from hibiscustiller.utils import Clock, ServerId, log_event
from hibiscustiller.wire import Connect

# Connections take about 2 ms.
_CONNECT_TIMEOUT = timedelta(milliseconds=110)
# The first connections suffice unless many servers were lost at the same time. If half
# of them were, one of 64 routers takes itself for cut off until its next probe.
_FIRST_PROBE_COUNT = 2
_FURTHER_PROBE_COUNT = 4
# While it is cut off, a router connects to this many servers in each period.
_RETURN_PROBE_COUNT = 2
_RETURN_PROBE_PERIOD = timedelta(milliseconds=500)
_PERIOD_JITTER = 0.2


class ServerReach:
    """Connects to servers to tell the loss of one from the loss of all links.

    :param connect: opens connections to servers.
    :param list_servers: returns the servers of all services.
    :param on_change: called after this router was cut off, or reached servers again.
    """

    def __init__(
        self,
        clock: Clock,
        random_state: random.Random,
        connect: Connect,
        list_servers: Callable[[], Sequence[BackendServer]],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._random_state = random_state
        self._connect = connect
        self._list_servers = list_servers
        self._on_change = on_change
        self._reached_at_by_id: dict[ServerId, timedelta] = {}
        self._pending_probe: curio.Event | None = None
        self.is_cut_off = False

    def record_reached(self, server_id: ServerId) -> None:
        """Record that a connection to a server was opened."""
        self._reached_at_by_id[server_id] = self._clock.monotonic()
        if self.is_cut_off:
            self.is_cut_off = False
            log_event("servers_reached_again", server=server_id)
            self._on_change()

    async def is_other_reachable(self, server: BackendServer, since: timedelta) -> bool:
        """Tell whether another server could be reached after one could not.

        If none can, this router is cut off. A router that knows no other server cannot
        tell, and takes its links for sound.

        :param since: when the connection to the server was attempted, on the monotonic
            clock; earlier successes prove nothing.
        """
        if self._pending_probe is not None:
            await self._pending_probe.wait()
            return self._was_reached(server, since) or not self.is_cut_off
        if self._was_reached(server, since):
            return True
        others = [
            other
            for other in self._list_servers()
            if other.id != server.id and other.address != server.address
        ]
        if not others:
            return True
        self._pending_probe = done = curio.Event()
        try:
            is_reached = await self._probe_some(others)
        finally:
            self._pending_probe = None
            await done.set()
        if not is_reached and not self.is_cut_off:
            self.is_cut_off = True
            log_event("cut_off_from_servers", level="warning", server=server.id)
            self._on_change()
        return is_reached

    async def run(self) -> None:
        """Look for reachable servers, while there are none, until cancelled."""
        while True:
            jitter = self._random_state.uniform(1 - _PERIOD_JITTER, 1 + _PERIOD_JITTER)
            await self._clock.sleep(_RETURN_PROBE_PERIOD * jitter)
            servers = self._list_servers()
            known_ids = {server.id for server in servers}
            for server_id in set(self._reached_at_by_id) - known_ids:
                del self._reached_at_by_id[server_id]
            if self.is_cut_off:
                await self._probe(self._choose(servers, _RETURN_PROBE_COUNT))

    def _was_reached(self, server: BackendServer, since: timedelta) -> bool:
        """Tell whether a server other than the given one was reached after a time."""
        return any(
            at >= since
            for server_id, at in self._reached_at_by_id.items()
            if server_id != server.id
        )

    async def _probe_some(self, servers: Sequence[BackendServer]) -> bool:
        count = _FIRST_PROBE_COUNT + _FURTHER_PROBE_COUNT
        chosen = self._choose(servers, count)
        return await self._probe(chosen[:_FIRST_PROBE_COUNT]) or await self._probe(
            chosen[_FIRST_PROBE_COUNT:]
        )

    def _choose(
        self, servers: Sequence[BackendServer], count: int
    ) -> list[BackendServer]:
        return self._random_state.sample(servers, min(count, len(servers)))

    async def _probe(self, servers: Sequence[BackendServer]) -> bool:
        """Connect to servers; tell whether any of them accepted."""
        async with curio.TaskGroup() as group:
            for server in servers:
                await group.spawn(self._try_connect, server)
        return any(group.results)

    async def _try_connect(self, server: BackendServer) -> bool:
        try:
            sock = await self._connect(server.address, _CONNECT_TIMEOUT)
        except OSError as error:
            log_event("probe_failed", level="debug", server=server.id, reason=error)
            return False
        await sock.close()
        self.record_reached(server.id)
        return True
