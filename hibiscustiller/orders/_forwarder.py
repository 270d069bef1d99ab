"""Forwarding of calls to plain services; orders at most once."""

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
from hibiscustiller.orders._bucket import ClaimBucket
from hibiscustiller.orders._claims import (
    OrderOutcome,
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
_FIRST_RETRY_DELAY = timedelta(milliseconds=20)
_LONGEST_RETRY_DELAY = timedelta(milliseconds=500)
# A claim older than this is read again before the order is sent. Claims live for 24 h,
# so that only a lost lease or a restored store can take one away sooner. The check runs
# just before the first byte; a pause between the two would have to outlast the lease.
_CLAIM_CHECK_BOUND = timedelta(seconds=5)
_MAX_CLAIM_CHECKS = 2
_UNAVAILABLE = 503
# Orders in flight end by the service's timeout; outcomes are retried for longer.
_DRAIN_LIMIT = timedelta(seconds=15)
_DRAIN_POLL = timedelta(milliseconds=20)


class RetryBudget(Protocol):
    """Bounds further attempts by the number of requests."""

    def note_request(self) -> None:
        """Count a request."""
        ...

    def try_spend(self) -> bool:
        """Take one further attempt; False if the budget is used up."""
        ...


@dataclass(frozen=True)
class ServiceCall:
    """A caller's call to a plain service.

    :param path: percent-encoded path at the service, with the query.
    :param idempotency_key: names an order across repeats; None if the caller gave none.
    :param is_marked_non_idempotent: whether the caller marked it ``x-idempotent:
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
    """A claim is too old to be relied on; no byte was sent."""


@dataclass
class _SendRecord:
    """Counts the sends of one call.

    :param is_order: whether a second send breaks the guarantee.
    :param may_send: tells whether the claim may still be relied on.
    """

    is_order: bool
    may_send: Callable[[], bool] = field(default=lambda: True)
    sends: int = 0

    def note_send(self) -> None:
        """Record that the next step sends the first byte."""
        if not self.may_send():
            raise _StaleClaimError
        check_invariant(
            not (self.is_order and self.sends),
            "order_sent_at_most_once",
            sends=self.sends,
        )
        self.sends += 1


def is_order(service: ServiceConfig, method: str, path: str) -> bool:
    """Tell whether a call must run at most once.

    :param path: percent-encoded; services may decode it and drop a closing slash, so
        that these spellings count as the same path.
    """
    plain = unquote(path.partition("?")[0])
    spellings = {plain, plain.rstrip("/")}
    return any(
        fnmatch.fnmatchcase(f"{method} {spelling}", pattern)
        for pattern in service.non_idempotent
        for spelling in spellings
    )


def make_repeat_headers(service: ServiceConfig, call: ServiceCall) -> dict[str, str]:
    """Return the header that tells a caller what a repeat of an order would be."""
    is_unkeyed = call.idempotency_key is None
    return {"x-repeat": "new-order"} if is_unkeyed and _runs_once(service, call) else {}


class ServiceForwarder:
    """Sends calls to plain services.

    :param client: HTTP client.
    :param store: keeps the claims.
    :param random_state: chooses replicas and claim tokens.
    :param retry_budget: asked before each attempt after a call's first; None for no
        bound but the number of replicas.
    :param is_leaving: tells whether a replica gets no new work.
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
        bucket = ClaimBucket(self._clock, count_routers)
        self._ledger = ClaimLedger(
            store, bucket, self._clock, random_state, self._metrics
        )
        self._orders: set[curio.Task] = set()

    @property
    def open_count(self) -> int:
        """Orders in flight and store writes that are being retried."""
        return len(self._orders) + self._ledger.background_count

    async def forward(
        self, service: ServiceConfig, call: ServiceCall
    ) -> Result[OrderOutcome, Refusal]:
        """Send a call and return the service's answer.

        An order that was taken up is finished and recorded even if the calling task is
        cancelled, for instance because the caller disconnected.
        """
        if self._retry_budget is not None:
            self._retry_budget.note_request()
        if not _runs_once(service, call):
            return await self._send_idempotent(service, call)
        task = await curio.spawn(self._run_order, service, call, daemon=True)
        self._orders.add(task)
        try:
            return await task.join()
        except curio.TaskError as error:
            raise (error.__cause__ or error) from error

    async def drain(self) -> None:
        """Wait until orders and outcomes are finished; outcomes only for a while."""
        while self._orders:
            await self._clock.sleep(_DRAIN_POLL)
        await curio.ignore_after(_DRAIN_LIMIT.total_seconds(), self._ledger.drain())
        await self._ledger.cancel()

    async def _run_order(
        self, service: ServiceConfig, call: ServiceCall
    ) -> Result[OrderOutcome, Refusal]:
        try:
            if call.idempotency_key is None:
                return await self._send_once(service, call, _SendRecord(True))
            key = make_claim_key(call.organisation, call.idempotency_key)
            # One key may come with the same path and body for two services.
            path = f"{service.name}{call.path}"
            fingerprint = fingerprint_order(call.method, path, call.body)
            claimed = await self._ledger.claim(key, fingerprint)
            if isinstance(claimed, Err):
                return claimed
            if isinstance(claimed.ok_value, OrderOutcome):
                self._metrics.count("orders.replayed")
                return Ok(claimed.ok_value)
            return await self._send_claimed(service, call, claimed.ok_value)
        finally:
            self._orders.discard(await curio.current_task())

    async def _send_claimed(
        self, service: ServiceConfig, call: ServiceCall, held: HeldClaim
    ) -> Result[OrderOutcome, Refusal]:
        def may_send() -> bool:
            return self._ledger.is_fresh(held, _CLAIM_CHECK_BOUND)

        record = _SendRecord(True, may_send)
        for _ in range(_MAX_CLAIM_CHECKS):
            try:
                sent = await self._send_once(service, call, record)
                break
            except _StaleClaimError:
                checked = await self._ledger.verify(held)
                if checked is None:
                    sent = Err(make_store_refusal())
                    break
                held = checked
        else:
            sent = Err(make_store_refusal())
        if isinstance(sent, Ok):
            await self._ledger.record_outcome(held, sent.ok_value)
        elif sent.err_value.verdict is Verdict.NOT_RUN:
            _check_verdict(sent.err_value.verdict, record)
            await self._ledger.release(held)
        return sent

    async def _send_once(
        self, service: ServiceConfig, call: ServiceCall, record: _SendRecord
    ) -> Result[OrderOutcome, Refusal]:
        """Try replicas until one takes a connection; never send a second time."""
        refusal = _make_no_replica_refusal()
        for index, address in enumerate(self._replicas.rank(service.addresses)):
            if index and not self._may_retry():
                break
            sent = await self._send(service, call, address, record)
            if isinstance(sent, Ok):
                return sent
            refusal = sent.err_value
            if refusal.verdict is Verdict.MAY_HAVE_RUN:
                return Err(_explain_repeat(refusal, call))
        _check_verdict(refusal.verdict, record)
        return Err(refusal)

    async def _send_idempotent(
        self, service: ServiceConfig, call: ServiceCall
    ) -> Result[OrderOutcome, Refusal]:
        """Try replicas until one gives an answer other than 503."""
        record = _SendRecord(False)
        last: Result[OrderOutcome, Refusal] = Err(_make_no_replica_refusal())
        delays = jittered_delays(
            _FIRST_RETRY_DELAY, _LONGEST_RETRY_DELAY, self._random_state
        )
        for index, address in enumerate(self._replicas.rank(service.addresses)):
            if index:
                if not self._may_retry():
                    break
                await self._clock.sleep(next(delays))
            sent = await self._send(service, call, address, record)
            if isinstance(sent, Ok) and sent.ok_value.status != _UNAVAILABLE:
                return sent
            last = _choose_worse(last, sent)
        if isinstance(last, Err):
            _check_verdict(last.err_value.verdict, record)
        return last

    def _may_retry(self) -> bool:
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
        record: _SendRecord,
    ) -> Result[OrderOutcome, Refusal]:
        headers = {"content-type": call.content_type}
        if call.idempotency_key is not None:
            headers["idempotency-key"] = call.idempotency_key
        try:
            answer = await self._client.request(
                address,
                call.method,
                call.path,
                timeout=service.timeout,
                body=call.body,
                headers=headers,
                # A pooled connection may be closed under an order, which would leave
                # its fate unknown.
                is_fresh=record.is_order,
                before_send=record.note_send,
            )
        except TransportError as error:
            self._replicas.note_failed(address)
            return Err(_describe_failure(error))
        if answer.status == _UNAVAILABLE:
            self._replicas.note_failed(address)
        else:
            self._replicas.note_answered(address)
        content_type = answer.headers_by_name.get("content-type", "")
        return Ok(OrderOutcome(answer.status, content_type, answer.body))


