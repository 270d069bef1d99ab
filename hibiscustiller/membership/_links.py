"""Opening, accepting and keeping the connections between routers."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import curio
import curio.socket

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.membership._connection import PeerConnection, PeerTraffic
from hibiscustiller.membership._handshake import (
    MAX_GREETING_BYTES,
    greet_as_acceptor,
    greet_as_dialler,
)
from hibiscustiller.membership._timings import MeshTimings
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, RouterId, jittered_delays, log_event
from hibiscustiller.wire import open_connection, wait_at_most
from hibiscustiller.wire._framing import MAX_FRAME_BYTES, FrameReader
from hibiscustiller.wire._messages_generated import Hello, Message

_LISTEN_BACKLOG = 128
# Connections that have not proved the shared key yet.
_MAX_GREETINGS = 64
_CONNECT_TIMEOUT = timedelta(seconds=1)
_GREETING_TIMEOUT = timedelta(seconds=2)
# An address that nobody asks for any more is forgotten after this time.
_DIAL_MEMORY = timedelta(minutes=1)


@dataclass
class _Dial:
    """Attempts to connect to one address."""

    delays: Iterator[timedelta]
    next_at: timedelta
    done: curio.Event | None = None


class PeerLinks:
    """One authenticated connection to each of some routers.

    :param router_id: this router.
    :param make_hello: returns a greeting with a fresh nonce.
    :param key: shared key of the fleet.
    :param clock: source of time.
    :param random_state: source of jitter.
    :param timings: periods.
    :param is_cut: test switch; such a router cannot be connected to.
    :param welcome: awaited with each new connection.
    :param receive: awaited with each message.
    :param note_lost: called with each connection that ended.
    """

    def __init__(
        self,
        router_id: RouterId,
        make_hello: Callable[[], Hello],
        key: bytes,
        clock: Clock,
        random_state: random.Random,
        timings: MeshTimings,
        is_cut: Callable[[RouterId], bool],
        welcome: Callable[[PeerConnection], Awaitable[None]],
        receive: Callable[[PeerConnection, Message], Awaitable[None]],
        note_lost: Callable[[PeerConnection], None],
    ) -> None:
        self.connections_by_id: dict[RouterId, PeerConnection] = {}
        self.traffic = PeerTraffic()
        self.is_cut = is_cut
        self._router_id = router_id
        self._make_hello = make_hello
        self._key = key
        self._clock = clock
        self._random_state = random_state
        self._timings = timings
        self._welcome = welcome
        self._receive = receive
        self._note_lost = note_lost
        self._dials_by_address: dict[Address, _Dial] = {}
        self._greeting_count = 0
        self._tasks: set[curio.Task] = set()
        self._listener: Any = None
        self._is_closed = False

    def listen(self, address: Address) -> Address:
        """Bind the address.

        :param address: its port may be 0 for any free one.
        :returns: the address listened on.
        :raises OSError: if the address cannot be listened on.
        """
        self._listener = curio.tcp_server_socket(
            address.host, address.port, backlog=_LISTEN_BACKLOG, reuse_address=True
        )
        return Address(address.host, self._listener.getsockname()[1])

    async def start_accepting(self) -> None:
        """Start to accept connections."""
        await self.spawn(self._accept_connections)

    async def close(self) -> None:
        """Close everything, and end all tasks that were spawned here."""
        self._is_closed = True
        for task in list(self._tasks):
            await task.cancel()
        for dial in self._dials_by_address.values():
            await self._finish_dial(dial)
        if self._listener is not None:
            await self._listener.close()
        self.connections_by_id.clear()

    async def connect(
        self, address: Address, router: RouterId
    ) -> PeerConnection | None:
        """Return the connection to a router, opening it if it is not too early."""
        dial = await self.start_dial(address, router)
        if dial is not None and dial.done is not None:
            await dial.done.wait()
        return self.connections_by_id.get(router)

    def forget_dials(self, now: timedelta) -> None:
        """Forget the addresses that nobody asks for any more."""
        for address, dial in list(self._dials_by_address.items()):
            if dial.done is None and now - dial.next_at >= _DIAL_MEMORY:
                del self._dials_by_address[address]

    async def start_dial(
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
            if now < dial.next_at or self._is_closed:
                return None
            dial.done = curio.Event()
            await self.spawn(self._dial, address, router)
        return dial

    async def spawn(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a task until :meth:`close`."""

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
            await self.spawn(self._serve_accepted, sock, f"{address[0]}:{address[1]}")

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
        if peer.router_id == self._router_id:
            raise WireFormatError("the peer has this router's own id")
        if self.is_cut(RouterId(peer.router_id)):
            raise WireFormatError("cut off by a test")

    async def _dial(self, address: Address, router: RouterId | None) -> None:
        dial = self._dials_by_address[address]
        try:
            if router is not None and self.is_cut(router):
                raise ConnectionError("cut off by a test")
            sock = await open_connection(address, _CONNECT_TIMEOUT)
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
        await self.spawn(self._serve, sock, reader, peer, True, dial)

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
            await sock.close()
            if self.connections_by_id.get(router) is connection:
                del self.connections_by_id[router]
                self._note_lost(connection)
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
        held = self.connections_by_id.get(router)
        if held is not None and not held.is_closed:
            is_ours_preferred = self._router_id < router
            is_same_side = held.is_dialler == connection.is_dialler
            if not is_same_side and connection.is_dialler != is_ours_preferred:
                log_event("peer_duplicate_closed", peer=router)
                return False
            await held.close()
        self.connections_by_id[router] = connection
        return True
