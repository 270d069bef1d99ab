"""Checks across the sections of a document, before it is accepted.

Each check returns one line for each problem; the lines name the section, the key,
the value and what is accepted.
"""

from __future__ import annotations

import fnmatch
import re
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping

from hibiscustiller.configuration._changes import Difference
from hibiscustiller.configuration._document import (
    FleetConfig,
    Sections,
    list_key_specs,
)
from hibiscustiller.configuration._generated import (
    SECTION_SPECS,
    ServerConfig,
    TeamConfig,
)
from hibiscustiller.exceptions import SettingsError

# The store limits a value to 1 MB; a snapshot also has a header.
MAX_DOCUMENT_BYTES = 900_000
MAX_HEADING_LENGTH = 200
_KINDS = tuple(spec.name for spec in SECTION_SPECS)
_WORD = r"[A-Za-z0-9][A-Za-z0-9._:-]*"
# Names of models are often given as PUBLISHER/NAME.
_MODEL_NAME = rf"{_WORD}(?:/{_WORD})*"
_HEADING = re.compile(
    rf"link {_WORD} {_WORD}|model {_MODEL_NAME}|(?!link )[a-z]+ {_WORD}"
)
_WILDCARDS = frozenset("*?[")
_FLOOR_TOLERANCE = 1e-9


def check_document(sections: Sections, config: FleetConfig) -> None:
    """Check a document whose sections are each valid.

    :param config: the typed form of ``sections``.
    :raises SettingsError: with one line for each problem.
    """
    malformed = tuple(check_headings(sections))
    if malformed:
        raise SettingsError(malformed)
    problems = (
        *check_size(sections),
        *check_key_hashes(config),
        *check_classes(config),
        *check_organisations(config),
        *check_servers(config),
        *check_layer_cover(config),
        *check_services(config),
        *check_links(config),
        *check_owners(sections, config),
    )
    if problems:
        raise SettingsError(problems)


def check_difference(difference: Difference) -> None:
    """Check that edits can be written as INI text and read back unchanged.

    :raises SettingsError: with one line for each problem.
    """
    problems = []
    for heading, edits in difference.items():
        if len(heading) > MAX_HEADING_LENGTH or not _HEADING.fullmatch(heading):
            problems.append(_describe_heading_problem(heading))
            continue
        # Further problems with keys are found when the section is parsed.
        known = list_key_specs(heading)
        for key, value in (edits or {}).items():
            if key not in known:
                problems.append(
                    f"section [{heading}] key {key[:MAX_HEADING_LENGTH]}: unknown;"
                    f" accepted keys are {', '.join(sorted(known))}"
                )
            elif value is not None and not value.isprintable():
                problems.append(
                    f"section [{heading}] key {key}: value has control characters;"
                    " accepted is printable text on one line"
                )
    if problems:
        raise SettingsError(tuple(problems))


def check_size(sections: Sections) -> Iterator[str]:
    """Check that the document fits a value of the store."""
    size = measure_document(sections)
    if size > MAX_DOCUMENT_BYTES:
        yield (
            f"document: size is {size} bytes;"
            f" accepted range is 0 to {MAX_DOCUMENT_BYTES} bytes"
        )


def measure_document(sections: Sections) -> int:
    """Return the size of a document's INI text, in bytes."""
    size = 0
    for heading, values in sections.items():
        size += len(heading.encode()) + len("[]\n\n")
        for key, value in values.items():
            size += len(key) + len(value.encode()) + len(" = \n")
    return size


def check_headings(sections: Sections) -> Iterator[str]:
    """Check the form of headings."""
    for heading in sections:
        if len(heading) > MAX_HEADING_LENGTH or not _HEADING.fullmatch(heading):
            yield _describe_heading_problem(heading)


def check_key_hashes(config: FleetConfig) -> Iterator[str]:
    """Check that no two organisations or teams have the same key."""
    headings_by_hash: dict[str, list[str]] = defaultdict(list)
    for organisation in config.organisations_by_id.values():
        headings_by_hash[organisation.key_sha256].append(
            f"organisation {organisation.name}"
        )
    for team in config.teams_by_id.values():
        headings_by_hash[team.key_sha256].append(f"team {team.name}")
    for headings in headings_by_hash.values():
        for heading in headings[1:]:
            yield (
                f"section [{heading}] key key_sha256: value (not shown) is also that"
                f" of [{headings[0]}]; accepted is a hash that no other section has"
            )


def check_classes(config: FleetConfig) -> Iterator[str]:
    """Check ranks and floors."""
    name_by_rank: dict[int, str] = {}
    for item in config.classes_by_name.values():
        other = name_by_rank.setdefault(item.rank, item.name)
        if other != item.name:
            yield (
                f"section [class {item.name}] key rank: value {item.rank} is also that"
                f" of [class {other}]; accepted is a rank that no other class has"
            )
    total = sum(item.floor for item in config.classes_by_name.values())
    if total > 1 + _FLOOR_TOLERANCE:
        floors = ", ".join(
            f"[class {item.name}] {item.floor:g}"
            for item in config.classes_by_name.values()
            if item.floor
        )
        yield (
            f"section [class *] key floor: sum is {total:g} ({floors});"
            " accepted range of the sum is 0 to 1"
        )


