"""Many routers beside a store that returns to an earlier state, under faults."""

import json
import sys
from dataclasses import replace
from datetime import timedelta

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.discovery.tests.fixtures import SECOND, Fleet
from hibiscustiller.fleet import BackendServer, LayerRange, ServerState
from hibiscustiller.settings import Address
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

CHANGE_LIMIT_S = 2.0
LOST_WRITES = 12


def make_document(version, routes=()):
    return json.dumps(
        {"version": version, "routes": list(routes), "services": []}
    ).encode()


async def put_document(fleet, version):
    """Write a configuration and wait until it is in force on all running routers."""
    fleet.store.put("op/config", make_document(version))
    async with curio.timeout_after(CHANGE_LIMIT_S):
        while any(
            m.view.document is None or m.view.document.version != version
            for m in fleet.running
        ):
            await curio.sleep(0.01)


async def lose_writes(fleet):
    """Write what a restore to an earlier copy will lose, and wait for all routers."""
    for number in range(LOST_WRITES):
        fleet.store.put(f"others/{number}", b"x")
    await fleet.wait_for_all(CHANGE_LIMIT_S)


async def restore(fleet, copy, down_s=0.4):
    fleet.store.is_down = True
    await curio.sleep(down_s)
    fleet.store.restore(copy)
    fleet.store.is_down = False


def list_versions(fleet):
    return {member.view.document.version for member in fleet.running}


async def test_a_restore_costs_the_followers_one_read_and_the_others_none():
    """Guards against a burst of full reads on a store that has just come back."""
    async with Fleet(60) as fleet:
        await put_document(fleet, 3)
        copy = fleet.store.copy()
        await put_document(fleet, 4)
        await lose_writes(fleet)
        followers = {m.router_id for m in fleet.members if m.relay.is_follower}
        fleet.store.calls_by_router.clear()
        await restore(fleet, copy)
        fleet.store.put("op/config", make_document(5))
        await fleet.wait_for_all(CHANGE_LIMIT_S)
        assert list_versions(fleet) == {5}
        await curio.sleep(2.0)
        others = [m for m in fleet.members if m.router_id not in followers]
        calls = fleet.store.calls_by_router
        # A router without a watch writes its entry again, and reads nothing.
        assert max(calls[member.router_id] for member in others) <= 2, calls
        for router_id in followers:
            assert calls[router_id] <= 16, calls


async def test_all_routers_follow_a_restored_store_although_datagrams_are_lost():
    """Guards against a router that stays in the era before the restore."""
    async with Fleet(12, loss=0.2) as fleet:
        await put_document(fleet, 3)
        for version in (4, 6):
            copy = fleet.store.copy()
            await put_document(fleet, version)
            await lose_writes(fleet)
            await restore(fleet, copy)
            await put_document(fleet, version + 1)
            assert list_versions(fleet) == {version + 1}
        for member in fleet.members:
            assert member.revisions == sorted(member.revisions)


async def test_a_follower_whose_watch_outlives_the_restore_reads_again():
    """Guards against a watch for revisions that the restored store never reaches."""
    async with Fleet(6) as fleet:
        copy = fleet.store.copy()
        await lose_writes(fleet)
        fleet.store.restore(copy)
        await put_document(fleet, 2)
        assert list_versions(fleet) == {2}


async def test_a_router_that_the_store_refused_meanwhile_learns_of_the_restore():
    """Guards against routers that were cut off from the store during the restore."""
    async with Fleet(9) as fleet:
        copy = fleet.store.copy()
        await put_document(fleet, 3)
        await lose_writes(fleet)
        refused = {member.router_id for member in fleet.members[::2]}
        fleet.store.refused_routers = refused
        await restore(fleet, copy)
        await put_document(fleet, 4)
        assert list_versions(fleet) == {4}
        fleet.store.refused_routers = set()
        await put_document(fleet, 5)
        assert list_versions(fleet) == {5}


async def test_a_router_that_starts_after_the_restore_learns_what_the_copy_lacks():
    """Guards against an older configuration and departed servers at new routers."""
    async with Fleet(6) as fleet:
        # Shortly after the first read, servers that are missing are still kept.
        await curio.sleep(2.4)
        await put_document(fleet, 3)
        copy = fleet.store.copy()
        await put_document(fleet, 5)
        fleet.store.put("servers/first", None)
        await lose_writes(fleet)
        await restore(fleet, copy)
        await fleet.wait_for_all(CHANGE_LIMIT_S)
        for number in (1, 4):
            member = fleet.members[number]
            await member.kill()
            await fleet.restart(member).start()
        await curio.sleep(1.5)
        assert list_versions(fleet) == {5}
        for member in fleet.members:
            assert member.view.list_servers("orders") == []


