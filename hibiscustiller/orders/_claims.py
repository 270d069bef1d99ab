"""Claims: entries in the store that allow one router to send an order.

A router creates the claim before it sends the first byte to a backend server, so the
claim survives the loss of the router's host. No router sends an order that another one
has claimed.
"""

from __future__ import annotations

import base64
import hashlib
import json
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.utils import OrganisationId

# The store refuses values over 1 MB; the difference leaves room for the other fields.
_MAX_CLAIM_BYTES = 900_000


class ClaimState(Enum):
    """State of a claimed order.

    The order of a released claim was not sent. The entry stays in the store: the
    claim's first write expects the key to be absent, and a delayed copy of that write
    would otherwise create the claim again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@dataclass(frozen=True)
class ServiceResponse:
    """Response of a backend server; for orders also stored and returned to repeats.

    :param status: HTTP status.
    :param is_placeholder: whether the body replaces one that was too large to store.
    """

    status: int
    content_type: str
    body: bytes
    is_placeholder: bool = False


@dataclass(frozen=True)
class Claim:
    """Claim of one order.

    :param token: unique to one attempt to claim the order; identifies the claimant's
        own write after the store's response to it was lost.
    :param fingerprint: digest of method, path and body.
    :param response: the service's response; present only in the state ``DONE``.
    """

    token: str
    fingerprint: str
    state: ClaimState
    response: ServiceResponse | None = None


def make_claim_key(organisation: OrganisationId, idempotency_key: str) -> str:
    """Return the store key for the claim of an order."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"orders/{organisation}/{digest}"


def fingerprint_order(method: str, path: str, body: bytes) -> str:
    """Return a digest that is equal only for repeats of the same order.

    :param path: the service's name, followed by the path at the service.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim for the store."""
    value: dict[str, object] = {
        "token": claim.token,
        "fingerprint": claim.fingerprint,
        "state": claim.state.value,
    }
    if claim.response is not None:
        value["outcome"] = {
            "status": claim.response.status,
            "content_type": claim.response.content_type,
            "body": base64.b64encode(claim.response.body).decode("ascii"),
            "is_note": claim.response.is_placeholder,
        }
    return json.dumps(value, separators=(",", ":")).encode()


def encode_done_claim(claim: Claim, response: ServiceResponse) -> bytes:
    """Encode a claim with its response, or with a placeholder if it is too large."""
    done = replace(claim, state=ClaimState.DONE, response=response)
    data = encode_claim(done)
    if len(data) <= _MAX_CLAIM_BYTES:
        return data
    return encode_claim(replace(done, response=_make_placeholder(response)))


def _make_placeholder(response: ServiceResponse) -> ServiceResponse:
    summary = {
        "note": "the order ran once; its answer was too large to be kept",
        "status": response.status,
        "bytes": len(response.body),
    }
    return ServiceResponse(
        response.status,
        "application/json",
        json.dumps(summary).encode(),
        is_placeholder=True,
    )


def decode_claim(data: bytes) -> Claim:
    """Decode a claim.

    :raises WireFormatError: if the bytes are not a valid claim.
    """
    try:
        value = json.loads(data)
        response = value.get("outcome")
        state = ClaimState(value["state"])
        claim = Claim(
            token=_read_string(value, "token"),
            fingerprint=_read_string(value, "fingerprint"),
            state=state,
            response=None if response is None else _decode_response(response),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise WireFormatError(f"claim cannot be decoded: {error!r}") from error
    if (claim.response is not None) != (state is ClaimState.DONE):
        raise WireFormatError(
            f"claim in state {state.value} has an unexpected or missing outcome"
        )
    return claim


def _read_string(value: dict[str, Any], name: str) -> str:
    text = value[name]
    if not isinstance(text, str):
        raise TypeError(f"{name} is not a string")
    return text


def _decode_response(value: dict[str, Any]) -> ServiceResponse:
    return ServiceResponse(
        status=int(value["status"]),
        content_type=_read_string(value, "content_type"),
        body=base64.b64decode(_read_string(value, "body"), validate=True),
        is_placeholder=bool(value.get("is_note", False)),
    )
