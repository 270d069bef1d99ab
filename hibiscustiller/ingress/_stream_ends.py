"""Checks that the end of an attempt is the end of a stream's answer."""

from __future__ import annotations

from datetime import timedelta

from hibiscustiller.exceptions import TransportError
from hibiscustiller.ingress._context import RequestContext
from hibiscustiller.ingress._end_evidence import (
    EndEvidence,
    UnframedEnd,
    judge_unframed_end,
)
from hibiscustiller.ingress._patience import compute_stall_timeout
from hibiscustiller.ingress._pipeline_search import PipelineSearch
from hibiscustiller.ingress._stream_attempts import StreamAttempt, StreamServices
from hibiscustiller.ingress._stream_demands import count_allowed_events
from hibiscustiller.utils import ServerId, Verdict
from hibiscustiller.wire import wait_at_most


class UnconfirmedEndError(Exception):
    """Another engine has to tell whether events follow the end of an attempt."""


class StreamEnds:
    """The ends of one stream's attempts.

    :param search: engines whose ends do not count are excluded from it.
    """

    def __init__(
        self, services: StreamServices, context: RequestContext, search: PipelineSearch
    ) -> None:
        self._services = services
        self._context = context
        self._search = search
        # Entry servers that ended the stream, by the id of the last event before that.
        self._entry_ids_by_event: dict[int | None, set[ServerId]] = {}

    async def check_process(self, attempt: StreamAttempt) -> None:
        """Check that an answer without framing was not ended by its process.

        :raises TransportError: if it may have been.
        """
        assert attempt.exchange is not None
        if not attempt.exchange.is_framed and not await self._is_running(attempt):
            raise self._reject(attempt, EndEvidence.PROCESS_LOST)

    async def check(
        self,
        attempt: StreamAttempt,
        first_event: int | None,
        last_event: int | None,
        silent_for: timedelta,
    ) -> None:
        """Check that the end of an attempt's stream is the end of the answer.

        :param first_event: id of the first event that was passed on; None for no event.
        :param last_event: id of the last event that the caller has.
        :param silent_for: time that the caller has been waiting for the next event.
        :raises TransportError: if more events may follow.
        :raises UnconfirmedEndError: if another engine has to tell that.
        """
        assert attempt.exchange is not None
        is_framed = attempt.exchange.is_framed
        if is_framed and attempt.event_count:
            return
        entry_ids = self._entry_ids_by_event.setdefault(last_event, set())
        other_count = len(entry_ids - {attempt.entry.id})
        # Without framing, this engine may have broken off its answer as well.
        is_confirmed = other_count >= (1 if is_framed else 2)
        if not is_framed:
            await self._check_unframed(
                attempt, first_event, last_event, is_confirmed, silent_for
            )
        if attempt.event_count or is_confirmed:
            return
        # Either the caller has all events, or this engine is faulty.
        entry_ids.add(attempt.entry.id)
        self._search.exclude(attempt.entry.id)
        message = "the stream ended without an event"
        raise TransportError(message, Verdict.MAY_HAVE_RUN)

    async def _check_unframed(
        self,
        attempt: StreamAttempt,
        first_event: int | None,
        last_event: int | None,
        is_confirmed: bool,
        silent_for: timedelta,
    ) -> None:
        context = self._context
        events_left = self._count_events_left(first_event, last_event)
        has_all = events_left is not None and events_left <= 0
        evidence = judge_unframed_end(
            UnframedEnd(
                events_left=events_left,
                # Nothing is asked about a stream that can have no further event.
                is_running=has_all or await self._is_running(attempt),
                is_confirmed=is_confirmed,
                may_confirm=self._may_confirm(attempt),
                silent_for=silent_for if attempt.event_count else timedelta(0),
                max_silence=context.route.target_gap
                or compute_stall_timeout(context.route),
            )
        )
        self._log(
            attempt,
            evidence,
            last_event=last_event,
            events_left=events_left,
            silent_for=silent_for,
        )
        if evidence.is_end:
            return
        if evidence is not EndEvidence.UNCONFIRMED:
            raise self._reject(attempt, evidence)
        self._entry_ids_by_event[last_event].add(attempt.entry.id)
        self._search.exclude_used(attempt.entry.id)
        raise UnconfirmedEndError

    def _log(
        self, attempt: StreamAttempt, evidence: EndEvidence, **fields: object
    ) -> None:
        self._context.log_unframed_end(attempt.entry, evidence, **fields)
        self._services.metrics.count(f"unframed_ends.{evidence.value}")

    def _count_events_left(
        self, first_event: int | None, last_event: int | None
    ) -> int | None:
        """Return how many more events the request allows; None if not known.

        The ids tell how many events the caller has, if all came from here.
        """
        facts, spec = self._context.facts, self._context.service.engine
        assert spec is not None
        allowed = count_allowed_events(facts, spec)
        if allowed is None or facts.last_event is not None:
            return None
        if first_event is None or last_event is None:
            return allowed
        return allowed - (last_event - first_event + 1)

    def _may_confirm(self, attempt: StreamAttempt) -> bool:
        """Tell whether another engine can tell whether events follow.

        An attempt without an event counts for nothing by itself.
        """
        route, own_ids = self._context.route, set(attempt.server_ids)
        if not attempt.event_count or not route.is_resumable or route.max_attempts < 2:
            return False
        return any(
            engine.layers.width and engine.id not in own_ids
            for engine in self._services.list_engines()
        )

    async def _is_running(self, attempt: StreamAttempt) -> bool:
        ends = self._services.health.answer_ends
        return bool(
            await wait_at_most(
                self._context.timeout_left, ends.is_running(attempt.entry)
            )
        )

    def _reject(self, attempt: StreamAttempt, evidence: EndEvidence) -> TransportError:
        # The next attempt would meet the same silence there.
        self._search.exclude(attempt.entry.id)
        message = (
            f"the end of an answer without framing is not proven: {evidence.value}"
        )
        return TransportError(message, Verdict.MAY_HAVE_RUN)
