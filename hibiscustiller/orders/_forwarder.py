"""Forwarding of calls to plain services, with at-most-once delivery of orders."""

from __future__ import annotations

import fnmatch
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Protocol
from urllib.parse import unquote

import curio
from result import Err, Ok, Result

from hibiscustiller.configuration import ServiceConfig
from hibiscustiller.exceptions import TransportError
from hibiscustiller.orders._bucket import ClaimRateLimiter
from hibiscustiller.orders._claims import (
    ServiceResponse,
    fingerprint_order,
    make_claim_key,
)
from hibiscustiller.orders._ledger import ClaimLedger, HeldClaim, make_store_refusal
from hibiscustiller.orders._replicas import ReplicaTable
from hibiscustiller.platform import KeyValueStore
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    Clock,
    Metrics,
    OrganisationId,
    Refusal,
    RefusalReason,
    SystemClock,
    Verdict,
    check_invariant,
    jittered_delays,
)
from hibiscustiller.wire import HttpClient

_RETRY_AFTER_FAILURE = timedelta(seconds=1)
_INITIAL_RETRY_DELAY = timedelta(milliseconds=20)
_MAX_RETRY_DELAY = timedelta(milliseconds=500)
# A claim whose last check is older than this is read again before the order is sent.
# Claims are stored for 24 h, so a claim disappears sooner only if its lease is lost or
# the store is restored from a backup. The age is checked just before the first byte is
# sent; a pause of the process between the two steps does harm only if it outlasts the
# lease.
_MAX_CLAIM_CHECK_AGE = timedelta(seconds=5)
_MAX_CLAIM_CHECKS = 2
_STATUS_UNAVAILABLE = 503
# Limits the wait for pending writes, whose retries may take longer than a shutdown
# should. Orders in flight need no limit because the service's timeout ends them.
_DRAIN_TIMEOUT = timedelta(seconds=15)
_DRAIN_POLL_INTERVAL = timedelta(milliseconds=20)


class RetryBudget(Protocol):
    """Limits the number of retries relative to the number of requests."""

    def record_request(self) -> None:
        """Count a request's first attempt."""
        ...

    def try_spend(self) -> bool:
        """Consume one retry; return False if the budget is exhausted."""
        ...


@dataclass(frozen=True)
class ServiceCall:
    """A call to a plain service, as the caller sent it.

    :param path: percent-encoded path at the service, including the query.
    :param idempotency_key: identifies an order and its repeats; None if the caller sent
        none.
    :param is_marked_non_idempotent: whether the caller sent the header ``x-idempotent:
        false``, which makes any call an order.
    """

    organisation: OrganisationId
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str | None
    is_marked_non_idempotent: bool = False


class _StaleClaimError(Exception):
    """Raised before the first byte if the claim must be checked again."""


@dataclass
class _SendGuard:
    """Counts the sends of one call and prevents a second send of an order.

    :param is_order: whether the call may be sent at most once.
    :param may_send: returns False if the claim must be checked again first.
    :param sends: number of times that sending has begun.
    """

    is_order: bool
    may_send: Callable[[], bool] = field(default=lambda: True)
    sends: int = 0

    def record_send(self) -> None:
        """Record a send; called just before the first byte.

        :raises _StaleClaimError: if the claim must be checked again first.
        """
        if not self.may_send():
            raise _StaleClaimError
        check_invariant(
            not (self.is_order and self.sends),
            "order_sent_at_most_once",
            sends=self.sends,
        )
        self.sends += 1


def is_order(service: ServiceConfig, method: str, path: str) -> bool:
    """Tell whether the service's patterns make a call an order.

    :param path: percent-encoded path. Services may decode it and ignore a trailing
        slash, so the patterns are matched against the decoded path with and without it.
    """
    decoded = unquote(path.partition("?")[0])
    spellings = {decoded, decoded.rstrip("/")}
    return any(
        fnmatch.fnmatchcase(f"{method} {spelling}", pattern)
        for pattern in service.non_idempotent
        for spelling in spellings
    )


def make_repeat_headers(service: ServiceConfig, call: ServiceCall) -> dict[str, str]:
    """Return the header which warns that a repeat of the call would be a new order."""
    is_unkeyed = call.idempotency_key is None
    return (
        {"x-repeat": "new-order"}
        if is_unkeyed and _must_run_once(service, call)
        else {}
    )


