"""Request memory in use at engines, by this router and as reported by others."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import BackendServer, EngineSpec
from hibiscustiller.layers._capacity import count_token_layers
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.utils import Clock, RouterId, ServerId

# Share of the request memory and slots that may be used. The rest absorbs answers that
# are longer than expected, and requests that other routers admitted since their last
# report.
_USABLE_SHARE = 0.92


@dataclass(frozen=True)
class EngineUse:
    """The resources in use by requests at one engine.

    :param token_layers: request memory in use, in tokens times layers.
    :param entry_count: number of requests for which this engine is the first.
    """

    token_layers: float = 0.0
    entry_count: int = 0


NO_USE = EngineUse()


class EngineLoad:
    """Resources in use by requests in flight, by engine.

    :param clock: source of time for the age of reports.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own_use_by_id: dict[ServerId, EngineUse] = {}
        self._reports: dict[RouterId, tuple[timedelta, Mapping[ServerId, EngineUse]]]
        self._reports = {}
        # Sum of the arrival times of the reports, for their mean age.
        self._received_sum = timedelta(0)
        self._reported_by_others: dict[ServerId, EngineUse] = {}

    def add(self, pipeline: Pipeline, tokens: float) -> None:
        """Add a request that begins."""
        self._update_own(pipeline, tokens, 1)

    def remove(self, pipeline: Pipeline, tokens: float) -> None:
        """Remove a request that has ended."""
        self._update_own(pipeline, -tokens, -1)

    def add_unlayered(self, server_id: ServerId, count: int) -> None:
        """Add requests at a server without layers; a negative count removes them."""
        entry_count = self._own_use_by_id.get(server_id, NO_USE).entry_count + count
        if entry_count > 0:
            self._own_use_by_id[server_id] = EngineUse(0.0, entry_count)
        else:
            self._own_use_by_id.pop(server_id, None)

    def get_own_use(self) -> dict[ServerId, EngineUse]:
        """Return the use by this router, to report to the other routers."""
        return dict(self._own_use_by_id)

    def set_report(
        self, router_id: RouterId, uses_by_id: Mapping[ServerId, EngineUse]
    ) -> None:
        """Replace the reported use of another router."""
        # The sum is updated incrementally: summing all reports at each use would take
        # most of the processing time in a large fleet.
        self._remove_report(router_id)
        now = self._clock.monotonic()
        self._reports[router_id] = (now, uses_by_id)
        self._received_sum += now
        self._update_reported(uses_by_id, 1)

    def discard_report(self, router_id: RouterId) -> None:
        """Forget the use that a router reported, for example since it has failed."""
        self._remove_report(router_id)

    def count_reporting_routers(self) -> int:
        """Return how many other routers have a report that has not expired."""
        return len(self._reports)

    def get_mean_report_age(self) -> timedelta:
        """Return the mean age of the other routers' reports; zero without any."""
        if not self._reports:
            return timedelta(0)
        return self._clock.monotonic() - self._received_sum / len(self._reports)

    def get_own(self, server_id: ServerId) -> EngineUse:
        """Return the use of an engine by this router."""
        return self._own_use_by_id.get(server_id, NO_USE)

    def get_reported(self, server_id: ServerId) -> EngineUse:
        """Return the use of an engine by the other routers."""
        return self._reported_by_others.get(server_id, NO_USE)

    def get(self, server_id: ServerId) -> EngineUse:
        """Return the total use of an engine by all routers."""
        own = self._own_use_by_id.get(server_id, NO_USE)
        other = self._reported_by_others.get(server_id, NO_USE)
        return EngineUse(
            own.token_layers + other.token_layers, own.entry_count + other.entry_count
        )

    def get_free_tokens(self, spec: EngineSpec, pipeline: Pipeline) -> float:
        """Return a pipeline's free capacity in tokens; negative if overcommitted."""
        if self.get(pipeline.entry.id).entry_count >= spec.slots * _USABLE_SHARE:
            return 0.0
        free_tokens = []
        for stage in pipeline.stages:
            kind = spec.kinds_by_name[stage.server.kind]
            capacity = count_token_layers(spec, kind, stage.server.layers.width)
            used = self.get(stage.server.id).token_layers
            free_tokens.append((capacity * _USABLE_SHARE - used) / stage.layers.width)
        return min(free_tokens)

    def get_filled_share(
        self, spec: EngineSpec, pipeline: Pipeline, tokens: float
    ) -> float:
        """Return the largest share of an engine's memory or slots that is in use.

        :param tokens: number of tokens of one more request that counts as well.
        """
        entry_count = self.get(pipeline.entry.id).entry_count + 1
        shares = [entry_count / spec.slots]
        for stage in pipeline.stages:
            kind = spec.kinds_by_name[stage.server.kind]
            capacity = count_token_layers(spec, kind, stage.server.layers.width)
            used = self.get(stage.server.id).token_layers + tokens * stage.layers.width
            shares.append(used / capacity if capacity > 0 else math.inf)
        return max(shares)

    def get_used_share(self, spec: EngineSpec, server: BackendServer) -> float:
        """Return the larger of the used shares of request memory and slots."""
        kind = spec.kinds_by_name[server.kind]
        capacity = count_token_layers(spec, kind, server.layers.width)
        use = self.get(server.id)
        if capacity <= 0:
            return 1.0
        return max(use.token_layers / capacity, use.entry_count / spec.slots)

    def count_tokens(self, pipeline: Pipeline) -> float:
        """Return the number of tokens held at a pipeline's busiest engine."""
        return max(
            self.get(stage.server.id).token_layers / stage.layers.width
            for stage in pipeline.stages
        )

    def count_own_tokens(self, pipeline: Pipeline) -> float:
        """Return the number of this router's tokens where it holds most of them."""
        return max(
            self.get_own(stage.server.id).token_layers / stage.layers.width
            for stage in pipeline.stages
        )

    def expire_reports(self, life: timedelta) -> None:
        """Remove reports older than ``life``; their routers have probably ended."""
        now = self._clock.monotonic()
        expired = [
            router_id
            for router_id, (received_at, _) in self._reports.items()
            if now - received_at > life
        ]
        for router_id in expired:
            self._remove_report(router_id)

    def _update_own(self, pipeline: Pipeline, tokens: float, count: int) -> None:
        for position, stage in enumerate(pipeline.stages):
            use = self._own_use_by_id.get(stage.server.id, NO_USE)
            use = EngineUse(
                use.token_layers + tokens * stage.layers.width,
                use.entry_count + (count if position == 0 else 0),
            )
            # Floating-point sums do not return exactly to zero.
            if use.token_layers > 1e-6 or use.entry_count > 0:
                self._own_use_by_id[stage.server.id] = use
            else:
                self._own_use_by_id.pop(stage.server.id, None)

    def _remove_report(self, router_id: RouterId) -> None:
        report = self._reports.pop(router_id, None)
        if report is None:
            return
        received_at, uses_by_id = report
        self._received_sum -= received_at
        self._update_reported(uses_by_id, -1)

    def _update_reported(
        self, uses_by_id: Mapping[ServerId, EngineUse], sign: int
    ) -> None:
        # Reports contain whole numbers, so these sums return exactly to zero.
        for server_id, use in uses_by_id.items():
            before = self._reported_by_others.get(server_id, NO_USE)
            after = EngineUse(
                before.token_layers + sign * use.token_layers,
                before.entry_count + sign * use.entry_count,
            )
            if after == NO_USE:
                self._reported_by_others.pop(server_id, None)
            else:
                self._reported_by_others[server_id] = after
