"""Reachability of servers, and the reports that routers exchange about them."""

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


async def answer_ok(request, responder):
    await responder.send(200)


class Harness:
    """The health state of one engine, which counts the changes that it reports."""

    def __init__(self, router_count=1):
        self.clock = SystemClock()
        self.change_count = 0
        self.engine = make_engine("e", "large", layers=LayerRange(0, 80))
        self.health = ServerHealth(
            self.clock,
            lambda server_id: self.engine,
            self._count_change,
            lambda: router_count,
        )

    def _count_change(self, is_own_finding):
        self.change_count += 1

    async def start_engine(self, port=0):
        """Start the engine's server.

        :param port: 0 for any free port.
        """
        self.server = HttpServer(
            Address("127.0.0.1", port), answer_ok, HttpLimits(), "engine"
        )
        await self.server.start()
        self.engine = replace(self.engine, address=self.server.address)


async def test_ended_engine_is_unusable_until_its_entry_has_a_new_start():
    """Guards against requests to a restarted process that holds no layers yet."""
    harness = Harness()
    await harness.start_engine()
    assert await harness.health.check([harness.engine])
    port = harness.server.address.port
    await harness.server.close()
    await curio.sleep(0.35)
    assert not await harness.health.check([harness.engine])
    await harness.start_engine(port)
    await curio.sleep(0.35)
    assert not await harness.health.check([harness.engine])
    harness.engine = replace(harness.engine, born=2)
    assert harness.health.is_usable(harness.engine)
    assert harness.change_count == 1
    await harness.server.close()


async def test_refusing_server_is_excluded_for_longer_each_time():
    """Guards against retries that are sent to the same leaving server repeatedly."""
    harness = Harness()
    health = ServerHealth(
        harness.clock, lambda server_id: harness.engine, harness._count_change
    )
    health.refusals.record_refusal(harness.engine, has_room=False)
    health.refusals.record_refusal(harness.engine, has_room=False)
    health.refusals.record_refusal(harness.engine, has_room=True)
    assert health.is_usable(harness.engine)
    health.refusals.record_refusal(harness.engine, has_room=True)
    assert not health.is_usable(harness.engine)
    # Its running requests continue, and layers are still placed on it.
    assert health.is_reachable(harness.engine)
    assert health.refusals.list_leaving() == ["e"] and harness.change_count == 1
    await curio.sleep(1.05)
    assert health.is_usable(harness.engine)
    health.refusals.record_refusal(harness.engine, has_room=True)
    await curio.sleep(1.05)
    assert not health.is_usable(harness.engine)
    # Refusals count only for the entry, and so the layers, that they were made with.
    assert health.is_usable(replace(harness.engine, layers=LayerRange(0, 40)))
    health.refusals.record_accepted(["e"])
    assert health.is_usable(harness.engine) and health.refusals.list_leaving() == []


async def test_reports_of_leaving_servers_by_peers_expire():
    """Guards against a router that ignores such reports, or never forgets them.

    A router that ignores them sends requests to the leaving servers until it has been
    refused itself.
    """
    harness = Harness()
    health = ServerHealth(
        harness.clock, lambda server_id: harness.engine, harness._count_change
    )
    health.refusals.record_peer_report(["e"])
    assert not health.is_usable(harness.engine)
    # The router sends no report in turn; otherwise the number of messages would grow
    # with the square of the fleet's size.
    assert harness.change_count == 0
    # Servers that a peer reported are not reported to other routers.
    assert health.refusals.list_leaving() == []
    await curio.sleep(2.05)
    assert health.is_usable(harness.engine)


async def test_plain_server_is_usable_once_it_accepts_connections_again():
    """Guards against a restarted plain server that gets no requests."""
    harness = Harness()
    harness.engine = make_engine("e", "")
    await harness.start_engine()
    port = harness.server.address.port
    await harness.server.close()
    assert not await harness.health.check([harness.engine])
    await harness.start_engine(port)
    recheck_task = await curio.spawn(harness.health.run)
    async with curio.timeout_after(3):
        while not harness.health.is_usable(harness.engine):
            await curio.sleep(0.02)
    await recheck_task.cancel()
    await harness.server.close()


