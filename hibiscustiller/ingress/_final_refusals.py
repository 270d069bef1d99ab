"""Refusals that are final for the caller, by a state that may be outdated.

A caller does not repeat a request after 401 or 404. A router that was told of a newer
configuration, or whose state may lack changes that must be in force, cannot know that
a route or a key does not exist. It waits a moment for the newer configuration, and then
refuses the request as not run, so that the caller asks another router.

The load is a flood of requests with wrong paths and keys while many routers are behind.
Only some requests wait, each only for a part of its time. This module does no I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta

from hibiscustiller.discovery import StateCurrency
from hibiscustiller.utils import Clock, Refusal, RefusalReason, Verdict

_FINAL_REASONS = frozenset({RefusalReason.NOT_FOUND, RefusalReason.UNAUTHENTICATED})
# A newer configuration that is known to exist arrives within this time, unless the
# router is cut off from its sources.
_MAX_WAIT = timedelta(milliseconds=500)
# The rest is left to the server, or to the caller's next attempt.
_MAX_SHARE_OF_TIME = 1 / 4
# Requests that wait hold their bodies in memory.
_MAX_WAITING = 64
_POLL_PERIOD = timedelta(milliseconds=20)
# By then this router has the newer configuration or another one is asked. The callers
# of a router that is behind return at different times.
_MIN_RETRY_AFTER = timedelta(milliseconds=200)
_MAX_RETRY_AFTER = timedelta(milliseconds=600)


class FinalRefusals:
    """Decides whether a final refusal may be given.

    :param get_currency: tells how current the state of this router is.
    :param clock: used for waits.
    :param random_state: spreads the returns of callers.
    """

    def __init__(
        self,
        get_currency: Callable[[], StateCurrency],
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._get_currency = get_currency
        self._clock = clock
        self._random_state = random_state
        self._waiting_count = 0

    def get_deadline(self, wait_limit: timedelta) -> timedelta:
        """Return until when a request may wait for newer configurations, in all.

        :param wait_limit: how long its caller waits for the answer.
        :returns: a time on the monotonic clock.
        """
        waiting = min(_MAX_WAIT, wait_limit * _MAX_SHARE_OF_TIME)
        return self._clock.monotonic() + waiting

    async def wait_for_newer(self, refusal: Refusal, until: timedelta) -> bool:
        """Wait for the newer configuration that is known to exist, if there is one.

        :param until: the deadline of the request.
        :returns: whether a newer one is in force, so that the request is judged again.
        """
        currency = self._get_currency()
        is_due = refusal.reason in _FINAL_REASONS and currency.is_behind
        if not is_due or self._waiting_count >= _MAX_WAITING:
            return False
        self._waiting_count += 1
        try:
            while self._clock.monotonic() < until:
                await self._clock.sleep(_POLL_PERIOD)
                if self._get_currency().version > currency.version:
                    return True
            return False
        finally:
            self._waiting_count -= 1

    def check(self, refusal: Refusal) -> Refusal:
        """Return a refusal, or another one in its place that is not final."""
        if refusal.reason not in _FINAL_REASONS:
            return refusal
        currency = self._get_currency()
        if currency.is_behind:
            detail = "a newer configuration exists"
        elif not currency.is_confirmed:
            detail = "its configuration may be outdated"
        else:
            return refusal
        spread = _MAX_RETRY_AFTER - _MIN_RETRY_AFTER
        return Refusal(
            RefusalReason.OUTDATED,
            Verdict.NOT_RUN,
            f"this router cannot tell: {refusal.message}, but {detail}",
            _MIN_RETRY_AFTER + spread * self._random_state.random(),
        )
