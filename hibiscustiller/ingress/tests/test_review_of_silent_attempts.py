"""Attempts beside a silent one that are not ended, not counted or not replaced."""

import sys

import curio

from hibiscustiller.ingress.tests.cuts import Cut, ServerLinks
from hibiscustiller.ingress.tests.fixtures import RawServer, make_document
from hibiscustiller.ingress.tests.test_endless_answers import write_plain_entry
from hibiscustiller.ingress.tests.test_failures_elsewhere import is_known, make_answer
from hibiscustiller.ingress.tests.test_silent_engines import (
    SilentWorld,
    check_streams,
    check_whole,
)
from hibiscustiller.ingress.tests.test_silent_plain_servers import (
    TIMEOUT_MS,
    PlainWorld,
    join_all,
)
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import open_connection

# Time that an answer may take beyond the route's time-out.
MARGIN_S = 0.7


async def test_plain_requests_end_with_their_timeout_without_a_retry_budget():
    """Guards against callers that get no answer after the time-out of their request."""
    async with PlainWorld(retry_slack=0.0) as world:
        for plain in world.plain:
            plain.is_silent = True
        tasks = await world.start_requests(4)
        await curio.sleep(TIMEOUT_MS / 1000 + MARGIN_S)
        ended = [task.terminated for task in tasks]
        for plain in world.plain:
            plain.is_silent = False
        for task in tasks:
            await task.cancel()
        assert all(ended), ended


async def test_a_failed_silent_attempt_ends_a_request_without_a_retry_budget():
    """Guards against requests that search on after their only attempt has failed."""
    async with PlainWorld(retry_slack=0.0) as world:
        for plain in world.plain:
            plain.is_silent = True
        tasks = await world.start_requests(4)
        await curio.sleep(0.5)
        for plain in world.plain:
            await plain.server.close()
        await curio.sleep(1.0)
        ended = [task.terminated for task in tasks]
        for task in tasks:
            await task.cancel()
        assert all(ended), ended


async def test_a_stuck_second_attempt_does_not_hold_a_stream():
    """Guards against a silent second attempt that prevents one at a sound engine."""
    async with SilentWorld(3) as world:
        document = make_document(2)
        for route in document["routes"]:
            if route["name"] == "chat":
                route["max_attempts"] = 3
        world.store.put("op/config", document)
        await world.wait_until(lambda: world.gateway.view.document.version == 2)
        tasks = await world.start_streams(1)
        first = next(engine for engine in world.engines if engine.requests)
        first.faults.is_silent = True
        others = [engine for engine in world.engines if engine is not first]
        for engine in others:
            engine.faults.begins_after_s = 60.0
        await world.wait_until(lambda: any(engine.requests for engine in others))
        sound = next(engine for engine in others if not engine.requests)
        sound.faults.begins_after_s = 0.0
        await curio.sleep(4.0)
        requests = list(sound.requests)
        for task in tasks:
            await task.cancel()
        assert requests


async def test_a_stuck_second_attempt_does_not_hold_a_stream_whose_first_one_broke():
    """Guards against streams that wait for a stuck engine beside a sound one."""
    async with SilentWorld(3) as world:
        tasks = await world.start_streams(1)
        first = next(engine for engine in world.engines if engine.requests)
        first.faults.is_silent = True
        others = [engine for engine in world.engines if engine is not first]
        for engine in others:
            engine.faults.begins_after_s = 60.0
        await world.wait_until(lambda: any(engine.requests for engine in others))
        sound = next(engine for engine in others if not engine.requests)
        sound.faults.begins_after_s = 0.0
        await first.server.close()
        await curio.sleep(0.1)
        async with curio.timeout_after(6.0):
            answer, _ = await tasks[0].join()
        check_whole(answer)


class CutStreamWorld(SilentWorld):
    """A second gateway whose new connections to servers are refused."""

    async def start_cut_stream(self):
        """Start a stream at the second gateway, and refuse its new connections."""
        links = ServerLinks()
        other = await self.start_other("router-2", links.connect)

        def has_pipelines():
            forwarder = other.models.forwarders_by_service.get("engines")
            return forwarder and len(forwarder.selector.pipelines) == len(self.engines)

        await self.wait_until(has_pipelines)
        task = await curio.spawn(lambda: self.stream(gateway=other))
        await self.wait_until(lambda: self.count_arrivals() == 1)
        await links.cut(Cut.REFUSED_NEW)
        return task


async def test_a_refusal_of_another_router_leaves_the_silent_attempt():
    """Guards against "not run" for a stream whose engine runs it and would answer."""
    async with CutStreamWorld(1, room=1) as world:
        world.engines[0].faults.begins_after_s = 2.0
        task = await world.start_cut_stream()
        answer, _ = await task.join()
        check_whole(answer)


