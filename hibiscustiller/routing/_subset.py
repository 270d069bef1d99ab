"""The backend servers that one router uses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from hibiscustiller.configuration import FleetConfig, ServerConfig
from hibiscustiller.utils import DomainId, ModelName, RouterId, ServerId
from hibiscustiller.utils import rank_by_rendezvous as rank

# At 330 routers and 600 servers a server is used by about 35 routers, and 64 polls
# each few seconds stay within a daemon's 7 KB/s.
DEFAULT_SUBSET_SIZE = 64


def choose_subset(
    router_id: RouterId, config: FleetConfig, size: int
) -> frozenset[ServerId]:
    """Choose servers by rendezvous, so that a change of one moves few others.

    Each round adds one cover of every model, from the failure domains least used at
    those layers so far. The first round is always completed.

    :param size: servers wanted; exceeded only if one cover of each model needs more.
    """
    remaining = _rank_by_model(router_id, config)
    chosen: list[ServerId] = []
    domains_by_layer: Counter[tuple[ModelName, int, DomainId]] = Counter()
    is_first = True
    while any(remaining.values()) and (is_first or len(chosen) < size):
        for model_name, servers in remaining.items():
            layers = config.models_by_name[model_name].layers
            for server in _take_cover(servers, layers, domains_by_layer):
                if is_first or len(chosen) < size:
                    chosen.append(server.name)
        is_first = False
    return frozenset(chosen)


def _rank_by_model(
    router_id: RouterId, config: FleetConfig
) -> dict[ModelName, list[ServerConfig]]:
    ranked: dict[ModelName, list[ServerConfig]] = {
        name: [] for name in rank(router_id, config.models_by_name)
    }
    for server_id in rank(router_id, config.servers_by_id):
        server = config.servers_by_id[server_id]
        if server.state == "serving" and server.model in ranked:
            ranked[server.model].append(server)
    return ranked


def _take_cover(
    servers: list[ServerConfig],
    layers: int,
    domains_by_layer: Counter[tuple[ModelName, int, DomainId]],
) -> Sequence[ServerConfig]:
    """Remove one cover from a ranked list; layers that nobody holds are passed."""
    cover: list[ServerConfig] = []
    reached = 0
    while reached < layers and servers:
        holders = [s for s in servers if s.first_layer <= reached < s.last_layer]
        if not holders:
            later = [s.first_layer for s in servers if s.first_layer > reached]
            if not later:
                break
            reached = min(later)
            continue
        position = reached
        best = min(
            holders,
            key=lambda s: domains_by_layer[s.model, position, s.failure_domain],
        )
        domains_by_layer[best.model, position, best.failure_domain] += 1
        servers.remove(best)
        cover.append(best)
        reached = best.last_layer
    if not cover:
        # What is left lies outside the model's layers.
        servers.clear()
    return cover
