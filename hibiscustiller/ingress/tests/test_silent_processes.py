"""What the silence of servers, routers and this router itself costs, by part."""

import sys
import time

import curio

from hibiscustiller.ingress.tests.cuts import Cut
from hibiscustiller.ingress.tests.fixtures import World
from hibiscustiller.ingress.tests.test_routers_cut_off import CutWorld
from hibiscustiller.ingress.tests.test_silent_engines import (
    CALLER_PATIENCE_S,
    SilentWorld,
    check_streams,
    find_event_ids,
)
from hibiscustiller.ingress.tests.test_silent_plain_servers import (
    TIMEOUT_MS,
    PlainWorld,
)
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import open_connection

# Stops of a router's own process, as by a paused machine.
STALLS_S = (0.3, 1.0)


async def block_loop(for_s):
    """Block the event loop, as a process does that is stopped."""
    time.sleep(for_s)


async def test_a_stall_of_this_router_is_no_outage_of_servers():
    """Guards against sound servers that are unreachable after a stop of this router.

    The loop is blocked while a connection to the server is being opened, as on a busy
    machine twice in succession.
    """
    async with World() as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(2)
        health = world.gateway._health
        for stall_s in STALLS_S:
            stall_count = 0

            async def connect(address, timeout, stall_s=stall_s):
                nonlocal stall_count
                stall_count += 1
                if stall_count <= 2:
                    # It runs when this task first waits for the connection.
                    await curio.spawn(block_loop, stall_s, daemon=True)
                return await open_connection(address, timeout)

            health._open_connection = connect
            for server in world.gateway.view.list_all_servers():
                stall_count = 0
                assert await health.check([server], since=world.clock.monotonic())
                assert stall_count >= 1
            assert not health.list_unreachable() and not health.is_cut_off
            assert count_pipelines(world.gateway) == 2


async def test_requests_end_in_time_while_all_servers_stay_silent():
    """Guards against requests that get no answer at all once their time is up."""
    async with PlainWorld() as world:
        for plain in world.plain:
            plain.is_silent = True
        async with curio.timeout_after(TIMEOUT_MS / 1000 + 1.0):
            tasks = await world.start_requests(4)
            answers = [await task.join() for task in tasks]
        assert {answer.status for answer in answers} == {504}, answers


class UnacceptedLinks:
    """Opens connections, of which some addresses accept none for a while."""

    def __init__(self):
        self.full_addresses = set()

    async def connect(self, address, timeout):
        """Open a connection as :func:`open_connection` does."""
        if address in self.full_addresses:
            await curio.sleep(timeout.total_seconds())
            raise TimeoutError("no answer")
        return await open_connection(address, timeout)


def count_pipelines(gateway):
    """Return the number of pipelines that a gateway uses."""
    forwarder = gateway.models.forwarders_by_service.get("engines")
    return 0 if forwarder is None else len(forwarder.selector.pipelines)


async def test_an_engine_that_accepts_no_connection_for_a_moment_keeps_its_layers():
    """Guards against layers and pipelines that are given up for a full accept queue.

    Another router, which reaches the engine, must not be affected.
    """
    for silence_s in STALLS_S:
        async with World() as world:
            links = UnacceptedLinks()
            world.hold_all_layers(*world.engines)
            await world.wait_for_pipelines(2)
            other = await world.start_other("router-2", links.connect)
            await world.wait_until(lambda other=other: count_pipelines(other) == 2)
            order_counts = [engine.order_count for engine in world.engines]
            server = other.view.get_server(world.engines[0].id)
            links.full_addresses.add(server.address)
            checks = await curio.spawn(other._health.check, [server])
            lowest = 2
            until = await curio.clock() + silence_s
            while await curio.clock() < until:
                lowest = min(lowest, count_pipelines(world.gateway))
                await curio.sleep(0.02)
            await checks.join()
            links.full_addresses.clear()
            await world.wait_until(lambda other=other: count_pipelines(other) == 2, 1.0)
            assert lowest == 2
            assert order_counts == [engine.order_count for engine in world.engines]


async def test_requests_are_served_while_no_server_accepts_for_a_moment():
    """Guards against callers that are refused because all accept queues are full.

    The route leaves time to connect once more.
    """
    for path in ("/chat/1", "/stock/1"):
        async with World() as world:
            world.hold_all_layers(*world.engines)
            links = UnacceptedLinks()
            await world.start_other("router-2")
            other = await world.start_other("router-3", links.connect)
            await world.wait_until(lambda other=other: count_pipelines(other) == 2)
            servers = other.view.list_all_servers()
            links.full_addresses = {server.address for server in servers}
            async with curio.TaskGroup() as tasks:
                for _ in range(4):
                    await tasks.spawn(world.request, path, other)
                await curio.sleep(0.5)
                links.full_addresses = set()
            statuses = {answer.status for answer in tasks.results}
            assert statuses == {200}, (path, statuses)


async def test_layers_stay_where_they_are_while_all_engines_are_silent():
    """Guards against layers that are ordered anew because no engine answers."""
    async with SilentWorld(3) as world:
        await curio.sleep(1.0)
        order_counts = [engine.order_count for engine in world.engines]
        tasks = await world.start_streams(3)
        await world.silence(world.engines)
        await check_streams(tasks)
        await curio.sleep(1.0)
        assert order_counts == [engine.order_count for engine in world.engines]
        assert count_pipelines(world.gateway) == 3


