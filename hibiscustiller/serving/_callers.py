"""The callers' interface: completions, plain services and health."""

from __future__ import annotations

import fnmatch
import json
import random
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from result import Err, Ok, Result

from hibiscustiller.configuration import FleetConfig, ModelConfig, OrganisationConfig
from hibiscustiller.orders import ServiceCall, ServiceForwarder, make_repeat_headers
from hibiscustiller.streams import StreamRequest, StreamRunner, StreamSummary
from hibiscustiller.utils import (
    ClassName,
    Clock,
    Metrics,
    Refusal,
    RefusalReason,
    RequestId,
    ServiceName,
    Verdict,
    hash_secret,
    log_event,
)
from hibiscustiller.wire import (
    HttpRequest,
    Responder,
    describe_refusal,
    make_refusal_headers,
)

_SERVICES_PREFIX = "/v1/services/"
_MAX_KEY_LENGTH = 256


@dataclass(frozen=True)
class _Completion:
    stream: StreamRequest
    is_streamed: bool


class CallerApi:
    """Answers callers.

    :param get_config: returns the configuration in force.
    :param runner: runs streams.
    :param forwarder: sends calls to plain services.
    :param is_ready: tells whether the balancer should send requests here.
    :param random_state: source of request ids.
    """

    def __init__(
        self,
        get_config: Callable[[], FleetConfig],
        runner: StreamRunner,
        forwarder: ServiceForwarder,
        is_ready: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        random_state: random.Random,
    ) -> None:
        self._get_config = get_config
        self._runner = runner
        self._forwarder = forwarder
        self._is_ready = is_ready
        self._clock = clock
        self._metrics = metrics
        self._random_state = random_state

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        if request.path in ("/healthz", "/readyz"):
            await self._answer_health(request, responder)
            return
        request_id = str(uuid.UUID(int=self._random_state.getrandbits(128)))
        responder.extra_headers["x-request-id"] = request_id
        started = self._clock.monotonic()
        refusal = await self._route(request, responder)
        elapsed = self._clock.monotonic() - started
        self._metrics.timing("request", elapsed)
        if refusal is None:
            self._metrics.count("requests.answered")
            return
        self._metrics.count(f"requests.refused.{refusal.reason.label}")
        log_event(
            "request_refused",
            request=request_id,
            path=request.path,
            reason=refusal.reason.label,
            verdict=refusal.verdict,
            message=refusal.message,
        )
        if not responder.is_started:
            await responder.send_refusal(refusal)

    async def _answer_health(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/healthz" or self._is_ready():
            await responder.send(200, b"ok\n", "text/plain")
        else:
            await responder.send(503, b"not ready\n", "text/plain")

    async def _route(
        self, request: HttpRequest, responder: Responder
    ) -> Refusal | None:
        """Answer a request; return the refusal if there is one."""
        answer = self._find_handler(request)
        if isinstance(answer, Refusal):
            return answer
        found = find_organisation(self._get_config(), request)
        if isinstance(found, Err):
            return found.err_value
        return await answer(request, found.ok_value, responder)

    def _find_handler(
        self, request: HttpRequest
    ) -> (
        Callable[
            [HttpRequest, OrganisationConfig, Responder], Awaitable[Refusal | None]
        ]
        | Refusal
    ):
        if request.path == "/v1/completions":
            if request.method == "POST":
                return self._complete
            message = f"{request.method} is not accepted here; use POST"
            return Refusal(RefusalReason.BAD_REQUEST, Verdict.NOT_RUN, message)
        if request.path.startswith(_SERVICES_PREFIX):
            return self._call_service
        message = f"no such path: {request.path}"
        return Refusal(RefusalReason.NOT_FOUND, Verdict.NOT_RUN, message)

    async def _complete(
        self,
        request: HttpRequest,
        organisation: OrganisationConfig,
        responder: Responder,
    ) -> Refusal | None:
        request_id = RequestId(responder.extra_headers["x-request-id"])
        checked = check_completion(
            self._get_config(), request, organisation, request_id
        )
        if isinstance(checked, Err):
            return checked.err_value
        completion = checked.ok_value
        if completion.is_streamed:
            return await self._stream_answer(completion.stream, responder)
        return await self._send_whole_answer(completion.stream, responder)

    async def _send_whole_answer(
        self, stream: StreamRequest, responder: Responder
    ) -> Refusal | None:
        async def ignore(token: str) -> None:
            return None

        ran = await self._runner.run(stream, ignore)
        if isinstance(ran, Err):
            return ran.err_value
        await responder.send_json(200, describe_completion(stream, ran.ok_value))
        return None

    async def _stream_answer(
        self, stream: StreamRequest, responder: Responder
    ) -> Refusal | None:
        count = 0
        format_part = make_part_formatter(stream)

        async def deliver(token: str) -> None:
            nonlocal count
            if not responder.is_started:
                headers = {"cache-control": "no-cache"}
                await responder.start(200, "text/event-stream", headers)
            text = token if count == 0 else f" {token}"
            count += 1
            await responder.send_part(format_part(text))

        ran = await self._runner.run(stream, deliver)
        if isinstance(ran, Err):
            if responder.is_started:
                await _end_with_refusal(responder, ran.err_value)
            return ran.err_value
        last = _describe_part(stream, "", ran.ok_value.finish_reason)
        await responder.send_part(_format_event(last))
        await responder.send_part(b"data: [DONE]\n\n")
        await responder.finish()
        return None

    async def _call_service(
        self,
        request: HttpRequest,
        organisation: OrganisationConfig,
        responder: Responder,
    ) -> Refusal | None:
        checked = check_service_call(self._get_config(), request, organisation)
        if isinstance(checked, Err):
            return checked.err_value
        service, call = checked.ok_value
        sent = await self._forwarder.forward(service, call)
        if isinstance(sent, Err):
            return sent.err_value
        outcome = sent.ok_value
        headers = make_repeat_headers(service, call)
        await responder.send(
            outcome.status, outcome.body, outcome.content_type, headers
        )
        return None


def find_organisation(
    config: FleetConfig, request: HttpRequest
) -> Result[OrganisationConfig, Refusal]:
    """Find the organisation that a request's bearer key belongs to."""
    scheme, _, key = request.headers_by_name.get("authorization", "").partition(" ")
    organisation = None
    if scheme.lower() == "bearer":
        organisation = config.organisations_by_key_hash.get(hash_secret(key.strip()))
    if organisation is None:
        message = "the Authorization header carries no known bearer key"
        return Err(Refusal(RefusalReason.UNAUTHENTICATED, Verdict.NOT_RUN, message))
    return Ok(organisation)


def check_completion(
    config: FleetConfig,
    request: HttpRequest,
    organisation: OrganisationConfig,
    request_id: RequestId,
) -> Result[_Completion, Refusal]:
    """Check a completion request and give it its class."""
    try:
        body = json.loads(request.body)
    except (ValueError, RecursionError):
        return _refuse_bad_request("the body is not valid JSON")
    if not isinstance(body, dict):
        return _refuse_bad_request("the body must be a JSON object")
    name = body.get("model")
    # Another JSON type, such as a list, may not be hashable.
    model = config.models_by_name.get(name) if isinstance(name, str) else None
    if model is None or not _matches(model.name, organisation.models):
        message = f"unknown model {name!r}"
        return Err(Refusal(RefusalReason.UNKNOWN_MODEL, Verdict.NOT_RUN, message))
    problem = _find_field_problem(body, model)
    if problem:
        return _refuse_bad_request(problem)
    class_name = choose_class(config, request, organisation)
    if isinstance(class_name, Err):
        return class_name
    is_idempotent = read_idempotent_mark(request)
    if isinstance(is_idempotent, Err):
        return is_idempotent
    class_config = config.classes_by_name[class_name.ok_value]
    stream = StreamRequest(
        request_id=request_id,
        organisation=organisation.name,
        class_name=class_name.ok_value,
        rank=class_config.rank,
        model=model.name,
        prompt=body["prompt"],
        max_tokens=body.get("max_tokens", _default_length(model)),
        is_idempotent=is_idempotent.ok_value,
        first_token_target=class_config.first_token_target,
        deadline=class_config.deadline,
    )
    return Ok(_Completion(stream, body.get("stream", False)))


def choose_class(
    config: FleetConfig, request: HttpRequest, organisation: OrganisationConfig
) -> Result[ClassName, Refusal]:
    """Return the organisation's class, or the lower one that the request asks for."""
    own = config.classes_by_name[organisation.priority_class]
    asked_name = request.headers_by_name.get("x-priority-class")
    if asked_name is None:
        return Ok(own.name)
    asked = config.classes_by_name.get(ClassName(asked_name))
    if asked is None:
        return _refuse_bad_request(f"unknown priority class {asked_name!r}")
    if asked.rank < own.rank:
        message = f"class {asked_name} is more urgent than class {own.name}"
        return Err(Refusal(RefusalReason.FORBIDDEN, Verdict.NOT_RUN, message))
    return Ok(asked.name)


def read_idempotent_mark(request: HttpRequest) -> Result[bool, Refusal]:
    """Return whether the caller allows a request to run more than once."""
    mark = request.headers_by_name.get("x-idempotent", "true").lower()
    if mark not in ("true", "false"):
        return _refuse_bad_request(
            f"x-idempotent is {mark!r}; accepted are true and false"
        )
    return Ok(mark == "true")


def check_service_call(
    config: FleetConfig, request: HttpRequest, organisation: OrganisationConfig
) -> Result[tuple[Any, ServiceCall], Refusal]:
    """Check a call to a plain service."""
    name, _, rest = request.path.removeprefix(_SERVICES_PREFIX).partition("/")
    service = config.services_by_name.get(ServiceName(name))
    if service is None or not _matches(name, organisation.services):
        message = f"unknown service {name!r}"
        return Err(Refusal(RefusalReason.NOT_FOUND, Verdict.NOT_RUN, message))
    key = request.headers_by_name.get("idempotency-key")
    if key is not None and not 1 <= len(key) <= _MAX_KEY_LENGTH:
        return _refuse_bad_request(
            f"Idempotency-Key has {len(key)} characters;"
            f" accepted are 1 to {_MAX_KEY_LENGTH}"
        )
    is_idempotent = read_idempotent_mark(request)
    if isinstance(is_idempotent, Err):
        return is_idempotent
    # Services may fold such segments, and the path would match other patterns there.
    if any(segment in ("", ".", "..") for segment in rest.split("/")[:-1]) or (
        rest.rpartition("/")[2] in (".", "..")
    ):
        return _refuse_bad_request("the path has an empty, '.' or '..' segment")
    path = quote(f"/{rest}")
    call = ServiceCall(
        organisation=organisation.name,
        method=request.method,
        path=path if not request.query else f"{path}?{request.query}",
        body=request.body,
        content_type=request.headers_by_name.get("content-type", "application/json"),
        idempotency_key=key,
        is_marked_non_idempotent=not is_idempotent.ok_value,
    )
    return Ok((service, call))


def describe_completion(
    stream: StreamRequest, summary: StreamSummary
) -> dict[str, Any]:
    """Return the JSON of a whole answer."""
    prompt_tokens = stream.cost - stream.max_tokens
    return {
        "id": stream.request_id,
        "object": "text_completion",
        "model": stream.model,
        "choices": [
            {
                "index": 0,
                "text": " ".join(summary.tokens),
                "finish_reason": summary.finish_reason,
            }
        ],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(summary.tokens),
            "total_tokens": prompt_tokens + len(summary.tokens),
        },
    }


