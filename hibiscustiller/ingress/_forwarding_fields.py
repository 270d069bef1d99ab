"""Header fields of requests that one router passes on to another.

They travel on the internal interface only. Routers of earlier versions name neither the
version of their document nor the attempts that are left.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from hibiscustiller.fleet import FleetDocument, IngressRoute
from hibiscustiller.utils import RouterId
from hibiscustiller.wire import HttpRequest

# Names the router that passes a request on; such a request is not passed on again.
FORWARDED_BY_HEADER = "x-forwarded-by-router"
# The version of the document in force at the router that passes a request on.
_DOCUMENT_VERSION_HEADER = "x-document-version"
# To how many servers the other router may send the request.
_ATTEMPTS_HEADER = "x-attempts-left"
# Set on refusals after which yet another router may be asked.
DECLINED_HEADER = "x-router-declined"
_DECLINED = DECLINED_HEADER.encode()
# Numbers of up to 64 bits are read.
_MAX_DIGITS = 19

Field = tuple[bytes, bytes]


def make_forwarding_fields(
    router_id: RouterId, attempts: int, document: FleetDocument | None
) -> tuple[Field, ...]:
    """Return what a router says of a request that it passes on.

    :param router_id: the router that passes it on.
    :param attempts: to how many servers the other router may send it.
    :param document: the document in force.
    """
    values_by_name = {
        FORWARDED_BY_HEADER: router_id,
        _ATTEMPTS_HEADER: str(attempts),
    }
    if document is not None:
        values_by_name[_DOCUMENT_VERSION_HEADER] = str(document.short_version)
    return tuple((n.encode(), v.encode()) for n, v in values_by_name.items())


def read_document_version(request: HttpRequest) -> int:
    """Return the version of the document at the router that passed a request on.

    :returns: 0 if that router did not name it.
    """
    return _read_number(request, _DOCUMENT_VERSION_HEADER)


def limit_attempts(route: IngressRoute, request: HttpRequest) -> IngressRoute:
    """Return a route with the attempts that are left of a request passed on."""
    attempts = _read_number(request, _ATTEMPTS_HEADER)
    if not 0 < attempts < route.max_attempts:
        return route
    return replace(route, max_attempts=attempts)


def is_declined(fields: Iterable[Field]) -> bool:
    """Tell whether a router declined a request, so that another one may be asked."""
    return any(name == _DECLINED for name, _ in fields)


def _read_number(request: HttpRequest, name: str) -> int:
    text = request.headers_by_name.get(name, "")
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= _MAX_DIGITS else 0
