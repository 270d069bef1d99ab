"""Synchronisation with the store and the peers, under faults."""

import sys
import zlib
from datetime import timedelta

from hibiscustiller.configuration import (
    SyncOptions,
    apply_difference,
    compute_difference,
)
from hibiscustiller.configuration._changes import (
    make_change_message,
    read_change_message,
)
from hibiscustiller.configuration._head import HEAD_KEY, decode_head
from hibiscustiller.configuration.tests._harness import (
    Node,
    SimulatedFleet,
    edit,
    make_sections,
)
from hibiscustiller.exceptions import InvariantError
from hibiscustiller.platform import EtcdStore
from hibiscustiller.settings import Address
from hibiscustiller.standins import PlatformStandin
from hibiscustiller.utils import SystemClock, violations_by_name
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient
from hibiscustiller.wire._messages_generated import (
    ConfigRequest,
    ConfigSnapshot,
    Heartbeat,
    decode_message,
    encode_message,
)


async def start_fleet(count, **options):
    fleet = SimulatedFleet(count, **options)
    await fleet.start()
    return fleet


async def change(fleet, node, number, seconds=2):
    answer = await fleet.do(
        node.propose(f"change-{number}", node.sync.revision, edit(number), "sales")
    )
    assert answer.is_ok(), answer
    await fleet.run(seconds)
    return answer.ok_value.revision


def test_differences_turn_one_document_into_another():
    """Guards against differences that lose removals or empty sections."""
    old = make_sections()
    new = apply_difference(
        old,
        {
            "server a": None,
            "link d1 d0": {},
            "class slow": {"floor": None, "rank": "4"},
        },
    )
    assert "floor" not in new["class slow"] and new["link d1 d0"] == {}
    assert apply_difference(old, compute_difference(old, new)) == new
    assert apply_difference(new, compute_difference(new, old)) == old
    assert compute_difference(new, new) == {}


async def test_change_message_keeps_the_whole_change():
    """Guards against a field of a change that peers do not receive."""
    fleet = await start_fleet(1)
    difference = {"server b": None, "class slow": {"floor": None, "rank": "4"}}
    await fleet.do(fleet.nodes[0].propose("a", 1, difference, "platform"))
    chain = decode_head(fleet.store.entries[HEAD_KEY].value).chain
    assert len(chain) == 2
    for item in chain:
        _, message = decode_message(encode_message("r00", make_change_message(item)))
        assert read_change_message(message) == item
    await fleet.stop()


async def test_change_is_in_force_everywhere_within_four_seconds():
    """Guards against R7, with 30 routers, loss, duplicates and reordering."""
    fleet = await start_fleet(30)
    fleet.network.faults.loss = 0.2
    fleet.network.faults.duplication = 0.2
    fleet.network.faults.max_delay = timedelta(milliseconds=300)
    for number in range(2, 7):
        await change(fleet, fleet.nodes[number * 4], number, seconds=4)
        fleet.assert_equal()
    assert sum(node.sync.is_watcher() for node in fleet.nodes) == 6
    assert not any(node.sync.is_stale() for node in fleet.nodes)
    await fleet.stop()


async def test_difference_and_not_the_document_is_sent():
    """Guards against traffic that grows with the document."""
    fleet = await start_fleet(9)
    fleet.network.sent_by_kind.clear()
    await change(fleet, fleet.nodes[3], 2)
    assert fleet.network.sent_by_kind["ConfigSnapshot"] == 0
    # Each router passes a change on once, to each of its eight neighbours.
    assert fleet.network.sent_by_kind["ConfigChange"] <= 9 * 8
    await fleet.stop()


