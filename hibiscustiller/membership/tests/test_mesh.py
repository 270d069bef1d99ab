"""Several meshes on loopback, with faults."""

import struct
import sys
from dataclasses import replace
from datetime import timedelta
from functools import partial

import curio
import curio.socket

from hibiscustiller.membership import MeshTimings
from hibiscustiller.membership._handshake import make_proof
from hibiscustiller.membership.tests._meshes import (
    TIMINGS,
    Cuts,
    list_ids,
    start_mesh,
    start_meshes,
    stop_all,
    wait_for_agreement,
    wait_for_links,
    wait_until,
)
from hibiscustiller.settings import Address
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._framing import FrameReader, make_frame
from hibiscustiller.wire._messages_generated import (
    ConfigRequest,
    ConfigSnapshot,
    Heartbeat,
    Hello,
    HelloProof,
    decode_message,
    encode_message,
)

KEY = b"secret"


def make_hello(router="peer", **changes):
    fields = {
        "router_id": router,
        "failure_domain": "d",
        "region": "r",
        "address": "127.0.0.1:9",
        "nonce": b"n" * 16,
        "incarnation": 5,
    }
    return Hello(**{**fields, **changes})


async def dial(mesh):
    address = mesh.self_member.address
    sock = await curio.open_connection(address.host, address.port)
    return sock, FrameReader(sock)


async def dial_and_greet(mesh, router="peer", key=KEY, **changes):
    """Speak the dialling side of the greeting by hand."""
    sock, reader = await dial(mesh)
    own = encode_message(router, make_hello(router, **changes))
    await sock.sendall(make_frame(own))
    other = await reader.read_frame()
    proof = HelloProof(make_proof(key, b"dialler", own, other))
    await sock.sendall(make_frame(encode_message(router, proof)))
    return sock, reader


async def is_closed(reader):
    """Read to the end; a connection that stays open hangs the test."""
    try:
        while await reader.read_frame() is not None:
            pass
    except ConnectionError:
        pass
    return True


async def test_bad_strangers_are_closed_and_harm_nothing():
    """Guards against strangers that join, hold memory or disturb the mesh (R9)."""
    mesh = await start_mesh("a")
    hello = make_frame(encode_message("peer", make_hello()))
    no_nonce = make_frame(encode_message("peer", make_hello(nonce=b"")))
    bad_address = make_frame(encode_message("peer", make_hello(address="nowhere")))
    own_id = make_frame(encode_message("a", make_hello("a")))
    cases = {
        "oversized frame": struct.pack(">I", 1 << 30),
        "longer than a greeting": struct.pack(">I", 5000) + b"x" * 5000,
        "truncated frame": hello[:20],
        "empty frame": struct.pack(">I", 0),
        "malformed message": make_frame(b"\xff" * 40),
        "not a greeting": make_frame(encode_message("peer", ConfigRequest(1, ""))),
        "two senders": make_frame(encode_message("other", make_hello())),
        "short nonce": no_nonce,
        "bad address": bad_address,
        "own id": own_id,
        "no proof": hello + hello,
    }
    for name, data in cases.items():
        sock, reader = await dial(mesh)
        await sock.sendall(data)
        if name == "truncated frame":
            await sock.shutdown(curio.socket.SHUT_WR)
        assert await is_closed(reader), name
        assert list_ids(mesh) == ["a"], name
        await sock.close()
    sock, reader = await dial_and_greet(mesh, key=b"wrong")
    assert await is_closed(reader)
    assert list_ids(mesh) == ["a"]
    await sock.close()
    silent, reader = await dial(mesh)
    assert await is_closed(reader)
    await silent.close()
    await mesh.abort()


async def test_acceptor_proves_itself_only_to_key_holders():
    """Guards against a router that hands proofs to strangers or is not checked."""
    mesh = await start_mesh("a")
    sock, reader = await dial_and_greet(mesh, key=b"wrong")
    assert await reader.read_frame() is None
    await sock.close()
    sock, reader = await dial_and_greet(mesh)
    _, message = decode_message(await reader.read_frame())
    assert isinstance(message, HelloProof)
    assert list_ids(mesh) == ["a", "peer"]
    await sock.close()
    await mesh.abort()


