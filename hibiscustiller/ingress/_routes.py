"""Lookup of the route of a request and of the organisation that sends it."""

from __future__ import annotations

import random
from collections import defaultdict

from result import Err, Ok, Result

from hibiscustiller.fleet import FleetDocument, IngressRoute, Organisation
from hibiscustiller.utils import (
    Refusal,
    RefusalReason,
    ServiceName,
    Verdict,
    hash_secret,
)


class RouteTable:
    """Index of the routes of one fleet document.

    :param document: the current document.
    """

    def __init__(self, document: FleetDocument) -> None:
        self.document = document
        self._routes_by_host: dict[str, list[IngressRoute]] = defaultdict(list)
        for route in document.routes:
            self._routes_by_host[route.host].append(route)
        for routes in self._routes_by_host.values():
            # The longest matching prefix wins, so longer ones are tried first.
            routes.sort(key=lambda route: -len(route.prefix))

    def find_route(self, host: str, path: str) -> Result[IngressRoute, Refusal]:
        """Find the route of a host name and a path.

        :param host: value of the Host header, with or without a port.
        :returns: the matching route with the longest prefix, or a refusal.
        """
        host_name = host.lower().partition(":")[0]
        for route in self._routes_by_host.get(host_name, ()):
            if path.startswith(route.prefix):
                return Ok(route)
        return Err(
            _make_refusal(
                RefusalReason.NOT_FOUND, "no route matches this host and path"
            )
        )

    def find_organisation(
        self, route: IngressRoute, api_key: str | None
    ) -> Result[Organisation | None, Refusal]:
        """Find the organisation that an API key belongs to.

        :param api_key: key of the request; None if it has none.
        :returns: the organisation; None for other callers of a public route, or if the
            document has no organisations; otherwise a refusal.
        """
        organisations_by_digest = self.document.organisations_by_key_digest
        organisation = (
            None
            if api_key is None
            else organisations_by_digest.get(hash_secret(api_key))
        )
        if organisation is not None:
            return Ok(organisation)
        if route.is_public or not self.document.has_organisations:
            return Ok(None)
        message = "the API key is missing or unknown"
        return Err(_make_refusal(RefusalReason.UNAUTHENTICATED, message))


def choose_service(
    route: IngressRoute, random_state: random.Random
) -> ServiceName | None:
    """Choose a service at random by the weights of a route.

    :returns: None if no weight is above zero.
    """
    names = [name for name, weight in route.weights_by_service.items() if weight > 0]
    weights = [route.weights_by_service[name] for name in names]
    return random_state.choices(names, weights)[0] if names else None


def _make_refusal(reason: RefusalReason, message: str) -> Refusal:
    return Refusal(reason, Verdict.NOT_RUN, message)
