"""A store that is silent to some routers and answers the others."""

import sys
from datetime import timedelta

import curio

from hibiscustiller.discovery._freshness import (
    POLL_JITTER,
    ReportedEvidence,
    StateEvidence,
    compute_limits,
)
from hibiscustiller.discovery.tests.fixtures import (
    CHANGE_LIMIT,
    SECOND,
    Fleet,
    make_entry,
)
from hibiscustiller.platform import Revision
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._messages_generated import StoreChanges

# A router that lost the store is not bound by the limit for some seconds after.
RETURN_TIME_S = 6.0
SILENCE_S = 6.0


def split_followers(fleet):
    """Return the ids of the followers, and the other members."""
    followers = {m.router_id for m in fleet.members if m.relay.is_follower}
    return followers, [m for m in fleet.members if m.router_id not in followers]


async def wait_for_change(fleet, members):
    """Wait until the members have the store's revision, within the limit."""
    async with curio.timeout_after(CHANGE_LIMIT.total_seconds()):
        while any(m.watcher.revision < fleet.store.revision for m in members):
            await curio.sleep(0.01)


async def check_changes_beside_silence(size, delays_s, loss=0.0):
    """Silence the store for the followers and write a change after each delay."""
    async with Fleet(size, loss=loss) as fleet:
        followers, others = split_followers(fleet)
        for number, delay_s in enumerate(delays_s):
            fleet.store.silent_routers = set(followers)
            await curio.sleep(delay_s)
            fleet.store.put(f"servers/s{number}", make_entry())
            await wait_for_change(fleet, others)
            fleet.store.silent_routers = set()
            await curio.sleep(RETURN_TIME_S)


async def test_changes_arrive_while_the_store_is_silent_to_all_followers():
    """Guards against CONFIG: a watch that only waits counted as current."""
    await check_changes_beside_silence(9, (0.0, 0.3, 1.2))


async def test_changes_arrive_in_a_large_fleet_while_the_store_is_silent_to_followers():
    """Guards against the same where polls of the followers are farther apart."""
    await check_changes_beside_silence(60, (0.0,))


async def test_changes_arrive_after_a_silence_that_lasts_longer_for_followers():
    """Guards against CONFIG: a router that reaches the store again waits for others."""
    async with Fleet(9) as fleet:
        followers, others = split_followers(fleet)
        fleet.store.silent_routers = {m.router_id for m in fleet.members}
        await curio.sleep(3.0)
        fleet.store.silent_routers = set(followers)
        await curio.sleep(1.0)
        fleet.store.put("servers/late", make_entry())
        await wait_for_change(fleet, others)


async def test_a_router_that_watches_instead_of_its_sources_stays_confirmed():
    """Guards against DRAIN: such a router kept servers whose entries were gone.

    It renewed its lease so rarely that its own watch did not count as current.
    """
    async with Fleet(9) as fleet:
        followers, others = split_followers(fleet)
        fleet.store.silent_routers = set(followers)
        await curio.sleep(CHANGE_LIMIT.total_seconds() + 1.0)
        until = await curio.clock() + 4.0
        while await curio.clock() < until:
            assert all(member.relay._is_confirmed() for member in others)
            await curio.sleep(0.02)


async def test_one_follower_that_reaches_the_store_is_enough():
    """Guards against calls by all routers when the store is silent to two followers."""
    async with Fleet(24) as fleet:
        followers, others = split_followers(fleet)
        fleet.store.silent_routers = set(sorted(followers)[:2])
        fleet.store.calls_by_router.clear()
        for number in range(4):
            await curio.sleep(1.0)
            fleet.store.put(f"servers/s{number}", make_entry())
            await wait_for_change(fleet, fleet.members)
        assert not any(fleet.store.calls_by_router[m.router_id] for m in others)


async def test_a_store_that_is_silent_to_all_turns_no_router_into_a_follower():
    """Guards against watches and reads by the whole fleet while no router is served."""
    async with Fleet(60) as fleet:
        followers, others = split_followers(fleet)
        fleet.store.calls_by_router.clear()
        fleet.store.silent_routers = {m.router_id for m in fleet.members}
        await curio.sleep(SILENCE_S)
        assert {m.router_id for m in fleet.store_followers} == followers
        fleet.store.put("servers/late", make_entry())
        fleet.store.silent_routers = set()
        await wait_for_change(fleet, fleet.members)
        calls = sum(fleet.store.calls_by_router[m.router_id] for m in others)
        assert calls <= 0.2 * fleet.size, fleet.store.calls_by_router


