"""Settings of one router daemon.

Generated from ``schema/settings.toml``.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.settings._specification import Address, KeySpec, SectionSpec
from hibiscustiller.utils import DomainId, RegionId, RouterId


@dataclass(frozen=True)
class RouterSettings:
    """Identity and place of this daemon.

    :param id: name of this router, unique in the fleet.
    :param failure_domain: failure domain of this host.
    :param region: region of this host.
    :param shutdown_lag: time between falling readiness and closing the listener.
    :param log_level: lowest level that is logged.
    """

    id: RouterId
    failure_domain: DomainId
    region: RegionId
    shutdown_lag: timedelta
    log_level: str


@dataclass(frozen=True)
class ListenSettings:
    """Addresses on which this daemon listens.

    :param callers: address for callers.
    :param administration: address for operators.
    :param peers: address for other routers.
    """

    callers: Address
    administration: Address
    peers: Address


@dataclass(frozen=True)
class PeersSettings:
    """Other routers.

    :param seeds: addresses of routers to contact first.
    :param shared_key: key by which routers recognise each other; needed if seeds are given.
    """

    seeds: tuple[Address, ...]
    shared_key: str


@dataclass(frozen=True)
class PlatformSettings:
    """The platform's services.

    :param store: address of the key-value service.
    :param host_list: address of the list of hosts.
    :param timeout: longest wait for an answer.
    """

    store: Address
    host_list: Address
    timeout: timedelta


@dataclass(frozen=True)
class LimitsSettings:
    """Bounds on what callers may use.

    :param max_connections: open connections from callers.
    :param max_header_bytes: bytes of a request's line and headers.
    :param max_body_bytes: bytes of a request's body.
    :param max_bodies_bytes: bytes of all requests that are read or not yet answered; the largest unfinished one of the client that sends most is refused beyond it.
    :param read_timeout: time for a whole request to arrive once its first byte has.
    :param idle_timeout: time a connection may stay open between requests.
    :param write_timeout: time for a caller to take each part of an answer.
    :param next_byte_timeout: silence after which a backend connection is given up.
    """

    max_connections: int
    max_header_bytes: int
    max_body_bytes: int
    max_bodies_bytes: int
    read_timeout: timedelta
    idle_timeout: timedelta
    write_timeout: timedelta
    next_byte_timeout: timedelta


@dataclass(frozen=True)
class MetricsSettings:
    """Where statsd metrics go.

    :param statsd: address of the statsd server; empty for none.
    :param prefix: put before every metric's name.
    """

    statsd: Address | None
    prefix: str


SECTION_SPECS: tuple[SectionSpec, ...] = (
    SectionSpec(
        name="router",
        is_named=False,
        factory=RouterSettings,
        keys=(
            KeySpec(
                name="id",
                kind="str",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="name of this router, unique in the fleet",
            ),
            KeySpec(
                name="failure_domain",
                kind="str",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="failure domain of this host",
            ),
            KeySpec(
                name="region",
                kind="str",
                default="default",
                minimum=None,
                maximum=None,
                choices=(),
                doc="region of this host",
            ),
            KeySpec(
                name="shutdown_lag",
                kind="duration",
                default="5s",
                minimum="0s",
                maximum="10m",
                choices=(),
                doc="time between falling readiness and closing the listener",
            ),
            KeySpec(
                name="log_level",
                kind="choice",
                default="info",
                minimum=None,
                maximum=None,
                choices=(
                    "debug",
                    "info",
                    "warning",
                    "error",
                ),
                doc="lowest level that is logged",
            ),
        ),
    ),
    SectionSpec(
        name="listen",
        is_named=False,
        factory=ListenSettings,
        keys=(
            KeySpec(
                name="callers",
                kind="address",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="address for callers",
            ),
            KeySpec(
                name="administration",
                kind="address",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="address for operators",
            ),
            KeySpec(
                name="peers",
                kind="address",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="address for other routers",
            ),
        ),
    ),
    SectionSpec(
        name="peers",
        is_named=False,
        factory=PeersSettings,
        keys=(
            KeySpec(
                name="seeds",
                kind="addresses",
                default="",
                minimum=None,
                maximum=None,
                choices=(),
                doc="addresses of routers to contact first",
            ),
            KeySpec(
                name="shared_key",
                kind="str",
                default="",
                minimum=None,
                maximum=None,
                choices=(),
                doc="key by which routers recognise each other; needed if seeds are given",
            ),
        ),
    ),
    SectionSpec(
        name="platform",
        is_named=False,
        factory=PlatformSettings,
        keys=(
            KeySpec(
                name="store",
                kind="address",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="address of the key-value service",
            ),
            KeySpec(
                name="host_list",
                kind="address",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="address of the list of hosts",
            ),
            KeySpec(
                name="timeout",
                kind="duration",
                default="2s",
                minimum="10ms",
                maximum="60s",
                choices=(),
                doc="longest wait for an answer",
            ),
        ),
    ),
    SectionSpec(
        name="limits",
        is_named=False,
        factory=LimitsSettings,
        keys=(
            KeySpec(
                name="max_connections",
                kind="int",
                default="2000",
                minimum="1",
                maximum="100000",
                choices=(),
                doc="open connections from callers",
            ),
            KeySpec(
                name="max_header_bytes",
                kind="int",
                default="16384",
                minimum="1024",
                maximum="1048576",
                choices=(),
                doc="bytes of a request's line and headers",
            ),
            KeySpec(
                name="max_body_bytes",
                kind="int",
                default="1048576",
                minimum="1024",
                maximum="67108864",
                choices=(),
                doc="bytes of a request's body",
            ),
            KeySpec(
                name="max_bodies_bytes",
                kind="int",
                default="268435456",
                minimum="65536",
                maximum="17179869184",
                choices=(),
                doc="bytes of all requests that are read or not yet answered; the largest unfinished one of the client that sends most is refused beyond it",
            ),
            KeySpec(
                name="read_timeout",
                kind="duration",
                default="10s",
                minimum="100ms",
                maximum="10m",
                choices=(),
                doc="time for a whole request to arrive once its first byte has",
            ),
            KeySpec(
                name="idle_timeout",
                kind="duration",
                default="60s",
                minimum="100ms",
                maximum="1h",
                choices=(),
                doc="time a connection may stay open between requests",
            ),
            KeySpec(
                name="write_timeout",
                kind="duration",
                default="10s",
                minimum="100ms",
                maximum="10m",
                choices=(),
                doc="time for a caller to take each part of an answer",
            ),
            KeySpec(
                name="next_byte_timeout",
                kind="duration",
                default="1s",
                minimum="50ms",
                maximum="10m",
                choices=(),
                doc="silence after which a backend connection is given up",
            ),
        ),
    ),
    SectionSpec(
        name="metrics",
        is_named=False,
        factory=MetricsSettings,
        keys=(
            KeySpec(
                name="statsd",
                kind="optional_address",
                default="",
                minimum=None,
                maximum=None,
                choices=(),
                doc="address of the statsd server; empty for none",
            ),
            KeySpec(
                name="prefix",
                kind="str",
                default="hibiscustiller",
                minimum=None,
                maximum=None,
                choices=(),
                doc="put before every metric's name",
            ),
        ),
    ),
)
