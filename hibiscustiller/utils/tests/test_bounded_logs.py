"""Tests of the bounded log handler under a flood and with a stopped reader."""

import logging
import os
import sys

from hibiscustiller.utils import BoundedHandler
from hibiscustiller.utils._testing import collect_tests


class HandlerHarness:
    """A handler that writes to a pipe, with a manually set clock."""

    def __init__(self):
        self.now = 0.0
        reader, writer = os.pipe()
        self.reader = os.fdopen(reader, "rb", buffering=0)
        self.writer = os.fdopen(writer, "w")
        self.handler = BoundedHandler(self.writer, lambda: self.now)
        self.handler.setFormatter(logging.Formatter("%(message)s"))

    def log(self, message, level=logging.INFO):
        record = logging.LogRecord("x", level, "", 0, message, (), None)
        self.handler.emit(record)

    def read_lines(self):
        os.set_blocking(self.reader.fileno(), False)
        data = b""
        while chunk := self.reader.read(65536):
            data += chunk
        return data.decode().splitlines()

    def close(self):
        self.reader.close()
        self.writer.close()


def test_flood_is_rate_limited_and_dropped_lines_are_counted():
    """Guards against a flood of log lines that takes processor time from requests."""
    harness = HandlerHarness()
    for number in range(1000):
        harness.log(f"line {number}")
    lines = harness.read_lines()
    assert 500 <= len(lines) <= 700
    harness.log("warned", logging.WARNING)
    harness.now += 1.0
    harness.log("later")
    later_lines = harness.read_lines()
    harness.close()
    assert later_lines[0].startswith("event=lines_left_out count=")
    assert later_lines[1:] == ["warned", "later"]


def test_stopped_reader_does_not_block_logging():
    """Guards against a request that blocks on a full log pipe."""
    harness = HandlerHarness()
    for _ in range(100):
        harness.log("x" * 3000)
    assert len(harness.read_lines()) < 100
    harness.log("after")
    lines = harness.read_lines()
    harness.close()
    assert "lines_left_out" in lines[0]
    assert lines[-1] == "after"


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