async def test_wrong_keys_never_join():
    """Guards against two fleets that mix."""
    left = await start_mesh("a")
    right = await start_mesh("b", [left.self_member.address], key="other")
    joined = await start_mesh("c", [left.self_member.address])
    await wait_for_agreement([left, joined], ["a", "c"])
    assert list_ids(right) == ["b"]
    await stop_all([left, right, joined])


async def test_authenticated_peer_that_breaks_the_protocol_is_closed():
    """Guards against a connection that stays open after nonsense."""
    mesh = await start_mesh("a")
    cases = {
        "other sender": make_frame(encode_message("liar", ConfigRequest(1, ""))),
        "second greeting": make_frame(encode_message("peer", make_hello())),
        "oversized": struct.pack(">I", 1 << 21),
        "malformed": make_frame(b"\xff" * 40),
    }
    for name, data in cases.items():
        sock, reader = await dial_and_greet(mesh)
        await sock.sendall(data)
        assert await is_closed(reader), name
        await sock.close()
    await mesh.abort()


async def test_silent_peer_is_closed_suspected_and_dropped():
    """Guards against open connections that go silent for good."""
    mesh = await start_mesh("a")
    sock, reader = await dial_and_greet(mesh)
    await wait_until(lambda: list_ids(mesh) == ["a", "peer"])
    assert await is_closed(reader)
    assert list_ids(mesh) == ["a", "peer"], "suspected only"
    await wait_until(lambda: list_ids(mesh) == ["a"])
    await sock.close()
    await mesh.abort()


async def test_join_kill_and_leave_reach_everyone():
    """Guards against news that stops at neighbours in a sparse mesh."""
    meshes = await start_meshes(12)
    await wait_for_agreement(meshes)
    assert all(len(mesh.neighbours) <= 6 for mesh in meshes)
    late = await start_mesh("r12", [meshes[5].self_member.address])
    meshes.append(late)
    await wait_for_agreement(meshes)
    dead = meshes.pop(3)
    await dead.abort()
    await wait_for_agreement(meshes)
    leaver = meshes.pop(0)
    await leaver.stop()
    await wait_for_agreement(meshes)
    await stop_all(meshes)


async def test_departure_is_not_awaited_like_a_death():
    """Guards against a leaving router that is only found by its silence."""
    slow = MeshTimings(heartbeat=timedelta(milliseconds=100), drop=timedelta(hours=1))
    meshes = await start_meshes(3, timings=slow)
    await wait_for_agreement(meshes)
    await meshes.pop().stop()
    await wait_for_agreement(meshes)
    await stop_all(meshes)


async def test_restarted_router_replaces_its_old_entry():
    """Guards against a restart that is taken for the old, suspected process."""
    meshes = await start_meshes(4)
    await wait_for_agreement(meshes)
    old = meshes.pop()
    await old.abort()
    seeds = [meshes[1].self_member.address]
    new = await start_mesh("r03", seeds)
    meshes.append(new)
    address = new.self_member.address
    assert new.incarnation > old.incarnation
    await wait_until(
        lambda: all(m.list_members()[-1].address == address for m in meshes)
    )
    await wait_for_agreement(meshes)
    await stop_all(meshes)


