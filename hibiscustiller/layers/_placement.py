"""Assignment of model layers to engines.

A cover is a set of engines that together hold each layer of the model exactly once.
Activations sent between failure domains share one slow link, so a cover stays within
one domain wherever the engines of that domain have enough memory. The functions here
perform no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from hibiscustiller.fleet import BackendServer, EngineSpec, LayerRange
from hibiscustiller.layers._capacity import (
    count_tokens,
    estimate_token_time,
    find_max_width,
)
from hibiscustiller.layers._link import share_link
from hibiscustiller.layers._pipelines import Pipeline, Stage, find_pipelines
from hibiscustiller.utils import DomainId, ServerId

# Minimum ratio of the estimated rate of a pipeline after an unused engine replaces some
# of its stages to the rate before. Loading layers is charged, and estimates are rough.
_MIN_STEP_GAIN = 1.12
# Minimum ratio of the estimated rates for all pipelines of the domain together.
_MIN_TOTAL_GAIN = 1.03
_MAX_STEPS_TRIED = 4
# A new plan for a domain must recover the tokens lost while its layers load within this
# time, and must raise the rate of all pipelines by the factor below. During incidents,
# engines join and leave within tens of seconds.
_MAX_PAYBACK_S = 20.0
_MIN_REPLAN_GAIN = 1.1
# A cover that spans domains sends activations over their shared link, so it must hold
# at least this many requests to justify the traffic.
_MIN_SHARED_COVER_REQUESTS = 20
# A cover must hold at least this many requests of the usual size to be worth its
# engines.
_MIN_COVER_REQUESTS = 8
# Penalty on the rate of a plan that uses every engine. An unused engine can replace a
# lost one as soon as it has loaded the layers; without one, several other engines have
# to load different layers.
_NO_SPARE_FACTOR = 0.85
# A repaired cover must hold at least this share of the tokens of the domain's best
# plan. Below it, a new plan is worth the two seconds that its loads take.
_MIN_REPAIR_SHARE = 0.6


@dataclass(frozen=True)
class Cover:
    """A set of engines that together hold every layer exactly once.

    :param ranges_by_id: layer range of each engine, in layer order.
    :param tokens: number of tokens that fit in the request memory of every engine.
    :param rate: estimated tokens per second with full request memory.
    """

    ranges_by_id: Mapping[ServerId, LayerRange]
    tokens: float
    rate: float


def plan_layers(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
    *,
    may_rebuild: bool = True,
    may_improve: bool = False,
    may_replan: bool = False,
) -> dict[ServerId, LayerRange]:
    """Select new layers for each engine whose layers have to change.

    :param servers: the usable engines.
    :param held_by_id: layers that engines hold, or have been ordered to load.
    :param may_rebuild: whether a domain that its unused engines cannot repair may get
        a new plan.
    :param may_improve: whether one unused engine of a domain may load layers only to
        raise the rate.
    :param may_replan: whether engines in use may load different layers only to raise
        the rate.
    :returns: new layers by engine, without the engines that keep their layers.
    """
    changes: dict[ServerId, LayerRange] = {}
    without_cover: list[BackendServer] = []
    improvements = []
    plans: list[tuple[list[BackendServer], list[Cover]]] = []
    for _, members in sorted(_group_by_domain(servers).items()):
        covers = plan_covers(spec, members, held_by_id)
        if covers:
            plans.append((members, covers))
            changes |= _plan_domain(spec, members, covers, held_by_id, may_rebuild)
            if may_improve:
                improvements.append(
                    _find_improvement(spec, members, held_by_id, len(covers))
                )
        else:
            without_cover += members
    # Domains without enough memory for a cover of their own share one.
    covers = plan_covers(spec, without_cover, held_by_id)
    if covers:
        changes |= _plan_domain(spec, without_cover, covers, held_by_id, may_rebuild)
    if not changes:
        for found in improvements:
            changes |= found
    if not changes and may_improve:
        changes = _plan_unused_engines(spec, servers, plans, held_by_id)
    if not changes and may_replan:
        changes = _find_replan(spec, servers, plans, held_by_id)
    return changes


def plan_covers(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange] | None = None,
) -> list[Cover]:
    """Divide engines into the covers with the highest estimated total rate.

    :param held_by_id: layers that engines hold. Engines of the same kind keep their
        relative order, which avoids needless loads.
    :returns: the covers; empty if the engines cannot hold the model.
    """
    memory_mb = sum(spec.kinds_by_name[server.kind].memory_mb for server in servers)
    max_count = int(memory_mb / (spec.layers * spec.layer_mb))
    sorted_servers = _sort_by_pace(spec, servers, held_by_id or {})
    best: list[Cover] = []
    best_rate = 0.0
    for count in range(1, max_count + 1):
        covers = _divide_into_covers(spec, sorted_servers, count)
        used = sum(len(cover.ranges_by_id) for cover in covers)
        rate = sum(cover.rate for cover in covers)
        if used == len(servers):
            rate *= _NO_SPARE_FACTOR
        if len(covers) == count and rate > best_rate:
            best, best_rate = covers, rate
    return best


def find_gaps(
    layers: int, ranges: Iterable[LayerRange], count: int
) -> list[LayerRange]:
    """Return the layer ranges that fewer than ``count`` engines hold.

    A range that lacks several copies is returned once for each missing copy.
    """
    copies = [0] * layers
    for held in ranges:
        for layer in range(held.first, min(held.end, layers)):
            copies[layer] += 1
    gaps = []
    for missing in range(count):
        first = None
        for layer in range(layers + 1):
            is_missing = layer < layers and copies[layer] <= missing
            if is_missing and first is None:
                first = layer
            elif not is_missing and first is not None:
                gaps.append(LayerRange(first, layer))
                first = None
    return gaps


def _group_by_domain(
    servers: Iterable[BackendServer],
) -> dict[DomainId, list[BackendServer]]:
    members_by_domain = defaultdict(list)
    for server in servers:
        members_by_domain[server.domain].append(server)
    return dict(members_by_domain)


def _plan_domain(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    covers: Sequence[Cover],
    held_by_id: Mapping[ServerId, LayerRange],
    may_rebuild: bool = True,
) -> dict[ServerId, LayerRange]:
    held = {
        server.id: held_by_id[server.id]
        for server in servers
        if held_by_id.get(server.id)
    }
    gaps = find_gaps(spec.layers, held.values(), len(covers))
    if not gaps:
        return {}
    spares = _list_spares(spec, servers, held, len(covers))
    floor = _MIN_REPAIR_SHARE * min(cover.tokens for cover in covers)
    if held:
        repair = _fill_gaps(spec, gaps, spares, floor)
        if repair is not None:
            return repair
    return _list_changes(covers, held) if may_rebuild else {}


def _plan_unused_engines(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    plans: Iterable[tuple[Sequence[BackendServer], Sequence[Cover]]],
    held_by_id: Mapping[ServerId, LayerRange],
) -> dict[ServerId, LayerRange]:
    """Plan covers of engines that no pipeline uses, within failure domains if possible.

    The covers of a domain are chosen for the highest rate, so that slow engines may be
    left over. They remain spares of their domain, where filling a gap takes precedence.

    :param plans: engines and best covers of each domain that can hold the model.
    """
    used: set[ServerId] = set()
    for members in _group_by_domain(servers).values():
        for pipeline in find_pipelines(spec, _list_holding(members, held_by_id)):
            used |= set(pipeline.server_ids)
    for members, covers in plans:
        pipelines = find_pipelines(spec, _list_holding(members, held_by_id))
        if len(pipelines) < len(covers):
            # The engines of a cover with a gap are no spares: a lost engine may return.
            continue
        left = [server for server in members if server.id not in used]
        changes = _plan_left_over(spec, left, held_by_id)
        if changes:
            return changes
    unused = [server for server in servers if server.id not in used]
    return _plan_shared_cover(spec, unused, held_by_id)


def _plan_left_over(
    spec: EngineSpec,
    left: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
) -> dict[ServerId, LayerRange]:
    """Plan covers of the engines that the pipelines of a domain leave over."""
    covers = plan_covers(spec, left, held_by_id)
    min_tokens = _MIN_SHARED_COVER_REQUESTS * spec.mean_held_tokens
    if not any(cover.tokens >= min_tokens for cover in covers):
        return {}
    return _plan_domain(spec, left, covers, held_by_id)


def _plan_shared_cover(
    spec: EngineSpec,
    unused: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
) -> dict[ServerId, LayerRange]:
    """Plan a cover of engines that no pipeline uses, across failure domains.

    :param unused: engines that no pipeline of their domain uses.
    """
    if find_pipelines(spec, _list_holding(unused, held_by_id)):
        return {}
    covers = plan_covers(spec, unused, held_by_id)
    if not covers or _count_link_tokens(spec, unused, covers[0]) < (
        _MIN_SHARED_COVER_REQUESTS * spec.mean_held_tokens
    ):
        return {}
    return _plan_domain(spec, unused, covers, held_by_id)


def _count_link_tokens(
    spec: EngineSpec, servers: Sequence[BackendServer], cover: Cover
) -> float:
    """Return how many tokens a cover may hold if it has the whole link to itself."""
    holding = _list_holding(servers, cover.ranges_by_id)
    stages = [Stage(server, server.layers) for server in holding]
    stages.sort(key=lambda stage: stage.layers.first)
    (share,) = share_link(spec, [Pipeline(tuple(stages))])
    return share * cover.tokens


def _list_holding(
    servers: Iterable[BackendServer], held_by_id: Mapping[ServerId, LayerRange]
) -> list[BackendServer]:
    """Return the engines with layers in ``held_by_id``, with those layers set."""
    return [
        replace(server, layers=held_by_id[server.id])
        for server in servers
        if server.id in held_by_id
    ]


def _list_spares(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held: Mapping[ServerId, LayerRange],
    count: int,
) -> list[BackendServer]:
    """Return the engines whose removal opens no gap beyond the present ones."""
    left = dict(held)
    gaps = find_gaps(spec.layers, left.values(), count)
    spares = [server for server in servers if server.id not in held]
    for server in reversed(_sort_by_pace(spec, servers, held)):
        layers = left.pop(server.id, None)
        if layers is None:
            continue
        if find_gaps(spec.layers, left.values(), count) == gaps:
            spares.append(server)
        else:
            left[server.id] = layers
    return spares


def _find_improvement(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
    count: int,
) -> dict[ServerId, LayerRange]:
    """Find layers for an unused engine that raise the rate of a pipeline.

    Engines in use keep their layers, so no pipeline stops serving. A completely new
    plan would interrupt service, as its loads take up to eight seconds.
    """
    pipelines = find_pipelines(spec, _list_holding(servers, held_by_id))
    used = {server_id for pipeline in pipelines for server_id in pipeline.server_ids}
    held = {s.id: held_by_id[s.id] for s in servers if s.id in held_by_id}
    # Moving an engine that is not a spare would open a gap, and the next plan would
    # move it back to fill that gap.
    spares = _list_spares(spec, servers, held, count)
    # Engines of the same kind are interchangeable, so one of each kind is enough.
    unused_by_kind = {s.kind: s for s in spares if s.id not in used}
    steps = []
    for pipeline in pipelines:
        present = _estimate_rate(spec, pipeline)
        for server in unused_by_kind.values():
            for layers in _list_candidate_ranges(spec, pipeline, server):
                changed = _reassign_layers(pipeline, replace(server, layers=layers))
                gain = _estimate_rate(spec, changed) / present
                if gain > _MIN_STEP_GAIN:
                    steps.append((gain, server.id, layers))
    present = _sum_rates(spec, pipelines)
    for _, server_id, layers in sorted(steps, reverse=True)[:_MAX_STEPS_TRIED]:
        # The search for pipelines minimises only the time per token and may not use
        # this engine. Each step must raise the total rate of the pipelines found;
        # otherwise steps could follow each other indefinitely.
        after = _estimate_total_rate(spec, servers, {**held_by_id, server_id: layers})
        if after >= _MIN_TOTAL_GAIN * present:
            return {server_id: layers}
    return {}


def _find_replan(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    plans: Iterable[tuple[Sequence[BackendServer], Sequence[Cover]]],
    held_by_id: Mapping[ServerId, LayerRange],
) -> dict[ServerId, LayerRange]:
    """Find a new plan for the domain that gains the most from one.

    Repairs leave the layers of engines in use unchanged, so a large engine may end up
    with only the few layers of a small gap. The estimate of the loss assumes that the
    whole domain stops serving until the new layers are loaded.

    :param plans: engines and best covers of each domain.
    """
    present = _estimate_total_rate(spec, servers, held_by_id)
    best: dict[ServerId, LayerRange] = {}
    best_gain = 0.0
    for members, covers in plans:
        moves = _list_changes(covers, held_by_id)
        if not moves:
            continue
        after = _estimate_total_rate(spec, servers, {**held_by_id, **moves})
        widest = max(layers.width for layers in moves.values())
        load_s = spec.load_time.total_seconds() * widest / spec.layers
        lost = _estimate_total_rate(spec, members, held_by_id) * load_s
        gain = (after - present) * _MAX_PAYBACK_S - lost
        if after >= _MIN_REPLAN_GAIN * present and gain > best_gain:
            best, best_gain = moves, gain
    return best


def _estimate_total_rate(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
) -> float:
    """Estimate the tokens per second of all pipelines with full request memory."""
    return _sum_rates(spec, find_pipelines(spec, _list_holding(servers, held_by_id)))


def _sum_rates(spec: EngineSpec, pipelines: Sequence[Pipeline]) -> float:
    shares = share_link(spec, pipelines)
    return sum(
        share * _estimate_rate(spec, pipeline)
        for pipeline, share in zip(pipelines, shares, strict=True)
    )


def _list_candidate_ranges(
    spec: EngineSpec, pipeline: Pipeline, server: BackendServer
) -> list[LayerRange]:
    """Return the ranges that an engine can hold, bounded by stages or half stages."""
    cuts = {spec.layers}
    for stage in pipeline.stages:
        layers = stage.layers
        cuts |= {layers.first, (layers.first + layers.end) // 2}
    bounds = sorted(cuts)
    kind = spec.kinds_by_name[server.kind]
    widest = find_max_width(spec, kind, _MIN_COVER_REQUESTS * spec.mean_held_tokens)
    return [
        LayerRange(first, end)
        for index, first in enumerate(bounds)
        for end in bounds[index + 1 :]
        if end - first <= widest
    ]


def _reassign_layers(pipeline: Pipeline, server: BackendServer) -> Pipeline:
    """Return the pipeline with an engine's layers reassigned to that engine."""
    taken = server.layers
    stages = []
    for stage in pipeline.stages:
        before = LayerRange(stage.layers.first, min(stage.layers.end, taken.first))
        after = LayerRange(max(stage.layers.first, taken.end), stage.layers.end)
        if before.width > 0:
            stages.append(Stage(stage.server, before))
        if taken.first < stage.layers.end and stage.layers.first <= taken.first:
            stages.append(Stage(server, taken))
        if after.width > 0:
            stages.append(Stage(stage.server, after))
    return Pipeline(tuple(stages))


