"""The reachability of the store, as observed by the lease renewals."""

from __future__ import annotations

from datetime import timedelta

import curio

from hibiscustiller.wire import wait_for_event


class StoreReach:
    """Records whether the lease renewals of the registration reach the store."""

    def __init__(self) -> None:
        self._is_check_due = curio.Event()
        self._reached_at = timedelta(0)
        self.is_reachable = True

    def record_success(self, began_at: timedelta) -> None:
        """Record a call that succeeded.

        :param began_at: when the call began, on the monotonic clock.
        """
        self._reached_at = began_at
        self.is_reachable = True

    def record_failure(self) -> None:
        """Record a failed call, which also completes a requested check."""
        self.is_reachable = False
        self._is_check_due.clear()

    def was_reached_since(self, moment: timedelta) -> bool:
        """Return whether the last call succeeded and began at or after a time."""
        return self.is_reachable and self._reached_at >= moment

    async def request_check(self) -> None:
        """Request a renewal now, unless failed renewals are being retried anyway."""
        if self.is_reachable:
            await self._is_check_due.set()

    async def wait_for_check(self, period: timedelta) -> None:
        """Wait until the next renewal is due or a check is requested.

        :param period: the time until the next regular renewal.
        """
        await wait_for_event(period, self._is_check_due)
        self._is_check_due.clear()
