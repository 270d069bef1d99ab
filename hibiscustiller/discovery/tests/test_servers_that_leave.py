"""Servers that leave without a word: their entry is removed while the store answers."""

import sys
import time
from datetime import timedelta

import curio

from hibiscustiller.discovery._outages import StoreAnswer, StoreOutage
from hibiscustiller.discovery._view import FleetView
from hibiscustiller.discovery.tests.fixtures import Fleet, make_entry
from hibiscustiller.platform import decode_server_entry
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._messages_generated import StoreChanges

# The platform's drain time: a server that left serves for this time only.
DRAIN_S = 2.0
# Servers whose entries expired during an outage write them again within this time.
REWRITE_TIME_S = 2.0
# A removal that takes longer is not waited for.
MAX_REMOVAL_TIME_S = 5.0
# Pipelines are found again this much later at most.
PIPELINE_DELAY_S = 0.27
SERVICE = "orders"


def put_servers(fleet, count):
    """Register servers and return their ids."""
    server_ids = [f"s{number}" for number in range(count)]
    for server_id in server_ids:
        fleet.store.put(f"servers/{server_id}", make_entry())
    return server_ids


def list_ids(member):
    return {server.id for server in member.view.list_servers(SERVICE)}


async def measure_removals(fleet, members, server_ids, period_s):
    """Remove servers one after the other.

    :param members: routers at which the removal is waited for.
    :returns: the time until each router had dropped each server, in seconds.
    """
    times = []

    async def measure(server_id):
        removed_at = time.monotonic()
        fleet.store.put(f"servers/{server_id}", None)
        waiting = list(members)
        while waiting:
            await curio.sleep(0.01)
            age_s = time.monotonic() - removed_at
            known = [m for m in waiting if server_id in list_ids(m)]
            known = known if age_s < MAX_REMOVAL_TIME_S else []
            times.extend([age_s] * (len(waiting) - len(known)))
            waiting = known

    async with curio.TaskGroup() as group:
        for server_id in server_ids:
            await group.spawn(measure, server_id)
            await curio.sleep(period_s)
    return times


async def restart_in_turn(fleet, numbers, period_s):
    """Kill and restart routers in turn until cancelled."""
    while True:
        for number in numbers:
            member = fleet.members[number]
            await member.kill()
            await curio.sleep(period_s / 2)
            await fleet.restart(member).start()
            await curio.sleep(period_s / 2)


async def cut_off_in_turn(fleet, numbers, duration_s):
    """Let the store refuse one router after the other until cancelled."""
    while True:
        for number in numbers:
            fleet.store.refused_routers = {fleet.members[number].router_id}
            await curio.sleep(duration_s)
            fleet.store.refused_routers = set()
            await curio.sleep(duration_s / 3)


async def restart_late(fleet, numbers, period_s):
    """Kill and restart routers together; the store does not answer them at first."""
    while True:
        for number in numbers:
            member = fleet.members[number]
            await member.kill()
            fleet.store.refused_routers.add(member.router_id)
            await fleet.restart(member).start()
        await curio.sleep(period_s / 2)
        fleet.store.refused_routers = set()
        await curio.sleep(period_s / 2)


def split_followers(fleet, count=2):
    """Return the numbers of some followers, and the routers that are left alone."""
    followers = [n for n, m in enumerate(fleet.members) if m.relay.is_follower][:count]
    others = [m for n, m in enumerate(fleet.members) if n not in followers]
    return followers, others


async def check_removals_beside(fleet, disturb, period_s, count=2):
    """Check that undisturbed routers drop servers in time beside a disturbance.

    :param count: how many followers are disturbed.
    """
    server_ids = put_servers(fleet, 12)
    await fleet.wait_for_all()
    # Shortly after the start, servers that are missing may still be kept.
    await curio.sleep(2.4)
    numbers, others = split_followers(fleet, count)
    task = await curio.spawn(disturb, fleet, numbers, period_s, daemon=True)
    try:
        times = await measure_removals(fleet, others, server_ids, 0.35)
    finally:
        await task.cancel()
    assert max(times) < DRAIN_S, sorted(times)[-20:]


async def test_servers_that_left_are_dropped_beside_restarts_of_followers():
    """Guards against DRAIN: the start of a process counted as a return of the store.

    All routers then kept removed servers, and longer with each further start.
    """
    async with Fleet(6) as fleet:
        await check_removals_beside(fleet, restart_in_turn, 1.0)


async def test_servers_that_left_are_dropped_beside_followers_without_the_store():
    """Guards against DRAIN: a loss of the store at one router counted for all."""
    async with Fleet(6) as fleet:
        await check_removals_beside(fleet, cut_off_in_turn, 1.5)


