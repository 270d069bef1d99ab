"""Tests of cache event polling against an engine on the loopback interface."""

import random
import sys

from hibiscustiller.routing import CacheEventPoller, CacheView, hash_prefixes
from hibiscustiller.routing.tests.fixtures import MODEL, make_config
from hibiscustiller.settings import Address
from hibiscustiller.standins import EngineOptions, EngineStandin
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

PROMPT = " ".join(f"w{i}" for i in range(100))


async def test_poller_handles_lost_events_and_failed_polls():
    """Guards against stale blocks after lost events, and polls that raise errors.

    A gap in the event numbers means that any block may have been evicted.
    """
    clock = SystemClock()
    options = EngineOptions("s", MODEL, 0, 8)
    engine = EngineStandin(options, Address("127.0.0.1", 0), clock)
    await engine.start()
    config = make_config([("s", "d0", 0, 8)])
    config.servers_by_id["s"] = type(config.servers_by_id["s"])(
        **{**vars(config.servers_by_id["s"]), "address": engine.address}
    )
    view = CacheView()
    client = HttpClient(clock)
    poller = CacheEventPoller(
        client, lambda: config, lambda: {"s"}, view, clock, random.Random(1)
    )
    prefixes = hash_prefixes(PROMPT)
    engine._store_prefix(PROMPT)
    for _ in range(2):
        await poller.poll_server("s")
        assert view.count_cached_blocks("s", prefixes) == len(prefixes) == 6
    engine.faults.cache_event_gap = 8
    engine._add_cache_event("stored", "x")
    engine._add_cache_event("evicted", PROMPT)
    await poller.poll_server("s")
    assert view.get_last_sequence("s") == 7
    engine._add_cache_event("stored", "y")
    await poller.poll_server("s")
    assert view.count_cached_blocks("s", prefixes) == 0
    for bad in ({}, {"kind": "stored", "block": 5}, {"kind": "x", "block": "z"}):
        engine._cache_events.append({"sequence": 10, **bad})
        await poller.poll_server("s")
        engine._cache_events.pop()
    assert view.get_last_sequence("s") == 9
    await engine.close()
    await poller.poll_server("s")
    assert view.get_last_sequence("s") == 9
    await client.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
