"""Selection of the servers whose engine state the lease holder reads in a pass.

Servers whose part of the configuration document changed are read at once. The others
are read in turn at a bounded rate in bytes per second, so that the traffic for control
does not grow with the fleet.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.configuration import FleetConfig, ServerConfig
from hibiscustiller.control._commands import EngineState
from hibiscustiller.utils import Clock, ServerId

# Period of the passes, and the minimum time between two regular reads of one server. At
# engines that do not check fences, a late command of an earlier holder can stay in
# force for this long, and for longer in a large fleet.
SWEEP_PERIOD = timedelta(seconds=5)
# Passes do not start at exact times. Without this tolerance, a server that becomes due
# shortly after the start of a pass would wait for the next one.
_PASS_START_TOLERANCE = timedelta(seconds=1)
# Rate limit for the reads of unchanged servers, both directions counted. A daemon may
# use 7 KB/s for control; this leaves 4 KB/s for membership, configuration, usage and
# load reports.
SWEEP_BYTES_PER_SECOND = 3000
# Size of the request's and the response's HTTP headers for ``GET /v1/state``, without
# TCP and IP headers. Engines add some headers of their own, so this is more than the
# 140 bytes of the benchmark's responder.
READ_HEADER_BYTES = 200
# Response size assumed for a server that has not been read yet. The response of an
# engine with two adapters has about 150 bytes.
_ASSUMED_BODY_BYTES = 150
# A changed server that does not respond is read in this many passes regardless of the
# rate limit, which is enough to replace a broken connection. After that it is read in
# turn, so that an unreachable fleet does not exceed the rate limit.
_MAX_FAILED_READS = 3


@dataclass
class _ReadRecord:
    """Record of the reads of one server.

    :param desired: state that the document required at the last read.
    :param read_at: monotonic time of the last attempt to read; None before the first.
    :param read_bytes: size of the last read in bytes, headers included.
    :param failed_count: number of consecutive reads without a valid response since
        ``desired`` changed.
    """

    desired: object = None
    read_at: timedelta | None = None
    read_bytes: int = READ_HEADER_BYTES + _ASSUMED_BODY_BYTES
    failed_count: int = 0

    def is_due(self, desired: object) -> bool:
        """Return whether the server must be read now regardless of the rate limit."""
        if self.read_at is None or desired != self.desired:
            return True
        return 0 < self.failed_count < _MAX_FAILED_READS


class StateSweep:
    """Selects the servers to read and keeps their last known states.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records_by_server: dict[ServerId, _ReadRecord] = {}
        self._byte_budget = 0.0
        self._budget_updated_at: timedelta | None = None
        self.states_by_server: dict[ServerId, EngineState] = {}

    def discard_all(self) -> None:
        """Discard all states, since another holder may have changed the engines."""
        self._records_by_server.clear()
        self.states_by_server.clear()

    def select_servers(
        self, config: FleetConfig, pending: Collection[ServerId]
    ) -> list[ServerConfig]:
        """Select the servers to read in this pass.

        :param config: configuration document in force.
        :param pending: servers that are sent a command again if they still need it.
            They are read regardless of the rate limit.
        :returns: the servers that must be read, then those that are read in turn.
        """
        self._discard_removed_servers(config)
        self._refill_byte_budget()
        selected, others = [], []
        for server in config.servers_by_id.values():
            record = self._records_by_server.setdefault(server.name, _ReadRecord())
            is_due = record.is_due(_get_desired_state(config, server))
            if is_due or server.name in pending:
                selected.append(server)
            else:
                others.append(server)
        return selected + self._select_least_recent(others)

    def record_read(
        self,
        config: FleetConfig,
        server: ServerConfig,
        state: EngineState | None,
        body_bytes: int,
    ) -> None:
        """Record the result of a read.

        :param config: configuration document that the read was made for.
        :param server: the server that was read.
        :param state: the engine's state; None if there was no valid response.
        :param body_bytes: size of the response body in bytes.
        """
        record = self._records_by_server.setdefault(server.name, _ReadRecord())
        desired = _get_desired_state(config, server)
        if desired != record.desired:
            record.failed_count = 0
        record.desired = desired
        record.read_at = self._clock.monotonic()
        record.read_bytes = READ_HEADER_BYTES + body_bytes
        if state is None:
            record.failed_count += 1
            self.states_by_server.pop(server.name, None)
        else:
            record.failed_count = 0
            self.states_by_server[server.name] = state

    def _select_least_recent(self, servers: list[ServerConfig]) -> list[ServerConfig]:
        """Select the servers read least recently, within the byte budget."""
        now = self._clock.monotonic()
        records_by_server = self._records_by_server
        affordable = []
        for server in sorted(servers, key=lambda s: records_by_server[s.name].read_at):
            record = records_by_server[server.name]
            is_due = now - record.read_at >= SWEEP_PERIOD - _PASS_START_TOLERANCE
            if not is_due or self._byte_budget < record.read_bytes:
                break
            self._byte_budget -= record.read_bytes
            affordable.append(server)
        return affordable

    def _refill_byte_budget(self) -> None:
        """Add the bytes that the rate limit permits since the last pass.

        The budget is capped at the bytes of one pass plus one read. The cap prevents a
        burst after the process was paused, and the largest engine state still fits.
        """
        now = self._clock.monotonic()
        if self._budget_updated_at is not None:
            elapsed = (now - self._budget_updated_at).total_seconds()
            self._byte_budget += elapsed * SWEEP_BYTES_PER_SECOND
        self._budget_updated_at = now
        sizes = [record.read_bytes for record in self._records_by_server.values()]
        bytes_per_pass = SWEEP_PERIOD.total_seconds() * SWEEP_BYTES_PER_SECOND
        self._byte_budget = min(
            self._byte_budget, bytes_per_pass + max(sizes, default=0)
        )

    def _discard_removed_servers(self, config: FleetConfig) -> None:
        for server in self._records_by_server.keys() - config.servers_by_id.keys():
            del self._records_by_server[server]
            self.states_by_server.pop(server, None)


def compute_sweep_period(server_count: int, read_bytes: int) -> timedelta:
    """Compute the time in which every unchanged server is read once.

    A pass makes complete reads only, and the next pass can use the bytes that remain.

    :param server_count: number of servers in the fleet.
    :param read_bytes: size of one read in bytes, headers included.
    :returns: a multiple of :data:`SWEEP_PERIOD`.
    """
    period_seconds = SWEEP_PERIOD.total_seconds()
    passes = server_count * read_bytes / (SWEEP_BYTES_PER_SECOND * period_seconds)
    return SWEEP_PERIOD * max(1, math.ceil(passes))


def _get_desired_state(config: FleetConfig, server: ServerConfig) -> tuple[object, ...]:
    """Return the parts of the document that affect a server's state or address."""
    model = config.models_by_name.get(server.model)
    model_fields = model and (model.name, model.version, model.adapters)
    return (server.address, server.role, server.state, model_fields)
