"""Interface for observers of streams."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from hibiscustiller.routing._routes import Route
from hibiscustiller.utils import ServerId


class StreamObserver(Protocol):
    """Receives the events of the streams that this router runs."""

    def record_start(self, route: Route, cost: int) -> None:
        """Record the start of an attempt on a route.

        :param cost: expected cost in tokens.
        """
        ...

    def record_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """Record the arrival of a token.

        :param delay: time since the previous token, or since the attempt's start.
        :param is_first: whether it is the attempt's first token.
        """
        ...

    def record_refusal(self, server: ServerId) -> None:
        """Record a backend server's refusal of an attempt."""
        ...

    def record_failure(self, server: ServerId) -> None:
        """Record a failure: the backend server ended an attempt early or timed out."""
        ...

    def record_completion(self, route: Route) -> None:
        """Record the end of an attempt, for any reason."""
        ...
