"""Reading of a daemon's settings file."""

from __future__ import annotations

import configparser
from dataclasses import dataclass
from pathlib import Path

from hibiscustiller.exceptions import SettingsError
from hibiscustiller.settings._generated import (
    SECTION_SPECS,
    LimitsSettings,
    ListenSettings,
    MetricsSettings,
    PeersSettings,
    PlatformSettings,
    RouterSettings,
)
from hibiscustiller.settings._specification import parse_section


@dataclass(frozen=True)
class Settings:
    """All settings of one daemon, one attribute for each section."""

    router: RouterSettings
    listen: ListenSettings
    peers: PeersSettings
    platform: PlatformSettings
    limits: LimitsSettings
    metrics: MetricsSettings


def parse_settings(text: str, source: str) -> Settings:
    """Parse and check settings.

    :param text: INI text.
    :param source: the file's name, for messages.
    :raises SettingsError: if anything is wrong; it lists every problem.
    """
    parser = make_ini_parser()
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        raise SettingsError((f"{source}: {error.message}",)) from error
    problems = []
    sections = {}
    known = {spec.name for spec in SECTION_SPECS}
    for heading in parser.sections():
        if heading not in known:
            problems.append(
                f"section [{heading}]: unknown; accepted sections are"
                f" {', '.join(sorted(known))}"
            )
    for spec in SECTION_SPECS:
        values = dict(parser[spec.name]) if parser.has_section(spec.name) else {}
        section, found = parse_section(spec, spec.name, values)
        sections[spec.name] = section
        problems += found
    if not problems and sections["peers"].seeds and not sections["peers"].shared_key:
        problems.append("section [peers] key shared_key: required when seeds are given")
    if not problems:
        limits = sections["limits"]
        if limits.max_bodies_bytes < limits.max_body_bytes:
            problems.append(
                f"section [limits] key max_bodies_bytes: {limits.max_bodies_bytes} is"
                f" below max_body_bytes, which is {limits.max_body_bytes}"
            )
    if problems:
        raise SettingsError(tuple(f"{source}: {problem}" for problem in problems))
    return Settings(**sections)


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: if the file cannot be read or anything in it is wrong.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: cannot be read: {error}",)) from error
    return parse_settings(text, str(path))


def make_ini_parser() -> configparser.ConfigParser:
    """Return a parser without interpolation that keeps the case of keys."""
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.optionxform = str
    return parser
