"""Servers that flood their callers, as processes."""

import subprocess
import sys
import time
from contextlib import contextmanager

import curio

from hibiscustiller.settings import Address

# Other tasks get a turn within a few milliseconds; a loaded machine takes longer.
MAX_PAUSE_S = 0.25
_PROBE_PERIOD_S = 0.002


@contextmanager
def flooding_server(flood):
    """Run a server that answers each request with a flood.

    :param flood: what it sends, a ``Flood``.
    :returns: its address.
    """
    command = [sys.executable, "-m", "hibiscustiller.standins", "flood", flood.value]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            yield Address("127.0.0.1", int(process.stdout.readline()))
        finally:
            process.kill()


async def measure_pause(task, time_limit_s):
    """Return the longest time for which other tasks wait until one has ended.

    :raises AssertionError: if it has not ended after ``time_limit_s`` seconds.
    """
    started_at = time.monotonic()
    longest_s = 0.0
    while not task.terminated:
        before = time.monotonic()
        await curio.sleep(_PROBE_PERIOD_S)
        now = time.monotonic()
        longest_s = max(longest_s, now - before)
        assert now - started_at < time_limit_s, "held"
    return longest_s
