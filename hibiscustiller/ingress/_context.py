"""Context of a request after its route was found, and refusals to its caller."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from datetime import timedelta
from functools import cached_property
from typing import Any

from hibiscustiller.discovery import ServerPresence
from hibiscustiller.exceptions import TransportError
from hibiscustiller.fleet import (
    BackendServer,
    IngressRoute,
    LayerRange,
    Organisation,
    ServiceSpec,
)
from hibiscustiller.ingress._end_evidence import EndEvidence
from hibiscustiller.platform import AnswerFacts, RequestFacts, make_server_fields
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    Clock,
    Fingerprint,
    Refusal,
    compute_fingerprint,
    log_event,
)
from hibiscustiller.wire import (
    Exchange,
    HttpRequest,
    RawRequest,
    Responder,
    describe_refusal,
)

# Timeouts must be above zero, while the time left may be zero or negative.
_MIN_TIMEOUT = timedelta(milliseconds=1)
# An answer that is not streamed is held in memory as a whole.
MAX_BODY_BYTES = 8 << 20
# A caller may conclude from these statuses that its request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class CallerDisconnectedError(Exception):
    """The caller closed the connection or does not read its answer."""


@dataclass(frozen=True)
class RequestContext:
    """A request with its route, organisation and timing.

    :param facts: what the router read from the header fields.
    :param service: service that was chosen by the weights of the route.
    :param organisation: sender of the request; None if the API key belongs to none.
    :param document_version: version of the document that the route comes from.
    :param received_at: time when the request had been read, on the monotonic clock.
    :param clock: source of time.
    :param get_stop_at: returns when this router stops to work on requests, on the
        monotonic clock; None while it is not stopping.
    :param is_forwarded: whether another router passed the request on.
    :param may_forward_to_router: whether the request may be passed on to another
        router.
    :param priority: priority class; 0 is the most urgent.
    """

    request: HttpRequest
    facts: RequestFacts
    route: IngressRoute
    service: ServiceSpec
    organisation: Organisation | None
    document_version: int
    received_at: timedelta
    clock: Clock
    get_stop_at: Callable[[], timedelta | None] = lambda: None
    is_forwarded: bool = False
    may_forward_to_router: bool = True
    priority: int = 0

    @property
    def time_left(self) -> timedelta:
        """Time left until the caller's or the route's timeout; may be negative.

        A stop of this router may leave less.
        """
        return min(self.caller_time_left, self.route.timeout - self.age)

    @property
    def caller_time_left(self) -> timedelta:
        """Time left for a server to answer the caller, which servers are told."""
        time_left = self._caller_timeout - self.age
        stop_at = self.get_stop_at()
        if stop_at is not None:
            time_left = min(time_left, stop_at - self.clock.monotonic())
        return time_left

    @property
    def timeout_left(self) -> timedelta:
        """Time left, for use as a timeout: always above zero."""
        return max(_MIN_TIMEOUT, self.time_left)

    @property
    def age(self) -> timedelta:
        """Time since the request was read."""
        return self.clock.monotonic() - self.received_at

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Digest that is the same for all attempts of a caller at this request.

        The request id cannot serve for this, since each attempt has another one. The
        attempts may arrive at different routers.
        """
        organisation = "" if self.organisation is None else self.organisation.id
        request = self.request
        return compute_fingerprint(
            organisation.encode(), request.method.encode(), request.target, request.body
        )

    @property
    def _caller_timeout(self) -> timedelta:
        return self.facts.wait_limit or self.route.timeout

    def make_server_request(
        self,
        server: BackendServer,
        pipeline: tuple[tuple[Address, LayerRange], ...] = (),
        last_event: int | None = None,
    ) -> RawRequest:
        """Build the request to a backend server.

        :param pipeline: addresses and layers of the stages; empty for a plain service.
        :param last_event: id of the last event that the caller has; None for no event.
        """
        organisation = self.organisation
        fields = make_server_fields(
            self.request.fields,
            time_left=max(_MIN_TIMEOUT, self.caller_time_left),
            server_id=server.id,
            organisation=None if organisation is None else organisation.id,
            priority=self.priority if pipeline else None,
            pipeline=pipeline,
            last_event=last_event,
        )
        request = self.request
        return RawRequest(request.method.encode(), request.target, fields, request.body)

    def is_refused_by(self, facts: AnswerFacts, exchange: Exchange) -> bool:
        """Tell whether a server states that it did not run this request.

        On a connection that is in use again, the refusal of an earlier request may
        arrive once more, so there it must name this request.
        """
        if facts.request_id is None and exchange.is_on_new_connection:
            return facts.is_not_run
        return facts.is_not_run and facts.request_id == self.facts.request_id

    def has_statements(self, facts: AnswerFacts, exchange: Exchange) -> bool:
        """Tell whether what an answer says of its server is said by that process.

        It must be the answer, or the refusal, to this request.
        """
        if facts.is_from_other_process:
            return False
        is_same_request = facts.request_id == self.facts.request_id
        return is_same_request or self.is_refused_by(facts, exchange)

    def log_unanswered(self, servers: Iterable[BackendServer]) -> None:
        """Log that an attempt ended without an answer, and which processes had it.

        With the ends of processes, this tells under which requests they crashed.
        """
        self.log(
            "attempt_unanswered",
            fingerprint=self.fingerprint,
            servers=",".join(f"{server.id}/{server.born}" for server in servers),
        )

    def log_presence(self, server: BackendServer, presence: ServerPresence) -> None:
        """Log that an attempt is sent to a server that has no entry in the store."""
        if presence is not ServerPresence.LISTED:
            self.log("attempt_at_unlisted_server", server=server.id, presence=presence)

    def log_unframed_end(
        self, server: BackendServer, evidence: EndEvidence, **fields: object
    ) -> None:
        """Log on what evidence an answer that ended with its connection is judged.

        :param fields: how much of the answer there is.
        """
        self.log(
            "unframed_answer_ended",
            server=server.id,
            born=server.born,
            evidence=evidence,
            **fields,
        )

    def log(self, event: str, **fields: object) -> None:
        """Log an event of this request, with its id, route and age."""
        log_event(
            event,
            request=self.facts.request_id,
            route=self.route.name,
            age=self.age,
            **fields,
        )


async def send_refusal(responder: Responder, refusal: Refusal) -> None:
    """Send a refusal by this router to the caller.

    :raises TransportError: if the answer has begun. It is too late for another status:
        the connection is closed, and the caller sees an incomplete answer.
    """
    if responder.is_started:
        raise TransportError(refusal.message, refusal.verdict)
    headers = {"x-verdict": refusal.verdict.value}
    if refusal.retry_after is not None:
        # Fractions of a second spread the callers' retries better than whole seconds.
        headers["retry-after"] = f"{refusal.retry_after.total_seconds():.2f}"
    body = describe_refusal(refusal)
    await responder.send_json(refusal.reason.status, body, headers)


async def send_to_caller(coroutine: Coroutine[Any, Any, None]) -> None:
    """Send to the caller, and keep its failures apart from those of a backend server.

    :raises CallerDisconnectedError: if sending fails.
    """
    try:
        await coroutine
    except TransportError as error:
        raise CallerDisconnectedError(str(error)) from error


def is_event_stream(exchange: Exchange) -> bool:
    """Tell whether an answer whose head was read is a stream of events."""
    kinds = [value for name, value in exchange.fields if name == b"content-type"]
    return bool(kinds) and kinds[0].startswith(b"text/event-stream")
