"""Log lines under a flood, and with a reader that stops."""

import logging
import os
import sys

from hibiscustiller.utils import BoundedHandler
from hibiscustiller.utils._testing import collect_tests


class Bench:
    """A handler on a pipe, with a clock that stands still until told."""

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


def test_flood_is_bounded_and_what_is_left_out_is_told():
    """Guards against logs that take the processor from the requests."""
    bench = Bench()
    for number in range(1000):
        bench.log(f"line {number}")
    lines = bench.read_lines()
    assert 500 <= len(lines) <= 700
    bench.log("warned", logging.WARNING)
    bench.now += 1.0
    bench.log("later")
    after = bench.read_lines()
    bench.close()
    assert after[0].startswith("event=lines_left_out count=")
    assert after[1:] == ["warned", "later"]


def test_stopped_reader_delays_nobody():
    """Guards against a request that waits for a full pipe."""
    bench = Bench()
    for _ in range(100):
        bench.log("x" * 3000)
    assert len(bench.read_lines()) < 100
    bench.log("after")
    lines = bench.read_lines()
    bench.close()
    assert "lines_left_out" in lines[0]
    assert lines[-1] == "after"


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
