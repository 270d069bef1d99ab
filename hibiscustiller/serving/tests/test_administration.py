"""The administration API of whole routers over loopback."""

import json
import random
import sys
from datetime import timedelta

import curio

from hibiscustiller.configuration import parse_sections
from hibiscustiller.serving import Router
from hibiscustiller.standins import TEAM_KEYS_BY_ID, make_standin_settings, start_fleet
from hibiscustiller.utils import Metrics, SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

TIMEOUT = timedelta(seconds=20)


class Bench:
    """Stand-ins, one router and a client."""

    def __init__(self, fleet, router, client):
        self.fleet = fleet
        self.router = router
        self.client = client

    async def ask(self, method, path, team="tizas", body=None):
        key = TEAM_KEYS_BY_ID.get(team, "wrong")
        answer = await self.client.request(
            self.router.configuration_parts.server.address,
            method,
            path,
            timeout=TIMEOUT,
            body=body if isinstance(body, bytes) else json.dumps(body).encode(),
            headers={"authorization": f"Bearer {key}"},
        )
        return answer.status, json.loads(answer.body)

    async def propose(self, proposal_id, base, changes, team="tizas", **fields):
        body = {
            "proposal_id": proposal_id,
            "base_revision": base,
            "changes": changes,
            **fields,
        }
        return await self.ask("POST", "/admin/proposals", team, body)

    async def read_revision(self):
        return (await self.ask("GET", "/admin/in-force"))[1]["revision"]


def make_router(fleet, clock, report=None):
    settings = make_standin_settings(fleet.platform.address)
    return Router(
        settings,
        clock,
        random.Random(7),
        Metrics(),
        report_sections_by_name=report or {},
    )


async def start_bench(report=None):
    clock = SystemClock()
    fleet = await start_fleet(clock)
    router = make_router(fleet, clock, report)
    await router.start()
    bench = Bench(fleet, router, HttpClient(clock))
    sections = parse_sections(fleet.document, "document")
    status, answer = await bench.propose("first", 0, sections, "carnbeg")
    assert status == 200, answer
    return bench


async def stop_bench(bench):
    await bench.client.close()
    await bench.router.stop()
    await bench.fleet.close()


async def test_document_is_kept_in_the_store_and_loaded_at_start():
    """Guards against a router that starts without the accepted document."""
    bench = await start_bench()
    base = await bench.read_revision()
    changes = {"organisation greens": {"weight": "7"}}
    status, answer = await bench.propose("p1", base, changes)
    assert (status, answer["outcome"], answer["revision"]) == (200, "applied", base + 1)
    status, answer = await bench.propose("p1", base, changes)
    assert (status, answer["repeated"], answer["revision"]) == (200, True, base + 1)
    other = make_router(bench.fleet, SystemClock())
    await other.start()
    assert other.configuration.revision == base + 1
    assert other.configuration.config.organisations_by_id["greens"].weight == 7
    status, document = await bench.ask("GET", "/admin/document")
    assert "weight = 7" in document["document"]
    status, section = await bench.ask("GET", "/admin/sections/organisation%20greens")
    assert section["values"]["weight"] == "7" and section["owners"] == ["tizas"]
    await other.stop()
    await stop_bench(bench)


async def test_bad_requests_get_a_clear_error():
    """Guards against malformed or unauthorised requests that change something."""
    bench = await start_bench()
    base = await bench.read_revision()
    good = {"proposal_id": "x", "base_revision": base, "changes": {}}
    heading = "organisation greens"
    rows = [
        ("GET", "/admin/document", "nobody", None, 401, "unauthenticated"),
        ("GET", "/admin/none", "tizas", None, 404, "not-found"),
        ("POST", "/admin/report", "tizas", None, 400, "bad-request"),
        ("GET", "/admin/proposals", "tizas", None, 400, "bad-request"),
        ("GET", "/admin/sections/class%20none", "tizas", None, 404, "not-found"),
        ("GET", "/admin/changes?limit=0", "tizas", None, 400, "bad-request"),
        ("GET", "/admin/changes?limit=x", "tizas", None, 400, "bad-request"),
        ("GET", "/admin/changes?hours=999", "tizas", None, 400, "bad-request"),
        ("GET", "/admin/changes?outcome=x", "tizas", None, 400, "bad-request"),
    ]
    bodies = [
        (b"{", 400, "bad-request"),
        (b"[" * 100_000, 400, "bad-request"),
        ([], 400, "bad-request"),
        ({**good, "proposal_id": 5}, 400, "bad-request"),
        ({**good, "base_revision": "1"}, 400, "bad-request"),
        ({**good, "base_revision": True}, 400, "bad-request"),
        ({**good, "check_only": 1}, 400, "bad-request"),
        ({**good, "changes": [1]}, 400, "bad-request"),
        ({**good, "changes": {heading: 1}}, 400, "bad-request"),
        ({**good, "changes": {heading: {"weight": 2}}}, 400, "bad-request"),
        ({**good, "extra": 1}, 400, "bad-request"),
        (good, 400, "bad-request"),
        ({**good, "changes": {heading: {"weight": "0"}}}, 422, "invalid-configuration"),
        ({**good, "changes": {"class quotes": {"rank": "5"}}}, 403, "forbidden"),
        ({**good, "changes": {heading: None}, "base_revision": 0}, 409, "conflict"),
    ]
    rows += [("POST", "/admin/proposals", "tizas", *row) for row in bodies]
    for body in (good, b"{"):
        rows.append(
            ("POST", "/admin/proposals", "nobody", body, 401, "unauthenticated")
        )
    for method, path, team, body, status, reason in rows:
        found, answer = await bench.ask(method, path, team, body)
        error = answer["error"]
        assert (found, error["reason"], error["verdict"]) == (
            status,
            reason,
            "not-run",
        ), (path, body if body is None else str(body)[:200], found, answer)
    assert await bench.read_revision() == base
    await stop_bench(bench)