def _describe_part(
    stream: StreamRequest, text: str, finish_reason: str | None = None
) -> dict[str, Any]:
    choice = {"index": 0, "text": text, "finish_reason": finish_reason}
    return {
        "id": stream.request_id,
        "object": "text_completion",
        "model": stream.model,
        "choices": [choice],
    }


def make_part_formatter(stream: StreamRequest) -> Callable[[str], bytes]:
    """Return a function that encodes the event of a token.

    Only the text differs between the events of a stream, so the rest is encoded once.
    """
    # An empty text is the last string of the event, and the only empty one.
    event = _format_event(_describe_part(stream, "")).decode()
    before, _, after = event.rpartition('""')

    def format_part(text: str) -> bytes:
        return f"{before}{json.dumps(text)}{after}".encode()

    return format_part


def _format_event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value, separators=(",", ":")).encode() + b"\n\n"


async def _end_with_refusal(responder: Responder, refusal: Refusal) -> None:
    """End a started stream with its error; there is no closing [DONE]."""
    value = {**describe_refusal(refusal), "headers": make_refusal_headers(refusal)}
    await responder.send_part(b"event: error\n" + _format_event(value))
    await responder.finish()


def _find_field_problem(body: dict[str, Any], model: ModelConfig) -> str | None:
    prompt = body.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        return "prompt must be a text that is not empty"
    length = body.get("max_tokens", _default_length(model))
    is_int = isinstance(length, int) and not isinstance(length, bool)
    if not is_int or not 1 <= length <= model.max_tokens:
        return f"max_tokens is {length!r}; accepted range is 1 to {model.max_tokens}"
    if not isinstance(body.get("stream", False), bool):
        return f"stream is {body['stream']!r}; accepted are true and false"
    return None


def _default_length(model: ModelConfig) -> int:
    return min(16, model.max_tokens)


def _matches(name: str, patterns: tuple[str, ...]) -> bool:
    return any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns)


def _refuse_bad_request(message: str) -> Err[Refusal]:
    return Err(Refusal(RefusalReason.BAD_REQUEST, Verdict.NOT_RUN, message))
