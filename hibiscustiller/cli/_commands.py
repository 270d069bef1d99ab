"""The command line."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import curio

from hibiscustiller.cli._daemon import run_router
from hibiscustiller.cli._document_check import check_document
from hibiscustiller.cli._inspection import INSPECTION_COMMANDS
from hibiscustiller.cli._operators import OPERATOR_COMMANDS
from hibiscustiller.cli._standins import standin
from hibiscustiller.exceptions import SettingsError
from hibiscustiller.settings import Settings, load_settings

_EXIT_BAD_SETTINGS = 2
_EXIT_CANNOT_START = 1
_SETTINGS_PATH = click.Path(path_type=Path)


@click.group()
def main() -> None:
    """Router for language-model pipelines over mixed accelerators."""


main.add_command(standin)


@main.command("check-settings")
@click.argument("path", type=_SETTINGS_PATH)
def check_settings(path: Path) -> None:
    """Check a settings file without starting anything."""
    settings = _load_or_exit(path)
    click.echo(f"{path}: settings of router {settings.router.id} are valid")


@main.command()
@click.option(
    "--settings", "path", type=_SETTINGS_PATH, required=True, help="Settings file."
)
def router(path: Path) -> None:
    """Run one router until SIGTERM."""
    settings = _load_or_exit(path)
    try:
        curio.run(run_router, settings)
    except OSError as error:
        click.echo(f"{path}: the router cannot start: {error}", err=True)
        sys.exit(_EXIT_CANNOT_START)


@main.command()
def demo() -> None:
    """Run stand-ins, a router and real requests in this process."""
    from hibiscustiller.cli._demo import run_demo

    sys.exit(0 if curio.run(run_demo) else 1)


for _command in (*OPERATOR_COMMANDS, *INSPECTION_COMMANDS, check_document):
    main.add_command(_command)


def _load_or_exit(path: Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(problem, err=True)
        sys.exit(_EXIT_BAD_SETTINGS)
