"""One attempt of a stream at the engines of one route."""

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
from hibiscustiller.streams._crashes import CrashRegistry, CrashRun
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
# How long a server that failed or refused is avoided by the stream that met it. By
# then membership knows its state.
_AVOID_TIME = timedelta(seconds=10)
# A caller's next attempt or departure waits for the cancellation this long at most.
_CANCEL_TIMEOUT = timedelta(milliseconds=500)
# Recovery waits for this check, which takes one round trip (1 ms between failure
# domains). A server that is too far to answer in time counts as dead.
_PROBE_TIMEOUT = timedelta(milliseconds=20)
# Above this, the wait for the next token is due to a slow caller as well.
_SLOW_DELIVERY = timedelta(milliseconds=5)
# Other routers' reports of a death arrive within this time: a reset connection tells
# of it at once, and the probe and a message between hosts take some milliseconds.
_EVIDENCE_DELAY = timedelta(milliseconds=300)
# An attempt whose first token takes longer than this many of its class's targets, and
# longer than the fixed time, is late. The fixed time is the prefill of some 5,000
# tokens at 400 us each, which is no sign of a queue.
_LATE_TARGETS = 4
_MIN_LATE_TIME = timedelta(seconds=2)
# An engine that ended because it reached the asked length says so.
_LENGTH_REASON = "length"
_LOST_STAGE_ERROR = "stage-lost"


class AttemptEnd(Enum):
    """How an attempt ended."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    PREEMPTED = "preempted"
    # No first token, and another route is free.
    LATE = "late"
    # No first token within the class's deadline.
    EXPIRED = "expired"


class EngineFailedError(Exception):
    """An attempt ended without its answer.

    :param server: the backend server that is to be avoided.
    :param others: further servers that may be the cause.
    :param is_death: whether the server died, instead of being silent or wrong.
    :param is_open: whether the engine may still run the attempt.
    """

    def __init__(
        self,
        server: ServerId,
        message: str,
        is_death: bool = False,
        is_open: bool = False,
        others: frozenset[ServerId] = frozenset(),
    ) -> None:
        super().__init__(message)
        self.server = server
        self.others = others
        self.is_death = is_death
        self.is_open = is_open


class _ExpiredError(Exception):
    """The class's deadline passed without any token."""


