"""The claims in the platform's store, with every failure of the store resolved.

Each write names the revision that it replaces, and a claim's key is never deleted by
a router. A write that arrives late therefore cannot undo a later one.
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
from hibiscustiller.orders._bucket import ClaimBucket
from hibiscustiller.orders._claims import (
    Claim,
    ClaimState,
    OrderOutcome,
    decode_claim,
    encode_claim,
    encode_done_claim,
)
from hibiscustiller.orders._lease import ClaimLease, HourlyLease, Moment
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
# A key that changes hands this often is contended; the caller comes back later.
_MAX_CLAIM_WRITES = 3
_FIRST_BACKGROUND_DELAY = timedelta(milliseconds=50)
_LONGEST_BACKGROUND_DELAY = timedelta(seconds=10)
# After this long a lost outcome stays "may have run" for the claim's retention.
_BACKGROUND_LIFETIME = timedelta(minutes=10)
# Bounds the memory held by outcomes of up to about 1 MB during an outage.
_MAX_BACKGROUND_BYTES = 16 << 20
_MAX_BACKGROUND_WRITES = 1000


@dataclass(frozen=True)
class HeldClaim:
    """A claim that this router owns.

    :param revision: store revision of the claim's write.
    :param checked_at: moment before the store was last seen to hold the claim.
    """

    key: str
    claim: Claim
    revision: int
    lease: ClaimLease
    checked_at: Moment


@dataclass
class _Attempt:
    """A claim being written.

    :param expected: the revision that the write replaces.
    :param size: bytes of the outcome that it holds.
    """

    key: str
    claim: Claim
    expected: int
    lease: ClaimLease
    started_at: Moment
    size: int = 0


class ClaimLedger:
    """Writes claims and outcomes.

    :param store: keeps the claims.
    :param bucket: limits the writes of claims.
    :param random_state: source of claim tokens and of jitter.
    """

    def __init__(
        self,
        store: KeyValueStore,
        bucket: ClaimBucket,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._bucket = bucket
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._lease = HourlyLease(store, clock)
        self._background: set[curio.Task] = set()
        self._background_bytes = 0

    @property
    def background_count(self) -> int:
        """Writes that are being retried."""
        return len(self._background)

    async def claim(
        self, key: str, fingerprint: str
    ) -> Result[HeldClaim | OrderOutcome, Refusal]:
        """Claim an order before its first byte is sent.

        :returns: the claim, or the stored outcome of an earlier send.
        """
        wait = self._bucket.try_take()
        if wait is not None:
            self._metrics.count("orders.claims_limited")
            return Err(_make_limit_refusal(wait))
        started_at = Moment.read(self._clock)
        try:
            lease = await self._lease.get()
        except StoreUnavailableError:
            return Err(make_store_refusal())
        token = str(uuid.UUID(int=self._random_state.getrandbits(128)))
        claim = Claim(token, fingerprint, ClaimState.CLAIMED)
        return await self._write_claim(_Attempt(key, claim, 0, lease, started_at))

    async def verify(self, held: HeldClaim) -> HeldClaim | None:
        """Read a claim again; None unless it is known to be held still."""
        checked_at = Moment.read(self._clock)
        try:
            entry = await self._store.get(held.key)
        except StoreUnavailableError:
            return None
        if entry is None or entry.revision != held.revision:
            log_event("claim_lost", level="warning", key=held.key)
            return None
        return replace(held, checked_at=checked_at)

    def is_fresh(self, held: HeldClaim, bound: timedelta) -> bool:
        """Tell whether a claim may be relied on without reading it again."""
        is_checked = held.checked_at.measure_age(self._clock) <= bound
        return is_checked and held.lease.is_young(self._clock)

    async def release(self, held: HeldClaim) -> None:
        """Give up a claim of which no byte was sent."""
        attempt = _Attempt(
            held.key, held.claim, held.revision, held.lease, held.checked_at
        )
        await self._finish(self._try_withdraw, attempt, "claim_not_released")

    async def record_outcome(self, held: HeldClaim, outcome: OrderOutcome) -> None:
        """Keep the answer for repeats, in the background if the store fails."""
        data = encode_done_claim(held.claim, outcome)

        async def try_write(attempt: _Attempt) -> bool:
            return await self._try_record(attempt, data)

        attempt = _Attempt(
            held.key,
            held.claim,
            held.revision,
            held.lease,
            held.checked_at,
            len(data),
        )
        await self._finish(try_write, attempt, "outcome_not_kept")

    async def drain(self) -> None:
        """Wait until no write is being retried."""
        while self._background:
            await curio.sleep(_FIRST_BACKGROUND_DELAY.total_seconds())

    async def cancel(self) -> None:
        """Give up all background writes."""
        for task in list(self._background):
            await task.cancel()

    async def _write_claim(
        self, attempt: _Attempt
    ) -> Result[HeldClaim | OrderOutcome, Refusal]:
        is_unknown = False
        for _ in range(_MAX_CLAIM_WRITES):
            try:
                current = await self._swap_claim(attempt)
            except LeaseExpiredError:
                self._lease.forget(attempt.lease)
                if not await self._renew_lease(attempt):
                    break
                continue
            except StoreUnavailableError as error:
                if error.verdict is Verdict.NOT_RUN:
                    break
                is_unknown = True
                try:
                    current = await self._store.get(attempt.key)
                except StoreUnavailableError:
                    break
            revision = 0 if current is None else current.revision
            if revision == attempt.expected:
                # The write has not arrived. Writing it again with the same token and
                # the same expectation is safe: only one of the copies can succeed.
                continue
            judged = self._judge(current, attempt)
            if judged is not None:
                return judged
        if is_unknown:
            # The write may still arrive. It will never be sent, so not-run is right;
            # withdrawing it keeps it from blocking the caller's repeat.
            await self._start_background(
                self._try_withdraw, attempt, "claim_not_withdrawn"
            )
        return Err(make_store_refusal())

    async def _swap_claim(self, attempt: _Attempt) -> Entry | None:
        """Write the claim; return the entry that the key then has."""
        data = encode_claim(attempt.claim)
        swap = await self._store.compare_and_swap(
            attempt.key, data, attempt.expected, attempt.lease.id
        )
        if swap.is_swapped:
            return Entry(attempt.key, data, swap.revision)
        return swap.current

    async def _renew_lease(self, attempt: _Attempt) -> bool:
        try:
            attempt.lease = await self._lease.get()
        except StoreUnavailableError:
            return False
        return True

    def _judge(
        self, current: Entry | None, attempt: _Attempt
    ) -> Result[HeldClaim | OrderOutcome, Refusal] | None:
        """Judge what the key holds; None if the claim must be written again."""
        if current is None:
            attempt.expected = 0
            return None
        try:
            found = decode_claim(current.value)
        except WireFormatError as error:
            log_event("claim_unreadable", level="error", key=attempt.key, error=error)
            return Err(_make_unreadable_refusal())
        if found.token == attempt.claim.token and found.state is ClaimState.CLAIMED:
            return Ok(
                HeldClaim(
                    attempt.key,
                    attempt.claim,
                    current.revision,
                    attempt.lease,
                    attempt.started_at,
                )
            )
        if found.state is ClaimState.RELEASED:
            attempt.expected = current.revision
            return None
        return _judge_found_claim(found, attempt.claim.fingerprint)

    async def _finish(
        self,
        write: Callable[[_Attempt], Coroutine[Any, Any, bool]],
        attempt: _Attempt,
        event: str,
    ) -> None:
        """Try a write once now, then in the background."""
        if not await self._try_once(write, attempt):
            await self._start_background(write, attempt, event)

    async def _try_once(
        self, write: Callable[[_Attempt], Coroutine[Any, Any, bool]], attempt: _Attempt
    ) -> bool:
        try:
            return await write(attempt)
        except LeaseExpiredError:
            self._lease.forget(attempt.lease)
            await self._renew_lease(attempt)
            return False
        except StoreUnavailableError:
            return False

    async def _start_background(
        self,
        write: Callable[[_Attempt], Coroutine[Any, Any, bool]],
        attempt: _Attempt,
        event: str,
    ) -> None:
        is_full = len(self._background) >= _MAX_BACKGROUND_WRITES
        if is_full or self._background_bytes + attempt.size > _MAX_BACKGROUND_BYTES:
            log_event(event, level="error", key=attempt.key, cause="too many waiting")
            self._metrics.count(f"orders.{event}")
            return
        self._background_bytes += attempt.size
        task = await curio.spawn(self._write_later, write, attempt, event, daemon=True)
        self._background.add(task)

    async def _write_later(
        self,
        write: Callable[[_Attempt], Coroutine[Any, Any, bool]],
        attempt: _Attempt,
        event: str,
    ) -> None:
        started_at = Moment.read(self._clock)
        delays = jittered_delays(
            _FIRST_BACKGROUND_DELAY, _LONGEST_BACKGROUND_DELAY, self._random_state
        )
        try:
            while started_at.measure_age(self._clock) < _BACKGROUND_LIFETIME:
                await self._clock.sleep(next(delays))
                if await self._try_once(write, attempt):
                    return
            log_event(event, level="error", key=attempt.key, cause="gave up")
            self._metrics.count(f"orders.{event}")
        finally:
            self._background_bytes -= attempt.size
            self._background.discard(await curio.current_task())

    async def _try_withdraw(self, attempt: _Attempt) -> bool:
        """Mark a claim that was never sent as released."""
        released = replace(attempt.claim, state=ClaimState.RELEASED)
        data = encode_claim(released)
        swap = await self._store.compare_and_swap(
            attempt.key, data, attempt.expected, attempt.lease.id
        )
        if swap.is_swapped or swap.current is None:
            return True
        if not _is_own(swap.current, attempt.claim, ClaimState.CLAIMED):
            return True
        # The late write has arrived after all.
        attempt.expected = swap.current.revision
        return False

    async def _try_record(self, attempt: _Attempt, data: bytes) -> bool:
        """Write the outcome over the claim."""
        swap = await self._store.compare_and_swap(
            attempt.key, data, attempt.expected, attempt.lease.id
        )
        if swap.is_swapped:
            return True
        if swap.current is None:
            # The store lost the claim; without the outcome a repeat would be sent.
            log_event("claim_lost", level="error", key=attempt.key)
            attempt.expected = 0
            return False
        if _is_own(swap.current, attempt.claim, ClaimState.CLAIMED):
            attempt.expected = swap.current.revision
            return False
        if not _is_own(swap.current, attempt.claim, ClaimState.DONE):
            log_event("claim_taken_over", level="error", key=attempt.key)
            self._metrics.count("orders.claim_taken_over")
        return True


def _is_own(entry: Entry, claim: Claim, state: ClaimState) -> bool:
    try:
        found = decode_claim(entry.value)
    except WireFormatError:
        return False
    return found.token == claim.token and found.state is state


def _judge_found_claim(
    found: Claim, fingerprint: str
) -> Result[HeldClaim | OrderOutcome, Refusal]:
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


def make_store_refusal() -> Refusal:
    """Return the refusal of an order whose claim cannot be written or verified."""
    return Refusal(
        RefusalReason.STORE_UNAVAILABLE,
        Verdict.NOT_RUN,
        "orders cannot be recorded at present",
        _RETRY_AFTER_STORE,
    )


def _make_limit_refusal(wait: timedelta) -> Refusal:
    return Refusal(
        RefusalReason.OVERLOADED,
        Verdict.NOT_RUN,
        "more orders arrive than can be recorded",
        wait,
    )


def _make_unreadable_refusal() -> Refusal:
    return Refusal(
        RefusalReason.CONFLICT,
        Verdict.MAY_HAVE_RUN,
        "the order's record cannot be read, so the order is not sent",
    )
