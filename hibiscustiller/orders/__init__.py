"""Forwarding of HTTP calls to services that serve no model.

Such a service is called a plain service. A non-idempotent call to it is called an order
and is sent at most once.
"""

from hibiscustiller.orders._bucket import ClaimRateLimiter
from hibiscustiller.orders._claims import (
    Claim,
    ClaimState,
    ServiceResponse,
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
    "ClaimRateLimiter",
    "ClaimLedger",
    "ClaimState",
    "HeldClaim",
    "ServiceResponse",
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
