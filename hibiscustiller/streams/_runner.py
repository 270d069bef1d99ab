"""One caller's answer, over one or more attempts."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import Enum

from result import Err, Ok, Result

from hibiscustiller.exceptions import TransportError, WireFormatError
from hibiscustiller.limits import AdmissionController, AdmissionRequest, Grant
from hibiscustiller.routing import Route, StreamObserver
from hibiscustiller.streams._frames import (
    DoneFrame,
    ErrorFrame,
    Frame,
    LayerRun,
    parse_frame,
)
from hibiscustiller.utils import (
    ClassName,
    ModelName,
    OrganisationId,
    Refusal,
    RefusalReason,
    RequestId,
    ServerId,
    Verdict,
    check_invariant,
    log_event,
)
from hibiscustiller.wire import AnswerStream, HttpClient

_OK = 200
_MAX_ATTEMPTS = 5
_RETRY_AFTER_FAILURE = timedelta(seconds=2)

Deliver = Callable[[str], Awaitable[None]]


@dataclass(frozen=True)
class StreamRequest:
    """A request for a model's answer.

    :param rank: rank of its priority class; 0 is the most urgent.
    :param max_tokens: length of the answer, in tokens.
    """

    request_id: RequestId
    organisation: OrganisationId
    class_name: ClassName
    rank: int
    model: ModelName
    prompt: str
    max_tokens: int

    @property
    def cost(self) -> int:
        """Estimated tokens, prompt and answer."""
        return self.prompt.count(" ") + 1 + self.max_tokens


@dataclass(frozen=True)
class StreamSummary:
    """What a complete stream took.

    :param tokens: the whole answer.
    :param attempts: attempts that were started.
    """

    tokens: tuple[str, ...]
    finish_reason: str
    attempts: int


class AttemptEnd(Enum):
    """How an attempt ended."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass
class _Progress:
    """State of one stream across its attempts."""

    attempt: int = 0
    tokens: list[str] = field(default_factory=list)
    finish_reason: str = ""
    may_have_run: bool = False
    avoided: set[ServerId] = field(default_factory=set)


class StreamRunner:
    """Runs streams on backend servers.

    :param client: HTTP client.
    :param admission: decides when and on which route a stream runs.
    :param observers: told of what streams meet at the backend servers.
    :param next_byte_timeout: silence after which an engine's connection is given up.
    """

    def __init__(
        self,
        client: HttpClient,
        admission: AdmissionController,
        observers: Sequence[StreamObserver],
        next_byte_timeout: timedelta,
    ) -> None:
        self._client = client
        self._admission = admission
        self._observers = observers
        self._next_byte_timeout = next_byte_timeout

    async def run(
        self, request: StreamRequest, deliver: Deliver
    ) -> Result[StreamSummary, Refusal]:
        """Run a stream to its end.

        :param deliver: takes each token, in order.
        :returns: a summary of the complete answer, or a refusal.
        :raises TransportError: if the caller no longer takes the answer.
        """
        progress = _Progress()
        while progress.attempt < _MAX_ATTEMPTS:
            admitted = await self._admission.admit(self._describe(request, progress))
            if isinstance(admitted, Err):
                return Err(_adjust_verdict(admitted.err_value, progress))
            grant = admitted.ok_value
            progress.attempt += 1
            try:
                end = await self._run_attempt(request, grant.route, progress, deliver)
            finally:
                await self._release(grant, request, progress)
            if end is AttemptEnd.DONE:
                return Ok(
                    StreamSummary(
                        tuple(progress.tokens),
                        progress.finish_reason,
                        progress.attempt,
                    )
                )
        return Err(_make_failure(progress))

    def _describe(
        self, request: StreamRequest, progress: _Progress
    ) -> AdmissionRequest:
        return AdmissionRequest(
            request_id=request.request_id,
            organisation=request.organisation,
            class_name=request.class_name,
            model=request.model,
            prompt=request.prompt,
            cost=request.cost - len(progress.tokens),
            avoided=frozenset(progress.avoided),
        )

    async def _release(
        self, grant: Grant, request: StreamRequest, progress: _Progress
    ) -> None:
        used = request.cost - request.max_tokens + len(progress.tokens)
        await self._admission.release(grant, used)

    async def _run_attempt(
        self,
        request: StreamRequest,
        route: Route,
        progress: _Progress,
        deliver: Deliver,
    ) -> AttemptEnd:
        for observer in self._observers:
            observer.note_started(route, request.cost - len(progress.tokens))
        try:
            stream = await self._open_attempt(request, route, progress)
            if stream is None:
                return AttemptEnd.REFUSED
            async with stream:
                return await _read_frames(stream, route, progress, deliver)
        except _EngineFailedError as error:
            progress.avoided.add(error.server)
            log_event(
                "attempt_failed",
                level="warning",
                request=request.request_id,
                attempt=progress.attempt,
                server=error.server,
                error=error,
            )
            return AttemptEnd.FAILED
        finally:
            for observer in self._observers:
                observer.note_finished(route)

    async def _open_attempt(
        self, request: StreamRequest, route: Route, progress: _Progress
    ) -> AnswerStream | None:
        """Open the stream at the route's first stage; None if it is refused."""
        head = route.stages[0]
        try:
            stream = await self._client.open_stream(
                head.address,
                "POST",
                "/v1/streams",
                next_byte_timeout=self._next_byte_timeout,
                body=_encode_request(request, route, progress),
                headers={"content-type": "application/json"},
            )
        except TransportError as error:
            progress.may_have_run |= error.verdict is Verdict.MAY_HAVE_RUN
            raise _EngineFailedError(head.server, str(error)) from error
        if stream.status == _OK:
            progress.may_have_run = True
            return stream
        await stream.close()
        is_not_run = stream.headers_by_name.get("x-verdict") == Verdict.NOT_RUN.value
        progress.may_have_run |= not is_not_run
        progress.avoided.add(head.server)
        return None


