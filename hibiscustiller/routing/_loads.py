"""This router's view of the backend servers' loads."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from hibiscustiller.configuration import ServerConfig
from hibiscustiller.routing._routes import Route
from hibiscustiller.utils import ServerId, check_invariant


class ServerLoads:
    """Own streams in flight at each backend server."""

    def __init__(self) -> None:
        self.in_flight_by_server: Counter[ServerId] = Counter()

    def note_started(self, route: Route, cost: int) -> None:
        """Count a stream that starts on a route."""
        for server in route.servers:
            self.in_flight_by_server[server] += 1

    def note_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """Ignore a token; delays are not learned yet."""

    def note_refused(self, server: ServerId) -> None:
        """Ignore a refusal."""

    def note_failed(self, server: ServerId) -> None:
        """Ignore a failure."""

    def note_finished(self, route: Route) -> None:
        """Count a stream that ended on a route."""
        for server in route.servers:
            self.in_flight_by_server[server] -= 1
            count = self.in_flight_by_server[server]
            check_invariant(count >= 0, "in_flight_not_negative", server=server)

    def estimate_token_time(self, server: ServerConfig) -> timedelta:
        """Estimate a server's time a token with one more stream."""
        load = (self.in_flight_by_server[server.name] + 1) / server.streams
        return server.token_time * max(1.0, load) * (1.0 + load)
