"""Checks of a decoded fleet document before it is put in force.

The checks have no side effects. They find what each daemon would accept although it
never takes effect, or contradicts another value.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from hibiscustiller.fleet._types import (
    EngineSpec,
    FleetDocument,
    HostSettings,
    IngressRoute,
    RequestKind,
)
from hibiscustiller.utils import ServiceName

_MAX_NAME_LENGTH = 60


class Severity(Enum):
    """Severity of a finding.

    An error is a value that cannot be read, or an entry that takes no effect or whose
    requests all fail; a warning is a value that probably does not do what was meant.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Finding:
    """A problem of a document.

    :param place: entry that has the problem, such as ``routes[3] chat``.
    """

    severity: Severity
    place: str
    message: str


def check_fleet_document(
    document: FleetDocument, settings: HostSettings | None = None
) -> tuple[Finding, ...]:
    """Return the problems of a document.

    :param settings: settings of a host, for the retry budget; None if unknown.
    """
    findings = [*_check_unused_services(document), *_check_organisations(document)]
    findings += [*_check_client_limits(document), *_check_matches(document)]
    for index, route in enumerate(document.routes):
        place = describe_place("routes", index, route.name)
        findings += _check_services(place, route, document)
        findings += _check_times(place, route, document)
        findings += _check_attempts(place, route, settings)
    return tuple(findings)


def describe_place(section: str, index: int, name: object) -> str:
    """Return the place of an entry of a list."""
    if not isinstance(name, str) or not name.isprintable():
        return f"{section}[{index}]"
    return f"{section}[{index}] {name[:_MAX_NAME_LENGTH]}".rstrip()


def format_duration(duration: timedelta) -> str:
    """Return a duration in milliseconds."""
    return f"{duration / timedelta(milliseconds=1):.15g} ms"


def _error(place: str, message: str) -> Finding:
    return Finding(Severity.ERROR, place, message)


def _warning(place: str, message: str) -> Finding:
    return Finding(Severity.WARNING, place, message)


def _check_matches(document: FleetDocument) -> Iterator[Finding]:
    places_by_match: dict[tuple[str, str], str] = {}
    places_by_name: dict[str, str] = {}
    for index, route in enumerate(document.routes):
        place = describe_place("routes", index, route.name)
        other = places_by_match.setdefault((route.host, route.prefix), place)
        if other != place:
            yield _error(
                place,
                f"never matches: {other} has the same host and prefix and goes first",
            )
        other = places_by_name.setdefault(route.name, place)
        if other != place:
            yield _warning(place, f"{other} has the same name")
        if ":" in route.host:
            yield _error(place, "never matches: hosts are compared without the port")
        if not route.prefix.startswith("/"):
            yield _error(place, "never matches: the prefix begins without a slash")
        elif not route.prefix.endswith("/"):
            yield _warning(
                place,
                "the prefix ends without a slash, so it also matches longer names,"
                f" such as {route.prefix}x",
            )


def _check_services(
    place: str, route: IngressRoute, document: FleetDocument
) -> Iterator[Finding]:
    if not list_used_services(route):
        yield _error(
            place, "the weights sum to 0, so no service takes the route's requests"
        )
    for name, weight in route.weights_by_service.items():
        if name not in document.services_by_name:
            make = _error if weight > 0 else _warning
            yield make(place, f"service {name} is not listed")


def list_used_services(route: IngressRoute) -> list[ServiceName]:
    """Return the services that get requests of a route."""
    return [name for name, weight in route.weights_by_service.items() if weight > 0]


def _check_times(
    place: str, route: IngressRoute, document: FleetDocument
) -> Iterator[Finding]:
    if route.target_latency > route.timeout:
        yield _warning(
            place,
            f"the target latency of {format_duration(route.target_latency)} is above"
            f" the timeout of {format_duration(route.timeout)}",
        )
    if route.target_gap is None:
        return
    if route.kind is not RequestKind.STREAMING:
        yield _warning(place, "the target gap has no effect: no streams are requested")
        return
    for name in list_used_services(route):
        service = document.services_by_name.get(name)
        shortest = _find_shortest_gap(service.engine if service else None)
        if shortest is not None and route.target_gap < shortest:
            yield _warning(
                place,
                f"the target gap of {format_duration(route.target_gap)} is below the"
                f" {format_duration(shortest)} that the fastest kind of engine of"
                f" service {name} needs for one event",
            )


def _find_shortest_gap(engine: EngineSpec | None) -> timedelta | None:
    """Return the time of one event on the fastest kind of engine, without load."""
    if engine is None or not engine.kinds_by_name:
        return None
    factors = [kind.token_time_factor for kind in engine.kinds_by_name.values()]
    return engine.step * engine.stride * min(factors)


def _check_attempts(
    place: str, route: IngressRoute, settings: HostSettings | None
) -> Iterator[Finding]:
    if route.max_attempts <= 1:
        return
    if not route.is_repeatable:
        yield _warning(
            place,
            f"{route.max_attempts} attempts are allowed, but the requests may not be"
            " repeated: another one follows only an attempt that did not run",
        )
    if settings and settings.retry_ratio <= 0 and settings.retry_slack <= 0:
        yield _warning(
            place,
            f"{route.max_attempts} attempts are allowed, but the retry budget of the"
            " host settings is 0 (ratio and slack), so no request is repeated",
        )


def _check_unused_services(document: FleetDocument) -> Iterator[Finding]:
    used = {name for route in document.routes for name in list_used_services(route)}
    for index, name in enumerate(document.services_by_name):
        if name not in used:
            place = describe_place("services", index, name)
            yield _warning(place, "no route uses this service")


def _check_organisations(document: FleetDocument) -> Iterator[Finding]:
    if document.has_organisations and not document.organisations_by_key_digest:
        if not all(route.is_public for route in document.routes):
            yield _error(
                "organisations",
                "no organisation has a key, so that all requests to routes that are"
                " not public are refused",
            )


def _check_client_limits(document: FleetDocument) -> Iterator[Finding]:
    limits = document.limits
    if limits.header_timeout > limits.idle_timeout:
        yield _warning(
            "limits",
            f"the header timeout of {format_duration(limits.header_timeout)} is above"
            f" the idle timeout of {format_duration(limits.idle_timeout)}",
        )
