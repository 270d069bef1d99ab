"""Limits on the rate of requests that servers name in their answers.

A limit holds for the requests of all routers together and may be far below one request
per second for each of them, so fixed shares would leave most of it unused. One router
for each server, the coordinator, grants the requests to it one by one. It is asked only
for servers that name a limit.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from math import isfinite

import curio

from hibiscustiller.discovery import FleetView
from hibiscustiller.fleet import BackendServer
from hibiscustiller.ingress._sharing import compute_report_period
from hibiscustiller.limits import RateAllocator
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, Metrics, RouterId, ServerId, log_event
from hibiscustiller.wire import DatagramSocket, PendingRequests, wait_for_event
from hibiscustiller.wire import _messages_generated as messages
from hibiscustiller.wire._messages_generated import (
    NamedLimits,
    RateAnswer,
    RateRequest,
)

# An answer takes a few milliseconds, and longer if the coordinator is busy.
_ANSWER_TIMEOUT = timedelta(milliseconds=60)
# A coordinator that did not answer is not asked again for this long.
_SILENCE_TIME = timedelta(seconds=1)
# The platform counts requests in windows of this length, and allows one and a half
# times the limit. A new coordinator does not know what its predecessor granted in it.
_WINDOW = timedelta(seconds=4)
_NEW_COORDINATOR_SHARE = 0.2
# Share that the successor of a coordinator grants to routers that do not reach it. The
# coordinator may grant its own at the same time.
_SUCCESSOR_SHARE = 0.4
# Share that all routers use together if they reach neither.
_LOCAL_SHARE = 0.2
_COORDINATORS = 2
# A limit that was named more recently when the coordinator learned of it was granted by
# no predecessor.
_NEW_LIMIT_AGE = timedelta(seconds=1)
# A request waits for a permission that is expected within this time.
_SHORT_WAIT = timedelta(milliseconds=50)
# A router that was refused asks again after this time, so that a coordinator gets a
# bounded number of requests per second for a server, whatever the size of the fleet.
_MIN_REFUSAL_TIME = timedelta(milliseconds=50)
_MAX_REQUESTS_PER_SECOND = 200
# Datagrams can be lost, and routers that start know no limits.
_MIN_RESEND_PERIOD = timedelta(seconds=2)
_SEND_PERIOD = timedelta(milliseconds=500)
_WITHDRAWN_TTL = timedelta(seconds=20)
# A limit takes about 100 bytes.
_MAX_LIMITS_PER_DATAGRAM = 32
# Callers return within this time, spread so that they do not come at once.
_MIN_RETRY_AFTER = timedelta(milliseconds=300)
_MAX_RETRY_AFTER = timedelta(seconds=5)
_RETRY_SPREAD = (0.7, 1.3)
_MS = timedelta(milliseconds=1)
_MAX_AGE_MS = timedelta(days=2) // _MS
_MAX_PRIORITY = 255


@dataclass(frozen=True)
class RateLimit:
    """The limit that a process of a server named.

    :param born: start time of the process, in Unix milliseconds.
    :param per_second: requests per second from all routers together; None if it names
        no limit any more.
    :param named_at: when it first named one, on the monotonic clock.
    :param observed_at: when the latest statement was received.
    """

    server_id: ServerId
    born: int
    per_second: float | None
    named_at: timedelta
    observed_at: timedelta


@dataclass
class _Coordination:
    """The allocation of one server's limit by this router.

    :param is_first: whether no other router can have granted requests before.
    :param since: when this router first granted requests, on the monotonic clock.
    """

    allocator: RateAllocator
    is_first: bool
    since: timedelta


class RateLimits:
    """The limits of all servers, and the requests to their coordinators.

    :param router_id: id of this router.
    :param view: known routers and servers of the fleet.
    :param datagrams: carries limits, requests and answers.
    :param count_reporting_routers: returns how many other routers sent reports
        recently.
    :param random_state: source of request ids, and spreads the return of callers.
    :param get_wait: returns for how long a server must get no requests for another
        reason; None if there is none.
    """

    def __init__(
        self,
        router_id: RouterId,
        view: FleetView,
        datagrams: DatagramSocket,
        count_reporting_routers: Callable[[], int],
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
        get_wait: Callable[[BackendServer], timedelta | None] = lambda server: None,
    ) -> None:
        self._get_wait = get_wait
        self._router_id = router_id
        self._view = view
        self._datagrams = datagrams
        self._count_reporting_routers = count_reporting_routers
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._pending = PendingRequests(random_state)
        self._limits_by_id: dict[ServerId, RateLimit] = {}
        # Limits that changed and were not sent yet.
        self._changed_ids: set[ServerId] = set()
        self._has_changes = curio.UniversalEvent()
        self._coordinations_by_id: dict[ServerId, _Coordination] = {}
        self._local_by_id: dict[ServerId, RateAllocator] = {}
        self._silent_until_by_id: dict[RouterId, timedelta] = {}
        # Ends of refusals, by server and priority.
        self._refused_until: dict[tuple[ServerId, int], timedelta] = {}
        datagrams.register(NamedLimits, self._handle_limits)
        datagrams.register(RateRequest, self._handle_request)
        datagrams.register(RateAnswer, self._handle_answer)

    def observe(
        self, server: BackendServer, per_second: float | None, sent_at: timedelta
    ) -> None:
        """Record what an answer says of its server's limit.

        :param per_second: the limit; None if the answer names none.
        :param sent_at: when the request was sent, on the monotonic clock.
        """
        known = self._get(server)
        now = self._clock.monotonic()
        if per_second is None:
            # Answers may arrive in another order than they were made.
            if known is None or known.per_second is None or sent_at < known.observed_at:
                return
            limit = replace(known, per_second=None, observed_at=now)
        else:
            is_named = known is not None and known.per_second is not None
            named_at = known.named_at if known is not None and is_named else now
            limit = RateLimit(server.id, server.born, per_second, named_at, now)
        self._put(limit)

    async def acquire(self, server: BackendServer, priority: int) -> timedelta | None:
        """Ask for permission to send one request to a server.

        :param priority: priority class; 0 is the most urgent.
        :returns: None if it may be sent, or else the expected time until it might be.
        """
        other_wait = self._get_wait(server)
        limit = self._get(server)
        if other_wait is not None or limit is None or limit.per_second is None:
            return other_wait
        now = self._clock.monotonic()
        refused_until = self._refused_until.get((server.id, priority), now)
        if refused_until > now:
            return refused_until - now
        wait = await self._request(limit, priority)
        if timedelta(0) < wait <= _SHORT_WAIT:
            await self._clock.sleep(wait)
            wait = await self._request(limit, priority)
        if wait <= timedelta(0):
            return None
        self._metrics.count("rate_limits.refused")
        refusal_time = max(
            _MIN_REFUSAL_TIME,
            timedelta(seconds=self._view.count_routers() / _MAX_REQUESTS_PER_SECOND),
        )
        self._refused_until[server.id, priority] = self._clock.monotonic() + min(
            wait, refusal_time
        )
        return wait

    def compute_retry_after(self, wait: timedelta) -> timedelta:
        """Return when a refused caller may return, spread over some time."""
        retry_after = wait * self._random_state.uniform(*_RETRY_SPREAD)
        return min(max(retry_after, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER)

    async def run(self) -> None:
        """Send limits to other routers until cancelled."""
        resent_at = self._clock.monotonic()
        while True:
            await wait_for_event(_SEND_PERIOD, self._has_changes)
            self._has_changes.clear()
            self._drop_old()
            changed_ids, self._changed_ids = self._changed_ids, set()
            now = self._clock.monotonic()
            period = compute_report_period(len(self._view.peers_by_id))
            if now - resent_at >= max(_MIN_RESEND_PERIOD, period):
                resent_at = now
                changed_ids |= set(filter(self._is_coordinator, self._limits_by_id))
            if changed_ids:
                await self._send(changed_ids)

    def describe(self) -> dict[str, float]:
        """Return the limits in force, in requests per second, by server."""
        return {
            server_id: limit.per_second
            for server_id, limit in self._limits_by_id.items()
            if limit.per_second is not None
        }

    def _get(self, server: BackendServer) -> RateLimit | None:
        limit = self._limits_by_id.get(server.id)
        # A new process has no limit yet.
        return None if limit is None or limit.born != server.born else limit

    def _put(self, limit: RateLimit) -> None:
        """Replace what is known of a server's limit."""
        known = self._limits_by_id.get(limit.server_id)
        self._limits_by_id[limit.server_id] = limit
        if known is not None and known.born == limit.born:
            if known.per_second == limit.per_second:
                return
        else:
            self._coordinations_by_id.pop(limit.server_id, None)
            self._local_by_id.pop(limit.server_id, None)
            if limit.per_second is None:
                return
        if limit.per_second is None:
            log_event("rate_limit_withdrawn", server=limit.server_id)
        else:
            log_event(
                "rate_limit_named",
                level="warning",
                server=limit.server_id,
                per_second=limit.per_second,
            )
        self._changed_ids.add(limit.server_id)
        self._has_changes.set()

    def _drop_old(self) -> None:
        """Drop the limits of processes that are gone, and old withdrawals."""
        oldest = self._clock.monotonic() - _WITHDRAWN_TTL
        for server_id, limit in list(self._limits_by_id.items()):
            server = self._view.get_server(server_id)
            is_gone = server is None or server.born != limit.born
            is_old = limit.per_second is None and limit.observed_at < oldest
            if is_gone or is_old:
                del self._limits_by_id[server_id]
                self._coordinations_by_id.pop(server_id, None)
                self._local_by_id.pop(server_id, None)
        now = self._clock.monotonic()
        self._refused_until = {
            key: until for key, until in self._refused_until.items() if until > now
        }

    def _list_coordinators(self, server_id: ServerId) -> list[RouterId]:
        """Return the coordinator of a server's limit and its successor."""
        key = f"rate/{server_id}"
        return self._view.choose_routers(key, _COORDINATORS, self._router_id)

    def _is_coordinator(self, server_id: ServerId) -> bool:
        return self._list_coordinators(server_id)[:1] == [self._router_id]

    async def _request(self, limit: RateLimit, priority: int) -> timedelta:
        """Ask the coordinator, or its successor if it does not answer.

        :returns: zero if the request is granted, or else the expected time until it is.
        """
        now = self._clock.monotonic()
        for router_id in self._list_coordinators(limit.server_id):
            if router_id == self._router_id:
                return self._grant(limit, priority)
            if self._silent_until_by_id.get(router_id, now) > now:
                continue
            wait = await self._ask(router_id, limit, priority)
            if wait is not None:
                self._local_by_id.pop(limit.server_id, None)
                return wait
            self._silent_until_by_id[router_id] = (
                self._clock.monotonic() + _SILENCE_TIME
            )
        self._metrics.count("rate_limits.unanswered")
        return self._grant_locally(limit, priority)

    def _grant(self, limit: RateLimit, priority: int) -> timedelta:
        """Grant a request of any router, in the role of the coordinator."""
        now = self._clock.monotonic()
        coordination = self._coordinations_by_id.get(limit.server_id)
        if coordination is None:
            is_first = now - limit.named_at < _NEW_LIMIT_AGE
            allocator = RateAllocator(self._clock, tokens=1.0)
            coordination = _Coordination(allocator, is_first, now)
            self._coordinations_by_id[limit.server_id] = coordination
        share = 1.0 if self._is_coordinator(limit.server_id) else _SUCCESSOR_SHARE
        if not coordination.is_first and now - coordination.since < _WINDOW:
            share = _NEW_COORDINATOR_SHARE
        # During a network partition each side has a coordinator.
        reporting_count = self._count_reporting_routers() + 1
        share *= min(1.0, reporting_count / self._view.count_routers())
        assert limit.per_second is not None
        return coordination.allocator.request(share * limit.per_second, priority)

    def _grant_locally(self, limit: RateLimit, priority: int) -> timedelta:
        """Grant a request by a fixed share, since no coordinator answers."""
        allocator = self._local_by_id.setdefault(
            limit.server_id, RateAllocator(self._clock)
        )
        assert limit.per_second is not None
        share = _LOCAL_SHARE / self._view.count_routers()
        return allocator.request(share * limit.per_second, priority)

    async def _ask(
        self, router_id: RouterId, limit: RateLimit, priority: int
    ) -> timedelta | None:
        """Ask a coordinator; None if no answer came in time."""
        peer = self._view.peers_by_id.get(router_id)
        if peer is None:
            return None
        with self._pending.open() as request:
            message = RateRequest(
                request.id, min(max(priority, 0), _MAX_PRIORITY), self._encode(limit)
            )
            await self._datagrams.send(peer.address, self._datagrams.encode(message))
            try:
                answer = await request.wait(_ANSWER_TIMEOUT)
            except TimeoutError:
                return None
        if answer.granted:
            return timedelta(0)
        return min(max(answer.wait_ms, 1), _MAX_AGE_MS) * _MS

    async def _send(self, server_ids: Iterable[ServerId]) -> None:
        """Send limits to their coordinators, or as one of them to all routers."""
        ids_by_receiver: dict[RouterId, list[ServerId]] = {}
        for server_id in server_ids:
            receivers: Iterable[RouterId] = self._list_coordinators(server_id)
            if self._is_coordinator(server_id):
                receivers = self._view.peers_by_id
            for router_id in receivers:
                ids_by_receiver.setdefault(router_id, []).append(server_id)
        for router_id, ids in ids_by_receiver.items():
            peer = self._view.peers_by_id.get(router_id)
            if peer is None or router_id == self._router_id:
                continue
            limits = [
                self._encode(self._limits_by_id[key])
                for key in ids
                if key in self._limits_by_id
            ]
            for start in range(0, len(limits), _MAX_LIMITS_PER_DATAGRAM):
                part = tuple(limits[start : start + _MAX_LIMITS_PER_DATAGRAM])
                data = self._datagrams.encode(NamedLimits(part))
                await self._datagrams.send(peer.address, data)

    async def _handle_limits(
        self, router_id: RouterId, address: Address, message: NamedLimits
    ) -> None:
        for limit in message.limits:
            self._merge(limit)

    async def _handle_request(
        self, router_id: RouterId, address: Address, request: RateRequest
    ) -> None:
        limit = self._merge(request.limit)
        if limit is None:
            return
        wait = timedelta(0)
        if limit.per_second is not None:
            wait = self._grant(limit, request.priority)
        answer = RateAnswer(request.request_id, wait <= timedelta(0), wait // _MS)
        await self._datagrams.send(address, self._datagrams.encode(answer))

    async def _handle_answer(
        self, router_id: RouterId, address: Address, answer: RateAnswer
    ) -> None:
        await self._pending.take(answer.request_id, answer)

    def _merge(self, message: messages.NamedLimit) -> RateLimit | None:
        """Add what another router knows of a limit.

        :returns: the limit that is known now; None if the message makes no sense.
        """
        ages_ms = (message.named_ms, message.observed_ms)
        if max(ages_ms) > _MAX_AGE_MS or not isfinite(message.per_second):
            log_event(
                "rate_limit_unreadable", level="warning", server=message.server_id[:80]
            )
            return None
        now = self._clock.monotonic()
        per_second = message.per_second if message.per_second >= 0 else None
        limit = RateLimit(
            ServerId(message.server_id),
            message.born,
            per_second,
            now - message.named_ms * _MS,
            now - message.observed_ms * _MS,
        )
        known = self._limits_by_id.get(limit.server_id)
        if known is not None and known.born > limit.born:
            return None
        if known is not None and known.born == limit.born:
            if known.observed_at >= limit.observed_at:
                return known
            if known.per_second is not None and per_second is not None:
                named_at = min(known.named_at, limit.named_at)
                limit = replace(limit, named_at=named_at)
        self._put(limit)
        return limit

    def _encode(self, limit: RateLimit) -> messages.NamedLimit:
        now = self._clock.monotonic()
        return messages.NamedLimit(
            limit.server_id,
            limit.born,
            -1.0 if limit.per_second is None else limit.per_second,
            max(0, (now - limit.named_at) // _MS),
            max(0, (now - limit.observed_at) // _MS),
        )
