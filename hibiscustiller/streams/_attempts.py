"""Execution of a single attempt of a stream on the engines of one route."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine, Sequence
from datetime import timedelta
from enum import Enum
from typing import Any, TypeVar

import curio

from hibiscustiller.exceptions import InvariantError, TransportError, WireFormatError
from hibiscustiller.limits import Grant
from hibiscustiller.routing import Route, StreamObserver
from hibiscustiller.streams._crashes import CrashRegistry, TrackedAttempt
from hibiscustiller.streams._frames import (
    DoneFrame,
    ErrorFrame,
    Frame,
    LayerRun,
    TokenFrame,
    parse_frame,
)
from hibiscustiller.streams._requests import Deliver, Progress, StreamRequest
from hibiscustiller.utils import Clock, ServerId, Verdict, check_invariant, log_event
from hibiscustiller.wire import (
    AnswerStream,
    HttpClient,
    open_connection,
    wait_at_most,
)

Value = TypeVar("Value")

_OK = 200
# A stream avoids a server that failed or refused its attempt for this long. By the end
# of that time, membership has detected the state of the server.
_AVOIDANCE_TIME = timedelta(seconds=10)
# Upper bound on the time that the next attempt, or the end of the stream after a
# disconnected caller, waits for the cancellation.
_CANCEL_TIMEOUT = timedelta(milliseconds=500)
# Recovery is blocked by the liveness probe, which takes one round trip (1 ms between
# failure domains). A server whose round trip exceeds the timeout counts as dead.
_PROBE_TIMEOUT = timedelta(milliseconds=20)
# If delivering a token to the caller takes longer than this, the time until the next
# token partly measures the caller and is not attributed to the engine.
_SLOW_DELIVERY_THRESHOLD = timedelta(milliseconds=5)
# Other routers' reports of a server's death arrive within this time: a connection reset
# reveals the death at once, and the probe and a message between hosts take some
# milliseconds.
_PEER_REPORT_DELAY = timedelta(milliseconds=300)
# The first token is late if it takes longer than this multiple of the priority class's
# first-token target and longer than the minimum threshold. The threshold is the
# prefill time of some 5,000 tokens at 400 us each, so that a long prefill is not
# mistaken for queueing.
_LATE_TARGET_FACTOR = 4
_MIN_LATE_THRESHOLD = timedelta(seconds=2)
# Finish reason that an engine sends when it has generated the requested length.
_LENGTH_FINISH_REASON = "length"
_LOST_STAGE_ERROR = "stage-lost"


class AttemptOutcome(Enum):
    """Outcome of an attempt."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    PREEMPTED = "preempted"
    # The first token was late and another route was available.
    LATE = "late"
    # No token arrived within the deadline of the priority class.
    EXPIRED = "expired"


class EngineFailedError(Exception):
    """Raised when an attempt fails before its answer is complete.

    :param server: backend server to which the failure is attributed, and which the
        stream then avoids.
    :param others: further backend servers that may have caused it.
    :param is_death: whether the server died, as opposed to not responding or sending
        invalid frames.
    :param may_still_run: whether the engine may still be running the attempt.
    """

    def __init__(
        self,
        server: ServerId,
        message: str,
        is_death: bool = False,
        may_still_run: bool = False,
        others: frozenset[ServerId] = frozenset(),
    ) -> None:
        super().__init__(message)
        self.server = server
        self.others = others
        self.is_death = is_death
        self.may_still_run = may_still_run


class _DeadlineExceededError(Exception):
    """Raised when no token arrives within the deadline of the priority class."""


