"""Command that checks a document before it is sent."""

from __future__ import annotations

import codecs
import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn

import click

from hibiscustiller.configuration import (
    Sections,
    build_config,
    compute_difference,
    parse_sections,
    redact_difference,
)
from hibiscustiller.configuration import check_document as check_sections
from hibiscustiller.exceptions import SettingsError, WireFormatError
from hibiscustiller.fleet import (
    ChangeKind,
    DocumentChange,
    Finding,
    FleetDocument,
    HostSettings,
    Severity,
    check_fleet_document,
    check_succession,
    compare_fleet_documents,
)
from hibiscustiller.platform import inspect_fleet_document, load_host_settings

_EXIT_FINDINGS = 1
_EXIT_UNREADABLE = 2
_PATH = click.Path(path_type=Path)


@dataclass(frozen=True)
class _Report:
    findings: Sequence[Finding]
    changes: Sequence[DocumentChange]


@click.command("check-document")
@click.argument("path", metavar="FILE", type=_PATH)
@click.option(
    "--against", type=_PATH, help="File with the version in force, to list changes."
)
@click.option(
    "--host-settings",
    "settings_path",
    type=_PATH,
    help="Settings file of a host, to check attempts against its retry budget.",
)
@click.option(
    "--format",
    "output_format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
)
def check_document(
    path: Path, against: Path | None, settings_path: Path | None, output_format: str
) -> None:
    """Check a document before it is sent, without contacting anything.

    FILE is the platform's JSON or the product's INI text. The exit code is 0 without
    findings, 1 with findings and 2 if a file cannot be read.
    """
    data = _read(path)
    old_data = None if against is None else _read(against)
    settings = None if settings_path is None else _load_settings(settings_path)
    is_json = _is_json(path, data)
    if settings is not None and not is_json:
        _fail(f"{path}: --host-settings applies to the platform's JSON only")
    if against is not None and old_data is not None:
        if _is_json(against, old_data) != is_json:
            _fail(f"{against}: cannot be compared: one file is JSON, the other is INI")
    try:
        if is_json:
            report = _check_json(path, data, against, old_data, settings)
        else:
            report = _check_ini(path, data, against, old_data)
    except _UnreadableError as error:
        _fail(str(error))
    _print_report(path, report, output_format)
    sys.exit(_EXIT_FINDINGS if report.findings else 0)


class _UnreadableError(Exception):
    """A file cannot be read as a document."""


def _is_json(path: Path, data: bytes) -> bool:
    text = data.removeprefix(codecs.BOM_UTF8).lstrip()
    return path.suffix.lower() == ".json" or text.startswith(b"{")


def _check_json(
    path: Path,
    data: bytes,
    against: Path | None,
    old_data: bytes | None,
    settings: HostSettings | None,
) -> _Report:
    document, found = _inspect(path, data)
    findings = list(found)
    old = None
    if against is not None and old_data is not None:
        old, problems = _inspect(against, old_data)
        if old is None:
            place, message = problems[0].place, problems[0].message
            raise _UnreadableError(f"{against}: cannot be compared: {place}: {message}")
    if document is None:
        return _Report(findings, ())
    findings += check_fleet_document(document, settings)
    if old is None:
        return _Report(findings, ())
    findings += check_succession(old, document)
    return _Report(findings, compare_fleet_documents(old, document))


def _inspect(
    path: Path, data: bytes
) -> tuple[FleetDocument | None, tuple[Finding, ...]]:
    try:
        return inspect_fleet_document(data)
    except WireFormatError as error:
        raise _UnreadableError(f"{path}: {error}") from error


def _check_ini(
    path: Path, data: bytes, against: Path | None, old_data: bytes | None
) -> _Report:
    sections = _parse_ini(path, data)
    findings: list[Finding] = []
    try:
        check_sections(sections, build_config(sections))
    except SettingsError as error:
        findings = [_make_finding(problem) for problem in error.problems]
    changes: tuple[DocumentChange, ...] = ()
    if against is not None and old_data is not None:
        changes = _compare_sections(_parse_ini(against, old_data), sections)
    return _Report(findings, changes)


def _parse_ini(path: Path, data: bytes) -> Sections:
    try:
        sections = parse_sections(data.decode(), str(path))
    except (UnicodeDecodeError, SettingsError) as error:
        raise _UnreadableError(f"{path}: cannot be read as INI: {error}") from error
    if not sections:
        raise _UnreadableError(f"{path}: has no sections")
    return sections


def _make_finding(problem: str) -> Finding:
    """Split a problem, which names its section and key before a colon."""
    place, separator, message = problem.partition(": ")
    if not separator:
        place, message = "document", problem
    return Finding(Severity.ERROR, place, message)


def _compare_sections(old: Sections, new: Sections) -> tuple[DocumentChange, ...]:
    # Key hashes are not shown.
    old_values = redact_difference(old)
    changes = []
    for heading, edits in redact_difference(compute_difference(old, new)).items():
        place = f"section [{heading}]"
        if edits is None:
            changes.append(DocumentChange(ChangeKind.REMOVED, place))
        elif heading not in old:
            changes.append(DocumentChange(ChangeKind.ADDED, place))
        else:
            before = old_values[heading] or {}
            values_by_field = {
                key: (before.get(key) or "none", "none" if value is None else value)
                for key, value in sorted(edits.items())
            }
            changes.append(DocumentChange(ChangeKind.CHANGED, place, values_by_field))
    return tuple(changes)


def _print_report(path: Path, report: _Report, output_format: str) -> None:
    if output_format == "json":
        value = {
            "findings": [_finding_to_json(item) for item in report.findings],
            "changes": [_change_to_json(item) for item in report.changes],
        }
        click.echo(json.dumps(value, indent=2))
        return
    for finding in report.findings:
        _print_line(f"{finding.severity.value} {finding.place}: {finding.message}")
    for change in report.changes:
        _print_line(_format_change(change))
    if not report.findings:
        _print_line(f"{path}: no findings")


def _print_line(text: str) -> None:
    """Print one line, with control characters and surrogates in it escaped."""
    click.echo(
        "".join(
            item if item.isprintable() else item.encode("unicode_escape").decode()
            for item in text
        )
    )


def _format_change(change: DocumentChange) -> str:
    parts = [
        f"{name} {old} -> {new}" for name, (old, new) in change.values_by_field.items()
    ]
    details = "; ".join([*parts, change.effect] if change.effect else parts)
    line = f"{change.kind.value} {change.place}"
    return f"{line}: {details}" if details else line


def _finding_to_json(finding: Finding) -> dict[str, Any]:
    return {
        "severity": finding.severity.value,
        "place": finding.place,
        "message": finding.message,
    }


def _change_to_json(change: DocumentChange) -> dict[str, Any]:
    return {
        "change": change.kind.value,
        "place": change.place,
        "fields": {
            name: {"old": old, "new": new}
            for name, (old, new) in change.values_by_field.items()
        },
        "effect": change.effect,
    }


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except (OSError, ValueError) as error:
        _fail(f"{path}: cannot be read: {error}")


def _load_settings(path: Path) -> HostSettings:
    try:
        return load_host_settings(path)
    except SettingsError as error:
        _fail("\n".join(error.problems))
    except UnicodeDecodeError as error:
        _fail(f"{path}: cannot be read: {error}")


def _fail(message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(_EXIT_UNREADABLE)
