"""The operators' document: INI text in sections, and its typed form."""

from __future__ import annotations

import configparser
import io
from collections.abc import Mapping
from dataclasses import dataclass

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
from hibiscustiller.settings import make_ini_parser, parse_section
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


def build_config(sections: Sections) -> FleetConfig:
    """Check each section and build the typed document.

    :raises SettingsError: with one line for each problem.
    """
    typed_by_kind: dict[str, list] = {spec.name: [] for spec in SECTION_SPECS}
    problems: list[str] = []
    for heading, values in sections.items():
        kind, _, name = heading.partition(" ")
        spec = _SPECS_BY_NAME.get(kind)
        if spec is None or not name.strip():
            problems.append(
                f"section [{heading}]: unknown; accepted headings are"
                f" {', '.join(f'[{kind} NAME]' for kind in sorted(_SPECS_BY_NAME))}"
            )
            continue
        section, found = parse_section(spec, heading, values)
        problems += found
        if section is not None:
            typed_by_kind[kind].append(section)
    if problems:
        raise SettingsError(tuple(problems))
    return _assemble(typed_by_kind)


def parse_document(text: str, source: str) -> FleetConfig:
    """Parse and check a document's text.

    :raises SettingsError: with one line for each problem.
    """
    return build_config(parse_sections(text, source))


def _assemble(typed_by_kind: dict[str, list]) -> FleetConfig:
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
