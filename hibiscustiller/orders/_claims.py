"""Claims: the store's record that an order has been taken up.

A claim is created before the first byte goes to a backend server, so that it
outlives every host of the router. Nobody sends an order that somebody else claimed.
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

# The store refuses values over 1 MB; the rest is room for the other fields.
_MAX_CLAIM_BYTES = 900_000


class ClaimState(Enum):
    """How far a claimed order has come.

    A released claim was never sent. It stays in the store, because a late copy of its
    first write, which expects the key to be absent, must not create it again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@dataclass(frozen=True)
class OrderOutcome:
    """The answer of the backend server, kept for repeats.

    :param is_note: whether the body stands for an answer too large to be kept.
    """

    status: int
    content_type: str
    body: bytes
    is_note: bool = False


@dataclass(frozen=True)
class Claim:
    """One order's claim.

    :param token: unique to the claimant, to recognise a write whose answer was lost.
    :param fingerprint: digest of method, path and body.
    :param outcome: present once the order is done.
    """

    token: str
    fingerprint: str
    state: ClaimState
    outcome: OrderOutcome | None = None


def make_claim_key(organisation: OrganisationId, idempotency_key: str) -> str:
    """Return the store key of an order's claim."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"orders/{organisation}/{digest}"


def fingerprint_order(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells a repeat from a different order.

    :param path: the service's name and the path at the service.
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
    if claim.outcome is not None:
        value["outcome"] = {
            "status": claim.outcome.status,
            "content_type": claim.outcome.content_type,
            "body": base64.b64encode(claim.outcome.body).decode("ascii"),
            "is_note": claim.outcome.is_note,
        }
    return json.dumps(value, separators=(",", ":")).encode()


def encode_done_claim(claim: Claim, outcome: OrderOutcome) -> bytes:
    """Encode a claim with its outcome; a large answer is replaced by a note."""
    done = replace(claim, state=ClaimState.DONE, outcome=outcome)
    data = encode_claim(done)
    if len(data) <= _MAX_CLAIM_BYTES:
        return data
    return encode_claim(replace(done, outcome=_shorten_outcome(outcome)))


def _shorten_outcome(outcome: OrderOutcome) -> OrderOutcome:
    note = {
        "note": "the order ran once; its answer was too large to be kept",
        "status": outcome.status,
        "bytes": len(outcome.body),
    }
    return OrderOutcome(
        outcome.status, "application/json", json.dumps(note).encode(), is_note=True
    )


def decode_claim(data: bytes) -> Claim:
    """Decode a claim.

    :raises WireFormatError: if the bytes are no claim.
    """
    try:
        value = json.loads(data)
        outcome = value.get("outcome")
        state = ClaimState(value["state"])
        claim = Claim(
            token=_read_text(value, "token"),
            fingerprint=_read_text(value, "fingerprint"),
            state=state,
            outcome=None if outcome is None else _decode_outcome(outcome),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise WireFormatError(f"claim cannot be read: {error!r}") from error
    if (claim.outcome is not None) != (state is ClaimState.DONE):
        raise WireFormatError(f"claim in state {state.value} has a wrong outcome")
    return claim


def _read_text(value: dict[str, Any], name: str) -> str:
    text = value[name]
    if not isinstance(text, str):
        raise TypeError(f"{name} is no text")
    return text


def _decode_outcome(value: dict[str, Any]) -> OrderOutcome:
    return OrderOutcome(
        status=int(value["status"]),
        content_type=_read_text(value, "content_type"),
        body=base64.b64decode(_read_text(value, "body"), validate=True),
        is_note=bool(value.get("is_note", False)),
    )
