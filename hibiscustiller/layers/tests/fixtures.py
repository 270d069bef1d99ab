"""Fixtures: a small fleet in three domains with three kinds of accelerators."""

import zlib
from dataclasses import replace
from datetime import timedelta

from hibiscustiller.fleet import (
    EMPTY_RANGE,
    AcceleratorKind,
    BackendServer,
    EngineSpec,
    LayerRange,
    ServerState,
)
from hibiscustiller.settings import Address

MS = timedelta(milliseconds=1)
KINDS = {
    "large": AcceleratorKind("large", 72000, 2.4, 3.2),
    "medium": AcceleratorKind("medium", 14400, 5.3, 7.9),
    "slow": AcceleratorKind("slow", 21600, 16.0, 8.2),
}
SPEC = EngineSpec(
    slots=96,
    layers=80,
    layer_mb=1750.0,
    token_bytes=1_180_000.0,
    stride=4,
    step=1.02 * MS,
    per_sequence=0.00918 * MS,
    context_per_thousand=0.0123 * MS,
    load_time=timedelta(seconds=14),
    mean_prompt_tokens=775.0,
    mean_answer_tokens=216.0,
    activation_bytes=59000.0,
    pipe_mbps=13000.0,
    domain_delay=0.5 * MS,
    kinds_by_name=KINDS,
)


def make_engine(server_id, kind, domain="north", layers=EMPTY_RANGE):
    """Make an engine with an address derived from its id."""
    return BackendServer(
        id=server_id,
        service="engines",
        address=Address("127.0.0.1", 1 + zlib.crc32(server_id.encode()) % 60000),
        domain=domain,
        slots=96,
        state=ServerState.READY,
        kind=kind,
        layers=layers,
    )


def make_domain(domain, large, medium, slow):
    """Make the engines of one domain, without layers."""
    counts = {"large": large, "medium": medium, "slow": slow}
    return [
        make_engine(f"{domain}-{kind}-{number}", kind, domain)
        for kind, count in counts.items()
        for number in range(count)
    ]


def make_fleet():
    """Make 38 engines in three domains, each with enough memory for a cover."""
    return [
        *make_domain("north", 1, 10, 4),
        *make_domain("east", 2, 4, 4),
        *make_domain("south", 1, 6, 6),
    ]


def apply_changes(servers, changes):
    """Return the engines with the changed layers loaded."""
    return [
        replace(server, layers=changes.get(server.id, server.layers))
        for server in servers
    ]


def get_held(servers):
    """Return the layers held by each engine, without engines that hold none."""
    return {server.id: server.layers for server in servers if server.layers.width}


__all__ = [
    "EMPTY_RANGE",
    "KINDS",
    "MS",
    "SPEC",
    "LayerRange",
    "apply_changes",
    "get_held",
    "make_domain",
    "make_engine",
    "make_fleet",
]
