"""Requests of the HTTP server: their bounds, their checks and their decoding.

This module does no I/O.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import h11

from hibiscustiller.utils import Refusal, RefusalReason, Verdict

# CONNECT and unknown methods have no meaning for the services behind the router.
_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
_MAX_QUERY_FIELDS = 100
# The size of a complete head leaves out the separators of its fields, which are not
# told from the rest before it is complete.
_INCOMPLETE_FACTOR = 2
_LIMIT_REASONS = frozenset({RefusalReason.TOO_LARGE, RefusalReason.HEADERS_TOO_LARGE})
# By then newer limits have usually arrived.
_OUTDATED_RETRY_AFTER = timedelta(seconds=1)
_BAD_ESCAPE = re.compile("%(?![0-9A-Fa-f]{2})")
_MAX_JSON_DEPTH_MESSAGE = "JSON is nested too deeply"


@dataclass(frozen=True)
class HttpLimits:
    """Bounds on one server's connections.

    :param max_connections: connections open at once.
    :param max_header_bytes: bytes of a request's line and headers.
    :param max_body_bytes: bytes of a request's body.
    :param outgoing_fds: descriptors for the connections that handlers open, besides
        those of the connections; None for no bound.
    :param read_timeout: time for a whole request to arrive once it has begun.
    :param idle_timeout: time a connection may stay open between requests.
    :param write_timeout: time for the client to take each part of an answer.
    """

    max_connections: int = 2000
    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    read_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)
    write_timeout: timedelta = timedelta(seconds=10)
    outgoing_fds: int | None = None


@dataclass
class HttpRequest:
    """One request, its body read in full.

    :param path: path without the query, percent-decoded; as it was sent if the server
        is a relay.
    :param headers_by_name: headers by lower-case name; of a repeated one the last.
    :param query: the query as it was sent, still percent-encoded.
    :param target: path and query exactly as they were sent.
    :param fields: headers in the order in which they were sent, with repeated ones;
        names in lower case.
    """

    method: str
    path: str
    query_by_name: Mapping[str, str]
    headers_by_name: Mapping[str, str]
    body: bytes
    query: str = ""
    target: bytes = b""
    fields: tuple[tuple[bytes, bytes], ...] = ()

    def release_body(self) -> None:
        """Let go of the body once the request was answered.

        Tasks refer to the request in cycles, which are collected much later.
        """
        self.body = b""

    def read_json(self) -> Any:
        """Decode the body.

        :raises ValueError: if it is no JSON, or nested too deeply to be read.
        """
        try:
            return json.loads(self.body)
        except RecursionError:
            raise ValueError(_MAX_JSON_DEPTH_MESSAGE) from None


class RequestRefusedError(Exception):
    """A request is refused before it reaches a handler."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def make_too_large_error(limit: int) -> RequestRefusedError:
    message = f"the body is larger than {limit} bytes"
    return RequestRefusedError(
        Refusal(RefusalReason.TOO_LARGE, Verdict.NOT_RUN, message)
    )


def _make_bad_request_error(message: str) -> RequestRefusedError:
    return RequestRefusedError(
        Refusal(RefusalReason.BAD_REQUEST, Verdict.NOT_RUN, message)
    )


def _make_large_headers_error(limits: HttpLimits) -> RequestRefusedError:
    message = f"line and headers are larger than {limits.max_header_bytes} bytes"
    return RequestRefusedError(
        Refusal(RefusalReason.HEADERS_TOO_LARGE, Verdict.NOT_RUN, message)
    )


def measure_head(head: h11.Request) -> int:
    """Return the bytes of the target and the headers."""
    size = len(head.target)
    return size + sum(len(name) + len(value) for name, value in head.headers)


def check_incomplete(size: int, limits: HttpLimits) -> None:
    """Check the size of a head, or of trailers, that have not arrived whole.

    h11's own bound stays the same for as long as a connection is open.

    :param size: bytes that have arrived.
    :raises RequestRefusedError: if it exceeds the limit.
    """
    if size > limits.max_header_bytes * _INCOMPLETE_FACTOR:
        raise _make_large_headers_error(limits)


