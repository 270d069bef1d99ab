"""Reachability of servers, and what daemons tell each other."""

import random
import sys
from dataclasses import replace
from datetime import timedelta

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.ingress._monitor import EngineMonitor
from hibiscustiller.ingress._sharing import LoadSharing, compute_report_period
from hibiscustiller.ingress.tests.fixtures import find_free_port
from hibiscustiller.layers import EngineLoad, EngineUse
from hibiscustiller.layers.tests.fixtures import LayerRange, make_engine
from hibiscustiller.settings import Address
from hibiscustiller.utils import ManualClock, SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import DatagramSocket, HttpLimits, HttpServer
from hibiscustiller.wire._messages_generated import FollowRequest

SECOND = timedelta(seconds=1)


async def answer(request, responder):
    await responder.send(200)


class Bench:
    """One engine and its health."""

    def __init__(self):
        self.clock = SystemClock()
        self.changes = 0
        self.engine = make_engine("e", "large", layers=LayerRange(0, 80))
        self.health = ServerHealth(
            self.clock, lambda server_id: self.engine, self._note_change
        )

    def _note_change(self, is_own_finding):
        self.changes += 1

    async def start_engine(self, port=0):
        self.server = HttpServer(
            Address("127.0.0.1", port), answer, HttpLimits(), "engine"
        )
        await self.server.start()
        self.engine = replace(self.engine, address=self.server.address)


async def test_dead_engine_stays_lost_until_its_next_start():
    """Guards against layers expected of a process that has started empty."""
    bench = Bench()
    await bench.start_engine()
    assert await bench.health.check([bench.engine])
    port = bench.server.address.port
    await bench.server.close()
    await curio.sleep(0.35)
    assert not await bench.health.check([bench.engine])
    await bench.start_engine(port)
    await curio.sleep(0.35)
    assert not await bench.health.check([bench.engine])
    bench.engine = replace(bench.engine, born=2)
    assert bench.health.is_usable(bench.engine)
    assert bench.changes == 1
    await bench.server.close()


async def test_refusing_server_is_left_out_longer_each_time():
    """Guards against repeats that go to a server which is leaving, again and again."""
    bench = Bench()
    health = ServerHealth(
        bench.clock, lambda server_id: bench.engine, bench._note_change
    )
    health.refusals.record_refusal(bench.engine, has_room=False)
    health.refusals.record_refusal(bench.engine, has_room=False)
    health.refusals.record_refusal(bench.engine, has_room=True)
    assert health.is_usable(bench.engine)
    health.refusals.record_refusal(bench.engine, has_room=True)
    assert not health.is_usable(bench.engine)
    # What it runs goes on, and layers are still placed on it.
    assert health.is_reachable(bench.engine)
    assert health.refusals.list_leaving() == ["e"] and bench.changes == 1
    await curio.sleep(1.05)
    assert health.is_usable(bench.engine)
    health.refusals.record_refusal(bench.engine, has_room=True)
    await curio.sleep(1.05)
    assert not health.is_usable(bench.engine)
    # Changed layers are another matter.
    assert health.is_usable(replace(bench.engine, layers=LayerRange(0, 40)))
    health.refusals.record_accepted(["e"])
    assert health.is_usable(bench.engine) and health.refusals.list_leaving() == []


async def test_peers_tell_of_leaving_servers_for_a_while():
    """Guards against each router finding out by refusals of its own, or for ever."""
    bench = Bench()
    health = ServerHealth(
        bench.clock, lambda server_id: bench.engine, bench._note_change
    )
    health.refusals.record_peer_report(["e"])
    assert not health.is_usable(bench.engine)
    # Nothing is told on, or messages would grow with the square of the fleet.
    assert bench.changes == 0
    # What others tell is not told to others.
    assert health.refusals.list_leaving() == []
    await curio.sleep(2.05)
    assert health.is_usable(bench.engine)


async def test_plain_server_is_usable_once_it_accepts_again():
    """Guards against a restarted plain server that nobody uses."""
    bench = Bench()
    bench.engine = make_engine("e", "")
    await bench.start_engine()
    port = bench.server.address.port
    await bench.server.close()
    assert not await bench.health.check([bench.engine])
    await bench.start_engine(port)
    recheck = await curio.spawn(bench.health.run)
    async with curio.timeout_after(3):
        while not bench.health.is_usable(bench.engine):
            await curio.sleep(0.02)
    await recheck.cancel()
    await bench.server.close()


async def test_many_streams_check_an_engine_once():
    """Guards against a connection of each paused stream to each stage."""
    bench = Bench()
    connections = 0

    async def count(client, address):
        nonlocal connections
        connections += 1
        await client.close()

    sock = curio.tcp_server_socket("127.0.0.1", 0)
    bench.engine = replace(
        bench.engine, address=Address("127.0.0.1", sock.getsockname()[1])
    )
    task = await curio.spawn(_accept, sock, count)
    async with curio.TaskGroup() as group:
        for _ in range(20):
            await group.spawn(bench.health.check, [bench.engine])
    await task.cancel()
    await sock.close()
    assert connections == 1


async def test_hearsay_and_large_fleets_check_less_often():
    """Guards against connections that grow with the square of the fleet."""
    bench = Bench()
    await bench.start_engine()
    checks = 0
    health = ServerHealth(
        bench.clock, lambda server_id: bench.engine, bench._note_change, lambda: 80
    )

    async def count(server):
        nonlocal checks
        checks += 1

    health._connect = count
    # A router that is cut off itself reports servers again and again.
    for _ in range(4):
        await health.check_reported(["e"])
    assert checks == 1
    # 0.3 s are enough in a small fleet; 80 routers check a fourth as often.
    await curio.sleep(0.4)
    await health.check([bench.engine])
    assert checks == 1
    await curio.sleep(0.9)
    await health.check([bench.engine])
    assert checks == 2
    await bench.server.close()


