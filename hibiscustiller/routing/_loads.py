"""This router's estimates of the backend servers' loads and times per token.

The router counts its own streams as they start and end. A load report arrives some
time after it was measured, so it is compared with the own streams that ran at that
time; the others belong to other routers. Times are seconds as floats, since this code
runs for each token.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta

from hibiscustiller.configuration import ServerConfig
from hibiscustiller.routing._routes import Route
from hibiscustiller.utils import Clock, DomainId, ServerId, SystemClock, check_invariant

# Reports of one server are many seconds apart, as all polls share 7 KB/s of control
# traffic. The weight of a report falls linearly to zero over this time.
_REPORT_LIFETIME_S = 30.0
_MAX_CHANGES = 512
# Step size of the corrections. About ten tokens (0.4 s at 39 ms per token) show a
# change, and single outliers have little effect.
_LEARNING_RATE = 0.1
# A correction halves in this time, so that a server or link that was slow, and is
# therefore no longer used, is tried again.
_CORRECTION_HALF_LIFE_S = 30.0
# Upper bound of one measured delay. The next-byte timeout handles longer stalls.
_MAX_DELAY_S = 2.0
# Lower bound of the estimated time per token, relative to the configured time: a
# server counts as at most ten times faster than configured.
_MIN_TOKEN_TIME_RATIO = 0.1
# Upper bound and step size of the ratio of all routers' streams to own streams.
_MAX_STREAM_RATIO = 64.0
_STREAM_RATIO_LEARNING_RATE = 0.1


@dataclass
class _Correction:
    """A learned difference from a configured time, in seconds, which decays."""

    seconds: float = 0.0
    updated_at: float = 0.0

    def get_value(self, now: float) -> float:
        if self.seconds == 0.0:
            return 0.0
        age = now - self.updated_at
        return self.seconds * 0.5 ** (age / _CORRECTION_HALF_LIFE_S)

    def add(self, change: float, minimum: float, now: float) -> None:
        self.seconds = max(minimum, self.get_value(now) + change)
        self.updated_at = now


@dataclass
class _ServerState:
    """Load and time per token of one server.

    :param token_seconds: configured time per token; zero until it is known.
    :param configured_streams: streams that the server runs without slowing down.
    :param own_streams: this router's streams in flight.
    :param changes: times of own starts (1) and ends (-1), oldest first.
    :param other_streams: streams of other routers in the last report.
    :param reported_own_streams: own streams that the last report includes.
    :param measured_at: when the last report was measured.
    :param token_time_correction: learned difference from ``token_seconds``.
    """

    token_seconds: float = 0.0
    configured_streams: int = 1
    own_streams: int = 0
    changes: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=_MAX_CHANGES)
    )
    other_streams: float = 0.0
    reported_own_streams: int = 0
    measured_at: float = -_REPORT_LIFETIME_S
    token_time_correction: _Correction = field(default_factory=_Correction)

    def count_own_streams_at(self, time: float) -> int:
        later = 0
        for changed_at, change in reversed(self.changes):
            if changed_at <= time:
                break
            later += change
        return max(0, self.own_streams - later)


class ServerLoads:
    """Own streams, reported loads and learned delays; a :class:`StreamObserver`.

    :param clock: time source for reports and corrections.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._states_by_server: dict[ServerId, _ServerState] = {}
        self._corrections_by_link: dict[tuple[DomainId, DomainId], _Correction] = {}
        self._stream_ratio = 1.0

    def record_start(self, route: Route, cost: int) -> None:
        """Count a stream that starts on a route."""
        now = self._read_clock()
        for server in route.servers:
            state = self._get_state(server)
            state.own_streams += 1
            state.changes.append((now, 1))

    def record_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """Update the corrections from the time between two tokens.

        The first token is ignored, since its delay includes queueing and prefill.
        """
        if is_first:
            return
        now = self._read_clock()
        predicted, terms = self._predict_delay(route, now)
        if not terms:
            return
        residual = min(delay.total_seconds(), _MAX_DELAY_S) - predicted
        # One stream does not show which part of its route is slow. The residual is
        # split by the weight of each term (normalised least mean squares); streams on
        # other routes undo the corrections of the wrong terms.
        step = (
            _LEARNING_RATE * residual / sum(weight * weight for _, _, weight in terms)
        )
        for correction, minimum, weight in terms:
            correction.add(step * weight, minimum, now)

    def record_link_delay(
        self, start: DomainId, end: DomainId, excess: timedelta
    ) -> None:
        """Update a link's correction from a direct measurement.

        :param excess: one-way delay above the configured one.
        """
        now = self._read_clock()
        link_correction = self._get_link_correction(start, end)
        measured = min(excess.total_seconds(), _MAX_DELAY_S)
        link_correction.add(
            _LEARNING_RATE * (measured - link_correction.get_value(now)), 0.0, now
        )

    def record_refusal(self, server: ServerId) -> None:
        """Ignore a refusal; the limits of the servers handle capacity."""

    def record_failure(self, server: ServerId) -> None:
        """Discard the last report of a server that failed."""
        state = self._states_by_server.get(server)
        if state is not None:
            state.other_streams = 0.0
            state.measured_at = self._read_clock() - _REPORT_LIFETIME_S

    def record_completion(self, route: Route) -> None:
        """Count a stream that ended on a route."""
        now = self._read_clock()
        for server in route.servers:
            state = self._get_state(server)
            state.own_streams -= 1
            state.changes.append((now, -1))
            check_invariant(
                state.own_streams >= 0, "in_flight_not_negative", server=server
            )

    def record_report(
        self, server: ServerId, running: int, queued: int, age: timedelta
    ) -> None:
        """Record a server's load report, unless a newer one is known.

        :param running: streams of all routers that the server runs.
        :param queued: streams of all routers that wait at the server.
        :param age: time since the measurement; a negative age counts as zero, since
            clocks differ.
        """
        now = self._read_clock()
        measured_at = now - max(0.0, age.total_seconds())
        state = self._get_state(server)
        if measured_at <= state.measured_at:
            return
        reported = running + queued
        own = state.count_own_streams_at(measured_at)
        if own > 0:
            ratio = min(_MAX_STREAM_RATIO, max(1.0, reported / own))
            self._stream_ratio += _STREAM_RATIO_LEARNING_RATE * (
                ratio - self._stream_ratio
            )
        state.other_streams = float(max(0, reported - own))
        state.reported_own_streams = own
        state.measured_at = measured_at

    def count_own_streams(self, server: ServerId) -> int:
        """Return this router's streams in flight at a server."""
        state = self._states_by_server.get(server)
        return 0 if state is None else state.own_streams

    def estimate_streams(self, server: ServerId) -> float:
        """Estimate all routers' streams at a server.

        Own streams are counted exactly. Changes of other routers' streams since the
        report are extrapolated from the own changes: routers that see the same report
        choose alike, so without this all of them would choose the same server.
        """
        state = self._states_by_server.get(server)
        if state is None:
            return 0.0
        return self._estimate_streams(state, self._read_clock())

    def estimate_token_seconds(self, server: ServerConfig) -> float:
        """Estimate a server's time per token with one more stream, in seconds."""
        now = self._read_clock()
        state = self._get_state(server.name)
        state.token_seconds = server.token_time.total_seconds()
        state.configured_streams = server.streams
        estimated_seconds = state.token_seconds + state.token_time_correction.get_value(
            now
        )
        load = (self._estimate_streams(state, now) + 1.0) / state.configured_streams
        # A server slows down only beyond its configured streams. The second factor
        # spreads streams over the servers below that load too, so that the failure of
        # one server ends fewer streams.
        return estimated_seconds * max(1.0, load) * (1.0 + load)

    def estimate_token_time(self, server: ServerConfig) -> timedelta:
        """Estimate a server's time per token with one more stream."""
        return timedelta(seconds=self.estimate_token_seconds(server))

    def get_link_corrections(self) -> dict[tuple[DomainId, DomainId], float]:
        """Return learned additions to one-way link delays, in seconds.

        The two failure domains of a key are in ascending order.
        """
        now = self._read_clock()
        return {
            ends: link_correction.get_value(now)
            for ends, link_correction in self._corrections_by_link.items()
        }

    def retain_servers(self, servers: Collection[ServerId]) -> None:
        """Discard servers that are no longer configured and have no own streams."""
        self._states_by_server = {
            server: state
            for server, state in self._states_by_server.items()
            if server in servers or state.own_streams
        }

    def _estimate_streams(self, state: _ServerState, now: float) -> float:
        age = now - state.measured_at
        if age >= _REPORT_LIFETIME_S:
            return float(state.own_streams)
        unreported = (state.own_streams - state.reported_own_streams) * (
            self._stream_ratio - 1.0
        )
        others = max(0.0, state.other_streams + unreported)
        return state.own_streams + others * (1.0 - age / _REPORT_LIFETIME_S)

    def _predict_delay(
        self, route: Route, now: float
    ) -> tuple[float, list[tuple[_Correction, float, float]]]:
        """Predict the time between two tokens of a stream.

        :returns: the seconds, and the corrections that they depend on, each with its
            minimum and its weight. Without an estimate of a server, zero and no
            corrections.
        """
        predicted = 0.0
        terms: list[tuple[_Correction, float, float]] = []
        previous: DomainId | None = None
        for stage in route.stages:
            state = self._states_by_server.get(stage.server)
            if state is None or not state.token_seconds:
                return 0.0, []
            load = self._estimate_streams(state, now) / state.configured_streams
            weight = max(1.0, load) * stage.share
            predicted += (
                state.token_seconds + state.token_time_correction.get_value(now)
            ) * weight
            minimum = (_MIN_TOKEN_TIME_RATIO - 1.0) * state.token_seconds
            terms.append((state.token_time_correction, minimum, weight))
            domain = stage.failure_domain
            if previous is not None and previous != domain:
                link_correction = self._get_link_correction(previous, domain)
                # An engine calls the next stage and waits for its result, so a token
                # crosses the link in both directions.
                predicted += 2.0 * link_correction.get_value(now)
                terms.append((link_correction, 0.0, 2.0))
            previous = domain
        return predicted, terms

    def _get_state(self, server: ServerId) -> _ServerState:
        state = self._states_by_server.get(server)
        if state is None:
            state = self._states_by_server[server] = _ServerState()
        return state

    def _get_link_correction(self, start: DomainId, end: DomainId) -> _Correction:
        ends = (start, end) if start < end else (end, start)
        link_correction = self._corrections_by_link.get(ends)
        if link_correction is None:
            link_correction = self._corrections_by_link[ends] = _Correction()
        return link_correction

    def _read_clock(self) -> float:
        return self._clock.monotonic().total_seconds()
