"""Differences between two fleet documents, and what they mean for requests.

A request keeps the route and service that it began with, so that most changes apply
to new requests only.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, fields, is_dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

from hibiscustiller.fleet._document_checks import Finding, Severity, format_duration
from hibiscustiller.fleet._types import FleetDocument, IngressRoute, Organisation
from hibiscustiller.utils import OrganisationId

_NEW_REQUESTS = "new requests; running ones keep the earlier values"
_NEXT_REQUESTS = "for the next request on a connection"
# The buffer of a connection's headers is made when the connection is opened.
_NEW_CONNECTIONS = "max_header_bytes for new connections"


class ChangeKind(Enum):
    """Kind of a difference between two documents."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class DocumentChange:
    """One entry that differs between two documents.

    :param place: the entry, such as ``route chat``.
    :param values_by_field: earlier and later values of the fields that differ, as text.
    :param effect: meaning for new and running requests; empty if not known.
    """

    kind: ChangeKind
    place: str
    values_by_field: Mapping[str, tuple[str, str]] = field(default_factory=dict)
    effect: str = ""


def compare_fleet_documents(
    old: FleetDocument, new: FleetDocument
) -> tuple[DocumentChange, ...]:
    """Return the entries in which two documents differ.

    :param old: the document in force.
    """
    return (
        *_compare_routes(old, new),
        *_compare_services(old, new),
        *_compare_organisations(old, new),
        *_compare_limits(old, new),
    )


def check_succession(old: FleetDocument, new: FleetDocument) -> tuple[Finding, ...]:
    """Return the reasons for which a document does not replace the one in force."""
    if new.version < old.version:
        message = (
            f"version {new.version} is below version {old.version} in force, so that"
            " daemons do not use this document"
        )
        return (Finding(Severity.ERROR, "document", message),)
    if new.version == old.version and compare_fleet_documents(old, new):
        message = (
            f"version {new.version} is in force with other content; daemons cannot"
            " tell the two apart after a restore of the store"
        )
        return (Finding(Severity.WARNING, "document", message),)
    return ()


def _compare_routes(old: FleetDocument, new: FleetDocument) -> Iterator[DocumentChange]:
    old_by_key, new_by_key = _index_routes(old.routes), _index_routes(new.routes)
    for key, route in old_by_key.items():
        place = f"route {route.name}"
        after = new_by_key.get(key)
        if after is None:
            effect = f"{_describe_fallback(route, new)}; running ones end normally"
            yield DocumentChange(ChangeKind.REMOVED, place, effect=effect)
            continue
        values_by_field = _compare_fields(route, after)
        if not values_by_field:
            continue
        effects = [f"for {_NEW_REQUESTS}"]
        if "host" in values_by_field or "prefix" in values_by_field:
            effects.append(
                f"at {route.host}{route.prefix}, " + _describe_fallback(route, new)
            )
        yield DocumentChange(
            ChangeKind.CHANGED, place, values_by_field, "; ".join(effects)
        )
    for key, route in new_by_key.items():
        if key not in old_by_key:
            effect = (
                f"new requests for {route.host}{route.prefix} take it;"
                " running ones keep their route"
            )
            yield DocumentChange(ChangeKind.ADDED, f"route {route.name}", effect=effect)


def _index_routes(
    routes: Iterable[IngressRoute],
) -> dict[tuple[str, int], IngressRoute]:
    """Return routes by their name and their number among those of the same name."""
    counts: Counter[str] = Counter()
    routes_by_key = {}
    for route in routes:
        routes_by_key[route.name, counts[route.name]] = route
        counts[route.name] += 1
    return routes_by_key


def _describe_fallback(route: IngressRoute, new: FleetDocument) -> str:
    """Tell what happens to new requests that matched a route of the old document."""
    matching = [
        other
        for other in new.routes
        if other.host == route.host and route.prefix.startswith(other.prefix)
    ]
    if not matching:
        return "new requests get 404"
    return f"new requests take route {max(matching, key=_get_prefix_length).name}"


def _get_prefix_length(route: IngressRoute) -> int:
    return len(route.prefix)


def _compare_services(
    old: FleetDocument, new: FleetDocument
) -> Iterator[DocumentChange]:
    for name, service in old.services_by_name.items():
        place = f"service {name}"
        after = new.services_by_name.get(name)
        if after is None:
            effect = (
                "new requests of routes to it are refused; running ones end normally"
            )
            yield DocumentChange(ChangeKind.REMOVED, place, effect=effect)
            continue
        values_by_field = _compare_fields(service, after)
        if values_by_field:
            effect = f"for {_NEW_REQUESTS}"
            if any(name.startswith("engine") for name in values_by_field):
                effect += "; pipelines are searched again, and layers may be moved"
            yield DocumentChange(ChangeKind.CHANGED, place, values_by_field, effect)
    for name in new.services_by_name:
        if name not in old.services_by_name:
            effect = "it is used as soon as a route and servers for it exist"
            yield DocumentChange(ChangeKind.ADDED, f"service {name}", effect=effect)


