"""Which engine holds which layers.

A cover is a set of engines that hold each layer of the model once. Activations
between failure domains share one slow link, so covers stay inside a domain where its
engines have the memory for one. A decision without I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from hibiscustiller.fleet import BackendServer, EngineSpec, LayerRange
from hibiscustiller.layers._capacity import (
    count_tokens,
    estimate_token_time,
    find_width,
)
from hibiscustiller.layers._link import share_link
from hibiscustiller.layers._pipelines import Pipeline, Stage, find_pipelines
from hibiscustiller.utils import DomainId, ServerId

# An unused engine that takes over some layers must promise this much more than what is
# there; its load is charged, and estimates are rough.
_STEP_GAIN = 1.12
# The same for all pipelines of the domain together.
_TOTAL_GAIN = 1.03
_STEPS_TRIED = 4
# A new plan of a domain must give back the tokens that its loads cost within this time,
# and must raise the rate of all pipelines by this factor. Engines come and go within
# tens of seconds on days with trouble.
_PAYBACK_S = 20.0
_RESHAPE_GAIN = 1.1
# A cover over several domains sends activations over their shared link, so it must
# hold this many requests to be worth that.
_MIN_SHARED_REQUESTS = 20
# A cover must hold some requests of the usual size, or it is not worth its engines.
_MIN_REQUESTS = 8
# An unused engine replaces a lost one within the time of its load; a domain without
# any has to move the layers of several others. Trials on the calm day.
_NO_SPARE_FACTOR = 0.85
# A repaired cover holds at least this share of the tokens of the domain's best plan;
# below it, a new plan is worth the two seconds of its loads.
_MIN_REPAIR_SHARE = 0.6


@dataclass(frozen=True)
class Cover:
    """Engines that hold every layer once.

    :param ranges_by_id: the layers of each engine, in order of layers.
    :param tokens: tokens that fit at every engine.
    :param rate: estimated tokens a second when its request memory is full.
    """

    ranges_by_id: Mapping[ServerId, LayerRange]
    tokens: float
    rate: float


def plan_layers(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
    *,
    may_move: bool = True,
    may_improve: bool = False,
    may_reshape: bool = False,
) -> dict[ServerId, LayerRange]:
    """Decide the layers of every engine that has to change.

    :param servers: the usable engines.
    :param held_by_id: layers that engines hold, or are about to hold.
    :param may_move: whether a domain that unused engines cannot repair may be placed
        anew.
    :param may_improve: whether one unused engine of a domain may get layers for speed
        alone.
    :param may_reshape: whether engines that serve may get other layers for speed.
    :returns: new layers by engine; engines that stay as they are are left out.
    """
    changes: dict[ServerId, LayerRange] = {}
    without_cover: list[BackendServer] = []
    improvements = []
    plans: list[tuple[list[BackendServer], list[Cover]]] = []
    for _, members in sorted(_group_by_domain(servers).items()):
        covers = plan_covers(spec, members, held_by_id)
        if covers:
            plans.append((members, covers))
            changes |= _plan_domain(spec, members, covers, held_by_id, may_move)
            if may_improve:
                improvements.append(_find_step(spec, members, held_by_id, len(covers)))
        else:
            without_cover += members
    # Domains that are too small for a cover of their own share one.
    covers = plan_covers(spec, without_cover, held_by_id)
    if covers:
        changes |= _plan_domain(spec, without_cover, covers, held_by_id, may_move)
    if not changes:
        for found in improvements:
            changes |= found
    if not changes and may_improve:
        changes = _plan_shared_cover(spec, servers, held_by_id)
    if not changes and may_reshape:
        changes = _find_reshape(spec, servers, plans, held_by_id)
    return changes


def plan_covers(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange] | None = None,
) -> list[Cover]:
    """Divide engines into the covers that promise the highest rate.

    :param held_by_id: layers that engines hold; engines of a kind keep their order.
    :returns: the covers; none if the engines cannot hold the model.
    """
    memory_mb = sum(spec.kinds_by_name[server.kind].memory_mb for server in servers)
    most = int(memory_mb / (spec.layers * spec.layer_mb))
    ordered = _sort_by_pace(spec, servers, held_by_id or {})
    best: list[Cover] = []
    best_rate = 0.0
    for count in range(1, most + 1):
        covers = _deal_covers(spec, ordered, count)
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

    A range that lacks several engines is returned several times.
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
    may_move: bool = True,
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
    return _list_moves(covers, held) if may_move else {}


def _plan_shared_cover(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
) -> dict[ServerId, LayerRange]:
    """Let engines that no domain's cover needs hold one together.

    They remain the spares of their domains: a gap there goes first.
    """
    used: set[ServerId] = set()
    for members in _group_by_domain(servers).values():
        for pipeline in find_pipelines(spec, _list_holding(members, held_by_id)):
            used |= set(pipeline.server_ids)
    unused = [server for server in servers if server.id not in used]
    if find_pipelines(spec, _list_holding(unused, held_by_id)):
        return {}
    covers = plan_covers(spec, unused, held_by_id)
    if not covers or _count_link_tokens(spec, unused, covers[0]) < (
        _MIN_SHARED_REQUESTS * spec.usual_tokens
    ):
        return {}
    return _plan_domain(spec, unused, covers, held_by_id)


def _count_link_tokens(
    spec: EngineSpec, servers: Sequence[BackendServer], cover: Cover
) -> float:
    """Return how many tokens a cover may hold with the whole link for itself."""
    holding = _list_holding(servers, cover.ranges_by_id)
    stages = [Stage(server, server.layers) for server in holding]
    stages.sort(key=lambda stage: stage.layers.first)
    (share,) = share_link(spec, [Pipeline(tuple(stages))])
    return share * cover.tokens


def _list_holding(
    servers: Iterable[BackendServer], held_by_id: Mapping[ServerId, LayerRange]
) -> list[BackendServer]:
    """Return the engines that hold layers, with what they hold or will hold."""
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
    """Return the engines without which no layer is missing more than it is now."""
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


def _find_step(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
    count: int,
) -> dict[ServerId, LayerRange]:
    """Find layers for an unused engine that make a pipeline faster or roomier.

    The engines that serve keep their layers, so nothing stops meanwhile. A whole new
    plan would: its loads take up to eight seconds.
    """
    pipelines = find_pipelines(spec, _list_holding(servers, held_by_id))
    used = {server_id for pipeline in pipelines for server_id in pipeline.server_ids}
    held = {s.id: held_by_id[s.id] for s in servers if s.id in held_by_id}
    # Another engine would leave a gap, which would be filled with it again.
    spares = _list_spares(spec, servers, held, count)
    # Engines of one kind are alike here.
    unused_by_kind = {s.kind: s for s in spares if s.id not in used}
    steps = []
    for pipeline in pipelines:
        present = _measure_rate(spec, pipeline)
        for server in unused_by_kind.values():
            for layers in _list_takeovers(spec, pipeline, server):
                changed = _take_over(pipeline, replace(server, layers=layers))
                gain = _measure_rate(spec, changed) / present
                if gain > _STEP_GAIN:
                    steps.append((gain, server.id, layers))
    present = _sum_rates(spec, pipelines)
    for _, server_id, layers in sorted(steps, reverse=True)[:_STEPS_TRIED]:
        # The search for pipelines goes by time alone and may not use the engine. Each
        # step must raise what it finds, or steps could follow each other for ever.
        after = _measure_total(spec, servers, {**held_by_id, server_id: layers})
        if after >= _TOTAL_GAIN * present:
            return {server_id: layers}
    return {}


def _find_reshape(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    plans: Iterable[tuple[Sequence[BackendServer], Sequence[Cover]]],
    held_by_id: Mapping[ServerId, LayerRange],
) -> dict[ServerId, LayerRange]:
    """Find a new plan for the domain that repairs have left furthest from its best.

    Repairs keep what serves, so that a large engine may end up with a small gap's
    layers. The whole domain is taken not to serve until the new layers are loaded.

    :param plans: the engines of each domain and its best covers.
    """
    present = _measure_total(spec, servers, held_by_id)
    best: dict[ServerId, LayerRange] = {}
    best_gain = 0.0
    for members, covers in plans:
        moves = _list_moves(covers, held_by_id)
        if not moves:
            continue
        after = _measure_total(spec, servers, {**held_by_id, **moves})
        widest = max(layers.width for layers in moves.values())
        load_s = spec.load_time.total_seconds() * widest / spec.layers
        lost = _measure_total(spec, members, held_by_id) * load_s
        gain = (after - present) * _PAYBACK_S - lost
        if after >= _RESHAPE_GAIN * present and gain > best_gain:
            best, best_gain = moves, gain
    return best


def _measure_total(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
) -> float:
    """Estimate the tokens a second of all pipelines when they are full."""
    return _sum_rates(spec, find_pipelines(spec, _list_holding(servers, held_by_id)))


def _sum_rates(spec: EngineSpec, pipelines: Sequence[Pipeline]) -> float:
    shares = share_link(spec, pipelines)
    return sum(
        share * _measure_rate(spec, pipeline)
        for pipeline, share in zip(pipelines, shares, strict=True)
    )


def _list_takeovers(
    spec: EngineSpec, pipeline: Pipeline, server: BackendServer
) -> list[LayerRange]:
    """Return the ranges between stages, or half stages, that an engine can hold."""
    cuts = {spec.layers}
    for stage in pipeline.stages:
        layers = stage.layers
        cuts |= {layers.first, (layers.first + layers.end) // 2}
    ordered = sorted(cuts)
    kind = spec.kinds_by_name[server.kind]
    widest = find_width(spec, kind, _MIN_REQUESTS * spec.usual_tokens)
    return [
        LayerRange(first, end)
        for number, first in enumerate(ordered)
        for end in ordered[number + 1 :]
        if end - first <= widest
    ]


def _take_over(pipeline: Pipeline, server: BackendServer) -> Pipeline:
    """Return a pipeline with an engine's layers run by that engine."""
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


