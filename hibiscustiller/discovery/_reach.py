"""Whether this router reaches the store, as its last cheap call told."""

from __future__ import annotations

from datetime import timedelta

import curio

from hibiscustiller.wire import wait_for_event


class StoreReach:
    """What the renewals of the registration tell the other parts about the store."""

    def __init__(self) -> None:
        self._is_check_due = curio.Event()
        self._reached_at = timedelta(0)
        self.is_reachable = True

    def note_answer(self, asked_at: timedelta) -> None:
        """Record a call that succeeded.

        :param asked_at: when it began, on the monotonic clock.
        """
        self._reached_at = asked_at
        self.is_reachable = True

    def note_failure(self) -> None:
        """Record a call that failed; it answers what was asked for meanwhile."""
        self.is_reachable = False
        self._is_check_due.clear()

    def was_reached_since(self, moment: timedelta) -> bool:
        """Tell whether the last call succeeded, and began after a moment."""
        return self.is_reachable and self._reached_at >= moment

    async def check_soon(self) -> None:
        """Have the next call made now; a store that is away is called often anyway."""
        if self.is_reachable:
            await self._is_check_due.set()

    async def wait_for_check(self, period: timedelta) -> None:
        """Wait until the next call is due.

        :param period: longest wait.
        """
        await wait_for_event(period, self._is_check_due)
        self._is_check_due.clear()
