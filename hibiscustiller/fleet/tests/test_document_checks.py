"""Checks of a fleet document, and differences from the one in force."""

import json
import sys
from dataclasses import replace

from hibiscustiller.fleet import (
    check_fleet_document,
    check_succession,
    compare_fleet_documents,
)
from hibiscustiller.ingress.tests.fixtures import make_document, make_settings
from hibiscustiller.platform import decode_fleet_document
from hibiscustiller.utils._testing import collect_tests

CHAT, ONCE, BOOK, STOCK, OPEN = range(5)


def make(edit=lambda values: None):
    """Decode the document of the fixtures after an edit that leaves no findings."""
    values = make_document()
    values["routes"][ONCE]["max_attempts"] = 1
    edit(values)
    return decode_fleet_document(json.dumps(values).encode())


def find(edit, settings=None):
    findings = check_fleet_document(make(edit), settings)
    return [f"{f.severity.value} {f.place}: {f.message}" for f in findings]


def find_in_route(index, settings=None, **fields):
    return find(lambda values: values["routes"][index].update(fields), settings)


def assert_found(found, *starts):
    """Assert that there are exactly these findings, by parts of their text."""
    assert len(found) == len(starts), found
    for line, (place, part) in zip(found, starts, strict=True):
        assert line.startswith(place) and part in line, line


def compare(edit):
    return {c.place: c for c in compare_fleet_documents(make(), make(edit))}


def test_sound_document_has_no_findings():
    """Guards against false alarms, after which findings are no longer read."""
    assert find(lambda values: None, make_settings(None)) == []


def test_routes_that_never_match():
    """Guards against a route that is sent and never takes a request."""
    found = find_in_route(STOCK, host="ROUTER.example", prefix="/book/")
    assert_found(found, ("error routes[3] stock:", "routes[2] book"))
    assert_found(find_in_route(BOOK, host="a:80"), ("error routes[2]", "port"))
    assert_found(find_in_route(BOOK, prefix="b/"), ("error routes[2]", "slash"))
    assert_found(find_in_route(BOOK, prefix="/b"), ("warning routes[2]", "/bx"))
    assert_found(find_in_route(BOOK, name="chat"), ("warning routes[2]", "same name"))


def test_services_that_are_unused_or_not_listed():
    """Guards against routes whose requests find no service, and services left over."""
    found = find_in_route(BOOK, service="other")
    assert_found(found, ("error routes[2] book:", "other is not listed"))
    found = find(lambda values: values["services"].append({"name": "old"}))
    assert_found(found, ("warning services[2] old:", "no route"))
    shares = [{"service": "orders", "weight": 0}, {"service": "gone", "weight": 0}]
    found = find_in_route(BOOK, traffic_split=shares)
    assert_found(
        found, ("error routes[2]", "sum to 0"), ("warning routes[2]", "not listed")
    )


def test_empty_list_of_organisations():
    """Guards against a document under which every caller gets 401."""
    found = find(lambda values: values.update(tenants=[]))
    assert_found(found, ("error organisations:", "refused"))
    assert find(lambda values: values.pop("tenants")) == []


def test_contradicting_times():
    """Guards against targets that no request can meet, or none can miss."""
    found = find_in_route(BOOK, target_latency_ms=601)
    assert_found(found, ("warning routes[2] book:", "601 ms is above"))
    found = find_in_route(BOOK, target_gap_ms=10)
    assert_found(found, ("warning routes[2]", "no effect"))
    found = find(lambda values: values["limits"].update(header_timeout_ms=2001))
    assert_found(found, ("warning limits:", "2001 ms is above"))


def test_target_gap_below_the_fastest_kind():
    """Guards against a target compared with one token, or with the slowest engine."""

    def slow_down(values):
        engine = values["services"][0]["engine"]
        engine.update(step_ms=40, stride=4)
        engine["kinds"][0]["pace"] = 3.0
        engine["kinds"][1]["pace"] = gap_ms / 160
        values["routes"][ONCE].pop("target_gap_ms")

    gap_ms = 250
    assert find(slow_down) == []
    gap_ms = 256
    assert_found(find(slow_down), ("warning routes[0] chat:", "256 ms"))


def test_attempts_that_cannot_be_made():
    """Guards against retries that operators count on and that are never made."""
    found = find_in_route(ONCE, max_attempts=2)
    assert_found(found, ("warning routes[1] once:", "may not be repeated"))
    settings = replace(make_settings(None), retry_ratio=0.0, retry_slack=0.0)
    found = find(lambda values: None, settings)
    routes = ("warning routes[0]", "warning routes[3]", "warning routes[4]")
    assert_found(found, *((route, "budget") for route in routes))
    assert find(lambda values: None, replace(settings, retry_slack=1.0)) == []


def test_changes_of_routes_tell_where_requests_go():
    """Guards against a removed route whose requests silently take another one."""

    def edit(values):
        values["routes"][BOOK].update(timeout_ms=700)
        values["routes"][ONCE].update(prefix="/one/", name="one")
        values["routes"].pop(OPEN)

    changes = compare(edit)
    assert {place: c.kind.value for place, c in changes.items()} == {
        "route book": "changed",
        "route once": "removed",
        "route one": "added",
        "route open": "removed",
    }
    book = changes["route book"]
    assert book.values_by_field == {"timeout": ("600 ms", "700 ms")}
    assert "running ones keep" in book.effect
    assert "404" in changes["route once"].effect
    assert "take route stock" in changes["route open"].effect

    def add_wider(values):
        values["routes"][BOOK].update(name="wide", prefix="/")
        values["routes"].pop(OPEN)

    assert "take route stock" in compare(add_wider)["route open"].effect


def test_changes_of_organisations_show_no_keys():
    """Guards against withdrawn keys that go unnoticed, and secrets in the output."""

    def edit(values):
        values["tenants"][0]["api_keys"] = ["other-secret"]
        values["tenants"].append({"name": "reds", "api_keys": ["third-secret"]})

    changes = compare(edit)
    assert changes.keys() == {"organisation greens", "organisation reds"}
    greens = changes["organisation greens"]
    assert greens.values_by_field == {"keys": ("1", "1 (1 new, 1 withdrawn)")}
    assert "401" in greens.effect
    digests = make(edit).organisations_by_key_digest
    assert not any(text in repr(changes) for text in ["secret", *digests])
    gone = compare(lambda values: values["tenants"][0].update(name="reds"))
    assert "belong to reds" in gone["organisation greens"].effect


def test_changes_of_services_and_limits():
    """Guards against a change of engines or limits that is shown without its field."""

    def edit(values):
        values["services"][0]["engine"]["kinds"][0]["pace"] = 2.0
        values["services"].pop(1)
        values["limits"].update(max_body_bytes=3000)

    changes = compare(edit)
    name = "engine.kinds_by_name.large.token_time_factor"
    assert changes["service engines"].values_by_field == {name: ("1", "2")}
    assert changes["service orders"].kind.value == "removed"
    assert "next request" in changes["limits"].effect
    assert compare(lambda values: values.update(version=2)) == {}


def test_version_that_does_not_replace_the_one_in_force():
    """Guards against a document that is sent and that all daemons ignore."""
    old = make(lambda values: values.update(version=5))
    (finding,) = check_succession(old, make())
    assert finding.severity.value == "error" and "version 1" in finding.message
    changed = replace(make(lambda values: values["routes"].pop()), version=5)
    (finding,) = check_succession(old, changed)
    assert finding.severity.value == "warning"
    assert check_succession(old, old) == ()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
