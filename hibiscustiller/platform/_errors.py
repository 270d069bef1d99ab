"""Failures of the key-value service that callers tell apart."""

from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.utils import Verdict


class LeaseExpiredError(StoreUnavailableError):
    """A write was refused because its lease no longer exists; nothing was written."""

    def __init__(self, message: str) -> None:
        super().__init__(message, Verdict.NOT_RUN)


class StoreRefusedError(StoreUnavailableError):
    """The service refused a call as wrong; it is available for others.

    :param status: HTTP status of the answer.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"the store answered status {status}", Verdict.MAY_HAVE_RUN)


class ValueTooLargeError(StoreUnavailableError):
    """A value is over the service's limit; nothing was sent."""

    def __init__(self, size: int, limit: int) -> None:
        message = f"value has {size} bytes; accepted are 0 to {limit}"
        super().__init__(message, Verdict.NOT_RUN)


class StoreRolledBackError(StoreUnavailableError):
    """The service is at a lower revision than the one already seen.

    A watch from the old revision would stay silent, so the key must be read again.
    """

    def __init__(self, found: int, seen: int) -> None:
        message = f"the store is at revision {found}, but {seen} was seen before"
        super().__init__(message, Verdict.NOT_RUN)


class HistoryLostError(StoreUnavailableError):
    """The service no longer has the changes after a revision."""

    def __init__(self, revision: object) -> None:
        message = f"the changes after revision {revision} are no longer available"
        super().__init__(message, Verdict.NOT_RUN)
