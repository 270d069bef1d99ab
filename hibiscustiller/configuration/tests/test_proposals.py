"""Acceptance of proposals: owners, conflicts, repeats and faults of the store."""

import sys
from datetime import timedelta

import curio

from hibiscustiller.configuration._head import (
    HEAD_KEY,
    MAX_CHAIN_CHANGES,
    decode_head,
)
from hibiscustiller.configuration.tests._harness import (
    SimulatedFleet,
    edit,
    make_sections,
    make_server,
)
from hibiscustiller.utils import RefusalReason, Verdict, hash_secret
from hibiscustiller.utils._testing import collect_tests


async def start_fleet(count=3, **options):
    fleet = SimulatedFleet(count, **options)
    await fleet.start()
    return fleet


def read_head(fleet):
    return decode_head(fleet.store.entries[HEAD_KEY].value)


def read_reason(answer):
    refusal = answer.err_value.refusal
    return refusal.reason, refusal.verdict


async def test_first_document_needs_a_team_that_owns_the_teams():
    """Guards against a fleet that cannot be set up, or by anybody."""
    fleet = SimulatedFleet(1)
    node = fleet.nodes[0]
    await fleet.do(node.start())
    for team in ("sales", "nobody"):
        answer = await fleet.do(node.propose("p", 0, make_sections(), team))
        assert read_reason(answer)[0] is RefusalReason.UNAUTHENTICATED
    answer = await fleet.do(node.propose("p", 0, make_sections(), "platform"))
    assert answer.ok_value.revision == 1
    await fleet.stop()


async def test_only_owners_change_a_section():
    """Guards against a team that changes, creates, deletes or takes others' work."""
    fleet = await start_fleet(1)
    server = make_server(9, "d0", 0, 8)
    organisation = {"key_sha256": hash_secret("n"), "priority_class": "slow"}
    widened = {"team sales": {"owns": "*"}}
    cases = [
        ("sales", edit(2), None),
        ("bot", edit(2), RefusalReason.FORBIDDEN),
        ("platform", edit(2), RefusalReason.FORBIDDEN),
        ("bot", {"organisation greens": None}, RefusalReason.FORBIDDEN),
        ("bot", {"organisation other": organisation}, RefusalReason.FORBIDDEN),
        ("bot", {"organisation bot-1": organisation}, None),
        ("sales", {"server z": server}, RefusalReason.FORBIDDEN),
        ("sales", widened, RefusalReason.FORBIDDEN),
        ("sales", {**widened, "class slow": {"rank": "3"}}, RefusalReason.FORBIDDEN),
        ("bot", {"team bot": {"owns": "*"}}, RefusalReason.FORBIDDEN),
        ("sales", {"team new": {"owns": "*"}}, RefusalReason.FORBIDDEN),
        ("platform", {"team bot": {"owns": "*"}}, None),
        ("bot", edit(5), None),
        ("bot", {"organisation bot-1": None}, None),
        ("stranger", edit(5), RefusalReason.UNAUTHENTICATED),
    ]
    node = fleet.nodes[0]
    for index, (team, difference, reason) in enumerate(cases):
        before = node.sync.revision
        answer = await fleet.do(node.propose(f"case-{index}", before, difference, team))
        if reason is None:
            assert answer.is_ok(), (team, difference, answer)
        else:
            assert read_reason(answer) == (reason, Verdict.NOT_RUN), (team, difference)
            assert node.sync.revision == before
    await fleet.stop()


async def test_malformed_proposals_change_nothing():
    """Guards against bad input that reaches the store."""
    fleet = await start_fleet(1)
    node = fleet.nodes[0]
    invalid = RefusalReason.INVALID_CONFIGURATION
    cases = [
        ("", 1, edit(2), RefusalReason.BAD_REQUEST),
        ("x" * 65, 1, edit(2), RefusalReason.BAD_REQUEST),
        ("republish-9", 1, edit(2), RefusalReason.BAD_REQUEST),
        ("a", 1, {}, RefusalReason.BAD_REQUEST),
        ("a", 2, edit(2), RefusalReason.CONFLICT),
        ("a", -1, edit(2), RefusalReason.CONFLICT),
        ("a", 1, edit("1\n2"), invalid),
        ("a", 1, edit("0"), invalid),
        ("a", 1, {"organisation greens": {"priority_class": "gone"}}, invalid),
        ("a", 1, edit("x" * 901_000), RefusalReason.TOO_LARGE),
    ]
    for proposal_id, base, difference, reason in cases:
        answer = await fleet.do(node.propose(proposal_id, base, difference, "sales"))
        assert read_reason(answer) == (reason, Verdict.NOT_RUN), answer
    assert read_head(fleet).revision == 1
    await fleet.stop()


