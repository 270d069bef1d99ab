"""Requests that servers may still run although their attempts have ended.

An attempt ends without an answer when its time is up, its caller has left or its
connection broke. The server's process may crash under the request later, which nobody
waits for any more. Such a run is therefore kept until it is known to be harmless or can
no longer be at the server, and a crash of the process in the meantime counts as a crash
under the request.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import BackendServer
from hibiscustiller.ingress._context import RequestContext
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.ingress._part_history import PartHistory, compute_crash_id
from hibiscustiller.utils import Clock, Fingerprint, PartId, ServerId, log_event

_CHECK_PERIOD = timedelta(milliseconds=150)
# A server stops work at the deadline that it was given, and takes some time to end.
_RETENTION_AFTER_DEADLINE = timedelta(seconds=1)
_MIN_RETENTION = timedelta(seconds=5)
# Streams have deadlines of many seconds. Crashes that long after the attempt mostly
# have another cause.
_MAX_RETENTION = timedelta(seconds=15)
# A run takes about half a kilobyte.
_MAX_RUNS = 4096


_Process = tuple[ServerId, int]


@dataclass(frozen=True)
class UnansweredRun:
    """A request that a server's process may still run.

    :param parts: parts of its prompt that may crash the server; empty if its answer
        had begun.
    :param sent_at: when it was sent, on the monotonic clock.
    :param expires_at: when it can no longer be at the server.
    """

    server: BackendServer
    fingerprint: Fingerprint
    parts: tuple[PartId, ...]
    sent_at: timedelta
    expires_at: timedelta


class UnansweredRuns:
    """Runs whose attempts have ended without an answer.

    :param health: tells whether a server's process has ended.
    :param crashes: history of requests whose backend servers crashed.
    :param parts: history of prompt parts under which backend servers crashed.
    :param is_leaving: tells whether a server has announced that it leaves. The end of
        its process is then no crash.
    :param capacity: maximum number of runs; the oldest ones are dropped.
    """

    def __init__(
        self,
        health: ServerHealth,
        crashes: CrashHistory,
        parts: PartHistory,
        is_leaving: Callable[[BackendServer], bool],
        clock: Clock,
        capacity: int = _MAX_RUNS,
    ) -> None:
        self._health = health
        self._crashes = crashes
        self._parts = parts
        self._is_leaving = is_leaving
        self._clock = clock
        self._capacity = capacity
        # By request, and by id and start of the process. Copies of a request at one
        # process are one run: it can crash only once.
        self._runs_by_fingerprint: dict[Fingerprint, dict[_Process, UnansweredRun]] = {}
        self._run_count = 0

    def __len__(self) -> int:
        return self._run_count

    def add(
        self,
        context: RequestContext,
        servers: Collection[BackendServer],
        sent_at: timedelta,
        has_begun: bool,
    ) -> None:
        """Keep a request whose attempt has ended without an answer.

        :param servers: the servers that may run it.
        :param sent_at: when it was sent, on the monotonic clock.
        :param has_begun: whether a part of its answer had arrived.
        """
        if not servers:
            return
        context.log_unanswered(servers)
        retention = context.caller_time_left + _RETENTION_AFTER_DEADLINE
        retention = min(max(retention, _MIN_RETENTION), _MAX_RETENTION)
        expires_at = self._clock.monotonic() + retention
        parts = () if has_begun else context.facts.prompt_parts
        runs = self._runs_by_fingerprint.pop(context.fingerprint, {})
        self._run_count -= len(runs)
        for server in servers:
            runs[server.id, server.born] = UnansweredRun(
                server, context.fingerprint, parts, sent_at, expires_at
            )
        self._run_count += len(runs)
        self._runs_by_fingerprint[context.fingerprint] = runs
        while self._run_count > self._capacity:
            oldest = next(iter(self._runs_by_fingerprint.values()))
            run = next(iter(oldest.values()))
            self.discard(run.fingerprint, [run.server])

    def record_answer(self, fingerprint: Fingerprint) -> None:
        """Drop the runs of a request that a server has answered.

        A request that can be answered is not the cause of a crash.
        """
        self._run_count -= len(self._runs_by_fingerprint.pop(fingerprint, ()))

    def discard(
        self, fingerprint: Fingerprint, servers: Iterable[BackendServer]
    ) -> None:
        """Drop the runs of a request at servers whose crash is recorded already."""
        runs = self._runs_by_fingerprint.get(fingerprint, {})
        for server in servers:
            if runs.pop((server.id, server.born), None) is not None:
                self._run_count -= 1
        if not runs:
            self._runs_by_fingerprint.pop(fingerprint, None)

    async def run(self) -> None:
        """Look for crashes of the servers of the runs until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_PERIOD)
            if self._runs_by_fingerprint:
                await self._health.check(self._list_checked_servers())
                self.update()

    def update(self) -> None:
        """Record the crashes that are known, and drop runs that have expired."""
        now = self._clock.monotonic()
        for run in self._list_runs():
            has_ended = self._health.has_ended(run.server)
            if has_ended and not self._is_leaving(run.server):
                self._record_crash(run)
            if has_ended or now >= run.expires_at:
                self.discard(run.fingerprint, [run.server])

    def _list_runs(self) -> list[UnansweredRun]:
        return [
            run for runs in self._runs_by_fingerprint.values() for run in runs.values()
        ]

    def _list_checked_servers(self) -> list[BackendServer]:
        """Return the servers to connect to.

        Engines are monitored by other means. They are checked only if the request is
        suspected, to learn the times of its further crashes more exactly.
        """
        return list(
            {
                run.server.id: run.server
                for run in self._list_runs()
                if not run.server.layers.width
                or self._crashes.has_crashes(run.fingerprint)
            }.values()
        )

    def _record_crash(self, run: UnansweredRun) -> None:
        crash_id = compute_crash_id(run.server.id, run.server.born)
        log_event(
            "crash_after_attempt",
            level="warning",
            server=run.server.id,
            fingerprint=run.fingerprint,
            crash=f"{crash_id:016x}",
            parts=",".join(run.parts),
            sent_ago=self._clock.monotonic() - run.sent_at,
        )
        if run.parts:
            self._parts.record_crash(run.parts, [crash_id], run.sent_at)
        reached_at = self._health.get_reached_at(run.server) or run.sent_at
        self._crashes.record_crash(
            run.fingerprint,
            run.sent_at,
            has_progress=False,
            crash_id=crash_id,
            alive_at=max(run.sent_at, reached_at),
        )
