"""Streams: answers of models to callers, delivered over one or more attempts."""

from hibiscustiller.streams._attempts import AttemptOutcome, AttemptRunner
from hibiscustiller.streams._crashes import (
    QUARANTINE_DURATION,
    CrashEvent,
    CrashRegistry,
    TrackedAttempt,
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
    "AttemptOutcome",
    "AttemptRunner",
    "CacheMover",
    "CrashEvent",
    "CrashRegistry",
    "DoneFrame",
    "ErrorFrame",
    "Frame",
    "LayerRun",
    "Progress",
    "QUARANTINE_DURATION",
    "ReplayEstimator",
    "RetryBudget",
    "StreamRequest",
    "StreamRunner",
    "StreamSummary",
    "TokenFrame",
    "TrackedAttempt",
    "compute_stream_fingerprint",
    "parse_frame",
]
