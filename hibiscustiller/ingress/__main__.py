"""Entry point of the daemon, run as ``python -m hibiscustiller.ingress``.

It is separate from the command line interface, which would take twice the memory.
"""

from __future__ import annotations

import random
import signal
import sys
from pathlib import Path

import click
import curio

from hibiscustiller.exceptions import SettingsError
from hibiscustiller.ingress._exposition import ExposedMetrics
from hibiscustiller.ingress._gateway import Gateway
from hibiscustiller.platform import find_host_settings, load_host_settings
from hibiscustiller.utils import (
    BoundedHandler,
    SystemClock,
    configure_logging,
    log_event,
)

_INVALID_SETTINGS_EXIT_CODE = 2


async def run_gateway(path: Path, inspection_port: int) -> None:
    """Run one daemon until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    settings = load_host_settings(path)
    gateway = Gateway(
        settings, SystemClock(), random.Random(), ExposedMetrics(), inspection_port
    )
    signal_event = curio.UniversalEvent()
    received_signals: set[int] = set()

    def record_signal(number: int, frame: object) -> None:
        received_signals.add(number)
        signal_event.set()

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, record_signal)
    await gateway.start()
    while not received_signals & {signal.SIGTERM, signal.SIGINT}:
        await signal_event.wait()
        signal_event.clear()
        if signal.SIGHUP in received_signals:
            received_signals.discard(signal.SIGHUP)
            _reload(gateway, path)
    await gateway.stop()


def _reload(gateway: Gateway, path: Path) -> None:
    try:
        gateway.reload(load_host_settings(path))
    except SettingsError as error:
        log_event("settings_unreadable", level="error", reason=error)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    help="Settings file; the platform's by default.",
)
@click.option(
    "--inspection-port",
    type=click.IntRange(0, 65535),
    default=0,
    show_default=True,
    help="Port of /metrics and /state; 0 for any free one.",
)
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
)
def main(path: Path | None, inspection_port: int, log_level: str) -> None:
    """Run the router on the platform until SIGTERM."""
    configure_logging(log_level, BoundedHandler(sys.stdout))
    try:
        curio.run(run_gateway, path or find_host_settings(), inspection_port)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(problem, err=True)
        sys.exit(_INVALID_SETTINGS_EXIT_CODE)


if __name__ == "__main__":
    main()
