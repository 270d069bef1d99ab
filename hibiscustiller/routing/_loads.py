"""This router's view of the backend servers' loads and paces.

Own streams are counted as they start and end. Load reports arrive late, so a report
is set against the own streams that ran when it was measured; the rest are streams of
other routers. Times are seconds in floats, since each token passes through here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta

from hibiscustiller.configuration import ServerConfig
from hibiscustiller.routing._routes import Route
from hibiscustiller.utils import Clock, DomainId, ServerId, SystemClock, check_invariant

# A server's reports are many seconds apart, as polls share 7 KB/s of control traffic.
# A report loses weight evenly over this time.
_REPORT_LIFETIME_S = 30.0
_CHANGES_KEPT = 512
# A residual moves the estimate by this part, so that about ten tokens (0.4 s at a
# 39 ms pace) show a change and single outliers do not.
_LEARNING_RATE = 0.1
# What was learned of a server or link that is no longer used loses half its weight
# in this time, so that it is tried again.
_CORRECTION_HALF_LIFE_S = 30.0
# One measured delay counts at most this much; a stall is the next-byte timeout's case.
_MAX_DELAY_S = 2.0
# A server never counts as more than ten times faster than documented.
_LEAST_PACE = 0.1
# The share of other routers in a server's load is learned within these bounds.
_MAX_ROUTER_SHARE = 64.0
_SHARE_RATE = 0.1


@dataclass
class _Correction:
    """A learned difference from a documented time, in seconds."""

    seconds: float = 0.0
    learned_at: float = 0.0

    def read(self, now: float) -> float:
        if self.seconds == 0.0:
            return 0.0
        age = now - self.learned_at
        return self.seconds * 0.5 ** (age / _CORRECTION_HALF_LIFE_S)

    def learn(self, change: float, least: float, now: float) -> None:
        self.seconds = max(least, self.read(now) + change)
        self.learned_at = now


@dataclass
class _ServerState:
    """What is known of one server.

    :param changes: times of own starts (1) and ends (-1), oldest first.
    :param foreign: streams of other routers when last reported.
    :param reported_own: own streams that the last report includes.
    """

    token_seconds: float = 0.0
    streams: int = 1
    own: int = 0
    changes: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=_CHANGES_KEPT)
    )
    foreign: float = 0.0
    reported_own: int = 0
    measured_at: float = -_REPORT_LIFETIME_S
    pace: _Correction = field(default_factory=_Correction)

    def count_own_at(self, time: float) -> int:
        later = 0
        for changed_at, change in reversed(self.changes):
            if changed_at <= time:
                break
            later += change
        return max(0, self.own - later)


class ServerLoads:
    """Own streams, reported loads and learned delays.

    :param clock: times reports and corrections.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._states_by_server: dict[ServerId, _ServerState] = {}
        self._links: dict[tuple[DomainId, DomainId], _Correction] = {}
        self._router_share = 1.0

    def note_started(self, route: Route, cost: int) -> None:
        """Count a stream that starts on a route."""
        now = self._read_seconds()
        for server in route.servers:
            state = self._get_state(server)
            state.own += 1
            state.changes.append((now, 1))

    def note_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """Learn from the time between two tokens.

        The first token is no measure of pace, since it includes queue and prefill.
        """
        if is_first:
            return
        now = self._read_seconds()
        expected, parts = self._expect_delay(route, now)
        if not parts:
            return
        residual = min(delay.total_seconds(), _MAX_DELAY_S) - expected
        # Which part of the route is slow cannot be told from one stream. Each part
        # takes a share by its weight in the sum (normalised least mean squares);
        # streams on other routes correct the wrong ones.
        step = _LEARNING_RATE * residual / sum(scale * scale for _, _, scale in parts)
        for correction, least, scale in parts:
            correction.learn(step * scale, least, now)

    def note_link_delay(
        self, start: DomainId, end: DomainId, excess: timedelta
    ) -> None:
        """Learn a link's delay from a direct measurement.

        :param excess: one-way delay above the documented one.
        """
        now = self._read_seconds()
        link = self._get_link(start, end)
        measured = min(excess.total_seconds(), _MAX_DELAY_S)
        link.learn(_LEARNING_RATE * (measured - link.read(now)), 0.0, now)

    def note_refused(self, server: ServerId) -> None:
        """Ignore a refusal; capacity is the limits' concern."""

    def note_failed(self, server: ServerId) -> None:
        """Forget what a failed server reported."""
        state = self._states_by_server.get(server)
        if state is not None:
            state.foreign = 0.0
            state.measured_at = self._read_seconds() - _REPORT_LIFETIME_S

    def note_finished(self, route: Route) -> None:
        """Count a stream that ended on a route."""
        now = self._read_seconds()
        for server in route.servers:
            state = self._get_state(server)
            state.own -= 1
            state.changes.append((now, -1))
            check_invariant(state.own >= 0, "in_flight_not_negative", server=server)

    def note_report(
        self, server: ServerId, running: int, queued: int, age: timedelta
    ) -> None:
        """Take over a server's load report.

        :param running: streams that run there, from any router.
        :param queued: streams that wait there, from any router.
        :param age: time since it was measured; below zero counts as zero, since
            clocks differ.
        """
        now = self._read_seconds()
        measured_at = now - max(0.0, age.total_seconds())
        state = self._get_state(server)
        if measured_at <= state.measured_at:
            return
        reported = running + queued
        own = state.count_own_at(measured_at)
        if own > 0:
            share = min(_MAX_ROUTER_SHARE, max(1.0, reported / own))
            self._router_share += _SHARE_RATE * (share - self._router_share)
        state.foreign = float(max(0, reported - own))
        state.reported_own = own
        state.measured_at = measured_at

    def count_own_streams(self, server: ServerId) -> int:
        """Return this router's streams in flight at a server."""
        state = self._states_by_server.get(server)
        return 0 if state is None else state.own

    def estimate_streams(self, server: ServerId) -> float:
        """Estimate all routers' streams at a server.

        Own streams count exactly. What other routers changed since the report is
        estimated from the own changes: routers that see the same report choose alike,
        so without this all of them would rush to the same server.
        """
        state = self._states_by_server.get(server)
        if state is None:
            return 0.0
        return self._estimate_streams(state, self._read_seconds())

    def estimate_token_seconds(self, server: ServerConfig) -> float:
        """Estimate a server's time a token with one more stream, in seconds."""
        now = self._read_seconds()
        state = self._get_state(server.name)
        state.token_seconds = server.token_time.total_seconds()
        state.streams = server.streams
        pace = state.token_seconds + state.pace.read(now)
        load = (self._estimate_streams(state, now) + 1.0) / state.streams
        # A server slows down only beyond its documented streams. The second factor
        # spreads streams before that, since a spread-out load survives failures.
        return pace * max(1.0, load) * (1.0 + load)

    def estimate_token_time(self, server: ServerConfig) -> timedelta:
        """Estimate a server's time a token with one more stream."""
        return timedelta(seconds=self.estimate_token_seconds(server))

    def list_link_corrections(self) -> dict[tuple[DomainId, DomainId], float]:
        """Return learned additions to one-way link delays, in seconds."""
        now = self._read_seconds()
        return {ends: link.read(now) for ends, link in self._links.items()}

    def retain_servers(self, servers: Collection[ServerId]) -> None:
        """Forget servers that are no longer configured and have no own streams."""
        self._states_by_server = {
            server: state
            for server, state in self._states_by_server.items()
            if server in servers or state.own
        }

    def _estimate_streams(self, state: _ServerState, now: float) -> float:
        age = now - state.measured_at
        if age >= _REPORT_LIFETIME_S:
            return float(state.own)
        unseen = (state.own - state.reported_own) * (self._router_share - 1.0)
        foreign = max(0.0, state.foreign + unseen)
        return state.own + foreign * (1.0 - age / _REPORT_LIFETIME_S)

    def _expect_delay(
        self, route: Route, now: float
    ) -> tuple[float, list[tuple[_Correction, float, float]]]:
        """Predict a token's delay; list what it depends on, with floor and scale."""
        expected = 0.0
        parts: list[tuple[_Correction, float, float]] = []
        previous: DomainId | None = None
        for stage in route.stages:
            state = self._states_by_server.get(stage.server)
            if state is None or not state.token_seconds:
                return 0.0, []
            load = self._estimate_streams(state, now) / state.streams
            scale = max(1.0, load) * stage.share
            expected += (state.token_seconds + state.pace.read(now)) * scale
            floor = (_LEAST_PACE - 1.0) * state.token_seconds
            parts.append((state.pace, floor, scale))
            domain = stage.failure_domain
            if previous is not None and previous != domain:
                link = self._get_link(previous, domain)
                # Engines call the next stage and wait, so a token crosses both ways.
                expected += 2.0 * link.read(now)
                parts.append((link, 0.0, 2.0))
            previous = domain
        return expected, parts

    def _get_state(self, server: ServerId) -> _ServerState:
        state = self._states_by_server.get(server)
        if state is None:
            state = self._states_by_server[server] = _ServerState()
        return state

    def _get_link(self, start: DomainId, end: DomainId) -> _Correction:
        ends = (start, end) if start < end else (end, start)
        link = self._links.get(ends)
        if link is None:
            link = self._links[ends] = _Correction()
        return link

    def _read_seconds(self) -> float:
        return self._clock.monotonic().total_seconds()
