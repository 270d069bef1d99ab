"""Commands for engineers on call: settings, a daemon's beliefs, a request's lines."""

from __future__ import annotations

import re
import sys
from datetime import timedelta
from pathlib import Path
from typing import TextIO

import click
import curio

from hibiscustiller.cli._arguments import AddressType
from hibiscustiller.exceptions import SettingsError, TransportError
from hibiscustiller.platform import load_host_settings
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock
from hibiscustiller.wire import HttpAnswer, HttpClient

_EXIT_BAD_SETTINGS = 2
_EXIT_NO_ANSWER = 1
_TIMEOUT = timedelta(seconds=3)
_PATH = click.Path(path_type=Path)
_TIME = re.compile(r"time=(\S+)")
_REQUEST = re.compile(r"request=(\S+)")
# Logs that a collector has prefixed with a host's name still show their time.
_NO_TIME = ""


@click.command("check-host-settings")
@click.argument("path", type=_PATH)
def check_host_settings(path: Path) -> None:
    """Check a host's settings file of the platform without starting anything."""
    try:
        settings = load_host_settings(path)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(problem, err=True)
        sys.exit(_EXIT_BAD_SETTINGS)
    click.echo(f"{path}: settings of router {settings.router_id} are valid")


@click.command()
@click.argument("address", type=AddressType())
def state(address: Address) -> None:
    """Show what a running daemon believes, as JSON.

    ADDRESS is its inspection address, IP:PORT.
    """
    try:
        answer = curio.run(_fetch, address, "/state")
    except TransportError as error:
        click.echo(f"{address} gives no answer: {error}", err=True)
        sys.exit(_EXIT_NO_ANSWER)
    click.echo(answer.body.decode())


@click.command()
@click.argument("request_id")
@click.argument("logs", type=click.File(), nargs=-1, required=True)
def trace(request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Show the lines of one request from the logs of several daemons, by time."""
    lines = [
        (_find_time(line), line.rstrip("\n"))
        for log in logs
        for line in log
        if _is_about(line, request_id)
    ]
    for _, line in sorted(lines):
        click.echo(line)
    if not lines:
        click.echo(f"no line is about request {request_id}", err=True)
        sys.exit(_EXIT_NO_ANSWER)


def _is_about(line: str, request_id: str) -> bool:
    found = _REQUEST.search(line)
    return found is not None and found[1] == request_id


def _find_time(line: str) -> str:
    found = _TIME.search(line)
    return found[1] if found else _NO_TIME


async def _fetch(address: Address, target: str) -> HttpAnswer:
    client = HttpClient(SystemClock())
    try:
        return await client.request(address, "GET", target, timeout=_TIMEOUT)
    finally:
        await client.close()


INSPECTION_COMMANDS = (check_host_settings, state, trace)
