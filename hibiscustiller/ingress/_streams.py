"""Streams through pipelines: one answer over one or more attempts."""

from __future__ import annotations

from collections.abc import Callable, Collection, Coroutine
from datetime import timedelta
from enum import Enum
from typing import Any

from result import Err

from hibiscustiller.exceptions import TransportError
from hibiscustiller.fleet import IngressRoute
from hibiscustiller.ingress._budget import RetryBudgets
from hibiscustiller.ingress._connections import count_idle_connections
from hibiscustiller.ingress._context import (
    MAX_BODY_BYTES,
    PROMISING_STATUSES,
    RequestContext,
    send_refusal,
)
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._events import Event, EventSplitter
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.layers import (
    Demand,
    EngineLoad,
    Grant,
    Pipeline,
    PipelineChoice,
    SharedAdmission,
    check_pipeline,
)
from hibiscustiller.platform import make_caller_fields, read_answer_facts
from hibiscustiller.utils import (
    Metrics,
    OrganisationId,
    Refusal,
    RefusalReason,
    ServerId,
    Verdict,
)
from hibiscustiller.wire import Exchange, HttpClient, Responder, find_described_length

_OK = 200
# A paused stream looks this often whether one of its stages is known to be lost.
_LOOK_PERIOD = timedelta(milliseconds=40)
# A stream that paused for so long has its stages checked, and again after each such
# time. Pauses of a full pipeline stay below it.
_CHECK_PERIOD = timedelta(milliseconds=240)
# Without any event a caller leaves after the longest of these: a time, a number of
# target latencies, a number of target gaps.
_SHORTEST_PATIENCE = timedelta(seconds=2)
_PATIENCE_LATENCIES = 4
_PATIENCE_GAPS = 8
# Share of it after which a silent pipeline is given up; what is left is for the prompt
# to be read at another one.
_GIVE_UP_SHARE = 0.65
_RETRY_AFTER = timedelta(milliseconds=700)
# Reports of the other routers lag. An engine that is known to be used less than this
# does not refuse for want of room.
_ROOM_SHARE = 0.5
# The share of an answer that is held on average while it is written.
_ANSWER_SHARE = 0.5
_NOBODY = OrganisationId("")


class CallerLeftError(Exception):
    """The caller does not take its answer."""


