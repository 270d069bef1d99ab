"""Sections of the operators' document.

Generated from ``schema/document.toml``.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.settings._specification import Address, KeySpec, SectionSpec
from hibiscustiller.utils import (
    ClassName,
    DomainId,
    ModelName,
    OrganisationId,
    RegionId,
    ServerId,
    ServiceName,
    TeamId,
)


@dataclass(frozen=True)
class TeamConfig:
    """A team of operators and the sections it owns.

    :param name: the section's name.
    :param key_sha256: SHA-256 of the team's key, in hexadecimal.
    :param owns: patterns of section headings, such as 'organisation carnbeg-*'.
    """

    name: TeamId
    key_sha256: str
    owns: tuple[str, ...]


@dataclass(frozen=True)
class ModelConfig:
    """A model and how its engines hold it.

    :param name: the section's name.
    :param layers: number of layers.
    :param version: version to serve.
    :param adapters: adapters that the engines load.
    :param max_tokens: longest answer, in tokens.
    :param kv_bytes_per_token: size of the KV cache of all layers, in bytes a token.
    :param load_time: time the weight store needs to deliver one server's weights.
    """

    name: ModelName
    layers: int
    version: str
    adapters: tuple[str, ...]
    max_tokens: int
    kv_bytes_per_token: int
    load_time: timedelta


@dataclass(frozen=True)
class ClassConfig:
    """A priority class.

    :param name: the section's name.
    :param rank: 0 is the most urgent.
    :param first_token_target: time to the first token that the class aims for.
    :param deadline: longest wait for the first token; a request that would wait longer is refused; set it below the target where late answers are of no use.
    :param floor: share of service kept for the class while it has a backlog.
    :param preemptible: whether more urgent work may interrupt this class.
    :param queue_limit: requests that may wait at one router.
    """

    name: ClassName
    rank: int
    first_token_target: timedelta
    deadline: timedelta
    floor: float
    preemptible: bool
    queue_limit: int


@dataclass(frozen=True)
class OrganisationConfig:
    """An organisation whose callers use the router.

    :param name: the section's name.
    :param key_sha256: SHA-256 of the organisation's key, in hexadecimal.
    :param priority_class: class of requests that ask for no other.
    :param weight: share of service relative to other organisations.
    :param models: patterns of models that it may use.
    :param services: patterns of plain services that it may use.
    """

    name: OrganisationId
    key_sha256: str
    priority_class: ClassName
    weight: float
    models: tuple[str, ...]
    services: tuple[str, ...]


@dataclass(frozen=True)
class ServerConfig:
    """A backend server: one engine that holds a range of a model's layers.

    :param name: the section's name.
    :param address: IP number and port.
    :param failure_domain: failure domain of its host.
    :param region: region of its host.
    :param accelerator: kind of accelerator.
    :param model: model that it holds.
    :param first_layer: first layer that it holds.
    :param last_layer: layer after the last that it holds.
    :param token_time: expected time a token when lightly loaded.
    :param streams: streams that it runs at once without slowing below its pace.
    :param role: work that it is set up for.
    :param checks_fence: whether it refuses orders that carry an old fencing number.
    :param state: a draining server gets no new work.
    """

    name: ServerId
    address: Address
    failure_domain: DomainId
    region: RegionId
    accelerator: str
    model: ModelName
    first_layer: int
    last_layer: int
    token_time: timedelta
    streams: int
    role: str
    checks_fence: bool
    state: str


@dataclass(frozen=True)
class ServiceConfig:
    """A plain service beside the engines.

    :param name: the section's name.
    :param addresses: addresses of its replicas.
    :param non_idempotent: patterns of 'METHOD path' that must run at most once.
    :param timeout: longest wait for a replica's answer.
    """

    name: ServiceName
    addresses: tuple[Address, ...]
    non_idempotent: tuple[str, ...]
    timeout: timedelta


@dataclass(frozen=True)
class LinkConfig:
    """A link, named by the two failure domains that it joins, in either order.

    :param name: the section's name.
    :param delay: one-way delay.
    :param bytes_per_second: bandwidth.
    """

    name: str
    delay: timedelta
    bytes_per_second: float


SECTION_SPECS: tuple[SectionSpec, ...] = (
    SectionSpec(
        name="team",
        is_named=True,
        factory=TeamConfig,
        keys=(
            KeySpec(
                name="key_sha256",
                kind="digest",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="SHA-256 of the team's key, in hexadecimal",
            ),
            KeySpec(
                name="owns",
                kind="strs",
                default="",
                minimum=None,
                maximum=None,
                choices=(),
                doc="patterns of section headings, such as 'organisation carnbeg-*'",
            ),
        ),
    ),
    SectionSpec(
        name="model",
        is_named=True,
        factory=ModelConfig,
        keys=(
            KeySpec(
                name="layers",
                kind="int",
                default=None,
                minimum="1",
                maximum="10000",
                choices=(),
                doc="number of layers",
            ),
            KeySpec(
                name="version",
                kind="str",
                default="1",
                minimum=None,
                maximum=None,
                choices=(),
                doc="version to serve",
            ),
            KeySpec(
                name="adapters",
                kind="strs",
                default="",
                minimum=None,
                maximum=None,
                choices=(),
                doc="adapters that the engines load",
            ),
            KeySpec(
                name="max_tokens",
                kind="int",
                default="4096",
                minimum="1",
                maximum="1000000",
                choices=(),
                doc="longest answer, in tokens",
            ),
            KeySpec(
                name="kv_bytes_per_token",
                kind="int",
                default="131072",
                minimum="1",
                maximum="1000000000",
                choices=(),
                doc="size of the KV cache of all layers, in bytes a token",
            ),
            KeySpec(
                name="load_time",
                kind="duration",
                default="30s",
                minimum="0s",
                maximum="24h",
                choices=(),
                doc="time the weight store needs to deliver one server's weights",
            ),
        ),
    ),
    SectionSpec(
        name="class",
        is_named=True,
        factory=ClassConfig,
        keys=(
            KeySpec(
                name="rank",
                kind="int",
                default=None,
                minimum="0",
                maximum="9",
                choices=(),
                doc="0 is the most urgent",
            ),
            KeySpec(
                name="first_token_target",
                kind="duration",
                default="850ms",
                minimum="1ms",
                maximum="24h",
                choices=(),
                doc="time to the first token that the class aims for",
            ),
            KeySpec(
                name="deadline",
                kind="duration",
                default="30s",
                minimum="1ms",
                maximum="24h",
                choices=(),
                doc="longest wait for the first token; a request that would wait longer is refused; set it below the target where late answers are of no use",
            ),
            KeySpec(
                name="floor",
                kind="float",
                default="0",
                minimum="0",
                maximum="1",
                choices=(),
                doc="share of service kept for the class while it has a backlog",
            ),
            KeySpec(
                name="preemptible",
                kind="bool",
                default="false",
                minimum=None,
                maximum=None,
                choices=(),
                doc="whether more urgent work may interrupt this class",
            ),
            KeySpec(
                name="queue_limit",
                kind="int",
                default="1000",
                minimum="1",
                maximum="1000000",
                choices=(),
                doc="requests that may wait at one router",
            ),
        ),
    ),
    SectionSpec(
        name="organisation",
        is_named=True,
        factory=OrganisationConfig,
        keys=(
            KeySpec(
                name="key_sha256",
                kind="digest",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="SHA-256 of the organisation's key, in hexadecimal",
            ),
            KeySpec(
                name="priority_class",
                kind="str",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="class of requests that ask for no other",
            ),
            KeySpec(
                name="weight",
                kind="float",
                default="1",
                minimum="0.01",
                maximum="1000",
                choices=(),
                doc="share of service relative to other organisations",
            ),
            KeySpec(
                name="models",
                kind="strs",
                default="*",
                minimum=None,
                maximum=None,
                choices=(),
                doc="patterns of models that it may use",
            ),
            KeySpec(
                name="services",
                kind="strs",
                default="*",
                minimum=None,
                maximum=None,
                choices=(),
                doc="patterns of plain services that it may use",
            ),
        ),
    ),
    SectionSpec(
        name="server",
        is_named=True,
        factory=ServerConfig,
        keys=(
            KeySpec(
                name="address",
                kind="address",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="IP number and port",
            ),
            KeySpec(
                name="failure_domain",
                kind="str",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="failure domain of its host",
            ),
            KeySpec(
                name="region",
                kind="str",
                default="default",
                minimum=None,
                maximum=None,
                choices=(),
                doc="region of its host",
            ),
            KeySpec(
                name="accelerator",
                kind="str",
                default="standard",
                minimum=None,
                maximum=None,
                choices=(),
                doc="kind of accelerator",
            ),
            KeySpec(
                name="model",
                kind="str",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="model that it holds",
            ),
            KeySpec(
                name="first_layer",
                kind="int",
                default=None,
                minimum="0",
                maximum="9999",
                choices=(),
                doc="first layer that it holds",
            ),
            KeySpec(
                name="last_layer",
                kind="int",
                default=None,
                minimum="1",
                maximum="10000",
                choices=(),
                doc="layer after the last that it holds",
            ),
            KeySpec(
                name="token_time",
                kind="duration",
                default="10ms",
                minimum="1us",
                maximum="60s",
                choices=(),
                doc="expected time a token when lightly loaded",
            ),
            KeySpec(
                name="streams",
                kind="int",
                default="16",
                minimum="1",
                maximum="100000",
                choices=(),
                doc="streams that it runs at once without slowing below its pace",
            ),
            KeySpec(
                name="role",
                kind="choice",
                default="mixed",
                minimum=None,
                maximum=None,
                choices=(
                    "mixed",
                    "prefill",
                    "decode",
                ),
                doc="work that it is set up for",
            ),
            KeySpec(
                name="checks_fence",
                kind="bool",
                default="false",
                minimum=None,
                maximum=None,
                choices=(),
                doc="whether it refuses orders that carry an old fencing number",
            ),
            KeySpec(
                name="state",
                kind="choice",
                default="serving",
                minimum=None,
                maximum=None,
                choices=(
                    "serving",
                    "draining",
                ),
                doc="a draining server gets no new work",
            ),
        ),
    ),
    SectionSpec(
        name="service",
        is_named=True,
        factory=ServiceConfig,
        keys=(
            KeySpec(
                name="addresses",
                kind="addresses",
                default=None,
                minimum=None,
                maximum=None,
                choices=(),
                doc="addresses of its replicas",
            ),
            KeySpec(
                name="non_idempotent",
                kind="strs",
                default="POST *",
                minimum=None,
                maximum=None,
                choices=(),
                doc="patterns of 'METHOD path' that must run at most once",
            ),
            KeySpec(
                name="timeout",
                kind="duration",
                default="5s",
                minimum="10ms",
                maximum="10m",
                choices=(),
                doc="longest wait for a replica's answer",
            ),
        ),
    ),
    SectionSpec(
        name="link",
        is_named=True,
        factory=LinkConfig,
        keys=(
            KeySpec(
                name="delay",
                kind="duration",
                default="500us",
                minimum="1us",
                maximum="10s",
                choices=(),
                doc="one-way delay",
            ),
            KeySpec(
                name="bytes_per_second",
                kind="float",
                default="1e9",
                minimum="1",
                maximum="1e15",
                choices=(),
                doc="bandwidth",
            ),
        ),
    ),
)
