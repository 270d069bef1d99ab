"""The calls of many routers to one store, and the state of each router under faults.

The store charges each call, and its rate limits grow more slowly than the fleet.
"""

import json
import random
import sys

import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.discovery import ChangeBatch, ChangeLog, choose_followers
from hibiscustiller.discovery._deltas import apply_delta, make_delta
from hibiscustiller.discovery.tests.fixtures import Fleet, make_entry
from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.platform import Change, Revision
from hibiscustiller.utils._testing import collect_tests

# A change of the configuration must be in force on all routers within this time.
CHANGE_LIMIT_S = 2.0


async def test_calls_grow_with_followers_and_not_with_routers():
    """Guards against one call per router for each change."""
    calls_by_size = {}
    for size in (10, 40):
        async with Fleet(size) as fleet:
            before = fleet.store.calls
            for number in range(8):
                fleet.store.put(f"servers/s{number}", make_entry())
                await fleet.wait_for_all(CHANGE_LIMIT_S)
            calls_by_size[size] = fleet.store.calls - before
            for member in fleet.members:
                assert len(member.view.list_servers("orders")) == 9
    # At most one call per change by each of the three followers, and their open calls.
    assert max(calls_by_size.values()) <= 3 * (8 + 1)


async def test_changes_arrive_although_all_followers_are_killed():
    """Guards against routers that rely on sources whose processes have ended."""
    async with Fleet(12) as fleet:
        for member in fleet.store_followers:
            await member.kill()
        fleet.store.put("servers/late", make_entry())
        await fleet.wait_for_all(CHANGE_LIMIT_S)


async def test_changes_reach_followers_that_the_store_refuses():
    """Guards against a partition that leaves some routers with stale state."""
    async with Fleet(12) as fleet:
        fleet.store.refused_routers = {m.router_id for m in fleet.store_followers[:2]}
        await curio.sleep(0.5)
        fleet.store.put("servers/first", make_entry("draining"))
        await fleet.wait_for_all(CHANGE_LIMIT_S)
        for member in fleet.members:
            assert member.view.list_servers("orders") == []


async def test_lost_datagrams_are_recovered_and_no_revision_decreases():
    """Guards against changes that are lost with a datagram or undone later."""
    async with Fleet(12, loss=0.2) as fleet:
        # Shortly after the first read, servers that are missing are still kept.
        await curio.sleep(2.4)
        for number in range(6):
            fleet.store.put(
                "servers/first", make_entry(("ready", "draining")[number % 2])
            )
            fleet.store.put(f"servers/s{number}", make_entry())
            if number:
                fleet.store.put(f"servers/s{number - 1}", None)
            await fleet.wait_for_all(CHANGE_LIMIT_S)
            for member in fleet.members:
                ids = {server.id for server in member.view.list_servers("orders")}
                assert ids - {"first"} == {f"s{number}"}
        for member in fleet.members:
            assert member.revisions == sorted(member.revisions)


async def test_a_router_stops_following_when_followers_are_back():
    """Guards against routers that continue to watch the store after a fault."""
    async with Fleet(12) as fleet:
        followers = {member.router_id for member in fleet.store_followers}
        fleet.store.refused_routers = set(followers)
        await curio.sleep(2.5)
        assert len(fleet.store_followers) > len(followers)
        fleet.store.refused_routers = set()
        async with curio.timeout_after(10):
            while {m.router_id for m in fleet.store_followers} != followers:
                await curio.sleep(0.05)


async def test_many_changes_at_once_need_no_read():
    """Guards against a full read by every router when all engines change at once.

    In a fleet of full size 191 of 195 routers read the store again after the placement
    of the layers, because the changes did not fit into one message.
    """
    async with Fleet(12) as fleet:
        calls = fleet.store.calls
        for number in range(300):
            fleet.store.put(f"servers/s{number}", make_entry())
        await fleet.wait_for_all(CHANGE_LIMIT_S)
        for member in fleet.members:
            assert len(member.view.list_servers("orders")) == 301
        assert fleet.store.calls - calls <= 3 * 4


async def test_short_watch_failures_are_left_to_the_followers():
    """Guards against a read by every router whenever the store closes its watches."""
    async with Fleet(24) as fleet:
        followers = fleet.store_followers
        for _ in range(3):
            fleet.store.refused_routers = {m.router_id for m in followers}
            await curio.sleep(0.3)
            fleet.store.refused_routers = set()
            await curio.sleep(1.0)
            assert fleet.store_followers == followers


