"""Memory and time of engines that hold a range of layers."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from hibiscustiller.fleet import AcceleratorKind, EngineSpec

_MB = 1_000_000


def count_token_layers(spec: EngineSpec, kind: AcceleratorKind, width: int) -> float:
    """Return how much request memory is left beside the weights of some layers.

    :param width: number of layers held.
    :returns: tokens times layers that fit; 0 if the layers themselves do not.
    """
    left_mb = kind.memory_mb - width * spec.layer_mb
    return max(0.0, left_mb * _MB / spec.layer_token_bytes)


def count_tokens(spec: EngineSpec, kind: AcceleratorKind, width: int) -> float:
    """Return how many tokens fit at an engine that holds some layers."""
    return count_token_layers(spec, kind, width) / width if width else 0.0


def estimate_transfer_s(spec: EngineSpec, tokens: float) -> float:
    """Return how long tokens occupy the link between domains at a crossing.

    :returns: seconds.
    """
    return tokens * spec.activation_bytes * 8 / (spec.pipe_mbps * 1e6)


def find_max_width(spec: EngineSpec, kind: AcceleratorKind, tokens: float) -> int:
    """Return the most layers that leave room for a number of tokens."""
    layer_bytes = spec.layer_mb * _MB + tokens * spec.layer_token_bytes
    return min(spec.layers, int(kind.memory_mb * _MB // layer_bytes))


def estimate_token_time(
    spec: EngineSpec,
    widths_by_kind: Iterable[tuple[AcceleratorKind, int]],
    sequences: float,
    tokens: float,
) -> timedelta:
    """Estimate the time of one token through a pipeline.

    :param widths_by_kind: kind and number of layers of each stage.
    :param sequences: requests that write at once.
    :param tokens: tokens that they hold in all.
    """
    pace = sum(kind.pace * width for kind, width in widths_by_kind) / spec.layers
    step = spec.step + spec.per_sequence * sequences
    return (step + spec.context_per_thousand * (tokens / 1000)) * pace
