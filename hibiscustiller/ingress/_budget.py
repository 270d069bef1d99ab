"""The budget for sending a request to a second server, shared by all routers."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from hibiscustiller.utils import Clock

# What is left absorbs requests that are counted in another window by the platform.
_USABLE_SHARE = 0.8


class RepeatBudget:
    """Counts the requests and repeats to one service in a sliding window.

    :param ratio: repeats for each request, over all routers.
    :param slack: repeats in a window besides, over all routers.
    :param window: length of the window.
    """

    def __init__(
        self, ratio: float, slack: float, window: timedelta, clock: Clock
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._clock = clock
        self._requests: deque[timedelta] = deque()
        self._repeats: deque[timedelta] = deque()

    def note_request(self) -> None:
        """Count a caller's request."""
        self._requests.append(self._clock.monotonic())

    def try_repeat(self, router_count: int) -> bool:
        """Count a repeat if the budget allows one.

        :param router_count: routers that share the slack.
        """
        now = self._clock.monotonic()
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
        share = self._slack / max(1, router_count)
        allowed = _USABLE_SHARE * (self._ratio * len(self._requests) + share)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True
