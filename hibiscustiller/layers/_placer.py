"""Execution of layer placement by the router that holds the control lease."""

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

_POLL_PERIOD = timedelta(milliseconds=150)
# Minimum time without a change in membership before a first plan, a rebuild or a change
# that only raises the rate. Engines register within a second of each other, and a plan
# made without the late ones would have to be replaced at the cost of further loads.
_MIN_MEMBERSHIP_AGE = timedelta(milliseconds=700)
_CALL_TIMEOUT = timedelta(milliseconds=800)
# A domain that unused engines cannot repair gets a new plan once membership is stable,
# and at the latest after this delay: during a rolling release it is never stable.
_MAX_REBUILD_DELAY = timedelta(seconds=1.5)
# Delay before the next order to an engine that was busy, refused or did not answer.
_RETRY_DELAY = timedelta(milliseconds=600)
# Minimum time since the last change before a change that only raises the rate, so that
# engines that join together are planned together.
_MIN_TIME_BEFORE_IMPROVING = timedelta(seconds=1)
# Minimum time since the last change of layers or membership before a new plan for a
# domain that only raises the rate. Such a plan stops the domain while layers load, so
# this time is longer: replacements follow each other within a second or two, and the
# process of a crashed engine restarts within three or four.
_MIN_TIME_BEFORE_REPLANNING = timedelta(seconds=5)
# Time beyond the expected load time after which an order is presumed lost.
_ORDER_TIMEOUT_MARGIN = timedelta(seconds=4)


@dataclass(frozen=True)
class _ExpectedLayers:
    """The layers that an engine is expected to hold, and for how long.

    :param until: monotonic time at which the entry expires: the order is presumed
        lost, or the engine may be asked again.
    """

    layers: LayerRange
    until: timedelta


@dataclass(frozen=True)
class EngineGroup:
    """The engines of one service.

    :param servers: the usable engines.
    """

    spec: EngineSpec
    servers: tuple[BackendServer, ...]


