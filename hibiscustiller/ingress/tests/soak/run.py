"""One run of the soak test: a seed, its faults, and the checks of the guarantees."""

import math
import random
import tempfile
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import curio

from hibiscustiller.ingress.tests.fixtures import LAYERS
from hibiscustiller.ingress.tests.soak.calls import NOT_RUN_STATUSES, Callers
from hibiscustiller.ingress.tests.soak.faults import FaultInjector
from hibiscustiller.ingress.tests.soak.site import Deployment, make_versioned_document
from hibiscustiller.standins._programs import CRASH_PART_MARK, NAMED_RATE_LIMIT

_CALLER_COUNT = 16
_FAULT_SERIES_COUNT = 3
# Time within which every daemon serves all kinds of requests after the last fault.
_RECOVERY_LIMIT_S = 12.0
# Memory that the smallest hosts of the platform have for a daemon.
_MAX_MEMORY_MB = 200.0
# Number of crashes under a request, or a part of prompts, after which few attempts may
# reach servers once all connected daemons have had time to receive the crash records.
_CRASHES_OF_REQUEST = 3
_CRASHES_OF_PART = 5
_MAX_RETRIES_AFTER_QUARANTINE = 3
# Time within which connected daemons receive the crash records.
_CONVERGENCE_LIMIT_S = 3.0
_LIMIT_WINDOW_S = 4.0
# The drain time of the configuration.
_DRAIN_S = 2.0
_ERROR_PATTERNS = ("Traceback", "event=invariant_violated", "event=task_failed")


@dataclass
class SoakResult:
    """Outcome of a run.

    :param problems: violated guarantees; empty if there are none.
    :param calls: number of calls by kind and status.
    :param faults: number of faults by name.
    :param directory: directory of the logs and run records, which is kept if there are
        problems.
    """

    seed: int
    problems: list = field(default_factory=list)
    calls: Counter = field(default_factory=Counter)
    faults: dict = field(default_factory=dict)
    directory: str = ""