async def test_restart_with_an_earlier_clock_goes_above_its_old_entry():
    """Guards against a restarted router that stays hidden behind its old entry."""
    meshes = await start_meshes(3)
    await wait_for_agreement(meshes)
    old = meshes.pop()
    claim = replace(old._gossip.table.self_state, incarnation=1 << 60)
    old._gossip.table.replace_self(claim, timedelta(0))
    await old._gossip.spread(claim, None)
    tables = [mesh._gossip.table for mesh in meshes]
    await wait_until(lambda: all(t.find("r02") == claim for t in tables))
    await old.abort()
    new = await start_mesh("r02", [meshes[0].self_member.address])
    meshes.append(new)
    await wait_until(lambda: new.incarnation > claim.incarnation)
    address = new.self_member.address
    await wait_until(
        lambda: all(m.list_members()[-1].address == address for m in meshes)
    )
    await wait_for_agreement(meshes)
    await stop_all(meshes)


async def test_unusable_settings_are_refused():
    """Guards against an open mesh, or an address that no other router can reach."""
    for key, host in (("", "127.0.0.1"), ("secret", "0.0.0.0"), ("secret", "::")):
        try:
            await start_mesh("a", key=key, address=Address(host, 0))
        except ValueError as error:
            assert "accepted is" in str(error)
        else:
            raise AssertionError((key, host))


async def test_parted_groups_meet_again():
    """Guards against regions that stay apart, or flap, after they meet again."""
    cuts = Cuts()
    meshes = await start_meshes(6, cuts=cuts)
    await wait_for_agreement(meshes)
    cuts.group = frozenset(["r00", "r01"])
    await wait_for_agreement(meshes[:2])
    await wait_for_agreement(meshes[2:])
    extra = await start_mesh("r06", [meshes[3].self_member.address], cuts=cuts)
    meshes.append(extra)
    await wait_for_agreement(meshes[2:])
    cuts.group = frozenset()
    await wait_for_agreement(meshes)
    await stop_all(meshes)


async def test_one_broken_link_drops_nobody():
    """Guards against a router dropped by all because one neighbour lost its link."""
    cuts = {"r00": "r01", "r01": "r00"}
    meshes = await start_meshes(3)
    await wait_for_agreement(meshes)
    for mesh in meshes[:2]:
        other = cuts[mesh.self_member.router_id]
        mesh._links.is_cut = partial(lambda broken, router: router == broken, other)
    before = [mesh.incarnation for mesh in meshes[:2]]
    # Each refutation stands for one suspicion that would have become a drop.
    await wait_until(
        lambda: any(m.incarnation > b + 1 for m, b in zip(meshes, before, strict=False))
    )
    assert all(len(list_ids(mesh)) == 3 for mesh in meshes)
    await stop_all(meshes)


async def test_duplicate_connections_are_resolved_alike():
    """Guards against two routers that each close the connection the other keeps."""
    for mine, expects_old in (("b", False), ("a", True)):
        mesh = await start_mesh("b" if mine == "a" else "a")
        router = mine
        first, first_reader = await dial_and_greet(mesh, router)
        await wait_until(lambda mesh=mesh, r=router: r in mesh.connected)
        held = mesh._links.connections_by_id[router]
        # Of two from the same side the newer is kept.
        second, second_reader = await dial_and_greet(mesh, router)
        assert await is_closed(first_reader)
        await wait_until(
            lambda mesh=mesh, r=router, old=held: (
                mesh._links.connections_by_id.get(r) not in (None, old)
            )
        )
        # Of two from different sides both keep the one from the smaller id.
        held = mesh._links.connections_by_id[router]
        held.is_dialler = not held.is_dialler
        third, third_reader = await dial_and_greet(mesh, router)
        loser = third_reader if not expects_old else second_reader
        assert await is_closed(loser)
        for sock in (first, second, third):
            await sock.close()
        await mesh.abort()


async def test_simultaneous_dials_leave_one_connection():
    """Guards against flapping when both sides dial at once."""
    left = await start_mesh("a")
    right = await start_mesh("b")
    left._seeds, right._seeds = [right.self_member.address], [left.self_member.address]
    left._next_rejoin = right._next_rejoin = timedelta(0)
    await wait_for_agreement([left, right])
    for _ in range(20):
        await curio.sleep(TIMINGS.heartbeat.total_seconds() / 4)
        assert len(left.list_members()) == len(right.list_members()) == 2
    assert left.connected == {"b"} and right.connected == {"a"}
    await stop_all([left, right])


