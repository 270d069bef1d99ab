"""Verdicts and refusals, reported to callers for failed requests."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class Verdict(Enum):
    """Whether a backend server may have executed a failed request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class RefusalReason(Enum):
    """Reason why a request was refused or failed.

    :param label: name of the reason in logs and metrics.
    :param status: HTTP status of the response.
    """

    BAD_REQUEST = ("bad-request", 400)
    UNAUTHENTICATED = ("unauthenticated", 401)
    FORBIDDEN = ("forbidden", 403)
    NOT_FOUND = ("not-found", 404)
    UNKNOWN_MODEL = ("unknown-model", 404)
    REQUEST_TIMEOUT = ("request-timeout", 408)
    CONFLICT = ("conflict", 409)
    ORDER_IN_PROGRESS = ("order-in-progress", 409)
    TOO_LARGE = ("too-large", 413)
    KEY_REUSED = ("idempotency-key-reused", 422)
    QUARANTINED = ("quarantined", 422)
    INVALID_CONFIGURATION = ("invalid-configuration", 422)
    OVERLOADED = ("overloaded", 429)
    DEADLINE = ("deadline-cannot-be-met", 429)
    HEADERS_TOO_LARGE = ("headers-too-large", 431)
    INTERNAL = ("internal", 500)
    BACKEND_FAILED = ("backend-failed", 502)
    NO_ROUTE = ("no-route", 503)
    OUTDATED = ("outdated", 503)
    CRASHES_SERVERS = ("crashes-servers", 503)
    STORE_UNAVAILABLE = ("store-unavailable", 503)
    BACKEND_TIMEOUT = ("backend-timeout", 504)

    def __init__(self, label: str, status: int) -> None:
        self.label = label
        self.status = status


@dataclass(frozen=True)
class Refusal:
    """Final answer to a request that the router stops processing.

    :param reason: reason, which determines the HTTP status.
    :param verdict: whether a backend server may have executed the request.
    :param message: explanation for the caller, in one sentence.
    :param retry_after: delay after which a retry may succeed; None if a retry would not
        help.
    """

    reason: RefusalReason
    verdict: Verdict
    message: str
    retry_after: timedelta | None = None