class Soak:
    """One run with a seed.

    :param length_s: time during which new faults are injected, in seconds.
    :param fault_names: faults to choose from; all by default.
    """

    def __init__(self, seed, length_s=8.0, fault_names=None):
        self._random_state = random.Random(seed)
        self._length_s = length_s
        self._directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.deployment = Deployment(self._directory)
        self.callers = Callers(self.deployment, self._random_state)
        self.faults = FaultInjector(self.deployment, self.callers, self._random_state)
        self._fault_names = fault_names or sorted(self.faults.list_faults())
        self.result = SoakResult(seed, directory=str(self._directory))

    async def run(self):
        """Run the programs under load and faults, and return the result."""
        try:
            await self.deployment.start()
            await self.deployment.write_document(make_versioned_document(1))
            await self._wait_until_all_serve("before the faults")
            if not self.result.problems:
                await self._run_faults()
        finally:
            await self.deployment.stop()
        self._check_runs()
        self._check_crashes()
        self._check_limits()
        self._check_leaving()
        self._check_withdrawn()
        self._check_logs()
        self.callers.check_times(self.faults.is_disturbed)
        self.callers.check_versions(self.faults.is_disturbed_or_disconnected)
        self._check_planned_stops()
        result = self.result
        result.problems += self.callers.problems + self.faults.problems
        result.calls = self.callers.count()
        result.faults = dict(self.faults.counts)
        return result

    async def _run_faults(self):
        end_at = time.monotonic() + self._length_s
        callers = [await curio.spawn(self.callers.run) for _ in range(_CALLER_COUNT)]
        restarts = await curio.spawn(self.faults.restart_servers)
        async with curio.TaskGroup() as group:
            for _ in range(_FAULT_SERIES_COUNT):
                await group.spawn(self.faults.run, end_at, self._fault_names)
        await self._wait_until_all_serve("after the faults")
        self.callers.is_stopping = True
        for task in callers:
            await task.join()
        await restarts.cancel()
        for program in self.deployment.daemons:
            memory = program.read_memory_mb()
            if memory is None or memory > _MAX_MEMORY_MB:
                self.result.problems.append(f"{program.name} uses {memory} MB")

    async def _wait_until_all_serve(self, moment):
        """Wait until every daemon serves every kind of request."""
        deadline = time.monotonic() + _RECOVERY_LIMIT_S
        for daemon in range(len(self.deployment.daemons)):
            for kind in ("chat", "once", "book", "stock"):
                call = None
                while call is None or call.status != 200:
                    if time.monotonic() > deadline:
                        status = "no answer" if call is None else call.status
                        self.result.problems.append(
                            f"daemon {daemon} does not serve {kind} {moment}: {status}"
                        )
                        return
                    call = await self._try_call(daemon, kind)

    async def _try_call(self, daemon, kind):
        front = self.deployment.front_addresses[daemon]
        await curio.sleep(0.05)
        try:
            sock = await curio.open_connection(front.host, front.port)
        except OSError:
            return None
        async with sock:
            return await self.callers.send(sock, daemon, kind)

    def _check_runs(self):
        """Compare the answers that callers got with the runs that servers recorded."""
        problems = self.result.problems
        runs_by_request = defaultdict(list)
        for run in self.deployment.read_runs():
            runs_by_request[run["request"]].append(run)
            if "path" in run:
                self._check_path(run)
            if run["has_key"] or run["organisation"] != "greens":
                problems.append(f"unexpected key or organisation at a server: {run}")
        calls_by_id = {call.request_id: call for call in self.callers.calls}
        for request_id, runs in runs_by_request.items():
            call = calls_by_id.get(request_id)
            if call is None:
                problems.append(f"no caller sent {request_id}")
                continue
            if call.kind in ("book", "once") and len(runs) > 1:
                problems.append(f"{call.kind} {request_id} ran {len(runs)} times")
            if call.status in NOT_RUN_STATUSES:
                problems.append(
                    f"{call.kind} {request_id} got {call.status} and ran at "
                    f"{[run['server'] for run in runs]}"
                )

    def _check_crashes(self):
        """Check that requests and parts that crash servers stop reaching them.

        Daemons that were disturbed shortly before may not have its crash records yet.
        """
        calls_by_id = {call.request_id: call for call in self.callers.calls}
        runs_by_cause = defaultdict(list)
        for run in self.deployment.read_runs():
            if run["crash"] is not None:
                runs_by_cause[run["crash"]].append(run)
        for cause, runs in runs_by_cause.items():
            crashed_at = {}
            for run in runs:
                process = run["process"]
                at = run["at"] + run["crash_delay_s"]
                crashed_at[process] = min(at, crashed_at.get(process, at))
            times = sorted(crashed_at.values())
            is_part = cause.startswith(CRASH_PART_MARK)
            count = _CRASHES_OF_PART if is_part else _CRASHES_OF_REQUEST
            last_at = times[count - 1] if len(times) >= count else math.inf
            known_at = last_at + _CONVERGENCE_LIMIT_S
            late = [
                run
                for run in runs
                if run["at"] > known_at
                and not self._is_sender_disturbed(calls_by_id[run["request"]], run)
            ]
            if len(late) > _MAX_RETRIES_AFTER_QUARANTINE:
                self.result.problems.append(
                    f"{cause} crashed {len(runs)} servers, "
                    f"{len(late)} after it was known"
                )

    def _check_limits(self):
        """Check that servers got no more than the limits that they named."""
        calls_by_id = {call.request_id: call for call in self.callers.calls}
        times_by_server = defaultdict(list)
        for run in self.deployment.read_runs():
            if not self._is_sender_disturbed(calls_by_id[run["request"]], run):
                times_by_server[run["server"]].append(run["at"])
        allowed = 1.5 * _LIMIT_WINDOW_S * NAMED_RATE_LIMIT + 5
        for server, spans in self.faults.limited_spans.items():
            for named_at, withdrawn_at in spans:
                times = [
                    at
                    for at in times_by_server[server]
                    if named_at + _CONVERGENCE_LIMIT_S <= at <= withdrawn_at
                ]
                most = max(
                    (
                        sum(at <= later < at + _LIMIT_WINDOW_S for later in times)
                        for at in times
                    ),
                    default=0,
                )
                if most > allowed:
                    self.result.problems.append(
                        f"{server} got {most} requests in a window; allowed: {allowed}"
                    )

    def _check_leaving(self):
        """Check that a daemon sends a server nothing after it passed on its leaving."""
        process_by_request = {
            run["request"]: run["process"] for run in self.deployment.read_runs()
        }
        told_at = {}
        for call in sorted(self.callers.calls, key=lambda call: call.ended_at):
            if call.headers.get("server-leaving") != "1":
                continue
            process = process_by_request.get(call.request_id)
            key = (call.daemon, call.incarnation, process)
            if call.sent_at > told_at.setdefault(key, call.ended_at) + _DRAIN_S:
                self.result.problems.append(
                    f"{call.kind} {call.request_id} reached a server of which daemon "
                    f"{call.daemon} knew that it leaves"
                )

    def _check_withdrawn(self):
        """Check that servers whose entries were removed get no more requests."""
        calls_by_id = {call.request_id: call for call in self.callers.calls}
        for run in self.deployment.read_runs():
            daemon = calls_by_id[run["request"]].daemon
            for removed_at, ended_at in self.faults.withdrawn_spans[run["server"]]:
                is_late = removed_at + _DRAIN_S < run["at"] < ended_at
                if is_late and not self.faults.is_disturbed_or_disconnected(
                    daemon, removed_at, run["at"]
                ):
                    self.result.problems.append(
                        f"{run['request']} reached {run['server']} "
                        f"{run['at'] - removed_at:.2f} s after its entry was removed"
                    )

    def _is_sender_disturbed(self, call, run):
        since = run["at"] - _CONVERGENCE_LIMIT_S
        return self.faults.is_disturbed(call.daemon, since, run["at"])

    def _check_path(self, run):
        position = 0
        for _, first, end in run["path"]:
            if first != position:
                break
            position = end
        addresses = [address for address, _, _ in run["path"]]
        if position != LAYERS or len(set(addresses)) < len(addresses):
            self.result.problems.append(f"layers out of order: {run}")

    def _check_logs(self):
        for program in self.deployment.daemons:
            for line in program.log_path.read_text().splitlines():
                if any(bad in line for bad in _ERROR_PATTERNS):
                    self.result.problems.append(f"{program.name}: {line[:400]}")

    def _check_planned_stops(self):
        """Check that planned operations alone lose no answer.

        A request may be sent on a persistent connection while the daemon closes it. It
        then got no answer and ran on no server.
        """
        ran = {run["request"] for run in self.deployment.read_runs()}
        for call in self.callers.calls:
            has_started = call.status != 0 or call.request_id in ran
            is_lost = has_started and not call.is_complete and not call.has_left
            if is_lost and not self.faults.has_unplanned_fault(
                call.sent_at, call.ended_at
            ):
                self.result.problems.append(
                    f"{call.kind} {call.request_id} was interrupted at daemon "
                    f"{call.daemon} without a fault"
                )


def run_seed(seed, length_s=8.0, fault_names=None):
    """Run one seed in a separate curio kernel."""
    return curio.run(Soak(seed, length_s, fault_names).run)
