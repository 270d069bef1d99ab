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

_HTTP_OK = 200
# Polling 64 servers once per period, with about 350 bytes of headers each, takes
# 1.5 KB/s. A long period is acceptable, as the cache view only refines the rendezvous
# order, which needs no events.
_POLL_PERIOD = timedelta(seconds=15)
_REQUEST_TIMEOUT = timedelta(seconds=1)
_EVENT_KINDS = ("stored", "evicted")


class CacheEventPoller:
    """Updates a :class:`CacheView` with the events of the servers in the subset.

    :param client: HTTP client for the polls.
    :param get_config: returns the current configuration.
    :param get_subset: returns the servers that this router uses.
    :param cache_view: the view to update.
    :param clock: time source for the pauses between polls.
    :param random_state: source of the jitter and the order of polls, so that several
        routers do not poll a server at the same time.
    :param period: mean time to poll all servers once.
    """

    def __init__(
        self,
        client: HttpClient,
        get_config: Callable[[], FleetConfig],
        get_subset: Callable[[], frozenset[ServerId]],
        cache_view: CacheView,
        clock: Clock,
        random_state: random.Random,
        period: timedelta = _POLL_PERIOD,
    ) -> None:
        self._client = client
        self._get_config = get_config
        self._get_subset = get_subset
        self._cache_view = cache_view
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
        """Fetch and apply one server's new events.

        A failed poll changes nothing.
        """
        config = self._get_config().servers_by_id.get(server)
        if config is None:
            self._cache_view.discard_server(server)
            return
        after = self._cache_view.get_last_sequence(server)
        target = f"/v1/cache-events?after={after}"
        try:
            response = await self._client.request(
                config.address, "GET", target, timeout=_REQUEST_TIMEOUT
            )
            if response.status == _HTTP_OK:
                self._cache_view.apply_events(
                    server, _parse_events(response.read_json())
                )
        except (TransportError, ValueError, KeyError, TypeError) as error:
            # No events are lost: the next poll requests the same ones.
            log_event(
                "cache_events_unavailable", level="debug", server=server, error=error
            )

    async def _pause(self, server_count: int) -> None:
        factor = 0.5 + self._random_state.random()
        await self._clock.sleep(self._period / server_count * factor)


def _parse_events(value: Any) -> list[CacheEvent]:
    """Parse the JSON body of a response.

    :raises ValueError: if an event is invalid.
    :raises KeyError: if a field is missing.
    :raises TypeError: if the body or an event has the wrong type.
    """
    events = []
    for item in value["events"]:
        sequence, kind, block = item["sequence"], item["kind"], item["block"]
        is_valid = (
            type(sequence) is int and kind in _EVENT_KINDS and isinstance(block, str)
        )
        if not is_valid:
            raise ValueError(f"invalid cache event: {item!r}")
        events.append(CacheEvent(sequence, kind, block))
    return events
