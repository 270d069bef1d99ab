"""Simple admission policies that the benchmarks compare with."""

from __future__ import annotations

from collections import deque

import curio
from result import Err, Ok, Result

from hibiscustiller.limits import AdmissionRequest, Grant, PlanRoute, ServerLimits
from hibiscustiller.routing import Route
from hibiscustiller.utils import Refusal, RefusalReason


class NoAdmission:
    """Grants every request at once.

    Nothing is reserved at the server limits, so that every server has capacity.

    :param plan_route: finds a route.
    """

    def __init__(self, plan_route: PlanRoute) -> None:
        self._plan_route = plan_route

    async def admit(self, request: AdmissionRequest) -> Result[Grant, Refusal]:
        """Grant a request."""
        planned = self._plan_route(request)
        if isinstance(planned, Err):
            return planned
        return Ok(_make_grant(request, planned.ok_value))

    async def release(self, grant: Grant, used_tokens: int) -> None:
        """Give back a grant."""

    def has_route(self, request: AdmissionRequest) -> bool:
        """Never offer another route to a stream that waits at an engine."""
        return False


class FirstComeFirstServed:
    """One queue without classes, organisations, bounds or deadlines.

    :param plan_route: finds a route with free capacity.
    :param server_limits: told of the routes of granted requests.
    """

    def __init__(self, plan_route: PlanRoute, server_limits: ServerLimits) -> None:
        self._plan_route = plan_route
        self._server_limits = server_limits
        self._queue: deque[tuple[AdmissionRequest, curio.Event, list]] = deque()

    async def admit(self, request: AdmissionRequest) -> Result[Grant, Refusal]:
        """Wait for leave to run a request."""
        entry = (request, curio.Event(), [])
        self._queue.append(entry)
        await self._dispatch()
        try:
            await entry[1].wait()
        except BaseException:
            if entry in self._queue:
                self._queue.remove(entry)
            raise
        return entry[2][0]

    async def release(self, grant: Grant, used_tokens: int) -> None:
        """Give back a grant."""
        self._server_limits.release_route(grant.route)
        await self._dispatch()

    def has_route(self, request: AdmissionRequest) -> bool:
        """Never offer another route to a stream that waits at an engine."""
        return False

    async def _dispatch(self) -> None:
        while self._queue:
            request, event, outcome = self._queue[0]
            planned = self._plan_route(request)
            if isinstance(planned, Ok):
                self._server_limits.reserve_route(planned.ok_value)
                outcome.append(Ok(_make_grant(request, planned.ok_value)))
            elif planned.err_value.reason is RefusalReason.OVERLOADED:
                return
            else:
                outcome.append(planned)
            self._queue.popleft()
            await event.set()


def _make_grant(request: AdmissionRequest, route: Route) -> Grant:
    if request.on_granted is not None:
        request.on_granted(route)
    return Grant(request, route)
