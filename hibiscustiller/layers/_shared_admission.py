"""Admission to a service's pipelines, wherever their places are given out."""

from __future__ import annotations

import random
from collections.abc import Collection

from result import Ok, Result

from hibiscustiller.layers._admission import Admission, Demand, Grant
from hibiscustiller.layers._choice import PipelineChoice
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.layers._place_client import PlaceClient
from hibiscustiller.layers._place_messages import PlaceQuery
from hibiscustiller.utils import DomainId, Refusal, ServerId, ServiceName

# Another domain is asked only if it has room for several such requests: its own come
# first, and the summary is a second old.
_MIN_ROOM_REQUESTS = 4


class SharedAdmission:
    """Admission to a service's pipelines, wherever their places are given out.

    :param local: admission by what this router knows itself, for a small fleet and
        where no other router answers.
    :param domain: where this router is; its pipelines are preferred.
    """

    def __init__(
        self,
        service: ServiceName,
        domain: DomainId,
        local: Admission,
        choice: PipelineChoice,
        client: PlaceClient,
        random_state: random.Random,
    ) -> None:
        self._random_state = random_state
        self._service = service
        self._domain = domain
        self._local = local
        self._choice = choice
        self._client = client

    @property
    def waiting_count(self) -> int:
        """Requests that wait at this router for a place."""
        return self._local.waiting_count

    async def admit(self, demand: Demand) -> Result[Grant, Refusal]:
        """Wait for a place, or refuse at once what would wait too long."""
        if not self._client.is_shared or not self._choice.pipelines:
            return await self._local.admit(demand)
        for domain, may_wait in self._list_domains(demand):
            query = PlaceQuery(demand, self._service, domain, may_wait)
            result = await self._client.ask(query)
            if result is not None:
                return result
        return await self._local.admit(demand)

    async def replace(
        self, demand: Demand, excluded: Collection[ServerId]
    ) -> Grant | None:
        """Find a place for a request that has lost its own; it does not wait."""
        if not self._client.is_shared:
            return self._local.replace(demand, excluded)
        pipeline = self._choice.choose(demand.tokens, demand.target_gap, excluded)
        if pipeline is not None:
            result = await self._client.ask(
                PlaceQuery(
                    demand,
                    self._service,
                    pipeline.entry.domain,
                    may_wait=False,
                    excluded=tuple(excluded),
                )
            )
            if isinstance(result, Ok):
                return result.ok_value
        return self._local.replace(demand, excluded)

    def take(self, pipeline: Pipeline, demand: Demand) -> Grant:
        """Take a place in a pipeline whether or not it has room."""
        return self._local.take(pipeline, demand)

    async def release(self, grant: Grant) -> None:
        """Return a place."""
        if grant.admission is not None:
            await grant.admission.release(grant)
        else:
            await self._client.release(grant)

    def _list_domains(self, demand: Demand) -> list[tuple[DomainId, bool]]:
        """Return the domains to ask, and whether the request may wait there."""
        domains = sorted({p.entry.domain for p in self._choice.pipelines})
        free_by_domain = {
            domain: self._client.get_free_tokens(self._service, domain)
            for domain in domains
        }
        home = self._domain
        if home not in free_by_domain:
            home = max(domains, key=lambda domain: free_by_domain[domain] or 0.0)
        asked = []
        free = free_by_domain[home]
        if free is None or free > 0:
            asked.append((home, False))
        others = {
            domain: free
            for domain, free in free_by_domain.items()
            if domain != home
            and free is not None
            and free > _MIN_ROOM_REQUESTS * demand.tokens
        }
        if others:
            # All routers of a full domain must not go to the same other one.
            chosen = self._random_state.choices(list(others), list(others.values()))
            asked.append((chosen[0], False))
        if asked == [(home, False)]:
            return [(home, True)]
        return [*asked, (home, True)]
