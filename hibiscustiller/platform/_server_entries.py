"""Decodes the entries of backend servers in the platform's store."""

from __future__ import annotations

import json
from typing import Any

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.fleet import EMPTY_RANGE, BackendServer, LayerRange, ServerState
from hibiscustiller.platform._decoding import (
    UNREADABLE_ERRORS,
    read_number,
    read_peer_address,
    read_text,
)
from hibiscustiller.utils import DomainId, ServerId, ServiceName

SERVER_PREFIX = "servers/"
# Models have about a hundred layers.
_MAX_LAYERS = 10_000
_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


def decode_server_entry(key: str, data: bytes) -> BackendServer:
    """Decode an entry; other writers may leave entries that name no usable server.

    :param key: the entry's key, which ends with the server's id.
    :raises WireFormatError: if the entry is not a backend server's.
    """
    try:
        values = json.loads(data)
        return BackendServer(
            id=ServerId(key.removeprefix(SERVER_PREFIX)),
            service=ServiceName(read_text(values, "service")),
            address=read_peer_address(values),
            domain=DomainId(read_text(values, "zone")),
            slots=read_number(values, "slots"),
            state=_STATES[values["state"]],
            kind=read_text(values, "kind") if values.get("kind") else "",
            layers=read_layer_range(values.get("layers")),
            born=read_number(values, "born", 0),
            update=read_number(values, "sequence", 0),
        )
    except UNREADABLE_ERRORS as error:
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
    are_numbers = type(first) is int and type(end) is int
    if not are_numbers or not 0 <= first <= end <= _MAX_LAYERS:
        raise ValueError(f"layers are {values!r}")
    return LayerRange(first, end) if first < end else EMPTY_RANGE
