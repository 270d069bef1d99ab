"""Selection of the backend servers that one router uses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from hibiscustiller.configuration import FleetConfig, ServerConfig
from hibiscustiller.utils import DomainId, ModelName, RouterId, ServerId
from hibiscustiller.utils import rank_by_rendezvous as rank

# With 330 routers and 600 servers, about 35 routers use each server, and polling 64
# servers every few seconds keeps a daemon within its 7 KB/s of control traffic.
DEFAULT_SUBSET_SIZE = 64


def choose_subset(
    router_id: RouterId, config: FleetConfig, size: int
) -> frozenset[ServerId]:
    """Select servers by rendezvous hashing.

    Adding or removing one server therefore changes little else in the subset. Each
    round adds a set of servers that covers all layers of each model, and prefers the
    failure domains that were selected least for those layers. The first round is
    always completed.

    :param size: size of the subset; exceeded only if one cover of each model needs
        more servers.
    """
    servers_by_model = _rank_servers_by_model(router_id, config)
    chosen: list[ServerId] = []
    domain_counts: Counter[tuple[ModelName, int, DomainId]] = Counter()
    is_first = True
    while any(servers_by_model.values()) and (is_first or len(chosen) < size):
        for model_name, servers in servers_by_model.items():
            layers = config.models_by_name[model_name].layers
            for server in _pop_cover(servers, layers, domain_counts):
                if is_first or len(chosen) < size:
                    chosen.append(server.name)
        is_first = False
    return frozenset(chosen)


def _rank_servers_by_model(
    router_id: RouterId, config: FleetConfig
) -> dict[ModelName, list[ServerConfig]]:
    servers_by_model: dict[ModelName, list[ServerConfig]] = {
        name: [] for name in rank(router_id, config.models_by_name)
    }
    for server_id in rank(router_id, config.servers_by_id):
        server = config.servers_by_id[server_id]
        if server.state == "serving" and server.model in servers_by_model:
            servers_by_model[server.model].append(server)
    return servers_by_model


def _pop_cover(
    servers: list[ServerConfig],
    layers: int,
    domain_counts: Counter[tuple[ModelName, int, DomainId]],
) -> Sequence[ServerConfig]:
    """Remove servers that cover all layers from a ranked list and return them.

    Layers that none of the servers holds are skipped.

    :param servers: servers of one model by rank; changed in place.
    :param layers: number of layers of the model.
    :param domain_counts: number of servers selected so far, by model, layer and
        failure domain; changed in place.
    """
    cover: list[ServerConfig] = []
    reached = 0
    while reached < layers and servers:
        candidates = [s for s in servers if s.first_layer <= reached < s.last_layer]
        if not candidates:
            later = [s.first_layer for s in servers if s.first_layer > reached]
            if not later:
                break
            reached = min(later)
            continue
        position = reached
        best = min(
            candidates,
            key=lambda s: domain_counts[s.model, position, s.failure_domain],
        )
        domain_counts[best.model, position, best.failure_domain] += 1
        servers.remove(best)
        cover.append(best)
        reached = best.last_layer
    if not cover:
        # The remaining servers hold only layers outside the model's range.
        servers.clear()
    return cover
