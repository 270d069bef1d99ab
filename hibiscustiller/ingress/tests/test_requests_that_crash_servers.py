"""Quarantine of requests that crash their servers and that callers retry."""

import sys
from collections import Counter

import curio

from hibiscustiller.ingress.tests.fixtures import World
from hibiscustiller.utils._testing import collect_tests

CRASH_MARKER = b"crash"
# Number of servers that crash under a request before it is quarantined, and maximum
# number of its attempts that reach servers after the last of these crashes.
CRASHES_BEFORE_QUARANTINE = 3
MAX_RETRIES_AFTER_QUARANTINE = 3
CALLER_ATTEMPTS = 14
ENGINE_IDS = tuple(f"e{number}" for number in range(8))


def has_crash_marker(request):
    return CRASH_MARKER in request.body


def make_world(engine_ids=ENGINE_IDS, kind="large", plain_count=8, **options):
    """Make a world in which every server crashes under a request with the marker."""
    zones = ("north",) * len(engine_ids)
    world = World(engine_ids, zones, kind, plain_count, **options)
    for server in [*world.engines, *world.plain]:
        server.crashes_on = has_crash_marker
    return world


def count_crashing_requests(servers, path):
    return sum(
        has_crash_marker(request) and request.path == path
        for server in servers
        for request in server.requests
    )


async def repeat_crashing_request(
    world, path, gateways, attempts=CALLER_ATTEMPTS, pause_s=0.1
):
    """Send a request that crashes servers repeatedly, to the gateways in turn."""
    answers = []
    for number in range(attempts):
        gateway = gateways[number % len(gateways)]
        answers.append(await world.request(path, gateway, body=b"{%s}" % CRASH_MARKER))
        await curio.sleep(pause_s)
    return answers


def check_quarantine(servers, path, answers):
    """Check how many attempts reached servers, and which answers the caller got."""
    sent = count_crashing_requests(servers, path)
    assert (
        CRASHES_BEFORE_QUARANTINE
        <= sent
        <= CRASHES_BEFORE_QUARANTINE + MAX_RETRIES_AFTER_QUARANTINE
    ), sent
    assert not any(answer.status == 200 and answer.is_complete for answer in answers)
    # The last attempts are refused without being sent to a server.
    assert [answer.status for answer in answers[-3:]] == [503] * 3
    assert all(float(answer.headers["retry-after"]) > 0 for answer in answers[-3:])


async def test_a_plain_request_that_crashes_each_server_is_quarantined():
    """Guards against a plain request that crashes a server at each retry of its caller.

    Incident BUDGET on turf-orders.
    """
    for path in ("/stock/1", "/book/1"):
        async with make_world() as world:
            answers = await repeat_crashing_request(world, path, [world.gateway])
            check_quarantine(world.plain, path, answers)
            assert (await world.request(path)).status == 200


async def test_a_stream_that_crashes_each_engine_is_quarantined():
    """Guards against a stream that crashes one engine after the other.

    A resumable stream does so within one answer, any other stream over several retries.

    Incident BUDGET on turf-orders.
    """
    for path in ("/chat/1", "/once/1"):
        async with make_world() as world:
            await world.wait_for_pipelines(7)
            answers = await repeat_crashing_request(world, path, [world.gateway])
            check_quarantine(world.engines, path, answers)
            assert (await world.request(path)).is_complete


async def test_a_stream_that_crashes_a_later_stage_is_quarantined():
    """Guards against a crash of a later stage that is mistaken for a pause.

    The engine of the first stage, which the router is connected to, keeps running.
    """
    async with make_world(kind="small") as world:
        await world.wait_for_pipelines(4)
        for engine in world.engines:
            engine.crashes_on = lambda request, engine=engine: (
                has_crash_marker(request) and engine.layers[0] > 0
            )
        answers = await repeat_crashing_request(
            world, "/chat/1", [world.gateway], attempts=8
        )
        check_quarantine(world.engines, "/chat/1", answers)


async def test_crashes_recorded_by_other_routers_count():
    """Guards against a crash count that starts from zero at each router."""
    async with make_world() as world:
        gateways = [world.gateway]
        for number in range(2, 5):
            gateways.append(await world.start_other(f"router-{number}"))
        for path in ("/stock/1", "/book/2"):
            answers = await repeat_crashing_request(world, path, gateways)
            check_quarantine(world.plain, path, answers)


async def test_streams_beside_one_that_crashes_engines_complete():
    """Guards against quarantine of requests that only ran beside the one at fault."""
    async with make_world(retry_slack=2000.0) as world:
        await world.wait_for_pipelines(7)
        for engine in world.engines:
            engine._event_count = 60

        async def send(number):
            body = b"{%d}" % number
            return await world.request("/chat/1", body=body, time_limit_s=12.0)

        async with curio.TaskGroup() as group:
            for number in range(40):
                await group.spawn(send, number)
            crashing = await group.spawn(
                repeat_crashing_request, world, "/chat/1", [world.gateway]
            )
        check_quarantine(world.engines, "/chat/1", crashing.result)
        others = [task.result for task in group.tasks if task is not crashing]
        outcomes = Counter((a.status, a.is_complete) for a in others)
        assert outcomes == {(200, True): 40}, outcomes


async def test_failures_of_all_servers_do_not_quarantine_a_frequent_request():
    """Guards against quarantine of a frequent request when servers fail.

    Copies of the request run on all servers that fail, but are not the cause.
    """
    async with make_world() as world:
        for server in world.plain:
            server.crashes_on = lambda request: False
            server._work_s = 0.1
        for _ in range(4):
            async with curio.TaskGroup() as group:
                for _ in range(24):
                    await group.spawn(world.request, "/stock/1")
                await curio.sleep(0.05)
                for server in world.plain:
                    await group.spawn(server.crash)
            answer = await world.request("/stock/1")
            assert (answer.status, answer.body) == (200, b"booked"), answer


async def test_a_refusal_by_a_full_server_does_not_clear_a_request():
    """Guards against a full server's refusal that counts as an answer."""
    async with make_world() as world:
        for server in world.plain[::2]:
            server.behave = "full"
        answers = await repeat_crashing_request(world, "/stock/1", [world.gateway])
        # Most attempts meet a full server before or after one that crashes.
        accepting = [server for server in world.plain if server.behave == "answer"]
        check_quarantine(accepting, "/stock/1", answers)


async def test_a_restarted_router_refuses_a_quarantined_request():
    """Guards against a restart after which a quarantined request reaches servers."""
    async with make_world() as world:
        other = await world.start_other("router-2")
        answers = await repeat_crashing_request(
            world, "/book/1", [world.gateway, other]
        )
        check_quarantine(world.plain, "/book/1", answers)
        sent = count_crashing_requests(world.plain, "/book/1")
        await world.kill(other)
        other = await world.start_other("router-2")
        await world.wait_until(lambda: other.describe()["crashed_requests"], 3.0)
        answer = await world.request("/book/1", other, body=b"{%s}" % CRASH_MARKER)
        assert answer.status == 503
        assert count_crashing_requests(world.plain, "/book/1") == sent


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
