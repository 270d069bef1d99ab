"""Sharing of crash reports, so that a poisonous request is known at every router."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from hibiscustiller.membership._relaying import SeenMessages
from hibiscustiller.membership._transport import Member, PeerTransport
from hibiscustiller.utils import Clock, RouterId, rank_by_rendezvous
from hibiscustiller.wire._messages_generated import CrashReport

# Reports of deaths are sent before the caller is answered; this period is for others.
_PERIOD = timedelta(milliseconds=200)
# In a large fleet a connection of every router to each new one would cost too much.
_INFORMERS = 2


class CrashRegistry(Protocol):
    """Suspected requests, as ``streams.CrashRegistry`` offers them."""

    def collect_reports(self) -> tuple[CrashReport, ...]:
        """Return this router's reports since the last call."""
        ...

    def list_quarantine_reports(self) -> tuple[CrashReport, ...]:
        """Return the reports of all quarantines."""
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
        self._known: frozenset[Member] = frozenset()
        mesh.register(CrashReport, self._take_report)

    async def run(self) -> None:
        """Send new reports until cancelled."""
        while True:
            await self._clock.sleep(_PERIOD)
            await self.share_once()
            await self.inform_new_members()

    async def inform_new_members(self) -> None:
        """Send all quarantines to routers that started or came back."""
        members = frozenset(self._mesh.list_members())
        own = self._mesh.self_member
        new = members - self._known - {own}
        informed = set(members - new)
        # Routers that are new themselves have nothing to tell.
        routers = {member.router_id for member in informed} | {own.router_id}
        for member in new:
            ranked = rank_by_rendezvous(member.router_id, routers)
            is_informer = own.router_id in ranked[:_INFORMERS]
            if not is_informer or await self._inform(member):
                informed.add(member)
        self._known = frozenset(informed)

    async def _inform(self, member: Member) -> bool:
        """Send all quarantines; False if the router cannot be reached yet."""
        for report in self._registry.list_quarantine_reports():
            if not await self._mesh.send(member.router_id, report):
                return False
        return True

    async def share_once(self) -> None:
        """Send the reports made since the last call."""
        for report in self._registry.collect_reports():
            self._seen.add(report)
            await self._mesh.broadcast(report)

    async def _take_report(self, sender: RouterId, report: CrashReport) -> None:
        if self._seen.add(report):
            self._registry.apply_report(report)
            await self._mesh.broadcast(report)
