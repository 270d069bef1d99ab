"""Finds the unreadable and lost values of a configuration as operators write it.

The checks are stricter than :func:`decode_fleet_document`, which stops at the first
value that it cannot read and keeps the last of two entries with the same name or key.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping
from math import inf
from typing import Any

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.fleet import (
    Finding,
    FleetDocument,
    Severity,
    describe_place,
)
from hibiscustiller.platform._decoding import UNREADABLE_ERRORS, read_text
from hibiscustiller.platform._fleet_document import (
    REQUEST_KINDS,
    decode_fleet_document,
)

# Describes what is accepted in place of a value; None if the value is accepted.
_Check = Callable[[Any], str | None]
# No setting is larger; larger durations cannot be represented.
_MAX_VALUE = 1e15
_MAX_SHOWN_LENGTH = 40
# Values of these fields are not shown, as they hold keys.
_SECRET_FIELDS = frozenset({"api_keys"})


def inspect_fleet_document(
    data: bytes,
) -> tuple[FleetDocument | None, tuple[Finding, ...]]:
    """Decode a configuration and find the problems of its fields.

    :returns: the document, or None if a field holds a value that is not accepted; the
        problems.
    :raises WireFormatError: if the data is no JSON object.
    """
    try:
        values = json.loads(data)
    except UNREADABLE_ERRORS as error:
        reason = str(error)[:200]
        raise WireFormatError(f"cannot be read as JSON: {reason}") from error
    if not isinstance(values, dict):
        raise WireFormatError(f"accepted is a JSON object, not {_show(values)}")
    invalid = list(_check_values(values))
    repeated = [*_check_repeated(values, "services", "name"), *_check_keys(values)]
    for index, route in _list_objects(values, "routes"):
        place = describe_place("routes", index, route.get("name"))
        repeated += _check_repeated(route, "traffic_split", "service", f"{place} ")
    if invalid:
        return None, (*invalid, *repeated)
    try:
        return decode_fleet_document(data), tuple(repeated)
    except WireFormatError as error:
        return None, (_make_error("document", str(error)[:200]), *repeated)


def _number(low: float, *, is_open: bool = False, is_whole: bool = False) -> _Check:
    """Return a check for a number.

    :param is_open: whether ``low`` itself is not accepted.
    """
    noun = "a whole number" if is_whole else "a number"
    bound = "" if low == -inf else f" {'above' if is_open else 'of at least'} {low:g}"

    def check(value: Any) -> str | None:
        is_number = type(value) is int or (type(value) is float and not is_whole)
        # NaN is in no range.
        if is_number and -_MAX_VALUE <= value <= _MAX_VALUE and value >= low:
            if not is_open or value > low:
                return None
        return noun + bound

    return check


def _text(value: Any) -> str | None:
    try:
        read_text({"": value}, "")
    except ValueError:
        return "a text that is not empty"
    return None


def _choice(*accepted: Any) -> _Check:
    def check(value: Any) -> str | None:
        if any(type(value) is type(item) and value == item for item in accepted):
            return None
        return "one of " + ", ".join(json.dumps(item) for item in accepted)

    return check


def _list_of(check_item: _Check, noun: str) -> _Check:
    def check(value: Any) -> str | None:
        if isinstance(value, list) and all(check_item(item) is None for item in value):
            return None
        return f"a list of {noun}"

    return check


def _object(value: Any) -> str | None:
    return None if isinstance(value, dict) else "an object"


_COUNT = _number(1, is_whole=True)
_ANY_NUMBER = _number(-inf, is_whole=True)
_POSITIVE = _number(0, is_open=True)
_AT_LEAST_0 = _number(0)
_FLAG = _choice(True, False)
_OBJECTS = _list_of(_object, "objects")

_Fields = Mapping[str, _Check]
# Required and optional fields of each kind of entry; an optional one may be null only
# where the decoder takes null for a missing field.
_DOCUMENT: tuple[_Fields, _Fields, frozenset[str]] = (
    {
        "version": _number(0, is_whole=True),
        "routes": _OBJECTS,
        "services": _OBJECTS,
    },
    {"tenants": _OBJECTS, "limits": _object},
    frozenset({"tenants", "limits"}),
)
_ROUTE: tuple[_Fields, _Fields, frozenset[str]] = (
    {
        "name": _text,
        "host": _text,
        "prefix": _text,
        "kind": _choice(*REQUEST_KINDS),
        "timeout_ms": _POSITIVE,
        "target_latency_ms": _POSITIVE,
    },
    {
        "priority": _ANY_NUMBER,
        "max_attempts": _COUNT,
        "public": _FLAG,
        "resumable": _FLAG,
        "target_gap_ms": _POSITIVE,
        "service": _text,
        "traffic_split": _OBJECTS,
    },
    frozenset({"target_gap_ms", "traffic_split"}),
)
_SHARE = ({"service": _text, "weight": _AT_LEAST_0}, {}, frozenset())
_SERVICE = (
    {"name": _text},
    {"max_connections": _COUNT, "engine": _object, "health_path": _text},
    frozenset({"max_connections", "engine"}),
)
_ENGINE = (
    {
        "slots": _COUNT,
        "layers": _COUNT,
        "layer_mb": _POSITIVE,
        "token_kv_bytes": _AT_LEAST_0,
        "step_ms": _POSITIVE,
        "per_seq_ms": _AT_LEAST_0,
        "context_per_k": _AT_LEAST_0,
        "activation_bytes": _AT_LEAST_0,
        "pipe_mbps": _POSITIVE,
        "usual": _object,
        "models": _OBJECTS,
        "kinds": _OBJECTS,
    },
    {"stride": _COUNT, "delays": _OBJECTS},
    frozenset(),
)
_USUAL = ({"prompt": _AT_LEAST_0, "answer": _POSITIVE}, {}, frozenset())
_MODEL = ({"load_s": _AT_LEAST_0}, {}, frozenset())
_DELAY = ({"delay_ms": _AT_LEAST_0}, {}, frozenset())
_ACCELERATOR = (
    {"name": _text, "size_mb": _POSITIVE},
    {"pace": _POSITIVE, "read_factor": _POSITIVE},
    frozenset(),
)
_TENANT = (
    {"name": _text, "api_keys": _list_of(_text, "texts that are not empty")},
    {"priority": _ANY_NUMBER},
    frozenset({"priority"}),
)
_LIMITS = (
    {},
    {
        "max_header_bytes": _COUNT,
        "max_body_bytes": _COUNT,
        "header_timeout_ms": _POSITIVE,
        "idle_timeout_ms": _POSITIVE,
    },
    frozenset({"header_timeout_ms", "idle_timeout_ms"}),
)


def _check_values(values: Mapping[str, Any]) -> Iterator[Finding]:
    yield from _check_fields("document", values, _DOCUMENT)
    for index, route in _list_objects(values, "routes"):
        place = describe_place("routes", index, route.get("name"))
        yield from _check_fields(place, route, _ROUTE)
        yield from _check_split(place, route)
    for index, service in _list_objects(values, "services"):
        place = describe_place("services", index, service.get("name"))
        yield from _check_fields(place, service, _SERVICE)
        yield from _check_engine(place, service.get("engine"))
    for index, tenant in _list_objects(values, "tenants"):
        place = describe_place("tenants", index, tenant.get("name"))
        yield from _check_fields(place, tenant, _TENANT)
    if isinstance(values.get("limits"), dict):
        yield from _check_fields("limits", values["limits"], _LIMITS)


def _check_fields(
    place: str,
    values: Mapping[str, Any],
    fields: tuple[_Fields, _Fields, frozenset[str]],
) -> Iterator[Finding]:
    required, optional, nullable = fields
    for name, check in (*required.items(), *optional.items()):
        if name not in values:
            if name in required:
                yield _make_error(place, f"{name} is missing")
            continue
        value = values[name]
        accepted = None if value is None and name in nullable else check(value)
        if accepted is not None:
            shown = "the value (not shown)" if name in _SECRET_FIELDS else _show(value)
            yield _make_error(place, f"{name} is {shown}; accepted is {accepted}")


def _check_split(place: str, route: Mapping[str, Any]) -> Iterator[Finding]:
    if route.get("traffic_split") is None:
        if "service" not in route:
            yield _make_error(place, "service or traffic_split is missing")
        return
    for index, share in _list_objects(route, "traffic_split"):
        yield from _check_fields(f"{place} traffic_split[{index}]", share, _SHARE)


def _check_engine(place: str, engine: Any) -> Iterator[Finding]:
    # The decoder reads engines without layers as plain servers.
    if not isinstance(engine, dict) or "layers" not in engine:
        return
    place = f"{place} engine"
    yield from _check_fields(place, engine, _ENGINE)
    if isinstance(engine.get("usual"), dict):
        yield from _check_fields(f"{place} usual", engine["usual"], _USUAL)
    if engine.get("kinds") == []:
        yield _make_error(place, "kinds is empty, so no engine can be used")
    for section, fields in (
        ("kinds", _ACCELERATOR),
        ("models", _MODEL),
        ("delays", _DELAY),
    ):
        for index, values in _list_objects(engine, section):
            yield from _check_fields(f"{place} {section}[{index}]", values, fields)


def _check_repeated(
    values: Mapping[str, Any], section: str, field: str, prefix: str = ""
) -> Iterator[Finding]:
    """Find values that two entries of a list have; the decoder keeps the last one."""
    index_by_name: dict[str, int] = {}
    for index, entry in _list_objects(values, section):
        name = entry.get(field)
        if not isinstance(name, str):
            continue
        if name in index_by_name:
            yield _make_error(
                prefix + describe_place(section, index, name),
                f"{field} {_show(name)} is also that of"
                f" {section}[{index_by_name[name]}], which takes no effect",
            )
        index_by_name[name] = index


def _check_keys(values: Mapping[str, Any]) -> Iterator[Finding]:
    """Find organisations without keys, and keys that are given twice."""
    places_by_key: dict[str, str] = {}
    for index, tenant in _list_objects(values, "tenants"):
        place = describe_place("tenants", index, tenant.get("name"))
        keys = tenant.get("api_keys")
        if keys == []:
            message = "has no keys, so that no request belongs to it"
            yield Finding(Severity.WARNING, place, message)
        for number, key in enumerate(keys if isinstance(keys, list) else ()):
            if not isinstance(key, str):
                continue
            other = places_by_key.get(key)
            if other == place:
                message = f"api_keys[{number}] (not shown) is given twice"
                yield Finding(Severity.WARNING, place, message)
            elif other is not None:
                yield _make_error(
                    place,
                    f"api_keys[{number}] (not shown) is also a key of {other};"
                    " requests with it belong to the later one",
                )
            places_by_key[key] = place


def _list_objects(
    values: Mapping[str, Any], section: str
) -> Iterator[tuple[int, Mapping[str, Any]]]:
    """Return the objects of a list with their indices."""
    entries = values.get(section)
    for index, entry in enumerate(entries if isinstance(entries, list) else ()):
        if isinstance(entry, dict):
            yield index, entry


def _make_error(place: str, message: str) -> Finding:
    return Finding(Severity.ERROR, place, message)


def _show(value: Any) -> str:
    """Return a short description of a value, which may be nested deeply."""
    if isinstance(value, list):
        return "a list"
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, str):
        return json.dumps(value[:_MAX_SHOWN_LENGTH])
    return json.dumps(value)[:_MAX_SHOWN_LENGTH]
