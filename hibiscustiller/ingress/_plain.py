"""Requests to plain services: one server, or another where it is safe."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.exceptions import TransportError
from hibiscustiller.fleet import BackendServer
from hibiscustiller.ingress._budget import RetryBudgets
from hibiscustiller.ingress._connections import (
    count_idle_connections,
    has_free_connection,
)
from hibiscustiller.ingress._context import (
    MAX_BODY_BYTES,
    PROMISING_STATUSES,
    RequestContext,
    send_refusal,
)
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.layers import EngineLoad
from hibiscustiller.platform import (
    AnswerFacts,
    Field,
    make_caller_fields,
    read_answer_facts,
)
from hibiscustiller.utils import (
    Clock,
    DomainId,
    Metrics,
    Refusal,
    RefusalReason,
    ServerId,
    Verdict,
)
from hibiscustiller.wire import Exchange, HttpClient, Responder, find_described_length

# A repeatable request that takes this share of its target goes to a second server.
_HEDGE_SHARE = 0.6
_LATENCY_WEIGHT = 0.2
_FAILURE_WEIGHT = 0.25
# One failure in two makes a server look six times as busy.
_FAILURE_FACTOR = 10.0
_REMOTE_FACTOR = 1.1
_USUAL_LATENCY_S = 0.02
# Servers whose costs differ by less are taken at random.
_COST_STEP = 1.08
# The health of a server that is not used is forgotten with this half-life.
_FORGET_HALF_LIFE_S = 4.0
_RETRY_AFTER = timedelta(milliseconds=200)
_BAD_STATUS = 500


@dataclass
class _Record:
    """What this router saw of a server."""

    latency_s: float = _USUAL_LATENCY_S
    failure_rate: float = 0.0
    at: timedelta = timedelta(0)


@dataclass(frozen=True)
class _Answer:
    """A complete answer of a server."""

    status: int
    fields: tuple[Field, ...]
    body: bytes
    facts: AnswerFacts


class PlainServers:
    """Chooses among the servers of plain services by what this router saw of them.

    :param domain: where this router is.
    """

    def __init__(
        self,
        domain: DomainId,
        load: EngineLoad,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._domain = domain
        self._load = load
        self._clock = clock
        self._random_state = random_state
        self._records: dict[ServerId, _Record] = {}

    def choose(self, servers: Sequence[BackendServer]) -> BackendServer | None:
        """Return the server that should answer first."""
        return min(servers, key=self._weigh, default=None)

    def note_answer(
        self, server_id: ServerId, latency: timedelta, failed: bool
    ) -> None:
        """Record how long an answer took, and whether it was of use."""
        record = self._records.setdefault(server_id, _Record())
        seconds = latency.total_seconds()
        record.latency_s += (seconds - record.latency_s) * _LATENCY_WEIGHT
        record.failure_rate += (failed - record.failure_rate) * _FAILURE_WEIGHT
        record.at = self._clock.monotonic()

    def _weigh(self, server: BackendServer) -> tuple[int, float]:
        record = self._records.get(server.id, _Record())
        age = (self._clock.monotonic() - record.at).total_seconds()
        memory = 0.5 ** (age / _FORGET_HALF_LIFE_S)
        extra = max(0.0, record.latency_s - _USUAL_LATENCY_S) * memory
        busy = 1 + self._load.get(server.id).entered / max(1, server.slots)
        cost = busy * (_USUAL_LATENCY_S + extra)
        cost *= 1 + _FAILURE_FACTOR * record.failure_rate * memory
        if server.domain != self._domain:
            cost *= _REMOTE_FACTOR
        step = int(math.log(cost) / math.log(_COST_STEP))
        return step, self._random_state.random()


class PlainForwarder:
    """Forwards requests to plain services.

    :param servers: chooses among the servers of a service.
    :param crashes: requests under which servers have ended.
    :param budgets: tells whether a request may be sent to a second server.
    :param count_routers: returns how many routers share a server's connections.
    """

    def __init__(
        self,
        client: HttpClient,
        servers: PlainServers,
        load: EngineLoad,
        health: ServerHealth,
        crashes: CrashHistory,
        budgets: RetryBudgets,
        count_routers: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self.crashes = crashes
        self.budgets = budgets
        self.client = client
        self.servers = servers
        self.load = load
        self.health = health
        self.count_routers = count_routers
        self.metrics = metrics

    async def forward(
        self,
        context: RequestContext,
        candidates: Sequence[BackendServer],
        responder: Responder,
    ) -> None:
        """Answer a request.

        :param candidates: the service's servers that take new requests.
        """
        attempts = _PlainAttempts(self, context, list(candidates))
        answer = await attempts.run()
        if isinstance(answer, Refusal):
            context.log(
                "request_refused",
                reason=answer.reason.label,
                verdict=answer.verdict,
                detail=answer.message,
                servers=",".join(attempts.tried),
            )
            self.metrics.count(f"refused.{answer.reason.label}")
            await send_refusal(responder, answer)
            return
        context.log(
            "request_answered", status=answer.status, servers=",".join(attempts.tried)
        )
        await responder.send_fields(
            answer.status,
            make_caller_fields(answer.fields),
            answer.body,
            find_described_length(answer.fields),
        )


class _PlainAttempts:
    """The attempts of one request."""

    def __init__(
        self,
        forwarder: PlainForwarder,
        context: RequestContext,
        candidates: list[BackendServer],
    ) -> None:
        self._forwarder = forwarder
        self._context = context
        self._candidates = candidates
        self._sent_count = 0
        self._may_have_run = False
        self.tried: list[ServerId] = []

    async def run(self) -> _Answer | Refusal:
        context = self._context
        last: _Answer | None = None
        while not await self._is_refused() and (server := self._choose()) is not None:
            if context.time_left <= timedelta(0):
                return self._fail(RefusalReason.BACKEND_TIMEOUT, "time is up", last)
            is_repeat = self._sent_count > 0
            budgets = self._forwarder.budgets
            if is_repeat and not await budgets.try_spend(context.service.name):
                break
            if is_repeat:
                self._forwarder.metrics.count("plain.repeated")
            self.tried.append(server.id)
            answer = await self._try_server(server)
            if answer is None:
                if self._may_have_run and not context.route.is_repeatable:
                    return self._fail_sent()
                continue
            if not self._should_repeat(answer):
                return answer
            last = answer
        if context.time_left <= timedelta(0):
            return self._fail(RefusalReason.BACKEND_TIMEOUT, "time is up", last)
        if not self.tried and self._candidates:
            message = "every server has its connections in use"
            return self._fail(RefusalReason.OVERLOADED, message, last)
        return self._fail(RefusalReason.NO_ROUTE, "no server took it", last)

    async def _is_refused(self) -> bool:
        """Wait until the request may be sent again; True if it may not."""
        if self._sent_count == 0:
            return False
        context, crashes = self._context, self._forwarder.crashes
        refusal = await crashes.admit(context.fingerprint, context.time_left)
        return refusal is not None

    def _choose(self) -> BackendServer | None:
        if self._sent_count >= max(1, self._context.route.max_attempts):
            return None
        service, load = self._context.service, self._forwarder.load
        untried = [
            server
            for server in self._candidates
            if server.id not in self.tried
            and has_free_connection(service, load.get(server.id))
        ]
        usable = [s for s in untried if self._forwarder.health.is_usable(s)]
        return self._forwarder.servers.choose(usable or untried)

    def _should_repeat(self, answer: _Answer) -> bool:
        if answer.facts.is_not_run:
            return True
        # A server's own failure may pass at another one.
        return answer.status >= _BAD_STATUS and self._context.route.is_repeatable

    async def _try_server(self, server: BackendServer) -> _Answer | None:
        """Send the request; None if there is no usable answer."""
        forwarder, context = self._forwarder, self._context
        started_at = context.clock.monotonic()
        forwarder.load.add_plain(server.id, 1)
        answer = None
        try:
            answer = await self._exchange(server)
            if not answer.facts.is_not_run:
                forwarder.crashes.record_answer(context.fingerprint)
        except TimeoutError as error:
            self._may_have_run = True
            context.log("attempt_failed", server=server.id, reason=error)
        except TransportError as error:
            context.log("attempt_failed", server=server.id, reason=error)
            if error.verdict is Verdict.MAY_HAVE_RUN:
                self._may_have_run = True
                await self._check_crash(server, started_at)
            else:
                await forwarder.health.check([server])
        finally:
            forwarder.load.add_plain(server.id, -1)
            latency = context.clock.monotonic() - started_at
            failed = answer is None or answer.status >= _BAD_STATUS
            forwarder.servers.note_answer(server.id, latency, failed)
        return answer

    async def _exchange(self, server: BackendServer) -> _Answer:
        """Send the request and read the answer.

        :raises TimeoutError: if there is no answer in time.
        :raises TransportError: if it cannot be sent, or there is no usable answer.
        """
        context = self._context
        exchange = await self._forwarder.client.open_exchange(
            server.address,
            context.make_server_request(server),
            head_timeout=context.wait_left,
            # A pooled connection may have been closed by the server, which would
            # leave open whether the request ran.
            is_fresh=not context.route.is_repeatable,
            on_sent=self._note_sent,
            max_idle=count_idle_connections(
                context.service, self._forwarder.count_routers()
            ),
        )
        try:
            return await self._read_answer(exchange)
        finally:
            await exchange.close()

    async def _check_crash(self, server: BackendServer, started_at: timedelta) -> None:
        """Find out whether a server that broke off has ended under the request."""
        forwarder, context = self._forwarder, self._context
        await forwarder.health.check([server], since=context.clock.monotonic())
        if forwarder.health.has_ended(server):
            forwarder.crashes.record_crash(
                context.fingerprint, started_at, has_progress=False
            )
            context.log(
                "attempt_met_crash", fingerprint=context.fingerprint, servers=server.id
            )

    def _note_sent(self) -> None:
        self._sent_count += 1

    async def _read_answer(self, exchange: Exchange) -> _Answer:
        context = self._context
        await exchange.read_head(self._get_patience())
        facts = read_answer_facts(exchange.status, exchange.fields)
        body = await exchange.read_body(context.wait_left, MAX_BODY_BYTES)
        answer = _Answer(exchange.status, exchange.fields, body, facts)
        _check_answer(answer, context)
        return answer

    def _get_patience(self) -> timedelta:
        """Return how long to wait for the head of an answer."""
        context = self._context
        left = context.wait_left
        has_other = len(self.tried) < len(self._candidates)
        may_repeat = context.route.is_repeatable and has_other
        if may_repeat and self._sent_count < context.route.max_attempts:
            return min(left, context.route.target_latency * _HEDGE_SHARE)
        return left

    def _fail_sent(self) -> _Answer | Refusal:
        """Return the final answer of a request that must not be sent again."""
        if self._context.time_left <= timedelta(0):
            message = "the server did not answer in time"
            return self._fail(RefusalReason.BACKEND_TIMEOUT, message, None)
        message = "the server broke off without an answer"
        return self._fail(RefusalReason.BACKEND_FAILED, message, None)

    def _fail(
        self, reason: RefusalReason, message: str, last: _Answer | None
    ) -> _Answer | Refusal:
        """Return the final answer of a request that no server answered well."""
        if last is not None and not last.facts.is_not_run:
            return last
        may_have_run = self._may_have_run
        if may_have_run and reason is RefusalReason.NO_ROUTE:
            reason = RefusalReason.BACKEND_FAILED
        if not may_have_run and reason is RefusalReason.BACKEND_TIMEOUT:
            reason = RefusalReason.NO_ROUTE
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
        retry_after = None if may_have_run else _RETRY_AFTER
        return Refusal(reason, verdict, message, retry_after)


def _check_answer(answer: _Answer, context: RequestContext) -> None:
    """Reject an answer that cannot be told to be this request's.

    :raises TransportError: if it must not reach the caller.
    """
    is_ours = answer.facts.request_id == context.facts.request_id
    if answer.facts.is_not_run:
        return
    if not is_ours or not answer.facts.is_sealed:
        raise TransportError("answer is not this request's", Verdict.MAY_HAVE_RUN)
    if answer.status in PROMISING_STATUSES:
        message = f"status {answer.status} without a statement that it did not run"
        raise TransportError(message, Verdict.MAY_HAVE_RUN)
