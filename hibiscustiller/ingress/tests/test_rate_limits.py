"""Limits on the rate of requests that servers name in their answers."""

import random
import sys
import time
from collections import Counter, defaultdict

import curio

from hibiscustiller.ingress.tests.fixtures import World
from hibiscustiller.utils._testing import collect_tests

# The platform's rule: from this time after a server first named its limit, it gets in
# each window at most one and a half times what the limit allows, and five more.
STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXCESS = 5


class ArrivalRecorder:
    """Records when requests arrive at servers, and checks them against a limit.

    :param servers: stand-ins that call ``on_run`` for each request.
    """

    def __init__(self, servers):
        self.arrivals_by_id = defaultdict(list)
        for server in servers:
            server.on_run = self._make_handler(server.id)

    def _make_handler(self, server_id):
        return lambda *request: self.arrivals_by_id[server_id].append(time.monotonic())

    def count_most(self, server_id, since):
        """Return the most arrivals in a window that begins after a time."""
        times = [at for at in self.arrivals_by_id[server_id] if at >= since]
        return max(
            (sum(at <= later < at + WINDOW_S for later in times) for at in times),
            default=0,
        )

    def check(self, server_id, limit, named_at):
        """Check that a server that named a limit did not get more than allowed."""
        most = self.count_most(server_id, named_at + STABLE_WINDOW_S)
        allowed = ALLOWED_RATIO * WINDOW_S * limit + ALLOWED_EXCESS
        assert most <= allowed, (server_id, most, allowed)


async def send_load(world, path, rate, duration_s, gateways=(), seed=1):
    """Send requests at a rate, to the gateways in random order.

    :param rate: requests per second.
    :returns: number of answers by status, and the ``Retry-After`` of each refusal.
    """
    random_state = random.Random(seed)
    statuses, delays = Counter(), []

    async def send(number):
        gateway = random_state.choice(gateways) if gateways else None
        answer = await world.request(path, gateway, body=b"{%d}" % number)
        statuses[answer.status] += 1
        if "retry-after" in answer.headers:
            delays.append(float(answer.headers["retry-after"]))

    started_at = time.monotonic()
    async with curio.TaskGroup() as group:
        for number in range(int(rate * duration_s)):
            await group.spawn(send, number)
            due_at = started_at + (number + 1) / rate
            await curio.sleep(max(0.0, due_at - time.monotonic()))
    return statuses, delays


async def test_a_plain_server_gets_no_more_than_its_limit():
    """Guards against a server in need that gets far more than it takes.

    Incident LIMIT.
    """
    async with World((), (), plain_count=3) as world:
        recorder = ArrivalRecorder(world.plain)
        for server in world.plain[:2]:
            server.rate_limit = 2.0
        named_at = time.monotonic()
        statuses, _ = await send_load(world, "/stock/1", 30.0, 9.0)
        for server in world.plain[:2]:
            recorder.check(server.id, 2.0, named_at)
        # The third server has room for all of them.
        assert statuses == {200: 270}, statuses


async def test_an_entry_engine_gets_no_more_than_its_limit():
    """Guards against a pipeline that is preferred although its entry is limited."""
    async with World(("e0", "e1"), ("north", "north")) as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(2)
        recorder = ArrivalRecorder(world.engines)
        world.engines[0].faults.rate_limit = 1.5
        named_at = time.monotonic()
        statuses, _ = await send_load(world, "/chat/1", 12.0, 9.0)
        recorder.check("e0", 1.5, named_at)
        assert statuses == {200: 108}, statuses


async def test_several_routers_keep_the_limit_of_a_server_together():
    """Guards against a limit that each router keeps by itself.

    The coordinator is killed and started again under load.
    """
    async with World((), (), plain_count=3) as world:
        gateways = [world.gateway]
        for number in range(2, 6):
            gateways.append(await world.start_other(f"router-{number}"))
        recorder = ArrivalRecorder(world.plain)
        for server in world.plain[:2]:
            server.rate_limit = 2.0
        named_at = time.monotonic()

        async def restart_coordinator():
            await curio.sleep(5.0)
            key = f"rate/{world.plain[0].id}"
            (chosen,) = world.gateway.view.choose_routers(key, 1, "router-1")
            for gateway in list(world.others):
                if gateway._settings.router_id == chosen:
                    gateways.remove(gateway)
                    await world.kill(gateway)
                    gateways.append(await world.start_other(chosen))

        async with curio.TaskGroup() as group:
            load = await group.spawn(send_load, world, "/stock/1", 30.0, 12.0, gateways)
            await group.spawn(restart_coordinator)
        for server in world.plain[:2]:
            recorder.check(server.id, 2.0, named_at)
        statuses, _ = load.result
        assert statuses[200] >= 0.97 * 360, statuses


