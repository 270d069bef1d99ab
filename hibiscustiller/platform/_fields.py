"""Header fields of requests and answers: read once, and written for servers."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import LayerRange
from hibiscustiller.settings import Address, parse_address
from hibiscustiller.utils import (
    OrganisationId,
    PartId,
    RequestId,
    ServerId,
    log_event,
)

Field = tuple[bytes, bytes]

_REQUEST_ID = b"request-id"
_DEADLINE = b"deadline-ms"
_AUTHORIZATION = b"authorization"
_SCHEME = "token "
_ORGANISATION = b"tenant"
_EXPECTED_SERVER = b"expect-instance"
_PRIORITY = b"request-priority"
# The stages of a pipeline, despite its name no count.
_PIPELINE = b"hop-count"
_LAST_EVENT = b"last-event-id"
# Tokens of the prompt and the largest number of tokens of the answer.
_TOKENS = b"token-usage"
_ANSWER_GUESS = b"length-hint"
# The parts of the prompt, each with its number of tokens.
_PROMPT_PARTS = b"prompt-prefix"
# A prompt has at most this many parts; further ones are ignored.
_MAX_PROMPT_PARTS = 32
_DECIMAL_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
_PART_ID_PATTERN = re.compile(r"[0-9a-f]{1,64}")
_SEAL = b"response-seal"
_NOT_RUN = b"not-executed"
_FAILED_SERVER = b"at-server"
_RATE_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_KEEP_ALIVE = b"keep-alive"
_CONNECTION = b"connection"
_WRONG_SERVER_STATUS = 421
_UNAVAILABLE_STATUS = 503
_HOP_BY_HOP = frozenset(
    {
        _CONNECTION,
        _KEEP_ALIVE,
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)
# Set by the router alone; what a caller sends under these names is dropped.
_OWN_FIELDS = frozenset(
    {
        _DEADLINE,
        _AUTHORIZATION,
        _ORGANISATION,
        _EXPECTED_SERVER,
        _PRIORITY,
        _PIPELINE,
        _LAST_EVENT,
        b"expect-version",
        b"expect",
    }
)
# A caller cannot have these dropped by naming them in its Connection field.
_END_TO_END = frozenset(
    {_REQUEST_ID, b"host", b"model", _TOKENS, _PROMPT_PARTS, _ANSWER_GUESS}
)
_MAX_PRIORITY = 9


@dataclass(frozen=True)
class RequestFacts:
    """What a caller's request says of itself.

    :param wait_limit: how long the caller waits; None if it does not say.
    :param api_key: None if the request has none.
    :param prompt_tokens: tokens of the prompt; 0 if not told.
    :param max_answer_tokens: 0 if not told.
    :param estimated_answer_tokens: the caller's estimate; 0 if not told.
    :param last_event: id of the last event that the caller has; None at the start.
    :param prompt_parts: parts of the prompt that other requests may share, in order.
        The last part of a prompt is its own and left out.
    """

    request_id: RequestId
    wait_limit: timedelta | None
    api_key: str | None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    estimated_answer_tokens: int = 0
    last_event: int | None = None
    prompt_parts: tuple[PartId, ...] = ()


@dataclass(frozen=True)
class AnswerFacts:
    """What a backend server's answer says of itself.

    :param request_id: the request that it answers; None if it does not say.
    :param is_sealed: whether it bears the server's seal.
    :param is_not_run: whether the server states that it did not run the request.
    :param is_from_other_process: whether it may come from another process than the one
        that the request was meant for.
    :param failed_server: the server at fault among a pipeline's.
    :param rate_limit: requests per second that the server takes from all routers
        together; None if it names no limit, or one that cannot be read.
    :param is_leaving: whether the server says that it leaves.
    :param pause: time for which the server wants no requests of this router; None if
        it does not say so.
    """

    request_id: RequestId | None
    is_sealed: bool
    is_not_run: bool
    is_from_other_process: bool = False
    failed_server: Address | None = None
    rate_limit: float | None = None
    is_leaving: bool = False
    pause: timedelta | None = None


def read_request_facts(fields: Iterable[Field]) -> RequestFacts:
    """Read a caller's request; fields that make no sense count as absent."""
    by_name = dict(fields)
    prompt, _, answer = by_name.get(_TOKENS, b"").partition(b",")
    wait_ms = _read_int(by_name.get(_DEADLINE))
    return RequestFacts(
        request_id=RequestId(by_name.get(_REQUEST_ID, b"").decode("latin-1")),
        wait_limit=None if wait_ms is None else timedelta(milliseconds=wait_ms),
        api_key=_read_key(by_name.get(_AUTHORIZATION)),
        prompt_tokens=_read_int(prompt) or 0,
        max_answer_tokens=_read_int(answer) or 0,
        estimated_answer_tokens=_read_int(by_name.get(_ANSWER_GUESS)) or 0,
        last_event=_read_int(by_name.get(_LAST_EVENT)),
        prompt_parts=_read_shared_parts(by_name.get(_PROMPT_PARTS, b"")),
    )


