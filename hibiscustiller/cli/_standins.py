"""Commands that run stand-ins as processes, for trials and benchmarks.

The stand-ins are imported inside the commands, so that a router, which shares this
command line, does not hold their code in memory.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import click
import curio

from hibiscustiller.cli._daemon import run_until_signal
from hibiscustiller.settings import Address, parse_address, parse_duration
from hibiscustiller.utils import SystemClock, configure_logging


class AddressType(click.ParamType):
    """An IP number and port."""

    name = "ip:port"

    def convert(self, value: Any, param: Any, context: Any) -> Address:
        """Parse the option's text."""
        return _convert(self, parse_address, value, param, context)


class DurationType(click.ParamType):
    """A duration with its unit."""

    name = "duration"

    def convert(self, value: Any, param: Any, context: Any) -> timedelta:
        """Parse the option's text."""
        return _convert(self, parse_duration, value, param, context)


def _convert(
    kind: click.ParamType,
    parse: Callable[[str], Any],
    value: Any,
    param: Any,
    context: Any,
) -> Any:
    if not isinstance(value, str):
        return value
    try:
        return parse(value)
    except ValueError as error:
        kind.fail(f"{value!r}: {error}", param, context)


_ADDRESS = click.option(
    "--address", type=AddressType(), required=True, help="Where to listen."
)
_TOKEN_TIME = click.option(
    "--token-time",
    type=DurationType(),
    default=timedelta(milliseconds=2),
    help="Time a token when lightly loaded; 2ms by default.",
)
_STREAMS = click.option(
    "--streams", default=16, show_default=True, help="Streams at once."
)


@click.group()
def standin() -> None:
    """Run a small stand-in for an outside system."""
    configure_logging()


@standin.command()
@_ADDRESS
def platform(address: Address) -> None:
    """Run the key-value service and the host list."""
    from hibiscustiller.standins import PlatformStandin

    _run(PlatformStandin(address, SystemClock()))


@standin.command()
@_ADDRESS
@click.option("--stock", default=1000, show_default=True, help="Units in stock.")
def booking(address: Address, stock: int) -> None:
    """Run a booking service."""
    from hibiscustiller.standins import BookingStandin

    _run(BookingStandin(address, SystemClock(), stock))


@standin.command()
@_ADDRESS
@click.option("--server-id", required=True, help="Name in the document.")
@click.option("--model", required=True, help="Model that it holds.")
@click.option("--first-layer", type=int, required=True, help="First layer held.")
@click.option("--last-layer", type=int, required=True, help="Layer after the last.")
@_TOKEN_TIME
@_STREAMS
def engine(address: Address, **options: Any) -> None:
    """Run a model engine that holds a range of layers."""
    from hibiscustiller.standins import EngineOptions, EngineStandin

    _run(EngineStandin(EngineOptions(**options), address, SystemClock()))


@standin.command()
@click.option("--replicas", default=3, show_default=True, help="Replicas of the model.")
@click.option(
    "--platform-address",
    type=AddressType(),
    default="127.0.0.1:7100",
    show_default=True,
    help="Where the platform's stand-in listens.",
)
@click.option(
    "--document",
    type=click.Path(path_type=Path),
    required=True,
    help="Where to write the operators' document that describes the fleet.",
)
@_TOKEN_TIME
@_STREAMS
def fleet(
    replicas: int,
    platform_address: Address,
    document: Path,
    token_time: timedelta,
    streams: int,
) -> None:
    """Run a platform, engines and booking services in one process."""
    from hibiscustiller.standins import start_fleet

    started = []

    async def start() -> None:
        made = await start_fleet(
            SystemClock(), replicas, token_time, streams, platform_address
        )
        started.append(made)
        document.write_text(made.document, encoding="utf-8")
        click.echo(f"platform at {made.platform.address}; document in {document}")

    async def stop() -> None:
        await started[0].close()

    _run_until_signal(start, stop)


def _run(service: Any) -> None:
    start: Callable[[], Awaitable[None]] = service.start

    async def start_and_tell() -> None:
        await start()
        click.echo(f"listening at {service.address}")

    _run_until_signal(start_and_tell, service.close)


def _run_until_signal(
    start: Callable[[], Awaitable[None]], stop: Callable[[], Awaitable[None]]
) -> None:
    try:
        curio.run(run_until_signal, start, stop)
    except OSError as error:
        raise click.ClickException(f"cannot start: {error}") from error