class AttemptRunner:
    """Runs single attempts.

    :param client: HTTP client.
    :param observers: told of what attempts meet at the backend servers.
    :param registry: told of deaths of servers and of what ran there.
    :param clock: measures the time between tokens.
    :param next_byte_timeout: silence after which an engine's connection is given up.
    :param note_first_token: told of the time to an attempt's first token and of the
        number of prompt and emitted tokens.
    :param note_answer_delay: told of the time until the first stage accepted.
    """

    def __init__(
        self,
        client: HttpClient,
        observers: Sequence[StreamObserver],
        registry: CrashRegistry,
        clock: Clock,
        next_byte_timeout: timedelta,
        note_first_token: Callable[[timedelta, int], None] | None = None,
        note_answer_delay: Callable[[Route, timedelta], None] | None = None,
    ) -> None:
        self._note_answer_delay = note_answer_delay
        self._client = client
        self._note_first_token = note_first_token
        self._observers = observers
        self._registry = registry
        self._clock = clock
        self._next_byte_timeout = next_byte_timeout

    async def run(
        self,
        request: StreamRequest,
        grant: Grant,
        progress: Progress,
        crash_run: CrashRun,
        deliver: Deliver,
        may_leave: Callable[[], bool] = lambda: False,
    ) -> AttemptEnd:
        """Run the attempt ``progress.attempt``.

        :param may_leave: asked for leave to try another route, once the first token
            is late.
        :returns: how it ended; ``progress`` tells what it brought.
        :raises TransportError: if the caller no longer takes the answer.
        """
        route = grant.route
        for observer in self._observers:
            observer.note_started(route, request.cost - len(progress.tokens))
        end = AttemptEnd.FAILED
        try:
            end = await self._run(
                request, grant, progress, crash_run, deliver, may_leave
            )
        except EngineFailedError as error:
            if error.is_death:
                error.is_death = await _has_died(route, error.server)
            self._note_failure(request, progress, crash_run, error)
            if error.is_death:
                # Before the caller is answered, so that a repeat through another
                # router meets what is known of its request.
                await self._registry.share_now()
                if self._registry.get_quarantine(crash_run.fingerprint) is not None:
                    # They may show that another request was there as well.
                    await self._clock.sleep(_EVIDENCE_DELAY)
            if error.is_open:
                # The next attempt does not wait for an engine that may be silent.
                await curio.spawn(self._cancel, request, route, progress, daemon=True)
        except BaseException:
            await self._cancel(request, route, progress)
            raise
        finally:
            for observer in self._observers:
                observer.note_finished(route)
            if end is AttemptEnd.DONE:
                self._registry.note_finished(crash_run)
            else:
                self._registry.note_ended(crash_run)
        return end

    async def _run(
        self,
        request: StreamRequest,
        grant: Grant,
        progress: Progress,
        crash_run: CrashRun,
        deliver: Deliver,
        may_leave: Callable[[], bool],
    ) -> AttemptEnd:
        try:
            stream = await self._wait_to_begin(
                progress, self._open(request, grant.route, progress)
            )
        except _ExpiredError:
            # The bytes may have been sent.
            progress.note_may_have_run()
            self._note_late(request, grant.route, progress, AttemptEnd.EXPIRED)
            await curio.spawn(self._cancel, request, grant.route, progress, daemon=True)
            return AttemptEnd.EXPIRED
        if stream is None:
            return AttemptEnd.REFUSED
        async with stream:
            end = await self._read_frames(
                stream, request, grant, progress, crash_run, deliver, may_leave
            )
        if end in (AttemptEnd.LATE, AttemptEnd.EXPIRED):
            self._note_late(request, grant.route, progress, end)
            # The caller does not wait for an engine that brought nothing.
            await curio.spawn(self._cancel, request, grant.route, progress, daemon=True)
        if end is AttemptEnd.PREEMPTED:
            await self._cancel(request, grant.route, progress)
        return end

    async def _open(
        self, request: StreamRequest, route: Route, progress: Progress
    ) -> AnswerStream | None:
        """Open the stream at the route's first stage; None if it is refused."""
        head = route.stages[0]
        sent_at = self._clock.monotonic()
        try:
            stream = await self._client.open_stream(
                head.address,
                "POST",
                "/v1/streams",
                next_byte_timeout=self._next_byte_timeout,
                body=encode_attempt(request, route, progress),
                headers={"content-type": "application/json"},
            )
        except TransportError as error:
            has_sent = error.verdict is Verdict.MAY_HAVE_RUN
            if has_sent:
                progress.note_may_have_run()
            is_silent = isinstance(error.__cause__, TimeoutError)
            raise EngineFailedError(
                head.server,
                str(error),
                is_death=has_sent and not is_silent,
                is_open=has_sent and is_silent,
            ) from error
        if stream.status == _OK:
            progress.note_may_have_run()
            if self._note_answer_delay is not None:
                self._note_answer_delay(route, self._clock.monotonic() - sent_at)
            return stream
        await stream.close()
        if stream.headers_by_name.get("x-verdict") != Verdict.NOT_RUN.value:
            progress.note_may_have_run()
        self._avoid(progress, head.server)
        for observer in self._observers:
            observer.note_refused(head.server)
        return None

    async def _read_frames(
        self,
        stream: AnswerStream,
        request: StreamRequest,
        grant: Grant,
        progress: Progress,
        crash_run: CrashRun,
        deliver: Deliver,
        may_leave: Callable[[], bool],
    ) -> AttemptEnd:
        route = grant.route
        head = route.stages[0].server
        layers = _list_layers(route)
        prompt_tokens = request.prompt_tokens
        late_after = max(_MIN_LATE_TIME, _LATE_TARGETS * request.first_token_target)
        pace = _Pace(self._clock)
        while True:
            # An empty line keeps the connection alive while a token is awaited. It
            # is also the moment at which a preemption is noticed: engines send a
            # line at least every 250 ms.
            try:
                line = await self._wait_to_begin(progress, _read_line(stream, head))
            except _ExpiredError:
                return AttemptEnd.EXPIRED
            if line is None:
                raise EngineFailedError(head, "the stream ended early")
            frame = _parse(line, head) if line else None
            if frame is not None and _is_end(frame, request, route, progress):
                return AttemptEnd.DONE
            if isinstance(frame, TokenFrame) and _is_next(
                frame, request, head, layers, progress
            ):
                context = prompt_tokens + len(progress.tokens)
                self._note_token(route, pace, crash_run, context)
                progress.tokens.append(frame.token)
                await deliver(frame.token)
                pace.note_delivered()
            elif pace.has_stalled(self._next_byte_timeout):
                raise _make_stall_error(route)
            elif pace.is_late(late_after) and may_leave():
                return AttemptEnd.LATE
            # A request that must not run again is not interrupted.
            if grant.preempted.is_set() and request.is_idempotent:
                return AttemptEnd.PREEMPTED

    async def _wait_to_begin(
        self, progress: Progress, operation: Coroutine[Any, Any, Value]
    ) -> Value:
        """Await an operation, until the deadline if the answer has not begun.

        :raises _ExpiredError: if the deadline passed.
        """
        if progress.tokens:
            return await operation
        left = progress.deadline_at - self._clock.monotonic()
        try:
            return await wait_at_most(max(left, timedelta(0)), operation)
        except TimeoutError as error:
            raise _ExpiredError from error

    def _note_late(
        self, request: StreamRequest, route: Route, progress: Progress, end: AttemptEnd
    ) -> None:
        for server in route.servers:
            self._avoid(progress, server)
        log_event(
            "first_token_late",
            level="warning",
            request=request.request_id,
            attempt=progress.attempt,
            server=route.stages[0].server,
            end=end.value,
        )

    def _note_token(
        self, route: Route, pace: _Pace, crash_run: CrashRun, context: int
    ) -> None:
        is_first = pace.is_first
        delay = pace.measure_delay()
        if is_first and self._note_first_token is not None:
            self._note_first_token(delay, context)
        self._registry.note_token(crash_run)
        for observer in self._observers:
            observer.note_token(route, delay, is_first)

    def _note_failure(
        self,
        request: StreamRequest,
        progress: Progress,
        crash_run: CrashRun,
        error: EngineFailedError,
    ) -> None:
        failed = {error.server, *error.others}
        for server in failed:
            self._avoid(progress, server)
        if error.is_death:
            self._registry.note_death(crash_run, error.server)
        for observer in self._observers:
            for server in failed:
                observer.note_failed(server)
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
        progress.avoided_until[server] = self._clock.monotonic() + _AVOID_TIME

    async def _cancel(
        self, request: StreamRequest, route: Route, progress: Progress
    ) -> None:
        """Cancel the attempt at the engine, so that it frees its place at once."""
        head = route.stages[0]
        target = f"/v1/streams/{request.request_id}?attempt={progress.attempt}"
        try:
            await self._client.request(
                head.address, "DELETE", target, timeout=_CANCEL_TIMEOUT
            )
        except TransportError as error:
            # Closing the connection also ends the attempt, only later.
            log_event(
                "cancel_failed",
                request=request.request_id,
                server=head.server,
                error=error,
            )


