"""Commands for operators, who talk to a router's administration API."""

from __future__ import annotations

import json
import os
import sys
import time
import uuid
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

import click
import curio

from hibiscustiller.cli._arguments import AddressType
from hibiscustiller.configuration import (
    Difference,
    Sections,
    compute_difference,
    parse_sections,
)
from hibiscustiller.exceptions import SettingsError, TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock, Verdict
from hibiscustiller.wire import HttpAnswer, HttpClient

KEY_VARIABLE = "HIBISCUSTILLER_KEY"
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5
_TIMEOUT = timedelta(seconds=30)
_ATTEMPTS = 4
_LONGEST_PAUSE = timedelta(seconds=5)
_OK = 200
_CELL_WIDTH = 60
# Sections of one change in the table of changes; a first document has hundreds.
_MAX_SHOWN_SECTIONS = 3


@dataclass(frozen=True)
class _Target:
    addresses: tuple[Address, ...]
    key: str


_address_option = click.option(
    "--address",
    "addresses",
    type=AddressType(),
    multiple=True,
    required=True,
    help="Administration address of a router; repeat it to name others to try.",
)
_json_option = click.option("--json", "is_json", is_flag=True, help="Print JSON.")


@click.command("document")
@_address_option
@click.option("--section", help="Print only this section, such as 'class quotes'.")
def print_document(addresses: tuple[Address, ...], section: str | None) -> None:
    """Print the document in force as INI text."""
    target = _make_target(addresses)
    if section is None:
        click.echo(_fetch(target, "/admin/document")["document"], nl=False)
        return
    answer = _fetch(target, f"/admin/sections/{quote(section)}")
    click.echo(f"[{answer['heading']}]")
    for key, value in sorted(answer["values"].items()):
        click.echo(f"{key} = {value}")


@click.command("propose")
@_address_option
@click.argument("edits", nargs=-1)
@click.option("--section", help="Heading of the section that EDITS change.")
@click.option("--remove", "removed", multiple=True, help="Key to remove from it.")
@click.option("--delete", "deleted", multiple=True, help="Heading to delete.")
@click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path),
    help="INI file with sections and keys to set.",
)
@click.option("--whole", is_flag=True, help="The file is the whole document.")
@click.option("--check-only", is_flag=True, help="Check without applying.")
@click.option("--proposal-id", help="Id of an earlier proposal, to repeat it.")
@click.option("--base-revision", type=int, help="Revision that the edits are based on.")
def propose(
    addresses: tuple[Address, ...],
    edits: tuple[str, ...],
    section: str | None,
    removed: tuple[str, ...],
    deleted: tuple[str, ...],
    path: Path | None,
    whole: bool,
    check_only: bool,
    proposal_id: str | None,
    base_revision: int | None,
) -> None:
    """Change the document: EDITS are key=value pairs of --section.

    The base revision is read first. After a lost answer the same proposal is sent
    again; it is never applied twice.
    """
    target = _make_target(addresses)
    base, old = _read_base(target, base_revision, whole)
    difference = _read_edits(edits, section, removed, deleted)
    if path is not None:
        difference.update(_read_file(path, old if whole else None))
    if not difference:
        _fail("nothing to change: give EDITS, --remove, --delete or --file", EXIT_USAGE)
    body = {
        "proposal_id": proposal_id or str(uuid.uuid4()),
        "base_revision": base,
        "changes": difference,
        "check_only": check_only,
    }
    _report_proposal(body, _send_until_known(target, body))


@click.command("changes")
@_address_option
@click.option("--section", help="Only changes of this section.")
@click.option("--outcome", type=click.Choice(["all", "accepted", "refused"]))
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option("--hours", type=click.IntRange(1, 168), default=24, show_default=True)
@_json_option
def print_changes(
    addresses: tuple[Address, ...],
    section: str | None,
    outcome: str | None,
    limit: int,
    hours: int,
    is_json: bool,
) -> None:
    """Print the audit trail, newest first; HOURS bounds the refused changes."""
    query = {"limit": limit, "hours": hours, "outcome": outcome or "all"}
    if section is not None:
        query["section"] = section
    answer = _fetch(_make_target(addresses), f"/admin/changes?{urlencode(query)}")
    if is_json:
        click.echo(json.dumps(answer, indent=2))
        return
    rows = [
        (
            item["at"],
            item["team"],
            str(item["to_revision"] or f"({item['from_revision']})"),
            item["reason"] or item["outcome"],
            _summarise(item["difference"]),
        )
        for item in answer["changes"]
    ]
    _print_table(("time", "team", "revision", "outcome", "difference"), rows)


