"""Running streams of one model and the service rate measured from them."""

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

# Weight that past streams keep when one more ends; about 50 streams count.
_MEMORY = 0.98
# Urgent work waits for streams that end by themselves for up to this share of its
# first-token target. Preemption costs a second prefill of the prompt.
_NATURAL_WAIT_SHARE = 0.25
# A stream that was interrupted this often runs to its end.
MAX_PREEMPTIONS = 2


@dataclass(eq=False)
class RunningStream:
    """A granted stream.

    :param is_floor: whether it was granted under its class's floor.
    """

    grant: Grant
    config: ClassConfig
    charge: Charge
    granted_at: timedelta
    is_floor: bool
    is_preempted: bool = False


class ServiceMeter:
    """Measures the pace of streams when they end."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._seconds = 0.0
        self._streams = 0.0

    def note_ended(self, tokens: int, duration: timedelta) -> None:
        """Count a stream that ended.

        :param tokens: tokens that it used.
        """
        if tokens <= 0 or duration <= timedelta(0):
            return
        self._tokens = self._tokens * _MEMORY + tokens
        self._seconds = self._seconds * _MEMORY + duration.total_seconds()
        self._streams = self._streams * _MEMORY + 1.0

    @property
    def stream_pace(self) -> float | None:
        """Tokens a second of one stream; None before any stream ended."""
        return self._tokens / self._seconds if self._seconds else None

    @property
    def stream_seconds(self) -> float | None:
        """Mean duration of a stream; None before any stream ended."""
        return self._seconds / self._streams if self._streams else None


class ModelService:
    """The running streams of one model."""

    def __init__(self) -> None:
        self.meter = ServiceMeter()
        self.running_by_class: dict[ClassName, dict[Grant, RunningStream]] = {}
        self.running_count = 0
        self.pending_preemptions = 0

    def add(self, stream: RunningStream) -> None:
        """Count a stream that is granted."""
        running = self.running_by_class.setdefault(stream.config.name, {})
        running[stream.grant] = stream
        self.running_count += 1

    def remove(self, stream: RunningStream) -> None:
        """Count a stream that is released."""
        del self.running_by_class[stream.config.name][stream.grant]
        self.running_count -= 1
        self.pending_preemptions -= stream.is_preempted

    @property
    def service_rate(self) -> float | None:
        """Tokens a second of all running streams; None while it is not known.

        It counts the streams that run now. A rate of finished tokens over time would
        be too low after an idle period.
        """
        pace = self.meter.stream_pace
        return pace * self.running_count if pace and self.running_count else None

    def count_needed_preemptions(
        self, backlogged: Iterable[ClassQueue], rank: int, now: timedelta
    ) -> int:
        """Count the streams that classes more urgent than ``rank`` need stopped.

        :param backlogged: queues with waiters, most urgent first.
        """
        seconds = self.meter.stream_seconds
        ends_per_second = self.running_count / seconds if seconds else 0.0
        waiting = 0
        needed = 0
        for queue in backlogged:
            if queue.config.rank >= rank:
                break
            waiting += len(queue)
            # A stream that broke off waits as a new request does.
            oldest = [
                next(iter(waiters.values())).arrived_at
                for waiters in (queue.by_arrival, queue.resumed)
                if waiters
            ]
            waited = now - min(oldest, default=now)
            spare = queue.config.first_token_target * _NATURAL_WAIT_SHARE - waited
            natural = int(ends_per_second * max(0.0, spare.total_seconds()))
            needed = max(needed, waiting - natural)
        return max(0, needed - self.pending_preemptions)

    def choose_victims(
        self,
        config: ClassConfig,
        needed: int,
        now: timedelta,
        preemptions: dict[str, int],
        useless: frozenset[ServerId] = frozenset(),
    ) -> list[RunningStream]:
        """Choose running streams of a class to stop, those with the most left first.

        The class keeps its floor's share of the running streams, and streams that
        were granted under the floor run on.

        :param preemptions: past preemptions by request id.
        :param useless: servers whose streams are not stopped.
        """
        running = self.running_by_class.get(config.name, {})
        kept = math.ceil(config.floor * self.running_count)
        candidates = [
            stream
            for stream in running.values()
            if not stream.is_preempted
            and not stream.is_floor
            and useless.isdisjoint(stream.grant.route.servers)
            and preemptions.get(stream.grant.request.request_id, 0) < MAX_PREEMPTIONS
        ]
        active = sum(not stream.is_preempted for stream in running.values())
        count = min(needed, active - kept)
        pace = self.meter.stream_pace or 0.0

        def estimate_tokens_left(stream: RunningStream) -> float:
            elapsed = (now - stream.granted_at).total_seconds()
            return stream.charge.tokens - elapsed * pace

        return heapq.nlargest(max(0, count), candidates, estimate_tokens_left)
