"""Signals to a process of the daemon that follow one another within milliseconds.

Run as a program, the module sends a given number of pairs:
``python -m hibiscustiller.ingress.tests.test_signals PAIRS [SEED]``.
"""

import contextlib
import os
import random
import signal
import sys
import tempfile
import time

import curio

from hibiscustiller.ingress.tests.fixtures import exchange
from hibiscustiller.ingress.tests.soak.processes import send_series, wait_for_gap
from hibiscustiller.ingress.tests.soak.site import (
    GRACE_S,
    Deployment,
    make_versioned_document,
    wait_for_port,
)
from hibiscustiller.utils._testing import collect_tests

_SEED = 44
_CALLERS = 4
_SHORT_GRACE_S = 1.0
# Beyond the grace time, since the machine may be busy.
_EXIT_SLACK_S = 1.5
# A daemon that lives answers its readiness probe within a fraction of this time.
_READY_TIME_LIMIT_S = 5.0
_PAIRS = 2000
_PAIRS_PER_PROBE = 100
_FLOOD_SIGNALS = 4000
# Long enough for some thousand pairs of signals.
_STANDIN_LENGTH_S = 4.0
# The longest time in which the pairs are sent, in seconds.
_PAIRS_LENGTH_S = 12.0
# Signals of a process that ends: after the last SIGTERM or SIGINT of a series it exits.
_ENDING_SERIES = (
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
    (signal.SIGINT, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGINT),
    (*[signal.SIGHUP] * 12, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)


class _Site:
    """A daemon with a store and a plain server, and callers that load it."""

    def __init__(self, directory):
        self.deployment = Deployment(directory)
        self.daemon = self.deployment.daemons[0]
        self.front = self.deployment.front_addresses[0]
        self.settings_path = self.deployment.directory / f"{self.daemon.name}.toml"
        text = self.settings_path.read_text()
        self._settings_text = text.replace(
            f"grace_s = {GRACE_S}", f"grace_s = {_SHORT_GRACE_S}"
        )
        self.restore_settings()
        self._log_position = 0
        self.served_count = 0
        self._callers = []

    async def start(self):
        deployment = self.deployment
        deployment.store.start()
        await wait_for_port(deployment.store_port)
        await deployment.write_document(deployment.document)
        await deployment.proxies_by_server["p0"].start()
        await deployment.store_proxies_by_daemon[self.daemon.name].start()
        deployment.servers_by_id["p0"].start()
        await self.start_daemon()
        for _ in range(_CALLERS):
            self._callers.append(await curio.spawn(self._call, daemon=True))
        async with curio.timeout_after(_READY_TIME_LIMIT_S):
            while not self.served_count:
                await curio.sleep(0.05)

    async def start_daemon(self):
        self.daemon.start()
        await wait_for_port(self.front.port)

    async def stop(self):
        for caller in self._callers:
            await caller.cancel()
        await self.deployment.stop()

    async def _call(self):
        """Send requests while the daemon can be reached."""
        number = 0
        while True:
            await curio.sleep(0.005)
            # The daemon may be down, or hang.
            with contextlib.suppress(OSError, curio.TaskTimeout):
                sock = await curio.open_connection(self.front.host, self.front.port)
                async with sock:
                    number += 1
                    answer = await exchange(
                        sock,
                        "/stock/1",
                        method="GET",
                        body=b"",
                        request_id=f"stock-{id(sock)}-{number}",
                        time_limit_s=1.0,
                    )
                    self.served_count += answer.status == 200

    async def check_alive(self, cause):
        """Check that the daemon serves a request within the time limit."""
        served_count = self.served_count
        deadline = time.monotonic() + _READY_TIME_LIMIT_S
        while self.served_count == served_count:
            assert time.monotonic() < deadline, f"the daemon hangs after {cause}"
            assert self.daemon.is_running, f"the daemon ended after {cause}"
            await curio.sleep(0.005)

    def stage_settings(self, number):
        """Write settings with an invalid value that the daemon logs when it reads them.

        :returns: a function that puts them in place.
        """
        path = self.settings_path.with_suffix(f".{number % 2}")
        text = self._settings_text.replace(
            "retry_budget_ratio = 0.2", f'retry_budget_ratio = "version-{number}-"'
        )
        path.write_text(text)
        return lambda: path.replace(self.settings_path)

    def restore_settings(self):
        self.settings_path.write_text(self._settings_text)

    async def wait_for_settings(self, number):
        """Wait until the daemon has logged the value of :meth:`stage_settings`."""
        deadline = time.monotonic() + _READY_TIME_LIMIT_S
        with self.daemon.log_path.open() as log:
            log.seek(self._log_position)
            text = ""
            while f"version-{number}-" not in (text := text + log.read()):
                assert time.monotonic() < deadline, f"signal {number} has no effect"
                assert self.daemon.is_running, f"the daemon ended at signal {number}"
                await curio.sleep(0.001)
            self._log_position = log.tell()

    def count_lines(self, event):
        return (
            self.deployment.directory.joinpath(f"{self.daemon.name}.log")
            .read_text()
            .count(f"event={event}")
        )


@contextlib.asynccontextmanager
async def _make_site():
    with tempfile.TemporaryDirectory() as directory:
        site = _Site(directory)
        try:
            await site.start()
            yield site
        finally:
            await site.stop()


async def _send_reloads(site, number, random_state):
    """Change the settings twice, each time with a SIGHUP, and wait for the second."""
    for put in [site.stage_settings(2 * number), site.stage_settings(2 * number + 1)]:
        put()
        site.daemon.signal(signal.SIGHUP)
        wait_for_gap(random_state)
    await site.wait_for_settings(2 * number + 1)


async def _send_pairs(site, count, length_s, random_state):
    """Send pairs of SIGHUP; each must be handled, and the daemon must serve on.

    :returns: the number of pairs sent.
    """
    end_at = time.monotonic() + length_s
    sent = 0
    for number in range(count):
        if time.monotonic() > end_at:
            break
        await _send_reloads(site, number, random_state)
        sent = number + 1
        if number % _PAIRS_PER_PROBE == _PAIRS_PER_PROBE - 1:
            await site.check_alive(f"{number + 1} pairs of signals")
    site.restore_settings()
    return sent


async def test_daemon_serves_on_after_pairs_of_signals():
    """Guards against a signal handler that waits for a lock of its own thread."""
    async with _make_site() as site:
        random_state = random.Random(_SEED)
        sent = await _send_pairs(site, _PAIRS, _PAIRS_LENGTH_S, random_state)
        await site.check_alive(f"{sent} pairs of signals")


async def test_daemon_stops_after_series_of_signals():
    """Guards against a SIGTERM that is lost or repeated beside other signals."""
    async with _make_site() as site:
        random_state = random.Random(_SEED)
        for round_number, numbers in enumerate(_ENDING_SERIES):
            if round_number:
                await site.start_daemon()
            send_series(site.daemon, numbers, random_state)
            # Signals during the stop change nothing.
            await curio.sleep(_SHORT_GRACE_S / 4)
            reloaded = site.count_lines("settings_reloaded")
            send_series(site.daemon, (signal.SIGHUP, signal.SIGTERM), random_state)
            status = await site.daemon.wait(_SHORT_GRACE_S + _EXIT_SLACK_S)
            assert status == 0, f"exit status {status} after {numbers}"
            assert site.count_lines("stopping") == round_number + 1, numbers
            assert site.count_lines("settings_reloaded") == reloaded, numbers


async def test_each_kind_of_signal_is_handled_in_a_flood():
    """Guards against a SIGHUP or SIGTERM that is lost when many signals are pending."""
    async with _make_site() as site:
        random_state = random.Random(_SEED)
        # More signals than a socket pair has room for.
        for _ in range(_FLOOD_SIGNALS):
            site.daemon.signal(signal.SIGHUP)
        send_series(site.daemon, (signal.SIGHUP, signal.SIGTERM), random_state)
        status = await site.daemon.wait(_SHORT_GRACE_S + _EXIT_SLACK_S)
        assert status == 0, f"exit status {status}"
        assert site.count_lines("settings_reloaded"), "no SIGHUP was handled"


async def test_signals_before_the_daemon_runs_are_handled():
    """Guards against a signal that is lost or ends the process while it starts."""
    for numbers in (
        [signal.SIGHUP] * 3,
        [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM],
    ):
        async with _make_site() as site:
            await site.daemon.kill()
            started = site.count_lines("started")
            text = site.settings_path.read_text()
            site.settings_path.unlink()
            # The daemon waits in the middle of its start for a writer of the pipe.
            os.mkfifo(site.settings_path)
            site.daemon.start()
            pipe = await _open_for_writing(site.settings_path)
            send_series(site.daemon, numbers, random.Random(_SEED))
            await curio.sleep(0.1)
            assert site.daemon.is_running, f"a signal ended the process: {numbers}"
            # A SIGHUP reads the settings again.
            site.settings_path.unlink()
            site.settings_path.write_text(text)
            with open(pipe, "w") as file:
                file.write(text)
            if signal.SIGTERM in numbers:
                status = await site.daemon.wait(_READY_TIME_LIMIT_S)
                assert status == 0, f"exit status {status} after {numbers}"
                assert site.count_lines("stopping") == 1
            else:
                await site.check_alive("signals before its start")
            assert site.count_lines("started") == started + 1
            assert site.count_lines("settings_reloaded") == 1


async def test_a_reload_while_packages_are_imported_does_not_end_the_daemon():
    """Guards against a router that is lost since its settings change as it starts."""
    async with _make_site() as site:
        await site.daemon.kill()
        site.daemon.start()
        async with curio.timeout_after(_READY_TIME_LIMIT_S):
            # Its packages import it among the first, before they are used.
            while "capnp" not in site.daemon.read_maps():
                await curio.sleep(0.001)
        site.daemon.signal(signal.SIGHUP)
        await site.check_alive("a signal while it imports packages")


async def _open_for_writing(path):
    """Open a named pipe once another process reads it; returns the descriptor."""
    async with curio.timeout_after(_READY_TIME_LIMIT_S):
        while True:
            try:
                descriptor = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                await curio.sleep(0.01)
            else:
                os.set_blocking(descriptor, True)
                return descriptor


async def test_stand_ins_serve_on_after_pairs_of_signals():
    """Guards against stand-ins that hang, and look like a fault of the daemon."""
    async with _make_site() as site:
        deployment = site.deployment
        server = deployment.servers_by_id["p0"]
        random_state = random.Random(_SEED)
        end_at = time.monotonic() + _STANDIN_LENGTH_S
        while time.monotonic() < end_at:
            send_series(server, [signal.SIGHUP] * 2, random_state)
            send_series(deployment.store, [signal.SIGUSR2] * 2, random_state)
            await curio.sleep(random_state.uniform(0.0, 0.002))
        port = deployment.proxies_by_server["p0"].port
        async with curio.timeout_after(_READY_TIME_LIMIT_S):
            await deployment.write_document(make_versioned_document(2))
            sock = await curio.open_connection("127.0.0.1", port)
            async with sock:
                answer = await exchange(
                    sock, "/stock/1", method="GET", body=b"", request_id="last"
                )
        assert answer.is_complete
        # The signals have taken effect.
        assert await deployment.wait_until_removed("p0")
        assert site.count_lines("store_restored")


async def _run_by_hand(count, seed):
    started_at = time.monotonic()
    async with _make_site() as site:
        sent = await _send_pairs(site, count, float("inf"), random.Random(seed))
        send_series(site.daemon, (signal.SIGHUP, signal.SIGTERM), random.Random(seed))
        status = await site.daemon.wait(_SHORT_GRACE_S + _EXIT_SLACK_S)
        reloads = site.count_lines("settings_unreadable")
    took = time.monotonic() - started_at
    print(f"{sent} pairs, {reloads} reloads, exit status {status}, {took:.0f} s")


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])


if __name__ == "__main__":
    curio.run(
        _run_by_hand, int(sys.argv[1]), int(sys.argv[2]) if sys.argv[2:] else _SEED
    )
