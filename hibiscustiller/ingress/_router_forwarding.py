"""Forwarding of requests to another router, which answers them in its own name.

A router that is cut off from all servers is still reached by callers and by the other
routers. It passes whole requests on: the other router finds the route, the organisation
and the server itself, and applies all limits, so that a request is known to the servers
and to the fleet once.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Collection
from datetime import timedelta

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.exceptions import TransportError
from hibiscustiller.ingress._budget import RetryBudgets
from hibiscustiller.ingress._context import (
    MAX_BODY_BYTES,
    NOT_RUN_STATUSES,
    CallerDisconnectedError,
    RequestContext,
    is_event_stream,
    send_to_caller,
)
from hibiscustiller.ingress._events import EventSplitter, select_new_events
from hibiscustiller.ingress._forwarding_fields import (
    is_declined,
    make_forwarding_fields,
)
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.platform import (
    make_router_answer_fields,
    make_router_fields,
    read_answer_facts,
)
from hibiscustiller.utils import (
    BackedOff,
    Clock,
    DomainId,
    Metrics,
    Refusal,
    RefusalReason,
    RouterId,
    Verdict,
)
from hibiscustiller.wire import (
    BodyHold,
    Exchange,
    HttpClient,
    RawRequest,
    Responder,
    find_described_length,
    wait_for_event,
)

# Each router that declines costs a round trip between routers.
_MAX_ROUTERS = 3
# A router that declined or was not reached is not asked again for this time.
_DECLINED_BACKOFF = timedelta(seconds=1)
_RETRY_AFTER = timedelta(milliseconds=500)
_OK = 200
_FIRST_FINAL_STATUS = 300
_FIRST_FAILURE_STATUS = 500

OnProgress = Callable[[int | None, int], None]


class RouterForwarder:
    """Passes requests on to other routers and relays their answers.

    :param router_id: this router.
    :param domain: its failure domain; routers there are preferred while enough of them
        reach servers.
    :param view: provides the other routers.
    :param health: knows which routers are cut off from servers.
    :param client: HTTP client for the other routers.
    :param budgets: decides whether a request may be sent to a second server.
    """

    def __init__(
        self,
        router_id: RouterId,
        domain: DomainId,
        view: FleetView,
        health: ServerHealth,
        client: HttpClient,
        budgets: RetryBudgets,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
    ) -> None:
        self.budgets = budgets
        self._router_id = router_id
        self._domain = domain
        self._view = view
        self._health = health
        self.client = client
        self._random_state = random_state
        self.metrics = metrics
        self.backed_off: BackedOff[RouterId] = BackedOff(clock)

    async def forward(
        self,
        context: RequestContext,
        responder: Responder,
        last_event: int | None = None,
        *,
        may_have_run: bool = False,
        on_progress: OnProgress = lambda last_event, event_count: None,
    ) -> Refusal | None:
        """Let another router answer a request.

        :param last_event: id of the last event that this router sent; None if it sent
            none.
        :param may_have_run: whether a server may have run the request already.
        :param on_progress: called before anything is sent to the caller, with the id of
            the last event and the number of new events. What it raises ends the
            attempt at this router.
        :returns: why no router answered; None if one did.
        :raises TransportError: if the caller has disconnected.
        """
        forwarding = _Forwarding(
            self, context, responder, last_event, may_have_run, on_progress
        )
        return await forwarding.run()

    def choose(self, tried: Collection[RouterId]) -> Peer | None:
        """Choose a router that probably reaches servers; None if there is none."""
        unusable = {*tried, self._router_id, *self._health.cut_off_routers}
        peers = [
            peer
            for peer in self._view.peers_by_id.values()
            if peer.router_id not in unusable and peer.inner is not None
        ]
        peers = [p for p in peers if p.router_id not in self.backed_off] or peers
        nearby = [peer for peer in peers if peer.domain == self._domain]
        cut_nearby = sum(
            self._view.peers_by_id[router_id].domain == self._domain
            for router_id in self._health.cut_off_routers
            if router_id in self._view.peers_by_id
        )
        # A few routers of a domain could not serve the callers of all others there.
        if len(nearby) > cut_nearby:
            peers = nearby
        return self._random_state.choice(peers) if peers else None

    def make_request(
        self, context: RequestContext, last_event: int | None, attempts: int
    ) -> RawRequest:
        """Build the request to another router.

        :param attempts: to how many servers that router may send it.
        """
        fields = make_router_fields(
            context.request.fields, context.caller_time_left, last_event
        )
        own_fields = make_forwarding_fields(
            self._router_id, attempts, self._view.document
        )
        request = context.request
        return RawRequest(
            request.method.encode(),
            request.target,
            (*fields, *own_fields),
            request.body,
        )


class _Forwarding:
    """One request and the routers that it is passed on to."""

    def __init__(
        self,
        forwarder: RouterForwarder,
        context: RequestContext,
        responder: Responder,
        last_event: int | None,
        may_have_run: bool,
        on_progress: OnProgress,
    ) -> None:
        self._on_progress = on_progress
        self._forwarder = forwarder
        self._context = context
        self._responder = responder
        if last_event is None:
            last_event = context.facts.last_event
        self._last_event = last_event
        self._may_have_run = may_have_run or responder.is_started
        self._tried: set[RouterId] = set()
        # The servers that the other routers may still send the request to. Attempts of
        # this router do not count: it is cut off from those servers.
        self._attempts_left = max(1, context.route.max_attempts)
        # The attempts left to each router whose outcome is open.
        self._granted_by_router: dict[RouterId, int] = {}
        # The status of the latest answer of a router.
        self._status: int | None = None
        # Whether the retry budget has already paid for the next router.
        self._is_repeat_granted = False

    async def run(self) -> Refusal | None:
        while len(self._tried) < _MAX_ROUTERS and self._context.time_left > timedelta():
            peer = self._forwarder.choose(self._tried)
            if peer is None:
                break
            self._tried.add(peer.router_id)
            self._status = None
            try:
                is_answered = await self._try(peer)
                reason = "declined"
            except CallerDisconnectedError as error:
                raise TransportError(str(error), Verdict.MAY_HAVE_RUN) from error
            except TimeoutError as error:
                self._may_have_run = True
                self._log(peer, str(error))
                break
            except TransportError as error:
                is_answered, reason = False, str(error)
                if error.verdict is Verdict.MAY_HAVE_RUN:
                    self._may_have_run = True
                else:
                    self._return_attempts(peer)
            self._log(peer, "answered" if is_answered else reason)
            if is_answered:
                return None
            self._forwarder.backed_off.add(peer.router_id, _DECLINED_BACKOFF)
            is_granted, self._is_repeat_granted = self._is_repeat_granted, False
            if self._may_have_run and not is_granted and not await self._may_repeat():
                break
        return self._make_failure()

    def _grant_attempts(self, peer: Peer) -> int:
        """Leave attempts to a router; one is kept for another beside a silent one."""
        granted = self._attempts_left
        if self._context.route.is_repeatable and granted > 1:
            granted -= 1
        self._attempts_left -= granted
        self._granted_by_router[peer.router_id] = granted
        return granted

    def _return_attempts(self, peer: Peer) -> None:
        """Take back the attempts of a router that sent the request to no server."""
        self._attempts_left += self._granted_by_router.pop(peer.router_id, 0)

    async def _may_repeat(self) -> bool:
        """Tell whether the request may go to a further router.

        A router that may have sent it to servers has used the attempts left to it.
        """
        context = self._context
        if not context.route.is_repeatable or self._attempts_left <= 0:
            return False
        return await self._forwarder.budgets.try_spend(context.service.name)

    def _log(self, peer: Peer, outcome: str) -> None:
        self._forwarder.metrics.count("router_forwarding")
        self._context.log(
            "request_forwarded",
            router=peer.router_id,
            outcome=outcome,
            status=self._status,
            version=self._context.document_version,
            last_event=self._last_event,
        )

    def _make_failure(self) -> Refusal:
        """Return why no router answered."""
        message = "this router reaches no server, and no other router answered"
        if self._context.time_left <= timedelta(0) and self._may_have_run:
            return Refusal(RefusalReason.BACKEND_TIMEOUT, Verdict.MAY_HAVE_RUN, message)
        if self._may_have_run:
            return Refusal(RefusalReason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, message)
        return Refusal(RefusalReason.NO_ROUTE, Verdict.NOT_RUN, message, _RETRY_AFTER)

    async def _try(self, peer: Peer) -> bool:
        """Pass the request on to one router.

        :returns: whether the caller has its answer; otherwise another may be asked.
        :raises TransportError: if the router does not answer, or not to the end.
        :raises TimeoutError: if the request's time is up.
        """
        async with _OpenExchanges(self._forwarder.client, self._context) as opened:
            await opened.add(peer, self._make_request(peer))
            peer, exchange = await self._wait_for_head(opened)
            if exchange is None:
                return False
            self._status = exchange.status
            if await self._may_replace(exchange):
                return False
            assert peer.inner is not None
            with self._forwarder.client.memory.hold(peer.inner) as hold:
                if exchange.status == _OK and is_event_stream(exchange):
                    await self._relay_events(exchange, EventSplitter(hold))
                elif self._responder.is_started:
                    message = f"status {exchange.status} after the answer had begun"
                    raise TransportError(message, Verdict.MAY_HAVE_RUN)
                else:
                    await self._relay_whole_answer(exchange, hold)
        return True

    def _make_request(self, peer: Peer) -> RawRequest:
        attempts = self._grant_attempts(peer)
        return self._forwarder.make_request(self._context, self._last_event, attempts)

    async def _may_replace(self, exchange: Exchange) -> bool:
        """Tell whether another router may answer instead of a failure.

        The router that failed could not use the attempt that was kept from it.
        """
        is_failure = exchange.status >= _FIRST_FAILURE_STATUS
        if not is_failure or exchange.status in NOT_RUN_STATUSES:
            return False
        if len(self._tried) >= _MAX_ROUTERS or self._responder.is_started:
            return False
        if self._forwarder.choose(self._tried) is None or not await self._may_repeat():
            return False
        self._may_have_run = self._is_repeat_granted = True
        return True

    async def _wait_for_head(
        self, opened: _OpenExchanges
    ) -> tuple[Peer, Exchange | None]:
        """Wait for the head of an answer, and ask a second router beside a silent one.

        :returns: the router and its exchange; without an exchange if it declined.
        :raises TransportError: if the last open router does not answer.
        :raises TimeoutError: if the request's time is up.
        """
        if self._context.route.is_repeatable:
            if not await opened.wait(self._context.route.target_latency):
                await self._ask_beside(opened)
        while True:
            peer, outcome = await opened.take(self._context.timeout_left)
            if isinstance(outcome, Exchange) and not self._is_declined(outcome):
                return peer, outcome
            if isinstance(outcome, Exchange):
                self._return_attempts(peer)
            if opened.count == 0:
                if isinstance(outcome, Exchange):
                    return peer, None
                raise outcome
            # The other router may still answer.
            self._log(
                peer, "declined" if isinstance(outcome, Exchange) else str(outcome)
            )
            self._forwarder.backed_off.add(peer.router_id, _DECLINED_BACKOFF)

    async def _ask_beside(self, opened: _OpenExchanges) -> None:
        """Pass the request on to a second router, if one may be asked."""
        peer = self._forwarder.choose(self._tried)
        if peer is None or len(self._tried) >= _MAX_ROUTERS:
            return
        if await self._may_repeat():
            # The silent router may have sent it to a server.
            self._may_have_run = True
            self._tried.add(peer.router_id)
            self._log(peer, "asked beside a silent router")
            await opened.add(peer, self._make_request(peer))

    def _is_declined(self, exchange: Exchange) -> bool:
        if is_declined(exchange.fields) or _is_final_refusal(exchange):
            return True
        # The other router knows nothing of the earlier attempts.
        return self._may_have_run and exchange.status in NOT_RUN_STATUSES

    async def _relay_whole_answer(self, exchange: Exchange, hold: BodyHold) -> None:
        timeout = self._context.timeout_left
        body = await exchange.read_body(hold, timeout, MAX_BODY_BYTES)
        if not exchange.is_framed:
            message = "the answer of a router has no end of its own"
            raise TransportError(message, Verdict.MAY_HAVE_RUN)
        self._on_progress(self._last_event, 0)
        fields = make_router_answer_fields(exchange.fields)
        length = find_described_length(exchange.fields)
        await send_to_caller(
            self._responder.send_fields(exchange.status, fields, body, length)
        )

    async def _relay_events(self, exchange: Exchange, splitter: EventSplitter) -> None:
        """Relay whole events, so that another router can go on after the last one."""
        while True:
            part = await exchange.read_part(self._context.timeout_left)
            if part is None:
                break
            try:
                events, self._last_event = select_new_events(
                    splitter.feed(part), self._last_event
                )
            except ValueError as error:
                raise TransportError(str(error), Verdict.MAY_HAVE_RUN) from error
            if events:
                self._may_have_run = True
                self._on_progress(self._last_event, len(events))
                await self._start_response(exchange)
                data = b"".join(event.data for event in events)
                await send_to_caller(self._responder.send_part(data))
        if splitter.rest or not exchange.is_framed:
            message = "the stream of a router ended early"
            raise TransportError(message, Verdict.MAY_HAVE_RUN)
        self._on_progress(self._last_event, 0)
        await self._start_response(exchange)
        await send_to_caller(self._responder.finish())

    async def _start_response(self, exchange: Exchange) -> None:
        if not self._responder.is_started:
            fields = make_router_answer_fields(exchange.fields)
            await send_to_caller(self._responder.start_fields(exchange.status, fields))


def _is_final_refusal(exchange: Exchange) -> bool:
    """Tell whether a router itself refused a request in a way that is final.

    The configuration of the router that passed the request on allows it. The other one
    may have another configuration, or lower limits.
    """
    status = exchange.status
    is_final = _FIRST_FINAL_STATUS <= status < _FIRST_FAILURE_STATUS
    if not is_final or status in NOT_RUN_STATUSES:
        return False
    return not read_answer_facts(status, exchange.fields).is_sealed


class _OpenExchanges:
    """The routers that a request was passed on to and whose answers have not ended.

    :param client: HTTP client for the other routers.
    """

    def __init__(self, client: HttpClient, context: RequestContext) -> None:
        self._client = client
        self._context = context
        self._tasks: list[curio.Task] = []
        self._exchanges: list[Exchange] = []
        self._outcomes: deque[tuple[Peer, Exchange | Exception]] = deque()
        self._is_changed = curio.Event()
        # Routers whose outcome was not taken yet.
        self.count = 0

    async def __aenter__(self) -> _OpenExchanges:
        return self

    async def __aexit__(self, *args: object) -> None:
        for task in self._tasks:
            await task.cancel()
        for exchange in self._exchanges:
            await exchange.close()

    async def add(self, peer: Peer, request: RawRequest) -> None:
        """Pass the request on to a further router."""
        self.count += 1
        self._tasks.append(await curio.spawn(self._read_head, peer, request))

    async def wait(self, timeout: timedelta) -> bool:
        """Wait for an outcome; tell whether there is one."""
        return bool(self._outcomes) or await wait_for_event(timeout, self._is_changed)

    async def take(self, timeout: timedelta) -> tuple[Peer, Exchange | Exception]:
        """Return the next router with the exchange whose head has arrived, or an error.

        :raises TimeoutError: if there is none in time.
        """
        if not await self.wait(timeout):
            raise TimeoutError("no other router answered in time")
        self.count -= 1
        outcome = self._outcomes.popleft()
        if not self._outcomes:
            self._is_changed.clear()
        return outcome

    async def _read_head(self, peer: Peer, request: RawRequest) -> None:
        assert peer.inner is not None
        outcome: Exchange | Exception
        try:
            outcome = exchange = await self._client.open_exchange(
                peer.inner,
                request,
                head_timeout=self._context.timeout_left,
                is_fresh=not self._context.route.is_repeatable,
            )
            self._exchanges.append(exchange)
            await exchange.read_head(self._context.timeout_left)
        except (TransportError, TimeoutError) as error:
            outcome = error
        self._outcomes.append((peer, outcome))
        await self._is_changed.set()
