"""An idle connection to each engine, which ends at once when the engine's process does.

Only the first engine of a pipeline has a connection that carries requests. Without one
to each of the others, the loss of a stage shows only as a pause of its streams. A few
routers watch each engine and tell the others.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import curio

from hibiscustiller.fleet import BackendServer
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.utils import Clock, ServerId, log_event
from hibiscustiller.wire import open_connection, set_tcp_options

_PERIOD = timedelta(milliseconds=250)
_CONNECT_TIMEOUT = timedelta(milliseconds=500)
# Engines close idle connections; a server that closes at once is not asked on and on.
_REOPEN_DELAY = timedelta(seconds=1)


class EngineMonitor:
    """Keeps the connections.

    :param health: checks a server whose connection has ended.
    :param list_engines: returns the engines that this router watches.
    """

    def __init__(
        self,
        clock: Clock,
        health: ServerHealth,
        list_engines: Callable[[], Mapping[ServerId, BackendServer]],
    ) -> None:
        self._clock = clock
        self._health = health
        self._list_engines = list_engines
        self._tasks_by_id: dict[ServerId, curio.Task] = {}

    async def run(self) -> None:
        """Keep a connection to each watched engine until cancelled."""
        while True:
            engines_by_id = self._list_engines()
            for server_id in set(self._tasks_by_id) - set(engines_by_id):
                await self._tasks_by_id.pop(server_id).cancel(blocking=False)
            for server_id, server in engines_by_id.items():
                if server_id not in self._tasks_by_id:
                    task = await curio.spawn(self._follow, server, daemon=True)
                    self._tasks_by_id[server_id] = task
            await self._clock.sleep(_PERIOD)

    async def _follow(self, server: BackendServer) -> None:
        while True:
            opened_at = self._clock.monotonic()
            reason = await self._hold(server)
            log_event("monitor_ended", level="debug", server=server.id, reason=reason)
            await self._health.check([server])
            if self._clock.monotonic() - opened_at < _REOPEN_DELAY:
                await self._clock.sleep(_REOPEN_DELAY)

    async def _hold(self, server: BackendServer) -> str:
        """Wait until a connection ends; return how it did."""
        try:
            sock = await open_connection(server.address, _CONNECT_TIMEOUT)
        except OSError as error:
            return f"cannot connect: {error}"
        async with sock:
            set_tcp_options(sock)
            try:
                await sock.recv(1)
            except OSError as error:
                return str(error)
        return "closed"