async def test_router_boots_from_peers_while_the_store_is_down():
    """Guards against a router without configuration during an outage."""
    fleet = await start_fleet(3)
    await change(fleet, fleet.nodes[0], 2)
    await fleet.store.fail()
    fleet.nodes.append(fleet.make_node(5))
    assert not fleet.nodes[-1].sync.is_ready(), "ready without a document"
    await fleet.do(fleet.nodes[-1].start())
    await fleet.run(3)
    fleet.assert_equal()
    assert fleet.nodes[-1].sync.is_ready()
    await fleet.stop()


async def test_router_without_store_and_peers_is_not_ready():
    """Guards against a lone router in rotation with an old document."""
    fleet = await start_fleet(3)
    lone, other = fleet.nodes[0], fleet.nodes[1]
    await fleet.store.fail()
    fleet.network.faults.groups_by_router = {lone.name: "alone"}
    await fleet.run(3.5)
    assert lone.sync.is_ready()
    await fleet.run(2)
    assert not lone.sync.is_ready() and lone.sync.is_stale()
    assert lone.sync.revision == 1, "the last document must stay in force"
    # A router that has peers stays ready and reports itself stale.
    assert other.sync.is_ready() and other.sync.is_stale()
    fleet.store.is_down = False
    fleet.network.faults.groups_by_router = {}
    await fleet.run(30)
    assert all(node.sync.is_ready() for node in fleet.nodes)
    assert not any(node.sync.is_stale() for node in fleet.nodes)
    await fleet.stop()


async def test_confirmation_of_an_older_revision_spreads_and_of_a_newer_does_not():
    """Guards against a router that holds an old document and reports it confirmed."""
    fleet = await start_fleet(2)
    await fleet.store.fail()
    await fleet.run(10)
    sync = fleet.nodes[0].sync
    await sync.handle_heartbeat("r01", Heartbeat(sync.revision + 1, 0, b"", (), True))
    assert sync.is_stale()
    await sync.handle_heartbeat("r01", Heartbeat(sync.revision, 700, b"", (), True))
    assert sync.confirmed_age() == timedelta(milliseconds=700)
    await fleet.stop()


async def test_return_after_an_outage_is_spread():
    """Guards against all routers that read the store in the same moment."""
    fleet = await start_fleet(24)
    await fleet.store.fail()
    await fleet.run(90)
    fleet.store.is_down = False
    counts = []
    for _ in range(20):
        before = sum(fleet.store.calls.values())
        await fleet.run(1)
        counts.append(sum(fleet.store.calls.values()) - before)
    assert max(counts) <= 16, counts
    assert not any(node.sync.is_stale() for node in fleet.nodes)
    await fleet.stop()


async def test_regions_apart_catch_up_by_differences():
    """Guards against a side that stays behind, or needs whole documents."""
    fleet = await start_fleet(8)
    near, far = fleet.nodes[:4], fleet.nodes[4:]
    for node in far:
        await node.store.cut()
    fleet.network.faults.groups_by_router = {node.name: "far" for node in far}
    for number in range(2, 22):
        await change(fleet, near[number % 4], number, seconds=0.5)
    refused = await fleet.do(far[0].propose("far", 1, edit(50), "sales"))
    assert refused.is_err()
    assert all(node.sync.revision == 1 and node.sync.is_stale() for node in far)
    assert all(node.sync.is_ready() for node in far), "far routers have peers"
    fleet.network.sent_by_kind.clear()
    fleet.network.faults.groups_by_router = {}
    await fleet.run(4)
    fleet.assert_equal()
    assert fleet.network.sent_by_kind["ConfigSnapshot"] == 0
    await fleet.stop()


