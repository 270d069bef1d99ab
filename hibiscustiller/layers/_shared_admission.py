"""Admission to a service's pipelines, whichever router allocates their places."""

from __future__ import annotations

import random
from collections.abc import Collection
from datetime import timedelta

from result import Err, Ok, Result

from hibiscustiller.layers._admission import (
    UNKNOWN_OUTCOME,
    Admission,
    Demand,
    Grant,
    PlaceOutcome,
)
from hibiscustiller.layers._choice import PipelineSelector
from hibiscustiller.layers._domain_choice import choose_domains
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.layers._place_client import PlaceClient
from hibiscustiller.layers._place_messages import PlaceQuery
from hibiscustiller.utils import DomainId, Refusal, ServerId, ServiceName

# A request that is refused within this share of its target latency has not waited, and
# may wait in another domain.
_MAX_REFUSAL_TIME_SHARE = 0.15


class SharedAdmission:
    """Admission to a service's pipelines, whichever router allocates their places.

    :param service: name of the service.
    :param domain: this router's domain, whose pipelines are preferred.
    :param local: admission based on this router's own information, for small fleets
        and for requests that no allocator answers.
    :param selector: selects among the pipelines of the service.
    :param client: requests places from allocators.
    :param random_state: selects another domain when this one is full.
    """

    def __init__(
        self,
        service: ServiceName,
        domain: DomainId,
        local: Admission,
        selector: PipelineSelector,
        client: PlaceClient,
        random_state: random.Random,
    ) -> None:
        self._random_state = random_state
        self._service = service
        self._domain = domain
        self._local = local
        self._selector = selector
        self._client = client

    @property
    def uses_allocators(self) -> bool:
        """Whether other routers may allocate the places, so that streams may wait."""
        return self._client.uses_allocators

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait at this router for a place."""
        return self._local.waiting_count

    async def admit(self, demand: Demand) -> Result[Grant, Refusal]:
        """Wait for a place, or refuse at once if the expected wait is too long."""
        if not self._client.uses_allocators or not self._selector.pipelines:
            return await self._local.admit(demand)
        clock = self._client.clock
        asked_at = clock.monotonic()
        refused_by_domain: dict[DomainId, Err[Refusal]] = {}
        for domain, may_wait in self._list_domains(demand):
            query = PlaceQuery(demand, self._service, domain, may_wait)
            result = await self._client.ask(query)
            if isinstance(result, Ok):
                return result
            if result is not None:
                refused_by_domain[domain] = result
                max_time = demand.target_latency * _MAX_REFUSAL_TIME_SHARE
                if clock.monotonic() - asked_at > max_time:
                    break
        for refused in refused_by_domain.values():
            # The allocator of this domain names the time to come again.
            return refused_by_domain.get(self._domain, refused)
        return await self._local.admit(demand)

    async def find_replacement(
        self,
        demand: Demand,
        excluded: Collection[ServerId],
        max_wait: timedelta = timedelta(0),
    ) -> Grant | None:
        """Find a new place for a request that has lost its place.

        :param excluded: engines that must not be used.
        :param max_wait: longest wait at an allocator for a free place. Afterwards, the
            place may exceed the usual limit of a pipeline.
        """
        if not self._client.uses_allocators:
            return self._local.find_replacement(demand, excluded)
        # Without capacity anywhere, the allocator of the pipeline with the most room
        # beyond the limit is asked, which knows the streams that others sent there.
        pipeline = self._local.places.select_replacement(demand, excluded)
        may_wait = max_wait > timedelta(0)
        if pipeline is not None:
            result = await self._client.ask(
                PlaceQuery(
                    demand,
                    self._service,
                    pipeline.entry.domain,
                    may_wait=may_wait,
                    excluded=tuple(excluded),
                    max_wait=max_wait,
                )
            )
            if isinstance(result, Ok):
                return result.ok_value
        return self._local.find_replacement(demand, excluded)

    def reserve(self, pipeline: Pipeline, demand: Demand) -> Grant:
        """Reserve a place in a pipeline regardless of its free capacity."""
        return self._local.reserve(pipeline, demand)

    async def release(
        self, grant: Grant, outcome: PlaceOutcome = UNKNOWN_OUTCOME
    ) -> None:
        """Release a place.

        :param outcome: what became of the request that held it.
        """
        if grant.admission is not None:
            await grant.admission.release(grant, outcome)
        else:
            await self._client.release(grant, outcome)

    def _list_domains(self, demand: Demand) -> list[tuple[DomainId, bool]]:
        """Return the domains to ask, each with whether the request may wait there."""
        summaries_by_domain = {
            domain: self._client.get_summary(self._service, domain)
            for domain in sorted({p.entry.domain for p in self._selector.pipelines})
        }
        return choose_domains(
            self._domain, summaries_by_domain, demand, self._random_state
        )