async def test_routers_stay_known_until_they_have_registered_again():
    """Guards against roles that move away while the store lacks the routers' entries.

    Coordinators and followers are chosen by rank among the registered routers.
    """
    async with Fleet(9) as fleet:
        copy = fleet.store.copy()
        for key in [key for key in copy[0] if key.startswith("routers/")]:
            del copy[0][key]
        await lose_writes(fleet)
        generations = [member.view.routers_generation for member in fleet.members]
        await restore(fleet, copy)
        await curio.sleep(3.0)
        for member, generation in zip(fleet.members, generations, strict=True):
            assert len(member.view.peers_by_id) == 9
            assert member.view.routers_generation == generation
        keys = [key for key in fleet.store.values_by_key if key.startswith("routers/")]
        assert len(keys) == 9


async def test_a_version_of_any_length_reaches_all_routers():
    """Guards against a number that messages between routers cannot hold."""
    async with Fleet(6) as fleet:
        await put_document(fleet, 10**30)
        await put_document(fleet, 10**30 + 1)


async def test_a_store_that_was_merely_away_undoes_nothing():
    """Guards against treating each outage as a restore."""
    async with Fleet(6) as fleet:
        await put_document(fleet, 3)
        fleet.store.is_down = True
        await curio.sleep(0.5)
        fleet.store.is_down = False
        await put_document(fleet, 4)
        assert list_versions(fleet) == {4}
        assert all(member.watcher.era_age is None for member in fleet.members)


def make_view():
    clock = ManualClock()
    return clock, FleetView(clock, 2 * SECOND)


def make_server(**values):
    server = BackendServer(
        "e0",
        "engines",
        Address("127.0.0.1", 9),
        "north",
        8,
        ServerState.READY,
        "large",
        LayerRange(0, 8),
        born=5,
        update=10,
    )
    return replace(server, **values)


def test_older_layers_of_a_running_process_are_not_believed():
    """Guards against pipelines through layers that an engine has given up since."""
    _, view = make_view()
    view.apply_server(make_server(layers=LayerRange(2, 6), update=12))
    view.apply_server(make_server(update=10), is_restored=True)
    assert view.get_server("e0").layers == LayerRange(2, 6)
    # A later update, which the server wrote after the restore, holds.
    view.apply_server(make_server(layers=LayerRange(0, 4), update=14), is_restored=True)
    assert view.get_server("e0").layers == LayerRange(0, 4)


def test_a_new_process_in_a_restored_store_replaces_the_old_one():
    """Guards against a server that started again during the outage."""
    _, view = make_view()
    view.apply_server(make_server(update=90))
    restarted = make_server(born=8, update=1, layers=LayerRange(0, 0))
    view.apply_server(restarted, is_restored=True)
    assert view.get_server("e0") == restarted
    view.apply_server(make_server(update=90), is_restored=True)
    assert view.get_server("e0") == restarted


def test_a_server_that_said_that_it_leaves_is_not_ready_again():
    """Guards against work for a server that drains and is ready in the copy."""
    clock, view = make_view()
    view.apply_server(make_server(state=ServerState.DRAINING, update=12))
    view.apply_server(make_server(), is_restored=True)
    assert view.list_servers("engines") == []
    clock.advance(timedelta(minutes=1))
    view.drop_missing()
    assert view.list_servers("engines") == []


def test_an_outdated_entry_that_remains_is_used_after_all():
    """Guards against a server that is left out for good.

    The platform removes the entry of a server that is gone within some seconds.
    """
    clock, view = make_view()
    view.apply_server(make_server(update=12))
    view.remove_server("e0")
    view.apply_server(make_server(), is_restored=True)
    assert view.list_servers("engines") == [] == view.list_leaving("engines")[1:]
    clock.advance(timedelta(minutes=1))
    view.drop_missing()
    assert len(view.list_servers("engines")) == 1
    # It is removed like any other.
    view.remove_server("e0")
    assert view.list_servers("engines") == []


def lose_store(view, clock):
    """Let a router's own calls fail for two seconds."""
    view.outages.record_failure(clock.monotonic())
    clock.advance(2 * SECOND)
    view.outages.record_answer()


def test_a_missing_server_survives_a_second_outage():
    """Guards against the loss of servers that had no time to register again."""
    clock, view = make_view()
    view.apply_server(make_server())
    lose_store(view, clock)
    view.remove_server("e0")
    lose_store(view, clock)
    clock.advance(SECOND)
    view.drop_missing()
    assert len(view.list_servers("engines")) == 1
    clock.advance(2 * SECOND)
    view.drop_missing()
    assert view.list_servers("engines") == []


def test_a_router_that_had_ended_is_not_counted_again_at_once():
    """Guards against roles for a router whose entry is back in the copy."""
    clock, view = make_view()
    peer = Peer("r1", Address("127.0.0.1", 9), "north")
    view.apply_peer(peer)
    view.remove_peer("r1")
    view.apply_peer(peer, is_restored=True)
    assert view.peers_by_id == {}
    # It started again and registered.
    view.apply_peer(peer)
    assert set(view.peers_by_id) == {"r1"}
    view.remove_peer("r1", is_restored=True)
    clock.advance(5 * SECOND)
    view.drop_missing()
    assert set(view.peers_by_id) == {"r1"}
    clock.advance(5 * SECOND)
    view.drop_missing()
    assert view.peers_by_id == {}


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
