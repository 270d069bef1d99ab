"""Priority classes from the priorities of organisations and routes."""

import json
import sys
from dataclasses import replace

from hibiscustiller.ingress.tests.fixtures import make_document
from hibiscustiller.platform import decode_fleet_document
from hibiscustiller.utils._testing import collect_tests

URGENT, USUAL, NIGHTLY = 0, 1, 2


def make_classes(organisation_priorities, *, is_public=False):
    """Return the class of each pair of an organisation's and a route's priority."""
    document = decode_fleet_document(json.dumps(make_document()).encode())
    route = replace(document.routes[0], is_public=is_public)
    routes = [replace(route, priority=rank) for rank in (URGENT, USUAL, NIGHTLY)]
    organisation = next(iter(document.organisations_by_key_digest.values()))
    organisations_by_rank = {
        rank: replace(organisation, id=f"org-{rank}", priority=rank)
        for rank in organisation_priorities
    }
    document = replace(
        document,
        routes=tuple(routes),
        organisations_by_key_digest={
            str(rank): other for rank, other in organisations_by_rank.items()
        },
    )
    return {
        (rank, route.priority): document.get_priority(route, other)
        for rank, other in organisations_by_rank.items()
        for route in routes
    }


def test_routes_order_the_requests_of_organisations_with_the_same_priority():
    """Guards against urgent quotes that are served like, or after, nightly batches.

    With a priority for every organisation, that of the route was not used at all.
    """
    classes = make_classes([USUAL])
    assert [classes[USUAL, rank] for rank in (URGENT, USUAL, NIGHTLY)] == [0, 1, 2]


def test_priorities_of_organisations_go_before_those_of_routes():
    """Guards against an organisation's priority that a route overrides."""
    classes = make_classes([URGENT, USUAL])
    assert [rank for rank, _ in sorted(classes.items(), key=lambda item: item[1])] == [
        (URGENT, URGENT),
        (URGENT, USUAL),
        (URGENT, NIGHTLY),
        (USUAL, URGENT),
        (USUAL, USUAL),
        (USUAL, NIGHTLY),
    ]


def test_organisations_without_a_priority_have_that_of_the_route():
    """Guards against classes that change where no organisation has a priority."""
    classes = make_classes([None])
    assert [classes[None, rank] for rank in (URGENT, USUAL, NIGHTLY)] == [0, 1, 2]


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
