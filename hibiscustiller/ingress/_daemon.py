"""The daemon: a router that runs until it is told to end."""

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
    SignalReceiver,
    SystemClock,
    configure_logging,
    log_event,
)

_INVALID_SETTINGS_EXIT_CODE = 2
_ENDING_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


async def run_gateway(
    path: Path, inspection_port: int, signals: SignalReceiver
) -> None:
    """Run one daemon until SIGTERM or SIGINT; SIGHUP reloads the settings.

    Signals during the shutdown change nothing.

    :param path: the settings file.
    :param signals: receives the signals, also those that arrive before the start.
    """
    settings = load_host_settings(path)
    gateway = Gateway(
        settings, SystemClock(), random.Random(), ExposedMetrics(), inspection_port
    )
    await gateway.start()
    received: frozenset[signal.Signals] = frozenset()
    while not received & _ENDING_SIGNALS:
        received = await signals.receive()
        if signal.SIGHUP in received:
            _reload(gateway, path)
    await gateway.stop()
    await signals.close()


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
    signals = SignalReceiver([*_ENDING_SIGNALS, signal.SIGHUP])
    configure_logging(log_level, BoundedHandler(sys.stdout))
    try:
        curio.run(run_gateway, path or find_host_settings(), inspection_port, signals)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(problem, err=True)
        sys.exit(_INVALID_SETTINGS_EXIT_CODE)
