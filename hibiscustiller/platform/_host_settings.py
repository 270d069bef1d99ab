"""Reads the settings file that the platform gives to a daemon (TOML)."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any

from hibiscustiller.exceptions import SettingsError
from hibiscustiller.fleet import HostSettings
from hibiscustiller.settings import parse_address
from hibiscustiller.utils import DomainId, RouterId

_PATH_VARIABLE = "HIBISCUSTILLER_NODE_FILE"
# Without a bound in the file the shortest useful lease is assumed.
_DEFAULT_MIN_LEASE_MS = 1000
# Without a limit in the file, about that of the smallest hosts is assumed.
_DEFAULT_MEMORY_MB = 256
# Without a limit in the file, that of the smallest hosts is assumed.
_DEFAULT_MAX_FDS = 4100
# With fewer, the servers of the daemon would have almost no places.
_MIN_MAX_FDS = 200
# Without a bound in the file, the shortest one of the platform is assumed.
_DEFAULT_CHANGE_LIMIT_MS = 2000
_BYTES_PER_MB = 1_000_000


def find_host_settings(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file.

    :raises SettingsError: if the platform does not name one.
    """
    path = environment.get(_PATH_VARIABLE)
    if not path:
        raise SettingsError((f"environment variable {_PATH_VARIABLE} is not set",))
    return Path(path)


def load_host_settings(path: Path) -> HostSettings:
    """Read and check the settings file.

    :raises SettingsError: if it cannot be read or lacks a needed value.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError((f"{path}: {error.strerror}",)) from error
    return parse_host_settings(text, str(path))


def parse_host_settings(text: str, label: str = "settings") -> HostSettings:
    """Parse the text of a settings file; unknown fields are ignored.

    :param label: names the file in messages.
    :raises SettingsError: if it is no TOML, or a needed value is missing or wrong.
    """
    try:
        return _read_settings(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise SettingsError((f"{label}: not valid TOML: {error}",)) from error
    except KeyError as error:
        raise SettingsError((f"{label}: {error.args[0]} is missing",)) from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError((f"{label}: {error}",)) from error


def _read_settings(values: dict[str, Any]) -> HostSettings:
    # "bounds" holds the time limits of the guarantees.
    bounds, store = values["bounds"], values["platform"]
    first_port, last_port = values["port_range"]
    inner = values["listen"].get("control")
    return HostSettings(
        router_id=RouterId(values["node_name"]),
        domain=DomainId(values["zone"]),
        ip=values["ip"],
        front=parse_address(values["listen"]["front"]),
        readiness=parse_address(values["listen"]["ready"]),
        inner_ports=(int(first_port), int(last_port)),
        store=parse_address(store["address"]),
        drain=_read_ms(bounds, "drain_ms"),
        grace=timedelta(seconds=bounds["grace_s"]),
        retry_ratio=float(bounds["retry_budget_ratio"]),
        retry_window=timedelta(seconds=bounds["budget_window_s"]),
        # The number of repeats over the share, in each window.
        retry_slack=float(bounds["budget_slack"]),
        min_lease=timedelta(
            milliseconds=store.get("ttl_min_ms", _DEFAULT_MIN_LEASE_MS)
        ),
        max_value_bytes=int(store["value_bytes"]),
        capacity=_read_capacity(values.get("limits", {})),
        memory_bytes=_read_memory(values.get("limits", {})),
        max_fds=_read_max_fds(values.get("limits", {})),
        is_first_start=bool(values.get("bootstrap", False)),
        inner=parse_address(inner) if inner else None,
        seeds=tuple(parse_address(seed) for seed in values.get("seeds") or ()),
        change_limit=_read_change_limit(bounds),
        heartbeat=_read_heartbeat(values),
    )


def _read_ms(values: Mapping[str, Any], name: str) -> timedelta:
    return timedelta(milliseconds=values[name])


def _read_heartbeat(values: Mapping[str, Any]) -> timedelta:
    heartbeat_ms = float(values.get("heartbeat_ms", 0))
    if heartbeat_ms < 0:
        raise ValueError(f"heartbeat_ms must be at least 0, got {heartbeat_ms:g}")
    return timedelta(milliseconds=heartbeat_ms)


def _read_change_limit(bounds: Mapping[str, Any]) -> timedelta:
    limit_ms = float(bounds.get("config_apply_ms", _DEFAULT_CHANGE_LIMIT_MS))
    if limit_ms <= 0:
        raise ValueError(f"config_apply_ms must be above 0, got {limit_ms:g}")
    return timedelta(milliseconds=limit_ms)


def _read_memory(limits: Mapping[str, Any]) -> int:
    memory_mb = float(limits.get("memory_mb", _DEFAULT_MEMORY_MB))
    if memory_mb <= 0:
        raise ValueError(f"memory_mb must be above 0, got {memory_mb:g}")
    return int(memory_mb * _BYTES_PER_MB)


def _read_max_fds(limits: Mapping[str, Any]) -> int:
    max_fds = int(limits.get("max_fds", _DEFAULT_MAX_FDS))
    if max_fds < _MIN_MAX_FDS:
        raise ValueError(f"max_fds must be at least {_MIN_MAX_FDS}, got {max_fds}")
    return max_fds


def _read_capacity(limits: Mapping[str, Any]) -> float:
    # A share of a core that is so many times as fast as a usual one.
    return float(limits.get("cpu_share", 1.0)) * float(limits.get("cores", 1))
