"""Reads and writes of claims in the key-value store, with handling of store failures.

Each write is a compare-and-swap on the revision that it replaces, and no router deletes
the key of a claim. A delayed write therefore cannot overwrite a later one.
"""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import curio
from result import Err, Ok, Result

from hibiscustiller.exceptions import StoreUnavailableError, WireFormatError
from hibiscustiller.orders._bucket import ClaimRateLimiter
from hibiscustiller.orders._claims import (
    Claim,
    ClaimState,
    ServiceResponse,
    decode_claim,
    encode_claim,
    encode_done_claim,
)
from hibiscustiller.orders._lease import ClaimLease, ClaimLeaseProvider, ClockReading
from hibiscustiller.platform import Entry, KeyValueStore, LeaseExpiredError
from hibiscustiller.utils import (
    Clock,
    Metrics,
    Refusal,
    RefusalReason,
    Verdict,
    jittered_delays,
    log_event,
)

_RETRY_AFTER_STORE = timedelta(seconds=2)
_RETRY_AFTER_IN_PROGRESS = timedelta(seconds=1)
# After this many writes the key is considered contended and the order is refused; the
# caller may send it again later.
_MAX_CLAIM_WRITES = 3
_INITIAL_RETRY_DELAY = timedelta(milliseconds=50)
_MAX_RETRY_DELAY = timedelta(seconds=10)
# After this time a pending write is abandoned. If it holds a response, repeats of the
# order are refused as may-have-run until the claim expires.
_MAX_RETRY_TIME = timedelta(minutes=10)
# Bounds the memory used for responses, each up to about 1 MB, while the store is down.
_MAX_PENDING_BYTES = 16 << 20
_MAX_PENDING_WRITES = 1000


@dataclass(frozen=True)
class HeldClaim:
    """A claim that this router has written to the store.

    :param key: store key of the claim.
    :param claim: the claim as written.
    :param revision: store revision at which the claim was written.
    :param lease: lease under which the claim is stored.
    :param checked_at: clock reading taken before the last request which showed that the
        store holds the claim.
    """

    key: str
    claim: Claim
    revision: int
    lease: ClaimLease
    checked_at: ClockReading


@dataclass
class _PendingWrite:
    """A write of a claim that has not been confirmed by the store.

    :param expected_revision: revision that the write replaces; 0 if the key must be
        absent.
    :param started_at: clock reading taken before the claim was first written or last
        checked.
    :param size: size of the encoded response in bytes; 0 without a response.
    """

    key: str
    claim: Claim
    expected_revision: int
    lease: ClaimLease
    started_at: ClockReading
    size: int = 0