async def test_store_restored_to_an_older_revision_is_repaired():
    """Guards against a document that reverts with the store's data."""
    rows = [("older head", 3), ("no head at all", 0)]
    for name, changes_before in rows:
        fleet = SimulatedFleet(6)
        empty = fleet.store.take_backup()
        await fleet.start()
        for number in range(changes_before):
            await change(fleet, fleet.nodes[0], number + 2)
        backup = fleet.store.take_backup() if changes_before else empty
        for number in range(5):
            await change(fleet, fleet.nodes[1], number + 20)
        held = fleet.nodes[0].sync.revision
        weight = fleet.nodes[0].current.sections["organisation greens"]["weight"]
        fleet.store.restore_backup(backup)
        await fleet.run(60)
        fleet.assert_equal()
        node = fleet.nodes[2]
        assert node.sync.revision > held, name
        assert node.current.sections["organisation greens"]["weight"] == weight
        head = decode_head(fleet.store.entries[HEAD_KEY].value)
        assert (head.revision, head.digest) == (node.sync.revision, node.sync.digest)
        # A proposal that was applied before the loss is still recognised.
        repeat = await fleet.do(node.propose("change-24", held - 1, edit(24), "sales"))
        assert repeat.ok_value.is_repeat, name
        audited = await fleet.do(node.audit.list_accepted(100))
        assert {entry.proposal_id for entry in audited} >= {"change-24", "change-20"}
        await change(fleet, node, 77)
        late = fleet.make_node(9)
        fleet.nodes.append(late)
        await fleet.do(late.start())
        await fleet.run(2)
        fleet.assert_equal()
        await fleet.stop()


async def test_proposal_that_finds_a_restored_store_has_it_repaired():
    """Guards against proposals refused until the next slow read of the head (R7)."""
    for is_watcher in (True, False):
        fleet = SimulatedFleet(9)
        await fleet.start()
        backup = fleet.store.take_backup()
        await change(fleet, fleet.nodes[0], 5)
        # All watchers have just read the head, and read it again only after 15 s.
        await fleet.run(1)
        fleet.store.restore_backup(backup)
        node = next(n for n in fleet.nodes if n.sync.is_watcher() is is_watcher)
        weight = 20
        for _ in range(2):
            weight += 1
            answer = await fleet.do(
                node.propose(
                    f"late-{weight}", node.sync.revision, edit(weight), "sales"
                )
            )
            if answer.is_ok():
                break
            await fleet.run(2)
        assert answer.is_ok(), (is_watcher, answer)
        await fleet.run(4)
        fleet.assert_equal()
        await fleet.stop()


async def test_store_restored_behind_open_watches_is_repaired_over_http():
    """Guards against a watch that hides the loss, with the real client."""
    clock = SystemClock()
    platform = PlatformStandin(Address("127.0.0.1", 0), clock)
    await platform.start()
    client = HttpClient(clock)
    store = EtcdStore(client, platform.address, timedelta(seconds=2))
    quick = SyncOptions(
        watch_period=timedelta(milliseconds=50),
        head_period=timedelta(milliseconds=100),
        tick=timedelta(milliseconds=10),
    )
    node = Node("r0", "d0", store, clock, None, 1, {}, quick)
    await node.start()
    await node.propose("first", 0, make_sections())
    backup = platform.take_backup()
    await node.propose("second", 1, edit(9), "sales")
    platform.restore_backup(backup)
    for _ in range(1000):
        if node.sync.revision == 3:
            break
        await clock.sleep(timedelta(milliseconds=10))
    assert node.sync.revision == 3
    assert node.current.sections["organisation greens"]["weight"] == "9"
    await node.stop()
    await client.close()
    await platform.close()


