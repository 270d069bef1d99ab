"""Callers of a soak test: the requests they send and their checks of each answer."""

import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

import curio

from hibiscustiller.ingress.tests.fixtures import KEY, exchange
from hibiscustiller.ingress.tests.soak.site import make_probe_prefix
from hibiscustiller.standins import make_event
from hibiscustiller.standins._programs import CRASH_MARK, CRASH_PART_MARK

WHOLE_STREAM = b"".join(make_event(number) for number in range(20))
# Statuses that guarantee that a request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
_PATHS_BY_KIND = {
    "chat": "/chat/1",
    "once": "/once/1",
    "book": "/book/1",
    "stock": "/stock/1",
}
# Time limits by kind of request: those of the routes in the configuration, but at most
# the 5 s of the caller's own deadline.
_TIMEOUTS_S_BY_KIND = {"chat": 5.0, "once": 5.0, "book": 0.6, "stock": 0.6}
# More than the half second that the platform allows, since the machine may be loaded.
_MAX_LATENESS_S = 1.0
_CALL_TIMEOUT_S = 14.0
# Time within which every daemon applies an accepted configuration.
_MAX_ROLLOUT_S = 4.0
_CALL_PAUSE_S = 0.05
# Enough attempts to continue well after all daemons have the crash records of the
# request.
_CRASHING_REQUEST_ATTEMPTS = 14
_CRASHING_REQUEST_PAUSE_S = (0.2, 0.8)
# Servers crash this long after they began to run such a request. Some of its callers
# leave before that.
_CRASH_DELAYS_MS = (0, 0, 400, 900, 1400)
_LEAVING_CALLER_SHARE = 0.3
_LEAVING_CALLER_TIMEOUT_S = 0.3
_FIRST_PART = "f1"


@dataclass
class Call:
    """A request and its answer.

    :param daemon: number of the daemon that it was sent to.
    :param incarnation: number of the daemon's process.
    :param sent_at: time on the monotonic clock, in seconds.
    :param version: configuration version whose route a probe requests.
    :param seen_version: newest version that the process was seen to apply before.
    :param ended_at: time on the monotonic clock, in seconds.
    :param status: status of the answer; 0 if no answer began.
    :param has_left: whether the caller closed the connection before the answer.
    """

    kind: str
    request_id: str
    daemon: int
    incarnation: int
    sent_at: float
    version: int = 0
    seen_version: int = 0
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    headers: dict = field(default_factory=dict)
    is_complete: bool = False
    has_left: bool = False


