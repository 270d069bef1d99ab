"""What is known of a request once its route has been found."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from functools import cached_property

from hibiscustiller.fleet import (
    BackendServer,
    IngressRoute,
    LayerRange,
    Organisation,
    ServiceSpec,
)
from hibiscustiller.platform import RequestFacts, make_server_fields
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    Clock,
    Fingerprint,
    Refusal,
    compute_fingerprint,
    log_event,
)
from hibiscustiller.wire import HttpRequest, RawRequest, Responder, describe_refusal

# A wait must be above zero; what is left may not be.
_MIN_TIMEOUT = timedelta(milliseconds=1)
# An answer that is passed on whole is held in memory.
MAX_BODY_BYTES = 8 << 20
# These statuses promise that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class RequestContext:
    """A request, its route and its times.

    :param organisation: None on a route that is open to anybody.
    :param received_at: when it had been read, on the monotonic clock.
    :param clock: source of time.
    """

    request: HttpRequest
    facts: RequestFacts
    route: IngressRoute
    service: ServiceSpec
    organisation: Organisation | None
    document_version: int
    received_at: timedelta
    clock: Clock

    @property
    def priority(self) -> int:
        """Rank of the request; the organisation's goes before the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def time_left(self) -> timedelta:
        """What is left until the caller leaves or the route's timeout."""
        return min(self._caller_timeout, self.route.timeout) - self.age

    @property
    def timeout_left(self) -> timedelta:
        """What is left as a timeout, which must be above zero."""
        return max(_MIN_TIMEOUT, self.time_left)

    @property
    def age(self) -> timedelta:
        """Time since the request had been read."""
        return self.clock.monotonic() - self.received_at

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """What all attempts of a caller at this request have in common.

        Each attempt has a request id of its own, and may come to any router.
        """
        organisation = "" if self.organisation is None else self.organisation.id
        request = self.request
        return compute_fingerprint(
            organisation.encode(), request.method.encode(), request.target, request.body
        )

    @property
    def _caller_timeout(self) -> timedelta:
        return self.facts.wait_limit or self.route.timeout

    def make_server_request(
        self,
        server: BackendServer,
        pipeline: tuple[tuple[Address, LayerRange], ...] = (),
        last_event: int | None = None,
    ) -> RawRequest:
        """Make the request that a backend server gets."""
        organisation = self.organisation
        fields = make_server_fields(
            self.request.fields,
            time_left=max(_MIN_TIMEOUT, self._caller_timeout - self.age),
            server_id=server.id,
            organisation=None if organisation is None else organisation.id,
            priority=self.priority if pipeline else None,
            pipeline=pipeline,
            last_event=last_event,
        )
        request = self.request
        return RawRequest(request.method.encode(), request.target, fields, request.body)

    def log(self, event: str, **fields: object) -> None:
        """Log a decision on this request."""
        log_event(
            event,
            request=self.facts.request_id,
            route=self.route.name,
            age=self.age,
            **fields,
        )


async def send_refusal(responder: Responder, refusal: Refusal) -> None:
    """Send a refusal of the router's own."""
    headers = {"x-verdict": refusal.verdict.value}
    if refusal.retry_after is not None:
        # Fractions of a second spread callers better than whole ones.
        headers["retry-after"] = f"{refusal.retry_after.total_seconds():.2f}"
    body = describe_refusal(refusal)
    await responder.send_json(refusal.reason.status, body, headers)
