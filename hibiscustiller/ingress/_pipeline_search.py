"""Search for the pipeline of a stream's next attempt."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace
from datetime import timedelta

import curio

from hibiscustiller.ingress._context import RequestContext
from hibiscustiller.ingress._entry_limit import EntryLimit
from hibiscustiller.ingress._stream_attempts import StreamAttempt, StreamServices
from hibiscustiller.layers import Demand, Grant
from hibiscustiller.platform import AnswerFacts
from hibiscustiller.utils import ServerId

# Load reports of the other routers lag behind. An engine that is known to be used less
# than this still has spare capacity, so that a refusal must have another cause.
_SPARE_CAPACITY_USED_SHARE = 0.5
# Events come every 250 ms or faster, and first events take up to about half a second.
# An engine that sends none for longer to any stream is silent.
_SILENCE_TIME = timedelta(milliseconds=650)
# The answer of an allocator takes less than this, so that a longer time is a wait.
_MIN_LOGGED_WAIT = timedelta(milliseconds=20)
# Rejections count for 0.5 s, of which this is a small part.
_FULL_ENGINE_POLL_PERIOD = timedelta(milliseconds=50)


class PipelineSearch:
    """The engines that one stream may be sent to next.

    Attributes: ``demand`` is what the next place is for. ``stalled_ids`` are servers of
    pipelines that were left because another attempt answered first. ``refusal_count``
    is the number of refused attempts. ``shortest_wait`` is the shortest expected wait
    for an engine that takes no request now; None if none was named in the latest
    search.
    """

    def __init__(
        self, services: StreamServices, context: RequestContext, demand: Demand
    ) -> None:
        self._services = services
        self._context = context
        self.demand = demand
        self._excluded_ids: set[ServerId] = set()
        self._entry_limit = EntryLimit(context.route.max_attempts)
        # Excluded servers that rejected the request while they were in use.
        self._full_ids: set[ServerId] = set()
        # Entry servers of second attempts that failed.
        self._failed_ids: set[ServerId] = set()
        self.stalled_ids: set[ServerId] = set()
        self.refusal_count = 0
        self.shortest_wait: timedelta | None = None

    def exclude(self, server_id: ServerId) -> None:
        """Exclude a server from further attempts of this request."""
        self._excluded_ids.add(server_id)
        self._entry_limit.discount({server_id})

    def exclude_used(self, server_id: ServerId) -> None:
        """Exclude a server that counts among those on which the request has run."""
        self._excluded_ids.add(server_id)

    def record_sent(self, entry_id: ServerId) -> None:
        """Record that the request was sent to an engine."""
        self._entry_limit.record_sent(entry_id)

    def record_yield(self) -> None:
        """Record that an attempt yielded its place, which happens once to a stream.

        The request has run on its entry, which counts against the route's limit.
        """
        self.demand = replace(self.demand, is_resumable=False)

    def record_failed_second(self, entry_id: ServerId) -> None:
        """Record that a second attempt failed; its entry gets no other one."""
        self._failed_ids.add(entry_id)

    def exclude_refusing(self, attempt: StreamAttempt, facts: AnswerFacts) -> None:
        """Exclude the server that refused an attempt as not run.

        The entry is taken to have refused if the answer names no server of the
        pipeline. The attempt does not use up the entry servers that the route allows,
        also if the entry passed it on to the server that refused.
        """
        named_servers = [
            server
            for server in attempt.pipeline.servers
            if server.address == facts.failed_server
        ]
        services, spec = self._services, self._context.service.engine
        assert spec is not None
        self.refusal_count += 1
        self._entry_limit.record_rejected(attempt.entry.id)
        refusing = named_servers or [attempt.entry]
        attempt.rejected_by = tuple(server.id for server in refusing)
        for server in refusing:
            self._excluded_ids.add(server.id)
            share = services.load.get_used_share(spec, server)
            is_full = share >= _SPARE_CAPACITY_USED_SHARE
            services.health.refusals.record_refusal(server, not is_full)
            if is_full:
                self._full_ids.add(server.id)
            self._context.log("attempt_refused", server=server.id, used_share=share)

    def exclude_unreachable(self, attempt: StreamAttempt) -> None:
        """Exclude engines of a pipeline that are known to be unreachable."""
        # A leaving engine completes the requests that it has, so it is not excluded.
        unreachable_ids = self._list_unreachable(attempt)
        self._excluded_ids |= unreachable_ids
        self._entry_limit.discount(unreachable_ids)

    def are_all_reachable(self, attempt: StreamAttempt) -> bool:
        """Tell whether no engine of a pipeline is known to be unreachable."""
        return not self._list_unreachable(attempt)

    async def find_next(self, max_wait: timedelta) -> Grant | None:
        """Acquire a place at a pipeline for the next attempt, after one has ended.

        A server that already ran the request may run it again, but the route limits the
        number of different entry servers on which it may have run.

        :param max_wait: longest wait for a free place; a full engine would reject the
            request, at the cost of another retry.
        :returns: None if the limit is reached or no pipeline is left.
        """
        if self._entry_limit.is_reached:
            return None
        services = self._services
        refusing_ids = services.health.refusals.list_refusing()
        silent_ids = services.open_attempts.list_silent(_SILENCE_TIME)
        avoided_ids = self.stalled_ids | silent_ids | refusing_ids
        ends_at = self._context.clock.monotonic() + max_wait
        for ids in (avoided_ids, refusing_ids, set()):
            grant = await self._wait_for_place(self._excluded_ids | ids, ends_at)
            if grant is not None:
                return grant
        grant = self._reserve_fallback(self._excluded_ids)
        return grant or await self._wait_for_full_engine(ends_at)

    async def find_second(
        self, first: StreamAttempt, max_wait: timedelta
    ) -> Grant | None:
        """Acquire a place for an attempt beside another one, which is silent.

        Only pipelines that probably answer are of use: the silent engine may go on at
        any time.

        :param max_wait: longest wait for a free place.
        :returns: None if there is no such pipeline, or the route allows no other.
        """
        unusable_ids = self._list_unusable_for_second(first)
        grant = None
        if self._has_pipeline(unusable_ids):
            ends_at = self._context.clock.monotonic() + max_wait
            grant = await self._wait_for_place(unusable_ids, ends_at)
        if grant is not None or self._entry_limit.is_reached:
            return grant
        return self._reserve_fallback(unusable_ids)

    def may_find_next(self) -> bool:
        """Tell whether a pipeline is known for an attempt after the current one."""
        if self._entry_limit.is_reached:
            return False
        return self._has_pipeline(self._excluded_ids)

    def may_find_second(self, first: StreamAttempt) -> bool:
        """Tell whether a pipeline is known for an attempt beside another one."""
        return self._has_pipeline(self._list_unusable_for_second(first))

    async def find_accepting(
        self, grant: Grant | None, first: StreamAttempt | None = None
    ) -> Grant | None:
        """Find a pipeline whose engines take one more request now.

        :param grant: place at a pipeline, which is released if it is not used.
        :param first: the attempt beside which another one is made; None for a single
            one.
        :returns: the place that may be used; None if no pipeline takes the request.
        """
        admission = self._services.admission
        rejecting_ids: set[ServerId] = set()
        self.shortest_wait = None
        while grant is not None:
            try:
                wait = await self._ask_engines(grant, rejecting_ids)
            except curio.CancelledError:
                await admission.release(grant)
                raise
            if wait is None:
                return grant
            self.shortest_wait = min(wait, self.shortest_wait or wait)
            await admission.release(grant)
            excluded_ids = self._excluded_ids
            if first is not None:
                excluded_ids = self._list_unusable_for_second(first)
            grant = await admission.find_replacement(
                self.demand, excluded_ids | rejecting_ids
            )
        return None

    def _list_unusable_for_second(self, first: StreamAttempt) -> set[ServerId]:
        """Return the servers that may not get an attempt beside another one."""
        services = self._services
        unusable_ids = {
            *self._excluded_ids,
            *self._failed_ids,
            *self._list_unreachable(first),
            *services.open_attempts.list_silent(_SILENCE_TIME),
            *services.health.refusals.list_refusing(),
        }
        if self._entry_limit.is_reached:
            # Only servers that have run the request may run it once more.
            unusable_ids |= {
                pipeline.entry.id
                for pipeline in services.selector.pipelines
                if pipeline.entry.id not in self._entry_limit.entry_ids
            }
        return unusable_ids

    def _list_unreachable(self, attempt: StreamAttempt) -> set[ServerId]:
        is_reachable = self._services.health.is_reachable
        return {s.id for s in attempt.pipeline.servers if not is_reachable(s)}

    def _has_pipeline(self, excluded_ids: Collection[ServerId]) -> bool:
        return any(
            not set(pipeline.server_ids) & set(excluded_ids)
            for pipeline in self._services.selector.pipelines
        )

    async def _wait_for_full_engine(self, ends_at: timedelta) -> Grant | None:
        """Acquire a place at engines that rejected the request, once they have room.

        An engine is asked again when its last rejection is old enough, so that a stream
        costs few retries.
        """
        services, clock = self._services, self._context.clock
        if not self._full_ids or not services.admission.uses_allocators:
            return None
        while clock.monotonic() < ends_at:
            retried_ids = self._full_ids - services.health.refusals.list_refusing()
            if retried_ids:
                excluded_ids = self._excluded_ids - retried_ids
                grant = await self._wait_for_place(excluded_ids, ends_at)
                if grant is not None:
                    return grant
            await clock.sleep(_FULL_ENGINE_POLL_PERIOD)
        return None

    async def _wait_for_place(
        self, excluded_ids: Collection[ServerId], ends_at: timedelta
    ) -> Grant | None:
        """Acquire a place without some servers, after a wait if all are in use."""
        services, clock = self._services, self._context.clock
        started_at = clock.monotonic()
        max_wait = max(ends_at - started_at, timedelta(0))
        grant = await services.admission.find_replacement(
            self.demand, excluded_ids, max_wait
        )
        waited = clock.monotonic() - started_at
        if grant is not None and max_wait > timedelta(0):
            services.metrics.timing("wait_for_replacement", waited)
        if waited >= _MIN_LOGGED_WAIT:
            self._context.log(
                "replacement_waited",
                waited=waited,
                max_wait=max_wait,
                entry=None if grant is None else grant.pipeline.entry.id,
                excluded=len(excluded_ids),
            )
        return grant

    def _reserve_fallback(self, excluded_ids: Collection[ServerId]) -> Grant | None:
        """Reserve a place at a pipeline that is not among the current ones.

        Every current pipeline has an excluded stage, but the remaining engines may form
        another one.
        """
        services = self._services
        fallback = services.find_fallback_pipeline(excluded_ids)
        if fallback is None:
            return None
        return services.admission.reserve(fallback, self.demand)

    async def _ask_engines(
        self, grant: Grant, rejecting_ids: set[ServerId]
    ) -> timedelta | None:
        """Ask for permission to send the request to each engine of a pipeline.

        :param rejecting_ids: the engine that does not take it is added.
        :returns: None if all take it, or else the expected wait for the one that does
            not.
        """
        for server in grant.pipeline.servers:
            wait = await self._services.rate_limits.acquire(
                server, self._context.priority
            )
            if wait is not None:
                rejecting_ids.add(server.id)
                return wait
        return None