class ClaimLedger:
    """Stores claims and the responses to claimed orders.

    :param store: key-value store shared by all routers.
    :param rate_limiter: limits the rate of new claims.
    :param random_state: source of claim tokens and of jitter.
    """

    def __init__(
        self,
        store: KeyValueStore,
        rate_limiter: ClaimRateLimiter,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._rate_limiter = rate_limiter
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._lease = ClaimLeaseProvider(store, clock)
        self._pending_tasks: set[curio.Task] = set()
        self._pending_bytes = 0

    @property
    def pending_count(self) -> int:
        """Number of writes that are being retried in the background."""
        return len(self._pending_tasks)

    async def claim(
        self, key: str, fingerprint: str
    ) -> Result[HeldClaim | ServiceResponse, Refusal]:
        """Claim an order; to be called before its first byte is sent.

        :returns: the claim, or the stored response if the order was sent before.
        """
        wait = self._rate_limiter.try_acquire()
        if wait is not None:
            self._metrics.count("orders.claims_limited")
            return Err(_make_limit_refusal(wait))
        started_at = ClockReading.read(self._clock)
        try:
            lease = await self._lease.get()
        except StoreUnavailableError:
            return Err(make_store_refusal())
        token = str(uuid.UUID(int=self._random_state.getrandbits(128)))
        claim = Claim(token, fingerprint, ClaimState.CLAIMED)
        return await self._write_claim(_PendingWrite(key, claim, 0, lease, started_at))

    async def recheck(self, held: HeldClaim) -> HeldClaim | None:
        """Check in the store that a claim is still held.

        :returns: the claim with a new check time; None if the claim is no longer held
            or the store could not be read.
        """
        checked_at = ClockReading.read(self._clock)
        try:
            entry = await self._store.get(held.key)
        except StoreUnavailableError:
            return None
        if entry is None or entry.revision != held.revision:
            log_event("claim_lost", level="warning", key=held.key)
            return None
        return replace(held, checked_at=checked_at)

    def is_fresh(self, held: HeldClaim, max_age: timedelta) -> bool:
        """Tell whether a claim needs no check in the store before its order is sent.

        :param max_age: longest time since the last check.
        """
        is_recently_checked = held.checked_at.measure_age(self._clock) <= max_age
        return is_recently_checked and held.lease.is_recent(self._clock)

    async def release(self, held: HeldClaim) -> None:
        """Release the claim of an order of which no byte was sent."""
        pending = _PendingWrite(
            held.key, held.claim, held.revision, held.lease, held.checked_at
        )
        await self._write_or_schedule(self._try_release, pending, "claim_not_released")

    async def record_response(self, held: HeldClaim, response: ServiceResponse) -> None:
        """Store the response for repeats; retry in the background if that fails."""
        data = encode_done_claim(held.claim, response)

        async def write_response(pending: _PendingWrite) -> bool:
            return await self._try_record_response(pending, data)

        pending = _PendingWrite(
            held.key,
            held.claim,
            held.revision,
            held.lease,
            held.checked_at,
            len(data),
        )
        await self._write_or_schedule(write_response, pending, "outcome_not_kept")

    async def drain(self) -> None:
        """Wait until all background writes are finished."""
        while self._pending_tasks:
            await curio.sleep(_INITIAL_RETRY_DELAY.total_seconds())

    async def cancel(self) -> None:
        """Cancel all background writes."""
        for task in list(self._pending_tasks):
            await task.cancel()

    async def _write_claim(
        self, pending: _PendingWrite
    ) -> Result[HeldClaim | ServiceResponse, Refusal]:
        is_write_uncertain = False
        for _ in range(_MAX_CLAIM_WRITES):
            try:
                current = await self._swap_claim(pending)
            except LeaseExpiredError:
                self._lease.invalidate(pending.lease)
                if not await self._renew_lease(pending):
                    break
                continue
            except StoreUnavailableError as error:
                if error.verdict is Verdict.NOT_RUN:
                    break
                is_write_uncertain = True
                try:
                    current = await self._store.get(pending.key)
                except StoreUnavailableError:
                    break
            revision = 0 if current is None else current.revision
            if revision == pending.expected_revision:
                # The write has not been applied. Repeating it with the same token and
                # the same expected revision is safe: only one of the copies can
                # succeed.
                continue
            decision = self._evaluate_entry(current, pending)
            if decision is not None:
                return decision
        if is_write_uncertain:
            # The write may still be applied. This router will not send the order, so
            # the verdict not-run is correct. The claim is released, or else it would
            # block the caller's repeat.
            await self._schedule_retries(
                self._try_release, pending, "claim_not_withdrawn"
            )
        return Err(make_store_refusal())

    async def _swap_claim(self, pending: _PendingWrite) -> Entry | None:
        """Write the claim and return the entry that the key has afterwards."""
        data = encode_claim(pending.claim)
        swap = await self._store.compare_and_swap(
            pending.key, data, pending.expected_revision, pending.lease.id
        )
        if swap.is_swapped:
            return Entry(pending.key, data, swap.revision)
        return swap.current

    async def _renew_lease(self, pending: _PendingWrite) -> bool:
        try:
            pending.lease = await self._lease.get()
        except StoreUnavailableError:
            return False
        return True

    def _evaluate_entry(
        self, current: Entry | None, pending: _PendingWrite
    ) -> Result[HeldClaim | ServiceResponse, Refusal] | None:
        """Decide on a claim from the entry that the store has under its key.

        :returns: None if the claim must be written again.
        """
        if current is None:
            pending.expected_revision = 0
            return None
        try:
            stored = decode_claim(current.value)
        except WireFormatError as error:
            log_event("claim_unreadable", level="error", key=pending.key, error=error)
            return Err(_make_unreadable_refusal())
        if stored.token == pending.claim.token and stored.state is ClaimState.CLAIMED:
            return Ok(
                HeldClaim(
                    pending.key,
                    pending.claim,
                    current.revision,
                    pending.lease,
                    pending.started_at,
                )
            )
        if stored.state is ClaimState.RELEASED:
            pending.expected_revision = current.revision
            return None
        return _evaluate_foreign_claim(stored, pending.claim.fingerprint)

    async def _write_or_schedule(
        self,
        write: Callable[[_PendingWrite], Coroutine[Any, Any, bool]],
        pending: _PendingWrite,
        event: str,
    ) -> None:
        """Try a write once and, if it fails, retry it in the background."""
        if not await self._try_write(write, pending):
            await self._schedule_retries(write, pending, event)

    async def _try_write(
        self,
        write: Callable[[_PendingWrite], Coroutine[Any, Any, bool]],
        pending: _PendingWrite,
    ) -> bool:
        try:
            return await write(pending)
        except LeaseExpiredError:
            self._lease.invalidate(pending.lease)
            await self._renew_lease(pending)
            return False
        except StoreUnavailableError:
            return False

    async def _schedule_retries(
        self,
        write: Callable[[_PendingWrite], Coroutine[Any, Any, bool]],
        pending: _PendingWrite,
        event: str,
    ) -> None:
        is_full = len(self._pending_tasks) >= _MAX_PENDING_WRITES
        if is_full or self._pending_bytes + pending.size > _MAX_PENDING_BYTES:
            log_event(
                event, level="error", key=pending.key, cause="too many pending writes"
            )
            self._metrics.count(f"orders.{event}")
            return
        self._pending_bytes += pending.size
        task = await curio.spawn(self._retry_write, write, pending, event, daemon=True)
        self._pending_tasks.add(task)

    async def _retry_write(
        self,
        write: Callable[[_PendingWrite], Coroutine[Any, Any, bool]],
        pending: _PendingWrite,
        event: str,
    ) -> None:
        started_at = ClockReading.read(self._clock)
        delays = jittered_delays(
            _INITIAL_RETRY_DELAY, _MAX_RETRY_DELAY, self._random_state
        )
        try:
            while started_at.measure_age(self._clock) < _MAX_RETRY_TIME:
                await self._clock.sleep(next(delays))
                if await self._try_write(write, pending):
                    return
            log_event(
                event, level="error", key=pending.key, cause="retry time exceeded"
            )
            self._metrics.count(f"orders.{event}")
        finally:
            self._pending_bytes -= pending.size
            self._pending_tasks.discard(await curio.current_task())

    async def _try_release(self, pending: _PendingWrite) -> bool:
        """Mark the claim of an order that was not sent as released.

        :returns: whether the write needs no further attempt.
        """
        released = replace(pending.claim, state=ClaimState.RELEASED)
        data = encode_claim(released)
        swap = await self._store.compare_and_swap(
            pending.key, data, pending.expected_revision, pending.lease.id
        )
        if swap.is_swapped or swap.current is None:
            return True
        if not _matches_claim(swap.current, pending.claim, ClaimState.CLAIMED):
            return True
        # The delayed write of the claim was applied; release it at its new revision.
        pending.expected_revision = swap.current.revision
        return False

    async def _try_record_response(self, pending: _PendingWrite, data: bytes) -> bool:
        """Replace the claim by one with the response.

        :returns: whether the write needs no further attempt.
        """
        swap = await self._store.compare_and_swap(
            pending.key, data, pending.expected_revision, pending.lease.id
        )
        if swap.is_swapped:
            return True
        if swap.current is None:
            # The store has lost the claim. Unless the response is stored under a new
            # entry, a repeat would be sent.
            log_event("claim_lost", level="error", key=pending.key)
            pending.expected_revision = 0
            return False
        if _matches_claim(swap.current, pending.claim, ClaimState.CLAIMED):
            pending.expected_revision = swap.current.revision
            return False
        if not _matches_claim(swap.current, pending.claim, ClaimState.DONE):
            log_event("claim_taken_over", level="error", key=pending.key)
            self._metrics.count("orders.claim_taken_over")
        return True


def _matches_claim(entry: Entry, claim: Claim, state: ClaimState) -> bool:
    try:
        stored = decode_claim(entry.value)
    except WireFormatError:
        return False
    return stored.token == claim.token and stored.state is state


def _evaluate_foreign_claim(
    stored: Claim, fingerprint: str
) -> Result[HeldClaim | ServiceResponse, Refusal]:
    if stored.fingerprint != fingerprint:
        return Err(
            Refusal(
                RefusalReason.KEY_REUSED,
                Verdict.NOT_RUN,
                "the idempotency key belongs to a different order",
            )
        )
    if stored.response is not None:
        return Ok(stored.response)
    return Err(
        Refusal(
            RefusalReason.ORDER_IN_PROGRESS,
            Verdict.MAY_HAVE_RUN,
            "the order was accepted before and its outcome is not known",
            _RETRY_AFTER_IN_PROGRESS,
        )
    )


def make_store_refusal() -> Refusal:
    """Return the refusal for an order whose claim cannot be written or checked."""
    return Refusal(
        RefusalReason.STORE_UNAVAILABLE,
        Verdict.NOT_RUN,
        "the order cannot be claimed in the store at present",
        _RETRY_AFTER_STORE,
    )


def _make_limit_refusal(wait: timedelta) -> Refusal:
    return Refusal(
        RefusalReason.OVERLOADED,
        Verdict.NOT_RUN,
        "the rate limit for new orders is exceeded",
        wait,
    )


def _make_unreadable_refusal() -> Refusal:
    return Refusal(
        RefusalReason.CONFLICT,
        Verdict.MAY_HAVE_RUN,
        "the claim stored for the order is invalid, so the order is not sent",
    )
