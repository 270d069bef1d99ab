"""Planned stops of a router while requests are under way."""

import sys
from collections import Counter

import curio

from hibiscustiller.ingress.tests.fixtures import World, make_document
from hibiscustiller.utils._testing import collect_tests

GRACE_S = 3.0
# Requests take longer than what is left of the grace time when the last ones arrive.
WORK_S = 1.6
NOT_RUN_STATUSES = (408, 421, 429, 503)
REQUESTS = 12
FIRST_S, LAST_S = 1.0, 1.6


def make_slow_document():
    """Return a document in which all plain routes wait 5 s for their servers."""
    document = make_document(version=2)
    for route in document["routes"]:
        if route["service"] == "orders":
            route["timeout_ms"] = 5000
            route["target_latency_ms"] = 4000
    return document


class SlowWorld(World):
    """A gateway with plain servers that take long, and their runs by request id."""

    async def __aenter__(self):
        await super().__aenter__()
        self.store.put("op/config", make_slow_document())
        await self.wait_until(lambda: self.gateway.view.document.version == 2)
        self.run_ids = Counter()
        for server in self.plain:
            server._work_s = WORK_S
            server.on_run = lambda request: self.run_ids.update(
                [request.headers_by_name["request-id"]]
            )
        return self


async def send_late_requests(world):
    """Send requests on open connections late in the grace time of a stop.

    :returns: answers by request id, with the path; an incomplete one was cut off.
    """
    socks = [await world.connect() for _ in range(REQUESTS)]
    # An idle connection that has sent no request yet is closed by the stop.
    for sock in socks:
        answer = await world.exchange(sock, "/open/none")
        assert answer.status == 404
    outcomes = {}

    async def send(number):
        await curio.sleep(FIRST_S + (LAST_S - FIRST_S) * number / REQUESTS)
        path = ("/book/1", "/stock/1")[number % 2]
        request_id = f"late-{number}"
        answer = await world.exchange(socks[number], path, request_id=request_id)
        outcomes[request_id] = path, answer

    async with curio.TaskGroup() as group:
        stop = await group.spawn(world.gateway.stop)
        for number in range(REQUESTS):
            await group.spawn(send, number)
        await stop.join()
    for sock in socks:
        await sock.close()
    return outcomes


def check_outcomes(outcomes, run_ids):
    """Check that each request was answered, and that no answer promises too much.

    A request may cross the close of its idle connection, and has not run then.
    """
    assert len(outcomes) == REQUESTS
    statuses = Counter(answer.status for _, answer in outcomes.values())
    for request_id, (path, answer) in outcomes.items():
        assert answer.is_complete or not answer.status, (request_id, path, statuses)
        if answer.status in (0, *NOT_RUN_STATUSES):
            assert not run_ids[request_id], (request_id, path, statuses)
        assert run_ids[request_id] <= (1 if path == "/book/1" else 2)
    crossed = statuses.pop(0, 0)
    assert crossed <= 2, crossed
    return statuses


async def test_late_requests_of_a_planned_stop_are_answered():
    """Guards against requests that are forwarded late in a stop and cut off.

    Those that cannot end within the grace time are refused before they are sent. The
    router has learned how long requests take.
    """
    async with SlowWorld((), ()) as world:
        async with curio.TaskGroup() as group:
            for path in ("/book/0", "/stock/0"):
                await group.spawn(world.request, path)
        outcomes = await send_late_requests(world)
        statuses = check_outcomes(outcomes, world.run_ids)
        assert set(statuses) == {503}, statuses


async def test_late_requests_of_unknown_duration_get_an_answer_that_promises_nothing():
    """Guards against a stop that closes connections of requests that may have run."""
    async with SlowWorld((), ()) as world:
        # The target latency, which is far too short, is the estimate.
        document = make_slow_document()
        for route in document["routes"]:
            route["target_latency_ms"] = 100
        world.store.put("op/config", {**document, "version": 3})
        await world.wait_until(lambda: world.gateway.view.document.version == 3)
        outcomes = await send_late_requests(world)
        statuses = check_outcomes(outcomes, world.run_ids)
        assert statuses[504], statuses


async def test_requests_under_way_at_a_planned_stop_are_answered():
    """Guards against a request that outlasts the grace time without an answer."""
    async with SlowWorld((), ()) as world:
        for server in world.plain:
            server._work_s = 4.0
        request = await curio.spawn(world.request, "/book/1")
        await curio.sleep(0.1)
        await world.gateway.stop()
        answer = await request.join()
        assert (answer.status, answer.is_complete) == (504, True), answer


async def start_streams(world, period_s, event_count):
    """Let engines send the events of a route whose usual streams are short."""
    for engine in world.engines:
        engine._event_period_s = period_s
    world.hold_all_layers(*world.engines)
    await world.wait_for_pipelines(2)
    async with curio.TaskGroup(wait=all) as group:
        for number in range(12):
            await group.spawn(world.request, f"/once/{number}")
    assert all(answer.is_complete for answer in group.results)
    for engine in world.engines:
        engine._event_count = event_count


def count_runs(world, request_ids):
    """Return how many of some requests the engines have begun to run."""
    run_ids = [
        request.headers_by_name["request-id"]
        for engine in world.engines
        for request in engine.requests
    ]
    return sum(request_id in run_ids for request_id in request_ids)


# Guards against a long stream that a stopping router accepts by the mean duration of
# its route, and cuts.
async def test_late_streams_are_judged_by_their_own_length():
    async with World() as world:
        await start_streams(world, 0.01, 150)
        socks = [await world.connect() for _ in range(8)]
        answers = {}

        async def send(number):
            # Connections that have sent nothing are open for half a second longer.
            await curio.sleep(1.4 + 0.5 * number / len(socks))
            options = {"request_id": f"long-{number}"}
            options["headers"] = [("token-usage", "100,150")]
            path = f"/once/late-{number}"
            answers[number] = await world.exchange(socks[number], path, **options)

        async with curio.TaskGroup() as group:
            await group.spawn(world.gateway.stop)
            for number in range(len(socks)):
                await group.spawn(send, number)
        for sock in socks:
            await sock.close()
        assert all(a.status == 503 and a.is_complete for a in answers.values()), answers
        assert not count_runs(world, [f"long-{n}" for n in answers])


# Guards against a stop that refuses a short stream, which can still be answered, on a
# route with long ones.
async def test_late_streams_that_are_short_are_served():
    async with World() as world:
        await start_streams(world, 0.01, 150)
        headers = [("token-usage", "100,150")]
        await world.request("/once/long", headers=headers)
        for engine in world.engines:
            engine._event_count = 20
        async with curio.TaskGroup() as group:
            await group.spawn(world.gateway.stop)
            await curio.sleep(1.3)
            answer = await world.request("/once/short")
        assert (answer.status, answer.is_complete) == (200, True), answer


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
