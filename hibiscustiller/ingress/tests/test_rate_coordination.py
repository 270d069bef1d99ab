"""Limits that servers name, kept by hundreds of routers, without a network."""

import random
import sys
import time
from collections import Counter
from datetime import timedelta

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.discovery.tests.fixtures import MemoryDatagrams
from hibiscustiller.fleet import BackendServer, ServerState
from hibiscustiller.ingress._rate_limits import RateLimits
from hibiscustiller.settings import Address
from hibiscustiller.utils import Metrics, SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import _messages_generated as messages

SECOND = timedelta(seconds=1)
WINDOW_S = 4.0
STABLE_WINDOW_S = 3.0
PRIORITY = 1


class CountingDatagrams(MemoryDatagrams):
    """Counts the datagrams of a fleet."""

    async def send(self, address, data):
        self.fleet.sent_count += 1
        await super().send(address, data)


class Router:
    """The part of a router that keeps the limits of servers."""

    def __init__(self, fleet, number):
        self.router_id = f"r{number}"
        clock = SystemClock()
        self.view = FleetView(clock, 2 * SECOND)
        for other in range(fleet.size):
            self.view.apply_peer(Peer(f"r{other}", make_address(other), "north"))
        self.datagrams = CountingDatagrams(fleet, self.router_id, make_address(number))
        self.limits = RateLimits(
            self.router_id,
            self.view,
            self.datagrams,
            lambda: fleet.size - 1,
            clock,
            random.Random(number),
            Metrics(),
        )
        self.tasks = []

    async def start(self):
        self.tasks.append(await curio.spawn(self.limits.run, daemon=True))

    async def kill(self):
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            await task.cancel()


class Fleet:
    """Routers that send requests to one server, which names a limit.

    :param limit: the limit, in requests per second; None if it names none.
    """

    def __init__(self, size, limit):
        self.size = size
        self.limit = limit
        self.loss = 0.0
        self.sent_count = 0
        self.sent_bytes = 0
        self.received = Counter()
        self.random_state = random.Random(3)
        self.arrivals = []
        self.refused_count = 0
        self.server = make_server()
        self.routers = [Router(self, number) for number in range(size)]
        for router in self.routers:
            router.view.apply_server(self.server)

    @property
    def members_by_address(self):
        return {router.datagrams.address: router for router in self.routers}

    async def __aenter__(self):
        for router in self.routers:
            await router.start()
        return self

    async def __aexit__(self, *args):
        for router in self.routers:
            await router.kill()

    async def send(self, router):
        """Send a request to the server if the router may, and handle its answer."""
        sent_at = timedelta(seconds=time.monotonic())
        if await router.limits.acquire(self.server, PRIORITY) is not None:
            self.refused_count += 1
            return
        self.arrivals.append(time.monotonic())
        await curio.sleep(0.005)
        router.limits.observe(self.server, self.limit, sent_at)

    async def send_load(self, rate, duration_s):
        """Send requests by random routers."""
        started_at = time.monotonic()
        async with curio.TaskGroup() as group:
            for number in range(int(rate * duration_s)):
                await group.spawn(self.send, self.random_state.choice(self.routers))
                due_at = started_at + (number + 1) / rate
                await curio.sleep(max(0.0, due_at - time.monotonic()))

    def find_coordinator(self):
        """Return the router that grants the requests to the server."""
        router = self.routers[0]
        key = f"rate/{self.server.id}"
        (chosen,) = router.view.choose_routers(key, 1, router.router_id)
        return next(r for r in self.routers if r.router_id == chosen)

    async def lose(self, router):
        """Kill a router; the others learn of it only later."""
        await router.kill()
        self.routers.remove(router)

    def check(self, since):
        """Check the platform's rule from the stable window after a moment on."""
        times = [at for at in self.arrivals if at >= since + STABLE_WINDOW_S]
        most = max(
            (sum(at <= later < at + WINDOW_S for later in times) for at in times),
            default=0,
        )
        allowed = 1.5 * WINDOW_S * self.limit + 5
        assert most <= allowed, (most, allowed)
        return len(times)


def make_address(number):
    return Address("127.0.0.1", 1000 + number)


def make_server(born=1):
    address = Address("127.0.0.1", 9)
    return BackendServer(
        "s0", "orders", address, "north", 6, ServerState.READY, born=born
    )


async def test_hundreds_of_routers_keep_a_limit_together():
    """Guards against a limit that each of hundreds of routers keeps by itself."""
    for size, limit in ((9, 1.3), (9, 12.0), (330, 1.0), (330, 20.0)):
        async with Fleet(size, limit) as fleet:
            named_at = time.monotonic()
            await fleet.send_load(rate=max(40.0, 4 * limit), duration_s=9.0)
            count = fleet.check(named_at)
            # Most of the limit is used.
            assert count >= 0.7 * limit * 6.0, (size, limit, count)


