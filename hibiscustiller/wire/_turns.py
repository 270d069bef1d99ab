"""Turns of a task whose other side never lets it wait.

curio runs other tasks, and ends a timeout, only where a task waits. Receiving does not
wait while data has arrived, so a sender that is always ahead would keep the process.
"""

from __future__ import annotations

import curio

# Parts that are parsed in a turn, which takes about two milliseconds.
_PARTS_PER_TURN = 256
# Receiving and copying a buffer takes as long as parsing so many parts.
_PARTS_PER_RECEIVE = 16


class Turns:
    """Lets other tasks run after some work of one task."""

    def __init__(self) -> None:
        self._part_count = 0

    def count_receive(self) -> None:
        """Count a receive."""
        self._part_count += _PARTS_PER_RECEIVE

    def count_parts(self, count: int) -> None:
        """Count chunks or other parts that were parsed."""
        self._part_count += count

    @property
    def is_over(self) -> bool:
        """Whether the work of a turn has been done."""
        return self._part_count >= _PARTS_PER_TURN

    async def end(self) -> None:
        """Let other tasks run.

        A task may be cancelled here, so nothing that it has read may be at stake.
        """
        self._part_count = 0
        await curio.sleep(0)