class AttemptRunner:
    """Executes single attempts.

    :param client: HTTP client for the engines.
    :param observers: receive the starts, tokens, refusals, failures and ends of
        attempts at backend servers.
    :param registry: records server deaths and the attempts that ran on each server.
    :param clock: source of time.
    :param next_byte_timeout: an engine's connection is closed if no byte arrives for
        this long.
    :param record_first_token: called with the time to the first token of an attempt and
        the number of prompt and emitted tokens.
    :param record_answer_delay: called with the route and the time until its first stage
        accepted the attempt.
    """

    def __init__(
        self,
        client: HttpClient,
        observers: Sequence[StreamObserver],
        registry: CrashRegistry,
        clock: Clock,
        next_byte_timeout: timedelta,
        record_first_token: Callable[[timedelta, int], None] | None = None,
        record_answer_delay: Callable[[Route, timedelta], None] | None = None,
    ) -> None:
        self._record_answer_delay = record_answer_delay
        self._client = client
        self._record_first_token = record_first_token
        self._observers = observers
        self._registry = registry
        self._clock = clock
        self._next_byte_timeout = next_byte_timeout

    async def run(
        self,
        request: StreamRequest,
        grant: Grant,
        progress: Progress,
        tracked_attempt: TrackedAttempt,
        deliver: Deliver,
        may_switch_route: Callable[[], bool] = lambda: False,
    ) -> AttemptOutcome:
        """Run the attempt ``progress.attempt``.

        :param may_switch_route: called once the first token is late; returns whether
            the attempt should be given up in favour of another route.
        :returns: outcome of the attempt; its tokens are added to ``progress``.
        :raises TransportError: if the caller has disconnected.
        """
        route = grant.route
        for observer in self._observers:
            observer.record_start(route, request.cost - len(progress.tokens))
        outcome = AttemptOutcome.FAILED
        try:
            outcome = await self._run(
                request, grant, progress, tracked_attempt, deliver, may_switch_route
            )
        except EngineFailedError as error:
            if error.is_death:
                error.is_death = await _is_dead(route, error.server)
            self._record_failure(request, progress, tracked_attempt, error)
            if error.is_death:
                # The reports are sent before the caller gets its answer. Otherwise a
                # repeat through another router could arrive there before them.
                await self._registry.send_reports_now()
                if (
                    self._registry.get_quarantine(tracked_attempt.fingerprint)
                    is not None
                ):
                    # Reports of other routers may show that another request ran on
                    # the server, which can lift the quarantine.
                    await self._clock.sleep(_PEER_REPORT_DELAY)
            if error.may_still_run:
                # The engine may not respond, so the next attempt does not wait for it.
                await curio.spawn(self._cancel, request, route, progress, daemon=True)
        except BaseException:
            await self._cancel(request, route, progress)
            raise
        finally:
            for observer in self._observers:
                observer.record_completion(route)
            if outcome is AttemptOutcome.DONE:
                self._registry.record_completion(tracked_attempt)
            else:
                self._registry.record_end(tracked_attempt)
        return outcome

    async def _run(
        self,
        request: StreamRequest,
        grant: Grant,
        progress: Progress,
        tracked_attempt: TrackedAttempt,
        deliver: Deliver,
        may_switch_route: Callable[[], bool],
    ) -> AttemptOutcome:
        try:
            stream = await self._await_within_deadline(
                progress, self._open(request, grant.route, progress)
            )
        except _DeadlineExceededError:
            # The engine may have received the request before the deadline passed.
            progress.mark_may_have_run()
            self._record_late_first_token(
                request, grant.route, progress, AttemptOutcome.EXPIRED
            )
            await curio.spawn(self._cancel, request, grant.route, progress, daemon=True)
            return AttemptOutcome.EXPIRED
        if stream is None:
            return AttemptOutcome.REFUSED
        async with stream:
            outcome = await self._read_frames(
                stream,
                request,
                grant,
                progress,
                tracked_attempt,
                deliver,
                may_switch_route,
            )
        if outcome in (AttemptOutcome.LATE, AttemptOutcome.EXPIRED):
            self._record_late_first_token(request, grant.route, progress, outcome)
            # The engine has not sent a token, so the caller does not wait for it.
            await curio.spawn(self._cancel, request, grant.route, progress, daemon=True)
        if outcome is AttemptOutcome.PREEMPTED:
            await self._cancel(request, grant.route, progress)
        return outcome

    async def _open(
        self, request: StreamRequest, route: Route, progress: Progress
    ) -> AnswerStream | None:
        """Open the stream at the first stage; return None if the engine refuses it."""
        first_stage = route.stages[0]
        sent_at = self._clock.monotonic()
        try:
            stream = await self._client.open_stream(
                first_stage.address,
                "POST",
                "/v1/streams",
                next_byte_timeout=self._next_byte_timeout,
                body=encode_attempt(request, route, progress),
                headers={"content-type": "application/json"},
            )
        except TransportError as error:
            has_sent = error.verdict is Verdict.MAY_HAVE_RUN
            if has_sent:
                progress.mark_may_have_run()
            is_timeout = isinstance(error.__cause__, TimeoutError)
            raise EngineFailedError(
                first_stage.server,
                str(error),
                is_death=has_sent and not is_timeout,
                may_still_run=has_sent and is_timeout,
            ) from error
        if stream.status == _OK:
            progress.mark_may_have_run()
            if self._record_answer_delay is not None:
                self._record_answer_delay(route, self._clock.monotonic() - sent_at)
            return stream
        await stream.close()
        if stream.headers_by_name.get("x-verdict") != Verdict.NOT_RUN.value:
            progress.mark_may_have_run()
        self._avoid(progress, first_stage.server)
        for observer in self._observers:
            observer.record_refusal(first_stage.server)
        return None

    async def _read_frames(
        self,
        stream: AnswerStream,
        request: StreamRequest,
        grant: Grant,
        progress: Progress,
        tracked_attempt: TrackedAttempt,
        deliver: Deliver,
        may_switch_route: Callable[[], bool],
    ) -> AttemptOutcome:
        route = grant.route
        first_server = route.stages[0].server
        layers = _list_expected_layers(route)
        prompt_tokens = request.prompt_tokens
        late_after = max(
            _MIN_LATE_THRESHOLD, _LATE_TARGET_FACTOR * request.first_token_target
        )
        timer = _TokenTimer(self._clock)
        while True:
            # Engines send an empty keep-alive line at least every 250 ms while no token
            # is ready, so that a preemption is detected below within that time.
            try:
                line = await self._await_within_deadline(
                    progress, _read_line(stream, first_server)
                )
            except _DeadlineExceededError:
                return AttemptOutcome.EXPIRED
            if line is None:
                raise EngineFailedError(first_server, "the stream ended early")
            frame = _parse_engine_frame(line, first_server) if line else None
            if frame is not None and _is_end(frame, request, route, progress):
                return AttemptOutcome.DONE
            if isinstance(frame, TokenFrame) and _is_next_token(
                frame, request, first_server, layers, progress
            ):
                context = prompt_tokens + len(progress.tokens)
                self._record_token(route, timer, tracked_attempt, context)
                progress.tokens.append(frame.token)
                await deliver(frame.token)
                timer.record_delivery()
            elif timer.has_stalled(self._next_byte_timeout):
                raise _build_stall_error(route)
            elif timer.is_late(late_after) and may_switch_route():
                return AttemptOutcome.LATE
            # A non-idempotent request must not run again, so it is not preempted.
            if grant.preempted.is_set() and request.is_idempotent:
                return AttemptOutcome.PREEMPTED

    async def _await_within_deadline(
        self, progress: Progress, operation: Coroutine[Any, Any, Value]
    ) -> Value:
        """Await an operation, bounded by the deadline until the first token arrives.

        :raises _DeadlineExceededError: if the deadline passes first.
        """
        if progress.tokens:
            return await operation
        left = progress.deadline_at - self._clock.monotonic()
        try:
            return await wait_at_most(max(left, timedelta(0)), operation)
        except TimeoutError as error:
            raise _DeadlineExceededError from error

    def _record_late_first_token(
        self,
        request: StreamRequest,
        route: Route,
        progress: Progress,
        outcome: AttemptOutcome,
    ) -> None:
        for server in route.servers:
            self._avoid(progress, server)
        log_event(
            "first_token_late",
            level="warning",
            request=request.request_id,
            attempt=progress.attempt,
            server=route.stages[0].server,
            end=outcome.value,
        )

    def _record_token(
        self,
        route: Route,
        timer: _TokenTimer,
        tracked_attempt: TrackedAttempt,
        context: int,
    ) -> None:
        is_first = timer.is_first
        delay = timer.record_arrival()
        if is_first and self._record_first_token is not None:
            self._record_first_token(delay, context)
        self._registry.record_token(tracked_attempt)
        for observer in self._observers:
            observer.record_token(route, delay, is_first)

    def _record_failure(
        self,
        request: StreamRequest,
        progress: Progress,
        tracked_attempt: TrackedAttempt,
        error: EngineFailedError,
    ) -> None:
        failed = {error.server, *error.others}
        for server in failed:
            self._avoid(progress, server)
        if error.is_death:
            self._registry.record_death(tracked_attempt, error.server)
        for observer in self._observers:
            for server in failed:
                observer.record_failure(server)
        log_event(
            "attempt_failed",
            level="warning",
            request=request.request_id,
            attempt=progress.attempt,
            server=error.server,
            is_death=error.is_death,
            error=error,
        )

    def _avoid(self, progress: Progress, server: ServerId) -> None:
        progress.avoided_until[server] = self._clock.monotonic() + _AVOIDANCE_TIME

    async def _cancel(
        self, request: StreamRequest, route: Route, progress: Progress
    ) -> None:
        """Cancel the attempt at the engine, so that its slot is released at once."""
        first_stage = route.stages[0]
        target = f"/v1/streams/{request.request_id}?attempt={progress.attempt}"
        try:
            await self._client.request(
                first_stage.address, "DELETE", target, timeout=_CANCEL_TIMEOUT
            )
        except TransportError as error:
            # The engine still ends the attempt once it detects the closed connection,
            # which takes longer.
            log_event(
                "cancel_failed",
                request=request.request_id,
                server=first_stage.server,
                error=error,
            )