class Callers:
    """Sends requests to all daemons and records the answers.

    :param deployment: the programs.
    :param random_state: source of the callers' random choices.
    """

    def __init__(self, deployment, random_state):
        self._deployment = deployment
        self._random_state = random_state
        self.calls = []
        self.problems = []
        self.is_stopping = False
        self._crashing_request_count = 0
        # The newest version that each process of a daemon was seen to apply.
        self._seen_versions_by_process = {}
        # The newest version that was written, and when the store accepted each version.
        self.written_version = 1
        self.accepted_at_by_version = {1: time.monotonic()}

    def count(self):
        """Count calls by kind and status."""
        return Counter((call.kind, call.status) for call in self.calls)

    async def run(self):
        """Send requests over persistent connections until ``is_stopping`` is set."""
        while not self.is_stopping:
            daemon = self._random_state.randrange(len(self._deployment.front_addresses))
            front = self._deployment.front_addresses[daemon]
            try:
                sock = await curio.open_connection(front.host, front.port)
            except OSError:
                await curio.sleep(_CALL_PAUSE_S)
                continue
            async with sock:
                await self._send_calls(sock, daemon)

    async def _send_calls(self, sock, daemon):
        """Send a random number of requests on a connection, until it closes."""
        for _ in range(self._random_state.randint(1, 12)):
            kind = self._random_state.choice(("chat", "once", "book", "stock", "probe"))
            call = await self.send(sock, daemon, kind)
            is_closing = call.headers.get("connection") == "close"
            if self.is_stopping or not call.is_complete or is_closing:
                return
            await curio.sleep(_CALL_PAUSE_S * self._random_state.random())

    async def repeat_crashing_request(self):
        """Send a request that crashes servers repeatedly, to random daemons."""
        self._crashing_request_count += 1
        delay_ms = self._random_state.choice(_CRASH_DELAYS_MS)
        body = CRASH_MARK + b"%d-%d" % (self._crashing_request_count, delay_ms)
        kind = self._random_state.choice(("chat", "once", "book", "stock"))
        await self._send_repeatedly(lambda number: (kind, body, None))

    async def send_crashing_part(self):
        """Send different requests with a prompt part that crashes servers."""
        self._crashing_request_count += 1
        part = f"{CRASH_PART_MARK}{self._crashing_request_count}"
        kind = self._random_state.choice(("chat", "once"))
        await self._send_repeatedly(lambda number: (kind, b"{%d}" % number, part))

    async def _send_repeatedly(self, make_request):
        """Send requests that crash servers to random daemons.

        :param make_request: returns the kind, body and shared part of a request, given
            its number.
        """
        for number in range(_CRASHING_REQUEST_ATTEMPTS):
            kind, body, part = make_request(number)
            daemon = self._random_state.randrange(len(self._deployment.front_addresses))
            front = self._deployment.front_addresses[daemon]
            try:
                sock = await curio.open_connection(front.host, front.port)
            except OSError:
                continue
            finally:
                await curio.sleep(
                    self._random_state.uniform(*_CRASHING_REQUEST_PAUSE_S)
                )
            leaves = self._random_state.random() < _LEAVING_CALLER_SHARE
            limit_s = _LEAVING_CALLER_TIMEOUT_S if leaves else _CALL_TIMEOUT_S
            async with sock:
                call = await self.send(sock, daemon, kind, body, part, limit_s)
            if call.status == 200 and call.is_complete:
                self._add_problem(
                    call, "a request that crashes each server was answered"
                )

    async def send(
        self,
        sock,
        daemon,
        kind,
        crash_body=None,
        crash_part=None,
        time_limit_s=_CALL_TIMEOUT_S,
    ):
        """Send a request and check its answer.

        :param crash_body: body of a request that crashes the servers that run it.
        :param crash_part: part of its prompt, if that crashes them instead.
        :param time_limit_s: time after which the caller leaves, in seconds.
        """
        program = self._deployment.daemons[daemon]
        request_id = uuid.UUID(int=self._random_state.getrandbits(128)).hex
        newest = max(self.accepted_at_by_version)
        version = max(1, newest - self._random_state.randrange(4))
        call = Call(
            kind,
            request_id,
            daemon,
            program.incarnation,
            time.monotonic(),
            version,
            self._seen_versions_by_process.get((daemon, program.incarnation), 0),
        )
        path = make_probe_prefix(version) if kind == "probe" else _PATHS_BY_KIND[kind]
        method = "GET" if kind in ("stock", "probe") else "POST"
        body = b"" if method == "GET" else b"{}"
        if crash_body is not None:
            method, body = "POST", crash_body
        # Sound streams share the first part of their prompts.
        parts = [_FIRST_PART, *([crash_part] if crash_part else []), request_id]
        prefix = ",".join(f"{part}:20" for part in parts)
        try:
            answer = await exchange(
                sock,
                path,
                request_id=request_id,
                method=method,
                key=KEY,
                body=body,
                headers=[("prompt-prefix", prefix)],
                time_limit_s=time_limit_s,
            )
        except curio.TaskTimeout:
            # check_times reports the call if it took too long.
            answer = None
            call.has_left = time_limit_s < _CALL_TIMEOUT_S
        except OSError:
            # A connection reset does not tell whether the request has run.
            answer = None
        call.ended_at = time.monotonic()
        if answer is not None:
            call.status, call.body = answer.status, answer.body
            call.headers, call.is_complete = answer.headers, answer.is_complete
        self.calls.append(call)
        self._check(call)
        return call

    def _check(self, call):
        if call.kind in ("chat", "once") and call.status == 200:
            if not WHOLE_STREAM.startswith(call.body):
                self._add_problem(call, f"stream differs: {call.body[-60:]!r}")
            if call.is_complete and call.body != WHOLE_STREAM:
                self._add_problem(call, "truncated stream was marked as complete")
        elif call.status == 200 and call.is_complete:
            if call.body != b"booked":
                self._add_problem(call, f"answer differs: {call.body!r}")
        if call.status == 200 and not call.headers.get("response-seal"):
            self._add_problem(call, "success without the server's seal")
        if call.status in NOT_RUN_STATUSES and call.status != 408 and call.is_complete:
            retry_after = call.headers.get("retry-after")
            if retry_after is None or float(retry_after) <= 0:
                self._add_problem(call, "refusal without a valid retry-after")
        if call.status in (400, 401, 403, 413, 431):
            self._add_problem(call, "a valid request was rejected")
        if call.kind == "probe":
            self._check_version(call)
        elif call.status == 404:
            self._add_problem(call, "a route that all versions have was not found")

    def _check_version(self, call):
        """Check that a process never reverts to an older configuration.

        The route of a version also exists in the next version, and in no other.
        """
        key = (call.daemon, call.incarnation)
        if call.status == 200:
            if call.version + 1 < call.seen_version:
                self._add_problem(call, f"reverted to version {call.version}")
            seen = max(self._seen_versions_by_process.get(key, 0), call.version)
            self._seen_versions_by_process[key] = seen
        elif call.status == 404:
            is_known = call.version <= call.seen_version <= call.version + 1
            if is_known and self.written_version <= call.version + 1:
                self._add_problem(call, f"no longer has version {call.version}")

    def _add_problem(self, call, text):
        self.problems.append(
            f"{text} ({call.kind} {call.request_id} at daemon {call.daemon}, "
            f"status {call.status})"
        )

    def check_times(self, is_disturbed):
        """Check that answers end within their time limit.

        :param is_disturbed: returns whether a daemon was disturbed in a span of time.
        """
        for call in self.calls:
            limit = _TIMEOUTS_S_BY_KIND.get(call.kind, 0.6)
            took = call.ended_at - call.sent_at
            if took <= limit + _MAX_LATENESS_S:
                continue
            if not is_disturbed(call.daemon, call.sent_at, call.ended_at):
                self._add_problem(call, f"took {took:.2f} s, limit {limit} s")

    def check_versions(self, is_disturbed):
        """Check that daemons apply accepted configurations in time.

        :param is_disturbed: returns whether a daemon or its connection to the store was
            disturbed in a span of time.
        """
        for call in self.calls:
            if call.kind != "probe" or call.status != 404:
                continue
            accepted_at = self.accepted_at_by_version[call.version]
            age = call.sent_at - accepted_at
            is_newest = self.written_version == call.version
            if age > _MAX_ROLLOUT_S and is_newest:
                if not is_disturbed(call.daemon, accepted_at, call.sent_at):
                    self._add_problem(
                        call, f"version {call.version} not applied after {age:.1f} s"
                    )
