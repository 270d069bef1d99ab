"""Programs that a soak test starts, and signals only by their process ids."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import curio

_POLL_S = 0.02
# Longest gap between the signals of a series, in seconds.
_MAX_GAP_S = 0.004
# Smallest gap that is drawn besides none. A process needs longer to handle a signal.
_MIN_GAP_S = 0.00001
_NO_GAP_SHARE = 0.1


class Program:
    """A program that can be killed, paused and restarted.

    :param name: name of the program and of its log file.
    :param arguments: command-line arguments of the Python interpreter.
    :param directory: directory of the log file.
    """

    def __init__(self, name, arguments, directory):
        self.name = name
        self._arguments = arguments
        self.log_path = Path(directory) / f"{name}.log"
        self._process = None
        self.is_paused = False
        # Number of processes started so far. A process does not keep the state of the
        # previous one.
        self.incarnation = 0

    @property
    def is_running(self):
        """Whether the process runs, paused or not."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self):
        """Id of the process that was started last."""
        return self._process.pid

    def start(self):
        """Start a new process."""
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
        """Send a signal to the process if it runs."""
        if self.is_running:
            self._process.send_signal(number)

    def pause(self):
        """Suspend the process until it is resumed."""
        self.is_paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resume the process."""
        self.signal(signal.SIGCONT)
        self.is_paused = False

    async def wait(self, time_limit_s):
        """Wait until the process exits.

        :returns: the exit status; None if it still runs.
        """
        deadline = time.monotonic() + time_limit_s
        while self.is_running and time.monotonic() < deadline:
            await curio.sleep(_POLL_S)
        return self._process.poll()

    async def kill(self):
        """Kill the process and wait until it has exited."""
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.wait(5)

    def read_maps(self):
        """Return the list of files that the process has mapped, as the kernel has it.

        It is empty if the process does not run.
        """
        if not self.is_running:
            return ""
        return Path(f"/proc/{self._process.pid}/maps").read_text()

    def read_memory_mb(self):
        """Return the resident memory in MB; None if the process does not run."""
        if not self.is_running:
            return None
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return None


def send_series(program, numbers, random_state):
    """Send signals to a program, 0 to 4 ms apart."""
    for position, number in enumerate(numbers):
        if position:
            wait_for_gap(random_state)
        program.signal(number)


def wait_for_gap(random_state):
    """Wait 0 to 4 ms. Short gaps are as likely as long ones.

    It does not sleep, since that takes longer than the shortest gaps.
    """
    gap_s = _MIN_GAP_S * (_MAX_GAP_S / _MIN_GAP_S) ** random_state.random()
    if random_state.random() < _NO_GAP_SHARE:
        gap_s = 0.0
    end_at = time.monotonic() + gap_s
    while time.monotonic() < end_at:
        pass