def make_server_fields(
    fields: Iterable[Field],
    *,
    time_left: timedelta,
    server_id: ServerId,
    organisation: OrganisationId | None,
    priority: int | None = None,
    pipeline: tuple[tuple[Address, LayerRange], ...] = (),
    last_event: int | None = None,
) -> tuple[Field, ...]:
    """Make the headers of a request to a backend server.

    :param fields: the caller's headers.
    :param time_left: what is left of the caller's wait.
    :param server_id: the only server that may run the request.
    :param pipeline: the servers that it passes, with their layers.
    :param last_event: the event after which a stream goes on.
    """
    kept = [field for field in _drop_hop_by_hop(fields) if field[0] not in _OWN_FIELDS]
    milliseconds = max(1, time_left // timedelta(milliseconds=1))
    kept.append((_DEADLINE, str(milliseconds).encode()))
    kept.append((_EXPECTED_SERVER, server_id.encode()))
    if organisation is not None:
        kept.append((_ORGANISATION, organisation.encode()))
    if priority is not None:
        kept.append((_PRIORITY, str(min(max(priority, 0), _MAX_PRIORITY)).encode()))
    if pipeline:
        stages = ",".join(f"{address}={layers}" for address, layers in pipeline)
        kept.append((_PIPELINE, stages.encode()))
    if last_event is not None:
        kept.append((_LAST_EVENT, str(last_event).encode()))
    return tuple(kept)


def make_router_fields(
    fields: Iterable[Field], time_left: timedelta, last_event: int | None
) -> tuple[Field, ...]:
    """Make the headers of a caller's request that another router is to answer.

    :param fields: the caller's headers.
    :param time_left: what is left of the caller's wait.
    :param last_event: the event after which a stream goes on.
    """
    changed = {_DEADLINE, _LAST_EVENT, b"expect"}
    kept = [field for field in _drop_hop_by_hop(fields) if field[0] not in changed]
    milliseconds = max(1, time_left // timedelta(milliseconds=1))
    kept.append((_DEADLINE, str(milliseconds).encode()))
    if last_event is not None:
        kept.append((_LAST_EVENT, str(last_event).encode()))
    return tuple(kept)


def make_router_answer_fields(fields: Iterable[Field]) -> tuple[Field, ...]:
    """Make the headers of the answer to a caller from another router's."""
    return tuple(_drop_hop_by_hop(fields))


def read_answer_facts(status: int, fields: Iterable[Field]) -> AnswerFacts:
    """Read the headers of a backend server's answer."""
    by_name = dict(fields)
    request_id = by_name.get(_REQUEST_ID)
    pause_s = None
    if status == _UNAVAILABLE_STATUS:
        pause_s = _read_decimal(by_name, _RETRY_AFTER)
    return AnswerFacts(
        request_id=None if request_id is None else RequestId(request_id.decode()),
        is_sealed=_SEAL in by_name,
        is_not_run=_NOT_RUN in by_name or status == _WRONG_SERVER_STATUS,
        is_from_other_process=status == _WRONG_SERVER_STATUS,
        failed_server=_read_address(by_name.get(_FAILED_SERVER)),
        rate_limit=_read_decimal(by_name, _RATE_LIMIT),
        is_leaving=by_name.get(_LEAVING, b"").strip() == b"1",
        pause=None if pause_s is None else timedelta(seconds=pause_s),
    )


def make_caller_fields(fields: Iterable[Field]) -> tuple[Field, ...]:
    """Make the headers of the answer to a caller from the server's.

    When a server wants its next request is no advice to a caller, whose next one may
    reach another server.
    """
    return tuple(f for f in _drop_hop_by_hop(fields) if f[0] != _RETRY_AFTER)


def _drop_hop_by_hop(fields: Iterable[Field]) -> list[Field]:
    fields = list(fields)
    named = {
        name.strip().lower()
        for field, value in fields
        if field == _CONNECTION
        for name in value.split(b",")
    }
    dropped = _HOP_BY_HOP | (named - _END_TO_END)
    return [field for field in fields if field[0] not in dropped]


def _read_key(value: bytes | None) -> str | None:
    text = "" if value is None else value.decode("latin-1")
    return text[len(_SCHEME) :].strip() if text.lower().startswith(_SCHEME) else None


def _read_int(value: bytes | None) -> int | None:
    text = b"" if value is None else value.strip()
    # Longer numbers are no counts of anything here.
    return int(text) if text.isdigit() and len(text) <= 15 else None


def _read_decimal(by_name: Mapping[bytes, bytes], name: bytes) -> float | None:
    value = by_name.get(name)
    if value is None:
        return None
    text = value.decode("latin-1").strip()
    if not _DECIMAL_PATTERN.fullmatch(text):
        log_event(
            "answer_field_unreadable",
            level="warning",
            field=name.decode(),
            value=text[:40],
        )
        return None
    return float(text)


def _read_shared_parts(value: bytes) -> tuple[PartId, ...]:
    entries = value.decode("latin-1").lower().split(",", _MAX_PROMPT_PARTS)
    ids = [entry.partition(":")[0].strip() for entry in entries[:-1]]
    return tuple(PartId(id) for id in ids if _PART_ID_PATTERN.fullmatch(id))


def _read_address(value: bytes | None) -> Address | None:
    try:
        return None if value is None else parse_address(value.decode("ascii"))
    except ValueError:
        return None