async def test_report_survives_a_part_that_fails():
    """Guards against a report that is missing when it is needed most."""

    def fail():
        raise RuntimeError("broken")

    bench = await start_bench({"backends": lambda: {"live": 6}, "broken": fail})
    await bench.client.request_json(
        bench.router.caller_server.address,
        "POST",
        "/v1/completions",
        {},
        timeout=TIMEOUT,
    )
    status, report = await bench.ask("GET", "/admin/report")
    assert status == 200
    assert report["backends"] == {"live": 6}
    assert report["broken"] == {"error": "RuntimeError"}
    assert report["configuration"]["is_ready"] and report["store"]["is_up"]
    assert report["refusals"] == {"unauthenticated": 1}
    assert report["fleet"]["servers"] == 6
    await stop_bench(bench)


async def test_audit_trail_outlives_the_router_and_shows_no_secrets():
    """Guards against an audit trail that is lost with its router or leaks keys."""
    bench = await start_bench()
    base = await bench.read_revision()
    secret = "plain-secret-key"
    digest = "ab" * 32
    await bench.propose("ok", base, {"organisation greens": {"key_sha256": digest}})
    refused = {"organisation greens": {"key_sha256": secret, "key": secret}}
    status, answer = await bench.propose("bad", base + 1, refused)
    assert status == 422 and secret not in json.dumps(answer)
    await bench.router.stop()
    bench.router = make_router(bench.fleet, SystemClock())
    await bench.router.start()
    status, answer = await bench.ask("GET", "/admin/changes")
    entries = {entry["proposal_id"]: entry for entry in answer["changes"]}
    assert entries["ok"]["outcome"] == "accepted"
    assert entries["ok"]["to_revision"] == base + 1
    assert entries["ok"]["team"] == "tizas" and entries["ok"]["at"]
    assert entries["bad"]["outcome"] == "refused"
    assert entries["bad"]["reason"] == "invalid-configuration"
    text = json.dumps(answer)
    assert secret not in text and digest not in text
    for key in bench.fleet.platform.list_keys():
        assert secret.encode() not in bench.fleet.platform.read_value(key), key
    status, answer = await bench.ask("GET", "/admin/changes?section=class%20quotes")
    assert [entry["proposal_id"] for entry in answer["changes"]] == ["first"]
    await stop_bench(bench)


async def test_outage_of_the_store_is_answered_in_time():
    """Guards against proposals that hang, and reads that fail, without the store."""
    bench = await start_bench()
    base = await bench.read_revision()
    bench.fleet.platform.faults.is_down = True
    status, answer = await bench.propose(
        "p", base, {"organisation greens": {"weight": "2"}}
    )
    assert (status, answer["error"]["verdict"]) == (503, "not-run")
    assert (await bench.ask("GET", "/admin/changes"))[0] == 503
    assert (await bench.ask("GET", "/admin/document"))[0] == 200
    bench.fleet.platform.faults.is_down = False
    await stop_bench(bench)


async def test_lost_answer_of_the_store_is_read_back():
    """Guards against an unknown outcome where the store can still be asked."""
    bench = await start_bench()
    base = await bench.read_revision()
    bench.fleet.platform.faults.lost_answers = 1
    status, answer = await bench.propose(
        "p", base, {"organisation greens": {"weight": "2"}}
    )
    assert (status, answer["revision"], answer["repeated"]) == (200, base + 1, False)
    assert bench.fleet.platform.faults.lost_answers == 0
    await stop_bench(bench)


async def test_two_routers_share_one_store():
    """Guards against routers whose proposals overwrite each other."""
    bench = await start_bench()
    base = await bench.read_revision()
    other_router = make_router(bench.fleet, SystemClock())
    await other_router.start()
    other = Bench(bench.fleet, other_router, bench.client)
    tasks = [
        await curio.spawn(
            side.propose, f"{name}{index}", base, {f"organisation {org}": {"weight": w}}
        )
        for index, w in enumerate("2345")
        for side, name, org in [(bench, "a", "greens"), (other, "b", "schools")]
    ]
    statuses = [(await task.join())[0] for task in tasks]
    assert sorted(statuses) == [200, 200, *[409] * 6], statuses
    await other_router.stop()
    await stop_bench(bench)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
