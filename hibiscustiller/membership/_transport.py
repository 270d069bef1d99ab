"""What other parts see of the connections between routers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from hibiscustiller.settings import Address
from hibiscustiller.utils import DomainId, RegionId, RouterId
from hibiscustiller.wire._messages_generated import Message

Kind = TypeVar("Kind")


@dataclass(frozen=True)
class Member:
    """A router of the fleet.

    :param address: where it listens for other routers.
    """

    router_id: RouterId
    failure_domain: DomainId
    region: RegionId
    address: Address


class PeerTransport(Protocol):
    """Sends messages to other routers and hands over those that arrive."""

    @property
    def self_member(self) -> Member:
        """This router."""
        ...

    def list_members(self) -> tuple[Member, ...]:
        """Return all routers believed live, this one included, in order of id."""
        ...

    def register(
        self, kind: type[Kind], handle: Callable[[RouterId, Kind], Awaitable[None]]
    ) -> None:
        """Call ``handle`` with the sender for each message of a type."""
        ...

    async def send(self, router: RouterId, message: Message) -> bool:
        """Send to one router; False if it cannot be reached."""
        ...

    async def broadcast(self, message: Message) -> None:
        """Send to all neighbours. A receiver passes on what is new to it."""
        ...
