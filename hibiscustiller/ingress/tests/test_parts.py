"""Components that do no I/O: routes, connection limits, events and the fleet view."""

import json
import random
import sys
from collections import Counter
from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.discovery import FleetView
from hibiscustiller.fleet import ServerState, ServiceSpec
from hibiscustiller.ingress._connections import (
    compute_max_idle_connections,
    has_free_connection,
)
from hibiscustiller.ingress._events import EventSplitter
from hibiscustiller.ingress._plain_selection import PlainServerSelector
from hibiscustiller.ingress._routes import RouteTable, choose_service
from hibiscustiller.ingress.tests.fixtures import HOST, KEY, make_document
from hibiscustiller.layers import EngineLoad, EngineUse
from hibiscustiller.layers.tests.fixtures import LayerRange, make_engine
from hibiscustiller.platform import Revision, decode_fleet_document
from hibiscustiller.settings import Address
from hibiscustiller.standins import make_event
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import BodyMemory

SECOND = timedelta(seconds=1)


def make_route_table():
    return RouteTable(decode_fleet_document(json.dumps(make_document()).encode()))


def test_longest_prefix_selects_the_route():
    """Guards against requests that are sent to the route of a shorter prefix."""
    table = make_route_table()
    assert table.find_route(HOST, "/stock/1").ok_value.name == "stock"
    assert table.find_route(f"{HOST}:80", "/stock/open/1").ok_value.name == "open"
    assert table.find_route(HOST, "/stock").is_err()
    assert table.find_route("other.example", "/stock/1").is_err()


def test_keys_are_required_except_on_public_routes():
    """Guards against requests of unknown senders and refusals on public routes."""
    table = make_route_table()
    book = table.find_route(HOST, "/book/").ok_value
    public_route = table.find_route(HOST, "/stock/open/").ok_value
    assert table.find_organisation(book, KEY).ok_value.id == "greens"
    assert table.find_organisation(book, "wrong").is_err()
    assert table.find_organisation(public_route, "wrong").ok_value is None


def test_services_are_chosen_by_weight():
    """Guards against requests that are sent to a service with a weight of zero."""
    route = make_route_table().find_route(HOST, "/book/").ok_value
    weighted_route = replace(route, weights_by_service={"a": 3.0, "b": 1.0, "c": 0.0})
    random_state = random.Random(5)
    counts = Counter(choose_service(weighted_route, random_state) for _ in range(400))
    assert counts["c"] == 0
    assert 250 < counts["a"] < 350


@given(st.integers(1, 2000), st.integers(1, 400))
def test_idle_and_busy_connections_stay_within_the_limit(max_connections, router_count):
    """Guards against connections that a server resets because it has too many.

    The idle connections of all routers count towards the same limit as requests.
    """
    service = ServiceSpec("orders", max_connections=max_connections)
    idle_count = compute_max_idle_connections(service, router_count) * router_count
    in_flight_count = 0
    while has_free_connection(service, EngineUse(entry_count=in_flight_count)):
        in_flight_count += 1
    assert in_flight_count >= 1
    assert idle_count + in_flight_count <= max_connections


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_events_are_complete_whatever_the_chunk_sizes(chunk_sizes):
    """Guards against events that are forwarded in part or changed."""
    stream = b"".join(make_event(number) for number in range(9)) + b"id: 9\nda"
    splitter = EventSplitter(make_hold())
    events = []
    position = 0
    while position < len(stream):
        size = chunk_sizes[position % len(chunk_sizes)]
        events += splitter.feed(stream[position : position + size])
        position += size
    assert [event.id for event in events] == list(range(9))
    assert b"".join(event.data for event in events) + splitter.rest == stream


def test_other_fields_of_an_event_are_kept():
    """Guards against the loss of a field that an event has before its id.

    Such a field announces a change of the weights.
    """
    data = b"weight-versions: 3\r\nid: 4\r\ndata: x\r\n\r\n"
    (event,) = EventSplitter(make_hold()).feed(data)
    assert (event.id, event.data) == (4, data)


def make_hold():
    """Return the memory of an answer, without a bound."""
    return BodyMemory().hold(Address("127.0.0.1", 9))


def make_view(*servers):
    """Return a clock, and a view of these servers with a drain time of two seconds."""
    clock = ManualClock()
    view = FleetView(clock, 2 * SECOND)
    view.replace_servers(servers)
    return clock, view


def test_removed_server_is_leaving_for_half_the_drain_time():
    """Guards against new requests to a removed server.

    For a while it may still be used where no other server completes a pipeline.
    """
    server = make_engine("a", "large", layers=LayerRange(0, 80))
    clock, view = make_view(server)
    view.remove_server("a")
    assert view.list_servers("engines") == []
    assert view.list_leaving("engines") == [server]
    clock.advance(1.1 * SECOND)
    assert view.list_leaving("engines") == []


def test_draining_server_is_leaving_for_half_the_drain_time():
    """Guards against requests to a server after its drain time."""
    server = make_engine("a", "large", layers=LayerRange(0, 80))
    clock, view = make_view(server)
    view.apply_server(replace(server, state=ServerState.DRAINING))
    assert view.list_servers("engines") == []
    clock.advance(0.9 * SECOND)
    assert len(view.list_leaving("engines")) == 1
    clock.advance(0.2 * SECOND)
    assert view.list_leaving("engines") == []


def test_missing_server_is_kept_until_its_entry_can_be_rewritten():
    """Guards against servers that are considered lost when the store returns.

    Their entries expired during the outage and are written again only afterwards.
    """
    a, b = make_engine("a", "large"), make_engine("b", "large")
    clock, view = make_view(a, b)
    view.outages.record_failure(clock.monotonic())
    clock.advance(2 * SECOND)
    view.outages.record_answer()
    view.replace_servers([])
    assert len(view.list_servers("engines")) == 2
    view.apply_server(a)
    clock.advance(2.5 * SECOND)
    view.drop_missing()
    assert view.list_servers("engines") == [a]


def test_view_is_settled_after_entries_can_be_rewritten():
    """Guards against a placement that is computed from only some of the engines."""
    clock, view = make_view()
    assert not view.is_settled
    clock.advance(2.5 * SECOND)
    assert view.is_settled


def test_older_document_is_never_applied():
    """Guards against a configuration that reverts to an earlier version."""
    _, view = make_view()
    new_document = decode_fleet_document(json.dumps(make_document(version=3)).encode())
    old_document = decode_fleet_document(json.dumps(make_document(version=2)).encode())
    assert view.apply_document(new_document, Revision(0, 30))
    assert not view.apply_document(old_document, Revision(0, 20))
    assert view.document.version == 3


def test_failing_server_is_avoided_until_its_failures_have_aged():
    """Guards against a server that fails some requests although it is reachable."""
    clock = ManualClock()
    load = EngineLoad(clock)
    selector = PlainServerSelector("north", load, clock, random.Random(1))
    good, bad = make_engine("good", ""), make_engine("bad", "")
    for _ in range(3):
        selector.record_answer("bad", 20 * SECOND / 1000, failed=True)
        selector.record_answer("good", 20 * SECOND / 1000, failed=False)
    assert {selector.choose([good, bad]).id for _ in range(20)} == {"good"}
    clock.advance(60 * SECOND)
    assert {selector.choose([good, bad]).id for _ in range(40)} == {"good", "bad"}


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
