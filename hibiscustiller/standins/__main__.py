"""Runs one of the platform's stand-ins: ``python -m hibiscustiller.standins``."""

from __future__ import annotations

from pathlib import Path

import click
import curio

from hibiscustiller.settings import Address, parse_address
from hibiscustiller.standins._flooding_server import Flood, run_flooding_server
from hibiscustiller.standins._programs import (
    run_engine,
    run_metadata_store,
    run_plain_server,
)
from hibiscustiller.utils import configure_logging


class _AddressType(click.ParamType):
    name = "address"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        try:
            return parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


_ADDRESS = _AddressType()
_PORT = click.IntRange(1, 65535)


@click.group()
def main() -> None:
    """Run a stand-in of the platform until it is killed."""
    configure_logging()


@main.command()
@click.option("--port", type=_PORT, required=True)
def store(port: int) -> None:
    """Run a metadata store; SIGUSR1 drops its history."""
    curio.run(run_metadata_store, port)


@main.command()
@click.argument("server_id")
@click.option("--port", type=_PORT, required=True)
@click.option("--public", type=_ADDRESS, required=True, help="Where others reach it.")
@click.option("--store", "store_address", type=_ADDRESS, required=True)
@click.option("--domain", default="north", show_default=True)
@click.option("--kind", default="large", show_default=True)
@click.option("--record", type=click.Path(path_type=Path), required=True)
def engine(
    server_id: str,
    port: int,
    public: Address,
    store_address: Address,
    domain: str,
    kind: str,
    record: Path,
) -> None:
    """Run an engine that begins without layers."""
    curio.run(run_engine, server_id, port, public, store_address, domain, kind, record)


@main.command()
@click.argument("server_id")
@click.option("--port", type=_PORT, required=True)
@click.option("--public", type=_ADDRESS, required=True, help="Where others reach it.")
@click.option("--store", "store_address", type=_ADDRESS, required=True)
@click.option("--record", type=click.Path(path_type=Path), required=True)
def plain(
    server_id: str, port: int, public: Address, store_address: Address, record: Path
) -> None:
    """Run a server of the plain service."""
    curio.run(run_plain_server, server_id, port, public, store_address, record)


@main.command()
@click.argument("kind", type=click.Choice([flood.value for flood in Flood]))
def flood(kind: str) -> None:
    """Run a server whose answers do not end, on a port that it prints."""
    run_flooding_server(Flood(kind))


if __name__ == "__main__":
    main()
