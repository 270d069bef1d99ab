"""A bound on the memory that bodies take, over all connections.

Each body is bounded by itself. Many large ones at the same time, such as those of
servers that send without end, would still exceed the memory of the process. Nothing
waits for memory: a body that would exceed the bound drops another one, or itself. This
module does no I/O.
"""

from __future__ import annotations

from collections import Counter

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import Verdict, log_event

_UNCOUNTED_BYTES = 16 << 10


class BodyMemory:
    """The bytes of all bodies that are read or not yet passed on.

    :param max_bytes: bound on their sum; None for no bound.
    :param uncounted_bytes: as many bytes of each body do not count, so that small ones
        pass while large ones take all memory. The number of connections bounds their
        sum.
    """

    def __init__(
        self, max_bytes: int | None = None, uncounted_bytes: int = _UNCOUNTED_BYTES
    ) -> None:
        self.max_bytes = max_bytes
        self.uncounted_bytes = uncounted_bytes
        self._holds: set[BodyHold] = set()
        self.used_bytes = 0

    def hold(self, sender: Address) -> BodyHold:
        """Return the memory of one body, to be released when it was passed on.

        :param sender: the server, router or client that sends it.
        """
        return BodyHold(self, sender)

    def take(self, hold: BodyHold, count: int) -> None:
        """Take memory for a body; bodies are dropped if there is too little.

        :param count: number of bytes.
        """
        self._holds.add(hold)
        while (
            self.max_bytes is not None
            and not hold.is_dropped
            and self.used_bytes + count > self.max_bytes
        ):
            self._choose_victim().drop()
        if not hold.is_dropped:
            self.used_bytes += count

    def give_back(self, hold: BodyHold, count: int) -> None:
        """Give back some memory of a body; without any left it counts no more.

        :param count: number of bytes.
        """
        self.used_bytes -= count
        if hold.size == 0:
            self._holds.discard(hold)

    def _choose_victim(self) -> BodyHold:
        """Choose the body that is dropped for lack of memory.

        The sender that sends most at the same time is the one in trouble; a sound one
        with large bodies is spared beside it. Complete bodies are not dropped.
        """
        unfinished = [hold for hold in self._holds if hold.is_open]
        bytes_by_sender: Counter[Address] = Counter()
        for hold in unfinished:
            bytes_by_sender[hold.sender] += hold.size
        return max(
            unfinished, key=lambda hold: (bytes_by_sender[hold.sender], hold.size)
        )


class BodyHold:
    """The memory of one body.

    :param sender: the server, router or client that sends it.
    """

    def __init__(self, memory: BodyMemory, sender: Address) -> None:
        self._memory = memory
        self._buffer = bytearray()
        self._counted_bytes = 0
        self.sender = sender
        # Number of bytes that are held.
        self.size = 0
        # Whether more bytes are expected.
        self.is_open = True
        # Whether the body was dropped for lack of memory.
        self.is_dropped = False

    def __enter__(self) -> BodyHold:
        return self

    def __exit__(self, *args: object) -> None:
        self.release()

    def append(self, data: bytes) -> None:
        """Add bytes to the body.

        :raises TransportError: if there is no memory for it.
        """
        self.resize(self.size + len(data))
        self._buffer += data

    def resize(self, size: int) -> None:
        """Set the number of bytes that are held, here or by the caller.

        :raises TransportError: if there is no memory for them.
        """
        counted = max(0, size - self._memory.uncounted_bytes)
        change = counted - self._counted_bytes
        if change > 0 and not self.is_dropped:
            self._memory.take(self, change)
        if self.is_dropped:
            message = f"{self.sender}: no memory is left for the body"
            raise TransportError(message, Verdict.MAY_HAVE_RUN)
        self.size, self._counted_bytes = size, counted
        if change < 0:
            self._memory.give_back(self, -change)

    def finish(self) -> bytes:
        """Return the complete body; its memory stays taken until the release."""
        body, self._buffer = bytes(self._buffer), bytearray()
        self.is_open = False
        return body

    def drop(self) -> None:
        """Drop the body for lack of memory."""
        log_event(
            "body_dropped",
            sender=self.sender,
            bytes=self.size,
            held=self._memory.used_bytes,
        )
        self.is_dropped = True
        self.release()

    def release(self) -> None:
        """Give all memory back."""
        self._buffer = bytearray()
        self.is_open = False
        self.size, count, self._counted_bytes = 0, self._counted_bytes, 0
        self._memory.give_back(self, count)
