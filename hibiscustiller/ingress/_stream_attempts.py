"""Attempts of a stream: one request at one pipeline, and what it has answered.

Two attempts of the same stream may be open at the same time, each with its own state.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from hibiscustiller.discovery import ServerPresence
from hibiscustiller.exceptions import TransportError
from hibiscustiller.fleet import BackendServer
from hibiscustiller.ingress._budget import RetryBudgets
from hibiscustiller.ingress._connections import compute_max_idle_connections
from hibiscustiller.ingress._context import RequestContext, is_event_stream
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._events import Event, EventSplitter
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.ingress._open_attempts import OpenAttempts
from hibiscustiller.ingress._part_history import PartHistory, compute_crash_id
from hibiscustiller.ingress._rate_limits import RateLimits
from hibiscustiller.ingress._router_forwarding import RouterForwarder
from hibiscustiller.ingress._unanswered_runs import UnansweredRuns
from hibiscustiller.layers import (
    EngineLoad,
    Grant,
    Pipeline,
    PipelineSelector,
    PlaceOutcome,
    SharedAdmission,
    check_pipeline,
)
from hibiscustiller.platform import AnswerFacts
from hibiscustiller.utils import Metrics, ServerId, Verdict
from hibiscustiller.wire import BodyHold, Exchange, Framing, HttpClient

_STATUS_OK = 200


class Outcome(Enum):
    """Result of an attempt.

    FINISHED is a complete stream, ANSWERED a complete answer that is no stream, FAILED
    such an answer that is an error of the server, NOT_RUN an attempt that certainly did
    not run, and BROKEN one that may have run. SUPERSEDED is one that was closed because
    another attempt, or another router, answered first; it may have run. YIELDED is one
    that was closed because its place was recalled; it ran up to then. UNCONFIRMED is a
    stream without framing that its engine has ended, perhaps too early.
    """

    FINISHED = "finished"
    FAILED = "failed"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    ANSWERED = "answered"
    SUPERSEDED = "superseded"
    YIELDED = "yielded"
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True)
class StreamServices:
    """What the streams to the engines of one service have in common.

    :param admission: grants each request capacity at a pipeline.
    :param selector: the current pipelines of the service.
    :param load: requests in flight at each engine, from all routers.
    :param crashes: history of requests whose backend servers crashed.
    :param parts: history of prompt parts under which backend servers crashed.
    :param unanswered: requests that servers may still run.
    :param rate_limits: limits that servers named.
    :param budgets: decides whether a request may be sent to a second server.
    :param find_fallback_pipeline: searches all usable engines but the given ones for a
        pipeline, independently of the pipelines in ``selector``; returns None if these
        engines do not form one.
    :param count_routers: returns the number of routers that share the connections of a
        server.
    :param routers: passes requests on while this router reaches no server.
    :param get_presence: tells whether a server still has an entry in the store.
    :param open_attempts: the attempts of all streams of the service.
    :param list_engines: returns the engines of the service that accept new requests.
    """

    client: HttpClient
    admission: SharedAdmission
    selector: PipelineSelector
    load: EngineLoad
    health: ServerHealth
    crashes: CrashHistory
    parts: PartHistory
    unanswered: UnansweredRuns
    rate_limits: RateLimits
    budgets: RetryBudgets
    find_fallback_pipeline: Callable[[Collection[ServerId]], Pipeline | None]
    count_routers: Callable[[], int]
    metrics: Metrics
    routers: RouterForwarder
    get_presence: Callable[[BackendServer], ServerPresence]
    open_attempts: OpenAttempts
    list_engines: Callable[[], Collection[BackendServer]]


class StreamAttempt:
    """One request at one pipeline, from its sending until it is closed.

    :param grant: place at the pipeline, which is released when it is closed.
    :param number: number of the attempt within its stream, from 1.
    :param last_event: id of the last event that the caller has; None for no event.
    :param is_trial: whether the request is a trial of a quarantined part.
    :param is_second: whether another attempt of the stream is open.

    Attributes: ``sent_at`` is when the request was sent, None before. ``event_count``
    is the number of events that were passed on, and ``progress_at`` when the latest of
    them was, or when the attempt began. ``events`` have been read but not been
    passed on. ``is_judged`` tells whether the head of the answer was found acceptable.
    ``rejected_by`` are the servers that rejected the request, and ``answer_tokens`` the
    tokens of a complete answer, 0 before. ``is_recalled`` tells whether an allocator
    asks for the place.
    """

    def __init__(
        self,
        services: StreamServices,
        context: RequestContext,
        grant: Grant,
        number: int,
        last_event: int | None,
        *,
        is_trial: bool,
        is_second: bool = False,
    ) -> None:
        self._services = services
        self._context = context
        self._last_event = last_event
        self.grant = grant
        self.number = number
        self.is_trial = is_trial
        self.is_second = is_second
        self.started_at = self.progress_at = context.clock.monotonic()
        self.sent_at: timedelta | None = None
        self.event_count = 0
        self.events: list[Event] = []
        self.has_head = False
        self.is_judged = False
        self.is_at_end = False
        self.rejected_by: tuple[ServerId, ...] = ()
        self.is_recalled = False
        self.answer_tokens = 0
        self.exchange: Exchange | None = None
        self.hold: BodyHold = services.client.memory.hold(self.entry.address)
        self._splitter = EventSplitter(self.hold)
        self._ended_before_ids = set(self._list_ended_servers())
        services.open_attempts.add(self)
        grant.on_recall = self._handle_recall

    @property
    def pipeline(self) -> Pipeline:
        """The engines that run the request."""
        return self.grant.pipeline

    @property
    def entry(self) -> BackendServer:
        """The engine that receives the request."""
        return self.pipeline.entry

    @property
    def server_ids(self) -> tuple[ServerId, ...]:
        """The ids of the engines in order of their stages."""
        return self.pipeline.server_ids

    @property
    def waiting_since(self) -> timedelta:
        """When the attempt began, or the latest event was passed on."""
        return self.progress_at

    @property
    def answered_at(self) -> timedelta | None:
        """When the latest event was passed on; None if there was none."""
        return self.progress_at if self.event_count else None

    @property
    def silent_for(self) -> timedelta:
        """Time without a new event."""
        return self._context.clock.monotonic() - self.progress_at

    def _handle_recall(self) -> None:
        self.is_recalled = True

    @property
    def is_stream(self) -> bool:
        """Whether the answer, whose head was read, is a stream of events."""
        assert self.exchange is not None
        return self.exchange.status == _STATUS_OK and is_event_stream(self.exchange)

    @property
    def framing(self) -> Framing | None:
        """What tells where the answer ends; None before its head was read."""
        return self.exchange.framing if self.exchange and self.has_head else None

    async def open(self, on_sent: Callable[[], None]) -> None:
        """Send the request.

        :param on_sent: called just before the first byte leaves.
        :raises TransportError: if it cannot be sent.
        """
        services, context = self._services, self._context
        assert context.service.engine is not None
        check_pipeline(context.service.engine, self.pipeline)
        for server in self.pipeline.servers:
            context.log_presence(server, services.get_presence(server))

        def record_sent() -> None:
            self.sent_at = context.clock.monotonic()
            on_sent()

        stages = tuple((s.server.address, s.layers) for s in self.pipeline.stages)
        self.exchange = await services.client.open_exchange(
            self.entry.address,
            context.make_server_request(self.entry, stages, self._last_event),
            head_timeout=context.timeout_left,
            is_fresh=not context.route.is_resumable,
            on_sent=record_sent,
            max_idle=compute_max_idle_connections(
                context.service, services.count_routers()
            ),
        )

    async def read(self, timeout: timedelta) -> None:
        """Read the head, or else what has arrived of the events.

        :raises TransportError: if the connection fails or ends early.
        :raises TimeoutError: if nothing arrives in time; it may be read again.
        """
        assert self.exchange is not None
        if not self.has_head:
            await self.exchange.read_head(timeout)
            self.has_head = True
            return
        part = await self.exchange.read_part(timeout)
        if part is None:
            self.is_at_end = True
            return
        try:
            self.events += self._splitter.feed(part)
        except ValueError as error:
            raise TransportError(str(error), Verdict.MAY_HAVE_RUN) from error

    def check_parts(self) -> None:
        """Check that no part has been quarantined while the request waits at an engine.

        The engine drops a request whose connection closes, and would crash as soon as
        it began to answer.

        :raises TransportError: if one has been, and the answer has not begun.
        """
        if self.event_count or self.is_trial:
            return
        if self._services.parts.is_quarantined(self._context.facts.prompt_parts):
            message = "a part of the prompt was quarantined before the answer began"
            raise TransportError(message, Verdict.MAY_HAVE_RUN)

    def check_whole_events(self) -> None:
        """Check that the answer has not ended in the middle of an event.

        :raises TransportError: if it has.
        """
        if self._splitter.rest:
            message = "the stream ended in the middle of an event"
            raise TransportError(message, Verdict.MAY_HAVE_RUN)

    def record_progress(self, event_count: int) -> None:
        """Record that new events were passed on to the caller."""
        self.event_count += event_count
        self.progress_at = self._context.clock.monotonic()

    def record_whole_answer(self, event_count: int) -> None:
        """Record that the answer is complete.

        :param event_count: events that all attempts of the stream passed on.
        """
        spec = self._context.service.engine
        assert spec is not None
        # The caller of a resumed stream got its first events elsewhere.
        if self._context.facts.last_event is None:
            self.answer_tokens = event_count * spec.stride

    def record_statements(self, facts: AnswerFacts) -> None:
        """Record what an answer says of its server, or of the server at fault.

        The answer comes from the entry, so that what it does not say of another server
        tells nothing.
        """
        server = self.entry
        for other in self.pipeline.servers:
            if facts.failed_server == other.address:
                server = other
        self._services.health.statements.record(server, facts)
        if server == self.entry or facts.rate_limit is not None:
            sent_at = self.sent_at or self.started_at
            self._services.rate_limits.observe(server, facts.rate_limit, sent_at)

    async def close(self, outcome: Outcome) -> None:
        """Close the connection, give back the place and record what became of it."""
        services = self._services
        services.open_attempts.discard(self)
        self.grant.on_recall = None
        self.hold.release()
        if outcome in (Outcome.BROKEN, Outcome.SUPERSEDED, Outcome.YIELDED):
            self._keep_unanswered()
        try:
            if self.exchange is not None:
                await self.exchange.close()
        finally:
            place_outcome = PlaceOutcome(self.answer_tokens, self.rejected_by)
            await services.admission.release(self.grant, place_outcome)
        self._record_crash_outcome(outcome)

    def _keep_unanswered(self) -> None:
        """Keep the request as one that the pipeline's servers may still run."""
        if self.sent_at is None:
            return
        servers = [
            s for s in self.pipeline.servers if s.id not in self._ended_before_ids
        ]
        self._services.unanswered.add(
            self._context, servers, self.sent_at, self.event_count > 0
        )

    def _list_ended_servers(self) -> dict[ServerId, BackendServer]:
        """Return the servers of the pipeline whose process is known to have ended."""
        has_ended = self._services.health.has_ended
        return {
            server.id: server for server in self.pipeline.servers if has_ended(server)
        }

    def _record_crash_outcome(self, outcome: Outcome) -> None:
        """Record whether the request was answered or its servers crashed."""
        services, context = self._services, self._context
        if outcome in (Outcome.FINISHED, Outcome.ANSWERED):
            services.crashes.record_answer(context.fingerprint)
            services.unanswered.record_answer(context.fingerprint)
            return
        ended = [
            server
            for server_id, server in self._list_ended_servers().items()
            if server_id not in self._ended_before_ids
        ]
        if not ended or self.sent_at is None:
            return
        has_progress = self.event_count > 0
        services.unanswered.discard(context.fingerprint, ended)
        crash_ids = [compute_crash_id(server.id, server.born) for server in ended]
        parts = context.facts.prompt_parts
        if not has_progress:
            services.parts.record_crash(parts, crash_ids, self.sent_at)
        for server, crash_id in zip(ended, crash_ids, strict=True):
            reached_at = services.health.get_reached_at(server) or self.sent_at
            services.crashes.record_crash(
                context.fingerprint,
                self.sent_at,
                has_progress,
                crash_id,
                alive_at=max(self.sent_at, self.progress_at, reached_at),
            )
        context.log(
            "attempt_met_crash",
            fingerprint=context.fingerprint,
            servers=",".join(sorted(server.id for server in ended)),
            crashes=",".join(f"{crash_id:016x}" for crash_id in crash_ids),
            events=self.event_count,
            parts=",".join(parts),
        )