async def test_a_silent_attempt_goes_on_while_another_router_is_asked():
    """Guards against events that wait for another router whose engine is stuck."""
    async with CutStreamWorld(2, room=1) as world:
        for engine in world.engines:
            engine.faults.begins_after_s = 2.0
        task = await world.start_cut_stream()
        stuck = next(engine for engine in world.engines if not engine.requests)
        stuck.faults.begins_after_s = 60.0
        answer, gap = await task.join()
        check_whole(answer)
        assert gap < 2.0 + MARGIN_S, gap


async def test_another_router_is_asked_within_the_retry_budget():
    """Guards against a silent stream that is sent again and again without a retry."""
    async with CutStreamWorld(1, room=1, retry_slack=0.0) as world:
        world.engines[0].faults.is_frozen = True
        task = await world.start_cut_stream()
        await curio.sleep(3.5)
        count = world.count_arrivals()
        await task.cancel()
        # A budget of 0.2 for one request allows no repeat.
        assert count == 1, count


async def test_searches_without_a_retry_budget_use_no_permissions():
    """Guards against permissions of limited engines that are taken and not used."""
    async with SilentWorld(2, retry_slack=0.0) as world:
        for engine in world.engines:
            engine.faults.rate_limit = 1000.0
        tasks = await world.start_streams(8)
        silent, sound = world.engines
        arrival_count, granted = sound.arrival_count, []
        rate_limits = world.gateway._rate_limits
        acquire = rate_limits.acquire

        async def record_granted(server, priority):
            wait = await acquire(server, priority)
            if wait is None and server.id == sound.id:
                granted.append(server.id)
            return wait

        rate_limits.acquire = record_granted
        await world.silence([silent], 1.9)
        used_count = sound.arrival_count - arrival_count
        await check_streams(tasks)
        assert len(granted) <= used_count, (len(granted), used_count)


class SlowConnectWorld(PlainWorld):
    """Servers that take longer to accept a connection than a request waits alone."""

    is_slow = False

    def _make_gateway(self, name, connect=open_connection):
        async def connect_slowly(address, timeout):
            if self.is_slow:
                await curio.sleep(min(0.2, timeout.total_seconds() / 2))
            return await open_connection(address, timeout)

        return super()._make_gateway(name, connect_slowly)


async def test_slow_connections_do_not_add_attempts():
    """Guards against requests sent twice on a route that allows one attempt."""
    async with SlowConnectWorld() as world:
        document = make_document(3)
        for route in document["routes"]:
            route["timeout_ms"] = TIMEOUT_MS
            route["max_attempts"] = 1
        world.store.put("op/config", document)
        await world.wait_until(lambda: world.gateway.view.document.version == 3)
        world.is_slow = True
        for plain in world.plain:
            plain.is_silent = True
        tasks = await world.start_requests(12)
        await curio.sleep(1.0)
        for plain in world.plain:
            plain.is_silent = False
        for task in tasks:
            await task.join()
        assert world.count_arrivals() <= 12, world.count_arrivals()


async def test_an_answered_request_is_no_cause_of_a_later_crash():
    """Guards against sound requests that count as the cause of a server's end.

    The server is silent, and another one answers; runs that are left count if the
    silent one is killed.
    """
    async with PlainWorld() as world:
        stuck, _ = world.plain
        await join_all(await world.request_one_of(stuck))
        await world.wait_until(lambda: world.get_in_flight(stuck.id) == 0)
        assert world.gateway.describe()["unanswered_runs"] == 0


async def test_a_faulty_engine_gets_no_series_of_second_attempts():
    """Guards against one silent stream that spends the retries of a service.

    Each second attempt fails at once, and the route allows two attempts.
    """
    async with SilentWorld(2) as world:
        tasks = await world.start_streams(1)
        silent, faulty = world.engines
        if not silent.requests:
            silent, faulty = faulty, silent
        faulty.faults.is_of_other_request = True
        await world.silence([silent], 2.6)
        count = faulty.arrival_count
        await check_streams(tasks)
        assert count <= 2, count


class HeadOnlyServer(RawServer):
    """A plain server that sends the head of its answers and falls silent."""

    async def serve(self, sock):
        async with sock:
            while request := await sock.recv(65536):
                head = make_answer(request).partition(b"\r\n\r\n")[0]
                await sock.sendall(head + b"\r\n\r\n")


async def test_a_server_that_falls_silent_after_its_head_is_left():
    """Guards against requests that wait for a body until their time is up."""
    async with PlainWorld(1) as world, HeadOnlyServer() as server:
        write_plain_entry(world, "head-only", server)
        await world.wait_until(lambda: is_known(world, "head-only"))
        tasks = await world.start_requests(8)
        await curio.sleep(1.5)
        ended = [task.terminated for task in tasks]
        for task in tasks:
            await task.cancel()
        assert all(ended), ended


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