class ServiceForwarder:
    """Forwards calls to the replicas of plain services.

    :param client: HTTP client.
    :param store: key-value store that holds the claims.
    :param random_state: source of the order of replicas, of claim tokens and of jitter.
    :param clock: source of time; the system's clock by default.
    :param metrics: counts retries and replayed responses.
    :param retry_budget: consulted before each retry; None if only the number of
        replicas limits the retries.
    :param is_leaving: tells whether a replica must get no new calls.
    :param count_routers: returns the number of live routers, which share the store.
    """

    def __init__(
        self,
        client: HttpClient,
        store: KeyValueStore,
        random_state: random.Random,
        clock: Clock | None = None,
        metrics: Metrics | None = None,
        retry_budget: RetryBudget | None = None,
        is_leaving: Callable[[Address], bool] = lambda address: False,
        count_routers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._client = client
        self._random_state = random_state
        self._clock = clock or SystemClock()
        self._metrics = metrics or Metrics()
        self._retry_budget = retry_budget
        self._replicas = ReplicaTable(self._clock, random_state, is_leaving)
        rate_limiter = ClaimRateLimiter(self._clock, count_routers)
        self._ledger = ClaimLedger(
            store, rate_limiter, self._clock, random_state, self._metrics
        )
        self._order_tasks: set[curio.Task] = set()

    @property
    def open_count(self) -> int:
        """Number of orders in flight and of store writes that are being retried."""
        return len(self._order_tasks) + self._ledger.pending_count

    async def forward(
        self, service: ServiceConfig, call: ServiceCall
    ) -> Result[ServiceResponse, Refusal]:
        """Send a call to the service and return its response.

        An order runs in a task of its own. It is completed, and its response stored,
        even if the calling task is cancelled, for instance because the caller
        disconnected.
        """
        if self._retry_budget is not None:
            self._retry_budget.record_request()
        if not _must_run_once(service, call):
            return await self._send_idempotent(service, call)
        task = await curio.spawn(self._run_order, service, call, daemon=True)
        self._order_tasks.add(task)
        try:
            return await task.join()
        except curio.TaskError as error:
            raise (error.__cause__ or error) from error

    async def drain(self) -> None:
        """Wait until all orders and pending writes are finished.

        Pending writes that take longer than ``_DRAIN_TIMEOUT`` are cancelled.
        """
        while self._order_tasks:
            await self._clock.sleep(_DRAIN_POLL_INTERVAL)
        await curio.ignore_after(_DRAIN_TIMEOUT.total_seconds(), self._ledger.drain())
        await self._ledger.cancel()

    async def _run_order(
        self, service: ServiceConfig, call: ServiceCall
    ) -> Result[ServiceResponse, Refusal]:
        try:
            if call.idempotency_key is None:
                return await self._send_once(service, call, _SendGuard(True))
            key = make_claim_key(call.organisation, call.idempotency_key)
            # The service's name tells apart orders with the same key, path and body
            # that are addressed to two services.
            path = f"{service.name}{call.path}"
            fingerprint = fingerprint_order(call.method, path, call.body)
            claim_result = await self._ledger.claim(key, fingerprint)
            if isinstance(claim_result, Err):
                return claim_result
            if isinstance(claim_result.ok_value, ServiceResponse):
                self._metrics.count("orders.replayed")
                return Ok(claim_result.ok_value)
            return await self._send_claimed(service, call, claim_result.ok_value)
        finally:
            self._order_tasks.discard(await curio.current_task())

    async def _send_claimed(
        self, service: ServiceConfig, call: ServiceCall, held: HeldClaim
    ) -> Result[ServiceResponse, Refusal]:
        def may_send() -> bool:
            return self._ledger.is_fresh(held, _MAX_CLAIM_CHECK_AGE)

        guard = _SendGuard(True, may_send)
        for _ in range(_MAX_CLAIM_CHECKS):
            try:
                result = await self._send_once(service, call, guard)
                break
            except _StaleClaimError:
                checked = await self._ledger.recheck(held)
                if checked is None:
                    result = Err(make_store_refusal())
                    break
                held = checked
        else:
            result = Err(make_store_refusal())
        if isinstance(result, Ok):
            await self._ledger.record_response(held, result.ok_value)
        elif result.err_value.verdict is Verdict.NOT_RUN:
            _check_verdict(result.err_value.verdict, guard)
            await self._ledger.release(held)
        return result

    async def _send_once(
        self, service: ServiceConfig, call: ServiceCall, guard: _SendGuard
    ) -> Result[ServiceResponse, Refusal]:
        """Try replicas until one accepts the connection; send the call only once."""
        refusal = _make_no_replica_refusal()
        for index, address in enumerate(self._replicas.rank(service.addresses)):
            if index and not self._try_consume_retry():
                break
            result = await self._send(service, call, address, guard)
            if isinstance(result, Ok):
                return result
            refusal = result.err_value
            if refusal.verdict is Verdict.MAY_HAVE_RUN:
                return Err(_add_repeat_warning(refusal, call))
        _check_verdict(refusal.verdict, guard)
        return Err(refusal)

    async def _send_idempotent(
        self, service: ServiceConfig, call: ServiceCall
    ) -> Result[ServiceResponse, Refusal]:
        """Try replicas until one returns a status other than 503."""
        guard = _SendGuard(False)
        worst: Result[ServiceResponse, Refusal] = Err(_make_no_replica_refusal())
        delays = jittered_delays(
            _INITIAL_RETRY_DELAY, _MAX_RETRY_DELAY, self._random_state
        )
        for index, address in enumerate(self._replicas.rank(service.addresses)):
            if index:
                if not self._try_consume_retry():
                    break
                await self._clock.sleep(next(delays))
            result = await self._send(service, call, address, guard)
            if isinstance(result, Ok) and result.ok_value.status != _STATUS_UNAVAILABLE:
                return result
            worst = _select_failure(worst, result)
        if isinstance(worst, Err):
            _check_verdict(worst.err_value.verdict, guard)
        return worst

    def _try_consume_retry(self) -> bool:
        if self._retry_budget is not None and not self._retry_budget.try_spend():
            self._metrics.count("services.retries_refused")
            return False
        self._metrics.count("services.retries")
        return True

    async def _send(
        self,
        service: ServiceConfig,
        call: ServiceCall,
        address: Address,
        guard: _SendGuard,
    ) -> Result[ServiceResponse, Refusal]:
        headers = {"content-type": call.content_type}
        if call.idempotency_key is not None:
            headers["idempotency-key"] = call.idempotency_key
        try:
            response = await self._client.request(
                address,
                call.method,
                call.path,
                timeout=service.timeout,
                body=call.body,
                headers=headers,
                # The replica may close a pooled connection while the order is being
                # sent; it would then be unknown whether the order ran.
                is_fresh=guard.is_order,
                before_send=guard.record_send,
            )
        except TransportError as error:
            self._replicas.record_failure(address)
            return Err(_make_transport_refusal(error))
        if response.status == _STATUS_UNAVAILABLE:
            self._replicas.record_failure(address)
        else:
            self._replicas.record_success(address)
        content_type = response.headers_by_name.get("content-type", "")
        return Ok(ServiceResponse(response.status, content_type, response.body))


def _must_run_once(service: ServiceConfig, call: ServiceCall) -> bool:
    return call.is_marked_non_idempotent or is_order(service, call.method, call.path)


def _make_transport_refusal(error: TransportError) -> Refusal:
    is_timeout = isinstance(error.__cause__, TimeoutError)
    reason = (
        RefusalReason.BACKEND_TIMEOUT if is_timeout else RefusalReason.BACKEND_FAILED
    )
    return Refusal(reason, error.verdict, str(error), _RETRY_AFTER_FAILURE)


def _select_failure(
    first: Result[ServiceResponse, Refusal], second: Result[ServiceResponse, Refusal]
) -> Result[ServiceResponse, Refusal]:
    """Select which of two failed attempts is reported to the caller.

    An attempt that may have run takes precedence, as it determines the verdict on the
    call. Next comes a 503 from the service, which says more than a failed connection.
    """
    for result in (first, second):
        if isinstance(result, Err) and result.err_value.verdict is Verdict.MAY_HAVE_RUN:
            return result
    return first if isinstance(first, Ok) else second


def _check_verdict(verdict: Verdict, guard: _SendGuard) -> None:
    check_invariant(
        verdict is Verdict.MAY_HAVE_RUN or guard.sends == 0,
        "not_run_means_no_byte_sent",
        sends=guard.sends,
    )


def _add_repeat_warning(refusal: Refusal, call: ServiceCall) -> Refusal:
    if call.idempotency_key is not None or refusal.verdict is Verdict.NOT_RUN:
        return refusal
    message = f"{refusal.message}; a repeat without Idempotency-Key is a new order"
    return replace(refusal, message=message)


def _make_no_replica_refusal() -> Refusal:
    return Refusal(
        RefusalReason.NO_ROUTE,
        Verdict.NOT_RUN,
        "the service has no available replica",
        _RETRY_AFTER_FAILURE,
    )
