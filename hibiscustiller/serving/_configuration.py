"""The parts of a router that keep, accept and report its configuration."""

from __future__ import annotations

import random
from collections.abc import Mapping
from datetime import timedelta

from hibiscustiller.configuration import (
    MAX_DOCUMENT_BYTES,
    AuditTrail,
    ConfigurationSync,
    CurrentConfiguration,
    ProposalService,
)
from hibiscustiller.membership import PeerTransport
from hibiscustiller.platform import KeyValueStore
from hibiscustiller.serving._administration import AdministrationApi, ReportSection
from hibiscustiller.settings import Settings
from hibiscustiller.utils import Clock, Metrics
from hibiscustiller.wire import HttpLimits, HttpServer

# Operators are few; more connections than this are a fault of their programs.
_MAX_CONNECTIONS = 64
# A proposal may hold a whole document; JSON takes up to twice its size.
_MAX_BODY_BYTES = 2 * MAX_DOCUMENT_BYTES
_IDLE_TIMEOUT = timedelta(seconds=60)


class ConfigurationParts:
    """Synchronisation, proposals, audit trail and administration server.

    :param current: the configuration in force.
    :param transport: connections to other routers; None for a single router.
    """

    def __init__(
        self,
        settings: Settings,
        current: CurrentConfiguration,
        store: KeyValueStore,
        transport: PeerTransport | None,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
        report_sections_by_name: Mapping[str, ReportSection],
    ) -> None:
        router_id = settings.router.id
        # Background tasks draw at any time; a generator of their own keeps the
        # sequence of the router's other parts reproducible.
        random_state = random.Random(random_state.getrandbits(64))
        self.audit = AuditTrail(store, clock, router_id, metrics)
        self.sync = ConfigurationSync(
            current,
            store,
            transport,
            clock,
            random_state,
            metrics,
            on_replaced=self.audit.note_replaced,
        )
        self.proposals = ProposalService(
            current, self.sync, store, self.audit, clock, random_state, metrics
        )
        self.api = AdministrationApi(
            router_id,
            current,
            self.sync,
            self.proposals,
            self.audit,
            report_sections_by_name,
            metrics,
        )
        limits = HttpLimits(
            max_connections=_MAX_CONNECTIONS,
            max_header_bytes=settings.limits.max_header_bytes,
            max_body_bytes=_MAX_BODY_BYTES,
            read_timeout=settings.limits.read_timeout,
            idle_timeout=_IDLE_TIMEOUT,
            write_timeout=settings.limits.write_timeout,
        )
        self.server = HttpServer(
            settings.listen.administration, self.api.handle, limits, "administration"
        )

    async def start(self) -> None:
        """Load the configuration and answer operators."""
        await self.sync.start()
        await self.audit.start()
        await self.server.start()

    async def stop(self) -> None:
        """Stop answering operators, write the audit trail, stop following."""
        await self.server.close()
        await self.audit.stop()
        await self.sync.stop()
