"""Sharing of crash reports, so that a poisonous request is known at every router."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from hibiscustiller.membership._relaying import SeenMessages
from hibiscustiller.membership._transport import PeerTransport
from hibiscustiller.utils import Clock, RouterId
from hibiscustiller.wire._messages_generated import CrashReport

# A caller repeats a refused request after a second or more, through another router.
_PERIOD = timedelta(milliseconds=200)


class CrashRegistry(Protocol):
    """Suspected requests, as ``streams.CrashRegistry`` offers them."""

    def collect_reports(self) -> tuple[CrashReport, ...]:
        """Return this router's reports since the last call."""
        ...

    def apply_report(self, report: CrashReport) -> None:
        """Take over another router's report."""
        ...


class CrashSharing:
    """Sends this router's reports and passes on those of others.

    :param mesh: connections to the other routers.
    :param registry: suspected requests.
    :param clock: source of time.
    """

    def __init__(
        self, mesh: PeerTransport, registry: CrashRegistry, clock: Clock
    ) -> None:
        self._mesh = mesh
        self._registry = registry
        self._clock = clock
        self._seen = SeenMessages()
        mesh.register(CrashReport, self._take_report)

    async def run(self) -> None:
        """Send new reports until cancelled."""
        while True:
            await self._clock.sleep(_PERIOD)
            await self.share_once()

    async def share_once(self) -> None:
        """Send the reports made since the last call."""
        for report in self._registry.collect_reports():
            self._seen.add(report)
            await self._mesh.broadcast(report)

    async def _take_report(self, sender: RouterId, report: CrashReport) -> None:
        if self._seen.add(report):
            self._registry.apply_report(report)
            await self._mesh.broadcast(report)
