"""Metric of uneven load: the busiest server of each service against the mean.

Load: servers overloaded in turn while others idle. Each router computes it from the
reports that it receives anyway.
"""

from __future__ import annotations

from collections.abc import Sequence

from hibiscustiller.discovery import FleetView
from hibiscustiller.fleet import BackendServer, ServiceSpec
from hibiscustiller.layers import EngineLoad, measure_peak
from hibiscustiller.utils import Metrics

# With less use on average, single requests would make a service look uneven.
_MIN_MEAN_USE = 0.1


def record_load_peaks(view: FleetView, load: EngineLoad, metrics: Metrics) -> None:
    """Set the gauge ``load_peak.SERVICE`` of each service with servers."""
    document = view.document
    services = [] if document is None else document.services_by_name.values()
    for service in services:
        servers = view.list_servers(service.name)
        if servers:
            peak = compute_load_peak(service, servers, load)
            metrics.gauge(f"load_peak.{service.name}", peak)


def compute_load_peak(
    service: ServiceSpec, servers: Sequence[BackendServer], load: EngineLoad
) -> float:
    """Return the ratio of the busiest server's used share to the mean.

    :returns: 1 if the load is even, or too low to tell.
    """
    engine = service.engine
    if engine is None:
        used_shares = [load.get(s.id).entry_count / max(1, s.slots) for s in servers]
    else:
        # Engines that hold no layers cannot run requests.
        used_shares = [
            load.get_used_share(engine, server)
            for server in servers
            if server.layers.width and server.kind in engine.kinds_by_name
        ]
    if not used_shares or sum(used_shares) < _MIN_MEAN_USE * len(used_shares):
        return 1.0
    return measure_peak(used_shares)
