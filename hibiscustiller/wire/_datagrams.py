"""Datagrams between routers: one socket, whose messages go to handlers by type.

A datagram may be lost, so each message is replaced by a later one or asked for again.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import curio
import curio.socket

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.settings import Address
from hibiscustiller.utils import RouterId, log_event
from hibiscustiller.wire._deadlines import wait_at_most
from hibiscustiller.wire._messages_generated import (
    Message,
    decode_message,
    encode_message,
)

# Below the longest datagram of UDP over IPv4, with room for headers.
_MAX_DATAGRAM_BYTES = 60000

DatagramHandler = Callable[[RouterId, Address, Any], Awaitable[None]]


class DatagramSocket:
    """Sends messages to other routers and takes theirs.

    :param router_id: sender of the messages.
    :param address: where it takes datagrams.
    """

    def __init__(self, router_id: RouterId, address: Address) -> None:
        self._router_id = router_id
        self.address = address
        self._socket: Any = None
        self._handlers_by_type: dict[type, DatagramHandler] = {}

    def register(self, message_type: type, handler: DatagramHandler) -> None:
        """Call a function with the sender, its address and each message of a type."""
        self._handlers_by_type[message_type] = handler

    async def start(self) -> None:
        """Bind the address.

        :raises OSError: if it cannot be bound.
        """
        self._socket = curio.socket.socket(
            curio.socket.AF_INET, curio.socket.SOCK_DGRAM
        )
        self._socket.bind(tuple(self.address))

    async def close(self) -> None:
        """Stop taking datagrams."""
        await self._socket.close()

    def encode(self, message: Message) -> bytes:
        """Encode a message that goes to several routers."""
        return encode_message(self._router_id, message, is_compressed=True)

    async def send(self, address: Address, data: bytes) -> None:
        """Send an encoded message; a failure is like a lost datagram."""
        try:
            await self._socket.sendto(data, tuple(address))
        except OSError as error:
            log_event("datagram_not_sent", level="debug", peer=address, reason=error)

    async def run(self) -> None:
        """Take messages until cancelled."""
        while True:
            data, sender = await self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            try:
                router_id, message = decode_message(data)
            except WireFormatError as error:
                log_event(
                    "datagram_unreadable", level="warning", sender=sender, reason=error
                )
                continue
            handler = self._handlers_by_type.get(type(message))
            if handler is not None:
                await self._handle(handler, RouterId(router_id), sender, message)

    async def _handle(
        self, handler: DatagramHandler, router_id: RouterId, sender: Any, message: Any
    ) -> None:
        try:
            await handler(router_id, Address(*sender), message)
        except Exception as error:
            # One message must not end the taking of all others.
            log_event(
                "datagram_failed",
                level="error",
                sender=router_id,
                kind=type(message).__name__,
                reason=repr(error),
            )


class PendingRequest:
    """A request to another router whose answers are awaited.

    :param request_id: its number, which answers repeat.
    """

    def __init__(self, request_id: int) -> None:
        self.id = request_id
        self._answers: curio.Queue = curio.Queue()

    async def wait(self, timeout: timedelta) -> Any:
        """Return the next answer.

        :raises TimeoutError: if none comes in time; the request or its answer may be
            lost.
        """
        try:
            return await wait_at_most(timeout, self._answers.get())
        except TimeoutError:
            # After a stall of this process the timeout and the answer come together.
            if self._answers.empty():
                raise
            return await self._answers.get()

    async def put(self, answer: Message) -> None:
        """Hand over an answer."""
        await self._answers.put(answer)


class PendingRequests:
    """The requests to other routers that are not answered yet, by number.

    :param random_state: source of the first number.
    """

    def __init__(self, random_state: random.Random) -> None:
        # Late answers to an earlier process of this router must not count.
        self._last_id = random_state.getrandbits(62)
        self._by_id: dict[int, PendingRequest] = {}

    @contextmanager
    def open(self) -> Iterator[PendingRequest]:
        """Take answers to a new request until the block ends."""
        self._last_id += 1
        request = self._by_id[self._last_id] = PendingRequest(self._last_id)
        try:
            yield request
        finally:
            del self._by_id[request.id]

    async def take(self, request_id: int, answer: Message) -> bool:
        """Hand over an answer; False if nobody waits for it any more."""
        request = self._by_id.get(request_id)
        if request is None:
            return False
        await request.put(answer)
        return True