def _compare_organisations(
    old: FleetDocument, new: FleetDocument
) -> Iterator[DocumentChange]:
    if old.has_organisations != new.has_organisations:
        if new.has_organisations:
            kind = ChangeKind.ADDED
            effect = (
                "new requests without a listed key get 401 unless the route is public"
            )
        else:
            kind = ChangeKind.REMOVED
            effect = "new requests need no key"
        yield DocumentChange(kind, "organisations", effect=effect)
    old_by_id, new_by_id = _index_organisations(old), _index_organisations(new)
    for id_ in [*old_by_id, *(id_ for id_ in new_by_id if id_ not in old_by_id)]:
        before, after = old_by_id.get(id_), new_by_id.get(id_)
        change = _compare_organisation(id_, before, after, new)
        if change is not None:
            yield change


def _compare_organisation(
    id_: OrganisationId,
    before: Mapping[str, Organisation] | None,
    after: Mapping[str, Organisation] | None,
    new: FleetDocument,
) -> DocumentChange | None:
    before_digests, after_digests = set(before or ()), set(after or ())
    withdrawn, added = before_digests - after_digests, after_digests - before_digests
    old_priority, new_priority = _get_priority(before), _get_priority(after)
    values_by_field = {}
    if before and after and before_digests != after_digests:
        values_by_field["keys"] = (
            str(len(before_digests)),
            f"{len(after_digests)} ({len(added)} new, {len(withdrawn)} withdrawn)",
        )
    if before and after and old_priority != new_priority:
        values_by_field["priority"] = (old_priority, new_priority)
    effects = []
    moved = [
        new.organisations_by_key_digest[digest].id
        for digest in withdrawn
        if digest in new.organisations_by_key_digest
    ]
    if moved:
        names = ", ".join(sorted(set(moved)))
        effects.append(f"new requests with {len(moved)} of its keys belong to {names}")
    if len(withdrawn) > len(moved):
        refused = "get 401 unless the route is public"
        if not new.has_organisations:
            refused = "are served without an organisation"
        effects.append(
            f"key withdrawn: new requests with it {refused}; running ones end normally"
        )
    if added:
        effects.append("key added: new requests with it are accepted")
    if "priority" in values_by_field:
        effects.append(f"the priority applies to {_NEW_REQUESTS}")
    if not effects:
        return None
    kind = ChangeKind.CHANGED
    if not before or not after:
        kind = ChangeKind.REMOVED if before else ChangeKind.ADDED
    return DocumentChange(
        kind, f"organisation {id_}", values_by_field, "; ".join(effects)
    )


def _index_organisations(
    document: FleetDocument,
) -> dict[OrganisationId, dict[str, Organisation]]:
    """Return the organisations with their key digests, by their ids."""
    by_id: dict[OrganisationId, dict[str, Organisation]] = defaultdict(dict)
    for digest, organisation in document.organisations_by_key_digest.items():
        by_id[organisation.id][digest] = organisation
    return dict(by_id)


def _get_priority(organisations: Mapping[str, Organisation] | None) -> str:
    for organisation in (organisations or {}).values():
        return _format(organisation.priority)
    return _format(None)


def _compare_limits(old: FleetDocument, new: FleetDocument) -> Iterator[DocumentChange]:
    values_by_field = _compare_fields(old.limits, new.limits)
    effects = []
    if values_by_field.keys() - {"max_header_bytes"}:
        effects.append(_NEXT_REQUESTS)
    if "max_header_bytes" in values_by_field:
        effects.append(_NEW_CONNECTIONS)
    if effects:
        yield DocumentChange(
            ChangeKind.CHANGED, "limits", values_by_field, "; ".join(effects)
        )


def _compare_fields(old: Any, new: Any, prefix: str = "") -> dict[str, tuple[str, str]]:
    """Return the values of the fields that differ, by the fields' names."""
    values_by_field = {}
    old_values, new_values = _list_values(old), _list_values(new)
    for key in [*old_values, *(key for key in new_values if key not in old_values)]:
        before, after = old_values.get(key), new_values.get(key)
        if before == after:
            continue
        name = f"{prefix}{key}"
        if _has_fields(before) and _has_fields(after):
            values_by_field.update(_compare_fields(before, after, f"{name}."))
        else:
            values_by_field[name] = _format(before), _format(after)
    return values_by_field


def _has_fields(value: Any) -> bool:
    return is_dataclass(value) or isinstance(value, Mapping)


def _list_values(value: Any) -> Mapping[str, Any]:
    """Return the fields of a data class, or the entries of a mapping, by name."""
    if isinstance(value, Mapping):
        return value
    return {item.name: getattr(value, item.name) for item in fields(value)}


def _format(value: Any) -> str:
    """Return a value of a document's field as text."""
    if value is None:
        return "none"
    if isinstance(value, timedelta):
        return format_duration(value)
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    return "set" if is_dataclass(value) else str(value)