async def test_two_histories_end_in_one():
    """Guards against two groups that replace each other's document without end."""
    fleet = await start_fleet(3)
    await change(fleet, fleet.nodes[0], 2)
    backup = fleet.store.take_backup()
    for number in range(3, 7):
        await change(fleet, fleet.nodes[0], number)
    # New routers, out of reach of the old ones, meet the restored store and go on.
    fresh = [fleet.make_node(index) for index in (10, 11)]
    old = {node.name: "old" for node in fleet.nodes}
    fleet.network.faults.groups_by_router = old
    for node in fleet.nodes:
        await node.store.cut()
    await fleet.run(5)
    fleet.store.restore_backup(backup)
    for node in fresh:
        await fleet.do(node.start())
    for number in range(30, 40):
        await change(fleet, fresh[0], number)
    assert fresh[0].sync.revision > fleet.nodes[0].sync.revision
    fleet.network.faults.groups_by_router = {}
    for node in fleet.nodes:
        node.store.is_cut = False
    fleet.nodes += fresh
    await fleet.run(120)
    fleet.assert_equal()
    republished = sum(
        node.metrics.totals_by_name["configuration.republished"] for node in fleet.nodes
    )
    assert republished <= 2, republished
    # The accepted changes of the history that gave way stay in the audit trail.
    for node in fleet.nodes:
        await fleet.do(node.audit.flush())
    entries = await fleet.do(fresh[0].audit.list_refused(100, 2))
    assert sum(entry.outcome == "replaced" for entry in entries) == 10, entries
    await fleet.stop()


async def test_late_answer_of_the_store_is_not_taken_for_a_loss():
    """Guards against republishing because a slow read is older than a peer's news."""
    fleet = await start_fleet(6)
    fleet.store.delay = timedelta(milliseconds=400)
    for number in range(2, 12):
        await change(fleet, fleet.nodes[number % 6], number, seconds=1)
    await fleet.run(60)
    for node in fleet.nodes:
        assert node.metrics.totals_by_name["configuration.republished"] == 0
    fleet.assert_equal()
    await fleet.stop()


async def test_lower_and_altered_changes_from_peers_are_refused():
    """Guards against a revision that falls and a document nobody accepted."""
    fleet = await start_fleet(2)
    head = decode_head(fleet.store.entries[HEAD_KEY].value)
    old = make_change_message(head.chain[0])
    await change(fleet, fleet.nodes[0], 2)
    sync = fleet.nodes[0].sync
    await sync.handle_change("r01", old)
    assert sync.revision == 2
    forged = vars(old) | {
        "from_revision": 2,
        "to_revision": 3,
        "previous_digest": sync.digest,
    }
    before = violations_by_name["configuration_change_digest"]
    try:
        await sync.handle_change("r01", type(old)(**forged))
        raise AssertionError("an altered change was put in force")
    except InvariantError:
        violations_by_name["configuration_change_digest"] = before
    assert sync.revision == 2
    try:
        fleet.nodes[0].current.install(make_sections(), 1)
        raise AssertionError("a lower revision was installed")
    except InvariantError:
        violations_by_name["configuration_revision_rises"] -= 1
    await fleet.stop()


async def test_unreadable_snapshot_changes_nothing():
    """Guards against a damaged message that stops the router or fills its memory."""
    fleet = await start_fleet(1)
    sync = fleet.nodes[0].sync
    bomb = zlib.compress(b"x" * 20_000_000)
    for document in (b"", b"junk", zlib.compress(b"no ini"), bomb):
        await sync.handle_snapshot("r01", ConfigSnapshot(9, document, "d", ()))
        assert sync.revision == 1
    await fleet.stop()


async def test_request_is_answered_by_what_is_missing():
    """Guards against whole documents for small gaps, and gaps left open."""
    fleet = await start_fleet(2)
    for number in range(2, 6):
        await change(fleet, fleet.nodes[0], number)
    sync = fleet.nodes[0].sync
    digests = {point.revision: point.digest for point in sync._history.points}
    rows = [
        (ConfigRequest(3, digests[3]), {"ConfigChange": 2}),
        (ConfigRequest(0, ""), {"ConfigChange": 5}),
        (ConfigRequest(5, digests[5]), {}),
        # The history of the asking router is another one; only the store decides.
        (ConfigRequest(3, "other"), {}),
    ]
    for request, expected in rows:
        fleet.network.sent_by_kind.clear()
        await sync.handle_request("r01", request)
        assert dict(fleet.network.sent_by_kind) == expected, request
    await fleet.stop()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
