"""Retry budget, which prevents retries from amplifying an overload."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.utils import Clock, check_invariant

_WINDOW = timedelta(seconds=10)
_BUCKET_COUNT = 10
# Retries allowed per request of the window.
_RETRY_SHARE = 0.1
# Retries allowed per window in addition to the share. Without them, a router with
# little traffic would never retry.
_BASE_RETRIES_PER_WINDOW = 10


@dataclass
class _Bucket:
    number: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Limits retries to a share of the requests in a sliding window.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: deque[_Bucket] = deque()
        self._request_count = 0
        self._retry_count = 0

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self._get_bucket().requests += 1
        self._request_count += 1

    def try_spend(self) -> bool:
        """Consume one retry of the budget if the budget allows it.

        :returns: whether the retry is allowed.
        """
        bucket = self._get_bucket()
        if (
            self._retry_count + 1
            > _RETRY_SHARE * self._request_count + _BASE_RETRIES_PER_WINDOW
        ):
            return False
        bucket.retries += 1
        self._retry_count += 1
        return True

    def _get_bucket(self) -> _Bucket:
        """Return the current bucket, and discard those that left the window."""
        number = self._clock.monotonic() // (_WINDOW / _BUCKET_COUNT)
        while self._buckets and self._buckets[0].number <= number - _BUCKET_COUNT:
            expired = self._buckets.popleft()
            self._request_count -= expired.requests
            self._retry_count -= expired.retries
        check_invariant(
            self._request_count >= 0 and self._retry_count >= 0,
            "retry_window_not_negative",
            requests=self._request_count,
            retries=self._retry_count,
        )
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]