class _Outcome(Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    ANSWERED = "answered"


class StreamForwarder:
    """Forwards streams to the engines of one service.

    :param find_detour: finds a pipeline without some servers, whatever pipelines
        there are; None if there is none.
    :param crashes: requests under which servers have ended.
    :param budgets: tells whether a request may be sent to a second server.
    :param count_routers: returns how many routers share a server's connections.
    """

    def __init__(
        self,
        client: HttpClient,
        admission: SharedAdmission,
        choice: PipelineChoice,
        load: EngineLoad,
        health: ServerHealth,
        crashes: CrashHistory,
        budgets: RetryBudgets,
        find_detour: Callable[[Collection[ServerId]], Pipeline | None],
        count_routers: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self.find_detour = find_detour
        self.client = client
        self.admission = admission
        self.choice = choice
        self.load = load
        self.health = health
        self.crashes = crashes
        self.budgets = budgets
        self.count_routers = count_routers
        self.metrics = metrics

    async def forward(self, context: RequestContext, responder: Responder) -> None:
        """Answer a request with a stream."""
        demand = self._make_demand(context)
        admitted = await self.admission.admit(demand)
        self.metrics.timing("wait_for_place", context.age)
        if isinstance(admitted, Err):
            await self._refuse(context, responder, admitted.err_value)
            return
        stream = _Stream(self, context, responder, demand)
        try:
            refusal = await stream.run(admitted.ok_value)
        except CallerLeftError as error:
            context.log("caller_left", reason=error)
            raise TransportError(str(error), Verdict.MAY_HAVE_RUN) from error
        if refusal is not None:
            await self._refuse(context, responder, refusal)

    async def _refuse(
        self, context: RequestContext, responder: Responder, refusal: Refusal
    ) -> None:
        context.log(
            "request_refused",
            reason=refusal.reason.label,
            verdict=refusal.verdict,
            detail=refusal.message,
            retry_after=refusal.retry_after,
            waiting=self.admission.waiting_count,
            free_share=self.choice.count_free_share(),
        )
        self.metrics.count(f"refused.{refusal.reason.label}")
        if responder.is_started:
            # The connection is closed without the end of the answer.
            raise TransportError(refusal.message, refusal.verdict)
        await send_refusal(responder, refusal)

    def _make_demand(self, context: RequestContext) -> Demand:
        facts, spec = context.facts, context.service.engine
        assert spec is not None
        answer = float(facts.guessed_answer_tokens or spec.usual_answer)
        if facts.max_answer_tokens:
            answer = min(answer, facts.max_answer_tokens)
        prompt = facts.prompt_tokens or spec.usual_prompt
        organisation = context.organisation
        return Demand(
            priority=context.priority,
            organisation=_NOBODY if organisation is None else organisation.id,
            tokens=prompt + answer * _ANSWER_SHARE,
            target_latency=context.route.target_latency,
            target_gap=context.route.target_gap,
            time_left=context.time_left,
        )


class _Stream:
    """One caller's stream."""

    def __init__(
        self,
        forwarder: StreamForwarder,
        context: RequestContext,
        responder: Responder,
        demand: Demand,
    ) -> None:
        self._forwarder = forwarder
        self._context = context
        self._responder = responder
        self._demand = demand
        self._last_event = context.facts.last_event
        self._lost: set[ServerId] = set()
        # Servers of pipelines that were given up for their silence.
        self._silent: set[ServerId] = set()
        self._entries: list[ServerId] = []
        self._may_have_run = False
        self._attempts = 0
        self._event_count = 0
        # When the present attempt was sent, and the events that it has brought.
        self._sent_at: timedelta | None = None
        self._attempt_event_count = 0
        # Since when the present attempt has brought no whole event.
        self._silent_since = timedelta(0)
        self._give_up_after = _find_give_up_time(context.route)

    async def run(self, grant: Grant) -> Refusal | None:
        """Run attempts until the answer is complete.

        :returns: why it could not be completed; None if it was.
        """
        while True:
            outcome = await self._run_granted(grant)
            if outcome in (_Outcome.FINISHED, _Outcome.ANSWERED):
                return None
            refusal = await self._check_repeat(outcome)
            if refusal is not None:
                return refusal
            again = await self._find_other()
            if again is None:
                return self._fail("no other pipeline is left")
            self._forwarder.metrics.count(f"streams.repeated.{outcome.value}")
            grant = again

    async def _run_granted(self, grant: Grant) -> _Outcome:
        context = self._context
        ended = self._list_ended(grant)
        try:
            outcome = await self._attempt(grant)
        except TimeoutError:
            # The route's time is up, or the caller's.
            self._may_have_run = True
            outcome = _Outcome.BROKEN
        finally:
            await self._forwarder.admission.release(grant)
        self._note_end(outcome, self._list_ended(grant) - ended)
        context.log(
            "stream_attempt",
            outcome=outcome,
            attempt=self._attempts,
            pipeline=",".join(grant.pipeline.server_ids),
            events=self._event_count,
            last_event=self._last_event,
            version=context.document_version,
        )
        return outcome

    def _list_ended(self, grant: Grant) -> set[ServerId]:
        """Return the servers of a pipeline whose process is known to have ended."""
        has_ended = self._forwarder.health.has_ended
        return {server.id for server in grant.pipeline.servers if has_ended(server)}

    def _note_end(self, outcome: _Outcome, ended: Collection[ServerId]) -> None:
        """Record what an attempt shows of the servers that may end under the request.

        :param ended: servers of the attempt's pipeline that have ended meanwhile.
        """
        crashes, fingerprint = self._forwarder.crashes, self._context.fingerprint
        if outcome in (_Outcome.FINISHED, _Outcome.ANSWERED):
            crashes.record_answer(fingerprint)
        elif ended and self._sent_at is not None:
            has_progress = self._attempt_event_count > 0
            crashes.record_crash(fingerprint, self._sent_at, has_progress)
            self._context.log(
                "attempt_met_crash",
                fingerprint=fingerprint,
                servers=",".join(sorted(ended)),
                events=self._attempt_event_count,
            )

    async def _wait_for_turn(self) -> Refusal | None:
        """Wait until a request under which servers ended may be sent again.

        :returns: why it may not be sent at all; None if it may.
        """
        context, crashes = self._context, self._forwarder.crashes
        refusal = await crashes.admit(context.fingerprint, context.time_left)
        if refusal is None or not self._may_have_run:
            return refusal
        return self._fail(refusal.message)

    async def _find_other(self) -> Grant | None:
        """Find a pipeline for the next attempt.

        A server that already ran the request may run it again; others only up to the
        route's limit.
        """
        limit = max(1, self._context.route.max_attempts)
        if len(set(self._entries) - self._lost) >= limit:
            return None
        refusing = self._forwarder.health.refusals.list_refusing()
        admission = self._forwarder.admission
        for avoided in (self._silent | refusing, refusing, set()):
            grant = await admission.replace(self._demand, self._lost | avoided)
            if grant is not None:
                return grant
        # Each pipeline has a stage that does not serve; the others may form one.
        detour = self._forwarder.find_detour(self._lost)
        return None if detour is None else admission.take(detour, self._demand)

    async def _check_repeat(self, outcome: _Outcome) -> Refusal | None:
        """Return why the request may not be sent again; None if it may."""
        context, forwarder = self._context, self._forwarder
        if context.time_left <= timedelta(0):
            return self._fail("time is up", RefusalReason.BACKEND_TIMEOUT)
        if outcome is _Outcome.BROKEN and not context.route.is_resumable:
            return self._fail("the stream broke and cannot be resumed")
        refusal = await self._wait_for_turn()
        if refusal is not None:
            return refusal
        if not await forwarder.budgets.try_spend(context.service.name):
            return self._fail("the budget of repeats is used up")
        return None

    def _fail(
        self, message: str, reason: RefusalReason = RefusalReason.BACKEND_FAILED
    ) -> Refusal:
        if self._may_have_run:
            return Refusal(reason, Verdict.MAY_HAVE_RUN, message)
        return Refusal(RefusalReason.NO_ROUTE, Verdict.NOT_RUN, message, _RETRY_AFTER)

    async def _attempt(self, grant: Grant) -> _Outcome:
        pipeline, context = grant.pipeline, self._context
        assert context.service.engine is not None
        check_pipeline(context.service.engine, pipeline)
        self._attempts += 1
        self._attempt_event_count = 0
        self._sent_at = None
        self._silent_since = context.clock.monotonic()
        stages = tuple((s.server.address, s.layers) for s in pipeline.stages)
        request = context.make_server_request(pipeline.entry, stages, self._last_event)
        try:
            exchange = await self._forwarder.client.open_exchange(
                pipeline.entry.address,
                request,
                head_timeout=context.wait_left,
                is_fresh=not context.route.is_resumable,
                on_sent=lambda: self._note_sent(pipeline.entry.id),
                max_idle=count_idle_connections(
                    context.service, self._forwarder.count_routers()
                ),
            )
        except TransportError as error:
            return await self._note_broken(grant, error)
        try:
            return await self._read_answer(exchange, grant)
        except TransportError as error:
            return await self._note_broken(grant, error)
        finally:
            await exchange.close()

    async def _note_broken(self, grant: Grant, error: TransportError) -> _Outcome:
        context, entry = self._context, grant.pipeline.entry
        context.log("attempt_failed", entry=entry.id, reason=error)
        if self._sent_at is not None:
            since = context.clock.monotonic()
            await self._forwarder.health.check([entry], since)
        await self._check_stages(grant)
        if error.verdict is Verdict.NOT_RUN:
            self._lost.add(grant.pipeline.entry.id)
            return _Outcome.NOT_RUN
        self._may_have_run = True
        return _Outcome.BROKEN

    def _note_sent(self, entry_id: ServerId) -> None:
        self._entries.append(entry_id)
        self._sent_at = self._context.clock.monotonic()

    async def _check_stages(self, grant: Grant) -> None:
        """Find out which engines of the pipeline cannot be reached."""
        await self._forwarder.health.check(grant.pipeline.servers)
        self._find_lost_stages(grant)

    def _find_lost_stages(self, grant: Grant) -> bool:
        """Tell whether an engine of the pipeline is known to be lost."""
        # An engine that is leaving goes on with what it has.
        health, servers = self._forwarder.health, grant.pipeline.servers
        lost = {server.id for server in servers if not health.is_reachable(server)}
        self._lost |= lost
        if self._context.route.is_resumable:
            return bool(lost)
        # A host that cannot be reached for a moment may go on with what it runs, and
        # this stream cannot be had again.
        return not lost.isdisjoint(health.list_dead())

    async def _read_answer(self, exchange: Exchange, grant: Grant) -> _Outcome:
        await self._wait_for(exchange.read_head, grant)
        facts = read_answer_facts(exchange.status, exchange.fields)
        context = self._context
        if facts.is_not_run:
            self._note_refusing_server(grant, facts.failed_server)
            return _Outcome.NOT_RUN
        if facts.request_id != context.facts.request_id or not facts.is_sealed:
            message = "answer is not this request's"
            raise TransportError(message, Verdict.MAY_HAVE_RUN)
        if exchange.status != _OK:
            return await self._pass_whole(exchange)
        if not _is_event_stream(exchange):
            return await self._pass_whole(exchange)
        return await self._pass_events(exchange, grant)

    def _note_refusing_server(self, grant: Grant, address: object) -> None:
        """Leave out the server that refused, for this request."""
        at_fault = [
            server for server in grant.pipeline.servers if server.address == address
        ]
        refusing = at_fault or [grant.pipeline.entry]
        forwarder, spec = self._forwarder, self._context.service.engine
        assert spec is not None
        for server in refusing:
            self._lost.add(server.id)
            share = forwarder.load.find_used_share(spec, server)
            forwarder.health.refusals.note_refusal(server, share < _ROOM_SHARE)
            self._context.log("attempt_refused", server=server.id, used_share=share)

    async def _pass_whole(self, exchange: Exchange) -> _Outcome:
        """Pass on an answer that is no stream, if nothing was sent yet."""
        self._may_have_run = True
        left = self._context.wait_left
        body = await exchange.read_body(left, MAX_BODY_BYTES)
        can_resume = self._context.route.is_resumable
        is_failure = exchange.status >= 500
        if self._responder.is_started or (is_failure and can_resume):
            return _Outcome.BROKEN
        if exchange.status in PROMISING_STATUSES:
            return _Outcome.BROKEN
        fields = make_caller_fields(exchange.fields)
        length = find_described_length(exchange.fields)
        await _send(self._responder.send_fields(exchange.status, fields, body, length))
        return _Outcome.ANSWERED

    async def _pass_events(self, exchange: Exchange, grant: Grant) -> _Outcome:
        splitter = EventSplitter()
        clock = self._context.clock
        last_at: timedelta | None = None
        while True:
            part = await self._wait_for(exchange.read_part, grant)
            if part is None:
                break
            events = self._select_new(self._split(splitter, part))
            if not events:
                continue
            now = clock.monotonic()
            if last_at is not None:
                gap = (now - last_at) / len(events)
                self._forwarder.choice.note_gap(grant.pipeline, gap)
            last_at = now
            await self._send_events(exchange, events, grant)
            self._silent_since = clock.monotonic()
        if splitter.rest:
            message = "the stream ended within an event"
            raise TransportError(message, Verdict.MAY_HAVE_RUN)
        await self._start_answer(exchange)
        await _send(self._responder.finish())
        return _Outcome.FINISHED

    def _split(self, splitter: EventSplitter, part: bytes) -> list[Event]:
        try:
            return splitter.feed(part)
        except ValueError as error:
            raise TransportError(str(error), Verdict.MAY_HAVE_RUN) from error

    def _select_new(self, events: list[Event]) -> list[Event]:
        """Drop events that the caller has; refuse a stream that leaves one out."""
        new = []
        for event in events:
            if event.id is not None:
                last = self._last_event
                if last is not None and event.id <= last:
                    continue
                if last is not None and event.id != last + 1:
                    message = f"event {event.id} follows {last}"
                    raise TransportError(message, Verdict.MAY_HAVE_RUN)
                self._last_event = event.id
            new.append(event)
        return new

    async def _send_events(
        self, exchange: Exchange, events: list[Event], grant: Grant
    ) -> None:
        self._may_have_run = True
        self._forwarder.health.refusals.note_taken(grant.pipeline.server_ids)
        if not self._event_count:
            self._forwarder.metrics.timing("first_event", self._context.age)
        await self._start_answer(exchange)
        self._event_count += len(events)
        self._attempt_event_count += len(events)
        data = b"".join(event.data for event in events)
        await _send(self._responder.send_part(data))

    async def _start_answer(self, exchange: Exchange) -> None:
        """Send the head; until then another server may give the whole answer."""
        if not self._responder.is_started:
            fields = make_caller_fields(exchange.fields)
            await _send(self._responder.start_fields(exchange.status, fields))

    async def _wait_for(self, read: Callable, grant: Grant):
        """Wait for an engine; find out why if it brings no event for long.

        Bytes that do not complete an event do not count, or an engine that sends one
        now and then would never be given up.

        :raises TransportError: if a stage is lost or the silence is too long.
        :raises TimeoutError: if the request's time is up.
        """
        context = self._context
        next_check = context.clock.monotonic() + _CHECK_PERIOD
        while True:
            left = context.time_left
            if left <= timedelta(0):
                raise TimeoutError("the request's time is up")
            now = context.clock.monotonic()
            silence = now - self._silent_since
            if silence >= self._give_up_after and context.route.is_resumable:
                self._silent.update(grant.pipeline.server_ids)
                message = f"no event for {silence.total_seconds():.2f} s"
                raise TransportError(message, Verdict.MAY_HAVE_RUN)
            if now >= next_check:
                next_check += _CHECK_PERIOD
                await self._check_stages(grant)
            # Events that arrive say more than a connection that failed.
            if silence >= _LOOK_PERIOD and self._find_lost_stages(grant):
                raise TransportError("a stage is lost", Verdict.MAY_HAVE_RUN)
            try:
                return await read(min(left, _LOOK_PERIOD))
            except TimeoutError:
                continue


def _find_give_up_time(route: IngressRoute) -> timedelta:
    """Return how long an engine may bring no event before another is tried."""
    patience = max(_SHORTEST_PATIENCE, route.target_latency * _PATIENCE_LATENCIES)
    if route.target_gap is not None:
        patience = max(patience, route.target_gap * _PATIENCE_GAPS)
    return patience * _GIVE_UP_SHARE


async def _send(coroutine: Coroutine[Any, Any, None]) -> None:
    """Send to the caller; its failures must not be taken for a server's.

    :raises CallerLeftError: if the caller does not take it.
    """
    try:
        await coroutine
    except TransportError as error:
        raise CallerLeftError(str(error)) from error


def _is_event_stream(exchange: Exchange) -> bool:
    kinds = [value for name, value in exchange.fields if name == b"content-type"]
    return bool(kinds) and kinds[0].startswith(b"text/event-stream")
