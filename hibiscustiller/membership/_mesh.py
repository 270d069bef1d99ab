"""Connections to the other routers of the fleet.

Each router exchanges heartbeats with a few neighbours only, so that the cost for each
router does not grow with the fleet.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from datetime import timedelta
from typing import Any, TypeVar

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.membership._connection import PeerConnection, PeerTraffic
from hibiscustiller.membership._gossip import MemberGossip
from hibiscustiller.membership._handshake import NONCE_BYTES
from hibiscustiller.membership._links import PeerLinks
from hibiscustiller.membership._members import MemberStatus, MemberTable
from hibiscustiller.membership._neighbours import choose_neighbours
from hibiscustiller.membership._timings import MeshTimings
from hibiscustiller.membership._transport import Member
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, RouterId, log_event
from hibiscustiller.wire._framing import make_frame
from hibiscustiller.wire._messages_generated import (
    Heartbeat,
    Hello,
    HelloProof,
    Leaving,
    MemberDigests,
    MemberEntries,
    MemberState,
    Message,
    encode_message,
)

Kind = TypeVar("Kind")
Handler = Callable[[RouterId, Any], Awaitable[None]]
NeighbourChoice = Callable[[RouterId, list[RouterId]], frozenset[RouterId]]

_UNSPECIFIED_HOSTS = ("", "0.0.0.0", "::")
_DRAIN_TIMEOUT = timedelta(seconds=1)
_MAX_AGE_MS = (1 << 32) - 1


class PeerMesh:
    """Implements :class:`PeerTransport` over TCP.

    :param self_member: this router; its port may be 0 until the mesh is started.
    :param seeds: addresses of routers to contact first.
    :param shared_key: key by which routers recognise each other.
    :param get_revision: returns the revision in force, for heartbeats.
    :param get_confirmed_age: returns the age of the last confirmation.
    :param clock: source of time.
    :param random_state: source of jitter.
    :param timings: periods.
    :param choose: chooses the neighbours among all live routers.
    :param is_cut: test switch; frames to and from such a router are lost.
    """

    def __init__(
        self,
        self_member: Member,
        seeds: Iterable[Address],
        shared_key: str,
        get_revision: Callable[[], int],
        get_confirmed_age: Callable[[], timedelta],
        clock: Clock,
        random_state: random.Random,
        timings: MeshTimings = MeshTimings(),
        choose: NeighbourChoice = choose_neighbours,
        is_cut: Callable[[RouterId], bool] = lambda router: False,
    ) -> None:
        if not shared_key:
            raise ValueError("shared_key is empty; accepted is any other text")
        if self_member.address.host in _UNSPECIFIED_HOSTS:
            raise ValueError(
                f"address is {self_member.address}; accepted is one that the other"
                " routers can connect to"
            )
        self._self_member = self_member
        self._seeds = tuple(seeds)
        self._get_revision = get_revision
        self._get_confirmed_age = get_confirmed_age
        self._clock = clock
        self._random_state = random_state
        self._timings = timings
        self._choose = choose
        self._neighbours: frozenset[RouterId] = frozenset()
        self._heard_by_id: dict[RouterId, timedelta] = {}
        self._next_rejoin = timedelta(0)
        self._is_stopping = False
        self._extra_heartbeat_handler: Handler | None = None
        self._links = PeerLinks(
            self_member.router_id,
            self._make_hello,
            shared_key.encode(),
            clock,
            random_state,
            timings,
            is_cut,
            self._welcome,
            self._receive,
            self._note_lost,
        )
        self._gossip = MemberGossip(
            self._make_table(),
            self._links.connections_by_id,
            clock,
            self._send_on,
            self._note_live,
        )
        self._handlers_by_kind: dict[type, Handler] = {
            Heartbeat: self._take_heartbeat,
            MemberDigests: self._gossip.take_digests,
            MemberEntries: self._gossip.take_entries,
            Leaving: self._gossip.take_leaving,
        }

    @property
    def traffic(self) -> PeerTraffic:
        """Bytes and messages since the start."""
        return self._links.traffic

    @property
    def self_member(self) -> Member:
        """This router."""
        return self._self_member

    @property
    def neighbours(self) -> frozenset[RouterId]:
        """The routers that heartbeats are exchanged with."""
        return self._neighbours

    @property
    def connected(self) -> frozenset[RouterId]:
        """The routers that a connection is open to."""
        return frozenset(self._links.connections_by_id)

    @property
    def incarnation(self) -> int:
        """This router's incarnation."""
        return self._gossip.table.self_state.incarnation

    def list_members(self) -> tuple[Member, ...]:
        """Return all routers believed live, this one included, in order of id."""
        return self._gossip.table.list_live()

    def register(
        self, kind: type[Kind], handle: Callable[[RouterId, Kind], Awaitable[None]]
    ) -> None:
        """Call ``handle`` with the sender for each message of a type.

        The peer's later messages wait until it returns, so it must not wait for long.
        """
        if kind is Heartbeat:
            self._extra_heartbeat_handler = handle
            return
        if kind in self._handlers_by_kind:
            raise ValueError(f"a handler of {kind.__name__} is registered already")
        self._handlers_by_kind[kind] = handle

    async def start(self) -> None:
        """Listen, and begin to contact the seeds.

        :raises OSError: if the address cannot be listened on.
        """
        address = self._links.listen(self._self_member.address)
        self._self_member = replace(self._self_member, address=address)
        self._gossip.table = self._make_table()
        await self._links.start_accepting()
        await self._links.spawn(self._run_ticks)
        await self._links.spawn(self._flush_news)

    async def stop(self) -> None:
        """Tell the others that this router leaves, and close all connections."""
        if self._is_stopping:
            return
        self._is_stopping = True
        leaving = self._gossip.leave()
        connections = list(self._links.connections_by_id.values())
        for connection in connections:
            await self._send_on(connection, leaving)
        for connection in connections:
            await connection.drain(_DRAIN_TIMEOUT)
        await self.abort()

    async def abort(self) -> None:
        """Close everything without a word, as a crash does."""
        self._is_stopping = True
        await self._links.close()

    async def send(self, router: RouterId, message: Message) -> bool:
        """Send to one router; False if it cannot be reached.

        A router that is no neighbour is connected to on demand.
        """
        if router == self._self_member.router_id:
            await self._dispatch(router, message)
            return True
        connection = self._links.connections_by_id.get(router)
        if connection is None:
            member = next(
                (m for m in self.list_members() if m.router_id == router), None
            )
            if member is None:
                return False
            connection = await self._links.connect(member.address, router)
        return connection is not None and await self._send_on(connection, message)

    async def broadcast(self, message: Message) -> None:
        """Send to all neighbours. A receiver passes on what is new to it."""
        frame = self._encode(message)
        connections = list(self._links.connections_by_id.values())
        chosen = [c for c in connections if self._exchanges_heartbeats(c)]
        # Just after a join, the neighbours are not chosen or connected yet.
        for connection in chosen or connections:
            await self._send_frame(connection, frame)

    def _make_table(self) -> MemberTable:
        member = self._self_member
        # The wall clock puts a restarted router above its former entries; if it ran
        # back, the router learns of its old entry and goes above that.
        state = MemberState(
            router_id=member.router_id,
            failure_domain=member.failure_domain,
            region=member.region,
            address=str(member.address),
            incarnation=int(self._clock.now().timestamp() * 1000),
            status=MemberStatus.LIVE.value,
        )
        return MemberTable(state, self._timings.drop - self._timings.suspect)

    def _make_hello(self) -> Hello:
        state = self._gossip.table.self_state
        return Hello(
            router_id=state.router_id,
            failure_domain=state.failure_domain,
            region=state.region,
            address=state.address,
            nonce=secrets.token_bytes(NONCE_BYTES),
            incarnation=state.incarnation,
        )

    async def _welcome(self, connection: PeerConnection) -> None:
        await self._gossip.welcome(connection)

    def _note_lost(self, connection: PeerConnection) -> None:
        self._heard_by_id[connection.router_id] = connection.heard_at

    def _note_live(self, router: RouterId) -> None:
        self._heard_by_id[router] = self._clock.monotonic()

    def _encode(self, message: Message) -> bytes:
        return make_frame(encode_message(self._self_member.router_id, message))

    async def _send_on(self, connection: PeerConnection, message: Message) -> bool:
        return await self._send_frame(connection, self._encode(message))

    async def _send_frame(
        self, connection: PeerConnection, frame: bytes, is_use: bool = True
    ) -> bool:
        if self._links.is_cut(connection.router_id):
            return True
        return await connection.enqueue(frame, is_use)

    async def _receive(self, connection: PeerConnection, message: Message) -> None:
        if self._links.is_cut(connection.router_id):
            return
        if isinstance(message, Hello | HelloProof):
            raise WireFormatError("greeting on an authenticated connection")
        connection.heard_at = self._clock.monotonic()
        if not isinstance(message, Heartbeat):
            connection.used_at = connection.heard_at
        await self._dispatch(connection.router_id, message)

    async def _dispatch(self, sender: RouterId, message: Message) -> None:
        handle = self._handlers_by_kind.get(type(message))
        if handle is None:
            return
        try:
            await handle(sender, message)
        except WireFormatError:
            raise
        except Exception as error:
            # One bad message must not cost the connection that all others use.
            log_event(
                "peer_message_failed",
                level="error",
                peer=sender,
                message=type(message).__name__,
                error=repr(error),
            )

    # Members.

    async def _take_heartbeat(self, sender: RouterId, message: Heartbeat) -> None:
        await self._gossip.take_heartbeat(sender, message)
        if self._extra_heartbeat_handler is not None:
            await self._extra_heartbeat_handler(sender, message)

    async def _flush_news(self) -> None:
        while True:
            await self._gossip.has_news.wait()
            # News that arrives together is sent together.
            await self._clock.sleep(self._timings.flush)
            self._gossip.has_news.clear()
            await self._update_neighbours()
            for connection in list(self._links.connections_by_id.values()):
                if connection.pending_by_router:
                    await self._send_heartbeat(connection)

    # Periodic work.

    async def _run_ticks(self) -> None:
        # Routers that were started together do not send together.
        await self._update_neighbours()
        await self._rejoin(self._clock.monotonic())
        await self._clock.sleep(self._timings.heartbeat * self._random_state.random())
        last = self._clock.monotonic()
        while True:
            now = self._clock.monotonic()
            self._discount_pause(now - last)
            last = now
            try:
                await self._tick(now)
            except Exception as error:
                # Without ticks this router would be dropped by all others.
                log_event("peer_tick_failed", level="error", error=repr(error))
            await self._clock.sleep(self._timings.heartbeat)

    async def _tick(self, now: timedelta) -> None:
        await self._check_silence(now)
        await self._update_neighbours()
        await self._rejoin(now)
        for connection in list(self._links.connections_by_id.values()):
            if self._exchanges_heartbeats(connection):
                await self._send_heartbeat(connection)

    def _discount_pause(self, elapsed: timedelta) -> None:
        pause = elapsed - self._timings.heartbeat
        if pause < self._timings.heartbeat:
            return
        log_event("peer_ticks_paused", level="warning", pause=pause)
        self._gossip.table.shift_times(pause)
        for connection in self._links.connections_by_id.values():
            connection.heard_at += pause
        for router in self._heard_by_id:
            self._heard_by_id[router] += pause

    async def _check_silence(self, now: timedelta) -> None:
        for router in self._neighbours:
            connection = self._links.connections_by_id.get(router)
            heard_at = self._heard_by_id.get(router, now)
            if connection is not None:
                heard_at = max(heard_at, connection.heard_at)
            if now - heard_at >= self._timings.suspect:
                await self._suspect(router, now)
        for connection in list(self._links.connections_by_id.values()):
            await self._close_if_silent(connection, now)
        for router in self._gossip.table.drop_overdue(now):
            log_event("peer_dropped", level="warning", peer=router)
            await self._gossip.has_news.set()

    async def _suspect(self, router: RouterId, now: timedelta) -> None:
        state = self._gossip.table.suspect(router, now)
        if state is not None:
            log_event("peer_suspected", level="warning", peer=router)
            await self._gossip.spread(state, None)

    async def _close_if_silent(
        self, connection: PeerConnection, now: timedelta
    ) -> None:
        is_silent = now - connection.heard_at >= self._timings.suspect
        if is_silent and connection.router_id in self._neighbours:
            log_event("peer_silent", level="warning", peer=connection.router_id)
            await connection.close()
            return
        if is_silent:
            connection.is_wanted_by_peer = False
        is_idle = now - connection.used_at >= self._timings.idle
        is_mute = now - connection.heard_at >= self._timings.idle
        if not self._exchanges_heartbeats(connection) and (is_idle or is_mute):
            await connection.close()

    def _exchanges_heartbeats(self, connection: PeerConnection) -> bool:
        return connection.router_id in self._neighbours or connection.is_wanted_by_peer

    async def _send_heartbeat(self, connection: PeerConnection) -> None:
        members = tuple(connection.pending_by_router.values())
        connection.pending_by_router.clear()
        age_ms = int(self._get_confirmed_age() / timedelta(milliseconds=1))
        heartbeat = Heartbeat(
            revision=self._get_revision(),
            confirmed_age_ms=min(max(age_ms, 0), _MAX_AGE_MS),
            members_digest=self._gossip.table.make_digest(),
            members=members,
            is_neighbour=connection.router_id in self._neighbours,
        )
        await self._send_frame(connection, self._encode(heartbeat), is_use=False)

    async def _update_neighbours(self) -> None:
        """Choose neighbours among the live routers and connect to them."""
        members = self.list_members()
        own = self._self_member.router_id
        if self._is_stopping:
            return
        chosen = self._choose(own, [member.router_id for member in members])
        now = self._clock.monotonic()
        for router in chosen - self._neighbours:
            self._heard_by_id[router] = now
        for router in self._heard_by_id.keys() - chosen:
            del self._heard_by_id[router]
        former = self._neighbours - chosen
        self._neighbours = chosen
        for router in former & self._links.connections_by_id.keys():
            # The peer learns that it need not send heartbeats any more.
            await self._send_heartbeat(self._links.connections_by_id[router])
        for member in members:
            router = member.router_id
            if router in chosen and router not in self._links.connections_by_id:
                if self._should_dial(router, now):
                    await self._links.start_dial(member.address, router)

    def _should_dial(self, router: RouterId, now: timedelta) -> bool:
        """Let the smaller id open the connection, unless it seems not to."""
        waited = now - self._heard_by_id.get(router, now)
        return self._self_member.router_id < router or waited >= self._timings.heartbeat

    async def _rejoin(self, now: timedelta) -> None:
        """Contact a seed or a dropped router, so that parted regions meet again."""
        if now < self._next_rejoin:
            return
        jitter = 0.5 + self._random_state.random()
        self._next_rejoin = now + self._timings.rejoin * jitter
        self._links.forget_dials(now)
        known = {member.address for member in self.list_members()}
        lost = {member.address for member in self._gossip.table.list_dropped()}
        candidates = sorted((lost | set(self._seeds)) - known, key=str)
        if len(known) == 1:
            # A router on its own asks all seeds at once.
            for address in candidates:
                await self._links.start_dial(address, None)
        elif candidates:
            await self._links.start_dial(self._random_state.choice(candidates), None)
