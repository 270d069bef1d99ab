"""Specification of INI sections and the checks made against it."""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

_SECONDS_BY_UNIT = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0}
_DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(us|ms|s|m|h)")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_BOOLS = {"true": True, "yes": True, "false": False, "no": False}
_MAX_PORT = 65535


class Address(NamedTuple):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class KeySpec:
    """What one key of a section accepts.

    :param name: the key.
    :param kind: name of the value's type.
    :param default: text used when the key is missing; None if it is required.
    :param minimum: lowest accepted value, as text.
    :param maximum: highest accepted value, as text.
    :param choices: accepted words of a ``choice``.
    :param doc: the key's meaning, for operators.
    """

    name: str
    kind: str
    default: str | None
    minimum: str | None
    maximum: str | None
    choices: tuple[str, ...]
    doc: str


@dataclass(frozen=True)
class SectionSpec:
    """What one kind of section accepts.

    :param name: first word of the heading.
    :param is_named: whether the heading goes on with a name.
    :param factory: makes the typed section from its keys.
    :param keys: the keys.
    """

    name: str
    is_named: bool
    factory: Callable[..., Any]
    keys: tuple[KeySpec, ...]


def parse_section(
    spec: SectionSpec, heading: str, values_by_key: Mapping[str, str]
) -> tuple[Any | None, list[str]]:
    """Parse and check one section.

    :param spec: what the section accepts.
    :param heading: the section's heading, for messages and for its name.
    :param values_by_key: the section's text values.
    :returns: the typed section, or None, and one line for each problem.
    """
    problems = []
    parsed: dict[str, Any] = {}
    known = {key.name for key in spec.keys}
    for name in values_by_key:
        if name not in known:
            problems.append(
                f"section [{heading}] key {name}: unknown;"
                f" accepted keys are {', '.join(sorted(known))}"
            )
    for key in spec.keys:
        text = values_by_key.get(key.name, key.default)
        if text is None:
            problems.append(f"section [{heading}] key {key.name}: required ({key.doc})")
            continue
        try:
            parsed[key.name] = parse_value(key, text)
        except ValueError as error:
            # A wrong digest may be the plain key, which must not be shown or logged.
            shown = "(not shown)" if key.kind == "digest" else repr(text)
            problems.append(
                f"section [{heading}] key {key.name}: value {shown}: {error}"
            )
    if problems:
        return None, problems
    if spec.is_named:
        parsed["name"] = heading.partition(" ")[2].strip()
    return spec.factory(**parsed), []


def parse_value(key: KeySpec, text: str) -> Any:
    """Parse and check one value.

    :param key: what is accepted.
    :param text: the value's text.
    :raises ValueError: if the text is not accepted; the message states the range.
    """
    value = _PARSERS[key.kind](text.strip())
    if key.choices and value not in key.choices:
        raise ValueError(f"accepted values are {', '.join(key.choices)}")
    _check_range(key, value)
    return value


def parse_duration(text: str) -> timedelta:
    """Parse a duration such as ``500ms``.

    :raises ValueError: if the text is no duration.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError("accepted are a number and a unit (us, ms, s, m, h)")
    return timedelta(seconds=float(match[1]) * _SECONDS_BY_UNIT[match[2]])


def parse_address(text: str) -> Address:
    """Parse an IP number and port such as ``127.0.0.1:8080`` or ``[::1]:8080``.

    :raises ValueError: if the text is no such address.
    """
    host, separator, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    accepted = f"accepted is IP:PORT with a port from 0 to {_MAX_PORT}"
    if not separator or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(accepted)
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(accepted) from None
    return Address(host, int(port))


def _check_range(key: KeySpec, value: Any) -> None:
    if key.minimum is None or key.maximum is None:
        return
    parse = _PARSERS[key.kind]
    if not parse(key.minimum) <= value <= parse(key.maximum):
        raise ValueError(f"accepted range is {key.minimum} to {key.maximum}")


def _parse_optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None


def _parse_strs(text: str) -> tuple[str, ...]:
    parts = (part.strip() for part in re.split(r"[,\n]", text))
    return tuple(part for part in parts if part)


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part) for part in _parse_strs(text))


def _parse_int(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise ValueError("accepted is a whole number") from None


def _parse_float(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ValueError("accepted is a number") from None
    if not math.isfinite(value):
        raise ValueError("accepted is a finite number")
    return value


def _parse_bool(text: str) -> bool:
    if text.lower() not in _BOOLS:
        raise ValueError(f"accepted values are {', '.join(_BOOLS)}")
    return _BOOLS[text.lower()]


def _parse_digest(text: str) -> str:
    if _DIGEST.fullmatch(text) is None:
        raise ValueError("accepted are 64 lower-case hexadecimal digits")
    return text


def _parse_str(text: str) -> str:
    return text


_PARSERS: dict[str, Callable[[str], Any]] = {
    "str": _parse_str,
    "strs": _parse_strs,
    "choice": _parse_str,
    "int": _parse_int,
    "float": _parse_float,
    "bool": _parse_bool,
    "digest": _parse_digest,
    "duration": parse_duration,
    "address": parse_address,
    "optional_address": _parse_optional_address,
    "addresses": _parse_addresses,
}
