"""Polling of the backend servers' cache events."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from hibiscustiller.configuration import FleetConfig
from hibiscustiller.exceptions import TransportError
from hibiscustiller.routing._cache_view import CacheEvent, CacheView
from hibiscustiller.utils import Clock, ServerId, log_event
from hibiscustiller.wire import HttpClient

_OK = 200
# One round over 64 servers with about 350 bytes of headers each takes 1.5 KB/s. The
# view only refines the rendezvous order, which needs no events.
_ROUND = timedelta(seconds=15)
_TIMEOUT = timedelta(seconds=1)
_KINDS = ("stored", "evicted")


class CacheEventPoller:
    """Keeps a :class:`CacheView` up to date for the servers of this router's subset.

    :param client: HTTP client.
    :param get_config: returns the configuration in force.
    :param get_subset: returns the servers that this router uses.
    :param view: what is kept up to date.
    :param clock: paces the polls.
    :param random_state: spreads the polls of several routers.
    :param period: time of one round over all servers.
    """

    def __init__(
        self,
        client: HttpClient,
        get_config: Callable[[], FleetConfig],
        get_subset: Callable[[], frozenset[ServerId]],
        view: CacheView,
        clock: Clock,
        random_state: random.Random,
        period: timedelta = _ROUND,
    ) -> None:
        self._client = client
        self._get_config = get_config
        self._get_subset = get_subset
        self._view = view
        self._clock = clock
        self._random_state = random_state
        self._period = period

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            servers = sorted(self._get_subset())
            self._random_state.shuffle(servers)
            for server in servers:
                await self._pause(len(servers))
                await self.poll_server(server)
            if not servers:
                await self._pause(1)

    async def poll_server(self, server: ServerId) -> None:
        """Take over one server's new events; without an answer nothing changes."""
        config = self._get_config().servers_by_id.get(server)
        if config is None:
            self._view.forget_server(server)
            return
        after = self._view.get_last_sequence(server)
        target = f"/v1/cache-events?after={after}"
        try:
            answer = await self._client.request(
                config.address, "GET", target, timeout=_TIMEOUT
            )
            if answer.status == _OK:
                self._view.note_events(server, _parse_events(answer.read_json()))
        except (TransportError, ValueError, KeyError, TypeError) as error:
            # A failed poll loses nothing: the next one asks for the same events.
            log_event(
                "cache_events_unavailable", level="debug", server=server, error=error
            )

    async def _pause(self, servers: int) -> None:
        factor = 0.5 + self._random_state.random()
        await self._clock.sleep(self._period / servers * factor)


def _parse_events(value: Any) -> list[CacheEvent]:
    """Read a server's answer.

    :raises ValueError: or KeyError or TypeError, if it has another form.
    """
    events = []
    for item in value["events"]:
        sequence, kind, block = item["sequence"], item["kind"], item["block"]
        is_valid = type(sequence) is int and kind in _KINDS and isinstance(block, str)
        if not is_valid:
            raise ValueError(f"cache event cannot be read: {item!r}")
        events.append(CacheEvent(sequence, kind, block))
    return events
