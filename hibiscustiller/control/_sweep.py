"""Which engines' states the control holder reads in a pass.

Servers whose part of the document changed are read at once. The others are read in
turn at a bounded rate of bytes, so the cost of control does not grow with the fleet.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.configuration import FleetConfig, ServerConfig
from hibiscustiller.control._commands import EngineState
from hibiscustiller.utils import Clock, ServerId

# A server is read at most this often in turn. At engines that do not check fences,
# this is the shortest window in which a late command stays in force.
SWEEP_PERIOD = timedelta(seconds=5)
# Passes do not begin at exact times; without this, a server that was due a moment after
# the begin of a pass would wait for another one.
_SLACK = timedelta(seconds=1)
# Reads of unchanged servers, in both directions. A daemon may use 7 KB/s for control;
# this leaves 4 KB/s for membership, configuration, usage and load reports.
SWEEP_BYTES_PER_SECOND = 3000
# Heads of the request and of the answer of ``GET /v1/state``, without TCP and IP.
# Engines add some headers, so this is above the 140 bytes of the benchmark's responder.
READ_HEADER_BYTES = 200
# Size assumed for a server that has not been read. An engine with two adapters answers
# with about 150 bytes.
_FIRST_BODY_BYTES = 150
# A changed server that does not answer is read in this many passes without regard to
# the rate, which covers a broken connection. After that it waits for its turn, so that
# a fleet that cannot be reached does not exceed the rate.
_MAX_FAILED_READS = 3


@dataclass
class _ServerReads:
    """What is known of one server's reads.

    :param wanted: what the document asked of the server when it was last read.
    :param read_at: monotonic time of the last attempt.
    :param cost: bytes of the last read.
    :param failed_count: reads without a valid answer since ``wanted`` changed.
    """

    wanted: object = None
    read_at: timedelta | None = None
    cost: int = READ_HEADER_BYTES + _FIRST_BODY_BYTES
    failed_count: int = 0

    def is_due(self, wanted: object) -> bool:
        """Tell whether the server must be read now whatever the rate."""
        if self.read_at is None or wanted != self.wanted:
            return True
        return 0 < self.failed_count < _MAX_FAILED_READS


class StateSweep:
    """Chooses the servers to read and keeps their last known states.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reads_by_server: dict[ServerId, _ServerReads] = {}
        self._allowance = 0.0
        self._allowed_at: timedelta | None = None
        self.states_by_server: dict[ServerId, EngineState] = {}

    def clear(self) -> None:
        """Forget all states, since another holder may have changed them."""
        self._reads_by_server.clear()
        self.states_by_server.clear()

    def select_servers(
        self, config: FleetConfig, pending: Collection[ServerId]
    ) -> list[ServerConfig]:
        """Choose the servers to read now.

        :param pending: servers that are to be sent a command again if they still need
            it; they are read whatever the rate.
        """
        self._forget_removed(config)
        self._add_allowance()
        chosen, others = [], []
        for server in config.servers_by_id.values():
            reads = self._reads_by_server.setdefault(server.name, _ServerReads())
            is_due = reads.is_due(_describe_wanted(config, server))
            if is_due or server.name in pending:
                chosen.append(server)
            else:
                others.append(server)
        return chosen + self._select_least_recent(others)

    def record_read(
        self,
        config: FleetConfig,
        server: ServerConfig,
        state: EngineState | None,
        body_bytes: int,
    ) -> None:
        """Record a read.

        :param state: None if there was no valid answer.
        :param body_bytes: size of the answer's body.
        """
        reads = self._reads_by_server.setdefault(server.name, _ServerReads())
        wanted = _describe_wanted(config, server)
        if wanted != reads.wanted:
            reads.failed_count = 0
        reads.wanted = wanted
        reads.read_at = self._clock.monotonic()
        reads.cost = READ_HEADER_BYTES + body_bytes
        if state is None:
            reads.failed_count += 1
            self.states_by_server.pop(server.name, None)
        else:
            reads.failed_count = 0
            self.states_by_server[server.name] = state

    def _select_least_recent(self, servers: list[ServerConfig]) -> list[ServerConfig]:
        """Choose those read longest ago, as far as the rate permits."""
        now = self._clock.monotonic()
        reads_by_server = self._reads_by_server
        taken = []
        for server in sorted(servers, key=lambda s: reads_by_server[s.name].read_at):
            reads = reads_by_server[server.name]
            is_due = now - reads.read_at >= SWEEP_PERIOD - _SLACK
            if not is_due or self._allowance < reads.cost:
                break
            self._allowance -= reads.cost
            taken.append(server)
        return taken

    def _add_allowance(self) -> None:
        """Add what the rate permits since the last pass.

        At most one pass's share and one read are kept, so that a holder that was
        paused causes no burst, and the largest state of an engine still fits.
        """
        now = self._clock.monotonic()
        if self._allowed_at is not None:
            elapsed = (now - self._allowed_at).total_seconds()
            self._allowance += elapsed * SWEEP_BYTES_PER_SECOND
        self._allowed_at = now
        costs = [reads.cost for reads in self._reads_by_server.values()]
        share = SWEEP_PERIOD.total_seconds() * SWEEP_BYTES_PER_SECOND
        self._allowance = min(self._allowance, share + max(costs, default=0))

    def _forget_removed(self, config: FleetConfig) -> None:
        for server in self._reads_by_server.keys() - config.servers_by_id.keys():
            del self._reads_by_server[server]
            self.states_by_server.pop(server, None)


def compute_sweep_period(server_count: int, read_bytes: int) -> timedelta:
    """Return the time in which every unchanged server is read once.

    A pass reads whole servers, and what remains of its bytes is kept for the next.

    :param read_bytes: bytes of one read, heads included.
    """
    period_seconds = SWEEP_PERIOD.total_seconds()
    passes = server_count * read_bytes / (SWEEP_BYTES_PER_SECOND * period_seconds)
    return SWEEP_PERIOD * max(1, math.ceil(passes))


def _describe_wanted(config: FleetConfig, server: ServerConfig) -> tuple[object, ...]:
    """Return all that the document says of what a server holds and where it is."""
    model = config.models_by_name.get(server.model)
    held = model and (model.name, model.version, model.adapters)
    return (server.address, server.role, server.state, held)
