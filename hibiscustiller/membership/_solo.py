"""Stands in for the peer connections of a router that has no shared key."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from hibiscustiller.membership._transport import Member
from hibiscustiller.utils import RouterId
from hibiscustiller.wire._messages_generated import Message

Kind = TypeVar("Kind")


class SoloTransport:
    """Implements :class:`PeerTransport` for a router that is alone.

    Messages to itself are delivered, so that it can own its own usage.

    :param self_member: this router.
    """

    def __init__(self, self_member: Member) -> None:
        self._self_member = self_member
        self._handlers_by_kind: dict[type, Callable[..., Awaitable[Any]]] = {}

    @property
    def self_member(self) -> Member:
        """This router."""
        return self._self_member

    def list_members(self) -> tuple[Member, ...]:
        """Return this router."""
        return (self._self_member,)

    def register(
        self, kind: type[Kind], handle: Callable[[RouterId, Kind], Awaitable[None]]
    ) -> None:
        """Call ``handle`` for each message of a type to itself."""
        self._handlers_by_kind[kind] = handle

    async def send(self, router: RouterId, message: Message) -> bool:
        """Deliver a message to itself; others cannot be reached."""
        handle = self._handlers_by_kind.get(type(message))
        if router != self._self_member.router_id or handle is None:
            return False
        await handle(router, message)
        return True

    async def broadcast(self, message: Message) -> None:
        """Do nothing: there are no neighbours."""