@click.command("report")
@_address_option
@_json_option
def print_report(addresses: tuple[Address, ...], is_json: bool) -> None:
    """Print what a router reports about the fleet and itself."""
    report = _fetch(_make_target(addresses), "/admin/report")
    if is_json:
        click.echo(json.dumps(report, indent=2))
        return
    for name, part in report.items():
        click.echo(f"{name}")
        _print_part(part)


@click.command("in-force")
@_address_option
@_json_option
def print_in_force(addresses: tuple[Address, ...], is_json: bool) -> None:
    """Print the revision in force and the age of its confirmation."""
    answer = _fetch(_make_target(addresses), "/admin/in-force")
    if is_json:
        click.echo(json.dumps(answer, indent=2))
        return
    _print_part(answer)


OPERATOR_COMMANDS = (
    print_document,
    propose,
    print_changes,
    print_report,
    print_in_force,
)


def _make_target(addresses: tuple[Address, ...]) -> _Target:
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        _fail(f"the environment variable {KEY_VARIABLE} is not set", EXIT_USAGE)
    return _Target(addresses, key)


def _read_base(
    target: _Target, base_revision: int | None, needs_document: bool
) -> tuple[int, Sections]:
    if base_revision == 0:
        # There is no document and no team yet that could read anything.
        return 0, {}
    if needs_document:
        answer = _fetch(target, "/admin/document")
        if base_revision not in (None, answer["revision"]):
            _fail(
                f"--whole is compared with revision {answer['revision']}, the current"
                f" one; --base-revision is {base_revision}",
                EXIT_USAGE,
            )
        return answer["revision"], parse_sections(answer["document"], "document")
    if base_revision is not None:
        return base_revision, {}
    return _fetch(target, "/admin/in-force")["revision"], {}


def _read_edits(
    edits: Sequence[str],
    section: str | None,
    removed: Iterable[str],
    deleted: Iterable[str],
) -> dict[str, dict[str, str | None] | None]:
    difference: dict[str, dict[str, str | None] | None] = dict.fromkeys(deleted)
    if section is None:
        if edits or removed:
            _fail("EDITS and --remove need --section", EXIT_USAGE)
        return difference
    values: dict[str, str | None] = dict.fromkeys(removed)
    for edit in edits:
        key, separator, value = edit.partition("=")
        if not separator or not key.strip():
            _fail(f"edit {edit!r}: accepted is key=value", EXIT_USAGE)
        values[key.strip()] = value.strip()
    difference[section] = values
    return difference


