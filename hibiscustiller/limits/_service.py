"""Running streams of one model, their service rate and their preemption."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from hibiscustiller.configuration import ClassConfig
from hibiscustiller.limits._queues import ClassQueue
from hibiscustiller.limits._usage import Charge
from hibiscustiller.utils import ClassName, ServerId

if TYPE_CHECKING:
    from hibiscustiller.limits._admission import Grant

# Weight that the sums of past streams retain when a stream ends. The averages thus
# cover about 50 streams.
_DECAY_FACTOR = 0.98
# Share of the first-token target for which urgent requests wait for streams to complete
# before others are preempted. Preemption costs a second prefill of the prompt.
_COMPLETION_WAIT_SHARE = 0.25
# Preemptions of a stream after which it runs to completion.
MAX_PREEMPTIONS = 2


@dataclass(eq=False)
class RunningStream:
    """A granted stream.

    :param charge: charge of its estimated cost.
    :param granted_at: monotonic time of the grant.
    :param uses_floor: whether the stream was granted because its class was below its
        floor.
    """

    grant: Grant
    config: ClassConfig
    charge: Charge
    granted_at: timedelta
    uses_floor: bool
    is_preempted: bool = False


class ServiceMeter:
    """Decayed averages of the token rate and duration of ended streams."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._stream_seconds = 0.0
        self._stream_count = 0.0

    def observe(self, tokens: int, duration: timedelta) -> None:
        """Add a stream that ended to the averages.

        :param tokens: tokens that the stream used.
        :param duration: time from its grant to its release.
        """
        if tokens <= 0 or duration <= timedelta(0):
            return
        self._tokens = self._tokens * _DECAY_FACTOR + tokens
        self._stream_seconds = (
            self._stream_seconds * _DECAY_FACTOR + duration.total_seconds()
        )
        self._stream_count = self._stream_count * _DECAY_FACTOR + 1.0

    @property
    def tokens_per_second(self) -> float | None:
        """Tokens per second of one stream; None before any stream ended."""
        return self._tokens / self._stream_seconds if self._stream_seconds else None

    @property
    def mean_stream_seconds(self) -> float | None:
        """Mean duration of a stream in seconds; None before any stream ended."""
        return self._stream_seconds / self._stream_count if self._stream_count else None


class ModelService:
    """The running streams of one model."""

    def __init__(self) -> None:
        self.meter = ServiceMeter()
        self.running_by_class: dict[ClassName, dict[Grant, RunningStream]] = {}
        self.running_count = 0
        self.pending_preemptions = 0

    def add(self, stream: RunningStream) -> None:
        """Add a stream when it is granted."""
        running = self.running_by_class.setdefault(stream.config.name, {})
        running[stream.grant] = stream
        self.running_count += 1

    def remove(self, stream: RunningStream) -> None:
        """Remove a stream when its grant is released."""
        del self.running_by_class[stream.config.name][stream.grant]
        self.running_count -= 1
        self.pending_preemptions -= stream.is_preempted

    @property
    def service_rate(self) -> float | None:
        """Tokens per second of all running streams; None while unknown.

        The rate is that of one stream times the number of running streams. A rate of
        completed tokens over time would be too low after an idle period.
        """
        stream_rate = self.meter.tokens_per_second
        return (
            stream_rate * self.running_count
            if stream_rate and self.running_count
            else None
        )

    def count_needed_preemptions(
        self, backlogged_queues: Iterable[ClassQueue], rank: int, now: timedelta
    ) -> int:
        """Return the number of streams to preempt for more urgent classes.

        :param backlogged_queues: queues with waiters, most urgent class first.
        :param rank: rank of the class whose streams may be preempted.
        """
        mean_seconds = self.meter.mean_stream_seconds
        ends_per_second = self.running_count / mean_seconds if mean_seconds else 0.0
        waiting_count = 0
        needed_count = 0
        for queue in backlogged_queues:
            if queue.config.rank >= rank:
                break
            waiting_count += len(queue)
            # Resumed requests count towards the longest wait as new ones do.
            oldest_arrivals = [
                next(iter(waiters.values())).arrived_at
                for waiters in (queue.new_by_sequence, queue.resumed_by_sequence)
                if waiters
            ]
            waited = now - min(oldest_arrivals, default=now)
            time_left = (
                queue.config.first_token_target * _COMPLETION_WAIT_SHARE - waited
            )
            expected_completions = int(
                ends_per_second * max(0.0, time_left.total_seconds())
            )
            needed_count = max(needed_count, waiting_count - expected_completions)
        return max(0, needed_count - self.pending_preemptions)

    def select_victims(
        self,
        config: ClassConfig,
        needed_count: int,
        now: timedelta,
        preemptions: dict[str, int],
        unusable_servers: frozenset[ServerId] = frozenset(),
    ) -> list[RunningStream]:
        """Select streams of a class to preempt, those with most tokens left first.

        The class retains its floor's share of the running streams. Streams that were
        granted under the floor are not preempted.

        :param preemptions: number of past preemptions by request id.
        :param unusable_servers: servers whose streams are not preempted.
        """
        running = self.running_by_class.get(config.name, {})
        floor_count = math.ceil(config.floor * self.running_count)
        candidates = [
            stream
            for stream in running.values()
            if not stream.is_preempted
            and not stream.uses_floor
            and unusable_servers.isdisjoint(stream.grant.route.servers)
            and preemptions.get(stream.grant.request.request_id, 0) < MAX_PREEMPTIONS
        ]
        continuing_count = sum(not stream.is_preempted for stream in running.values())
        stop_count = min(needed_count, continuing_count - floor_count)
        stream_rate = self.meter.tokens_per_second or 0.0

        def estimate_tokens_left(stream: RunningStream) -> float:
            elapsed = (now - stream.granted_at).total_seconds()
            return stream.charge.tokens - elapsed * stream_rate

        return heapq.nlargest(max(0, stop_count), candidates, estimate_tokens_left)
