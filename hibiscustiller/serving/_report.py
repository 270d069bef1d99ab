"""Parts of the operators' report that this router's modules offer."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from hibiscustiller.configuration import CurrentConfiguration
from hibiscustiller.limits import AdmissionController, ServerLimits, UsageLedger
from hibiscustiller.serving._control_plane import ControlPlane
from hibiscustiller.streams import CrashRegistry
from hibiscustiller.utils import Metrics

# The report names at most this many organisations, those with most service first.
_MAX_ORGANISATIONS = 50


@dataclass(frozen=True)
class ReportParts:
    """What the report reads."""

    configuration: CurrentConfiguration
    control_plane: ControlPlane
    admission: AdmissionController
    server_limits: ServerLimits
    usage: UsageLedger
    crash_registry: CrashRegistry
    metrics: Metrics


def make_report_sections(parts: ReportParts) -> Mapping[str, Callable[[], Any]]:
    """Return what makes each part of the report, by name.

    :returns: callables without parameters that return JSON values.
    """
    return {
        "routers": lambda: _describe_routers(parts),
        "control": lambda: _describe_control(parts),
        "backend_servers": lambda: _describe_servers(parts),
        "classes": lambda: _describe_classes(parts),
        "organisations": lambda: _describe_organisations(parts),
        "quarantined_requests": lambda: _describe_quarantine(parts),
        "totals": lambda: dict(sorted(parts.metrics.totals_by_name.items())),
    }


def _describe_routers(parts: ReportParts) -> dict[str, Any]:
    return {
        member.router_id: {
            "failure_domain": member.failure_domain,
            "region": member.region,
        }
        for member in parts.control_plane.transport.list_members()
    }


def _describe_control(parts: ReportParts) -> dict[str, Any]:
    fence = parts.control_plane.holder.fence
    return {"holds_lease": fence is not None, "fence": fence}


def _describe_servers(parts: ReportParts) -> dict[str, Any]:
    backends = parts.control_plane.backends
    return {
        server: {
            "state": backends.get_state(server).label,
            "is_usable": backends.is_usable(server),
            "stream_limit": round(parts.server_limits.get_limit(server), 1),
        }
        for server in parts.configuration.config.servers_by_id
    }


def _describe_classes(parts: ReportParts) -> dict[str, Any]:
    queued_by_class = parts.admission.count_queued()
    classes = parts.configuration.config.classes_by_name.values()
    return {
        config.name: {
            "rank": config.rank,
            "queued": queued_by_class.get(config.name, 0),
        }
        for config in sorted(classes, key=lambda config: config.rank)
    }


def _describe_organisations(parts: ReportParts) -> dict[str, Any]:
    config = parts.configuration.config
    attained_by_id = {
        organisation: sum(
            parts.usage.get_attained(organisation, class_name)
            for class_name in config.classes_by_name
        )
        for organisation in config.organisations_by_id
    }
    ranked = sorted(attained_by_id.items(), key=lambda item: item[1], reverse=True)
    return {
        organisation: {"recent_tokens": round(attained)}
        for organisation, attained in ranked[:_MAX_ORGANISATIONS]
    }


def _describe_quarantine(parts: ReportParts) -> dict[str, Any]:
    return {
        fingerprint: {"remaining_s": round(remaining.total_seconds())}
        for fingerprint, remaining in parts.crash_registry.list_quarantined().items()
    }
