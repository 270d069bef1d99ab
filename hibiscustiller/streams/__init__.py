"""Streams: one caller's answer over one or more attempts."""

from hibiscustiller.streams._frames import (
    DoneFrame,
    ErrorFrame,
    Frame,
    LayerRun,
    TokenFrame,
    parse_frame,
)
from hibiscustiller.streams._runner import StreamRequest, StreamRunner, StreamSummary

__all__ = [
    "DoneFrame",
    "ErrorFrame",
    "Frame",
    "LayerRun",
    "StreamRequest",
    "StreamRunner",
    "StreamSummary",
    "TokenFrame",
    "parse_frame",
]