def _read_file(path: Path, whole: Sections | None) -> Difference:
    try:
        sections = parse_sections(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        _fail(f"{path}: cannot be read: {error}", EXIT_USAGE)
    sections = {
        heading: {key: _join_lines(value) for key, value in values.items()}
        for heading, values in sections.items()
    }
    return sections if whole is None else compute_difference(whole, sections)


def _join_lines(value: str) -> str:
    """Write a list that spans lines on one line, as the document holds it."""
    lines = (line.strip().rstrip(",") for line in value.splitlines())
    return ", ".join(line for line in lines if line)


def _send_until_known(target: _Target, body: Mapping[str, Any]) -> HttpAnswer | None:
    """Send a proposal until its outcome is known; None if it never is."""
    is_doubtful = False
    for attempt in range(_ATTEMPTS):
        pause = _LONGEST_PAUSE
        try:
            answer = _request(target, "POST", "/admin/proposals", body, attempt)
        except TransportError as error:
            is_doubtful = is_doubtful or error.verdict is Verdict.MAY_HAVE_RUN
            pause = timedelta(seconds=min(1, attempt * 0.2))
            click.echo(f"no answer: {error}", err=True)
        else:
            # A refusal for lack of the store says nothing of an earlier attempt.
            is_final = answer.status not in (429, 503)
            if is_final or (not is_doubtful and _read_verdict(answer) == "not-run"):
                return answer
            is_doubtful = is_doubtful or _read_verdict(answer) != "not-run"
        if attempt < _ATTEMPTS - 1:
            time.sleep(pause / timedelta(seconds=1))
    if is_doubtful:
        return None
    _fail("no router answered; nothing was applied", EXIT_UNREACHABLE)


def _report_proposal(body: Mapping[str, Any], answer: HttpAnswer | None) -> None:
    if answer is None:
        _fail(
            "the outcome is unknown: the proposal may have been applied. To find out,"
            " give the same command again with"
            f" --proposal-id {body['proposal_id']}"
            f" --base-revision {body['base_revision']}; it is never applied twice",
            EXIT_UNKNOWN,
        )
    value = _read_answer(answer)
    repeated = " (by an earlier attempt)" if value["repeated"] else ""
    if value["outcome"] == "valid":
        click.echo(f"valid at revision {value['revision']}; nothing was applied")
    else:
        click.echo(f"applied at revision {value['revision']}{repeated}")


def _fetch(target: _Target, path: str) -> Any:
    for attempt in range(len(target.addresses)):
        try:
            return _read_answer(_request(target, "GET", path, None, attempt))
        except TransportError as error:
            click.echo(f"no answer: {error}", err=True)
    _fail("no router answered", EXIT_UNREACHABLE)


def _request(
    target: _Target, method: str, path: str, body: Any, attempt: int
) -> HttpAnswer:
    address = target.addresses[attempt % len(target.addresses)]

    async def run() -> HttpAnswer:
        client = HttpClient(SystemClock())
        try:
            return await client.request(
                address,
                method,
                path,
                timeout=_TIMEOUT,
                body=b"" if body is None else json.dumps(body).encode(),
                headers={"authorization": f"Bearer {target.key}"},
            )
        finally:
            await client.close()

    return curio.run(run)


def _read_verdict(answer: HttpAnswer) -> str:
    return answer.headers_by_name.get("x-verdict", "may-have-run")


def _read_answer(answer: HttpAnswer) -> Any:
    """Return an answer's value, or end with the error that it states."""
    try:
        value = answer.read_json()
        if answer.status == _OK:
            return value
        error = value["error"]
        click.echo(f"refused: {error['reason']} ({error['verdict']})", err=True)
        problems = value.get("problems") or [error["message"]]
        for line in problems if error["reason"] != "conflict" else [error["message"]]:
            click.echo(f"  {line}", err=True)
        if "current_revision" in value:
            click.echo(f"  current revision: {value['current_revision']}", err=True)
    except (ValueError, KeyError, TypeError):
        _fail(f"answer with status {answer.status} is not understood", EXIT_REFUSED)
    sys.exit(EXIT_REFUSED)


def _fail(message: str, code: int) -> Any:
    click.echo(message, err=True)
    sys.exit(code)


def _summarise(difference: Difference) -> str:
    parts = []
    for heading, edits in difference.items():
        if edits is None:
            parts.append(f"-[{heading}]")
            continue
        pairs = ", ".join(
            f"-{key}" if value is None else f"{key}={value}"
            for key, value in edits.items()
        )
        parts.append(f"[{heading}] {pairs}".rstrip())
    hidden = len(parts) - _MAX_SHOWN_SECTIONS
    if hidden > 0:
        more = f"and {hidden} more sections (--json shows all)"
        parts = [*parts[:_MAX_SHOWN_SECTIONS], more]
    return "; ".join(parts)


def _print_part(part: Any) -> None:
    if isinstance(part, list) and part and isinstance(part[0], dict):
        headings = tuple(part[0])
        rows = [tuple(str(row.get(key, "")) for key in headings) for row in part]
        _print_table(headings, rows, "  ")
        return
    if not isinstance(part, dict):
        click.echo(f"  {part}")
        return
    if part and all(isinstance(value, dict) for value in part.values()):
        headings = tuple(dict.fromkeys(key for value in part.values() for key in value))
        rows = [
            (name, *(str(value.get(key, "")) for key in headings))
            for name, value in part.items()
        ]
        _print_table(("name", *headings), rows, "  ")
        return
    width = max((len(str(key)) for key in part), default=0)
    for key, value in part.items():
        click.echo(f"  {key!s:{width}}  {value}")


def _print_table(
    headings: tuple[str, ...], rows: Sequence[tuple[str, ...]], indent: str = ""
) -> None:
    lines = [headings, *rows]
    widths = [
        min(_CELL_WIDTH, max(len(line[column]) for line in lines))
        for column in range(len(headings) - 1)
    ]
    for line in lines:
        cells = [
            cell[:_CELL_WIDTH].ljust(width)
            for cell, width in zip(line, widths, strict=False)
        ]
        click.echo(f"{indent}{'  '.join([*cells, line[-1]])}".rstrip())
