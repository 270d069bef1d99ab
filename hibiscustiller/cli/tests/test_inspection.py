"""Commands for engineers on call."""

import sys
import tempfile
from pathlib import Path

from click.testing import CliRunner

from hibiscustiller.cli import main
from hibiscustiller.platform.tests.test_decoding import SETTINGS
from hibiscustiller.utils._testing import collect_tests


def run(*arguments):
    return CliRunner().invoke(main, [str(argument) for argument in arguments])


def test_host_settings_are_checked():
    """Guards against a daemon that is found to be misconfigured at its start."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.toml"
        path.write_text(SETTINGS)
        good = run("check-host-settings", path)
        assert good.exit_code == 0
        assert "edge-1" in good.output
        path.write_text("node_name = ")
        bad = run("check-host-settings", path)
        assert bad.exit_code == 2
        assert "not valid TOML" in bad.output
        missing = run("check-host-settings", Path(folder) / "other.toml")
        assert missing.exit_code == 2


def test_trace_orders_one_requests_lines_of_several_logs():
    """Guards against a request whose way cannot be followed over two daemons."""
    with tempfile.TemporaryDirectory() as folder:
        first, second = Path(folder) / "a.log", Path(folder) / "b.log"
        first.write_text(
            "time=2026-02-28T02:01:09 event=stream_attempt request=r1 outcome=broken\n"
            "time=2026-02-28T02:01:07 event=other request=r10\n"
        )
        second.write_text(
            "edge-2 time=2026-02-28T02:01:08 event=request_refused request=r1\n"
        )
        found = run("trace", "r1", first, second)
        lines = found.output.splitlines()
        assert [line.split("event=")[1].split()[0] for line in lines] == [
            "request_refused",
            "stream_attempt",
        ]
        assert run("trace", "nobody", first).exit_code == 1


def test_state_of_a_daemon_that_is_not_there():
    """Guards against a stack trace where a clear message is due."""
    assert "gives no answer" in run("state", "127.0.0.1:1").output
    assert "accepted is IP:PORT" in run("state", "nowhere").output


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
