"""Calls to plain services, with orders at most once."""

from hibiscustiller.orders._bucket import ClaimBucket
from hibiscustiller.orders._claims import (
    Claim,
    ClaimState,
    OrderOutcome,
    decode_claim,
    encode_claim,
    encode_done_claim,
    fingerprint_order,
    make_claim_key,
)
from hibiscustiller.orders._forwarder import (
    RetryBudget,
    ServiceCall,
    ServiceForwarder,
    is_order,
    make_repeat_headers,
)
from hibiscustiller.orders._ledger import ClaimLedger, HeldClaim

__all__ = [
    "Claim",
    "ClaimBucket",
    "ClaimLedger",
    "ClaimState",
    "HeldClaim",
    "OrderOutcome",
    "RetryBudget",
    "ServiceCall",
    "ServiceForwarder",
    "decode_claim",
    "encode_claim",
    "encode_done_claim",
    "fingerprint_order",
    "is_order",
    "make_claim_key",
    "make_repeat_headers",
]