class _Pace:
    """Time between tokens, without the time that the caller takes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_arrival = clock.monotonic()
        self._last_delay = timedelta(0)
        self._waiting_since = self._last_arrival
        self._was_slow = False
        self.is_first = True

    def measure_delay(self) -> timedelta:
        now = self._clock.monotonic()
        # Frames pile up behind a slow caller and tell nothing of the engine.
        if not self._was_slow or self.is_first:
            self._last_delay = now - self._last_arrival
        self._last_arrival = now
        self.is_first = False
        return self._last_delay

    def note_delivered(self) -> None:
        self._waiting_since = self._clock.monotonic()
        self._was_slow = self._waiting_since - self._last_arrival > _SLOW_DELIVERY

    def is_late(self, limit: timedelta) -> bool:
        """Tell whether the first token has not come within a time."""
        return self.is_first and self._clock.monotonic() - self._last_arrival > limit

    def has_stalled(self, limit: timedelta) -> bool:
        """Tell whether a started answer has brought no token for too long."""
        waited = self._clock.monotonic() - self._waiting_since
        return not self.is_first and waited > limit


def encode_attempt(request: StreamRequest, route: Route, progress: Progress) -> bytes:
    """Return the body that starts an attempt: prompt, emitted tokens and route."""
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


async def _has_died(route: Route, server: ServerId) -> bool:
    """Tell whether a server that is taken for dead really died.

    A first stage reports a silent stage and a broken link in the same way as a death.
    A server that still accepts connections has not died; engines take far longer to
    start again than this check.
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