def _estimate_rate(spec: EngineSpec, pipeline: Pipeline) -> float:
    """Estimate the tokens per second of a pipeline with full request memory."""
    tokens = pipeline.count_memory_tokens(spec)
    sequences = min(float(spec.slots), tokens / spec.mean_held_tokens)
    held = sequences * spec.mean_held_tokens
    time = pipeline.estimate_token_time(spec, sequences, held)
    return sequences / time.total_seconds()


def _list_changes(
    covers: Sequence[Cover], held_by_id: Mapping[ServerId, LayerRange]
) -> dict[ServerId, LayerRange]:
    """Return the planned layers of the engines that do not hold them yet."""
    return {
        server_id: layers
        for cover in covers
        for server_id, layers in cover.ranges_by_id.items()
        if held_by_id.get(server_id) != layers
    }


def _fill_gaps(
    spec: EngineSpec,
    gaps: Sequence[LayerRange],
    spares: Sequence[BackendServer],
    min_tokens: float,
) -> dict[ServerId, LayerRange] | None:
    """Assign missing layers to unused engines.

    :param min_tokens: number of tokens that must fit beside the layers.
    :returns: new layers by engine; None if the spares lack the memory.
    """
    left = _sort_by_pace(spec, spares, {})
    changes: dict[ServerId, LayerRange] = {}
    for gap in sorted(gaps, key=lambda gap: -gap.width):
        filled = _fill_gap(spec, gap, left, min_tokens)
        if filled is None:
            return None
        changes |= filled
        left = [server for server in left if server.id not in filled]
    return changes


