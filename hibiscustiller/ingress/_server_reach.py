"""Whether this router reaches backend servers at all.

A router whose links to servers are cut finds each of them refusing or silent, as if all
had ended. A server is therefore taken for ended only if this router reaches others at
that time. A router that reaches no server at all is cut off.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import Enum
from typing import Any

import curio

from hibiscustiller.fleet import BackendServer
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, ServerId, ServiceName, log_event
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
# If fewer other servers of a service cannot be reached either, they may have crashed.
_MIN_COMPARED = 4
# A connection that took this many times its limit ran out while this process was
# stopped or its loop blocked, which says nothing of the server.
_STALL_FACTOR = 2
# After so many of them a router is too slow to tell, and believes the last one.
_MAX_STALLED_CONNECTS = 4
# Requests that no other router answers cause probes at most this often.
_MIN_PROBE_INTERVAL = timedelta(milliseconds=100)


class Reach(Enum):
    """Which other servers can be reached when one cannot.

    SERVICE is another server of the same service, or one of another service if the same
    one has few. OTHER is a server of another service only, and NONE is no server.
    """

    SERVICE = "service"
    OTHER = "other"
    NONE = "none"


async def connect_unstalled(
    connect: Connect, address: Address, timeout: timedelta, clock: Clock
) -> Any:
    """Open a connection; again if its time ran out while this process was stopped.

    :raises OSError: if it cannot be opened; a ``TimeoutError`` if the time is up.
    """
    for _ in range(_MAX_STALLED_CONNECTS - 1):
        started_at = clock.monotonic()
        try:
            return await connect(address, timeout)
        except TimeoutError:
            took = clock.monotonic() - started_at
            if took < timeout * _STALL_FACTOR:
                raise
            log_event("connect_stalled", level="debug", address=address, took=took)
    return await connect(address, timeout)


class ServerReach:
    """Connects to servers to tell the loss of one from the loss of all links.

    :param connect: opens connections to servers.
    :param list_servers: returns the servers of all services.
    :param has_other_routers: returns whether another router could reach servers that
        this one does not. A single router takes each failure for that of the server.
    :param on_change: called after this router was cut off, or reached servers again.
    """

    def __init__(
        self,
        clock: Clock,
        random_state: random.Random,
        connect: Connect,
        list_servers: Callable[[], Sequence[BackendServer]],
        has_other_routers: Callable[[], bool],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._random_state = random_state
        self._connect = connect
        self._list_servers = list_servers
        self._has_other_routers = has_other_routers
        self._on_change = on_change
        self._reached_at_by_id: dict[ServerId, timedelta] = {}
        self._pending_probes: dict[ServiceName, curio.Event] = {}
        self._looked_at = timedelta(0)
        self.is_cut_off = False

    def record_reached(self, server_id: ServerId) -> None:
        """Record that a connection to a server was opened."""
        self._reached_at_by_id[server_id] = self._clock.monotonic()
        if self.is_cut_off:
            self.is_cut_off = False
            log_event("servers_reached_again", server=server_id)
            self._on_change()

    async def look_again(self) -> bool:
        """Look for a server now, for a request that no other router answers.

        :returns: whether this router reaches a server.
        """
        now = self._clock.monotonic()
        if self.is_cut_off and now - self._looked_at >= _MIN_PROBE_INTERVAL:
            self._looked_at = now
            await self._probe(self._choose(self._list_servers(), _RETURN_PROBE_COUNT))
        return not self.is_cut_off

    async def compare(self, server: BackendServer, since: timedelta) -> Reach:
        """Tell which other servers can be reached after one could not be.

        A router that knows no other server cannot tell, and takes its links for sound.

        :param since: when the connection to the server was attempted, on the monotonic
            clock; earlier successes prove nothing.
        """
        others = [
            other
            for other in self._list_servers()
            if other.id != server.id and other.address != server.address
        ]
        same = [other for other in others if other.service == server.service]
        if not others or not self._has_other_routers():
            return Reach.SERVICE
        if not same and self._was_any_reached(others, since):
            return Reach.SERVICE
        while (pending := self._pending_probes.get(server.service)) is not None:
            await pending.wait()
            if self.is_cut_off:
                return Reach.NONE
        if self._was_any_reached(same, since):
            return Reach.SERVICE
        self._pending_probes[server.service] = done = curio.Event()
        try:
            return await self._probe_others(server, same, others, since)
        finally:
            del self._pending_probes[server.service]
            await done.set()

    async def _probe_others(
        self,
        server: BackendServer,
        same: Sequence[BackendServer],
        others: Sequence[BackendServer],
        since: timedelta,
    ) -> Reach:
        if same and await self._probe_some(same):
            return Reach.SERVICE
        if self._was_any_reached(others, since) or await self._probe_some(others):
            # The servers of a small service may all have crashed, under one request.
            return Reach.OTHER if len(same) >= _MIN_COMPARED else Reach.SERVICE
        if not self.is_cut_off:
            self.is_cut_off = True
            log_event("cut_off_from_servers", level="warning", server=server.id)
            self._on_change()
        return Reach.NONE

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

    def _was_any_reached(
        self, servers: Sequence[BackendServer], since: timedelta
    ) -> bool:
        """Tell whether any of some servers was reached after a time."""
        reached_at_by_id = self._reached_at_by_id
        return any(
            server.id in reached_at_by_id and reached_at_by_id[server.id] >= since
            for server in servers
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
            sock = await connect_unstalled(
                self._connect, server.address, _CONNECT_TIMEOUT, self._clock
            )
        except OSError as error:
            log_event("probe_failed", level="debug", server=server.id, reason=error)
            return False
        await sock.close()
        self.record_reached(server.id)
        return True
