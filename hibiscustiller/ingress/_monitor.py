"""Monitoring of engines over idle connections, which close when the process ends.

Only the first engine of a pipeline has a connection that carries requests. Without a
connection to each of the others, the loss of a stage is visible only as a pause in its
streams. A few routers watch each engine and report its loss to the others.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import curio

from hibiscustiller.fleet import BackendServer
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.utils import Clock, ServerId, log_event
from hibiscustiller.wire import Connect, open_connection, set_tcp_options

_UPDATE_PERIOD = timedelta(milliseconds=250)
_CONNECT_TIMEOUT = timedelta(milliseconds=500)
# Engines close idle connections, and the connection is then opened again. The delay
# limits the rate if a server closes its connections at once.
_RECONNECT_DELAY = timedelta(seconds=1)


class EngineMonitor:
    """Keeps an idle connection to each watched engine.

    :param health: checks a server after its connection has closed.
    :param list_engines: returns the engines that this router watches.
    :param connect: opens connections to engines.
    """

    def __init__(
        self,
        clock: Clock,
        health: ServerHealth,
        list_engines: Callable[[], Mapping[ServerId, BackendServer]],
        connect: Connect = open_connection,
    ) -> None:
        self._open_connection = connect
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
                    task = await curio.spawn(self._watch, server, daemon=True)
                    self._tasks_by_id[server_id] = task
            await self._clock.sleep(_UPDATE_PERIOD)

    async def _watch(self, server: BackendServer) -> None:
        while True:
            if self._health.reach.is_cut_off:
                await self._clock.sleep(_RECONNECT_DELAY)
                continue
            opened_at = self._clock.monotonic()
            reason = await self._wait_for_close(server)
            log_event("monitor_ended", level="debug", server=server.id, reason=reason)
            await self._health.check([server])
            if self._clock.monotonic() - opened_at < _RECONNECT_DELAY:
                await self._clock.sleep(_RECONNECT_DELAY)

    async def _wait_for_close(self, server: BackendServer) -> str:
        """Open a connection to a server and wait until it closes.

        :returns: why the connection closed or could not be opened.
        """
        try:
            sock = await self._open_connection(server.address, _CONNECT_TIMEOUT)
        except OSError as error:
            return f"cannot connect: {error}"
        async with sock:
            set_tcp_options(sock)
            try:
                await sock.recv(1)
            except OSError as error:
                return str(error)
        return "closed"
