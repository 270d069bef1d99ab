"""The operators' document: INI text in sections, and its typed form."""

from __future__ import annotations

import configparser
import io
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from hibiscustiller.configuration._generated import (
    SECTION_SPECS,
    ClassConfig,
    LinkConfig,
    ModelConfig,
    OrganisationConfig,
    ServerConfig,
    ServiceConfig,
    TeamConfig,
)
from hibiscustiller.exceptions import SettingsError
from hibiscustiller.settings import KeySpec, make_ini_parser, parse_section
from hibiscustiller.utils import (
    ClassName,
    DomainId,
    ModelName,
    OrganisationId,
    ServerId,
    ServiceName,
    TeamId,
)

# Text values by key, by section heading.
Sections = Mapping[str, Mapping[str, str]]

_SPECS_BY_NAME = {spec.name: spec for spec in SECTION_SPECS}


@dataclass(frozen=True)
class FleetConfig:
    """The whole document in typed form."""

    models_by_name: Mapping[ModelName, ModelConfig]
    classes_by_name: Mapping[ClassName, ClassConfig]
    organisations_by_id: Mapping[OrganisationId, OrganisationConfig]
    organisations_by_key_hash: Mapping[str, OrganisationConfig]
    servers_by_id: Mapping[ServerId, ServerConfig]
    services_by_name: Mapping[ServiceName, ServiceConfig]
    teams_by_id: Mapping[TeamId, TeamConfig]
    teams_by_key_hash: Mapping[str, TeamConfig]
    links_by_domains: Mapping[frozenset[DomainId], LinkConfig]


def parse_sections(text: str, source: str) -> Sections:
    """Split INI text into sections.

    :param source: where the text came from, for messages.
    :raises SettingsError: if the text is no INI.
    """
    parser = make_ini_parser()
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        raise SettingsError((f"{source}: {error.message}",)) from error
    return {heading: dict(parser[heading]) for heading in parser.sections()}


def format_sections(sections: Sections) -> str:
    """Write sections as INI text, in the order of their headings."""
    parser = make_ini_parser()
    for heading in sorted(sections):
        parser[heading] = dict(sorted(sections[heading].items()))
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue()


@dataclass(frozen=True)
class TypedSection:
    """One section with the text values that it was built from."""

    kind: str
    values: Mapping[str, str]
    typed: Any


def build_config(sections: Sections) -> FleetConfig:
    """Check each section and build the typed document.

    :raises SettingsError: with one line for each problem.
    """
    return assemble_config(parse_headings(sections, {}))


def parse_headings(
    sections: Sections, previous: Mapping[str, TypedSection]
) -> Mapping[str, TypedSection]:
    """Check each section and give it its type.

    :param previous: typed sections of an earlier document. Those whose values are the
        same object are taken over, so that a change costs only what it touches.
    :returns: typed sections by heading.
    :raises SettingsError: with one line for each problem.
    """
    typed_by_heading: dict[str, TypedSection] = {}
    problems: list[str] = []
    for heading, values in sections.items():
        known = previous.get(heading)
        if known is not None and known.values is values:
            typed_by_heading[heading] = known
            continue
        kind, _, name = heading.partition(" ")
        spec = _SPECS_BY_NAME.get(kind)
        if spec is None or not name.strip():
            problems.append(
                f"section [{heading}]: unknown; accepted headings are"
                f" {', '.join(f'[{kind} NAME]' for kind in sorted(_SPECS_BY_NAME))}"
            )
            continue
        typed, found = parse_section(spec, heading, values)
        problems += found
        if typed is not None:
            typed_by_heading[heading] = TypedSection(kind, values, typed)
    if problems:
        raise SettingsError(tuple(problems))
    return typed_by_heading


def list_key_specs(heading: str) -> Mapping[str, KeySpec]:
    """Return the keys that a section accepts, by name; none for an unknown kind."""
    spec = _SPECS_BY_NAME.get(heading.partition(" ")[0])
    return {} if spec is None else {key.name: key for key in spec.keys}


def parse_document(text: str, source: str) -> FleetConfig:
    """Parse and check a document's text.

    :raises SettingsError: with one line for each problem.
    """
    return build_config(parse_sections(text, source))


def assemble_config(typed_by_heading: Mapping[str, TypedSection]) -> FleetConfig:
    """Index typed sections by their names and key hashes."""
    typed_by_kind: dict[str, list] = {spec.name: [] for spec in SECTION_SPECS}
    for section in typed_by_heading.values():
        typed_by_kind[section.kind].append(section.typed)

    def index(kind: str) -> dict:
        return {section.name: section for section in typed_by_kind[kind]}

    organisations = typed_by_kind["organisation"]
    return FleetConfig(
        models_by_name=index("model"),
        classes_by_name=index("class"),
        organisations_by_id=index("organisation"),
        organisations_by_key_hash={item.key_sha256: item for item in organisations},
        servers_by_id=index("server"),
        services_by_name=index("service"),
        teams_by_id=index("team"),
        teams_by_key_hash={item.key_sha256: item for item in typed_by_kind["team"]},
        links_by_domains={
            frozenset(DomainId(domain) for domain in link.name.split()): link
            for link in typed_by_kind["link"]
        },
    )
