"""What streams report about routes and backend servers."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from hibiscustiller.routing._routes import Route
from hibiscustiller.utils import ServerId


class StreamObserver(Protocol):
    """Learns from the streams that this router runs."""

    def note_started(self, route: Route, cost: int) -> None:
        """An attempt starts on a route.

        :param cost: tokens that it is expected to take.
        """
        ...

    def note_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """A token arrived.

        :param delay: time since the previous token, or since the start.
        :param is_first: whether it is the attempt's first token.
        """
        ...

    def note_refused(self, server: ServerId) -> None:
        """A backend server refused an attempt as not run."""
        ...

    def note_failed(self, server: ServerId) -> None:
        """A backend server broke off an attempt or fell silent."""
        ...

    def note_finished(self, route: Route) -> None:
        """An attempt ended, for whatever reason."""
        ...