async def test_concurrent_checks_of_an_engine_share_one_connection():
    """Guards against one connection per paused stream and stage."""
    harness = Harness()
    connection_count = 0

    async def count_connection(client, address):
        nonlocal connection_count
        connection_count += 1
        await client.close()

    sock = curio.tcp_server_socket("127.0.0.1", 0)
    harness.engine = replace(
        harness.engine, address=Address("127.0.0.1", sock.getsockname()[1])
    )
    task = await curio.spawn(_accept, sock, count_connection)
    async with curio.TaskGroup() as group:
        for _ in range(20):
            await group.spawn(harness.health.check, [harness.engine])
    await task.cancel()
    await sock.close()
    assert connection_count == 1


async def test_checks_are_rarer_after_reports_and_in_large_fleets():
    """Guards against connections that grow with the square of the fleet's size."""
    harness = Harness()
    await harness.start_engine()
    check_count = 0
    health = ServerHealth(
        harness.clock,
        lambda server_id: harness.engine,
        harness._count_change,
        lambda: 80,
    )

    async def count_check(server):
        nonlocal check_count
        check_count += 1

    health._connect = count_check
    # A router that is itself cut off names the servers in each of its reports.
    for _ in range(4):
        await health.check_reported(["e"])
    assert check_count == 1
    # A result is valid for 0.3 s in a small fleet, and four times as long among 80
    # routers.
    await curio.sleep(0.4)
    await health.check([harness.engine])
    assert check_count == 1
    await curio.sleep(0.9)
    await health.check([harness.engine])
    assert check_count == 2
    await harness.server.close()


async def _accept(sock, handle):
    while True:
        client, address = await sock.accept()
        await handle(client, address)


async def test_ended_engine_is_detected_without_a_request():
    """Guards against a lost stage that is visible only as a pause in its streams."""
    harness = Harness()
    await harness.start_engine()
    monitor = EngineMonitor(
        harness.clock, harness.health, lambda: {"e": harness.engine}
    )
    task = await curio.spawn(monitor.run)
    await curio.sleep(0.1)
    ended_at = harness.clock.monotonic()
    await harness.server.close()
    async with curio.timeout_after(3):
        while harness.health.is_usable(harness.engine):
            await curio.sleep(0.002)
    assert harness.clock.monotonic() - ended_at < SECOND
    await task.cancel()


async def test_reported_end_of_a_process_needs_no_connection():
    """Guards against connections from hundreds of routers to a server that ended."""
    harness = Harness(router_count=300)
    assert not harness.health.list_unreachable()
    await harness.health.record_dead("r2", "e", harness.engine.born)
    assert harness.health.list_unreachable() == ["e"]
    assert harness.change_count == 1
    # A repeated report is not a change, and does not apply to a later process.
    await harness.health.record_dead("r2", "e", harness.engine.born)
    assert harness.change_count == 1
    harness.engine = replace(harness.engine, born=harness.engine.born + 1)
    await harness.health.record_dead("r2", "e", harness.engine.born - 1)
    assert harness.health.is_usable(harness.engine)


async def test_a_wrong_report_of_an_end_is_not_believed_again_and_again():
    """Guards against an engine that hundreds of routers give up every few seconds.

    The link of the router that reports the end may be lost for long.
    """
    harness = Harness(router_count=300)
    await harness.start_engine()

    async def read_born(server):
        return server.born

    harness.health._read_born = read_born
    task = await curio.spawn(harness.health.run, daemon=True)
    await harness.health.record_dead("r2", "e", harness.engine.born)
    assert harness.health.list_unreachable() == ["e"]
    async with curio.timeout_after(4):
        while harness.health.list_unreachable():
            await curio.sleep(0.02)
    for _ in range(5):
        await harness.health.record_dead("r2", "e", harness.engine.born)
        assert not harness.health.list_unreachable()
        await curio.sleep(0.1)
    # The report of another router is news.
    await harness.health.record_dead("r3", "e", harness.engine.born)
    assert harness.health.list_unreachable() == ["e"]
    await task.cancel()
    await harness.server.close()