def _fill_gap(
    spec: EngineSpec,
    gap: LayerRange,
    spares: Sequence[BackendServer],
    min_tokens: float,
) -> dict[ServerId, LayerRange] | None:
    fitting = [
        server
        for server in spares
        if count_tokens(spec, spec.kinds_by_name[server.kind], gap.width) >= min_tokens
    ]
    if fitting:
        # Prefer the smallest engine; larger ones are kept for larger gaps.
        best = min(fitting, key=lambda s: spec.kinds_by_name[s.kind].memory_mb)
        return {best.id: gap}
    changes = {}
    first = gap.first
    for server in spares:
        width = find_max_width(spec, spec.kinds_by_name[server.kind], min_tokens)
        end = min(gap.end, first + width)
        if end > first:
            changes[server.id] = LayerRange(first, end)
            first = end
        if first == gap.end:
            return changes
    return None


def _divide_into_covers(
    spec: EngineSpec, servers: Sequence[BackendServer], count: int
) -> list[Cover]:
    groups: list[list[BackendServer]] = [[] for _ in range(count)]
    for position, server in enumerate(servers):
        # Alternate the direction in each round, so that no group gets the faster engine
        # of every round.
        round_number, column = divmod(position, count)
        groups[column if round_number % 2 == 0 else count - 1 - column].append(server)
    covers = [_choose_cover(spec, group) for group in groups]
    return [cover for cover in covers if cover is not None]