# Guards against a router that starts and reads the store late, whose first failed calls
# count as an outage at all others.
async def test_servers_that_left_are_dropped_beside_followers_that_read_late():
    async with Fleet(6) as fleet:
        await check_removals_beside(fleet, restart_late, 1.4, count=3)


# Guards against failed calls of a few followers that count as an outage, although no
# entry can have expired in so short a time.
async def test_servers_that_left_are_dropped_beside_short_cuts_of_all_followers():
    async with Fleet(6, heartbeat=timedelta(seconds=1.2)) as fleet:
        await check_removals_beside(fleet, cut_off_in_turn, 0.3, count=3)


async def test_returns_of_the_store_that_earlier_builds_report_are_not_believed():
    """Guards against DRAIN in an upgrade: earlier builds report each of their starts.

    Their messages have no beginning of an outage.
    """
    async with Fleet(3) as fleet:
        member, other = fleet.members[:2]
        revision = member.watcher.revision
        message = StoreChanges(
            after_revision=revision.number,
            to_revision=revision.number,
            following=True,
            incomplete=False,
            store_returned_ms=10,
            changes=(),
            after_era=revision.era,
            to_era=revision.era,
            era_age_ms=0,
            document_version=0,
            outage_began_ms=0,
            reached_since_ms=0,
            answered_ms=0,
            request_sent_ms=0,
            current_ms=0,
            current_revision=0,
            current_era=0,
        )
        fleet.store.put("servers/first", None)
        until = time.monotonic() + DRAIN_S / 2
        while time.monotonic() < until and list_ids(member):
            await member.relay._handle_changes(
                other.router_id, other.datagrams.address, message
            )
            await curio.sleep(0.05)
        assert not list_ids(member)


async def test_an_outage_costs_no_server_whose_entry_expired_in_it():
    """Guards against servers that are dropped although they register again.

    One router starts while the store is away, and another right after its return.
    """
    async with Fleet(6) as fleet:
        server_ids = put_servers(fleet, 6)
        await fleet.wait_for_all()
        await curio.sleep(2.4)
        for down_s in (2.5, 4.0):
            fleet.store.is_down = True
            await curio.sleep(down_s / 2)
            starting = fleet.members[1]
            await starting.kill()
            await fleet.restart(starting).start()
            await curio.sleep(down_s / 2)
            for server_id in server_ids:
                fleet.store.put(f"servers/{server_id}", None)
            running = [m for m in fleet.members if m is not fleet.members[1]]
            fleet.store.is_down = False
            until = time.monotonic() + REWRITE_TIME_S
            while time.monotonic() < until:
                for member in running:
                    assert list_ids(member) >= set(server_ids), member.router_id
                await curio.sleep(0.01)
            put_servers(fleet, 6)
            await fleet.wait_for_all()
            await curio.sleep(1.0)
            for member in fleet.members:
                assert list_ids(member) >= set(server_ids), member.router_id


async def test_leaving_servers_are_no_last_resort_after_the_drain_time():
    """Guards against DRAIN: the time of a last resort began when a router learnt of it.

    A router whose source is killed learns of a change more than a second late.
    """
    async with Fleet(12) as fleet:
        server_ids = put_servers(fleet, 8)
        await fleet.wait_for_all()
        numbers, others = split_followers(fleet)
        ages = []
        for server_id in server_ids:
            for number in numbers:
                await fleet.members[number].kill()
            began_at = time.monotonic()
            fleet.store.put(f"servers/{server_id}", make_entry("draining"))
            while time.monotonic() - began_at < DRAIN_S + 1.0:
                age_s = time.monotonic() - began_at
                for member in others:
                    leaving = member.view.list_leaving(SERVICE)
                    if any(server.id == server_id for server in leaving):
                        ages.append(age_s)
                await curio.sleep(0.01)
            for number in numbers:
                await fleet.restart(fleet.members[number]).start()
            await fleet.wait_for_all()
            await curio.sleep(0.7)
        assert ages
        assert max(ages) < DRAIN_S - PIPELINE_DELAY_S, sorted(ages)[-5:]


def make_view():
    """Return a clock and the view of a router that has known a server for long."""
    clock = ManualClock()
    clock.advance(timedelta(seconds=100))
    view = FleetView(clock, timedelta(seconds=DRAIN_S))
    view.apply_server(decode_server_entry("servers/s0", make_entry()))
    clock.advance(timedelta(seconds=10))
    view.record_current()
    return clock, view


def report_outage(clock, view, duration_s):
    """Report an outage that ends now, by another router."""
    now = clock.monotonic()
    outage = StoreOutage(now - timedelta(seconds=duration_s), now)
    view.outages.record_reported(outage, "r2")


