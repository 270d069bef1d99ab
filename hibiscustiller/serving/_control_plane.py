"""A router's part in the fleet: peers, states of backend servers, engine control."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from datetime import timedelta

import curio

from hibiscustiller.configuration import CurrentConfiguration
from hibiscustiller.control import ControlHolder
from hibiscustiller.membership import (
    BackendPoller,
    BackendTable,
    CrashSharing,
    LoadReport,
    Member,
    PeerMesh,
    PeerTransport,
    SignalSharing,
    SoloTransport,
    UsageSharing,
)
from hibiscustiller.membership._usage_sharing import UsageAggregator, UsageLedger
from hibiscustiller.platform import KeyValueStore
from hibiscustiller.settings import Settings
from hibiscustiller.streams import CrashRegistry
from hibiscustiller.utils import Clock, RouterId, ServerId
from hibiscustiller.wire import HttpClient

# Reported until the configuration's own confirmation age is connected.
_UNCONFIRMED = timedelta(days=1)


class ControlPlane:
    """Assembles and runs the parts that keep a router in step with the fleet.

    The public callables are replaced by the router's assembly before the start.

    :param settings: the daemon's settings.
    :param store: the platform's key-value service.
    :param client: HTTP client.
    :param configuration: the document in force.
    :param clock: source of time.
    :param random_state: source of jitter.
    """

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        client: HttpClient,
        configuration: CurrentConfiguration,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self.get_confirmed_age: Callable[[], timedelta] = lambda: _UNCONFIRMED
        self.get_subset: Callable[[], Iterable[ServerId]] = lambda: list(
            configuration.config.servers_by_id
        )
        self.record_report: Callable[[ServerId, LoadReport], None] = lambda *args: None
        self._clock = clock
        self._random_state = random_state
        self._runs: list[Callable] = []
        self._tasks: list[curio.Task] = []
        self.mesh = self._make_mesh(settings, configuration)
        self.transport: PeerTransport = self.mesh or SoloTransport(
            _make_self_member(settings)
        )
        self.backends = BackendTable(configuration.get_config, clock, random_state)
        configuration.subscribe(self.backends.note_document)
        signals = SignalSharing(self.transport, self.backends, clock)
        self._runs.append(signals.run)
        self.poller = BackendPoller(
            self.backends,
            configuration.get_config,
            lambda: self.get_subset(),
            lambda server, report: self.record_report(server, report),
            client,
            settings.platform.host_list,
            settings.platform.timeout,
            lambda: len(self.transport.list_members()),
            clock,
            random_state,
        )
        self.holder = ControlHolder(
            settings.router.id,
            store,
            client,
            configuration.get_config,
            self._list_routers,
            clock,
            random_state,
        )

    def share_usage(self, ledger: UsageLedger, aggregator: UsageAggregator) -> None:
        """Share the organisations' usage with the other routers once started."""
        sharing = UsageSharing(
            self.transport, ledger, aggregator, self._clock, self._random_state
        )
        self._runs.append(sharing.run)

    def share_crashes(self, registry: CrashRegistry) -> None:
        """Share crash reports with the other routers once started."""
        sharing = CrashSharing(self.transport, registry, self._clock)
        registry.send_reports_now = sharing.share_once
        self._runs.append(sharing.run)

    async def start(self) -> None:
        """Join the fleet.

        :raises OSError: if the address for peers cannot be listened on.
        """
        if self.mesh is not None:
            await self.mesh.start()
        for run in self._runs:
            self._tasks.append(await curio.spawn(run, daemon=True))
        await self.poller.start()
        await self.holder.start()

    async def stop(self) -> None:
        """Hand the lease over and leave the fleet."""
        await self.holder.stop()
        await self.poller.stop()
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()
        if self.mesh is not None:
            await self.mesh.stop()

    def _make_mesh(
        self, settings: Settings, configuration: CurrentConfiguration
    ) -> PeerMesh | None:
        if not settings.peers.shared_key:
            return None
        return PeerMesh(
            _make_self_member(settings),
            settings.peers.seeds,
            settings.peers.shared_key,
            lambda: configuration.revision,
            lambda: self.get_confirmed_age(),
            self._clock,
            self._random_state,
        )

    def _list_routers(self) -> list[RouterId]:
        return [member.router_id for member in self.transport.list_members()]


def _make_self_member(settings: Settings) -> Member:
    router = settings.router
    return Member(
        router.id, router.failure_domain, router.region, settings.listen.peers
    )