async def test_missing_entries_are_kept_everywhere_after_an_outage():
    """Guards against routers without a watch that remove servers after an outage.

    Entries that expire during a store outage are written again within two seconds of
    its end.
    """
    async with Fleet(9) as fleet:
        fleet.store.refused_routers = {member.router_id for member in fleet.members}
        await curio.sleep(0.5)
        fleet.store.refused_routers = set()
        fleet.store.put("servers/first", None)
        await fleet.wait_for_all(CHANGE_LIMIT_S)
        for member in fleet.members:
            assert len(member.view.list_servers("orders")) == 1
        async with curio.timeout_after(4):
            while any(member.view.list_servers("orders") for member in fleet.members):
                await curio.sleep(0.05)


def make_routes(count):
    """Return many routes, whose random names do not compress well."""
    names = random.Random(5)
    route = {"host": "a.example", "timeout_ms": 800, "kind": "idempotent"}
    return [
        {**route, "name": f"{names.getrandbits(64):x}", "prefix": f"/p{number}/"}
        for number in range(count)
    ]


async def test_small_changes_of_a_large_document_are_sent_as_differences():
    """Guards against followers that saturate their link with whole documents.

    With 1,320 added routes (turf-orders-large, trouble-1), a router answered under a
    configuration that was five seconds old. Its source sent the whole document to
    thirty routers several times a second, and the datagrams were lost.
    """
    async with Fleet(12) as fleet:
        routes = make_routes(1400)
        fleet.store.put("op/config", json.dumps({"routes": routes}).encode())
        await fleet.wait_for_all(CHANGE_LIMIT_S)
        calls, sent = fleet.store.calls, fleet.sent_bytes
        for number in range(5):
            routes[number * 100]["timeout_ms"] = 900 + number
            del routes[number * 50]
            data = json.dumps({"version": number, "routes": routes}).encode()
            fleet.store.put("op/config", data)
            await fleet.wait_for_all(CHANGE_LIMIT_S)
            for member in fleet.members:
                found = member.watcher.find_version("op/config", fleet.store.revision)
                assert found[1] == data
        # No router reads the document again, and all messages together are shorter than
        # one document.
        assert fleet.store.calls - calls <= 3 * 6
        assert fleet.sent_bytes - sent < len(data)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(st.binary(max_size=3), max_size=12),
    st.lists(st.binary(max_size=3), max_size=12),
)
def test_a_difference_gives_back_the_value(before, after):
    """Guards against an incorrectly reconstructed document."""
    old, new = b"}".join(before), b"}".join(after)
    assert apply_delta(old, make_delta(old, new)) == new


def test_a_difference_from_another_value_is_refused():
    """Guards against a document that mixes parts of two versions."""
    delta = make_delta(b"a}b}c}d", b"a}b}c}e")
    for before, data in ((b"a", delta), (b"a}b}c}d", delta[:-3]), (b"", b"x")):
        try:
            raise AssertionError(apply_delta(before, data))
        except WireFormatError:
            pass


def make_change(key, number, value=b"x"):
    return Change(key, value, Revision(0, number))


def make_batch(after, to, items, **options):
    return ChangeBatch(Revision(0, after), Revision(0, to), items, **options)


def collect(log, after, to):
    return log.collect(Revision(0, after), Revision(0, to))


def test_a_difference_is_sent_only_to_routers_at_its_start():
    """Guards against a server that stays known after its removal.

    A difference of two states lacks keys that were both written and deleted between
    them, so a router whose revision lies in between would miss the deletion.
    """
    log = ChangeLog()
    log.append(make_batch(10, 12, (make_change("a", 11), make_change("a", 12))))
    log.append(make_batch(12, 20, (make_change("b", 18),), is_difference=True))
    assert [c.key for c in collect(log, 10, 20).items] == ["a", "b"]
    assert [c.revision.number for c in collect(log, 10, 20).items] == [12, 18]
    assert collect(log, 12, 20) is not None
    assert collect(log, 15, 20) is None
    assert collect(log, 9, 20) is None
    assert collect(log, 20, 20).items == ()


def test_followers_stay_few_and_most_stay_the_same():
    """Guards against replacing all followers whenever a router joins or leaves."""
    routers = {f"r{number}" for number in range(330)}
    followers = choose_followers(routers)
    assert 3 <= len(followers) <= 10
    for gone in sorted(routers)[:50]:
        after = choose_followers(routers - {gone})
        assert len(set(after) - set(followers)) <= 1


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
