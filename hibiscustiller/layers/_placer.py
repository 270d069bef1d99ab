"""Carries out the placement of layers while this router holds the control lease."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import curio

from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.fleet import BackendServer, EngineSpec, LayerRange
from hibiscustiller.layers._placement import plan_layers
from hibiscustiller.leadership import ControlLease, Term
from hibiscustiller.platform import OrderOutcome, order_layers, read_engine_report
from hibiscustiller.utils import Clock, ServerId, log_event
from hibiscustiller.wire import HttpClient

_TICK = timedelta(milliseconds=150)
# Engines register within a second of each other; a plan without the late ones would
# have to be changed at the price of its loads.
_SETTLING_TIME = timedelta(milliseconds=700)
_CALL_TIMEOUT = timedelta(milliseconds=800)
# A domain that cannot be repaired waits for the engines to settle before it is placed
# anew, but not longer: during a release they never do.
_LONGEST_MOVE_DELAY = timedelta(seconds=1.5)
# An engine that is busy, or refused an order, is asked again after this time.
_RETRY_AFTER = timedelta(milliseconds=600)
# A change for speed alone needs this long a time without any other: engines that come
# together are placed together.
_CALM_TIME = timedelta(seconds=1)
# A new plan stops a domain while its layers are loaded, so engines must not have come
# or gone for longer: replacements follow each other within a second or two, and the
# process of an engine that crashed is back after three or four.
_LONG_CALM_TIME = timedelta(seconds=5)
# Time beyond a load's own until the order is taken to be lost.
_ORDER_SLACK = timedelta(seconds=4)


@dataclass(frozen=True)
class _Pending:
    """Layers that an engine was ordered to hold.

    :param until: when the order is taken to be lost.
    """

    layers: LayerRange
    until: timedelta


@dataclass(frozen=True)
class EngineGroup:
    """The engines of one service.

    :param servers: those that can be used.
    """

    spec: EngineSpec
    servers: tuple[BackendServer, ...]


class LayerPlacer:
    """Plans and orders while this router holds the lease.

    :param lease: the control lease.
    :param has_holder: tells whether another router is known to hold it.
    :param is_view_settled: tells whether all servers had the time to be known.
    :param list_groups: returns the engines by service.
    :param get_election_delay: tells how long to wait for a free lease, or None not to
        try for it now; routers have different delays, so that one call is enough.
    """

    def __init__(
        self,
        lease: ControlLease,
        has_holder: Callable[[], bool],
        is_view_settled: Callable[[], bool],
        list_groups: Callable[[], list[EngineGroup]],
        client: HttpClient,
        clock: Clock,
        get_election_delay: Callable[[], timedelta | None],
        renewal_period: timedelta,
    ) -> None:
        self._lease = lease
        self._has_holder = has_holder
        self._is_view_settled = is_view_settled
        self._list_groups = list_groups
        self._client = client
        self._clock = clock
        self._get_election_delay = get_election_delay
        self._renewal_period = renewal_period
        self._is_ending = False
        self._renewed_at = timedelta(0)
        self._free_since: timedelta | None = None
        self._pending: dict[ServerId, _Pending] = {}
        self._known_ids: frozenset[ServerId] = frozenset()
        self._known_since = timedelta(0)
        self._changed_at = timedelta(0)
        # Since when a domain has waited to be placed anew.
        self._move_wanted_since: timedelta | None = None
        # The last question to which the answer was that nothing has to change.
        self._settled_question: object = None

    async def run(self) -> None:
        """Stand for the lease, and place layers while it is held."""
        while not self._is_ending:
            try:
                if self._lease.term is None:
                    await self._stand()
                else:
                    await self._hold(self._lease.term)
            except StoreUnavailableError as error:
                log_event("control_store_failed", level="warning", reason=error)
            await self._clock.sleep(_TICK)

    async def release(self) -> None:
        """Let another router take over at once, and do not stand again."""
        self._is_ending = True
        await self._lease.release()

    async def _stand(self) -> None:
        now = self._clock.monotonic()
        delay = None if self._has_holder() else self._get_election_delay()
        if delay is None:
            self._free_since = None
            return
        if self._free_since is None:
            self._free_since = now
        if now - self._free_since < delay:
            return
        # A failed attempt waits for its turn again.
        self._free_since = None
        if await self._lease.acquire():
            if self._is_ending:
                await self._lease.release()
                return
            self._renewed_at = self._clock.monotonic()
            self._pending.clear()

    async def _hold(self, term: Term) -> None:
        now = self._clock.monotonic()
        if now - self._renewed_at >= self._renewal_period:
            self._renewed_at = now
            if not await self._lease.renew():
                return
        if not self._is_view_settled():
            return
        for group in self._list_groups():
            changes = self._plan(group)
            if changes and self._lease.has_margin(term):
                await self._order_all(term, group, changes)

    def _plan(self, group: EngineGroup) -> dict[ServerId, LayerRange]:
        now = self._clock.monotonic()
        held = self._list_held(group, now)
        is_settled = self._is_settled(group, now)
        if not held and not is_settled:
            return {}
        is_calm = not self._pending and now - self._changed_at >= _CALM_TIME
        may_improve = is_calm and is_settled
        quiet_since = max(self._changed_at, self._known_since)
        may_reshape = may_improve and now - quiet_since >= _LONG_CALM_TIME
        # A plan takes tens of milliseconds in a large fleet, and rarely differs.
        may_move = is_settled or self._has_waited_to_move(now)
        question = (
            group,
            tuple(sorted(held.items())),
            may_move,
            may_improve,
            may_reshape,
        )
        if question == self._settled_question:
            return {}
        changes = plan_layers(
            group.spec,
            group.servers,
            held,
            may_move=may_move,
            may_improve=may_improve,
            may_reshape=may_reshape,
        )
        if may_move:
            self._move_wanted_since = None
        elif self._move_wanted_since is None:
            self._move_wanted_since = now
        if changes:
            self._changed_at = now
        else:
            self._settled_question = question
        return {
            server_id: layers
            for server_id, layers in changes.items()
            if server_id not in self._pending
        }

    def _has_waited_to_move(self, now: timedelta) -> bool:
        since = self._move_wanted_since
        return since is not None and now - since >= _LONGEST_MOVE_DELAY

    def _list_held(
        self, group: EngineGroup, now: timedelta
    ) -> dict[ServerId, LayerRange]:
        """Return what engines hold, or will hold once their orders are done."""
        held = {}
        for server in group.servers:
            pending = self._pending.get(server.id)
            if pending is not None and (
                now >= pending.until or pending.layers == server.layers
            ):
                del self._pending[server.id]
                pending = None
            layers = server.layers if pending is None else pending.layers
            if layers.width:
                held[server.id] = layers
        return held

    def _is_settled(self, group: EngineGroup, now: timedelta) -> bool:
        ids = frozenset(server.id for server in group.servers)
        if ids != self._known_ids:
            self._known_ids = ids
            self._known_since = now
        return bool(ids) and now - self._known_since >= _SETTLING_TIME

    async def _order_all(
        self, term: Term, group: EngineGroup, changes: dict[ServerId, LayerRange]
    ) -> None:
        servers_by_id = {server.id: server for server in group.servers}
        async with curio.TaskGroup() as tasks:
            for server_id, layers in changes.items():
                await tasks.spawn(
                    self._order, term, group.spec, servers_by_id[server_id], layers
                )

    async def _order(
        self, term: Term, spec: EngineSpec, server: BackendServer, layers: LayerRange
    ) -> None:
        now = self._clock.monotonic()
        try:
            report = await read_engine_report(self._client, server, _CALL_TIMEOUT)
        except TransportError as error:
            log_event("engine_report_failed", level="warning", reason=error)
            self._postpone(server, server.layers)
            return
        if report.is_busy or not self._lease.has_margin(term):
            self._postpone(server, report.layers)
            return
        outcome = await order_layers(
            self._client,
            server,
            layers,
            fence=term.fence,
            order_count=report.order_count,
            timeout=_CALL_TIMEOUT,
        )
        log_event(
            "layers_ordered",
            server=server.id,
            kind=server.kind,
            domain=server.domain,
            before=report.layers,
            layers=layers,
            fence=term.fence,
            order_count=report.order_count,
            outcome=outcome,
        )
        if outcome is OrderOutcome.OLD_FENCE:
            self._lease.drop("an engine has seen a newer fence")
        elif outcome in (OrderOutcome.BEGUN, OrderOutcome.DONE):
            load = spec.load_time * (layers.width / spec.layers)
            until = now + load + _ORDER_SLACK
            self._pending[server.id] = _Pending(layers, until)
        else:
            self._postpone(server, report.layers)

    def _postpone(self, server: BackendServer, layers: LayerRange) -> None:
        until = self._clock.monotonic() + _RETRY_AFTER
        self._pending[server.id] = _Pending(layers, until)
