"""Admission of requests to backend servers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import curio
from result import Err, Ok, Result

from hibiscustiller.routing import Route
from hibiscustiller.utils import (
    ClassName,
    ModelName,
    OrganisationId,
    Refusal,
    RequestId,
    ServerId,
)


@dataclass(frozen=True)
class AdmissionRequest:
    """What admission needs to know of a request.

    :param cost: estimated tokens, prompt and answer.
    :param avoided: servers that the route must not use.
    :param is_resumed: whether it continues a stream that was preempted or broke off.
    """

    request_id: RequestId
    organisation: OrganisationId
    class_name: ClassName
    model: ModelName
    prompt: str
    cost: int
    avoided: frozenset[ServerId] = frozenset()
    is_resumed: bool = False


@dataclass(eq=False)
class Grant:
    """Leave to run one request on a route.

    :param preempted: set when the request should stop and ask again.
    """

    request: AdmissionRequest
    route: Route
    preempted: curio.Event = field(default_factory=curio.Event)


# Plans a route for a request, or refuses.
PlanRoute = Callable[[AdmissionRequest], Result[Route, Refusal]]


class AdmissionController:
    """Decides which requests run now.

    :param plan_route: finds a route with free capacity.
    """

    def __init__(self, plan_route: PlanRoute) -> None:
        self._plan_route = plan_route
        self._grants: set[Grant] = set()

    async def admit(self, request: AdmissionRequest) -> Result[Grant, Refusal]:
        """Wait for leave to run a request.

        :returns: a grant, which must be released, or a refusal as not run.
        """
        planned = self._plan_route(request)
        if isinstance(planned, Err):
            return planned
        grant = Grant(request, planned.ok_value)
        self._grants.add(grant)
        return Ok(grant)

    async def release(self, grant: Grant, used_tokens: int) -> None:
        """Give back a grant.

        :param used_tokens: tokens really used, to settle the estimate.
        """
        self._grants.discard(grant)
