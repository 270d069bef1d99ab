"""Routers of one fleet in this process, which can be aborted, cut off and paused."""

from __future__ import annotations

import random
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Any

import curio

from hibiscustiller.exceptions import TransportError
from hibiscustiller.membership import MeshTimings
from hibiscustiller.membership.tests._meshes import Cuts
from hibiscustiller.serving import Router
from hibiscustiller.settings import Address
from hibiscustiller.standins import make_standin_settings
from hibiscustiller.utils import Metrics, Revision, SystemClock, Verdict
from hibiscustiller.wire import HttpClient

# A partition must outlast the time after which peers are dropped, which takes 10 s
# at the real periods.
_TIMINGS = MeshTimings().scale(0.15)
_PAUSE_POLL = timedelta(milliseconds=20)


class PausableClock:
    """The system's clock, whose sleeps do not end while it is paused.

    The time goes on during the pause, as it does for a suspended process.
    """

    def __init__(self) -> None:
        self._clock = SystemClock()
        self.is_paused = False

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return self._clock.now()

    def monotonic(self) -> timedelta:
        """Return the time since a fixed moment."""
        return self._clock.monotonic()

    def boot_time(self) -> timedelta:
        """Return the time since the host's start."""
        return self._clock.boot_time()

    async def sleep(self, delay: timedelta) -> None:
        """Suspend the calling task for ``delay`` and the rest of a pause."""
        await self._clock.sleep(delay)
        while self.is_paused:
            await self._clock.sleep(_PAUSE_POLL)


class _StoreLink:
    """A client of the store that loses it while ``is_cut`` is set."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self.is_cut = False

    async def open_stream(self, *args: Any, **options: Any) -> Any:
        self._check()
        return await self._client.open_stream(*args, **options)

    async def request_json(self, *args: Any, **options: Any) -> Any:
        self._check()
        return await self._client.request_json(*args, **options)

    def _check(self) -> None:
        if self.is_cut:
            raise TransportError("the store is cut off", Verdict.NOT_RUN)


class FleetRouter:
    """One router and its test switches.

    :param name: its id.
    :param domain: its failure domain.
    :param platform: address of the platform's stand-in.
    :param seeds: addresses of other routers' meshes.
    :param cuts: decides which peers lose each other.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        platform: Address,
        seeds: Iterable[Address],
        cuts: Cuts,
        random_state: random.Random,
    ) -> None:
        settings = make_standin_settings(
            platform,
            router_id=name,
            failure_domain=domain,
            seeds=seeds,
            shared_key="secret",
        )
        self.name = name
        self.domain = domain
        self.is_aborted = False
        self.clock = PausableClock()
        self.revisions: list[Revision] = []
        self.router = Router(settings, self.clock, random_state, Metrics())
        self.store_link = _StoreLink(self.router.store._client)
        self.router.store._client = self.store_link
        mesh = self.mesh
        mesh._timings = mesh._links._timings = _TIMINGS
        mesh._links.is_cut = cuts.make_check(name)
        self.router.configuration.subscribe(
            lambda config: self.revisions.append(self.router.configuration.revision)
        )

    @property
    def mesh(self) -> Any:
        """Its connections to the other routers."""
        return self.router.control_plane.mesh

    @property
    def is_ready(self) -> bool:
        """Whether the balancer would send requests here."""
        sync = self.router.configuration_parts.sync
        return self.router.configuration.revision > 0 and sync.is_ready()

    async def abort(self) -> None:
        """End without a word to callers, peers or the store, as a crash does."""
        self.is_aborted = True
        router, parts = self.router, self.router.configuration_parts
        plane = router.control_plane
        tasks = [*plane.holder._tasks, *plane._tasks, *plane.poller._tasks]
        tasks += [parts.audit._task, router._cache_poll_task]
        for task in tasks:
            await task.cancel()
        await self.mesh.abort()
        await router.caller_server.close()
        await parts.server.close()
        await parts.sync.stop()
        await router.admission.stop()
        await router._client.close()

    async def stop(self) -> None:
        """Shut down gracefully."""
        await self.router.stop()


async def wait_for(condition: Any, limit: timedelta) -> bool:
    """Wait for a condition.

    :returns: whether it was reached within the limit.
    """
    clock = SystemClock()
    end = clock.monotonic() + limit
    while not condition():
        if clock.monotonic() >= end:
            return False
        await curio.sleep(0.02)
    return True