def _measure_rate(spec: EngineSpec, pipeline: Pipeline) -> float:
    """Estimate the tokens a second of a pipeline when its request memory is full."""
    tokens = pipeline.count_memory_tokens(spec)
    sequences = min(float(spec.slots), tokens / spec.usual_tokens)
    held = sequences * spec.usual_tokens
    time = pipeline.estimate_token_time(spec, sequences, held)
    return sequences / time.total_seconds()


def _list_moves(
    covers: Sequence[Cover], held_by_id: Mapping[ServerId, LayerRange]
) -> dict[ServerId, LayerRange]:
    """Return the engines of a plan that do not hold their layers yet."""
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
    """Give missing layers to unused engines.

    :returns: their layers; None if they cannot hold the layers with enough room.
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
        # The larger ones are kept for larger gaps.
        best = min(fitting, key=lambda s: spec.kinds_by_name[s.kind].memory_mb)
        return {best.id: gap}
    changes = {}
    first = gap.first
    for server in spares:
        width = find_width(spec, spec.kinds_by_name[server.kind], min_tokens)
        end = min(gap.end, first + width)
        if end > first:
            changes[server.id] = LayerRange(first, end)
            first = end
        if first == gap.end:
            return changes
    return None


def _deal_covers(
    spec: EngineSpec, servers: Sequence[BackendServer], count: int
) -> list[Cover]:
    hands: list[list[BackendServer]] = [[] for _ in range(count)]
    for position, server in enumerate(servers):
        # Back and forth, so that no cover gets the better of every pair.
        turn, place = divmod(position, count)
        hands[place if turn % 2 == 0 else count - 1 - place].append(server)
    covers = [_choose_cover(spec, hand) for hand in hands]
    return [cover for cover in covers if cover is not None]


def _sort_by_pace(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    held_by_id: Mapping[ServerId, LayerRange],
) -> list[BackendServer]:
    def rank(server: BackendServer) -> tuple[float, DomainId, int, ServerId]:
        held = held_by_id.get(server.id)
        first = spec.layers if held is None else held.first
        return spec.kinds_by_name[server.kind].pace, server.domain, first, server.id

    return sorted(servers, key=rank)


def _choose_cover(spec: EngineSpec, servers: Sequence[BackendServer]) -> Cover | None:
    """Return the cover with the highest rate; the fastest engines go first."""
    kinds = {server.kind: spec.kinds_by_name[server.kind] for server in servers}
    # Only these numbers of tokens change how many layers fit at some engine.
    candidates = {
        count_tokens(spec, kind, width)
        for kind in kinds.values()
        for width in range(1, spec.layers + 1)
    }
    best = None
    for tokens in candidates:
        if tokens < _MIN_REQUESTS * spec.usual_tokens:
            continue
        cover = _try_cover(spec, servers, tokens)
        if cover is not None and (best is None or cover.rate > best.rate):
            best = cover
    return best


def _try_cover(
    spec: EngineSpec, servers: Sequence[BackendServer], tokens: float
) -> Cover | None:
    ranges: dict[ServerId, LayerRange] = {}
    widths = []
    first = 0
    for server in servers:
        kind = spec.kinds_by_name[server.kind]
        # Rounding must not lose the layer at which the candidate was made.
        end = min(spec.layers, first + find_width(spec, kind, tokens - 1))
        if end > first:
            ranges[server.id] = LayerRange(first, end)
            widths.append((kind, end - first))
            first = end
        if first == spec.layers:
            break
    if first < spec.layers:
        return None
    sequences = min(float(spec.slots), tokens / spec.usual_tokens)
    time = estimate_token_time(spec, widths, sequences, sequences * spec.usual_tokens)
    rate = sequences / time.total_seconds()
    if len(ranges) == len(servers):
        rate *= _NO_SPARE_FACTOR
    return Cover(ranges, tokens, rate)
