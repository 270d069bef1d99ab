"""Choice of a running stream that yields its place to an urgent request that waits.

It handles a burst of the most urgent class after the least urgent one has taken all
places: streams run for seconds, while the urgent requests are late after a fraction of
one. The decision performs no I/O. It costs the tokens that the yielding stream has to
read again, so that recalls are few and only streams with much left are chosen.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Hashable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Generic, TypeVar

from hibiscustiller.layers._admission import MAX_WAIT_SHARE, Demand
from hibiscustiller.utils import ServerId

Key = TypeVar("Key")

# A request that has waited for this share of its longest wait is taken to miss its
# target. Most places become free earlier; the rest is left for the recall.
_WAITED_SHARE = 0.5
# A stream that has just begun has cost its prompt for nothing if it yields.
MIN_RUN_TIME = timedelta(seconds=1)
# A stream that is about to end releases its place anyway.
MIN_LEFT_SHARE = 1 / 3
# Time to read a token of a prompt against the time to generate one. Prompts are read
# in parallel.
_READ_COST = 0.1
# The work that is repeated must be less than this share of the urgent request's.
_MAX_COST_SHARE = 0.5
# Share of the expected answer that the tokens of a demand count.
_HELD_ANSWER_SHARE = 0.5
# Limits the work that a long burst repeats.
_MAX_RECALLS_PER_PERIOD = 2
_PERIOD = timedelta(seconds=1)
# Streams that lost their engines need the free places first.
_PAUSE_AFTER_LOSS = timedelta(seconds=1)


@dataclass(frozen=True)
class RunningStream(Generic[Key]):
    """A stream that holds a place.

    :param key: identifies the place.
    :param demand: of the stream; with unknown parts if another router granted the
        place, in which case it does not yield.
    :param held_for: time since the place was granted.
    :param count_free_tokens: returns the free capacity of its pipeline after it has
        yielded. This is costly, so that it is called for few streams.
    :param token_time: time per token of its pipeline; None without observations.
    """

    key: Key
    demand: Demand
    held_for: timedelta
    count_free_tokens: Callable[[], float]
    token_time: timedelta | None

    @property
    def emitted_tokens(self) -> float:
        """Expected tokens emitted; without observations, the most for a yield."""
        if not self.token_time:
            return self.demand.answer_tokens * (1 - MIN_LEFT_SHARE)
        return min(self.demand.answer_tokens, self.held_for / self.token_time)

    @property
    def repeated_tokens(self) -> float:
        """Expected tokens that are read again if the stream yields."""
        return _count_prompt_tokens(self.demand) + self.emitted_tokens


def choose_yielding(
    request: Demand,
    waited: timedelta,
    streams: Iterable[RunningStream[Key]],
    priorities: Collection[int],
) -> RunningStream[Key] | None:
    """Choose the stream that yields to a waiting request at the least cost.

    :param request: the demand that is served next.
    :param waited: time for which it has waited.
    :param priorities: classes of the service, as far as they are known.
    :returns: None if no stream yields.
    """
    if waited < request.target_latency * MAX_WAIT_SHARE * _WAITED_SHARE:
        return None
    classes = {*priorities, request.priority}
    least_urgent = max(classes)
    min_distance = 2 if len(classes) >= 3 else 1
    if least_urgent - request.priority < min_distance:
        return None
    gain = _count_prompt_tokens(request) * _READ_COST + request.answer_tokens
    candidates = [
        stream
        for stream in streams
        if stream.demand.priority == least_urgent
        and _may_yield(stream)
        and stream.repeated_tokens * _READ_COST < gain * _MAX_COST_SHARE
    ]
    for stream in sorted(candidates, key=lambda stream: stream.repeated_tokens):
        if stream.count_free_tokens() >= request.tokens:
            return stream
    return None


def _count_prompt_tokens(demand: Demand) -> float:
    return max(0.0, demand.tokens - demand.answer_tokens * _HELD_ANSWER_SHARE)


def _may_yield(stream: RunningStream) -> bool:
    """Tell whether a stream has run for long enough and has enough left."""
    answer = stream.demand.answer_tokens
    if not stream.demand.is_resumable or not answer:
        return False
    has_run = stream.held_for >= MIN_RUN_TIME
    return has_run and stream.emitted_tokens <= answer * (1 - MIN_LEFT_SHARE)


class RecallPace:
    """When the places of a failure domain may be recalled."""

    def __init__(self) -> None:
        self._recalled_at: deque[timedelta] = deque(maxlen=_MAX_RECALLS_PER_PERIOD)
        self._ids_by_source: dict[Hashable, frozenset[ServerId]] = {}
        self._lost_at: timedelta | None = None

    def record_servers(
        self, source: Hashable, server_ids: Iterable[ServerId], now: timedelta
    ) -> None:
        """Record the servers of a service's pipelines, and thereby the loss of any."""
        server_ids = frozenset(server_ids)
        if not self._ids_by_source.get(source, frozenset()) <= server_ids:
            self._lost_at = now
        self._ids_by_source[source] = server_ids

    def may_recall(self, now: timedelta) -> bool:
        """Tell whether a place may be recalled now."""
        if self._lost_at is not None and now - self._lost_at < _PAUSE_AFTER_LOSS:
            return False
        is_full = len(self._recalled_at) == _MAX_RECALLS_PER_PERIOD
        return not is_full or now - self._recalled_at[0] >= _PERIOD

    def record_recall(self, now: timedelta) -> None:
        """Record that a place is recalled."""
        self._recalled_at.append(now)