def check_head(
    head: h11.Request, limits: HttpLimits, *, is_relay: bool = False
) -> None:
    """Check the method, the size and the framing of a request.

    :param is_relay: whether the request is passed on as it was sent.
    :raises RequestRefusedError: if it is refused.
    """
    if measure_head(head) > limits.max_header_bytes:
        raise _make_large_headers_error(limits)
    method = head.method.decode("ascii", "replace")
    is_accepted = method != "CONNECT" if is_relay else method in _METHODS
    if not is_accepted:
        raise _make_bad_request_error(
            f"unknown method {method[:20]!r};"
            f" accepted are {', '.join(sorted(_METHODS))}"
        )
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        # Two servers may disagree on where such a body ends, which hides a request.
        raise _make_bad_request_error(
            "the request has both Content-Length and Transfer-Encoding"
        )
    for name, value in head.headers:
        # h11 has refused numbers of more than 20 digits.
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            raise make_too_large_error(limits.max_body_bytes)


def make_request(
    head: h11.Request, body: bytes, *, is_relay: bool = False
) -> HttpRequest:
    """Make a request of its head and its body.

    :param is_relay: whether the request is passed on as it was sent. The service that
        receives it decides on the encoding of its target.
    :raises RequestRefusedError: if the target cannot be decoded.
    """
    if is_relay:
        path, _, query = head.target.decode("ascii").partition("?")
        query_by_name = _parse_relayed_query(query)
    else:
        path, query = _split_target(head.target)
        query_by_name = _parse_query(query)
    return HttpRequest(
        method=head.method.decode("ascii"),
        path=path,
        query_by_name=query_by_name,
        headers_by_name={
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        },
        body=body,
        query=query,
        target=bytes(head.target),
        fields=tuple((bytes(name), bytes(value)) for name, value in head.headers),
    )


def _split_target(target: bytes) -> tuple[str, str]:
    """Return the decoded path and the query as sent.

    :raises RequestRefusedError: if the target is no path in valid percent encoding.
    """
    try:
        parts = urlsplit(target.decode("ascii"))
        path = unquote(parts.path, errors="strict")
    except ValueError:
        raise _make_bad_request_error("the path is not valid UTF-8") from None
    if _BAD_ESCAPE.search(parts.path) or _BAD_ESCAPE.search(parts.query):
        raise _make_bad_request_error("the target has a bad percent encoding")
    if not path.isprintable():
        raise _make_bad_request_error("the path has control characters")
    return path, parts.query


def _parse_query(query: str) -> dict[str, str]:
    if not query:
        return {}
    try:
        values_by_name = parse_qs(
            query, keep_blank_values=True, max_num_fields=_MAX_QUERY_FIELDS
        )
    except ValueError:
        raise _make_bad_request_error(
            f"the query has more than {_MAX_QUERY_FIELDS} fields"
        ) from None
    return {name: values[-1] for name, values in values_by_name.items()}


def _parse_relayed_query(query: str) -> dict[str, str]:
    """Return the fields of a query; none if they cannot be read."""
    try:
        return _parse_query(query)
    except RequestRefusedError:
        return {}


def describe_protocol_error(error: h11.RemoteProtocolError) -> Refusal:
    is_large = error.error_status_hint == 431
    reason = RefusalReason.HEADERS_TOO_LARGE if is_large else RefusalReason.BAD_REQUEST
    message = f"malformed HTTP request: {error}"
    return Refusal(reason, Verdict.NOT_RUN, message)


def refuse_by_outdated_limits(refusal: Refusal) -> Refusal:
    """Return a refusal by limits that may be outdated.

    The client may repeat the request, while 413 and 431 are final.
    """
    if refusal.reason not in _LIMIT_REASONS:
        return refusal
    message = f"{refusal.message}, but newer limits may be in force"
    return Refusal(
        RefusalReason.OUTDATED, Verdict.NOT_RUN, message, _OUTDATED_RETRY_AFTER
    )
