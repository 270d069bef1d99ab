"""Execution of a stream over one or more attempts."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Protocol

from result import Err, Ok, Result

from hibiscustiller.limits import AdmissionController, AdmissionRequest, Grant
from hibiscustiller.routing import Route, StreamObserver
from hibiscustiller.streams._attempts import AttemptOutcome, AttemptRunner
from hibiscustiller.streams._crashes import (
    CrashRegistry,
    TrackedAttempt,
    compute_stream_fingerprint,
)
from hibiscustiller.streams._kv_caches import CacheMover, ReplayEstimator
from hibiscustiller.streams._requests import (
    Deliver,
    Progress,
    StreamRequest,
    StreamSummary,
)
from hibiscustiller.utils import (
    Clock,
    Fingerprint,
    Refusal,
    RefusalReason,
    ServerId,
    SystemClock,
    Verdict,
    check_invariant,
    jittered_delays,
    log_event,
)
from hibiscustiller.wire import HttpClient

# Limit on consecutive attempts without a token. The number of failures of a stream that
# makes progress on each attempt is not limited.
_MAX_ATTEMPTS_WITHOUT_TOKEN = 5
_RETRY_AFTER_FAILURE = timedelta(seconds=2)
# Bounds of the backoff once all servers of a model have failed and none is left to
# select. The delay gives a server time to restart and keeps all of the streams from
# retrying on it at once.
_FIRST_RETRY_DELAY = timedelta(milliseconds=100)
_LAST_RETRY_DELAY = timedelta(seconds=1)


class RetryBudget(Protocol):
    """Limits retries to a fraction of the requests."""

    def record_request(self) -> None:
        """Count a request."""
        ...

    def try_spend(self) -> bool:
        """Spend budget for one retry; return False if none is left."""
        ...


@dataclass(frozen=True)
class _AdmittedAttempt:
    """An admitted attempt: its grant and its entry in the crash registry."""

    grant: Grant
    tracked_attempt: TrackedAttempt


class StreamRunner:
    """Executes streams on backend servers.

    :param client: HTTP client for the engines.
    :param admission: decides when and on which route an attempt runs.
    :param observers: receive the starts, tokens, refusals, failures and ends of
        attempts at backend servers.
    :param next_byte_timeout: an engine's connection is closed if no byte arrives for
        this long.
    :param clock: source of time.
    :param random_state: source of jitter.
    :param registry: holds suspected and quarantined requests.
    :param retry_budget: spent by each attempt that follows one without a token; None
        for no limit.
    :param replay_estimator: decides whether KV caches are moved; None to never move
        them.
    :param record_answer_delay: called with the route and the time until its first stage
        accepted the attempt.
    """

    def __init__(
        self,
        client: HttpClient,
        admission: AdmissionController,
        observers: Sequence[StreamObserver],
        next_byte_timeout: timedelta,
        clock: Clock | None = None,
        random_state: random.Random | None = None,
        registry: CrashRegistry | None = None,
        retry_budget: RetryBudget | None = None,
        replay_estimator: ReplayEstimator | None = None,
        record_answer_delay: Callable[[Route, timedelta], None] | None = None,
    ) -> None:
        self._admission = admission
        self._clock = clock or SystemClock()
        self._random_state = random_state or random.Random()
        self._registry = registry or CrashRegistry(self._clock)
        self._retry_budget = retry_budget
        self._cache_mover: CacheMover | None = None
        record_first_token = None
        if replay_estimator is not None:
            self._cache_mover = CacheMover(client, replay_estimator.should_import)
            record_first_token = replay_estimator.record_first_token
        self._attempts = AttemptRunner(
            client,
            observers,
            self._registry,
            self._clock,
            next_byte_timeout,
            record_first_token,
            record_answer_delay,
        )

    async def run(
        self, request: StreamRequest, deliver: Deliver
    ) -> Result[StreamSummary, Refusal]:
        """Run a stream until its answer is complete or it is refused.

        :param deliver: called with each token, in order.
        :returns: a summary of the complete answer, or a refusal.
        :raises TransportError: if the caller has disconnected.
        """
        if self._retry_budget is not None:
            self._retry_budget.record_request()
        fingerprint = compute_stream_fingerprint(
            request.organisation, request.model, request.prompt
        )
        progress = Progress(self._clock.monotonic() + request.deadline)
        while True:
            acquired = await self._acquire_grant(request, progress, fingerprint)
            if isinstance(acquired, Err):
                return Err(_adjust_verdict(acquired.err_value, progress))
            tokens_before = len(progress.tokens)
            outcome = await self._run_attempt(
                request, acquired.ok_value, progress, deliver
            )
            if outcome is AttemptOutcome.DONE:
                return Ok(_summarise(progress))
            has_progress = len(progress.tokens) > tokens_before
            refusal = self._check_refusal(request, progress, outcome, has_progress)
            if refusal is not None:
                return Err(refusal)

    async def _acquire_grant(
        self, request: StreamRequest, progress: Progress, fingerprint: Fingerprint
    ) -> Result[_AdmittedAttempt, Refusal]:
        """Wait until admission grants a route that the stream may use."""
        retry_delays = jittered_delays(
            _FIRST_RETRY_DELAY, _LAST_RETRY_DELAY, self._random_state
        )
        while True:
            # Reports of other routers may postpone the restart during the wait.
            while (delay := self._registry.get_start_delay(fingerprint)) > timedelta(0):
                await self._clock.sleep(delay)
            quarantine = self._registry.get_quarantine(fingerprint)
            if quarantine is not None:
                return Err(_build_quarantine_refusal(quarantine))
            avoided = progress.get_avoided_servers(self._clock.monotonic())
            admitted = await self._admit(request, progress, fingerprint, avoided)
            if isinstance(admitted, Ok):
                return admitted
            if admitted.err_value.reason is not RefusalReason.NO_ROUTE:
                return admitted
            progress.failures += 1
            if not avoided or progress.failures >= _MAX_ATTEMPTS_WITHOUT_TOKEN:
                return admitted
            progress.avoided_until.clear()
            await self._clock.sleep(next(retry_delays))

    async def _admit(
        self,
        request: StreamRequest,
        progress: Progress,
        fingerprint: Fingerprint,
        avoided: frozenset[ServerId],
    ) -> Result[_AdmittedAttempt, Refusal]:
        """Make one admission request.

        The attempt is registered at its servers as part of the grant. If it were
        registered only when this task resumes, two suspects could be granted the same
        server, and one of the grants would have to be released.
        """
        tracked_attempt: TrackedAttempt | None = None

        def on_granted(route: Route) -> None:
            nonlocal tracked_attempt
            tracked_attempt = self._registry.try_start(
                fingerprint, route.servers, len(progress.tokens)
            )

        admission_request = replace(
            _build_admission_request(request, progress, avoided),
            get_occupied_servers=lambda: self._registry.list_occupied_servers(
                fingerprint
            ),
            on_granted=on_granted,
        )
        try:
            admitted = await self._admission.admit(admission_request)
            if isinstance(admitted, Err):
                return admitted
            if tracked_attempt is None:
                await self._admission.release(admitted.ok_value, 0)
            check_invariant(
                tracked_attempt is not None,
                "suspects_run_apart",
                request=request.request_id,
                servers=admitted.ok_value.route.servers,
            )
        except BaseException:
            if tracked_attempt is not None:
                self._registry.record_end(tracked_attempt)
            raise
        return Ok(_AdmittedAttempt(admitted.ok_value, tracked_attempt))

    async def _run_attempt(
        self,
        request: StreamRequest,
        admitted_attempt: _AdmittedAttempt,
        progress: Progress,
        deliver: Deliver,
    ) -> AttemptOutcome:
        grant = admitted_attempt.grant
        tokens_before = len(progress.tokens)
        try:
            await self._move_caches(request, grant, progress)
            progress.start_attempt(grant.route)
            return await self._attempts.run(
                request,
                grant,
                progress,
                admitted_attempt.tracked_attempt,
                deliver,
                lambda: self._try_switch_route(request, grant, progress),
            )
        finally:
            self._registry.record_end(admitted_attempt.tracked_attempt)
            # Only tokens that an engine processed are charged: a refused attempt used
            # none.
            used_tokens = len(progress.tokens) - tokens_before
            if progress.latest_may_have_run:
                used_tokens += request.prompt_tokens
            await self._admission.release(grant, used_tokens)

    async def _move_caches(
        self, request: StreamRequest, grant: Grant, progress: Progress
    ) -> None:
        if self._cache_mover is None or progress.last_route is None:
            return
        await self._cache_mover.move_caches(
            request.request_id,
            progress.last_route,
            grant.route,
            progress.get_avoided_servers(self._clock.monotonic()),
            request.prompt_tokens + len(progress.tokens),
        )

    def _try_switch_route(
        self, request: StreamRequest, grant: Grant, progress: Progress
    ) -> bool:
        """Return whether to leave a route whose first token is late for another one.

        Spends the retry budget if so.
        """
        if not request.is_idempotent:
            return False
        avoided = (
            progress.get_avoided_servers(self._clock.monotonic()) | grant.route.servers
        )
        if not self._admission.has_route(
            _build_admission_request(request, progress, avoided)
        ):
            return False
        return self._retry_budget is None or self._retry_budget.try_spend()

    def _check_refusal(
        self,
        request: StreamRequest,
        progress: Progress,
        outcome: AttemptOutcome,
        has_progress: bool,
    ) -> Refusal | None:
        """Return a refusal if no further attempt is allowed, None otherwise."""
        if outcome is AttemptOutcome.EXPIRED or progress.is_expired(
            self._clock.monotonic()
        ):
            return _build_deadline_refusal(request, progress)
        if progress.may_have_run and not request.is_idempotent:
            # The caller should not repeat the request either, so the refusal has no
            # retry time.
            refusal = _build_failure_refusal(progress, "the request must not run twice")
            return replace(refusal, retry_after=None)
        if outcome is AttemptOutcome.PREEMPTED:
            return None
        if has_progress:
            progress.failures = 0
            log_event(
                "stream_recovers",
                request=request.request_id,
                attempt=progress.attempt,
                position=len(progress.tokens),
            )
            return None
        progress.failures += 1
        if progress.failures >= _MAX_ATTEMPTS_WITHOUT_TOKEN:
            return _build_failure_refusal(
                progress, f"no answer in {progress.attempt} attempts"
            )
        if outcome is AttemptOutcome.LATE:
            # The retry budget was already spent when the attempt was given up.
            return None
        if self._retry_budget is not None and not self._retry_budget.try_spend():
            return _build_failure_refusal(progress, "the retry budget is exhausted")
        return None


def _build_admission_request(
    request: StreamRequest, progress: Progress, avoided: frozenset[ServerId]
) -> AdmissionRequest:
    return AdmissionRequest(
        request_id=request.request_id,
        organisation=request.organisation,
        class_name=request.class_name,
        model=request.model,
        prompt=request.prompt,
        cost=request.cost - len(progress.tokens),
        avoided_servers=avoided,
        is_resumed=progress.may_have_run,
        deadline_at=None if progress.tokens else progress.deadline_at,
    )


def _summarise(progress: Progress) -> StreamSummary:
    return StreamSummary(
        tuple(progress.tokens), progress.finish_reason, progress.attempt
    )


def _adjust_verdict(refusal: Refusal, progress: Progress) -> Refusal:
    """Set the verdict of a refusal to MAY_HAVE_RUN if any attempt may have run."""
    if progress.may_have_run:
        return replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
    return refusal


def _build_failure_refusal(progress: Progress, message: str) -> Refusal:
    verdict = Verdict.MAY_HAVE_RUN if progress.may_have_run else Verdict.NOT_RUN
    return Refusal(RefusalReason.BACKEND_FAILED, verdict, message, _RETRY_AFTER_FAILURE)


def _build_deadline_refusal(request: StreamRequest, progress: Progress) -> Refusal:
    is_maybe_run = progress.may_have_run
    return Refusal(
        RefusalReason.BACKEND_TIMEOUT if is_maybe_run else RefusalReason.DEADLINE,
        Verdict.MAY_HAVE_RUN if is_maybe_run else Verdict.NOT_RUN,
        f"no token within the deadline of {request.deadline.total_seconds():g} s"
        f" of class {request.class_name}",
        # The caller should not repeat a non-idempotent request that may have run.
        _RETRY_AFTER_FAILURE if request.is_idempotent or not is_maybe_run else None,
    )


def _build_quarantine_refusal(left: timedelta) -> Refusal:
    return Refusal(
        RefusalReason.QUARANTINED,
        Verdict.NOT_RUN,
        "backend servers died while they ran this request; it is not run for a while",
        left,
    )
