"""Decodes the operators' configuration as it lies in the platform's store."""

from __future__ import annotations

import json
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.fleet import (
    DEFAULT_HEALTH_PATH,
    AcceleratorKind,
    ClientLimits,
    EngineSpec,
    FleetDocument,
    IngressRoute,
    Organisation,
    RequestKind,
    ServiceSpec,
)
from hibiscustiller.platform._decoding import UNREADABLE_ERRORS
from hibiscustiller.utils import OrganisationId, ServiceName, hash_secret

DOCUMENT_KEY = "op/config"
REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}
_DEFAULT_LIMITS = ClientLimits()


def decode_fleet_document(data: bytes) -> FleetDocument:
    """Decode a configuration.

    :raises WireFormatError: if it cannot be read.
    """
    try:
        values = json.loads(data)
        services = [_read_service(service) for service in values["services"]]
        tenants = values.get("tenants")
        return FleetDocument(
            version=int(values["version"]),
            routes=tuple(_read_route(route) for route in values["routes"]),
            services_by_name={service.name: service for service in services},
            organisations_by_key_digest=_read_organisations(tenants or ()),
            has_organisations=tenants is not None,
            limits=_read_limits(values.get("limits") or {}),
        )
    except UNREADABLE_ERRORS as error:
        raise WireFormatError(f"configuration cannot be read: {error!r}") from error


def _read_route(values: Mapping[str, Any]) -> IngressRoute:
    shares = values.get("traffic_split")
    if shares is None:
        weights = {ServiceName(values["service"]): 1.0}
    else:
        weights = {
            ServiceName(share["service"]): float(share["weight"]) for share in shares
        }
    gap = values.get("target_gap_ms")
    return IngressRoute(
        name=values["name"],
        host=values["host"].lower(),
        prefix=values["prefix"],
        kind=REQUEST_KINDS[values["kind"]],
        timeout=timedelta(milliseconds=values["timeout_ms"]),
        target_latency=timedelta(milliseconds=values["target_latency_ms"]),
        priority=int(values.get("priority", 0)),
        weights_by_service=weights,
        max_attempts=int(values.get("max_attempts", 1)),
        is_public=bool(values.get("public", False)),
        is_resumable=bool(values.get("resumable", False)),
        target_gap=None if gap is None else timedelta(milliseconds=gap),
    )


def _read_service(values: Mapping[str, Any]) -> ServiceSpec:
    engine = values.get("engine")
    has_layers = engine is not None and "layers" in engine
    max_connections = values.get("max_connections")
    return ServiceSpec(
        name=ServiceName(values["name"]),
        engine=_read_engine(engine) if has_layers else None,
        max_connections=None if max_connections is None else int(max_connections),
        health_path=_read_health_path(values.get("health_path")),
    )


def _read_health_path(value: Any) -> str:
    """Return the path of health checks; the usual one if it is none."""
    is_path = isinstance(value, str) and value.startswith("/") and value.isascii()
    return value if is_path and value.isprintable() else DEFAULT_HEALTH_PATH


def _read_engine(values: Mapping[str, Any]) -> EngineSpec:
    kinds = [
        AcceleratorKind(
            kind["name"],
            float(kind["size_mb"]),
            float(kind.get("pace", 1.0)),
            float(kind.get("read_factor", 1.0)),
        )
        for kind in values["kinds"]
    ]
    return EngineSpec(
        slots=int(values["slots"]),
        layers=int(values["layers"]),
        layer_mb=float(values["layer_mb"]),
        # The memory of a token over all layers, despite its name's "kv".
        token_bytes=float(values["token_kv_bytes"]),
        stride=int(values.get("stride", 1)),
        step=timedelta(milliseconds=values["step_ms"]),
        per_sequence=timedelta(milliseconds=values["per_seq_ms"]),
        context_per_thousand=timedelta(milliseconds=values["context_per_k"]),
        load_time=timedelta(
            seconds=max((model["load_s"] for model in values["models"]), default=0.0)
        ),
        mean_prompt_tokens=float(values["usual"]["prompt"]),
        mean_answer_tokens=float(values["usual"]["answer"]),
        activation_bytes=float(values["activation_bytes"]),
        pipe_mbps=float(values["pipe_mbps"]),
        domain_delay=timedelta(
            milliseconds=max(
                (pair["delay_ms"] for pair in values.get("delays", ())), default=0.0
            )
        ),
        kinds_by_name={kind.name: kind for kind in kinds},
    )


def _read_organisations(
    tenants: list[Mapping[str, Any]],
) -> dict[str, Organisation]:
    by_digest = {}
    for tenant in tenants:
        priority = tenant.get("priority")
        organisation = Organisation(
            OrganisationId(tenant["name"]), None if priority is None else int(priority)
        )
        for key in tenant["api_keys"]:
            by_digest[hash_secret(key)] = organisation
    return by_digest


def _read_limits(values: Mapping[str, Any]) -> ClientLimits:
    return ClientLimits(
        int(values.get("max_header_bytes", _DEFAULT_LIMITS.max_header_bytes)),
        int(values.get("max_body_bytes", _DEFAULT_LIMITS.max_body_bytes)),
        _read_ms(values, "header_timeout_ms", _DEFAULT_LIMITS.header_timeout),
        _read_ms(values, "idle_timeout_ms", _DEFAULT_LIMITS.idle_timeout),
    )


def _read_ms(values: Mapping[str, Any], name: str, default: timedelta) -> timedelta:
    value = values.get(name)
    return default if value is None else timedelta(milliseconds=value)