def _make_stall_error(route: Route) -> EngineFailedError:
    """Blame the later stages: the first one still sends lines.

    It notices a silent stage by a timeout of its own, which may be longer than the
    recovery target allows.
    """
    head, *later = [stage.server for stage in route.stages]
    first, *rest = later or [head]
    message = "lines arrive without tokens"
    return EngineFailedError(first, message, is_open=True, others=frozenset(rest))


async def _read_line(stream: AnswerStream, head: ServerId) -> bytes | None:
    """Read a line; an engine's failure gets a class of its own, unlike a caller's."""
    try:
        return await stream.read_line()
    except TransportError as error:
        is_silent = isinstance(error.__cause__, TimeoutError)
        raise EngineFailedError(
            head, str(error), is_death=not is_silent, is_open=is_silent
        ) from error


def _parse(line: bytes, head: ServerId) -> Frame:
    try:
        return parse_frame(line)
    except WireFormatError as error:
        raise EngineFailedError(head, str(error), is_open=True) from error


def _is_end(
    frame: Frame, request: StreamRequest, route: Route, progress: Progress
) -> bool:
    """Tell whether a frame ends the answer.

    :raises EngineFailedError: if it ends the attempt without the whole answer.
    """
    head = route.stages[0].server
    if frame.attempt < progress.attempt or isinstance(frame, TokenFrame):
        return False
    if frame.attempt > progress.attempt:
        message = f"attempt {frame.attempt} was never started"
        raise EngineFailedError(head, message, is_open=True)
    if isinstance(frame, ErrorFrame):
        is_stage = frame.server in route.servers
        server = frame.server if is_stage and frame.server else head
        is_death = is_stage and frame.error == _LOST_STAGE_ERROR
        raise EngineFailedError(server, frame.error, is_death=is_death)
    is_whole = len(progress.tokens) == request.max_tokens
    if frame.reason == _LENGTH_REASON and not is_whole:
        message = f"the answer ended after {len(progress.tokens)} tokens"
        raise EngineFailedError(head, message)
    progress.finish_reason = frame.reason
    return isinstance(frame, DoneFrame)


def _list_layers(route: Route) -> tuple[LayerRun, ...]:
    """Return what must run for each token of a route."""
    return tuple(
        LayerRun(stage.server, stage.first_layer, stage.last_layer)
        for stage in route.stages
    )


def _is_next(
    frame: TokenFrame,
    request: StreamRequest,
    head: ServerId,
    layers: tuple[LayerRun, ...],
    progress: Progress,
) -> bool:
    """Tell whether a frame brings the next token; older and repeated ones do not.

    :param layers: what must have run for it.
    :raises EngineFailedError: if an invariant of streams is broken. The violation is
        counted; the caller's answer is continued elsewhere.
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
        raise EngineFailedError(head, str(error), is_open=True) from error
    return True