class _EngineFailedError(Exception):
    """An attempt ended without its answer.

    :param server: the backend server that is to be avoided.
    """

    def __init__(self, server: ServerId, message: str) -> None:
        super().__init__(message)
        self.server = server


async def _read_frames(
    stream: AnswerStream, route: Route, progress: _Progress, deliver: Deliver
) -> AttemptEnd:
    expected = tuple(
        LayerRun(stage.server, stage.first_layer, stage.last_layer)
        for stage in route.stages
    )
    head = route.stages[0].server
    while (frame := await _read_frame(stream, head)) is not None:
        if frame.attempt != progress.attempt:
            # A frame of an older attempt that arrives late is dropped.
            continue
        if isinstance(frame, DoneFrame):
            progress.finish_reason = frame.reason
            return AttemptEnd.DONE
        if isinstance(frame, ErrorFrame):
            server = frame.server or head
            raise _EngineFailedError(server, frame.error)
        if frame.position < len(progress.tokens):
            continue
        check_invariant(
            frame.position == len(progress.tokens),
            "positions_rise_by_one",
            position=frame.position,
            expected=len(progress.tokens),
        )
        check_invariant(
            frame.layers == expected,
            "layers_run_once_in_order",
            ran=frame.layers,
            expected=expected,
        )
        progress.tokens.append(frame.token)
        await deliver(frame.token)
    raise _EngineFailedError(head, "the stream ended early")


async def _read_frame(stream: AnswerStream, server: ServerId) -> Frame | None:
    """Read an engine's next frame; None at the end of the stream.

    Its failures get a class of their own, to be told from the caller's.
    """
    try:
        # An empty line keeps the connection alive while a token is awaited.
        while (line := await stream.read_line()) == b"":
            pass
        return None if line is None else parse_frame(line)
    except (TransportError, WireFormatError) as error:
        raise _EngineFailedError(server, str(error)) from error


def _encode_request(request: StreamRequest, route: Route, progress: _Progress) -> bytes:
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


def _adjust_verdict(refusal: Refusal, progress: _Progress) -> Refusal:
    """A refusal after an attempt that may have run must not claim otherwise."""
    if progress.may_have_run:
        return replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
    return refusal


def _make_failure(progress: _Progress) -> Refusal:
    ran = Verdict.MAY_HAVE_RUN if progress.may_have_run else Verdict.NOT_RUN
    return Refusal(
        RefusalReason.BACKEND_FAILED,
        ran,
        f"no answer after {progress.attempt} attempts",
        _RETRY_AFTER_FAILURE,
    )
