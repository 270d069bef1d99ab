"""Which backend servers may take new work.

A server's state is the worst of three signals: the platform's host list, the server's
own answers and the operators' document. A signal relayed by another router counts like
the router's own.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum, IntEnum
from typing import TYPE_CHECKING

from hibiscustiller.platform import HostList, HostState
from hibiscustiller.utils import (
    Clock,
    ServerId,
    check_invariant,
    jittered_delays,
    log_event,
)

if TYPE_CHECKING:
    # The configuration package imports this one for its peer messages.
    from hibiscustiller.configuration import FleetConfig
    from hibiscustiller.routing import Route

# From the earliest leaving signal to the last new work (R5).
LEAVING_LIMIT = timedelta(seconds=3)
# A relayed signal may be older than the limit when it arrives. Work that was planned
# just before may still start.
_LATE_SIGNAL_GRACE = timedelta(seconds=1)
# All routers see a server return at once; the jitter spreads their first requests.
_RETURN_JITTER = timedelta(seconds=2)
# A relayed signal that no own signal confirms is outdated after this time.
_RELAYED_SIGNAL_LIFE = timedelta(seconds=60)
# Clocks of hosts differ; a load report must be this much newer to refute a signal.
_CLOCK_SKEW = timedelta(seconds=1)
# One failure may be the request's fault; the stream avoids the server anyway.
_FAILURES_BEFORE_BLOCK = 2
_FIRST_BLOCK = timedelta(seconds=1)
_LAST_BLOCK = timedelta(seconds=30)
_BLOCK_AFTER_REFUSAL = timedelta(milliseconds=250)
_POLLS_BEFORE_SILENT = 2
_ABSENCES_BEFORE_GONE = 2


class BackendState(IntEnum):
    """A backend server's state; the highest of several signals counts."""

    SERVING = 0
    LEAVING = 1
    GONE = 2

    @property
    def label(self) -> str:
        """The state's name in messages and load reports."""
        return self.name.lower()


class SignalSource(Enum):
    """Where a signal about a server came from."""

    HOST_LIST = "host-list"
    LOAD_REPORT = "load-report"
    DOCUMENT = "document"
    RELAYED = "relayed"


@dataclass(frozen=True)
class LoadReport:
    """What a server said of itself at ``GET /v1/load``.

    :param measured_at: server's time of the measurement; None if it gave none.
    """

    measured_at: datetime | None
    running: int
    queued: int
    state: BackendState
    model: str
    version: str
    role: str


@dataclass(frozen=True)
class StateChange:
    """A state that this router saw itself, for its neighbours."""

    server: ServerId
    state: BackendState
    at: datetime


@dataclass
class _Backend:
    states_by_source: dict[SignalSource, BackendState] = field(default_factory=dict)
    # Monotonic time of the earliest leaving signal, and when this router learned of it.
    leaving_at: timedelta | None = None
    learned_at: timedelta | None = None
    relayed_at: datetime | None = None
    relayed_until: timedelta = timedelta(0)
    failures: int = 0
    missed_polls: int = 0
    unusable_until: timedelta = timedelta(0)
    block_delays: Iterator[timedelta] | None = None

    @property
    def state(self) -> BackendState:
        return max(self.states_by_source.values(), default=BackendState.SERVING)


