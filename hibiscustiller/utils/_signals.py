"""Delivery of Unix signals to a curio task."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterable

import curio.io

# More than a socket pair holds of single bytes.
_READ_BYTES = 4096


class SignalReceiver:
    """Receives Unix signals in a task.

    A Python signal handler runs between any two bytecodes of the main thread, also
    while the code that it interrupts holds a lock. The handler here only sets a flag;
    the interpreter wakes the task by a byte on a socket. Several signals of a kind that
    arrive before the task handles them count as one, as in the kernel.

    It is created in the main thread, which also has to run the kernel. It may be
    created before the kernel runs; signals are kept until then. A process has one
    receiver at a time.

    :param numbers: the signals to receive.
    """

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        self._numbers = tuple(numbers)
        self._is_pending = bytearray(signal.NSIG)
        reader, self._writer = socket.socketpair()
        self._reader = curio.io.Socket(reader)
        self._writer.setblocking(False)
        # With a full buffer a byte is lost, but those in it wake the task just as well.
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in self._numbers:
            signal.signal(number, self._set_pending)

    def _set_pending(self, number: int, frame: object) -> None:
        self._is_pending[number] = 1

    async def receive(self) -> frozenset[signal.Signals]:
        """Wait for signals and return their kinds, at least one.

        A handler runs before the byte of its signal has been read: the interpreter
        notes the signal before it writes the byte, and runs the handlers of noted
        signals when the call that reads the byte returns.
        """
        while True:
            await self._reader.recv(_READ_BYTES)
            received = frozenset(filter(self._take_pending, self._numbers))
            if received:
                return received

    def _take_pending(self, number: signal.Signals) -> bool:
        if not self._is_pending[number]:
            return False
        self._is_pending[number] = 0
        return True

    async def close(self) -> None:
        """Ignore the signals from now on.

        The interpreter restores the default action of handled signals before it exits;
        a repeated SIGTERM would then change the exit status.
        """
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        await self._reader.close()
        self._writer.close()