async def test_callers_are_refused_at_once_when_all_servers_are_limited():
    """Guards against callers that wait for a server that will not take them.

    They return spread over the time in which the servers could take them, and a
    server's own advice is not handed on.
    """
    async with World((), (), plain_count=3) as world:
        recorder = ArrivalRecorder(world.plain)
        for server in world.plain:
            server.rate_limit = 1.0
        named_at = time.monotonic()
        started_at = time.monotonic()
        statuses, delays = await send_load(world, "/stock/1", 30.0, 8.0)
        assert time.monotonic() - started_at < 8.5
        for server in world.plain:
            recorder.check(server.id, 1.0, named_at)
        assert set(statuses) == {200, 429}, statuses
        # Most of what the servers take is used.
        assert statuses[200] >= 0.6 * 3 * 8, statuses
        late = delays[len(delays) // 2 :]
        assert max(late) - min(late) >= 0.5, late
        assert all(0.3 <= delay <= 5.0 for delay in delays)


async def test_a_caller_that_leaves_during_the_question_holds_no_place():
    """Guards against places that are never given back, until the engines seem full.

    The coordinator does not answer, so that each question takes some time.
    """
    async with World(("e0",), ("north",)) as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(1)
        world.engines[0].faults.rate_limit = 1000.0
        assert (await world.request("/chat/1")).status == 200
        rate_limits = world.gateway._rate_limits

        async def ask_without_answer(limit, priority):
            await curio.sleep(10.0)

        ask, rate_limits._request = rate_limits._request, ask_without_answer
        for _ in range(20):
            await curio.ignore_after(0.02, world.request("/chat/1"))
        await curio.sleep(0.6)
        rate_limits._request = ask
        forwarder = world.gateway.models.forwarders_by_service["engines"]
        assert forwarder.selector.get_free_slot_share() == 1.0
        answer = await world.request("/chat/1")
        assert answer.status == 200, answer


async def test_an_answer_of_another_process_does_not_withdraw_a_limit():
    """Guards against a refusal of the next process at an address, which names none."""
    async with World((), (), plain_count=2) as world:
        server = world.plain[0]
        server.rate_limit = 0.5
        while not world.gateway.describe()["rate_limits"]:
            await world.request("/stock/1")
        own_id, server.id = server.id, "another"
        count = len(server.requests)
        world.plain[1].behave = "full"
        for _ in range(30):
            await world.request("/stock/1")
            await curio.sleep(0.1)
        server.id = own_id
        assert len(server.requests) == count
        assert world.gateway.describe()["rate_limits"] == {own_id: 0.5}


async def test_a_withdrawn_limit_no_longer_holds():
    """Guards against a server that keeps a limit that it names no more."""
    async with World((), (), plain_count=1) as world:
        (server,) = world.plain
        server.rate_limit = 1.0
        await send_load(world, "/stock/1", 10.0, 2.0)
        assert world.gateway.describe()["rate_limits"] == {server.id: 1.0}
        server.rate_limit = None
        await send_load(world, "/stock/1", 10.0, 2.0)
        assert not world.gateway.describe()["rate_limits"]
        statuses, _ = await send_load(world, "/stock/1", 10.0, 1.0)
        assert statuses == {200: 10}, statuses


async def test_refusals_and_retries_count_against_the_limit():
    """Guards against requests that a server rejects and that are not counted."""
    async with World((), (), plain_count=2) as world:
        server = world.plain[0]
        server.rate_limit = 1.0
        server.behave = "full"
        await send_load(world, "/stock/1", 20.0, WINDOW_S)
        count = len(server.requests)
        await send_load(world, "/stock/1", 20.0, WINDOW_S)
        arrived = len(server.requests) - count
        assert arrived <= ALLOWED_RATIO * WINDOW_S * 1.0 + ALLOWED_EXCESS, arrived


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