class LayerPlacer:
    """Plans layers and sends orders to engines while this router holds the lease.

    :param lease: the control lease.
    :param has_lease_holder: returns whether another router is known to hold the lease.
    :param is_view_settled: returns whether all servers have had time to be discovered.
    :param list_groups: returns the engines of each service.
    :param get_election_delay: returns how long the lease must have been free before
        this router tries to acquire it; None to make no attempt. Delays differ between
        routers, so that usually a single call to the store suffices.
    :param renewal_period: time between renewals of the lease.
    :param can_reach_engines: returns whether orders can be sent; otherwise the lease is
        left to another router.
    """

    def __init__(
        self,
        lease: ControlLease,
        has_lease_holder: Callable[[], bool],
        is_view_settled: Callable[[], bool],
        list_groups: Callable[[], list[EngineGroup]],
        client: HttpClient,
        clock: Clock,
        get_election_delay: Callable[[], timedelta | None],
        renewal_period: timedelta,
        can_reach_engines: Callable[[], bool] = lambda: True,
    ) -> None:
        self._can_reach_engines = can_reach_engines
        self._lease = lease
        self._has_lease_holder = has_lease_holder
        self._is_view_settled = is_view_settled
        self._list_groups = list_groups
        self._client = client
        self._clock = clock
        self._get_election_delay = get_election_delay
        self._renewal_period = renewal_period
        self._is_stopping = False
        self._renewed_at = timedelta(0)
        self._lease_free_since: timedelta | None = None
        self._expected_by_id: dict[ServerId, _ExpectedLayers] = {}
        self._member_ids: frozenset[ServerId] = frozenset()
        self._membership_since = timedelta(0)
        self._last_change_at = timedelta(0)
        # Time since which a new plan has been held back by unstable membership.
        self._rebuild_deferred_since: timedelta | None = None
        # The last inputs for which the plan contained no changes.
        self._last_inputs_without_changes: object = None

    async def run(self) -> None:
        """Try to acquire the lease, and place layers while it is held."""
        while not self._is_stopping:
            try:
                if self._lease.term is None:
                    await self._try_acquire()
                elif not self._can_reach_engines():
                    await self._lease.release()
                else:
                    await self._renew_and_place(self._lease.term)
            except StoreUnavailableError as error:
                log_event("control_store_failed", level="warning", reason=error)
            await self._clock.sleep(_POLL_PERIOD)

    async def release(self) -> None:
        """Release the lease for another router, and make no further attempts."""
        self._is_stopping = True
        await self._lease.release()

    async def _try_acquire(self) -> None:
        now = self._clock.monotonic()
        delay = None if self._has_lease_holder() else self._get_election_delay()
        if delay is None:
            self._lease_free_since = None
            return
        if self._lease_free_since is None:
            self._lease_free_since = now
        if now - self._lease_free_since < delay:
            return
        # After a failed attempt, the full delay applies again.
        self._lease_free_since = None
        if await self._lease.acquire():
            if self._is_stopping:
                await self._lease.release()
                return
            self._renewed_at = self._clock.monotonic()
            self._expected_by_id.clear()

    async def _renew_and_place(self, term: Term) -> None:
        now = self._clock.monotonic()
        if now - self._renewed_at >= self._renewal_period:
            self._renewed_at = now
            if not await self._lease.renew():
                return
        if not self._is_view_settled():
            return
        for group in self._list_groups():
            changes = self._plan_changes(group)
            if changes and self._lease.has_margin(term):
                await self._send_orders(term, group, changes)

    def _plan_changes(self, group: EngineGroup) -> dict[ServerId, LayerRange]:
        now = self._clock.monotonic()
        held = self._list_held_or_ordered(group, now)
        is_membership_stable = self._is_membership_stable(group, now)
        if not held and not is_membership_stable:
            return {}
        is_stable = (
            not self._expected_by_id
            and now - self._last_change_at >= _MIN_TIME_BEFORE_IMPROVING
        )
        may_improve = is_stable and is_membership_stable
        stable_since = max(self._last_change_at, self._membership_since)
        may_replan = may_improve and now - stable_since >= _MIN_TIME_BEFORE_REPLANNING
        # Planning takes tens of milliseconds in a large fleet and rarely finds changes,
        # so it is skipped while its inputs are the same.
        may_rebuild = is_membership_stable or self._is_rebuild_overdue(now)
        inputs = (
            group,
            tuple(sorted(held.items())),
            may_rebuild,
            may_improve,
            may_replan,
        )
        if inputs == self._last_inputs_without_changes:
            return {}
        changes = plan_layers(
            group.spec,
            group.servers,
            held,
            may_rebuild=may_rebuild,
            may_improve=may_improve,
            may_replan=may_replan,
        )
        if may_rebuild:
            self._rebuild_deferred_since = None
        elif self._rebuild_deferred_since is None:
            self._rebuild_deferred_since = now
        if changes:
            self._last_change_at = now
        else:
            self._last_inputs_without_changes = inputs
        return {
            server_id: layers
            for server_id, layers in changes.items()
            if server_id not in self._expected_by_id
        }

    def _is_rebuild_overdue(self, now: timedelta) -> bool:
        since = self._rebuild_deferred_since
        return since is not None and now - since >= _MAX_REBUILD_DELAY

    def _list_held_or_ordered(
        self, group: EngineGroup, now: timedelta
    ) -> dict[ServerId, LayerRange]:
        """Return the layers that engines hold, or will hold once orders complete."""
        held = {}
        for server in group.servers:
            expected = self._expected_by_id.get(server.id)
            if expected is not None and (
                now >= expected.until or expected.layers == server.layers
            ):
                del self._expected_by_id[server.id]
                expected = None
            layers = server.layers if expected is None else expected.layers
            if layers.width:
                held[server.id] = layers
        return held

    def _is_membership_stable(self, group: EngineGroup, now: timedelta) -> bool:
        server_ids = frozenset(server.id for server in group.servers)
        if server_ids != self._member_ids:
            self._member_ids = server_ids
            self._membership_since = now
        return bool(server_ids) and now - self._membership_since >= _MIN_MEMBERSHIP_AGE

    async def _send_orders(
        self, term: Term, group: EngineGroup, changes: dict[ServerId, LayerRange]
    ) -> None:
        servers_by_id = {server.id: server for server in group.servers}
        async with curio.TaskGroup() as tasks:
            for server_id, layers in changes.items():
                await tasks.spawn(
                    self._send_order, term, group.spec, servers_by_id[server_id], layers
                )

    async def _send_order(
        self, term: Term, spec: EngineSpec, server: BackendServer, layers: LayerRange
    ) -> None:
        now = self._clock.monotonic()
        try:
            report = await read_engine_report(self._client, server, _CALL_TIMEOUT)
        except TransportError as error:
            log_event("engine_report_failed", level="warning", reason=error)
            self._schedule_retry(server, server.layers)
            return
        if report.is_busy or not self._lease.has_margin(term):
            self._schedule_retry(server, report.layers)
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
            until = now + load + _ORDER_TIMEOUT_MARGIN
            self._expected_by_id[server.id] = _ExpectedLayers(layers, until)
        else:
            self._schedule_retry(server, report.layers)

    def _schedule_retry(self, server: BackendServer, layers: LayerRange) -> None:
        until = self._clock.monotonic() + _RETRY_DELAY
        self._expected_by_id[server.id] = _ExpectedLayers(layers, until)
