"""Polling of engines and of the host list, with faults."""

import json
import random
import sys
from datetime import timedelta

from hibiscustiller.configuration import parse_document
from hibiscustiller.membership import (
    BackendPoller,
    BackendState,
    BackendTable,
    parse_load_report,
)
from hibiscustiller.membership.tests._meshes import wait_until
from hibiscustiller.standins import start_fleet
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

SERVER = "engine-0-0"


class Bench:
    async def start(self):
        clock = SystemClock()
        self.fleet = await start_fleet(clock, replicas=1)
        self.client = HttpClient(clock)
        config = parse_document(self.fleet.document, "test")
        self.table = BackendTable(lambda: config, clock, random.Random(1))
        self.reports = []
        self.poller = BackendPoller(
            self.table,
            lambda: config,
            lambda: [SERVER],
            lambda server, report: self.reports.append((server, report)),
            self.client,
            self.fleet.platform.address,
            timedelta(milliseconds=500),
            lambda: 1,
            clock,
            random.Random(2),
        )
        return self

    @property
    def engine(self):
        return self.fleet.engines_by_id[SERVER]

    async def stop(self):
        await self.poller.stop()
        await self.client.close()
        await self.fleet.close()


async def test_reports_reach_the_table_and_the_load_view():
    """Guards against a departure that the server itself announces and nobody reads."""
    bench = await Bench().start()
    assert await bench.poller.poll_server(SERVER)
    assert bench.table.get_state(SERVER) is BackendState.SERVING
    bench.engine.is_leaving = True
    assert await bench.poller.poll_server(SERVER)
    assert bench.table.get_state(SERVER) is BackendState.LEAVING
    assert [server for server, _ in bench.reports] == [SERVER] * 2
    await bench.stop()


async def test_silent_and_dead_servers_are_found_and_come_back():
    """Guards against connections that stay open and give no answer."""
    bench = await Bench().start()
    bench.engine.faults.is_silent = True
    for _ in range(2):
        assert not await bench.poller.poll_server(SERVER)
    assert not bench.table.is_usable(SERVER)
    bench.engine.faults.is_silent = False
    assert await bench.poller.poll_server(SERVER)
    assert bench.table.is_usable(SERVER)
    await bench.engine.crash()
    for _ in range(2):
        assert not await bench.poller.poll_server(SERVER)
    assert not bench.table.is_usable(SERVER)
    await bench.stop()


async def test_only_the_subset_is_polled():
    """Guards against 330 routers that each poll all servers."""
    bench = await Bench().start()
    await bench.poller.start()
    await wait_until(lambda: len(bench.reports) >= 2)
    others = [e for s, e in bench.fleet.engines_by_id.items() if s != SERVER]
    assert not any(e.calls_by_path["GET /v1/load"] for e in others)
    await bench.stop()


async def test_host_list_outage_keeps_the_last_states():
    """Guards against a platform outage that takes servers away."""
    bench = await Bench().start()
    platform = bench.fleet.platform
    platform.host_states_by_address["127.0.0.1"] = "live"
    assert await bench.poller.poll_host_list()
    platform.faults.is_down = True
    for _ in range(3):
        assert not await bench.poller.poll_host_list()
    assert bench.table.is_usable(SERVER)
    platform.faults.is_down = False
    platform.host_states_by_address["127.0.0.1"] = "leaving"
    assert await bench.poller.poll_host_list()
    assert not bench.table.is_usable(SERVER)
    await bench.stop()


def test_malformed_load_reports_are_refused():
    """Guards against a report that breaks the poller (R9)."""
    good = {"measured_at": None, "running": 1, "queued": 0, "state": "serving"}
    assert parse_load_report(good).running == 1
    cases = [
        [],
        None,
        "serving",
        {},
        {**good, "state": "odd"},
        {**good, "state": None},
        {**good, "running": "many"},
        {**good, "running": -1},
        {**good, "queued": [1]},
        {**good, "queued": float("inf")},
        {**good, "measured_at": "yesterday"},
        {**good, "measured_at": 5},
    ]
    for case in cases:
        try:
            parse_load_report(case)
        except ValueError:
            continue
        raise AssertionError(json.dumps(case))


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
