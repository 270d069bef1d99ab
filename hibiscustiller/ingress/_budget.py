"""The retry budget of each service, shared by all routers.

The platform allows a number of retries in a window, over all routers together; a retry
sends a request to a second server. A loss of engines affects some routers more than
others, so equal shares would leave most of the budget unused. The share of a router
therefore grows with its own requests, and one router, the coordinator, grants the rest
on request.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from hibiscustiller.discovery import FleetView
from hibiscustiller.fleet import HostSettings
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, Metrics, RouterId, ServiceName
from hibiscustiller.wire import DatagramSocket, PendingRequests
from hibiscustiller.wire._messages_generated import RepeatAnswer, RepeatRequest

# The remainder covers requests that the platform counts in a different window.
_USABLE_SHARE = 0.8
# Share of the slack that is divided among the routers. They can use it when the
# coordinator is unreachable.
_DIVIDED_SHARE = 0.15
# Share of the slack that the coordinator grants.
_COORDINATOR_SHARE = _USABLE_SHARE - _DIVIDED_SHARE
# A new coordinator does not know what its predecessor granted. With this factor the
# shares of both, together with the divided share, stay below the whole slack.
_NEW_COORDINATOR_FACTOR = 0.2
# An answer takes a few milliseconds, and longer if the coordinator is busy.
_ANSWER_TIMEOUT = timedelta(milliseconds=60)
_MAX_ASKED = 2
# The coordinator has already counted a grant that arrives after the timeout, so another
# retry may use it within this time. The coordinator therefore counts each grant for
# this long beyond the window.
_LATE_GRANT_TTL = timedelta(seconds=1)
# A router becomes the coordinator once it knows that the previous one has ended.
_ROLE_CHECK_PERIOD = timedelta(seconds=1)


class SlidingWindowCounter:
    """Counter of the events in a sliding window.

    :param window: length of the window.
    """

    def __init__(self, window: timedelta, clock: Clock) -> None:
        self._window = window
        self._clock = clock
        self._times: deque[timedelta] = deque()

    def record(self) -> None:
        """Record an event at the current time."""
        self._times.append(self._clock.monotonic())

    def count(self) -> int:
        """Return the number of events in the window that ends now."""
        start = self._clock.monotonic() - self._window
        while self._times and self._times[0] < start:
            self._times.popleft()
        return len(self._times)

    def remove_oldest(self) -> bool:
        """Remove the oldest event in the window.

        :returns: False if the window holds no event.
        """
        if self.count() == 0:
            return False
        self._times.popleft()
        return True


class LocalRetryBudget:
    """This router's share of the retry budget of one service.

    :param ratio: allowed retries per request, over all routers.
    :param slack: additional retries allowed in a window, over all routers.
    :param window: length of the window.
    """

    def __init__(
        self, ratio: float, slack: float, window: timedelta, clock: Clock
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._requests = SlidingWindowCounter(window, clock)
        self._retries = SlidingWindowCounter(window, clock)
        self._late_grants = SlidingWindowCounter(_LATE_GRANT_TTL, clock)

    def record_request(self) -> None:
        """Count a request of a caller."""
        self._requests.record()

    def record_late_grant(self) -> None:
        """Record a grant that arrived after the retry it was meant for had given up."""
        self._late_grants.record()

    def try_spend(self, router_count: int) -> bool:
        """Count a retry if this router's share allows one.

        :param router_count: number of routers that share the slack.
        :returns: whether the retry may be made.
        """
        if self._late_grants.remove_oldest():
            return True
        share = _DIVIDED_SHARE * self._slack / max(1, router_count)
        allowed = _USABLE_SHARE * self._ratio * self._requests.count() + share
        if self._retries.count() + 1 > allowed:
            return False
        self._retries.record()
        return True


class CoordinatorBudget:
    """The part of one service's retry budget that a coordinator grants to all routers.

    :param slack: as for :class:`LocalRetryBudget`.
    :param window: as for :class:`LocalRetryBudget`.
    """

    def __init__(self, slack: float, window: timedelta, clock: Clock) -> None:
        self._slack = slack
        self._window = window
        self._retries = SlidingWindowCounter(window + _LATE_GRANT_TTL, clock)

    def try_spend(self, reporting_share: float, tenure: timedelta) -> bool:
        """Count a retry if the budget has one left.

        :param reporting_share: share of the routers that this one receives reports
            from. During a network partition each side has a coordinator, and the two
            together must not exceed the budget.
        :param tenure: time since this router became the coordinator.
        :returns: whether the retry may be made.
        """
        allowed = _COORDINATOR_SHARE * self._slack * min(1.0, reporting_share)
        if tenure < self._window:
            allowed *= _NEW_COORDINATOR_FACTOR
        if self._retries.count() + 1 > allowed:
            return False
        self._retries.record()
        return True


class RetryBudgets:
    """Retry budgets of all services, and the requests to their coordinator.

    :param settings: bounds that the platform sets.
    :param view: known routers of the fleet.
    :param datagrams: carries the requests for retries and their answers.
    :param count_reporting_routers: returns how many other routers sent reports
        recently.
    :param random_state: source of request ids.
    """

    def __init__(
        self,
        settings: HostSettings,
        view: FleetView,
        datagrams: DatagramSocket,
        count_reporting_routers: Callable[[], int],
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._datagrams = datagrams
        self._count_reporting_routers = count_reporting_routers
        self._clock = clock
        self._metrics = metrics
        self._local_by_service: dict[ServiceName, LocalRetryBudget] = {}
        self._coordinated_by_service: dict[ServiceName, CoordinatorBudget] = {}
        self._pending = PendingRequests(random_state)
        # Services and times of the requests to the coordinator that timed out recently.
        self._timed_out_by_id: dict[int, tuple[ServiceName, timedelta]] = {}
        self._coordinator_since: timedelta | None = None
        datagrams.register(RepeatRequest, self._handle_request)
        datagrams.register(RepeatAnswer, self._handle_answer)

    async def run(self) -> None:
        """Update this router's role at regular intervals until cancelled."""
        while True:
            self.update_role()
            await self._clock.sleep(_ROLE_CHECK_PERIOD)

    def update_role(self) -> None:
        """Determine whether this router is the coordinator, and since when."""
        coordinators = self._view.rank_by_capacity("repeats")
        if coordinators[:1] != [self._settings.router_id]:
            self._coordinator_since = None
        elif self._coordinator_since is None:
            self._coordinator_since = self._clock.monotonic()

    def record_request(self, name: ServiceName) -> None:
        """Count a request of a caller to a service."""
        self._get_local_budget(name).record_request()

    async def try_spend(self, name: ServiceName) -> bool:
        """Count a retry of a request to a service if the budget allows one.

        The local share is used first; then the coordinator is asked, or its successor
        if it does not answer.

        :returns: whether the retry may be made.
        """
        if self._get_local_budget(name).try_spend(self._view.count_routers()):
            return True
        own_id = self._settings.router_id
        coordinators = self._view.rank_by_capacity("repeats") or [own_id]
        for coordinator in coordinators[:_MAX_ASKED]:
            if coordinator == own_id:
                return self._try_grant(name)
            is_granted = await self._ask(coordinator, name)
            if is_granted is not None:
                return is_granted
        self._metrics.count("repeats.unanswered")
        return False

    def _get_local_budget(self, name: ServiceName) -> LocalRetryBudget:
        if name not in self._local_by_service:
            settings = self._settings
            self._local_by_service[name] = LocalRetryBudget(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
                self._clock,
            )
        return self._local_by_service[name]

    def _try_grant(self, name: ServiceName) -> bool:
        """Count a retry of any router, in the role of the coordinator."""
        if name not in self._coordinated_by_service:
            settings = self._settings
            self._coordinated_by_service[name] = CoordinatorBudget(
                settings.retry_slack, settings.retry_window, self._clock
            )
        reporting_share = (
            self._count_reporting_routers() + 1
        ) / self._view.count_routers()
        tenure = timedelta(0)
        if self._coordinator_since is not None:
            tenure = self._clock.monotonic() - self._coordinator_since
        return self._coordinated_by_service[name].try_spend(reporting_share, tenure)

    async def _ask(self, coordinator: RouterId, name: ServiceName) -> bool | None:
        """Ask a coordinator for a retry.

        :returns: whether it was granted; None if no answer came in time.
        """
        address = self._view.peers_by_id[coordinator].address
        with self._pending.open() as request:
            data = self._datagrams.encode(RepeatRequest(request.id, name))
            await self._datagrams.send(address, data)
            try:
                answer = await request.wait(_ANSWER_TIMEOUT)
            except TimeoutError:
                self._record_timeout(request.id, name)
                return None
            return answer.granted

    def _record_timeout(self, request_id: int, name: ServiceName) -> None:
        """Keep the service of a request in case its answer arrives late."""
        now = self._clock.monotonic()
        for old_id, (_, timed_out_at) in list(self._timed_out_by_id.items()):
            if timed_out_at + _LATE_GRANT_TTL >= now:
                break
            del self._timed_out_by_id[old_id]
        self._timed_out_by_id[request_id] = name, now

    async def _handle_request(
        self, router_id: RouterId, address: Address, request: RepeatRequest
    ) -> None:
        granted = self._try_grant(ServiceName(request.service))
        answer = self._datagrams.encode(RepeatAnswer(request.request_id, granted))
        await self._datagrams.send(address, answer)

    async def _handle_answer(
        self, router_id: RouterId, address: Address, answer: RepeatAnswer
    ) -> None:
        if await self._pending.take(answer.request_id, answer):
            return
        name, _ = self._timed_out_by_id.pop(answer.request_id, (None, None))
        if name is not None and answer.granted:
            self._get_local_budget(name).record_late_grant()
            self._metrics.count("repeats.granted_late")