async def test_check_only_writes_nothing():
    """Guards against a check that applies the change."""
    fleet = await start_fleet(1)
    node = fleet.nodes[0]
    writes = fleet.store.calls["swap"]
    good = await fleet.do(node.propose("a", 1, edit(2), "sales", is_check_only=True))
    bad = await fleet.do(node.propose("b", 1, edit(0), "sales", is_check_only=True))
    assert good.is_ok() and not good.ok_value.is_applied
    assert bad.is_err()
    assert fleet.store.calls["swap"] == writes
    await fleet.stop()


async def test_older_bases_merge_unless_a_section_is_shared():
    """Guards against lost updates, and against refusals for unrelated changes."""
    fleet = await start_fleet(1)
    node = fleet.nodes[0]
    rows = [
        ("a", 1, edit(2), "sales", 2),
        ("b", 1, {"class slow": {"floor": "0.3"}}, "platform", 3),
        ("c", 1, edit(3), "sales", None),
        ("d", 2, edit(3), "sales", 4),
        # Valid against its base, but not together with the accepted class floors.
        ("e", 1, {"class urgent": {"floor": "0.8"}}, "platform", None),
    ]
    for proposal_id, base, difference, team, revision in rows:
        answer = await fleet.do(node.propose(proposal_id, base, difference, team))
        if revision is None:
            assert answer.is_err(), proposal_id
            assert answer.err_value.current_revision == node.sync.revision
        else:
            assert answer.ok_value.revision == revision, answer
    await fleet.stop()


async def test_conflicting_automation_loses_no_update():
    """Guards against concurrent writers that overwrite each other's sections."""
    fleet = await start_fleet(6)
    tasks = []
    for index, node in enumerate(fleet.nodes):
        tasks.append(
            await curio.spawn(node.propose(f"s{index}", 1, edit(index + 2), "sales"))
        )
        difference = {f"server x{index}": make_server(50 + index, "d0", 0, 8)}
        tasks.append(await curio.spawn(node.propose(f"b{index}", 1, difference, "bot")))
    await fleet.run(20)
    answers = [await task.join() for task in tasks]
    # One writer of the shared section wins; writers of their own sections all do.
    assert sum(answer.is_ok() for answer in answers[0::2]) == 1
    assert all(answer.is_ok() for answer in answers[1::2]), answers
    revisions = [answer.ok_value.revision for answer in answers if answer.is_ok()]
    assert sorted(revisions) == list(range(2, 9))
    fleet.assert_equal()
    await fleet.stop()


async def test_lost_answer_at_every_write_applies_once():
    """Guards against a change that is lost or applied twice after a lost answer."""
    for lost_after in range(5):
        fleet = await start_fleet(2)
        node = fleet.nodes[0]
        # The chain is full, so the change writes snapshot, audit segment and head.
        for number in range(MAX_CHAIN_CHANGES - 1):
            answer = await fleet.do(
                node.propose(f"n{number}", number + 1, edit(number + 2), "sales")
            )
            assert answer.is_ok(), answer
        base = node.sync.revision
        fleet.store.lost_after, fleet.store.lost_answers = lost_after, 1
        answer = await fleet.do(node.propose("last", base, edit(500), "sales"))
        if answer.is_err():
            assert read_reason(answer)[1] is Verdict.NOT_RUN
        fleet.store.lost_answers = 0
        repeat = await fleet.do(
            fleet.nodes[1].propose("last", base, edit(500), "sales")
        )
        assert repeat.ok_value.revision == base + 1, (lost_after, answer, repeat)
        assert repeat.ok_value.is_repeat
        points = [p for p in read_head(fleet).list_points() if p.proposal_id == "last"]
        assert len(points) == 1
        await fleet.run(2)
        fleet.assert_equal()
        audited = await fleet.do(node.audit.list_accepted(500))
        assert [entry.to_revision for entry in audited] == list(range(base + 1, 0, -1))
        await fleet.stop()


async def test_unavailable_store_gives_the_true_verdict():
    """Guards against "not applied" for a change that took effect, and the reverse."""
    fleet = await start_fleet(2)
    node = fleet.nodes[0]
    await fleet.store.fail()
    answer = await fleet.do(node.propose("a", 1, edit(2), "sales"))
    assert read_reason(answer) == (RefusalReason.STORE_UNAVAILABLE, Verdict.NOT_RUN)
    assert answer.err_value.refusal.retry_after > timedelta(0)
    fleet.store.is_down = False
    await fleet.run(30)

    async def fail_after_the_write():
        while fleet.store.lost_answers:
            await fleet.clock.sleep(timedelta(milliseconds=1))
        await fleet.store.fail()

    fleet.store.lost_answers = 1
    await curio.spawn(fail_after_the_write, daemon=True)
    answer = await fleet.do(node.propose("b", 1, edit(3), "sales"))
    assert read_reason(answer) == (
        RefusalReason.STORE_UNAVAILABLE,
        Verdict.MAY_HAVE_RUN,
    )
    assert "repeat the same proposal id" in answer.err_value.refusal.message
    fleet.store.is_down = False
    answer = await fleet.do(node.propose("b", 1, edit(3), "sales"))
    assert answer.ok_value.is_repeat and answer.ok_value.revision == 2
    await fleet.stop()


