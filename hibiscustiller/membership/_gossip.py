"""Spreading of what routers know about each other.

News travels with the heartbeats. Digests of the table show which parts two neighbours
hold differently, and only those are exchanged.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace

import curio

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.membership._connection import PeerConnection
from hibiscustiller.membership._handshake import check_peer_address
from hibiscustiller.membership._members import (
    BUCKET_COUNT,
    MemberStatus,
    MemberTable,
    Merge,
    find_differences,
    order_state,
)
from hibiscustiller.utils import Clock, RouterId, log_event
from hibiscustiller.wire._messages_generated import (
    Heartbeat,
    Leaving,
    MemberDigests,
    MemberEntries,
    MemberState,
    Message,
)

# Two neighbours differ for a moment after each change; a second heartbeat with a
# difference shows that something was missed.
_MISMATCHES_BEFORE_SYNC = 2
_HEARTBEATS_BETWEEN_SYNCS = 3


class MemberGossip:
    """Keeps the member table in step with those of the neighbours.

    :param table: the member table.
    :param connections_by_id: the open connections.
    :param clock: source of time.
    :param send_on: sends a message on a connection.
    :param note_live: called with a router that is newly known to be live.
    """

    def __init__(
        self,
        table: MemberTable,
        connections_by_id: dict[RouterId, PeerConnection],
        clock: Clock,
        send_on: Callable[[PeerConnection, Message], Awaitable[bool]],
        note_live: Callable[[RouterId], None],
    ) -> None:
        self.table = table
        self.has_news = curio.Event()
        self._connections_by_id = connections_by_id
        self._clock = clock
        self._send_on = send_on
        self._note_live = note_live
        self._is_leaving = False

    def leave(self) -> Leaving:
        """Mark this router as leaving.

        :returns: the message for the neighbours.
        """
        self._is_leaving = True
        own = self.table.self_state
        leaving = replace(own, status=MemberStatus.LEAVING.value)
        self.table.replace_self(leaving, self._clock.monotonic())
        return Leaving(own.router_id, own.incarnation)

    async def welcome(self, connection: PeerConnection) -> None:
        """Exchange what both sides know."""
        peer = connection.peer
        state = MemberState(
            router_id=peer.router_id,
            failure_domain=peer.failure_domain,
            region=peer.region,
            address=peer.address,
            incarnation=peer.incarnation,
            status=MemberStatus.LIVE.value,
        )
        log_event("peer_connected", peer=peer.router_id, address=peer.address)
        await self._merge_states([state], connection)
        # Only one side asks, since the answer carries both sides' news.
        if connection.is_dialler:
            digests = MemberDigests(tuple(self.table.list_digests()))
            await self._send_on(connection, digests)

    async def take_heartbeat(self, sender: RouterId, message: Heartbeat) -> None:
        """Take over a neighbour's news and compare the tables."""
        connection = self._connections_by_id.get(sender)
        if connection is not None:
            connection.is_wanted_by_peer = message.is_neighbour
            await self._merge_states(message.members, connection)
            await self._compare_digest(connection, message.members_digest)

    async def _compare_digest(self, connection: PeerConnection, digest: bytes) -> None:
        if digest == self.table.make_digest():
            connection.mismatch_count = 0
            return
        connection.mismatch_count += 1
        if connection.mismatch_count == _MISMATCHES_BEFORE_SYNC:
            digests = MemberDigests(tuple(self.table.list_digests()))
            await self._send_on(connection, digests)
        elif connection.mismatch_count >= (
            _MISMATCHES_BEFORE_SYNC + _HEARTBEATS_BETWEEN_SYNCS
        ):
            connection.mismatch_count = 0

    async def take_digests(self, sender: RouterId, message: MemberDigests) -> None:
        """Answer with the entries of the parts that differ."""
        if len(message.digests) != BUCKET_COUNT:
            raise WireFormatError(
                f"{len(message.digests)} digests; accepted are {BUCKET_COUNT}"
            )
        buckets = find_differences(self.table.list_digests(), message.digests)
        connection = self._connections_by_id.get(sender)
        if buckets and connection is not None:
            states = self.table.list_states(buckets, self._clock.monotonic())
            await self._send_on(connection, MemberEntries(buckets, True, tuple(states)))

    async def take_entries(self, sender: RouterId, message: MemberEntries) -> None:
        """Take over entries, and send back what is known better here."""
        connection = self._connections_by_id.get(sender)
        if connection is None:
            return
        offered = {state.router_id: order_state(state) for state in message.members}
        await self._merge_states(message.members, connection)
        if message.wants_answer:
            now = self._clock.monotonic()
            states = [
                state
                for state in self.table.list_states(message.buckets, now)
                if offered.get(state.router_id) != order_state(state)
            ]
            if states:
                await self._send_on(connection, MemberEntries(0, False, tuple(states)))

    async def take_leaving(self, sender: RouterId, message: Leaving) -> None:
        """Take over that a router leaves."""
        connection = self._connections_by_id.get(sender)
        held = self.table.find(sender)
        if connection is None or held is None or message.router_id != sender:
            return
        state = replace(
            held, incarnation=message.incarnation, status=MemberStatus.LEAVING.value
        )
        await self._merge_states([state], connection)

    async def _merge_states(
        self, states: Iterable[MemberState], connection: PeerConnection
    ) -> None:
        now = self._clock.monotonic()
        for state in states:
            _check_state(state)
            if state.router_id == self.table.self_state.router_id:
                await self._answer_claim(state)
                continue
            router = RouterId(state.router_id)
            outcome = self.table.merge(state, now)
            if outcome is Merge.NEWER:
                if state.status == MemberStatus.LIVE:
                    self._note_live(router)
                await self.spread(state, connection)
            elif outcome is Merge.OLDER:
                newer = self.table.find(router)
                if newer is not None:
                    connection.pending_by_router[router] = newer
                    await self.has_news.set()

    async def _answer_claim(self, state: MemberState) -> None:
        """Go above an entry about this router that is not its own."""
        own = self.table.self_state
        if self._is_leaving or order_state(state) <= order_state(own):
            return
        refuted = replace(own, incarnation=state.incarnation + 1)
        log_event("peer_claim_refuted", incarnation=refuted.incarnation)
        self.table.replace_self(refuted, self._clock.monotonic())
        await self.spread(refuted, None)

    async def spread(self, state: MemberState, source: PeerConnection | None) -> None:
        """Send news to all connected routers but the one that it came from."""
        for connection in self._connections_by_id.values():
            if connection is not source:
                connection.pending_by_router[state.router_id] = state
        await self.has_news.set()


def _check_state(state: MemberState) -> None:
    check_peer_address(state.address)
    if not state.router_id or state.status not in list(MemberStatus):
        raise WireFormatError(
            f"member {state.router_id!r} has status {state.status};"
            " accepted range is 0 to 2"
        )
