"""Streams: answers of models to callers, delivered over one or more attempts."""

from hibiscustiller.streams._attempts import AttemptEnd, AttemptRunner
from hibiscustiller.streams._crashes import (
    QUARANTINE_TIME,
    CrashEvent,
    CrashRegistry,
    CrashRun,
    compute_stream_fingerprint,
)
from hibiscustiller.streams._frames import (
    DoneFrame,
    ErrorFrame,
    Frame,
    LayerRun,
    TokenFrame,
    parse_frame,
)
from hibiscustiller.streams._kv_caches import CacheMover, ReplayEstimator
from hibiscustiller.streams._requests import Progress, StreamRequest, StreamSummary
from hibiscustiller.streams._runner import RetryBudget, StreamRunner

__all__ = [
    "AttemptEnd",
    "AttemptRunner",
    "CacheMover",
    "CrashEvent",
    "CrashRegistry",
    "CrashRun",
    "DoneFrame",
    "ErrorFrame",
    "Frame",
    "LayerRun",
    "Progress",
    "QUARANTINE_TIME",
    "ReplayEstimator",
    "RetryBudget",
    "StreamRequest",
    "StreamRunner",
    "StreamSummary",
    "TokenFrame",
    "compute_stream_fingerprint",
    "parse_frame",
]