async def test_the_limit_holds_when_its_coordinators_are_lost_one_by_one():
    """Guards against new coordinators that grant what their predecessors did."""
    async with Fleet(12, 4.0) as fleet:
        named_at = time.monotonic()

        async def lose_coordinators():
            for _ in range(3):
                await curio.sleep(2.5)
                coordinator = fleet.find_coordinator()
                await fleet.lose(coordinator)
                await curio.sleep(1.0)
                for router in fleet.routers:
                    router.view.remove_peer(coordinator.router_id)

        async with curio.TaskGroup() as group:
            await group.spawn(fleet.send_load, 40.0, 12.0)
            await group.spawn(lose_coordinators)
        # New coordinators grant a fifth of the limit; half of it is used at least.
        assert fleet.check(named_at) >= 0.5 * 0.2 * 4.0 * 9.0


async def test_the_limit_holds_while_no_coordinator_can_be_reached():
    """Guards against routers that take silence for permission."""
    async with Fleet(9, 4.0) as fleet:
        named_at = time.monotonic()
        await fleet.send_load(40.0, 2.0)
        fleet.loss = 1.0
        await fleet.send_load(40.0, 9.0)
        fleet.check(named_at)


async def test_a_withdrawn_limit_is_withdrawn_at_all_routers():
    """Guards against a limit that outlasts its statement where nobody sends."""
    async with Fleet(40, 2.0) as fleet:
        await fleet.send_load(40.0, 2.0)
        assert all(router.limits.describe() for router in fleet.routers)
        fleet.limit = None
        await fleet.send_load(40.0, 3.0)
        assert not any(router.limits.describe() for router in fleet.routers)
        # Answers to requests that were sent before do not withdraw a later limit.
        router = fleet.routers[0]
        sent_at = timedelta(seconds=time.monotonic())
        router.limits.observe(fleet.server, 5.0, sent_at)
        router.limits.observe(fleet.server, None, sent_at - SECOND)
        assert router.limits.describe() == {"s0": 5.0}


async def test_a_changed_limit_is_kept():
    """Guards against a coordinator that goes on with an earlier limit."""
    async with Fleet(20, 10.0) as fleet:
        await fleet.send_load(60.0, 3.0)
        fleet.limit = 1.0
        changed_at = time.monotonic()
        await fleet.send_load(60.0, 8.0)
        fleet.check(changed_at)


async def test_a_new_process_has_no_limit():
    """Guards against a limit that outlasts the process that named it."""
    async with Fleet(9, 1.0) as fleet:
        await fleet.send_load(40.0, 2.0)
        fleet.server = make_server(born=2)
        fleet.limit = None
        for router in fleet.routers:
            router.view.apply_server(fleet.server)
        refused_count = fleet.refused_count
        await fleet.send_load(40.0, 2.0)
        assert fleet.refused_count == refused_count


async def test_servers_without_a_limit_cost_no_datagrams():
    """Guards against a cost on days on which no server names a limit."""
    async with Fleet(40, None) as fleet:
        await fleet.send_load(100.0, 3.0)
        assert fleet.sent_count == 0
        assert fleet.refused_count == 0


async def test_a_limit_costs_few_datagrams_in_a_large_fleet():
    """Guards against a coordinator that each refused request asks anew."""
    async with Fleet(330, 1.0) as fleet:
        await fleet.send_load(100.0, 3.0)
        fleet.sent_count = 0
        await fleet.send_load(300.0, 5.0)
        # Requests and their answers, and the limit to each router now and then.
        assert fleet.sent_count <= 5 * 2 * 200 + 330, fleet.sent_count


async def test_invalid_messages_are_ignored():
    """Guards against a message that crashes the daemon or limits a server."""
    async with Fleet(2, None) as fleet:
        router = fleet.routers[0]
        huge = 2**64 - 1
        for limit in (
            messages.NamedLimit("s0", 1, float("nan"), 0, 0),
            messages.NamedLimit("s0", 1, float("inf"), 0, 0),
            messages.NamedLimit("s0", 1, 1.0, huge, 0),
            messages.NamedLimit("s0", 1, 1.0, 0, huge),
            messages.NamedLimit("s0", 0, 1.0, 0, 0),
        ):
            message = messages.NamedLimits((limit,))
            await router.limits._handle_limits("r1", make_address(1), message)
            request = messages.RateRequest(1, 0, limit)
            await router.limits._handle_request("r1", make_address(1), request)
        assert await router.limits.acquire(fleet.server, PRIORITY) is None


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