def check_organisations(config: FleetConfig) -> Iterator[str]:
    """Check that organisations refer to what exists."""
    for item in config.organisations_by_id.values():
        heading = f"organisation {item.name}"
        if item.priority_class not in config.classes_by_name:
            yield _describe_unknown(
                heading, "priority_class", item.priority_class, config.classes_by_name
            )
        yield from _check_names(heading, "models", item.models, config.models_by_name)
        yield from _check_names(
            heading, "services", item.services, config.services_by_name
        )


def check_servers(config: FleetConfig) -> Iterator[str]:
    """Check each server's model, layers and address."""
    name_by_address: dict[object, str] = {}
    for server in config.servers_by_id.values():
        heading = f"server {server.name}"
        other = name_by_address.setdefault(server.address, server.name)
        if other != server.name:
            yield (
                f"section [{heading}] key address: value {server.address} is also that"
                f" of [server {other}]; accepted is an address of its own"
            )
        model = config.models_by_name.get(server.model)
        if model is None:
            yield _describe_unknown(
                heading, "model", server.model, config.models_by_name
            )
            continue
        if not server.first_layer < server.last_layer <= model.layers:
            yield (
                f"section [{heading}] keys first_layer, last_layer: values"
                f" {server.first_layer}, {server.last_layer}; accepted range is"
                f" 0 to {model.layers} with first_layer below last_layer"
            )


def check_layer_cover(config: FleetConfig) -> Iterator[str]:
    """Check that the servers of each model hold all of its layers."""
    servers_by_model: dict[str, list[ServerConfig]] = defaultdict(list)
    for server in config.servers_by_id.values():
        servers_by_model[server.model].append(server)
    for model in config.models_by_name.values():
        covered = 0
        ranges = sorted(
            (server.first_layer, server.last_layer)
            for server in servers_by_model[model.name]
        )
        for first, last in (*ranges, (model.layers, model.layers)):
            if first > covered:
                yield (
                    f"section [model {model.name}] key layers: value {model.layers},"
                    f" but no server covers layers {covered} to {first - 1};"
                    f" accepted is a model whose servers cover 0 to {model.layers - 1}"
                )
            covered = max(covered, last)


def check_services(config: FleetConfig) -> Iterator[str]:
    """Check that each service has a replica."""
    for service in config.services_by_name.values():
        if not service.addresses:
            yield (
                f"section [service {service.name}] key addresses: value '';"
                " accepted is at least one IP:PORT"
            )


def check_links(config: FleetConfig) -> Iterator[str]:
    """Check that links join two known failure domains, each pair once."""
    domains = {server.failure_domain for server in config.servers_by_id.values()}
    for link in config.links_by_domains.values():
        first, second = link.name.split()
        for domain in (first, second):
            if domain not in domains:
                yield _describe_unknown(
                    f"link {link.name}", "(heading)", domain, domains
                )
        if first == second:
            yield (
                f"section [link {link.name}]: value {first!r} twice;"
                " accepted are two different failure domains"
            )


def check_owners(sections: Sections, config: FleetConfig) -> Iterator[str]:
    """Check ownership patterns, and that every section has an owner."""
    for team in config.teams_by_id.values():
        for pattern in team.owns:
            kind = pattern.partition(" ")[0]
            if not fnmatch.filter(_KINDS, kind):
                yield (
                    f"section [team {team.name}] key owns: value {pattern!r} matches no"
                    f" heading; accepted kinds are {', '.join(_KINDS)}, then a name"
                    " or pattern"
                )
    teams = config.teams_by_id.values()
    is_owned = _compile_patterns([item for team in teams for item in team.owns])
    pairs = set()
    for heading in sections:
        if not is_owned(heading):
            yield (
                f"section [{heading}]: no team owns it, so nobody could change it;"
                " accepted is a heading that a team's owns patterns match"
            )
        kind, *names = heading.split()
        pair = (kind, *sorted(names))
        if kind == "link" and pair in pairs:
            yield (
                f"section [{heading}]: the same link is given twice;"
                " accepted is one section for each pair of failure domains"
            )
        pairs.add(pair)


def owns_section(team: TeamConfig, heading: str) -> bool:
    """Tell whether a team may create, change and delete a section."""
    return any(fnmatch.fnmatchcase(heading, pattern) for pattern in team.owns)


def _compile_patterns(patterns: list[str]) -> Callable[[str], object]:
    if not patterns:
        return lambda heading: False
    joined = "|".join(fnmatch.translate(pattern) for pattern in set(patterns))
    return re.compile(joined).match


def _check_names(
    heading: str, key: str, patterns: tuple[str, ...], known: Mapping[str, object]
) -> Iterator[str]:
    for pattern in patterns:
        if not _WILDCARDS.intersection(pattern) and pattern not in known:
            yield _describe_unknown(heading, key, pattern, known)


def _describe_unknown(heading: str, key: str, value: str, known: Iterable[str]) -> str:
    names = ", ".join(sorted(known)[:20]) or "(none)"
    return f"section [{heading}] key {key}: value {value!r}; accepted are {names}"


def _describe_heading_problem(heading: str) -> str:
    return (
        f"section [{heading[:MAX_HEADING_LENGTH]!r}]: accepted is a kind"
        f" ({', '.join(_KINDS)}) and a name of letters, digits and ._:- ;"
        " a model's name may also have /; two names for a link;"
        f" at most {MAX_HEADING_LENGTH} characters"
    )
