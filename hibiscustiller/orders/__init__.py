"""Calls to plain services, with orders at most once."""

from hibiscustiller.orders._claims import (
    Claim,
    ClaimState,
    OrderOutcome,
    decode_claim,
    encode_claim,
    fingerprint_order,
    make_claim_key,
)
from hibiscustiller.orders._forwarder import ServiceCall, ServiceForwarder, is_order

__all__ = [
    "Claim",
    "ClaimState",
    "OrderOutcome",
    "ServiceCall",
    "ServiceForwarder",
    "decode_claim",
    "encode_claim",
    "fingerprint_order",
    "is_order",
    "make_claim_key",
]
