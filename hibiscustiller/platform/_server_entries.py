"""Decodes the entries of backend servers in the platform's store."""

from __future__ import annotations

import json
from typing import Any

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.fleet import EMPTY_RANGE, BackendServer, LayerRange, ServerState
from hibiscustiller.settings import parse_address
from hibiscustiller.utils import DomainId, ServerId, ServiceName

SERVER_PREFIX = "servers/"
_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


def decode_server_entry(key: str, data: bytes) -> BackendServer:
    """Decode an entry; other writers may leave entries that name no usable server.

    :param key: the entry's key, which ends with the server's id.
    :raises WireFormatError: if the entry is not a backend server's.
    """
    try:
        values = json.loads(data)
        server = BackendServer(
            id=ServerId(key.removeprefix(SERVER_PREFIX)),
            service=ServiceName(_read_text(values, "service")),
            address=parse_address(_read_text(values, "address")),
            domain=DomainId(_read_text(values, "zone")),
            slots=_read_number(values, "slots"),
            state=_STATES[values["state"]],
            kind=values.get("kind") or "",
            layers=read_layer_range(values.get("layers")),
            born=_read_number(values, "born", 0),
        )
        if not isinstance(server.kind, str):
            raise ValueError("kind is no text")
        return server
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise WireFormatError(f"entry {key!r} cannot be read: {error!r}") from error


def read_layer_range(values: Any) -> LayerRange:
    """Read the layers that a server says it holds; none if it names none.

    :raises ValueError: if the value is of another shape.
    """
    if isinstance(values, list):
        # One range for each model; a server holds one model here.
        values = values[0] if values else None
    if values is None:
        return EMPTY_RANGE
    # "target" is the layer after the last one.
    first, end = values["from"], values["target"]
    if type(first) is not int or type(end) is not int or not 0 <= first <= end:
        raise ValueError(f"layers are {values!r}")
    return LayerRange(first, end) if first < end else EMPTY_RANGE


def _read_text(values: Any, name: str) -> str:
    value = values[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is {value!r}")
    return value


def _read_number(values: Any, name: str, default: int | None = None) -> int:
    value = values.get(name, default)
    if type(value) is not int or value < 0:
        raise ValueError(f"{name} is {value!r}")
    return value
