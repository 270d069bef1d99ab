"""Lengths of answers relative to what requests announce, at a domain's allocator.

The load: answers are far longer than hinted, so that engines fill up with streams that
the allocator takes for small, and reject or interrupt others; or they are far shorter,
so that memory stays unused. Routers report the length of each complete answer with the
release of its place. This module does no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Share of the answer that an engine holds on average while generating it.
_MEAN_HELD_ANSWER_SHARE = 0.5
# Answers of a class before its ratio is used; the mean of fewer varies too much.
_MIN_SAMPLES = 20
# Weight of the latest answer: about a hundred answers, some seconds of a class, count.
_SAMPLE_WEIGHT = 0.02
# An answer counts as at most this many times its hint, since a hint may be nonsense.
_MAX_RATIO = 8.0
# Standard deviations of the sum of a pipeline's answers that are kept free.
_MARGIN_DEVIATIONS = 1.0


@dataclass
class _ClassLengths:
    """Moving mean and variance of the ratio of actual to hinted tokens."""

    count: int = 0
    mean: float = 1.0
    variance: float = 0.0

    def add(self, ratio: float) -> None:
        """Add a complete answer."""
        self.count += 1
        # The first answers count equally.
        weight = max(_SAMPLE_WEIGHT, 1 / self.count)
        difference = ratio - self.mean
        self.mean += weight * difference
        self.variance = (1 - weight) * (self.variance + weight * difference**2)


class AnswerLengths:
    """Ratio of actual to hinted answer tokens, by priority class."""

    def __init__(self) -> None:
        self._lengths_by_priority: dict[int, _ClassLengths] = {}

    def describe(self) -> dict[int, float]:
        """Return the ratio of actual to hinted tokens of the classes that have one."""
        return {
            priority: round(lengths.mean, 3)
            for priority, lengths in sorted(self._lengths_by_priority.items())
            if lengths.count >= _MIN_SAMPLES
        }

    def record(self, priority: int, hinted: float, actual: float) -> None:
        """Record the length of an answer, in tokens.

        :param hinted: what the request announced; 0 if unknown.
        :param actual: 0 if the answer is not complete.
        """
        if hinted <= 0 or actual <= 0:
            return
        lengths = self._lengths_by_priority.setdefault(priority, _ClassLengths())
        lengths.add(min(actual / hinted, _MAX_RATIO))

    def estimate_excess(
        self, priority: int, hinted: float, request_count: float
    ) -> float:
        """Return what a place holds on average beyond what was hinted, in tokens.

        :param request_count: requests of a pipeline, with this one: the fewer they are,
            the less their deviations cancel out.
        :returns: with a margin for their spread; negative for shorter answers, and 0
            without enough answers.
        """
        lengths = self._lengths_by_priority.get(priority)
        if lengths is None or lengths.count < _MIN_SAMPLES:
            return 0.0
        deviation = math.sqrt(lengths.variance / max(1.0, request_count))
        ratio = lengths.mean + _MARGIN_DEVIATIONS * deviation
        return (ratio - 1) * hinted * _MEAN_HELD_ANSWER_SHARE
