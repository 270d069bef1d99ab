"""Processes that run until they are told to end."""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable, Callable

from hibiscustiller.serving import Router
from hibiscustiller.settings import Settings
from hibiscustiller.utils import (
    Metrics,
    SignalReceiver,
    SystemClock,
    configure_logging,
    make_metrics,
)


async def run_router(settings: Settings) -> None:
    """Run one router until SIGTERM or SIGINT.

    :param settings: the daemon's settings.
    """
    configure_logging(settings.router.log_level)
    router = Router(settings, SystemClock(), random.Random(), _make_metrics(settings))
    await run_until_signal(router.start, router.stop)


async def run_until_signal(
    start: Callable[[], Awaitable[None]], stop: Callable[[], Awaitable[None]]
) -> None:
    """Start something, wait for a signal to end, and stop it.

    Signals during the shutdown change nothing.

    :param start: called first.
    :param stop: called once, after the first SIGTERM or SIGINT.
    """
    signals = SignalReceiver([signal.SIGTERM, signal.SIGINT])
    await start()
    await signals.receive()
    await stop()
    await signals.close()


def _make_metrics(settings: Settings) -> Metrics:
    address = settings.metrics.statsd
    if address is None:
        return Metrics()
    return make_metrics(address.host, address.port, settings.metrics.prefix)