class _TokenTimer:
    """Measures the time between tokens, excluding delivery to the caller."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_arrival = clock.monotonic()
        self._last_delay = timedelta(0)
        self._waiting_since = self._last_arrival
        self._was_delivery_slow = False
        self.is_first = True

    def record_arrival(self) -> timedelta:
        now = self._clock.monotonic()
        # Frames queue behind a slow caller, so their arrival times do not reflect the
        # engine.
        if not self._was_delivery_slow or self.is_first:
            self._last_delay = now - self._last_arrival
        self._last_arrival = now
        self.is_first = False
        return self._last_delay

    def record_delivery(self) -> None:
        self._waiting_since = self._clock.monotonic()
        self._was_delivery_slow = (
            self._waiting_since - self._last_arrival > _SLOW_DELIVERY_THRESHOLD
        )

    def is_late(self, limit: timedelta) -> bool:
        """Return whether the first token is overdue by the given time limit."""
        return self.is_first and self._clock.monotonic() - self._last_arrival > limit

    def has_stalled(self, limit: timedelta) -> bool:
        """Return whether a started answer has had no token for longer than a limit."""
        waited = self._clock.monotonic() - self._waiting_since
        return not self.is_first and waited > limit


def encode_attempt(request: StreamRequest, route: Route, progress: Progress) -> bytes:
    """Encode the body that starts an attempt: prompt, emitted tokens and route."""
    stages = [
        {
            "server": stage.server,
            "address": str(stage.address),
            "first_layer": stage.first_layer,
            "last_layer": stage.last_layer,
        }
        for stage in route.stages
    ]
    value = {
        "stream_id": request.request_id,
        "attempt": progress.attempt,
        "model": request.model,
        "version": route.version,
        "priority": request.rank,
        "prompt": request.prompt,
        "emitted": progress.tokens,
        "max_tokens": request.max_tokens,
        "route": stages,
    }
    return json.dumps(value, separators=(",", ":")).encode()


async def _is_dead(route: Route, server: ServerId) -> bool:
    """Return whether a server that was reported as dead has really died.

    The first stage reports an unresponsive stage, a broken link and a dead stage with
    the same error. A server that still accepts connections has not died: restarting
    an engine takes far longer than this probe.
    """
    if server == route.stages[0].server:
        return True
    [address] = [stage.address for stage in route.stages if stage.server == server]
    try:
        sock = await open_connection(address, _PROBE_TIMEOUT)
    except OSError:
        return True
    await sock.close()
    return False


def _build_stall_error(route: Route) -> EngineFailedError:
    """Build an error that attributes a stall to the later stages.

    The first stage still sends lines. It detects an unresponsive stage by a timeout of
    its own, which may exceed the recovery target.
    """
    first_server, *later = [stage.server for stage in route.stages]
    first, *rest = later or [first_server]
    message = "lines arrive without tokens"
    return EngineFailedError(first, message, may_still_run=True, others=frozenset(rest))


async def _read_line(stream: AnswerStream, first_server: ServerId) -> bytes | None:
    """Read a line from an engine.

    :raises EngineFailedError: if the connection fails; the separate class tells it from
        a failure of the caller's connection, which raises TransportError.
    """
    try:
        return await stream.read_line()
    except TransportError as error:
        is_timeout = isinstance(error.__cause__, TimeoutError)
        raise EngineFailedError(
            first_server, str(error), is_death=not is_timeout, may_still_run=is_timeout
        ) from error


def _parse_engine_frame(line: bytes, first_server: ServerId) -> Frame:
    try:
        return parse_frame(line)
    except WireFormatError as error:
        raise EngineFailedError(first_server, str(error), may_still_run=True) from error


def _is_end(
    frame: Frame, request: StreamRequest, route: Route, progress: Progress
) -> bool:
    """Return whether a frame ends the answer.

    :raises EngineFailedError: if it ends the attempt before the answer is complete.
    """
    first_server = route.stages[0].server
    if frame.attempt < progress.attempt or isinstance(frame, TokenFrame):
        return False
    if frame.attempt > progress.attempt:
        message = f"attempt {frame.attempt} was never started"
        raise EngineFailedError(first_server, message, may_still_run=True)
    if isinstance(frame, ErrorFrame):
        is_stage = frame.server in route.servers
        server = frame.server if is_stage and frame.server else first_server
        is_death = is_stage and frame.error == _LOST_STAGE_ERROR
        raise EngineFailedError(server, frame.error, is_death=is_death)
    is_whole = len(progress.tokens) == request.max_tokens
    if frame.reason == _LENGTH_FINISH_REASON and not is_whole:
        message = f"the answer ended after {len(progress.tokens)} tokens"
        raise EngineFailedError(first_server, message)
    progress.finish_reason = frame.reason
    return isinstance(frame, DoneFrame)


def _list_expected_layers(route: Route) -> tuple[LayerRun, ...]:
    """Return the layer ranges that a route must run for each token."""
    return tuple(
        LayerRun(stage.server, stage.first_layer, stage.last_layer)
        for stage in route.stages
    )


def _is_next_token(
    frame: TokenFrame,
    request: StreamRequest,
    first_server: ServerId,
    layers: tuple[LayerRun, ...],
    progress: Progress,
) -> bool:
    """Return whether a frame has the next token; stale and repeated ones do not.

    :param layers: layer ranges that must have run for the token, in order.
    :raises EngineFailedError: if a stream invariant is violated. The violation is
        counted and the answer continues on another route.
    """
    expected = len(progress.tokens)
    if frame.attempt < progress.attempt:
        return False
    if frame.attempt == progress.attempt and frame.position < expected:
        return False
    try:
        check_invariant(
            frame.attempt == progress.attempt,
            "attempt_was_started",
            attempt=frame.attempt,
            latest=progress.attempt,
        )
        check_invariant(
            frame.position == expected < request.max_tokens,
            "positions_rise_by_one",
            position=frame.position,
            expected=expected,
        )
        check_invariant(
            frame.layers == layers,
            "layers_run_once_in_order",
            ran=frame.layers,
            expected=layers,
        )
    except InvariantError as error:
        raise EngineFailedError(first_server, str(error), may_still_run=True) from error
    return True