def _runs_once(service: ServiceConfig, call: ServiceCall) -> bool:
    return call.is_marked_non_idempotent or is_order(service, call.method, call.path)


def _describe_failure(error: TransportError) -> Refusal:
    is_timeout = isinstance(error.__cause__, TimeoutError)
    reason = (
        RefusalReason.BACKEND_TIMEOUT if is_timeout else RefusalReason.BACKEND_FAILED
    )
    return Refusal(reason, error.verdict, str(error), _RETRY_AFTER_FAILURE)


def _choose_worse(
    first: Result[OrderOutcome, Refusal], second: Result[OrderOutcome, Refusal]
) -> Result[OrderOutcome, Refusal]:
    """Choose the answer for the caller among two failed attempts.

    An attempt that may have run decides over all others; a service's own refusal says
    more than a connection that could not be made.
    """
    for sent in (first, second):
        if isinstance(sent, Err) and sent.err_value.verdict is Verdict.MAY_HAVE_RUN:
            return sent
    return first if isinstance(first, Ok) else second


def _check_verdict(verdict: Verdict, record: _SendRecord) -> None:
    check_invariant(
        verdict is Verdict.MAY_HAVE_RUN or record.sends == 0,
        "not_run_means_no_byte_sent",
        sends=record.sends,
    )


def _explain_repeat(refusal: Refusal, call: ServiceCall) -> Refusal:
    if call.idempotency_key is not None or refusal.verdict is Verdict.NOT_RUN:
        return refusal
    message = f"{refusal.message}; a repeat without Idempotency-Key is a new order"
    return replace(refusal, message=message)


def _make_no_replica_refusal() -> Refusal:
    return Refusal(
        RefusalReason.NO_ROUTE,
        Verdict.NOT_RUN,
        "the service has no replica",
        _RETRY_AFTER_FAILURE,
    )
