"""Interface for observers of streams."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from hibiscustiller.routing._routes import Route
from hibiscustiller.utils import ServerId


class StreamObserver(Protocol):
    """Receives the events of the streams that this router runs."""

    def note_started(self, route: Route, cost: int) -> None:
        """Handle the start of an attempt on a route.

        :param cost: expected cost in tokens.
        """
        ...

    def note_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """Handle the arrival of a token.

        :param delay: time since the previous token, or since the attempt's start.
        :param is_first: whether it is the attempt's first token.
        """
        ...

    def note_refused(self, server: ServerId) -> None:
        """Handle a backend server's refusal of an attempt."""
        ...

    def note_failed(self, server: ServerId) -> None:
        """Handle a failure: the backend server ended an attempt early or timed out."""
        ...

    def note_finished(self, route: Route) -> None:
        """Handle the end of an attempt, for any reason."""
        ...
