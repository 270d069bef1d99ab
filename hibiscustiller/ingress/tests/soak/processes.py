"""Programs that a soak starts, and ends by their ids only."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import curio

_POLL_S = 0.02


class Program:
    """A program that can be killed, paused and started again.

    :param name: also names the file of its output.
    :param arguments: what follows the interpreter.
    :param directory: where its output goes.
    """

    def __init__(self, name, arguments, directory):
        self.name = name
        self._arguments = arguments
        self.log_path = Path(directory) / f"{name}.log"
        self._process = None
        self.is_paused = False
        # Counts the processes; what one knew is lost to the next.
        self.incarnation = 0

    @property
    def is_running(self):
        """Whether its process has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self):
        """Start a process."""
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
            )
        self.incarnation += 1
        self.is_paused = False

    def signal(self, number):
        """Send a signal to its process."""
        if self.is_running:
            self._process.send_signal(number)

    def pause(self):
        """Stop its process for a while."""
        self.is_paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Let it go on."""
        self.signal(signal.SIGCONT)
        self.is_paused = False

    async def wait(self, time_limit_s):
        """Wait for the end of its process.

        :returns: the exit status; None if it still runs.
        """
        due = time.monotonic() + time_limit_s
        while self.is_running and time.monotonic() < due:
            await curio.sleep(_POLL_S)
        return self._process.poll()

    async def kill(self):
        """End its process at once."""
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.wait(5)

    def read_memory_mb(self):
        """Return the memory in use; None if there is no process."""
        if not self.is_running:
            return None
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return None
