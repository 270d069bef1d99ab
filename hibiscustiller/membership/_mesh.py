"""Connections to the other routers of the fleet.

Each router exchanges heartbeats with a few neighbours only. News about members
travels with the heartbeats, and digests show which parts of the table two neighbours
hold differently, so that the cost for each router does not grow with the fleet.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any, TypeVar

import curio
import curio.socket

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.membership._connection import PeerConnection, PeerTraffic
from hibiscustiller.membership._handshake import (
    MAX_GREETING_BYTES,
    NONCE_BYTES,
    check_peer_address,
    greet_as_acceptor,
    greet_as_dialler,
)
from hibiscustiller.membership._members import (
    BUCKET_COUNT,
    MemberStatus,
    MemberTable,
    Merge,
    find_differences,
    order_state,
)
from hibiscustiller.membership._neighbours import choose_neighbours
from hibiscustiller.membership._transport import Member
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, RouterId, jittered_delays, log_event
from hibiscustiller.wire import wait_at_most
from hibiscustiller.wire._framing import MAX_FRAME_BYTES, FrameReader, make_frame
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

_LISTEN_BACKLOG = 128
_UNSPECIFIED_HOSTS = ("", "0.0.0.0", "::")
# Connections that have not proved the shared key yet.
_MAX_GREETINGS = 64
_CONNECT_TIMEOUT = timedelta(seconds=1)
_GREETING_TIMEOUT = timedelta(seconds=2)
_DRAIN_TIMEOUT = timedelta(seconds=1)
# An address that nobody asks for any more is forgotten after this time.
_DIAL_MEMORY = timedelta(minutes=1)
_MAX_AGE_MS = (1 << 32) - 1
# Two neighbours differ for a moment after each change; a second heartbeat with a
# difference shows that something was missed.
_MISMATCHES_BEFORE_SYNC = 2
_HEARTBEATS_BETWEEN_SYNCS = 3


@dataclass(frozen=True)
class MeshTimings:
    """Periods of the mesh; tests shorten them all alike.

    :param heartbeat: between heartbeats.
    :param suspect: silence after which a neighbour is suspected.
    :param drop: silence after which a router is dropped.
    :param flush: wait for more news before it is sent on.
    :param idle: silence after which a connection to no neighbour is closed.
    :param rejoin: between attempts to reach dropped routers and seeds.
    :param first_delay: bound of the first delay between attempts to connect.
    :param last_delay: bound of every such delay.
    """

    heartbeat: timedelta = timedelta(seconds=1)
    suspect: timedelta = timedelta(seconds=3)
    drop: timedelta = timedelta(seconds=10)
    flush: timedelta = timedelta(milliseconds=100)
    idle: timedelta = timedelta(seconds=10)
    rejoin: timedelta = timedelta(seconds=5)
    first_delay: timedelta = timedelta(milliseconds=500)
    last_delay: timedelta = timedelta(seconds=5)

    def scale(self, factor: float) -> MeshTimings:
        """Return all periods multiplied by a factor."""
        return MeshTimings(**{name: v * factor for name, v in vars(self).items()})


@dataclass
class _Dial:
    """Attempts to connect to one address."""

    delays: Iterator[timedelta]
    next_at: timedelta
    done: curio.Event | None = None


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
        self.traffic = PeerTraffic()
        self._self_member = self_member
        self._seeds = tuple(seeds)
        self._key = shared_key.encode()
        self._get_revision = get_revision
        self._get_confirmed_age = get_confirmed_age
        self._clock = clock
        self._random_state = random_state
        self._timings = timings
        self._choose = choose
        self._is_cut = is_cut
        self._handlers_by_kind: dict[type, Handler] = {
            Heartbeat: self._take_heartbeat,
            MemberDigests: self._take_digests,
            MemberEntries: self._take_entries,
            Leaving: self._take_leaving,
        }
        self._extra_heartbeat_handler: Handler | None = None
        self._connections_by_id: dict[RouterId, PeerConnection] = {}
        self._neighbours: frozenset[RouterId] = frozenset()
        self._heard_by_id: dict[RouterId, timedelta] = {}
        self._dials_by_address: dict[Address, _Dial] = {}
        self._next_rejoin = timedelta(0)
        self._greeting_count = 0
        self._tasks: set[curio.Task] = set()
        self._listener: Any = None
        self._has_news = curio.Event()
        self._is_stopping = False
        self._table = self._make_table()

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
        return frozenset(self._connections_by_id)

    @property
    def incarnation(self) -> int:
        """This router's incarnation."""
        return self._table.self_state.incarnation

    def list_members(self) -> tuple[Member, ...]:
        """Return all routers believed live, this one included, in order of id."""
        return self._table.list_live()

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
        address = self._self_member.address
        self._listener = curio.tcp_server_socket(
            address.host, address.port, backlog=_LISTEN_BACKLOG, reuse_address=True
        )
        port = self._listener.getsockname()[1]
        self._self_member = replace(
            self._self_member, address=Address(address.host, port)
        )
        self._table = self._make_table()
        await self._spawn(self._accept_connections)
        await self._spawn(self._run_ticks)
        await self._spawn(self._flush_news)

    async def stop(self) -> None:
        """Tell the others that this router leaves, and close all connections."""
        if self._is_stopping:
            return
        self._is_stopping = True
        own = self._table.self_state
        leaving = replace(own, status=MemberStatus.LEAVING.value)
        self._table.replace_self(leaving, self._clock.monotonic())
        connections = list(self._connections_by_id.values())
        for connection in connections:
            await self._send_on(connection, Leaving(own.router_id, own.incarnation))
        for connection in connections:
            await connection.drain(_DRAIN_TIMEOUT)
        await self.abort()

    async def abort(self) -> None:
        """Close everything without a word, as a crash does."""
        self._is_stopping = True
        for task in list(self._tasks):
            await task.cancel()
        for dial in self._dials_by_address.values():
            await self._finish_dial(dial)
        if self._listener is not None:
            await self._listener.close()
        self._connections_by_id.clear()

    async def send(self, router: RouterId, message: Message) -> bool:
        """Send to one router; False if it cannot be reached.

        A router that is no neighbour is connected to on demand.
        """
        if router == self._self_member.router_id:
            await self._dispatch(router, message)
            return True
        connection = self._connections_by_id.get(router)
        if connection is None:
            connection = await self._connect_on_demand(router)
        return connection is not None and await self._send_on(connection, message)

    async def broadcast(self, message: Message) -> None:
        """Send to all neighbours. A receiver passes on what is new to it."""
        frame = self._encode(message)
        connections = list(self._connections_by_id.values())
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

    # Connections.

    async def _spawn(self, function: Callable[..., Any], *args: Any) -> None:
        async def run() -> None:
            try:
                await function(*args)
            finally:
                self._tasks.discard(task)

        task = await curio.spawn(run, daemon=True)
        self._tasks.add(task)

    async def _accept_connections(self) -> None:
        while True:
            sock, address = await self._listener.accept()
            if self._greeting_count >= _MAX_GREETINGS:
                log_event("peer_refused", level="warning", reason="too many greetings")
                await sock.close()
                continue
            await self._spawn(self._serve_accepted, sock, f"{address[0]}:{address[1]}")

    async def _serve_accepted(self, sock: Any, source: str) -> None:
        reader = FrameReader(sock, MAX_GREETING_BYTES)
        self._greeting_count += 1
        try:
            greeting = greet_as_acceptor(
                sock, reader, self._make_hello(), self._key, self._check_greeting
            )
            peer = await wait_at_most(_GREETING_TIMEOUT, greeting)
        except Exception as error:
            log_event("peer_rejected", level="warning", source=source, reason=error)
            await sock.close()
            return
        finally:
            self._greeting_count -= 1
        await self._serve(sock, reader, peer, is_dialler=False)

    def _check_greeting(self, peer: Hello) -> None:
        if peer.router_id == self._self_member.router_id:
            raise WireFormatError("the peer has this router's own id")
        if self._is_cut(RouterId(peer.router_id)):
            raise WireFormatError("cut off by a test")

    async def _dial(self, address: Address, router: RouterId | None) -> None:
        dial = self._dials_by_address[address]
        try:
            if router is not None and self._is_cut(router):
                raise ConnectionError("cut off by a test")
            sock = await wait_at_most(
                _CONNECT_TIMEOUT, curio.open_connection(address.host, address.port)
            )
            reader = FrameReader(sock, MAX_GREETING_BYTES)
            try:
                greeting = greet_as_dialler(sock, reader, self._make_hello(), self._key)
                peer = await wait_at_most(_GREETING_TIMEOUT, greeting)
                self._check_greeting(peer)
            except BaseException:
                await sock.close()
                raise
        except Exception as error:
            is_breach = not isinstance(error, OSError)
            log_event(
                "peer_rejected" if is_breach else "peer_unreachable",
                level="warning" if is_breach else "debug",
                source=address,
                reason=error,
            )
            dial.next_at = self._clock.monotonic() + next(dial.delays)
            await self._finish_dial(dial)
            return
        del self._dials_by_address[address]
        await self._spawn(self._serve, sock, reader, peer, True, dial)

    async def _finish_dial(self, dial: _Dial) -> None:
        if dial.done is not None:
            await dial.done.set()
            dial.done = None

    async def _serve(
        self,
        sock: Any,
        reader: FrameReader,
        peer: Hello,
        is_dialler: bool,
        dial: _Dial | None = None,
    ) -> None:
        reader.max_bytes = MAX_FRAME_BYTES
        sock.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        connection = PeerConnection(
            sock, reader, peer, is_dialler, self._clock, self.traffic
        )
        router = connection.router_id
        is_kept = await self._adopt(connection)
        if dial is not None:
            await self._finish_dial(dial)
        if not is_kept:
            await sock.close()
            return
        reason: object = "closed"
        try:
            await self._welcome(connection)
            await connection.run(lambda message: self._receive(connection, message))
        except (OSError, WireFormatError) as error:
            reason = error
        finally:
            if self._connections_by_id.get(router) is connection:
                del self._connections_by_id[router]
                self._heard_by_id[router] = connection.heard_at
        level = "warning" if isinstance(reason, WireFormatError) else "info"
        log_event("peer_disconnected", level=level, peer=router, reason=reason)

    async def _adopt(self, connection: PeerConnection) -> bool:
        """Keep one connection to each router.

        Of two that were opened from different sides, both routers keep the one that
        the smaller id opened. Of two from the same side, both keep the newer, since a
        router opens another only after it has lost the first.

        :returns: whether the new connection is the one that is kept.
        """
        router = connection.router_id
        held = self._connections_by_id.get(router)
        if held is not None and not held.is_closed:
            is_ours_preferred = self._self_member.router_id < router
            is_same_side = held.is_dialler == connection.is_dialler
            if not is_same_side and connection.is_dialler != is_ours_preferred:
                log_event("peer_duplicate_closed", peer=router)
                return False
            await held.close()
        self._connections_by_id[router] = connection
        return True

    async def _welcome(self, connection: PeerConnection) -> None:
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
            digests = MemberDigests(tuple(self._table.list_digests()))
            await self._send_on(connection, digests)

    def _make_hello(self) -> Hello:
        state = self._table.self_state
        return Hello(
            router_id=state.router_id,
            failure_domain=state.failure_domain,
            region=state.region,
            address=state.address,
            nonce=secrets.token_bytes(NONCE_BYTES),
            incarnation=state.incarnation,
        )

    async def _connect_on_demand(self, router: RouterId) -> PeerConnection | None:
        member = next((m for m in self.list_members() if m.router_id == router), None)
        if member is None:
            return None
        dial = await self._start_dial(member.address, router)
        if dial is not None and dial.done is not None:
            await dial.done.wait()
        return self._connections_by_id.get(router)

    async def _start_dial(
        self, address: Address, router: RouterId | None
    ) -> _Dial | None:
        """Begin an attempt to connect, unless it is too early for one."""
        now = self._clock.monotonic()
        dial = self._dials_by_address.get(address)
        if dial is None:
            delays = jittered_delays(
                self._timings.first_delay, self._timings.last_delay, self._random_state
            )
            dial = self._dials_by_address[address] = _Dial(delays, now)
        if dial.done is None:
            if now < dial.next_at or self._is_stopping:
                return None
            dial.done = curio.Event()
            await self._spawn(self._dial, address, router)
        return dial

    # Sending and receiving.

    def _encode(self, message: Message) -> bytes:
        return make_frame(encode_message(self._self_member.router_id, message))

    async def _send_on(self, connection: PeerConnection, message: Message) -> bool:
        return await self._send_frame(connection, self._encode(message))

    async def _send_frame(
        self, connection: PeerConnection, frame: bytes, is_use: bool = True
    ) -> bool:
        if self._is_cut(connection.router_id):
            return True
        return await connection.enqueue(frame, is_use)

    async def _receive(self, connection: PeerConnection, message: Message) -> None:
        if self._is_cut(connection.router_id):
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
        connection = self._connections_by_id.get(sender)
        if connection is not None:
            connection.is_wanted_by_peer = message.is_neighbour
            await self._merge_states(message.members, connection)
            await self._compare_digest(connection, message.members_digest)
        if self._extra_heartbeat_handler is not None:
            await self._extra_heartbeat_handler(sender, message)

    async def _compare_digest(self, connection: PeerConnection, digest: bytes) -> None:
        if digest == self._table.make_digest():
            connection.mismatch_count = 0
            return
        connection.mismatch_count += 1
        if connection.mismatch_count == _MISMATCHES_BEFORE_SYNC:
            digests = MemberDigests(tuple(self._table.list_digests()))
            await self._send_on(connection, digests)
        elif connection.mismatch_count >= (
            _MISMATCHES_BEFORE_SYNC + _HEARTBEATS_BETWEEN_SYNCS
        ):
            connection.mismatch_count = 0

    async def _take_digests(self, sender: RouterId, message: MemberDigests) -> None:
        if len(message.digests) != BUCKET_COUNT:
            raise WireFormatError(
                f"{len(message.digests)} digests; accepted are {BUCKET_COUNT}"
            )
        buckets = find_differences(self._table.list_digests(), message.digests)
        if buckets:
            states = self._table.list_states(buckets, self._clock.monotonic())
            await self.send(sender, MemberEntries(buckets, True, tuple(states)))

    async def _take_entries(self, sender: RouterId, message: MemberEntries) -> None:
        connection = self._connections_by_id.get(sender)
        if connection is None:
            return
        offered = {state.router_id: order_state(state) for state in message.members}
        await self._merge_states(message.members, connection)
        if message.wants_answer:
            now = self._clock.monotonic()
            states = [
                state
                for state in self._table.list_states(message.buckets, now)
                if offered.get(state.router_id) != order_state(state)
            ]
            if states:
                await self._send_on(connection, MemberEntries(0, False, tuple(states)))

    async def _take_leaving(self, sender: RouterId, message: Leaving) -> None:
        connection = self._connections_by_id.get(sender)
        held = self._table.find(sender)
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
            if state.router_id == self._self_member.router_id:
                await self._answer_claim(state)
                continue
            router = RouterId(state.router_id)
            outcome = self._table.merge(state, now)
            if outcome is Merge.NEWER:
                if state.status == MemberStatus.LIVE:
                    self._heard_by_id[router] = now
                await self._spread(state, connection)
            elif outcome is Merge.OLDER:
                newer = self._table.find(router)
                if newer is not None:
                    connection.pending_by_router[router] = newer
                    await self._has_news.set()

    async def _answer_claim(self, state: MemberState) -> None:
        """Go above an entry about this router that is not its own."""
        own = self._table.self_state
        if self._is_stopping or order_state(state) <= order_state(own):
            return
        refuted = replace(own, incarnation=state.incarnation + 1)
        log_event("peer_claim_refuted", incarnation=refuted.incarnation)
        self._table.replace_self(refuted, self._clock.monotonic())
        await self._spread(refuted, None)

    async def _spread(self, state: MemberState, source: PeerConnection | None) -> None:
        for connection in self._connections_by_id.values():
            if connection is not source:
                connection.pending_by_router[state.router_id] = state
        await self._has_news.set()

    async def _flush_news(self) -> None:
        while True:
            await self._has_news.wait()
            # News that arrives together is sent together.
            await self._clock.sleep(self._timings.flush)
            self._has_news.clear()
            await self._update_neighbours()
            for connection in list(self._connections_by_id.values()):
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
        for connection in list(self._connections_by_id.values()):
            if self._exchanges_heartbeats(connection):
                await self._send_heartbeat(connection)

    def _discount_pause(self, elapsed: timedelta) -> None:
        pause = elapsed - self._timings.heartbeat
        if pause < self._timings.heartbeat:
            return
        log_event("peer_ticks_paused", level="warning", pause=pause)
        self._table.shift_times(pause)
        for connection in self._connections_by_id.values():
            connection.heard_at += pause
        for router in self._heard_by_id:
            self._heard_by_id[router] += pause

    async def _check_silence(self, now: timedelta) -> None:
        for router in self._neighbours:
            connection = self._connections_by_id.get(router)
            heard_at = self._heard_by_id.get(router, now)
            if connection is not None:
                heard_at = max(heard_at, connection.heard_at)
            if now - heard_at >= self._timings.suspect:
                await self._suspect(router, now)
        for connection in list(self._connections_by_id.values()):
            await self._close_if_silent(connection, now)
        for router in self._table.drop_overdue(now):
            log_event("peer_dropped", level="warning", peer=router)
            await self._has_news.set()

    async def _suspect(self, router: RouterId, now: timedelta) -> None:
        state = self._table.suspect(router, now)
        if state is not None:
            log_event("peer_suspected", level="warning", peer=router)
            await self._spread(state, None)

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
            members_digest=self._table.make_digest(),
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
        for router in former & self._connections_by_id.keys():
            # The peer learns that it need not send heartbeats any more.
            await self._send_heartbeat(self._connections_by_id[router])
        for member in members:
            router = member.router_id
            if router in chosen and router not in self._connections_by_id:
                if self._should_dial(router, now):
                    await self._start_dial(member.address, router)

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
        for address, dial in list(self._dials_by_address.items()):
            if dial.done is None and now - dial.next_at >= _DIAL_MEMORY:
                del self._dials_by_address[address]
        known = {member.address for member in self.list_members()}
        lost = {member.address for member in self._table.list_dropped()}
        candidates = sorted((lost | set(self._seeds)) - known, key=str)
        if len(known) == 1:
            # A router on its own asks all seeds at once.
            for address in candidates:
                await self._start_dial(address, None)
        elif candidates:
            await self._start_dial(self._random_state.choice(candidates), None)


def _check_state(state: MemberState) -> None:
    check_peer_address(state.address)
    if not state.router_id or state.status not in list(MemberStatus):
        raise WireFormatError(
            f"member {state.router_id!r} has status {state.status};"
            " accepted range is 0 to 2"
        )