async def test_streams_leave_a_router_that_is_stuck_in_time():
    """Guards against callers that leave while another router could answer.

    The request was passed on to a router that is silent for good.
    """
    async with CutWorld(retry_slack=200.0) as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)

        async def answer_nothing(request, responder):
            await curio.sleep(60)

        world.others[0]._inner_server.handle = answer_nothing
        for _ in range(4):
            async with curio.timeout_after(CALLER_PATIENCE_S):
                answer = await world.request("/chat/1", world.cut_gateway)
            assert (answer.status, answer.is_complete) == (200, True)


async def test_silent_servers_are_not_recorded_as_crashed():
    """Guards against requests that are quarantined because their server was silent."""
    async with SilentWorld(2) as world:
        for _ in range(3):
            for plain in world.plain:
                plain.is_silent = True
            tasks = await world.start_streams(2)
            book = await curio.spawn(lambda: world.request("/book/1"))
            await world.silence(world.engines, 1.0)
            for plain in world.plain:
                plain.is_silent = False
            await check_streams(tasks)
            await book.join()
        state = world.gateway.describe()
        assert not state["crashed_requests"] and not state["crashed_parts"], state
        servers = world.gateway.view.list_all_servers()
        assert not any(map(world.gateway._health.has_ended, servers))


async def test_a_store_that_is_silent_for_a_second_costs_nothing():
    """Guards against servers, routers or a control term lost with a silent store."""
    async with World() as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(2)
        other = await world.start_other("router-2")
        gateways = [world.gateway, other]
        await world.wait_until(lambda: any(g._control_lease.term for g in gateways))
        terms = [g._control_lease.term for g in gateways]
        order_counts = [engine.order_count for engine in world.engines]
        world.store.faults.is_silent = True
        until = await curio.clock() + 1.0
        while await curio.clock() < until:
            for path in ("/chat/1", "/stock/1", "/book/1"):
                assert (await world.request(path, other)).status == 200, path
        world.store.faults.is_silent = False
        await curio.sleep(1.5)
        assert terms == [g._control_lease.term for g in gateways]
        assert order_counts == [engine.order_count for engine in world.engines]
        for gateway in gateways:
            assert len(gateway.view.peers_by_id) == 2
            assert len(gateway.view.list_all_servers()) == 4
            assert count_pipelines(gateway) == 2


async def test_a_router_that_is_silent_for_a_second_delays_no_callers_of_others():
    """Guards against callers that wait for a coordinator that does not answer."""
    async with World() as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(2)
        gateways = [world.gateway]
        for name in ("router-2", "router-3"):
            gateways.append(await world.start_other(name))
        for gateway in gateways:
            await world.wait_until(lambda g=gateway: count_pipelines(g) == 2)
        sends = {gateway: gateway._datagrams.send for gateway in gateways}
        for silent in gateways:
            silent_address = silent._datagrams.address

            def make_send(gateway, silent=silent, silent_address=silent_address):
                async def send(address, data):
                    if gateway is not silent and address != silent_address:
                        await sends[gateway](address, data)

                return send

            for gateway in gateways:
                gateway._datagrams.send = make_send(gateway)
            until = await curio.clock() + 1.0
            while await curio.clock() < until:
                for path in ("/chat/1", "/stock/1"):
                    for gateway in gateways:
                        if gateway is silent:
                            continue
                        began_at = await curio.clock()
                        answer = await world.request(path, gateway)
                        assert answer.status == 200, path
                        # The target latency of streams, and their 20 events.
                        assert await curio.clock() - began_at < 0.5 + 0.2, path
            for gateway in gateways:
                gateway._datagrams.send = sends[gateway]
                assert len(gateway.view.peers_by_id) == 3
                assert count_pipelines(gateway) == 2


async def test_requests_passed_on_wait_for_routers_that_are_silent_for_a_moment():
    """Guards against requests that fail, or run twice, beside silent routers."""
    async with CutWorld(retry_slack=200.0) as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        for engine in world.engines:
            engine.requests.clear()

        def make_handle(handle):
            async def answer_late(request, responder):
                await curio.sleep(1.0)
                await handle(request, responder)

            return answer_late

        for gateway in world.sound_gateways:
            server = gateway._inner_server
            server.handle = make_handle(server.handle)
        async with curio.TaskGroup() as tasks:
            for path in ("/chat/1", "/once/1") * 4:
                await tasks.spawn(world.request, path, world.cut_gateway)
        for answer in tasks.results:
            assert (answer.status, answer.is_complete) == (200, True), answer
            assert find_event_ids(answer.body) == list(range(20)), answer
        ids = [
            request.headers_by_name["request-id"]
            for engine in world.engines
            for request in engine.requests
            if request.path == "/once/1"
        ]
        assert len(ids) == len(set(ids)) == 4, ids
        for gateway in world.gateways:
            await world.wait_until(lambda g=gateway: not g.describe()["in_flight"])


async def test_streams_leave_a_router_that_is_stuck_midway_in_time():
    """Guards against callers that leave although the rest of a stream is to be had.

    The request was passed on to a router that is silent for good after some events.
    """
    async with CutWorld(retry_slack=200.0) as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)

        def make_handle(handle):
            async def answer_in_part(request, responder):
                send_part = responder.send_part
                count = 0

                async def send_some(data):
                    nonlocal count
                    count += 1
                    if count > 5:
                        await curio.sleep(60)
                    await send_part(data)

                responder.send_part = send_some
                await handle(request, responder)

            return answer_in_part

        server = world.others[0]._inner_server
        server.handle = make_handle(server.handle)
        for _ in range(6):
            async with curio.timeout_after(CALLER_PATIENCE_S):
                answer = await world.request("/chat/1", world.cut_gateway)
            assert (answer.status, answer.is_complete) == (200, True)
            assert find_event_ids(answer.body) == list(range(20)), answer


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
