"""Estimates of memory capacity and token time for engines with a range of layers."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from hibiscustiller.fleet import AcceleratorKind, EngineSpec

_MB = 1_000_000


def count_token_layers(spec: EngineSpec, kind: AcceleratorKind, width: int) -> float:
    """Return the request memory left beside the weights of the layers held.

    :param width: number of layers held.
    :returns: capacity in tokens times layers; 0 if the weights alone do not fit.
    """
    available_mb = kind.memory_mb - width * spec.layer_mb
    return max(0.0, available_mb * _MB / spec.layer_token_bytes)


def count_tokens(spec: EngineSpec, kind: AcceleratorKind, width: int) -> float:
    """Return how many tokens fit at an engine that holds ``width`` layers."""
    return count_token_layers(spec, kind, width) / width if width else 0.0


def estimate_transfer_s(spec: EngineSpec, tokens: float) -> float:
    """Estimate how long the activations of tokens occupy the link between domains.

    :returns: seconds per crossing.
    """
    return tokens * spec.activation_bytes * 8 / (spec.pipe_mbps * 1e6)


def find_max_width(spec: EngineSpec, kind: AcceleratorKind, tokens: float) -> int:
    """Return the largest number of layers that leaves memory for ``tokens`` tokens."""
    layer_bytes = spec.layer_mb * _MB + tokens * spec.layer_token_bytes
    return min(spec.layers, int(kind.memory_mb * _MB // layer_bytes))


def estimate_token_time(
    spec: EngineSpec,
    widths_by_kind: Iterable[tuple[AcceleratorKind, int]],
    sequences: float,
    tokens: float,
) -> timedelta:
    """Estimate the time that a pipeline takes per token.

    :param widths_by_kind: kind and number of layers of each stage.
    :param sequences: number of requests that generate tokens concurrently.
    :param tokens: total number of tokens that they hold.
    """
    time_factor = (
        sum(kind.token_time_factor * width for kind, width in widths_by_kind)
        / spec.layers
    )
    step = spec.step + spec.per_sequence * sequences
    return (step + spec.context_per_thousand * (tokens / 1000)) * time_factor
