"""Forwarding of calls to plain services; orders at most once."""

from __future__ import annotations

import fnmatch
import random
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

from result import Err, Ok, Result

from hibiscustiller.configuration import ServiceConfig
from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.orders._claims import (
    Claim,
    ClaimState,
    OrderOutcome,
    decode_claim,
    encode_claim,
    fingerprint_order,
    make_claim_key,
)
from hibiscustiller.platform import KeyValueStore
from hibiscustiller.utils import (
    OrganisationId,
    Refusal,
    RefusalReason,
    Verdict,
    log_event,
)
from hibiscustiller.wire import HttpClient

_RETRY_AFTER_STORE = timedelta(seconds=2)
_RETRY_AFTER_IN_PROGRESS = timedelta(seconds=1)


@dataclass(frozen=True)
class ServiceCall:
    """A caller's call to a plain service.

    :param path: path at the service, with the query.
    :param idempotency_key: names an order across repeats; None if the caller gave none.
    """

    organisation: OrganisationId
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str | None


@dataclass(frozen=True)
class _HeldClaim:
    key: str
    claim: Claim
    revision: int


def is_order(service: ServiceConfig, method: str, path: str) -> bool:
    """Tell whether a call must run at most once."""
    call = f"{method} {path.partition('?')[0]}"
    return any(fnmatch.fnmatchcase(call, pattern) for pattern in service.non_idempotent)


class ServiceForwarder:
    """Sends calls to plain services.

    :param client: HTTP client.
    :param store: keeps the claims.
    :param random_state: chooses replicas and claim tokens.
    """

    def __init__(
        self, client: HttpClient, store: KeyValueStore, random_state: random.Random
    ) -> None:
        self._client = client
        self._store = store
        self._random_state = random_state

    async def forward(
        self, service: ServiceConfig, call: ServiceCall
    ) -> Result[OrderOutcome, Refusal]:
        """Send a call and return the service's answer."""
        if not is_order(service, call.method, call.path):
            return await self._send_idempotent(service, call)
        if call.idempotency_key is None:
            return await self._send_once(service, call)
        claimed = await self._claim(call)
        if isinstance(claimed, Err):
            return claimed
        if isinstance(claimed.ok_value, OrderOutcome):
            return Ok(claimed.ok_value)
        return await self._send_claimed(service, call, claimed.ok_value)

    async def _claim(
        self, call: ServiceCall
    ) -> Result[_HeldClaim | OrderOutcome, Refusal]:
        key = make_claim_key(call.organisation, call.idempotency_key or "")
        token = str(uuid.UUID(int=self._random_state.getrandbits(128)))
        fingerprint = fingerprint_order(call.method, call.path, call.body)
        claim = Claim(token, fingerprint, ClaimState.CLAIMED)
        try:
            swap = await self._store.compare_and_swap(key, encode_claim(claim), 0)
            current = swap.current
        except StoreUnavailableError as error:
            if error.verdict is Verdict.NOT_RUN:
                return Err(_make_store_refusal())
            try:
                current = await self._store.get(key)
            except StoreUnavailableError:
                return Err(_make_store_refusal())
            if current is None:
                return Err(_make_store_refusal())
        else:
            if swap.is_swapped:
                return Ok(_HeldClaim(key, claim, swap.revision))
        if current is None:
            return Err(_make_store_refusal())
        found = decode_claim(current.value)
        if found.token == token:
            return Ok(_HeldClaim(key, claim, current.revision))
        return _judge_found_claim(found, fingerprint)

    async def _send_claimed(
        self, service: ServiceConfig, call: ServiceCall, held: _HeldClaim
    ) -> Result[OrderOutcome, Refusal]:
        sent = await self._send_once(service, call)
        if isinstance(sent, Err):
            if sent.err_value.verdict is Verdict.NOT_RUN:
                await self._release(held)
            return sent
        done = replace(held.claim, state=ClaimState.DONE, outcome=sent.ok_value)
        try:
            await self._store.compare_and_swap(
                held.key, encode_claim(done), held.revision
            )
        except StoreUnavailableError as error:
            log_event("outcome_not_kept", level="warning", key=held.key, error=error)
        return sent

    async def _release(self, held: _HeldClaim) -> None:
        try:
            await self._store.delete(held.key, held.revision)
        except StoreUnavailableError as error:
            log_event("claim_not_released", level="warning", key=held.key, error=error)

    async def _send_idempotent(
        self, service: ServiceConfig, call: ServiceCall
    ) -> Result[OrderOutcome, Refusal]:
        addresses = list(service.addresses)
        self._random_state.shuffle(addresses)
        refusal = None
        for address in addresses:
            sent = await self._send(service, call, address, is_fresh=False)
            if isinstance(sent, Ok):
                return sent
            refusal = sent.err_value
        return Err(refusal or _make_no_replica_refusal())

    async def _send_once(
        self, service: ServiceConfig, call: ServiceCall
    ) -> Result[OrderOutcome, Refusal]:
        """Try replicas until one takes a connection; never send a second time."""
        addresses = list(service.addresses)
        self._random_state.shuffle(addresses)
        refusal = _make_no_replica_refusal()
        for address in addresses:
            sent = await self._send(service, call, address, is_fresh=True)
            if isinstance(sent, Ok):
                return sent
            refusal = sent.err_value
            if refusal.verdict is Verdict.MAY_HAVE_RUN:
                return sent
        return Err(refusal)

    async def _send(
        self, service: ServiceConfig, call: ServiceCall, address, is_fresh: bool
    ) -> Result[OrderOutcome, Refusal]:
        headers: Mapping[str, str] = {"content-type": call.content_type}
        if call.idempotency_key is not None:
            headers = {**headers, "idempotency-key": call.idempotency_key}
        try:
            answer = await self._client.request(
                address,
                call.method,
                call.path,
                timeout=service.timeout,
                body=call.body,
                headers=headers,
                is_fresh=is_fresh,
            )
        except TransportError as error:
            return Err(Refusal(RefusalReason.BACKEND_FAILED, error.verdict, str(error)))
        content_type = answer.headers_by_name.get("content-type", "")
        return Ok(OrderOutcome(answer.status, content_type, answer.body))


def _judge_found_claim(
    found: Claim, fingerprint: str
) -> Result[_HeldClaim | OrderOutcome, Refusal]:
    if found.fingerprint != fingerprint:
        return Err(
            Refusal(
                RefusalReason.KEY_REUSED,
                Verdict.NOT_RUN,
                "the idempotency key belongs to a different order",
            )
        )
    if found.outcome is not None:
        return Ok(found.outcome)
    return Err(
        Refusal(
            RefusalReason.ORDER_IN_PROGRESS,
            Verdict.MAY_HAVE_RUN,
            "the order was taken up before and its outcome is not known",
            _RETRY_AFTER_IN_PROGRESS,
        )
    )


def _make_store_refusal() -> Refusal:
    return Refusal(
        RefusalReason.STORE_UNAVAILABLE,
        Verdict.NOT_RUN,
        "orders cannot be recorded at present",
        _RETRY_AFTER_STORE,
    )


def _make_no_replica_refusal() -> Refusal:
    return Refusal(
        RefusalReason.NO_ROUTE, Verdict.NOT_RUN, "the service has no replica"
    )