async def _accept(sock, handle):
    while True:
        client, address = await sock.accept()
        await handle(client, address)


async def test_ended_engine_is_noticed_without_a_request():
    """Guards against a lost stage that shows only as a pause of its streams."""
    bench = Bench()
    await bench.start_engine()
    monitor = EngineMonitor(bench.clock, bench.health, lambda: {"e": bench.engine})
    task = await curio.spawn(monitor.run)
    await curio.sleep(0.1)
    ended_at = bench.clock.monotonic()
    await bench.server.close()
    async with curio.timeout_after(3):
        while bench.health.is_usable(bench.engine):
            await curio.sleep(0.002)
    assert bench.clock.monotonic() - ended_at < SECOND
    await task.cancel()


async def test_an_ended_process_that_is_told_needs_no_connection():
    """Guards against a connection from each of hundreds of routers to a dead server."""
    bench = Bench()
    assert not bench.health.list_unreachable()
    bench.health.record_dead("e", bench.engine.born)
    assert bench.health.list_unreachable() == ["e"]
    assert bench.changes == 1
    # It is told once, and not for the process that came after it.
    bench.health.record_dead("e", bench.engine.born)
    assert bench.changes == 1
    bench.engine = replace(bench.engine, born=bench.engine.born + 1)
    bench.health.record_dead("e", bench.engine.born - 1)
    assert bench.health.is_usable(bench.engine)


class Member:
    """A daemon's sharing, without the rest of it."""

    def __init__(self, name, engine):
        clock = SystemClock()
        self.name = name
        self.view = FleetView(clock, 2 * SECOND)
        self.view.replace_servers([engine])
        self.load = EngineLoad(clock)
        self.health = ServerHealth(clock, self.view.get_server, self._note)
        address = Address("127.0.0.1", find_free_port())
        self.datagrams = DatagramSocket(name, address)
        self.sharing = LoadSharing(
            name,
            self.datagrams,
            self.view,
            self.load,
            self.health,
            clock,
            self._dispatch,
        )

    def _note(self, is_own_finding):
        self.sharing.request_send()

    async def _dispatch(self):
        pass

    async def start(self, others):
        await self.datagrams.start()
        for other in others:
            self.view.apply_peer(Peer(other.name, other.datagrams.address, "north"))
        return [
            await curio.spawn(self.sharing.send_reports, daemon=True),
            await curio.spawn(self.datagrams.run, daemon=True),
        ]


async def test_daemons_tell_each_other_their_load_and_losses():
    """Guards against daemons that each fill an engine, or find its loss alone."""
    port = find_free_port()
    engine = replace(
        make_engine("e", "large", layers=LayerRange(0, 80)),
        address=Address("127.0.0.1", port),
    )
    first, second = Member("one", engine), Member("two", engine)
    tasks = await first.start([second]) + await second.start([first])
    first.load.take_report("old", {})
    first.load.add_plain("e", 3)
    await first.health.check([engine])
    async with curio.timeout_after(3):
        while second.load.get("e").entered != 3 or second.health.is_usable(engine):
            await curio.sleep(0.01)
    for task in tasks:
        await task.cancel()


async def test_reports_of_a_large_fleet_live_until_the_next():
    """Guards against routers that forget each other between two reports."""
    clock, lives = ManualClock(), []

    class Load(EngineLoad):
        def expire_reports(self, life):
            lives.append(life)

    view = FleetView(clock, 2 * SECOND)
    for number in range(330):
        view.apply_peer(Peer(f"r{number}", Address("127.0.0.1", 9), "north"))
    health = ServerHealth(clock, view.get_server, lambda is_own_finding: None)
    datagrams = DatagramSocket("r0", Address("127.0.0.1", 0))
    sharing = LoadSharing("r0", datagrams, view, Load(clock), health, clock, None)
    await datagrams.start()
    sharing.request_send()
    task = await curio.spawn(sharing.send_reports)
    await curio.sleep(0.1)
    await task.cancel()
    await datagrams.close()
    assert lives and lives[0] >= 2 * compute_report_period(329) >= 16 * SECOND


async def test_a_message_that_fails_does_not_end_the_others():
    """Guards against a daemon that is deaf after one message it cannot handle."""
    engine = make_engine("e", "large", layers=LayerRange(0, 80))
    first, second = Member("one", engine), Member("two", engine)
    tasks = await first.start([second]) + await second.start([first])

    async def fail(router_id, address, message):
        raise ZeroDivisionError

    second.datagrams.register(FollowRequest, fail)
    data = first.datagrams.encode(FollowRequest(1))
    await first.datagrams.send(second.datagrams.address, data)
    first.load.add_plain("e", 2)
    async with curio.timeout_after(3):
        while second.load.get("e").entered != 2:
            await curio.sleep(0.01)
    for task in tasks:
        await task.cancel()


async def test_garbage_on_the_datagram_port_is_ignored():
    """Guards against a daemon that ends for a datagram of somebody else."""
    engine = make_engine("e", "large", layers=LayerRange(0, 80))
    first, second = Member("one", engine), Member("two", engine)
    tasks = await first.start([second]) + await second.start([first])
    noise = random.Random(3)
    sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
    for size in (0, 1, 7, 8, 64, 1000):
        await sock.sendto(noise.randbytes(size), tuple(second.datagrams.address))
    await sock.close()
    first.load._own["e"] = EngineUse(10.0, 1)
    async with curio.timeout_after(3):
        while second.load.get("e").entered != 1:
            await curio.sleep(0.01)
    for task in tasks:
        await task.cancel()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