class SharingRouter:
    """The load sharing of a router, without its other components."""

    def __init__(self, name, engine):
        clock = SystemClock()
        self.name = name
        self.view = FleetView(clock, 2 * SECOND)
        self.view.replace_servers([engine])
        self.load = EngineLoad(clock)
        self.health = ServerHealth(clock, self.view.get_server, self._request_send)
        address = Address("127.0.0.1", find_free_port())
        self.datagrams = DatagramSocket(name, address)
        self.sharing = LoadSharing(
            name,
            self.datagrams,
            self.view,
            self.load,
            self.health,
            clock,
            self._ignore_report,
        )

    def _request_send(self, is_own_finding):
        self.sharing.request_send()

    async def _ignore_report(self):
        pass

    async def start(self, others):
        """Start to exchange reports with others.

        :returns: the tasks, which the test cancels.
        """
        await self.datagrams.start()
        for other in others:
            self.view.apply_peer(Peer(other.name, other.datagrams.address, "north"))
        return [
            await curio.spawn(self.sharing.send_reports, daemon=True),
            await curio.spawn(self.datagrams.run, daemon=True),
        ]


async def test_routers_report_load_and_unreachable_servers_to_each_other():
    """Guards against routers that together overload an engine.

    Also guards against routers that each have to detect the loss of an engine.
    """
    port = find_free_port()
    engine = replace(
        make_engine("e", "large", layers=LayerRange(0, 80)),
        address=Address("127.0.0.1", port),
    )
    first, second = SharingRouter("one", engine), SharingRouter("two", engine)
    tasks = await first.start([second]) + await second.start([first])
    first.load.set_report("old", {})
    first.load.add_unlayered("e", 3)
    await first.health.check([engine])
    async with curio.timeout_after(3):
        while second.load.get("e").entry_count != 3 or second.health.is_usable(engine):
            await curio.sleep(0.01)
    for task in tasks:
        await task.cancel()


async def test_reports_in_a_large_fleet_are_kept_until_the_next_ones():
    """Guards against reports that expire before the next ones arrive."""
    clock, ttls = ManualClock(), []

    class RecordingLoad(EngineLoad):
        def expire_reports(self, life):
            ttls.append(life)

    view = FleetView(clock, 2 * SECOND)
    for number in range(330):
        view.apply_peer(Peer(f"r{number}", Address("127.0.0.1", 9), "north"))
    health = ServerHealth(clock, view.get_server, lambda is_own_finding: None)
    datagrams = DatagramSocket("r0", Address("127.0.0.1", 0))
    sharing = LoadSharing(
        "r0", datagrams, view, RecordingLoad(clock), health, clock, None
    )
    await datagrams.start()
    sharing.request_send()
    task = await curio.spawn(sharing.send_reports)
    await curio.sleep(0.1)
    await task.cancel()
    await datagrams.close()
    assert ttls and ttls[0] >= 2 * compute_report_period(329) >= 16 * SECOND


async def test_error_in_a_message_handler_does_not_stop_the_receiver():
    """Guards against a router that receives nothing after a handler raised an error."""
    engine = make_engine("e", "large", layers=LayerRange(0, 80))
    first, second = SharingRouter("one", engine), SharingRouter("two", engine)
    tasks = await first.start([second]) + await second.start([first])

    async def fail(router_id, address, message):
        raise ZeroDivisionError

    second.datagrams.register(FollowRequest, fail)
    data = first.datagrams.encode(FollowRequest(1, 0, 0))
    await first.datagrams.send(second.datagrams.address, data)
    first.load.add_unlayered("e", 2)
    async with curio.timeout_after(3):
        while second.load.get("e").entry_count != 2:
            await curio.sleep(0.01)
    for task in tasks:
        await task.cancel()


async def test_invalid_datagrams_are_ignored():
    """Guards against a router that ends because of a datagram from another sender."""
    engine = make_engine("e", "large", layers=LayerRange(0, 80))
    first, second = SharingRouter("one", engine), SharingRouter("two", engine)
    tasks = await first.start([second]) + await second.start([first])
    noise = random.Random(3)
    sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
    for size in (0, 1, 7, 8, 64, 1000):
        await sock.sendto(noise.randbytes(size), tuple(second.datagrams.address))
    await sock.close()
    first.load._own_use_by_id["e"] = EngineUse(10.0, 1)
    async with curio.timeout_after(3):
        while second.load.get("e").entry_count != 1:
            await curio.sleep(0.01)
    for task in tasks:
        await task.cancel()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
