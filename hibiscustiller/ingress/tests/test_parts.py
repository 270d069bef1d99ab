"""Parts of the daemon that need no network: routes, budget, events, view."""

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
from hibiscustiller.ingress._plain import PlainServerSelector
from hibiscustiller.ingress._routes import RouteTable, choose_service
from hibiscustiller.ingress.tests.fixtures import HOST, KEY, make_document
from hibiscustiller.layers import EngineLoad, EngineUse
from hibiscustiller.layers.tests.fixtures import LayerRange, make_engine
from hibiscustiller.platform import decode_fleet_document
from hibiscustiller.standins import make_event
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)


def make_table():
    return RouteTable(decode_fleet_document(json.dumps(make_document()).encode()))


def test_longest_prefix_decides():
    """Guards against requests at the route of a shorter prefix."""
    table = make_table()
    assert table.find_route(HOST, "/stock/1").ok_value.name == "stock"
    assert table.find_route(f"{HOST}:80", "/stock/open/1").ok_value.name == "open"
    assert table.find_route(HOST, "/stock").is_err()
    assert table.find_route("other.example", "/stock/1").is_err()


def test_keys_are_needed_but_on_open_routes():
    """Guards against requests without a holder, and refusals of open ones."""
    table = make_table()
    book = table.find_route(HOST, "/book/").ok_value
    open_route = table.find_route(HOST, "/stock/open/").ok_value
    assert table.find_organisation(book, KEY).ok_value.id == "greens"
    assert table.find_organisation(book, "wrong").is_err()
    assert table.find_organisation(open_route, "wrong").ok_value is None


def test_weights_decide_the_service():
    """Guards against a service with no weight that still gets requests."""
    route = make_table().find_route(HOST, "/book/").ok_value
    split = replace(route, weights_by_service={"a": 3.0, "b": 1.0, "c": 0.0})
    random_state = random.Random(5)
    drawn = Counter(choose_service(split, random_state) for _ in range(400))
    assert drawn["c"] == 0
    assert 250 < drawn["a"] < 350


@given(st.integers(1, 2000), st.integers(1, 400))
def test_idle_connections_of_all_routers_fit_beside_requests(accepted, routers):
    """Guards against resets by a server whose connections idle routers hold."""
    service = ServiceSpec("orders", max_connections=accepted)
    idle = compute_max_idle_connections(service, routers) * routers
    in_flight = 0
    while has_free_connection(service, EngineUse(entered=in_flight)):
        in_flight += 1
    assert in_flight >= 1
    assert idle + in_flight <= accepted


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_events_are_whole_however_bytes_arrive(sizes):
    """Guards against an event that is sent in part or changed."""
    stream = b"".join(make_event(number) for number in range(9)) + b"id: 9\nda"
    splitter = EventSplitter()
    events = []
    position = 0
    while position < len(stream):
        size = sizes[position % len(sizes)]
        events += splitter.feed(stream[position : position + size])
        position += size
    assert [event.id for event in events] == list(range(9))
    assert b"".join(event.data for event in events) + splitter.rest == stream


def test_event_with_other_fields_keeps_them():
    """Guards against a first line that is lost where the weights change."""
    data = b"weight-versions: 3\r\nid: 4\r\ndata: x\r\n\r\n"
    (event,) = EventSplitter().feed(data)
    assert (event.id, event.data) == (4, data)


def make_view(*servers):
    clock = ManualClock()
    view = FleetView(clock, 2 * SECOND)
    view.replace_servers(servers)
    return clock, view


def test_gone_server_gets_no_requests_but_may_finish_pipelines():
    """Guards against new work at a server that has left."""
    server = make_engine("a", "large", layers=LayerRange(0, 80))
    clock, view = make_view(server)
    view.remove_server("a")
    assert view.list_servers("engines") == []
    assert view.list_leaving("engines") == [server]
    clock.advance(1.1 * SECOND)
    assert view.list_leaving("engines") == []


def test_draining_server_is_left_out_in_time():
    """Guards against requests at a server after its drain time."""
    server = make_engine("a", "large", layers=LayerRange(0, 80))
    clock, view = make_view(server)
    view.apply_server(replace(server, state=ServerState.DRAINING))
    assert view.list_servers("engines") == []
    clock.advance(0.9 * SECOND)
    assert len(view.list_leaving("engines")) == 1
    clock.advance(0.2 * SECOND)
    assert view.list_leaving("engines") == []


def test_missing_server_is_kept_until_it_had_time_to_return():
    """Guards against a fleet that is taken for lost when the store returns."""
    a, b = make_engine("a", "large"), make_engine("b", "large")
    clock, view = make_view(a, b)
    view.note_store_returned()
    view.replace_servers([])
    assert len(view.list_servers("engines")) == 2
    view.apply_server(a)
    clock.advance(2.5 * SECOND)
    view.drop_missing()
    assert view.list_servers("engines") == [a]


def test_view_settles_after_entries_had_time_to_return():
    """Guards against a placement made from a part of the engines."""
    clock, view = make_view()
    assert not view.is_settled
    clock.advance(2.5 * SECOND)
    assert view.is_settled


def test_older_document_is_never_put_in_force():
    """Guards against a configuration that goes back."""
    _, view = make_view()
    new = decode_fleet_document(json.dumps(make_document(version=3)).encode())
    old = decode_fleet_document(json.dumps(make_document(version=2)).encode())
    assert view.apply_document(new, 30)
    assert not view.apply_document(old, 20)
    assert view.document.version == 3


def test_failing_and_slow_servers_are_avoided_and_forgiven():
    """Guards against a server that fails part of its requests while it looks well."""
    clock = ManualClock()
    load = EngineLoad(clock)
    servers = PlainServerSelector("north", load, clock, random.Random(1))
    good, bad = make_engine("good", ""), make_engine("bad", "")
    for _ in range(3):
        servers.record_answer("bad", 20 * SECOND / 1000, failed=True)
        servers.record_answer("good", 20 * SECOND / 1000, failed=False)
    assert {servers.choose([good, bad]).id for _ in range(20)} == {"good"}
    clock.advance(60 * SECOND)
    assert {servers.choose([good, bad]).id for _ in range(40)} == {"good", "bad"}


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