def measure_time_kept(clock, view):
    """Return for how long a server is listed after its removal is learnt.

    Missing servers are dropped at the polls of the slowest routers.
    """
    removed_at = clock.monotonic()
    view.remove_server("s0")
    while view.list_servers(SERVICE):
        clock.advance(timedelta(seconds=0.77))
        view.record_current()
        view.drop_missing()
    return (clock.monotonic() - removed_at).total_seconds()


def test_a_removal_right_after_an_outage_is_kept_for_less_than_the_drain_time():
    """Guards against DRAIN: removals after the return were kept for 2.3 s from it.

    The state was that of the store when the outage was reported, so that the entry was
    removed later.
    """
    for delay_s in (0.01, 0.161, 0.45):
        clock, view = make_view()
        report_outage(clock, view, 0.388)
        view.record_current()
        clock.advance(timedelta(seconds=delay_s))
        kept_s = measure_time_kept(clock, view)
        # The removal may have come right after the state was last known.
        assert delay_s + kept_s < DRAIN_S - PIPELINE_DELAY_S, delay_s


def test_a_removal_after_the_return_of_the_store_is_not_kept():
    """Guards against DRAIN: an outage that was over counted for later removals."""
    clock, view = make_view()
    report_outage(clock, view, 3.0)
    clock.advance(timedelta(seconds=0.6))
    view.record_current()
    clock.advance(timedelta(seconds=0.1))
    assert measure_time_kept(clock, view) == 0


def test_later_outages_at_one_router_do_not_extend_the_time_of_a_missing_server():
    """Guards against DRAIN: each cut of one router gave missing servers 2.3 s more."""
    clock, view = make_view()
    report_outage(clock, view, 0.388)
    view.record_current()
    clock.advance(timedelta(seconds=0.1))
    view.remove_server("s0")
    for _ in range(4):
        clock.advance(timedelta(seconds=0.3))
        report_outage(clock, view, 0.157)
        view.drop_missing()
    clock.advance(timedelta(seconds=0.3))
    view.drop_missing()
    assert not view.list_servers(SERVICE)


def test_entries_that_expired_in_an_outage_are_kept_until_servers_wrote_them_again():
    """Guards against servers that are dropped although they register again."""
    clock, view = make_view()
    clock.advance(timedelta(seconds=3))
    report_outage(clock, view, 2.5)
    clock.advance(timedelta(seconds=0.3))
    view.remove_server("s0")
    clock.advance(timedelta(seconds=REWRITE_TIME_S - 0.3))
    view.record_current()
    view.drop_missing()
    assert view.list_servers(SERVICE)


def test_a_withdrawn_outage_keeps_no_server():
    """Guards against DRAIN: a removal that came with a false report was kept."""
    clock, view = make_view()
    clock.advance(timedelta(seconds=0.4))
    report_outage(clock, view, 0.388)
    ended_at = clock.monotonic()
    view.remove_server("s0")
    assert view.list_servers(SERVICE)
    clock.advance(timedelta(seconds=0.5))
    view.outages.record_report_of_none("r2", StoreAnswer(ended_at, clock.monotonic()))
    view.drop_missing()
    assert not view.list_servers(SERVICE)


async def check_removals_beside_cuts(size, loss):
    """Check that routers that the store answers drop servers beside short cuts.

    Two followers are cut off together, again and again, for as long as one call lasts.
    """
    async with Fleet(size, loss) as fleet:
        server_ids = put_servers(fleet, 10)
        await fleet.wait_for_all(5.0)
        await curio.sleep(2.4)
        numbers, others = split_followers(fleet)
        refused = {fleet.members[number].router_id for number in numbers}

        async def cut_off():
            while True:
                fleet.store.refused_routers = refused
                await curio.sleep(0.8)
                fleet.store.refused_routers = set()
                await curio.sleep(0.9)

        task = await curio.spawn(cut_off, daemon=True)
        try:
            times = await measure_removals(fleet, others, server_ids, 0.43)
        finally:
            await task.cancel()
        assert max(times) < DRAIN_S, sorted(times)[-20:]


async def test_servers_that_left_are_dropped_beside_short_cuts_of_two_followers():
    """Guards against DRAIN: records of short cuts that reached routers by one source.

    Such a router heard of no answers to others, which disprove the record.
    """
    await check_removals_beside_cuts(7, 0.05)


async def test_servers_that_left_are_dropped_beside_short_cuts_in_a_large_fleet():
    """Guards against DRAIN: as above, where routers poll more rarely."""
    await check_removals_beside_cuts(60, 0.05)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
