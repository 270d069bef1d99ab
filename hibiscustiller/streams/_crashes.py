"""Containment of requests that crash the backend servers that run them.

When a server dies, every request that ran there becomes a suspect. Suspects are
isolated from each other, with at most one on each server, until they finish or get past
the position at which the server died. A suspect is quarantined if another server dies
while it is the only suspect there.

Each router observes only its own requests. A quarantine is therefore lifted when
another router reports a request that ran on the server at the same death and is as
likely to have caused it.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from hibiscustiller.utils import (
    Clock,
    Fingerprint,
    ModelName,
    OrganisationId,
    ServerId,
    compute_fingerprint,
    log_event,
)
from hibiscustiller.wire._messages_generated import CrashReport

QUARANTINE_DURATION = timedelta(minutes=10)
# An entry takes about 500 bytes, so that all tables stay below 5 MB.
_DEFAULT_CAPACITY = 4096
_MAX_PENDING_REPORTS = 1024
# Routers detect a death within the next-byte timeout, plus the transmission time of a
# report. Reports about one server within this window refer to the same death.
_SAME_DEATH_WINDOW = timedelta(seconds=10)
# A connection reset reveals a death to all routers at about the same time. Differences
# between the clocks of hosts and the transmission of reports add some hundred
# milliseconds.
_SIMULTANEITY_WINDOW = timedelta(seconds=1)
# A request that crashes servers does so again at the same position. The position that
# the router knows lags by the token that was in flight.
_TOKENS_PAST_DEATH = 2
# A request that has got past this many deaths is quarantined if it is alone at a
# further one. An innocent request can coincide with two deaths when hosts fail one
# after the other.
_MAX_OUTLIVED_DEATHS = 2
# Suspects that were present together at several deaths, or whose quarantine was lifted,
# restart one after the other at this interval. A request that crashes servers does so
# at once, whereas the others finish a part of their answer.
_RESTART_INTERVAL = timedelta(seconds=1)
_MAX_RESTART_INTERVALS = 3
# By this time other routers have reported which of their requests ran on the server.
_PEER_REPORT_DELAY = timedelta(milliseconds=300)
_MAX_TEXT_LENGTH = 128
_MS = timedelta(milliseconds=1)
_ZERO = timedelta(0)


class CrashEvent(Enum):
    """State of a request that a crash report announces."""

    SUSPECTED = "suspected"
    CLEARED = "cleared"
    QUARANTINED = "quarantined"


@dataclass(eq=False)
class TrackedAttempt:
    """One attempt of a request on its servers, as the crash registry tracks it.

    :param position: number of tokens delivered so far.
    :param is_attributed: whether a death has already been attributed to this attempt.
    """

    fingerprint: Fingerprint
    servers: frozenset[ServerId]
    position: int = 0
    is_attributed: bool = False


@dataclass(eq=False)
class _Death:
    """A server's death and all requests known to have run there.

    A server that restarts may die again within the window in which reports count as one
    death. The requests that ran there together are therefore distinguished by time.

    :param at: time of the death, on the monotonic clock.
    :param times_by_fingerprint: time of the latest death of the server at which each
        request is known to have run there.
    """

    at: timedelta
    times_by_fingerprint: dict[Fingerprint, timedelta] = field(default_factory=dict)

    def list_simultaneous(self, at: timedelta) -> set[Fingerprint]:
        """Return the requests that ran on the server when it died at about a time."""
        return {
            fingerprint
            for fingerprint, time in self.times_by_fingerprint.items()
            if abs(time - at) <= _SIMULTANEITY_WINDOW
        }


@dataclass
class _Suspect:
    """Evidence that a request may crash servers.

    :param deaths_by_server: deaths that the request has not got past.
    :param outlived_deaths: number of deaths that it has got past.
    :param position: position of the request at the latest death; None if a peer
        reported the death.
    """

    expires_at: timedelta
    deaths_by_server: dict[ServerId, _Death] = field(default_factory=dict)
    outlived_deaths: int = 0
    position: int | None = 0


@dataclass(frozen=True, eq=False)
class _QuarantineCause:
    """Reason for a quarantine.

    :param suspect: evidence, including the latest death.
    :param server: server of the latest death.
    :param at: time of the latest death, on the monotonic clock.
    """

    suspect: _Suspect
    server: ServerId
    death: _Death
    at: timedelta


class CrashRegistry:
    """Tracks requests that are suspected of crashing servers, or quarantined.

    :param clock: source of time.
    :param quarantine_duration: duration of a quarantine and of a suspicion.
    :param capacity: maximum size of each table; the oldest entries are evicted first.
    """

    def __init__(
        self,
        clock: Clock,
        quarantine_duration: timedelta = QUARANTINE_DURATION,
        capacity: int = _DEFAULT_CAPACITY,
    ) -> None:
        self._clock = clock
        self._quarantine_duration = quarantine_duration
        self._capacity = capacity
        self._attempts_by_server: dict[ServerId, set[TrackedAttempt]] = {}
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._quarantine_ends: OrderedDict[Fingerprint, timedelta] = OrderedDict()
        self._quarantine_reports: OrderedDict[Fingerprint, CrashReport] = OrderedDict()
        self._quarantine_causes: OrderedDict[Fingerprint, _QuarantineCause] = (
            OrderedDict()
        )
        # Time before which a request must not start again, if it is staggered or its
        # quarantine was lifted.
        self._restart_times: OrderedDict[Fingerprint, timedelta] = OrderedDict()
        self._deaths_by_server: OrderedDict[ServerId, _Death] = OrderedDict()
        # Cache of the servers that run an isolated suspect; None if it is invalid.
        # After the loss of a failure domain, hundreds of suspects query it many times a
        # second.
        self._occupied_servers: frozenset[ServerId] | None = None
        self._reports: deque[CrashReport] = deque(maxlen=_MAX_PENDING_REPORTS)
        self._listeners: list[Callable[[], None]] = []
        # Sends the reports to the peers immediately; the router sets it at start-up.
        self.send_reports_now: Callable[[], Awaitable[None]] = _skip_sending

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the servers occupied by suspects may have changed."""
        self._listeners.append(listener)

    def get_quarantine(self, fingerprint: Fingerprint) -> timedelta | None:
        """Return the remaining quarantine time of a request; None if it may run."""
        end = self._quarantine_ends.get(fingerprint)
        if end is None:
            return None
        left = end - self._clock.monotonic()
        if left > timedelta(0):
            return left
        del self._quarantine_ends[fingerprint]
        return None

    def get_start_delay(self, fingerprint: Fingerprint) -> timedelta:
        """Return how long a request must wait before it starts again."""
        at = self._restart_times.get(fingerprint, _ZERO)
        left = at - self._clock.monotonic()
        if left > _ZERO:
            return left
        self._restart_times.pop(fingerprint, None)
        return _ZERO

    def list_quarantined(self) -> dict[Fingerprint, timedelta]:
        """Return the remaining quarantine time of each quarantined request."""
        remaining = {
            fingerprint: self.get_quarantine(fingerprint)
            for fingerprint in list(self._quarantine_ends)
        }
        return {
            fingerprint: left
            for fingerprint, left in remaining.items()
            if left is not None
        }

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is a suspect."""
        return self._get_suspect(fingerprint) is not None

    def list_occupied_servers(self, fingerprint: Fingerprint) -> frozenset[ServerId]:
        """Return servers that a request must not use; empty unless it is isolated."""
        if not self._suspects or not self._must_isolate(fingerprint, 0):
            return frozenset()
        if self._occupied_servers is None:
            self._occupied_servers = self._find_occupied_servers()
        return self._occupied_servers

    def try_start(
        self, fingerprint: Fingerprint, servers: Collection[ServerId], position: int
    ) -> TrackedAttempt | None:
        """Register an attempt, which ``record_end`` or ``record_completion`` removes.

        :param position: number of tokens delivered before the attempt.
        :returns: the attempt; None if the request is an isolated suspect and another
            one runs on one of the servers.
        """
        if not self.list_occupied_servers(fingerprint).isdisjoint(servers):
            return None
        attempt = TrackedAttempt(fingerprint, frozenset(servers), position)
        for server in attempt.servers:
            self._attempts_by_server.setdefault(server, set()).add(attempt)
        self._invalidate_if_suspect(fingerprint)
        return attempt

    def record_token(self, attempt: TrackedAttempt) -> None:
        """Record a token; a suspect that gets past its deaths is no longer isolated."""
        attempt.position += 1
        if not self._suspects:
            return
        suspect = self._get_suspect(attempt.fingerprint)
        if suspect is None or self._must_isolate(attempt.fingerprint, attempt.position):
            return
        suspect.outlived_deaths += len(suspect.deaths_by_server)
        suspect.deaths_by_server.clear()
        self._invalidate_occupied_servers()

    def record_end(self, attempt: TrackedAttempt) -> None:
        """Record the end of an attempt that gives no evidence about its request."""
        for server in attempt.servers:
            attempts = self._attempts_by_server.get(server, set())
            attempts.discard(attempt)
            if not attempts:
                self._attempts_by_server.pop(server, None)
        self._invalidate_if_suspect(attempt.fingerprint)

    def record_completion(self, attempt: TrackedAttempt) -> None:
        """Record a complete answer, which clears a suspect."""
        self.record_end(attempt)
        if self._suspects.pop(attempt.fingerprint, None) is not None:
            self._invalidate_occupied_servers()
            self._add_report(attempt.fingerprint, ServerId(""), CrashEvent.CLEARED)

    def record_death(self, attempt: TrackedAttempt, server: ServerId) -> None:
        """Record the death of a server that ran an attempt.

        The first attempt that detects a death counts for all attempts on the server,
        so that later detections do not count as another death.
        """
        if attempt.is_attributed:
            return
        attempts = self._attempts_by_server.get(server, set()) | {attempt}
        attempts = {other for other in attempts if not other.is_attributed}
        for other in attempts:
            other.is_attributed = True
        self._evaluate_death(server, attempts)

    def collect_reports(self) -> tuple[CrashReport, ...]:
        """Return and clear the reports for the peers since the last call."""
        reports = tuple(self._reports)
        self._reports.clear()
        return reports

    def list_quarantine_reports(self) -> tuple[CrashReport, ...]:
        """Return the reports of all active quarantines, to send to a new router."""
        quarantined = self.list_quarantined()
        return tuple(
            report
            for fingerprint, report in self._quarantine_reports.items()
            if fingerprint in quarantined
        )

    def apply_report(self, report: CrashReport) -> None:
        """Apply a peer's report; a late or malformed report is ignored."""
        if not 0 < len(report.fingerprint) <= _MAX_TEXT_LENGTH:
            return
        if len(report.server_id) > _MAX_TEXT_LENGTH:
            return
        age_ms = self._read_wall_clock_ms() - report.at_ms
        # Clocks of hosts differ by less than the window in which deaths are merged. The
        # bounds are checked on integers, since the field may hold any 64-bit number.
        if not -_SAME_DEATH_WINDOW / _MS <= age_ms < self._quarantine_duration / _MS:
            return
        age = age_ms * _MS
        fingerprint = Fingerprint(report.fingerprint)
        if report.event == CrashEvent.QUARANTINED.value:
            self._apply_quarantine(fingerprint, ServerId(report.server_id), age)
            self._store_quarantine_report(report)
            self._recheck_quarantines(ServerId(report.server_id))
        elif report.event == CrashEvent.CLEARED.value:
            self._suspects.pop(fingerprint, None)
            self._invalidate_occupied_servers()
        elif report.event == CrashEvent.SUSPECTED.value:
            self._apply_suspicion(fingerprint, ServerId(report.server_id), age)

    def _apply_suspicion(
        self, fingerprint: Fingerprint, server: ServerId, age: timedelta
    ) -> None:
        at = self._clock.monotonic() - age
        death = self._get_or_add_death(server, at)
        if self.get_quarantine(fingerprint) is not None:
            death.times_by_fingerprint[fingerprint] = at
            self._recheck_quarantines(server)
            return
        self._add_suspect(fingerprint, server, death, at).position = None
        self._stagger_restarts(death, at)
        self._recheck_quarantines(server)
        sole_deaths = [
            known_death
            for known_death in self._suspects[fingerprint].deaths_by_server.values()
            if known_death.times_by_fingerprint.keys() == {fingerprint}
        ]
        if len(sole_deaths) > 1:
            self._quarantine_and_report(fingerprint, server, death, at)

    def _list_repeat_suspects(self, death: _Death, at: timedelta) -> list[Fingerprint]:
        """Return the requests at a death that were at another one as well, sorted.

        The order is the same at all routers that know of them.
        """
        return sorted(
            fingerprint
            for fingerprint in death.list_simultaneous(at)
            if (suspect := self._get_evidence(fingerprint)) is not None
            and len(suspect.deaths_by_server) > 1
        )

    def _stagger_restarts(self, death: _Death, at: timedelta) -> None:
        """Stagger the restarts of requests that were together at several deaths.

        Each router isolates only its own suspects from each other. Two suspects of
        different routers could be present together at one death after another, so that
        the deaths could be attributed to neither.
        """
        for index, fingerprint in enumerate(self._list_repeat_suspects(death, at)):
            wait = (
                _PEER_REPORT_DELAY
                + min(_MAX_RESTART_INTERVALS, index) * _RESTART_INTERVAL
            )
            restart_at = death.times_by_fingerprint[fingerprint] + wait
            self._restart_times[fingerprint] = max(
                restart_at, self._restart_times.get(fingerprint, _ZERO)
            )
        _evict_oldest(self._restart_times, self._capacity)

    def _apply_quarantine(
        self, fingerprint: Fingerprint, server: ServerId, age: timedelta
    ) -> None:
        at = self._clock.monotonic() - age
        death = self._get_or_add_death(server, at)
        suspect = self._add_suspect(fingerprint, server, death, at)
        suspect.position = None
        time = self._quarantine_duration - max(age, _ZERO)
        self._add_quarantine(
            fingerprint, time, _QuarantineCause(suspect, server, death, at)
        )
        self._stagger_restarts(death, at)

    def _quarantine_and_report(
        self,
        fingerprint: Fingerprint,
        server: ServerId,
        death: _Death,
        at: timedelta,
    ) -> None:
        suspect = self._add_suspect(fingerprint, server, death, at)
        cause = _QuarantineCause(suspect, server, death, at)
        self._add_quarantine(fingerprint, self._quarantine_duration, cause)
        self._add_report(fingerprint, server, CrashEvent.QUARANTINED)
        log_event(
            "request_quarantined",
            level="warning",
            fingerprint=fingerprint,
            server=server,
        )

    def _recheck_quarantines(self, server: ServerId) -> None:
        """Lift quarantines whose death other requests are as likely to have caused."""
        death = self._deaths_by_server[server]
        causes_by_fingerprint = {
            fingerprint: cause
            for fingerprint, cause in self._quarantine_causes.items()
            if cause.death is death and self.get_quarantine(fingerprint) is not None
        }
        simultaneous_by_fingerprint = {
            fingerprint: death.list_simultaneous(cause.at)
            for fingerprint, cause in causes_by_fingerprint.items()
        }
        # All are evaluated before the first is lifted, so that the result is the same
        # at all routers, whatever the order of their tables.
        lifted = [
            fingerprint
            for fingerprint, simultaneous in simultaneous_by_fingerprint.items()
            if len(simultaneous) > 1
            and self._find_only_earlier_suspect(server, simultaneous) != fingerprint
        ]
        for fingerprint in lifted:
            self._lift_quarantine(fingerprint, simultaneous_by_fingerprint[fingerprint])

    def _lift_quarantine(
        self, fingerprint: Fingerprint, simultaneous: set[Fingerprint]
    ) -> None:
        cause = self._quarantine_causes.pop(fingerprint)
        del self._quarantine_ends[fingerprint]
        self._quarantine_reports.pop(fingerprint, None)
        self._suspects[fingerprint] = cause.suspect
        _evict_oldest(self._suspects, self._capacity)
        repeat_suspects = self._list_repeat_suspects(cause.death, cause.at)
        intervals = min(
            _MAX_RESTART_INTERVALS, bisect_left(repeat_suspects, fingerprint)
        )
        self._restart_times[fingerprint] = (
            self._clock.monotonic() + intervals * _RESTART_INTERVAL
        )
        _evict_oldest(self._restart_times, self._capacity)
        self._invalidate_occupied_servers()
        log_event(
            "quarantine_lifted",
            level="warning",
            fingerprint=fingerprint,
            server=cause.server,
            requests_at_death=len(simultaneous),
        )

    def _evaluate_death(
        self, server: ServerId, attempts: Iterable[TrackedAttempt]
    ) -> None:
        positions = {attempt.fingerprint: attempt.position for attempt in attempts}
        now = self._clock.monotonic()
        death = self._get_or_add_death(server, now)
        # Other routers may already have reported their requests at this death.
        simultaneous = positions.keys() | death.list_simultaneous(now)
        probable_cause = self._find_probable_cause(server, simultaneous)
        if probable_cause in positions:
            death.times_by_fingerprint.update(dict.fromkeys(positions, now))
            self._quarantine_and_report(probable_cause, server, death, now)
            return
        for fingerprint, position in positions.items():
            self._add_suspect(fingerprint, server, death, now).position = position
            self._add_report(fingerprint, server, CrashEvent.SUSPECTED)
        self._stagger_restarts(death, now)

    def _find_probable_cause(
        self, server: ServerId, fingerprints: Collection[Fingerprint]
    ) -> Fingerprint | None:
        suspects = {
            fingerprint: suspect
            for fingerprint in fingerprints
            if (suspect := self._get_suspect(fingerprint)) is not None
        }
        if len(fingerprints) == 1:
            for fingerprint, suspect in suspects.items():
                if (
                    suspect.deaths_by_server
                    or suspect.outlived_deaths >= _MAX_OUTLIVED_DEATHS
                ):
                    return fingerprint
            return None
        return self._find_only_earlier_suspect(server, fingerprints)

    def _find_only_earlier_suspect(
        self, server: ServerId, fingerprints: Collection[Fingerprint]
    ) -> Fingerprint | None:
        """Return the request that was at another server's death, if exactly one was."""
        earlier = [
            fingerprint
            for fingerprint in fingerprints
            if (suspect := self._get_evidence(fingerprint)) is not None
            and suspect.deaths_by_server.keys() - {server}
        ]
        return earlier[0] if len(earlier) == 1 else None

    def _get_evidence(self, fingerprint: Fingerprint) -> _Suspect | None:
        if self.get_quarantine(fingerprint) is not None:
            cause = self._quarantine_causes.get(fingerprint)
            return None if cause is None else cause.suspect
        return self._get_suspect(fingerprint)

    def _get_suspect(self, fingerprint: Fingerprint) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_at > self._clock.monotonic():
            return suspect
        del self._suspects[fingerprint]
        self._invalidate_occupied_servers()
        return None

    def _invalidate_if_suspect(self, fingerprint: Fingerprint) -> None:
        if fingerprint in self._suspects:
            self._invalidate_occupied_servers()

    def _invalidate_occupied_servers(self) -> None:
        self._occupied_servers = None
        for listener in self._listeners:
            listener()

    def _find_occupied_servers(self) -> frozenset[ServerId]:
        return frozenset(
            server
            for server, attempts in self._attempts_by_server.items()
            if any(
                self._must_isolate(attempt.fingerprint, attempt.position)
                for attempt in attempts
            )
        )

    def _must_isolate(self, fingerprint: Fingerprint, position: int) -> bool:
        suspect = self._get_suspect(fingerprint)
        if suspect is None or not suspect.deaths_by_server:
            return False
        if suspect.position is None:
            return True
        return position < suspect.position + _TOKENS_PAST_DEATH

    def _add_suspect(
        self,
        fingerprint: Fingerprint,
        server: ServerId,
        death: _Death,
        at: timedelta,
    ) -> _Suspect:
        expires_at = self._clock.monotonic() + self._quarantine_duration
        suspect = self._get_evidence(fingerprint) or _Suspect(expires_at)
        self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        suspect.expires_at = expires_at
        suspect.deaths_by_server[server] = death
        death.times_by_fingerprint[fingerprint] = at
        self._invalidate_occupied_servers()
        _evict_oldest(self._suspects, self._capacity)
        return suspect

    def _get_or_add_death(self, server: ServerId, at: timedelta) -> _Death:
        """Return the death of a server at about a time; add it if it is unknown."""
        death = self._deaths_by_server.get(server)
        if death is None or abs(death.at - at) > _SAME_DEATH_WINDOW:
            death = self._deaths_by_server[server] = _Death(at)
            self._deaths_by_server.move_to_end(server)
            _evict_oldest(self._deaths_by_server, self._capacity)
        return death

    def _add_quarantine(
        self, fingerprint: Fingerprint, time: timedelta, cause: _QuarantineCause
    ) -> None:
        self._suspects.pop(fingerprint, None)
        self._quarantine_causes[fingerprint] = cause
        self._quarantine_causes.move_to_end(fingerprint)
        _evict_oldest(self._quarantine_causes, self._capacity)
        self._invalidate_occupied_servers()
        self._quarantine_ends[fingerprint] = self._clock.monotonic() + time
        self._quarantine_ends.move_to_end(fingerprint)
        _evict_oldest(self._quarantine_ends, self._capacity)

    def _add_report(
        self, fingerprint: Fingerprint, server: ServerId, event: CrashEvent
    ) -> None:
        report = CrashReport(
            fingerprint, server, event.value, self._read_wall_clock_ms()
        )
        self._reports.append(report)
        if event is CrashEvent.QUARANTINED:
            self._store_quarantine_report(report)

    def _store_quarantine_report(self, report: CrashReport) -> None:
        self._quarantine_reports[Fingerprint(report.fingerprint)] = report
        _evict_oldest(self._quarantine_reports, self._capacity)

    def _read_wall_clock_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def compute_stream_fingerprint(
    organisation: OrganisationId, model: ModelName, prompt: str
) -> Fingerprint:
    """Return a hash that identifies a stream when its request is repeated."""
    # JSON allows lone surrogates, which strict UTF-8 encoding rejects.
    parts = (organisation, model, prompt)
    return compute_fingerprint(*(part.encode(errors="surrogatepass") for part in parts))


def _evict_oldest(table: OrderedDict, capacity: int) -> None:
    while len(table) > capacity:
        table.popitem(last=False)


async def _skip_sending() -> None:
    """Do nothing; default of ``send_reports_now`` for a router without peers."""
