"""Parsing of the frames that an engine sends on a stream."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import NamedTuple

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.utils import ServerId


class LayerRun(NamedTuple):
    """Half-open range of layers that a backend server ran for a token.

    Each token frame has one for every stage. A named tuple takes half the time of a
    frozen dataclass to create and a quarter to compare.
    """

    server: ServerId
    first_layer: int
    last_layer: int


@dataclass(frozen=True)
class TokenFrame:
    """One token and the layer ranges that ran for it."""

    attempt: int
    position: int
    token: str
    layers: tuple[LayerRun, ...]


@dataclass(frozen=True)
class DoneFrame:
    """End of a complete answer."""

    attempt: int
    reason: str


@dataclass(frozen=True)
class ErrorFrame:
    """End of a failed attempt.

    :param server: backend server that failed; None if unknown.
    """

    attempt: int
    error: str
    server: ServerId | None


Frame = TokenFrame | DoneFrame | ErrorFrame


def parse_frame(line: bytes) -> Frame:
    """Parse one line of a stream as a frame.

    :raises WireFormatError: if the line is not a valid frame.
    """
    try:
        value = json.loads(line)
        attempt = _read_int(value["attempt"])
        if "error" in value:
            server = value.get("server")
            known = server if isinstance(server, str) else None
            return ErrorFrame(attempt, str(value["error"]), known)
        if value.get("done"):
            return DoneFrame(attempt, str(value.get("reason", "")))
        layers = tuple(
            [
                LayerRun(str(server), _read_int(first), _read_int(last))
                for server, first, last in value["layers"]
            ]
        )
        position = _read_int(value["position"])
        token = value["token"]
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise WireFormatError(f"cannot parse frame: {error!r}") from error
    if not isinstance(token, str):
        raise WireFormatError(f"token is {token!r}, not a string")
    return TokenFrame(attempt, position, token, layers)


def _read_int(value: object) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise ValueError(f"{value!r} is not an integer")
