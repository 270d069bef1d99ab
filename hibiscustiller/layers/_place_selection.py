"""Selection of the pipeline in which a request gets its place, and the place's size.

It answers the load after losses and while answers are longer than expected: engines
that reject requests are avoided, and places are sized by what answers really were. The
module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Set
from datetime import timedelta

from hibiscustiller.layers._answer_lengths import AnswerLengths
from hibiscustiller.layers._choice import PipelineSelector
from hibiscustiller.layers._demand import Demand, Grant, PlaceOutcome
from hibiscustiller.layers._free_capacity import count_unused_tokens
from hibiscustiller.layers._load import EngineLoad
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.layers._rejections import RejectionRecord
from hibiscustiller.utils import DomainId, ServerId


class PlaceSelector:
    """Selects pipelines for the requests of one admission.

    :param selector: selects among the pipelines of the service.
    :param load: requests in flight.
    :param list_refusing: returns the engines that refused a request recently.
    :param domain: only pipelines whose first engine is in this domain are used; None
        for all.
    :param rejections: engines that rejected requests of any router; None for an
        admission that allocates no places.
    :param answer_lengths: actual lengths of answers; None to believe each request.
    """

    def __init__(
        self,
        selector: PipelineSelector,
        load: EngineLoad,
        list_refusing: Callable[[], Set[ServerId]],
        domain: DomainId | None,
        rejections: RejectionRecord | None,
        answer_lengths: AnswerLengths | None,
    ) -> None:
        self._selector = selector
        self._load = load
        self._list_refusing = list_refusing
        self._domain = domain
        self.rejections = rejections
        self.answer_lengths = answer_lengths

    def list_pipelines(self) -> tuple[Pipeline, ...]:
        """Return the pipelines that may be selected."""
        return self._selector.list_pipelines(self._domain)

    def list_server_ids(self) -> set[ServerId]:
        """Return the engines of all pipelines."""
        return {key for p in self.list_pipelines() for key in p.server_ids}

    def may_use_any(self, excluded: Collection[ServerId]) -> bool:
        """Return whether any pipeline avoids the excluded engines."""
        return any(
            set(excluded).isdisjoint(pipeline.server_ids)
            for pipeline in self.list_pipelines()
        )

    def select_free(self, demand: Demand, excluded: Set[ServerId]) -> Pipeline | None:
        """Return a pipeline with free capacity; None if there is none."""
        return self._selector.select(
            self.estimate_tokens(demand),
            demand.target_gap,
            excluded | self._list_rejecting(excluded),
            domain=self._domain,
        )

    def select_replacement(
        self, demand: Demand, excluded: Collection[ServerId]
    ) -> Pipeline | None:
        """Return the pipeline for a request that has lost its place.

        A stream that has begun is worth more than a new one, so it may exceed the
        usual limit of a pipeline.

        :param excluded: engines that must not be used.
        :returns: None if no pipeline avoids the excluded engines.
        """
        tokens, gap = self.estimate_tokens(demand), demand.target_gap
        domain = self._domain
        rejecting = self._list_rejecting(excluded)
        pipeline = self._selector.select(
            tokens, gap, {*excluded, *rejecting}, domain=domain
        )
        if pipeline is not None:
            return pipeline
        return self._selector.select_overflow(tokens, gap, excluded, rejecting, domain)

    def estimate_tokens(self, demand: Demand) -> float:
        """Return the tokens that a place of a request holds on average."""
        pipelines = self.list_pipelines()
        if self.answer_lengths is None or not pipelines:
            return demand.tokens
        held_count = sum(self._load.get(p.entry.id).entry_count for p in pipelines)
        return demand.tokens + self.answer_lengths.estimate_excess(
            demand.priority, demand.answer_tokens, held_count / len(pipelines) + 1
        )

    def record_outcome(self, grant: Grant, outcome: PlaceOutcome) -> None:
        """Record what became of the request that held a place."""
        if self.rejections is not None:
            server_ids = grant.pipeline.server_ids
            self.rejections.record_release(server_ids, outcome.rejected_by)
        demand = grant.demand
        if self.answer_lengths is not None and demand is not None:
            self.answer_lengths.record(
                demand.priority, demand.answer_tokens, outcome.answer_tokens
            )

    def count_free_tokens(self) -> float:
        """Return the free capacity in tokens, without engines that reject requests."""
        full = set() if self.rejections is None else self.rejections.list_full()
        return count_unused_tokens(self._selector, self._domain, full)

    def count_tokens_without(self, grant: Grant) -> float:
        """Return the free capacity of a place's pipeline if it were released.

        Either memory or slots may be what a pipeline lacks.
        """
        self._load.remove(grant.pipeline, grant.tokens)
        try:
            return self._selector.get_free_tokens(grant.pipeline)
        finally:
            self._load.add(grant.pipeline, grant.tokens)

    def get_observed_token_time(self, pipeline: Pipeline) -> timedelta | None:
        """Return the recent time per token; None without recent observations."""
        gap, spec = self._selector.get_observed_gap(pipeline), self._selector.spec
        return None if gap is None or spec is None else gap / spec.stride

    def _list_rejecting(self, excluded: Collection[ServerId]) -> Set[ServerId]:
        """Return the engines that rejected a request lately.

        :param excluded: engines that are not used in any case.
        :returns: no engine if every pipeline has such an engine: waiting would not
            help, and a request that is rejected is retried around the engine.
        """
        rejecting = self._list_refusing()
        if self.rejections is not None:
            rejecting = rejecting | self.rejections.list_excluded()
        for pipeline in self.list_pipelines():
            if {*excluded, *rejecting}.isdisjoint(pipeline.server_ids):
                return rejecting
        return frozenset()