async def test_a_calm_store_is_called_by_followers_only():
    """Guards against checks on a calm day, which every router would pay for."""
    async with Fleet(24) as fleet:
        followers, others = split_followers(fleet)
        calls, cost = fleet.store.calls, fleet.store.cost
        fleet.store.calls_by_router.clear()
        await curio.sleep(6.0)
        assert not any(fleet.store.calls_by_router[m.router_id] for m in others)
        # Renewals of the followers each half second at most, of the others each 2.5 s.
        renewals = len(followers) * 13 + len(others) * 3
        assert fleet.store.calls - calls <= renewals
        assert fleet.store.cost - cost <= 0.1 * renewals + 0.01


def make_message(member, **values):
    """Return a message that tells of a member's state and of no changes."""
    revision = member.watcher.revision
    fields = {
        "after_revision": revision.number,
        "to_revision": revision.number,
        "following": True,
        "incomplete": False,
        "store_returned_ms": 0,
        "changes": (),
        "after_era": revision.era,
        "to_era": revision.era,
        "era_age_ms": 0,
        "document_version": 0,
        "outage_began_ms": 0,
        "reached_since_ms": 0,
        "answered_ms": 0,
        "request_sent_ms": 0,
        "current_ms": 0,
        "current_revision": 0,
        "current_era": 0,
    }
    return StoreChanges(**{**fields, **values})


async def measure_age_after(**values):
    """Return the age of a member's evidence after a message from its source.

    :param values: fields of the message; `sent_ago_ms` replaces the time of the request
        and `missing` tells of so many more changes.
    """
    async with Fleet(4) as fleet:
        member = next(m for m in fleet.members if not m.relay.is_follower)
        source = fleet.members_by_address[
            member.view.peers_by_id[member.relay.source].address
        ]
        now_ms = member.relay._clock.boot_time() // timedelta(milliseconds=1)
        revision = member.watcher.revision
        values = dict(values)
        if "sent_ago_ms" in values:
            values["request_sent_ms"] = now_ms - values.pop("sent_ago_ms")
            values["current_revision"] = revision.number + values.pop("missing", 0)
            values["current_era"] = revision.era
        await source.kill()
        member.watcher.evidence.at = None
        message = make_message(member, **values)
        await member.relay._handle_changes(
            source.router_id, source.datagrams.address, message
        )
        return member.relay._get_age()


async def test_an_answer_is_as_old_as_the_request_and_its_evidence():
    """Guards against CONFIG: an answer that was delayed counted as recent."""
    age = await measure_age_after(sent_ago_ms=1500, current_ms=400)
    assert timedelta(seconds=1.9) <= age < timedelta(seconds=2.1)


async def test_evidence_of_a_newer_state_says_nothing_about_an_older_one():
    """Guards against CONFIG: a router that lacks a change counted as current."""
    assert await measure_age_after(sent_ago_ms=1, current_ms=1, missing=1) is None


async def test_earlier_versions_tell_when_the_store_answered_them():
    """Guards against CONFIG in an upgrade, and against calls by all newer routers."""
    age = await measure_age_after(answered_ms=1200)
    assert timedelta(seconds=1.2) <= age < timedelta(seconds=1.4)
    assert await measure_age_after(answered_ms=1200, following=False) is None


def test_a_renewal_confirms_the_state_of_a_watch_that_waited_before_it():
    """Guards against evidence from a moment at which no watch would have answered."""
    evidence = StateEvidence()
    evidence.record_answer(1 * SECOND)
    evidence.record_renewal(2 * SECOND)
    assert evidence.get_age(3 * SECOND) == 2 * SECOND
    evidence.begin_wait(4 * SECOND)
    evidence.record_renewal(3 * SECOND)
    assert evidence.get_age(4 * SECOND) == 3 * SECOND
    evidence.record_renewal(5 * SECOND)
    evidence.end_wait()
    evidence.record_renewal(6 * SECOND)
    assert evidence.get_age(6 * SECOND) == 1 * SECOND


def test_evidence_that_arrives_late_replaces_no_later_one():
    """Guards against reports that are reordered or repeated on their way."""
    evidence = StateEvidence()
    for at in (3, 2):
        report = ReportedEvidence(Revision(1, 7), at * SECOND)
        assert evidence.record_report(report, Revision(1, 7))
    assert evidence.get_age(4 * SECOND) == 1 * SECOND


def test_the_parts_of_the_limit_add_up_at_every_size():
    """Guards against CONFIG: a sum of timeouts beyond the time that a change has."""
    for limit_s in (2, 3, 4):
        for poll_ms in (310, 390, 590, 700):
            limits = compute_limits(limit_s * SECOND, timedelta(milliseconds=poll_ms))
            calm = limits.renewal_period + limits.poll_period * (1 + POLL_JITTER)
            assert calm < limits.check_age < limits.max_age
            assert limits.max_age + timedelta(milliseconds=400) <= limit_s * SECOND
    shortest = compute_limits(timedelta(milliseconds=1), timedelta(milliseconds=700))
    assert timedelta(0) < shortest.check_age < shortest.max_age


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