async def test_slow_peer_blocks_nobody_and_holds_bounded_memory():
    """Guards against memory that grows with a peer that does not read (R9)."""
    mesh = await start_mesh("a")
    received = []

    async def note(sender, message):
        received.append(message.revision)

    fast = await start_mesh("c", [mesh.self_member.address])
    fast.register(ConfigSnapshot, note)
    sock, _ = await dial_and_greet(mesh, "slow")
    await wait_until(lambda: {"slow", "c"} <= mesh.connected)
    text = "x" * 500_000
    sent = [await mesh.send("slow", ConfigSnapshot(n, text, "", ())) for n in range(20)]
    assert not all(sent)
    assert mesh._links.connections_by_id["slow"]._queued_bytes <= 2 << 20
    assert mesh.traffic.dropped_messages > 0
    assert await mesh.send("c", ConfigSnapshot(99, text, "", ()))
    await wait_until(lambda: received == [99])
    await sock.close()
    await stop_all([mesh, fast])


async def test_messages_reach_non_neighbours_on_demand():
    """Guards against usage reports that cannot reach an owner far away."""
    meshes = await start_meshes(12)
    await wait_for_agreement(meshes)
    source = meshes[0]
    target = next(
        mesh
        for mesh in meshes[1:]
        if mesh.self_member.router_id not in source.neighbours
    )
    received = []

    async def note(sender, message):
        received.append((sender, message))

    target.register(ConfigRequest, note)
    assert await source.send(target.self_member.router_id, ConfigRequest(3, ""))
    await wait_until(lambda: received == [("r00", ConfigRequest(3, ""))])
    assert not await source.send("nobody", ConfigRequest(3, ""))
    await stop_all(meshes)


async def test_heartbeats_carry_revision_and_confirmation_age():
    """Guards against configuration that is not confirmed through neighbours."""
    meshes = await start_meshes(2)
    received = []

    async def note(sender, message):
        received.append((sender, message.revision, message.confirmed_age_ms))

    meshes[0].register(Heartbeat, note)
    await wait_until(lambda: ("r01", 7, 250) in received)
    await stop_all(meshes)


async def test_failing_handler_costs_one_message_only():
    """Guards against one bad message that cuts a neighbour off."""
    meshes = await start_meshes(2)
    await wait_for_agreement(meshes)
    received = []

    async def note(sender, message):
        received.append(message.revision)
        if message.revision == 1:
            raise KeyError("fault in a handler")

    meshes[0].register(ConfigRequest, note)
    for revision in (1, 2):
        assert await meshes[1].send("r00", ConfigRequest(revision, ""))
    await wait_until(lambda: received == [1, 2])
    assert meshes[1].connected == {"r00"}
    await stop_all(meshes)


async def test_broadcast_reaches_neighbours_only():
    """Guards against a broadcast that costs as much as a full mesh."""
    meshes = await start_meshes(14)
    # A neighbour chosen before the last join is wanted only until the next choice.
    await wait_for_links(meshes)
    source = meshes[0]
    receivers = []

    async def note(receiver, sender, message):
        receivers.append(receiver)

    for mesh in meshes[1:]:
        mesh.register(ConfigRequest, partial(note, mesh.self_member.router_id))

    def list_wanted():
        return source.neighbours | {
            mesh.self_member.router_id for mesh in meshes if "r00" in mesh.neighbours
        }

    def list_exchanging():
        connections = source._links.connections_by_id.values()
        return {c.router_id for c in connections if source._exchanges_heartbeats(c)}

    await wait_until(lambda: list_exchanging() == list_wanted())
    wanted = list_wanted()
    await source.broadcast(ConfigRequest(1, ""))
    await wait_until(lambda: wanted <= set(receivers))
    assert set(receivers) == wanted
    assert len(wanted) <= 6
    await stop_all(meshes)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