async def test_waiting_proposals_are_bounded():
    """Guards against proposals that pile up during an outage of the store."""
    fleet = await start_fleet(1)
    node = fleet.nodes[0]
    await fleet.store.fail()
    tasks = [
        await curio.spawn(node.propose(f"p{number}", 1, edit(2), "sales"))
        for number in range(40)
    ]
    await fleet.run(60)
    reasons = [read_reason(await task.join()) for task in tasks]
    assert reasons.count((RefusalReason.STORE_UNAVAILABLE, Verdict.NOT_RUN)) == 8
    assert reasons.count((RefusalReason.OVERLOADED, Verdict.NOT_RUN)) == 32
    await fleet.stop()


async def test_used_proposal_id_with_other_content_is_refused():
    """Guards against an answer of "applied" for a change that was not."""
    fleet = await start_fleet(2)
    await fleet.do(fleet.nodes[0].propose("a", 1, edit(2), "sales"))
    answer = await fleet.do(fleet.nodes[1].propose("a", 2, edit(3), "sales"))
    assert read_reason(answer)[0] is RefusalReason.KEY_REUSED
    await fleet.stop()


async def test_old_repeat_is_not_applied_again_after_the_chain_was_folded():
    """Guards against a repeat that arrives after its change left the chain."""
    fleet = await start_fleet(1)
    node = fleet.nodes[0]
    for number in range(2 * MAX_CHAIN_CHANGES + 200):
        answer = await fleet.do(
            node.propose(f"n{number}", node.sync.revision, edit(number + 1.5), "sales")
        )
        assert answer.is_ok(), answer
    known = await fleet.do(node.propose("n300", 301, edit(301.5), "sales"))
    assert known.ok_value.is_repeat and known.ok_value.revision == 302
    forgotten = await fleet.do(node.propose("n0", 1, edit(1.5), "sales"))
    assert read_reason(forgotten)[0] is RefusalReason.CONFLICT
    snapshots = [key for key in fleet.store.entries if "snapshot" in key]
    assert len(snapshots) == 1, "old snapshots are kept"
    assert len(fleet.store.entries[HEAD_KEY].value) < 96 * 1024
    await fleet.stop()


async def test_large_document_and_large_change_are_in_force_everywhere():
    """Guards against changes that do not fit the chain or the store's values."""
    fleet = await start_fleet(3)
    node = fleet.nodes[0]
    base = node.sync.revision
    servers = {
        f"server big-{index}": {
            **make_server(index + 100, "d0", 0, 8),
            "accelerator": "x" * 700,
        }
        for index in range(800)
    }
    answer = await fleet.do(node.propose("big", base, servers, "platform"))
    assert answer.is_ok(), answer
    await fleet.run(4)
    fleet.assert_equal()
    assert len(fleet.store.entries[HEAD_KEY].value) < 96 * 1024
    repeat = await fleet.do(fleet.nodes[1].propose("big", base, servers, "platform"))
    assert repeat.ok_value.is_repeat
    await fleet.do(node.propose("next", base + 1, edit(7), "sales"))
    await fleet.run(2)
    fleet.assert_equal()
    await fleet.stop()


async def test_router_behind_a_peer_accepts_nothing():
    """Guards against acceptance on a store that lost data, before it is repaired."""
    fleet = await start_fleet(2)
    node = fleet.nodes[0]
    await fleet.do(node.propose("a", 1, edit(2), "sales"))
    await fleet.run(1)
    for other in fleet.nodes:
        await fleet.do(other.stop())
    backup = fleet.store.take_backup()
    late = fleet.make_node(7)
    await fleet.do(late.start())
    late.sync._note_peer("r99", 9)
    answer = await fleet.do(late.propose("b", 2, edit(3), "sales"))
    assert read_reason(answer) == (RefusalReason.STORE_UNAVAILABLE, Verdict.NOT_RUN)
    assert fleet.store.entries[HEAD_KEY] == backup[1][HEAD_KEY]
    await fleet.do(late.stop())
    await fleet.stop()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
