"""Adaptive limits on the concurrent streams of this router at each backend server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from hibiscustiller.configuration import FleetConfig
from hibiscustiller.routing import Route
from hibiscustiller.utils import Clock, ServerId, check_invariant

# A limit is adjusted at most once per window. A burst of slow tokens or refusals then
# counts once, and the effect of an adjustment is observed before the next one.
_ADJUSTMENT_WINDOW = timedelta(milliseconds=250)
# With fewer samples, the median reflects scheduling noise rather than the server.
_MIN_SAMPLES = 8
_MAX_SAMPLES = 128
# The smallest median is remembered for one to two of these periods.
_BASELINE_PERIOD = timedelta(seconds=30)
_TOLERATED_SLOWDOWN_FACTOR = 2.0
_DECREASE_FACTOR = 0.75
_INCREASE_STREAMS = 1.0
_MIN_LIMIT_STREAMS = 1.0


@dataclass
class _DelayWindow:
    """Delays of one window, and the smallest median of recent windows, in seconds."""

    samples: list[float] = field(default_factory=list)
    min_median: float | None = None
    previous_min_median: float | None = None
    period_started: timedelta = timedelta(0)

    def add(self, delay: timedelta) -> None:
        if len(self.samples) < _MAX_SAMPLES:
            self.samples.append(delay.total_seconds())

    def end_window(self, now: timedelta) -> bool:
        """Clear the samples of the window and return whether the window was slow.

        A window is slow if its median exceeds the smallest recent median by more than
        the tolerated factor. Single delays are not compared: frames that arrive
        together have no delay between them, which would make the smallest delay zero.
        """
        if not self.samples:
            return False
        median = _find_median(self.samples)
        self.samples.clear()
        if now - self.period_started > _BASELINE_PERIOD:
            self.previous_min_median, self.min_median = (
                self.min_median,
                None,
            )
            self.period_started = now
        baselines = [
            s for s in (self.min_median, self.previous_min_median) if s is not None
        ]
        self.min_median = (
            median if self.min_median is None else min(self.min_median, median)
        )
        return bool(baselines) and median > _TOLERATED_SLOWDOWN_FACTOR * min(baselines)


@dataclass
class _ServerState:
    limit: float
    window_started: timedelta
    in_use: int = 0
    has_reached_limit: bool = False
    token_delays: _DelayWindow = field(default_factory=_DelayWindow)
    first_token_delays: _DelayWindow = field(default_factory=_DelayWindow)


class ServerLimits:
    """Concurrency limits with additive increase and multiplicative decrease.

    The initial limit is this router's share of the streams that the configuration
    sets for the server. The limit may exceed the share, up to the configured number of
    streams, while the server shows no sign of a queue. Slow first tokens indicate a
    queue and lower the limit as far as the share. Slow subsequent tokens and refusals
    can lower it to one stream.

    :param get_config: returns the current configuration.
    :param clock: source of time.
    :param count_routers: returns the number of routers that use a server, including
        this one.
    """

    def __init__(
        self,
        get_config: Callable[[], FleetConfig],
        clock: Clock,
        count_routers: Callable[[ServerId], int] = lambda server: 1,
    ) -> None:
        self._get_config = get_config
        self._clock = clock
        self._count_routers = count_routers
        self._states_by_server: dict[ServerId, _ServerState] = {}
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after a limit was raised."""
        self._listeners.append(listener)

    def has_capacity(self, server: ServerId) -> bool:
        """Return whether the limit of a server allows one more stream."""
        state = self._get_state(server)
        if state.in_use + 1 <= state.limit:
            return True
        state.has_reached_limit = True
        return False

    def get_limit(self, server: ServerId) -> float:
        """Return the limit of a server, in streams."""
        return self._get_state(server).limit

    def remove_unconfigured(self, config: FleetConfig) -> None:
        """Remove unused servers that are no longer in the configuration."""
        for server, state in list(self._states_by_server.items()):
            if server not in config.servers_by_id and not state.in_use:
                del self._states_by_server[server]

    def reserve_route(self, route: Route) -> None:
        """Count a stream from its grant on, before its first attempt starts."""
        for server in route.servers:
            self._get_state(server).in_use += 1

    def release_route(self, route: Route) -> None:
        """Release the streams that :meth:`reserve_route` counted."""
        for server in route.servers:
            state = self._get_state(server)
            state.in_use -= 1
            check_invariant(
                state.in_use >= 0, "reserved_streams_not_negative", server=server
            )

    def record_start(self, route: Route, cost: int) -> None:
        """Do nothing, since streams are counted from their grant on."""

    def record_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """Record the delay of a token, and adjust the limit if the window is over."""
        now = self._clock.monotonic()
        for server in route.servers:
            state = self._get_state(server)
            delays = state.first_token_delays if is_first else state.token_delays
            delays.add(delay)
            is_window_over = now - state.window_started >= _ADJUSTMENT_WINDOW
            if is_window_over and len(state.token_delays.samples) >= _MIN_SAMPLES:
                self._adjust_limit(server, state, now)

    def record_refusal(self, server: ServerId) -> None:
        """Lower the limit after a refusal, at most once per window."""
        state = self._get_state(server)
        now = self._clock.monotonic()
        if now - state.window_started >= _ADJUSTMENT_WINDOW:
            state.limit = max(_MIN_LIMIT_STREAMS, state.limit * _DECREASE_FACTOR)
            self._start_window(state, now)

    def record_failure(self, server: ServerId) -> None:
        """Do nothing, since a failure is no indication of load."""

    def record_completion(self, route: Route) -> None:
        """Do nothing, since streams are counted until their grant is released."""

    def _adjust_limit(
        self, server: ServerId, state: _ServerState, now: timedelta
    ) -> None:
        are_tokens_slow = state.token_delays.end_window(now)
        are_first_tokens_slow = state.first_token_delays.end_window(now)
        share = self._get_share(server)
        previous_limit = state.limit
        if are_tokens_slow:
            state.limit = max(_MIN_LIMIT_STREAMS, state.limit * _DECREASE_FACTOR)
        elif are_first_tokens_slow and state.limit > share:
            state.limit = max(share, state.limit * _DECREASE_FACTOR)
        elif state.has_reached_limit and not are_first_tokens_slow:
            bound = max(_MIN_LIMIT_STREAMS, float(self._get_streams(server)))
            state.limit = min(bound, state.limit + _INCREASE_STREAMS)
        self._start_window(state, now)
        if state.limit > previous_limit:
            for listener in self._listeners:
                listener()

    def _start_window(self, state: _ServerState, now: timedelta) -> None:
        state.window_started = now
        state.has_reached_limit = False
        state.token_delays.samples.clear()
        state.first_token_delays.samples.clear()

    def _get_state(self, server: ServerId) -> _ServerState:
        state = self._states_by_server.get(server)
        if state is None:
            # The first window is over at once, so that an early refusal takes effect.
            started = self._clock.monotonic() - _ADJUSTMENT_WINDOW
            state = _ServerState(self._get_share(server), started)
            self._states_by_server[server] = state
        return state

    def _get_share(self, server: ServerId) -> float:
        router_count = max(1, self._count_routers(server))
        return max(_MIN_LIMIT_STREAMS, self._get_streams(server) / router_count)

    def _get_streams(self, server: ServerId) -> int:
        config = self._get_config().servers_by_id.get(server)
        # A server that was removed from the configuration may still have running
        # streams.
        return config.streams if config is not None else 1


def _find_median(samples: list[float]) -> float:
    """Return the median.

    ``statistics.median`` is not used, because the module imports ``decimal`` and
    ``fractions``, which take 0.6 MB in each daemon.
    """
    ordered = sorted(samples)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
