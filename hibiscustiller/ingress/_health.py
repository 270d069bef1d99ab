"""Detection of unreachable backend servers by opening connections to them.

What a router finds is a finding about its own link to the server. It is believed only
while the router reaches other servers, other routers verify what they are told where
their number allows it, and the end of a process is checked again later.

An engine reports a failed stage only seconds later, when the caller may have
disconnected. A connection attempt gives the answer at once: if the process has ended,
the connection is refused; if the host is down or cut off, the attempt times out.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

import curio

from hibiscustiller.fleet import BackendServer
from hibiscustiller.ingress._answer_ends import AnswerEnds
from hibiscustiller.ingress._refusals import ServerRefusals
from hibiscustiller.ingress._server_reach import (
    Reach,
    ServerReach,
    connect_unstalled,
)
from hibiscustiller.ingress._server_statements import ServerStatements
from hibiscustiller.utils import Clock, RouterId, ServerId, log_event
from hibiscustiller.wire import Connect, open_connection

# Connections take about 2 ms. TCP retransmits a lost packet only after a second, so a
# second attempt is made before a server is considered unreachable.
_CONNECT_TIMEOUT = timedelta(milliseconds=110)
_CONNECT_ATTEMPTS = 2
# A result stays valid for this long, since several streams may stall at the same
# servers.
_RESULT_TTL = timedelta(milliseconds=300)
# Above this number of routers, results stay valid for proportionally longer. All
# routers see the same stall, and the first one that detects the loss of a server
# reports it to the others.
_BASE_ROUTER_COUNT = 20
# A server that another router cannot reach is checked at most once in this time. The
# other router may itself be cut off, and names the server in each of its reports.
_REPORTED_CHECK_PERIOD = timedelta(seconds=2)
_RECHECK_PERIOD = timedelta(milliseconds=500)
# Servers that are connected to in each such period. If one of them is back, all others
# are connected to as well.
_MAX_RECHECKS = 4
# A process that is taken for ended is connected to again after about this time: only
# the link to it may have been lost.
_ENDED_RECHECK_PERIOD = timedelta(seconds=2)
_ENDED_RECHECK_JITTER = 0.5
# For this time after a process turned out to run, a router that reports its end is not
# believed, and again after each further report: its link may be lost for long.
_DISPUTED_TIME = timedelta(seconds=10)


@dataclass
class _Outage:
    """State of a server that cannot be reached.

    :param born: start time of the unreachable process, in Unix milliseconds.
    :param is_ended: whether the process has ended.
    :param has_lost_layers: whether the process has ended and held model layers.
    :param recheck_at: when an ended process is connected to again, on the monotonic
        clock.
    :param reporter: the router that reported the end; None if this router found it.
    """

    born: int
    is_ended: bool
    has_lost_layers: bool
    recheck_at: timedelta = field(default=timedelta(0), compare=False)
    reporter: RouterId | None = field(default=None, compare=False)


@dataclass(frozen=True)
class _PendingCheck:
    """A check that other requests may join.

    :param started_at: when its connection was attempted, on the monotonic clock.
    """

    started_at: timedelta
    done: curio.Event = field(default_factory=curio.Event)


async def _read_nothing(server: BackendServer) -> int | None:
    return None


async def _expect_no_answer(server: BackendServer) -> bool:
    return False


class ServerHealth:
    """Reachability of backend servers, and which of them accept requests.

    :param get_server: returns a server's current entry; None if it is unknown.
    :param on_change: called after a server became unreachable or reachable, with
        whether this router detected the change itself.
    :param count_routers: returns how many routers share their results.
    :param is_replaced: tells whether a later process has the address of a server.
    :param drain: time after which a server that says that it leaves gets no requests.
    :param connect: opens connections to servers.
    :param reach: tells whether this router reaches servers at all; None to believe each
        failed connection.
    :param read_born: asks a server for the start time of its process; returns None if
        it does not tell.
    :param random_state: random numbers for jitter.
    :param ask_process: asks a server whether its process still runs, see
        ``AnswerEnds``.
    """

    def __init__(
        self,
        clock: Clock,
        get_server: Callable[[ServerId], BackendServer | None],
        on_change: Callable[[bool], None],
        count_routers: Callable[[], int] = lambda: 1,
        is_replaced: Callable[[BackendServer], bool] = lambda server: False,
        drain: timedelta = timedelta(0),
        connect: Connect = open_connection,
        reach: ServerReach | None = None,
        read_born: Callable[[BackendServer], Awaitable[int | None]] = _read_nothing,
        random_state: random.Random | None = None,
        ask_process: Callable[[BackendServer], Awaitable[bool]] = _expect_no_answer,
    ) -> None:
        self.answer_ends = AnswerEnds(clock, ask_process)
        self._open_connection = connect
        self._random_state = random_state or random.Random()
        self._read_born = read_born
        self.reach = reach or ServerReach(
            clock,
            self._random_state,
            connect,
            list_servers=tuple,
            has_other_routers=lambda: False,
        )
        # Routers that reach no server, as they say.
        self.cut_off_routers: set[RouterId] = set()
        # Processes that run although a router reported their end, and until when such
        # reports of it are not believed.
        self._disputed_until: dict[tuple[ServerId, int, RouterId], timedelta] = {}
        self._is_replaced = is_replaced
        self._count_routers = count_routers
        self._clock = clock
        self._get_server = get_server
        self._on_change = on_change
        self._outages: dict[ServerId, _Outage] = {}
        # Start times of processes that a connection was opened to, and when.
        self._reached_by_id: dict[ServerId, tuple[int, timedelta]] = {}
        self._checked_at: dict[ServerId, timedelta] = {}
        self._report_checked_at: dict[ServerId, timedelta] = {}
        self._pending_checks: dict[ServerId, _PendingCheck] = {}
        self.refusals = ServerRefusals(clock, get_server, lambda: on_change(True))
        self.statements = ServerStatements(clock, drain, lambda: on_change(True))

    @property
    def is_cut_off(self) -> bool:
        """Whether this router reaches no server at all."""
        return self.reach.is_cut_off

    def record_cut_off(self, router_id: RouterId, is_cut_off: bool) -> None:
        """Record whether another router says that it reaches no server."""
        if is_cut_off:
            self.cut_off_routers.add(router_id)
        else:
            self.cut_off_routers.discard(router_id)

    def is_usable(self, server: BackendServer) -> bool:
        """Tell whether a server can be reached and takes new requests."""
        return (
            self.is_reachable(server)
            and not self.refusals.is_leaving(server)
            and not self.statements.is_leaving(server)
            and not self.statements.is_paused(server)
        )

    def list_leaving(self) -> list[ServerId]:
        """Return the servers that this router itself knows or takes to be leaving."""
        leaving_ids = set(self.refusals.list_leaving())
        for server_id, born in self.statements.list_leaving():
            server = self._get_server(server_id)
            if server is not None and server.born == born:
                leaving_ids.add(server_id)
        return sorted(leaving_ids)

    def is_reachable(self, server: BackendServer) -> bool:
        """Tell whether a server is not known to be unreachable."""
        outage = self._outages.get(server.id)
        # An outage of an earlier process says nothing about a new one with the same id.
        return outage is None or outage.born != server.born

    def has_ended(self, server: BackendServer) -> bool:
        """Tell whether the process of a server is known to have ended."""
        current = self._get_server(server.id)
        if current is not None and current.born > server.born:
            return True
        if self._is_replaced(server):
            return True
        outage = self._outages.get(server.id)
        return outage is not None and outage.born == server.born and outage.is_ended

    def get_reached_at(self, server: BackendServer) -> timedelta | None:
        """Return when this router last found a process to run.

        :returns: time on the monotonic clock; None if it did not.
        """
        born, reached_at = self._reached_by_id.get(server.id, (None, None))
        return reached_at if born == server.born else None

    def record_answered(self, server: BackendServer, answered_at: timedelta) -> None:
        """Record that a process runs, as an event from its pipeline shows."""
        if not self.has_ended(server):
            reached_at = self.get_reached_at(server) or answered_at
            self._reached_by_id[server.id] = (
                server.born,
                max(answered_at, reached_at),
            )

    def is_any_reachable(self, servers: Iterable[BackendServer]) -> bool:
        """Tell whether this router may reach any of some servers."""
        return not self.is_cut_off and any(map(self.is_reachable, servers))

    def list_unreachable(self) -> list[ServerId]:
        """Return the servers that cannot be reached."""
        return [
            server_id
            for server_id in self._outages
            if (server := self._get_server(server_id)) and not self.is_reachable(server)
        ]

    def list_dead(self) -> dict[ServerId, int]:
        """Return the servers that have lost their layers, and their start times.

        Start times are in Unix milliseconds.
        """
        return {
            server_id: outage.born
            for server_id in self.list_unreachable()
            if (outage := self._outages[server_id]).has_lost_layers
        }

    async def record_dead(
        self, reporter: RouterId, server_id: ServerId, born: int
    ) -> None:
        """Handle the report of another router that a server's process has ended.

        A small fleet verifies it by a connection of each router. Hundreds of routers
        believe it and check it later.

        :param reporter: the other router.
        :param born: start time of the process that has ended, in Unix milliseconds.
        """
        server = self._get_server(server_id)
        if server is None or server.born != born or not self.is_reachable(server):
            return
        now = self._clock.monotonic()
        if now < self._disputed_until.get((server_id, born, reporter), timedelta(0)):
            self._dispute_end(server, reporter)
            return
        is_small_fleet = self._count_routers() <= _BASE_ROUTER_COUNT
        if is_small_fleet and not self.reach.is_cut_off:
            # A report names all such servers again and again; one check serves all.
            if server_id not in self._pending_checks:
                await curio.spawn(self._verify_end, server, reporter, daemon=True)
            return
        error = ConnectionRefusedError("connection of another router was refused")
        outage = _Outage(
            server.born, is_ended=True, has_lost_layers=True, reporter=reporter
        )
        self._record_outage(server, outage, error)

    async def _verify_end(self, server: BackendServer, reporter: RouterId) -> None:
        """Check a process that another router reported to have ended."""
        await self._check_server(server, self._clock.monotonic())
        if self.is_reachable(server) and not self.reach.is_cut_off:
            self._dispute_end(server, reporter)

    def _dispute_end(self, server: BackendServer, reporter: RouterId) -> None:
        """Disbelieve a router's reports that a process has ended, for some time."""
        until = self._clock.monotonic() + _DISPUTED_TIME
        self._disputed_until[server.id, server.born, reporter] = until

    async def check(
        self, servers: Iterable[BackendServer], since: timedelta | None = None
    ) -> bool:
        """Connect to the servers for which there is no recent result.

        :param since: time on the monotonic clock; earlier results are not used. It is
            given after a connection broke, since the server may have ended with it.
        :returns: whether all of the servers can be reached.
        """
        servers = list(servers)
        async with curio.TaskGroup() as group:
            for server in servers:
                await group.spawn(self._check_server, server, since)
        return all(self.is_reachable(server) for server in servers)

    async def check_ended(self, server: BackendServer) -> bool:
        """Connect to a server whose connection ended; tell whether it has crashed."""
        await self.check([server], since=self._clock.monotonic())
        return self.has_ended(server)

    async def check_reported(self, server_ids: Iterable[ServerId]) -> None:
        """Check servers that another router reported as unreachable."""
        now = self._clock.monotonic()
        due = []
        for server_id in server_ids:
            server = self._get_server(server_id)
            report_checked_at = self._report_checked_at.get(
                server_id, -_REPORTED_CHECK_PERIOD
            )
            if server is not None and now - report_checked_at >= _REPORTED_CHECK_PERIOD:
                self._report_checked_at[server_id] = now
                due.append(server)
        await self.check(due)

    async def run(self) -> None:
        """Check unreachable servers at regular intervals until cancelled."""
        while True:
            await self._clock.sleep(_RECHECK_PERIOD)
            known_ids = [key for key in self._reached_by_id if self._get_server(key)]
            self._reached_by_id = {key: self._reached_by_id[key] for key in known_ids}
            await self._recheck_outages()

    async def _recheck_outages(self) -> None:
        now = self._clock.monotonic()
        self._disputed_until = {
            process: until
            for process, until in self._disputed_until.items()
            if now < until
        }
        lost_servers, ended_servers = [], []
        for server_id, outage in list(self._outages.items()):
            server = self._get_server(server_id)
            if server is None or self.is_reachable(server):
                del self._outages[server_id]
            elif not outage.has_lost_layers:
                lost_servers.append(server)
            elif now >= outage.recheck_at:
                outage.recheck_at = self._choose_recheck_time()
                ended_servers.append(server)
        # A router that has lost its links to many servers must not flood them.
        count = min(len(lost_servers), _MAX_RECHECKS)
        chosen = self._random_state.sample(lost_servers, count)
        await self.check(chosen)
        if any(self.is_reachable(server) for server in chosen):
            await self.check(lost_servers)
        async with curio.TaskGroup() as group:
            for server in ended_servers:
                await group.spawn(self._recheck_ended, server)

    def _choose_recheck_time(self) -> timedelta:
        jitter = self._random_state.uniform(
            1 - _ENDED_RECHECK_JITTER, 1 + _ENDED_RECHECK_JITTER
        )
        return self._clock.monotonic() + _ENDED_RECHECK_PERIOD * jitter

    async def _recheck_ended(self, server: BackendServer) -> None:
        """Use a server again whose process did not end after all.

        Another process at its address, which has no layers yet, has another start time.
        """
        try:
            await _try_connect(server, self._open_connection, self._clock)
        except OSError as error:
            log_event("recheck_failed", level="debug", server=server.id, reason=error)
            return
        self.reach.record_reached(server.id)
        if await self._read_born(server) != server.born:
            return
        outage = self._outages.get(server.id)
        if outage is not None and outage.born == server.born:
            del self._outages[server.id]
            if outage.reporter is not None:
                self._dispute_end(server, outage.reporter)
            log_event("server_reachable", server=server.id, was_ended=True)
            self._on_change(True)

    async def _check_server(
        self, server: BackendServer, since: timedelta | None = None
    ) -> None:
        while (pending := self._pending_checks.get(server.id)) is not None:
            await pending.done.wait()
            # One that began before tells nothing of what ended since.
            if since is None or pending.started_at >= since:
                return
        now = self._clock.monotonic()
        ttl = _RESULT_TTL * max(1.0, self._count_routers() / _BASE_ROUTER_COUNT)
        oldest = now - ttl if since is None else max(now - ttl, since)
        checked_at = self._checked_at.get(server.id)
        if checked_at is not None and checked_at > oldest:
            return
        if self.reach.is_cut_off:
            # The connection would fail, whatever the state of the server.
            return
        self._pending_checks[server.id] = check = _PendingCheck(now)
        try:
            await self._connect(server)
        finally:
            self._checked_at[server.id] = check.started_at
            del self._pending_checks[server.id]
            await check.done.set()

    async def _connect(self, server: BackendServer) -> None:
        started_at = self._clock.monotonic()
        try:
            await _try_connect(server, self._open_connection, self._clock)
        except OSError as error:
            reach = await self.reach.compare(server, started_at)
            if reach is Reach.NONE:
                return
            # The next process of a plain service needs no state of the lost one.
            has_layers = server.layers.width > 0
            is_ended = reach is Reach.SERVICE and isinstance(
                error, ConnectionRefusedError
            )
            outage = _Outage(server.born, is_ended, is_ended and has_layers)
            self._record_outage(server, outage, error)
            return
        self.reach.record_reached(server.id)
        if not self.has_ended(server):
            self._reached_by_id[server.id] = (server.born, started_at)
        outage = self._outages.get(server.id)
        # A process that has ended has lost its layers, even if its entry still has
        # them.
        if outage is not None and not outage.has_lost_layers:
            del self._outages[server.id]
            log_event("server_reachable", server=server.id)
            self._on_change(True)

    def _record_outage(
        self,
        server: BackendServer,
        outage: _Outage,
        error: OSError,
    ) -> None:
        if self._outages.get(server.id) == outage:
            return
        outage.recheck_at = self._choose_recheck_time()
        self._outages[server.id] = outage
        log_event(
            "server_unreachable",
            level="warning",
            server=server.id,
            is_ended=outage.is_ended,
            is_dead=outage.has_lost_layers,
            reason=error,
        )
        self._on_change(outage.reporter is None)


async def _try_connect(server: BackendServer, connect: Connect, clock: Clock) -> None:
    """Open a connection to a server and close it.

    :raises OSError: if no attempt succeeds.
    """
    for attempt in range(1, _CONNECT_ATTEMPTS + 1):
        try:
            sock = await connect_unstalled(
                connect, server.address, _CONNECT_TIMEOUT, clock
            )
        except TimeoutError:
            if attempt == _CONNECT_ATTEMPTS:
                raise
        else:
            await sock.close()
            return