def _sort_by_pace(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
) -> list[BackendServer]:
    def rank(server: BackendServer) -> tuple[float, DomainId, int, ServerId]:
        held = held_by_id.get(server.id)
        first = spec.layers if held is None else held.first
        return (
            spec.kinds_by_name[server.kind].token_time_factor,
            server.domain,
            first,
            server.id,
        )

    return sorted(servers, key=rank)


def _choose_cover(spec: EngineSpec, servers: Sequence[BackendServer]) -> Cover | None:
    """Return the cover with the highest rate, using the fastest engines first."""
    kinds = {server.kind: spec.kinds_by_name[server.kind] for server in servers}
    # The number of layers that fit at an engine changes only at these token counts.
    candidates = {
        count_tokens(spec, kind, width)
        for kind in kinds.values()
        for width in range(1, spec.layers + 1)
    }
    best = None
    for tokens in candidates:
        if tokens < _MIN_COVER_REQUESTS * spec.mean_held_tokens:
            continue
        cover = _build_cover(spec, servers, tokens)
        if cover is not None and (best is None or cover.rate > best.rate):
            best = cover
    return best


def _build_cover(
    spec: EngineSpec, servers: Sequence[BackendServer], tokens: float
) -> Cover | None:
    ranges: dict[ServerId, LayerRange] = {}
    widths = []
    first = 0
    for server in servers:
        kind = spec.kinds_by_name[server.kind]
        # Subtract one token, so that rounding does not drop the layer from which this
        # candidate count was derived.
        end = min(spec.layers, first + find_max_width(spec, kind, tokens - 1))
        if end > first:
            ranges[server.id] = LayerRange(first, end)
            widths.append((kind, end - first))
            first = end
        if first == spec.layers:
            break
    if first < spec.layers:
        return None
    sequences = min(float(spec.slots), tokens / spec.mean_held_tokens)
    time = estimate_token_time(
        spec, widths, sequences, sequences * spec.mean_held_tokens
    )
    rate = sequences / time.total_seconds()
    if len(ranges) == len(servers):
        rate *= _NO_SPARE_FACTOR
    return Cover(ranges, tokens, rate)
