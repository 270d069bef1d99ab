"""Claims: the store's record that an order has been taken up.

A claim is created before the first byte goes to a backend server, so that it
outlives every host of the router. Nobody sends an order that somebody else claimed.
"""

from __future__ import annotations

import base64
import hashlib
import json
from dataclasses import dataclass
from enum import Enum

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.utils import OrganisationId


class ClaimState(Enum):
    """How far a claimed order has come."""

    CLAIMED = "claimed"
    DONE = "done"


@dataclass(frozen=True)
class OrderOutcome:
    """The answer of the backend server, kept for repeats."""

    status: int
    content_type: str
    body: bytes


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
    """Return the digest that tells a repeat from a different order."""
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
        }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_claim(data: bytes) -> Claim:
    """Decode a claim.

    :raises WireFormatError: if the bytes are no claim.
    """
    try:
        value = json.loads(data)
        outcome = value.get("outcome")
        return Claim(
            token=value["token"],
            fingerprint=value["fingerprint"],
            state=ClaimState(value["state"]),
            outcome=None if outcome is None else _decode_outcome(outcome),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise WireFormatError(f"claim cannot be read: {error!r}") from error


def _decode_outcome(value: dict[str, str | int]) -> OrderOutcome:
    return OrderOutcome(
        status=int(value["status"]),
        content_type=str(value["content_type"]),
        body=base64.b64decode(str(value["body"])),
    )