class BackendTable:
    """States of the backend servers; implements ``routing.StreamObserver``.

    :param get_config: returns the document in force.
    :param clock: source of time.
    :param random_state: source of jitter.
    """

    def __init__(
        self,
        get_config: Callable[[], FleetConfig],
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._get_config = get_config
        self._clock = clock
        self._random_state = random_state
        self._backends_by_id: dict[ServerId, _Backend] = {}
        self._absences_by_server: dict[ServerId, int] = {}
        self._hosts = HostList({})
        self._listeners: list[Callable[[StateChange], None]] = []
        self._refusal_listeners: list[Callable[[ServerId], None]] = []

    def subscribe(self, listener: Callable[[StateChange], None]) -> None:
        """Call ``listener`` after each change that this router saw itself."""
        self._listeners.append(listener)

    def subscribe_refusals(self, listener: Callable[[ServerId], None]) -> None:
        """Call ``listener`` after each refusal, which may mean that a server leaves."""
        self._refusal_listeners.append(listener)

    def get_state(self, server: ServerId) -> BackendState:
        """Return the worst of a server's signals."""
        backend = self._refresh(server)
        return BackendState.GONE if backend is None else backend.state

    def is_usable(self, server: ServerId) -> bool:
        """Tell whether a server may take new work."""
        backend = self._refresh(server)
        return (
            backend is not None
            and backend.state is BackendState.SERVING
            and backend.missed_polls < _POLLS_BEFORE_SILENT
            and self._clock.monotonic() >= backend.unusable_until
        )

    def is_host_leaving(self, host: str) -> bool:
        """Tell whether the host list says that a host is leaving.

        :param host: its IP number.
        """
        return self._hosts.states_by_host.get(host) is HostState.LEAVING

    def list_states(self) -> dict[ServerId, BackendState]:
        """Return the state of each server of the document, for the report."""
        servers = self._get_config().servers_by_id
        return {server: self.get_state(server) for server in servers}

    # Signals.

    def note_document(self, config: FleetConfig) -> None:
        """Take over a new document at once, since its signals start the limit."""
        for server in self._backends_by_id.keys() - config.servers_by_id.keys():
            del self._backends_by_id[server]
            self._absences_by_server.pop(server, None)
        for server in config.servers_by_id:
            self._refresh(server)

    def note_host_list(self, hosts: HostList) -> None:
        """Take over the platform's list.

        A host that was never listed may be too new for the list, which lags. A host
        that vanishes is gone once it is missing twice, or at once if it was leaving.
        """
        self._hosts = hosts
        for server, config in self._get_config().servers_by_id.items():
            listed = hosts.states_by_host.get(config.address.host)
            if listed is not None:
                leaving = listed is HostState.LEAVING
                state = BackendState.LEAVING if leaving else BackendState.SERVING
                self._set_state(server, SignalSource.HOST_LIST, state)
        self._note_absent_hosts(hosts)

    def note_load_report(self, server: ServerId, report: LoadReport) -> None:
        """Take over what a server said of itself."""
        backend = self._refresh(server)
        if backend is None:
            return
        backend.missed_polls = 0
        self._set_state(server, SignalSource.LOAD_REPORT, report.state)
        relayed_at, measured_at = backend.relayed_at, report.measured_at
        if report.state is BackendState.SERVING and relayed_at and measured_at:
            if measured_at >= relayed_at + _CLOCK_SKEW:
                self._set_state(server, SignalSource.RELAYED, BackendState.SERVING)

    def note_relayed_signal(
        self, server: ServerId, state: BackendState, at: datetime
    ) -> bool:
        """Take over what another router saw.

        :param at: when it saw it, by its own clock.
        :returns: whether the signal is newer than the last relayed one.
        """
        backend = self._refresh(server)
        if backend is None:
            return False
        if backend.relayed_at is not None:
            held = backend.states_by_source.get(SignalSource.RELAYED, state)
            # At the same instant the worse state prevails, in any order of arrival.
            if (at, state) <= (backend.relayed_at, held):
                return False
        backend.relayed_at = at
        backend.relayed_until = self._clock.monotonic() + _RELAYED_SIGNAL_LIFE
        self._set_state(server, SignalSource.RELAYED, state, at)
        return True

    def note_poll_missed(self, server: ServerId) -> None:
        """Count a load report that did not arrive."""
        backend = self._refresh(server)
        if backend is not None:
            backend.missed_polls += 1
            if backend.missed_polls == _POLLS_BEFORE_SILENT:
                log_event("backend_silent", level="warning", server=server)

    # Streams.

    def record_start(self, route: Route, cost: int) -> None:
        """Check that no new work goes to a server after its leaving limit."""
        now = self._clock.monotonic()
        for server in route.servers:
            backend = self._refresh(server)
            if backend is None or backend.leaving_at is None:
                continue
            check_invariant(
                now <= find_leaving_deadline(backend.leaving_at, backend.learned_at),
                "no_new_work_to_leaving_server",
                server=server,
                since=now - backend.leaving_at,
            )

    def record_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """Clear the failures of servers that work."""
        for server in route.servers:
            backend = self._backends_by_id.get(server)
            if backend is not None and backend.failures:
                backend.failures = 0
                backend.block_delays = None
                backend.unusable_until = timedelta(0)

    def record_refusal(self, server: ServerId) -> None:
        """Avoid a server briefly, and ask it for its state."""
        self._block(server, _BLOCK_AFTER_REFUSAL)
        for listener in self._refusal_listeners:
            listener(server)

    def record_failure(self, server: ServerId) -> None:
        """Make a server unusable for a growing time after repeated failures."""
        backend = self._refresh(server)
        if backend is None:
            return
        backend.failures += 1
        if backend.failures < _FAILURES_BEFORE_BLOCK:
            return
        if backend.block_delays is None:
            backend.block_delays = jittered_delays(
                _FIRST_BLOCK, _LAST_BLOCK, self._random_state
            )
        delay = _FIRST_BLOCK / 2 + next(backend.block_delays)
        self._block(server, delay)
        log_event("backend_blocked", level="warning", server=server, delay=delay)

    def record_completion(self, route: Route) -> None:
        """Ignore the end of an attempt."""

    def _block(self, server: ServerId, delay: timedelta) -> None:
        backend = self._refresh(server)
        if backend is not None:
            until = self._clock.monotonic() + delay
            backend.unusable_until = max(backend.unusable_until, until)

    def _note_absent_hosts(self, hosts: HostList) -> None:
        if not hosts.states_by_host:
            # A list without any host is a fault of the platform.
            return
        for server, config in self._get_config().servers_by_id.items():
            host = config.address.host
            known = self._refresh(server).states_by_source.get(SignalSource.HOST_LIST)
            if host in hosts.states_by_host or known is None:
                continue
            absences = self._absences_by_server.get(server, 0) + 1
            self._absences_by_server[server] = absences
            was_leaving = known is not BackendState.SERVING
            if was_leaving or absences >= _ABSENCES_BEFORE_GONE:
                self._set_state(server, SignalSource.HOST_LIST, BackendState.GONE)
        for server, config in self._get_config().servers_by_id.items():
            if config.address.host in hosts.states_by_host:
                self._absences_by_server.pop(server, None)

    def _refresh(self, server: ServerId) -> _Backend | None:
        """Return a server's entry with the signals that need no message."""
        config = self._get_config().servers_by_id.get(server)
        if config is None:
            self._backends_by_id.pop(server, None)
            return None
        backend = self._backends_by_id.setdefault(server, _Backend())
        is_draining = config.state != "serving"
        state = BackendState.LEAVING if is_draining else BackendState.SERVING
        self._set_state(server, SignalSource.DOCUMENT, state)
        if self._clock.monotonic() >= backend.relayed_until:
            backend.relayed_at = None
            self._set_state(server, SignalSource.RELAYED, BackendState.SERVING)
        return backend

    def _set_state(
        self,
        server: ServerId,
        source: SignalSource,
        state: BackendState,
        at: datetime | None = None,
    ) -> None:
        backend = self._backends_by_id.setdefault(server, _Backend())
        held = backend.states_by_source.get(source)
        if held is state and at is None:
            return
        before = backend.state
        backend.states_by_source[source] = state
        held = held or BackendState.SERVING
        now, wall = self._clock.monotonic(), self._clock.now()
        if state is not BackendState.SERVING:
            age = max(timedelta(0), wall - at) if at is not None else timedelta(0)
            self._start_limit(backend, now - age, now)
        if backend.state is BackendState.SERVING and before is not backend.state:
            backend.leaving_at = backend.learned_at = None
            delay = _RETURN_JITTER * self._random_state.random()
            backend.unusable_until = max(backend.unusable_until, now + delay)
        if backend.state is not before:
            log_event(
                "backend_state",
                server=server,
                state=backend.state.label,
                source=source.value,
            )
        if source in (SignalSource.HOST_LIST, SignalSource.LOAD_REPORT):
            if state is not held:
                self._notify(StateChange(server, state, wall))

    def _start_limit(
        self, backend: _Backend, leaving_at: timedelta, now: timedelta
    ) -> None:
        if backend.leaving_at is None or leaving_at < backend.leaving_at:
            backend.leaving_at = leaving_at
        if backend.learned_at is None:
            backend.learned_at = now

    def _notify(self, change: StateChange) -> None:
        for listener in self._listeners:
            listener(change)


def find_leaving_deadline(
    leaving_at: timedelta, learned_at: timedelta | None
) -> timedelta:
    """Return the time after which a leaving server gets no new work.

    :param leaving_at: monotonic time of the earliest leaving signal.
    :param learned_at: when this router learned of the first one.
    """
    late = leaving_at if learned_at is None else learned_at + _LATE_SIGNAL_GRACE
    return max(leaving_at + LEAVING_LIMIT, late)
