"""A request that ends servers comes to any of hundreds of routers, without network."""

import random
import sys
from collections import Counter
from datetime import timedelta

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.discovery.tests.fixtures import MemoryDatagrams
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._crash_sharing import CrashSharing
from hibiscustiller.settings import Address
from hibiscustiller.utils import Metrics, SystemClock, compute_fingerprint
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
REQUEST = compute_fingerprint(b"greens", b"POST", b"/chat/1", b"body")
# Routers are in touch again this long after they have started.
STABLE_WINDOW_S = 3.0


class CountingDatagrams(MemoryDatagrams):
    """Counts datagrams by their receiver."""

    async def send(self, address, data):
        self.fleet.received[address] += 1
        await super().send(address, data)


class Router:
    """The part of a router that shares crashes."""

    def __init__(self, fleet, number, known):
        self.router_id = f"r{number}"
        self.number = number
        clock = SystemClock()
        self.view = FleetView(clock, 2 * SECOND)
        address = make_address(number)
        self.datagrams = CountingDatagrams(fleet, self.router_id, address)
        self.history = CrashHistory(
            self.router_id, clock, Metrics(), lambda: self.sharing.request_send()
        )
        self.sharing = CrashSharing(
            self.router_id,
            self.datagrams,
            self.view,
            self.history,
            clock,
            random.Random(number),
        )
        for other in known:
            self.view.apply_peer(Peer(f"r{other}", make_address(other), "north"))
        self.tasks = []

    async def start(self):
        for run in (self.sharing.run, self.sharing.query_peers):
            self.tasks.append(await curio.spawn(run, daemon=True))

    async def kill(self):
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            await task.cancel()

    def meet_crash(self, request=REQUEST):
        now = self.history._clock.monotonic()
        self.history.record_crash(request, now - timedelta(milliseconds=1), False)

    @property
    def is_refusing(self):
        return self.history.check(REQUEST) is not None


def make_address(number):
    return Address("127.0.0.1", 1000 + number)


class Fleet:
    """Routers that know each other."""

    def __init__(self, size, loss=0.0):
        self.size = size
        self.loss = loss
        self.sent_bytes = 0
        self.received = Counter()
        self.random_state = random.Random(7)
        self.routers = [Router(self, number, range(size)) for number in range(size)]

    @property
    def members_by_address(self):
        return {router.datagrams.address: router for router in self.routers}

    async def __aenter__(self):
        for router in self.routers:
            await router.start()
        await curio.sleep(0.05)
        self.received.clear()
        self.sent_bytes = 0
        return self

    async def __aexit__(self, *args):
        for router in self.routers:
            await router.kill()

    async def restart(self, number, known):
        """Start a router anew; the others know of it, and it knows some of them."""
        await self.routers[number].kill()
        self.routers[number] = Router(self, number, known)
        await self.routers[number].start()

    async def crash_at(self, routers):
        """Let an attempt of the request meet a crash at each router, in turn."""
        for router in routers:
            router.meet_crash()
            await curio.sleep(0.45)

    async def wait_for_refusals(self, limit_s=STABLE_WINDOW_S):
        async with curio.timeout_after(limit_s):
            while not all(router.is_refusing for router in self.routers):
                await curio.sleep(0.01)


async def test_three_crashes_at_three_routers_are_known_everywhere():
    """Guards against a request that begins anew at each router of a fleet."""
    async with Fleet(40) as fleet:
        await fleet.crash_at(fleet.routers[3:6])
        await fleet.wait_for_refusals(limit_s=0.3)


async def test_crashes_are_known_everywhere_though_datagrams_are_lost():
    """Guards against a lost datagram that brings the request back at some routers."""
    async with Fleet(12, loss=0.3) as fleet:
        await fleet.crash_at(fleet.routers[3:7])
        await fleet.wait_for_refusals()


async def test_a_restarted_router_knows_a_refused_request():
    """Guards against a restart that lets a request reach servers again."""
    async with Fleet(12) as fleet:
        await fleet.crash_at(fleet.routers[:3])
        await fleet.wait_for_refusals()
        for number in (0, 1, 2):
            await fleet.restart(number, range(12))
        await fleet.wait_for_refusals(limit_s=1.0)


async def test_a_router_that_started_while_the_store_is_away_asks_those_it_knows():
    """Guards against a new router that no list names, which nobody tells anything."""
    async with Fleet(6) as fleet:
        await fleet.crash_at(fleet.routers[:3])
        await fleet.wait_for_refusals()
        for router in fleet.routers:
            router.view.remove_peer("r5")
        await fleet.restart(5, range(3))
        await fleet.wait_for_refusals(limit_s=1.0)


async def test_an_answer_anywhere_clears_a_request_everywhere():
    """Guards against a refusal that outlives the proof that the request can run."""
    async with Fleet(12) as fleet:
        await fleet.crash_at(fleet.routers[:3])
        await fleet.wait_for_refusals()
        fleet.routers[9].history.record_answer(REQUEST)
        async with curio.timeout_after(0.5):
            while any(router.is_refusing for router in fleet.routers):
                await curio.sleep(0.01)
        # Records that are told again do not bring the refusal back.
        await curio.sleep(1.2)
        assert not any(router.is_refusing for router in fleet.routers)


async def test_a_failure_of_servers_costs_few_datagrams_in_a_large_fleet():
    """Guards against a datagram between any two routers for one failed server."""
    async with Fleet(330) as fleet:
        # Routers ask each other soon after their start only.
        await curio.sleep(1.5)
        fleet.received.clear()
        fleet.sent_bytes = 0
        for number in range(96):
            request = compute_fingerprint(str(number).encode())
            fleet.routers[number * 3].meet_crash(request)
        await curio.sleep(0.5)
        assert 96 <= sum(fleet.received.values()) <= 3 * 96
        # The platform's bound on control is 7 KB a second for each router.
        assert fleet.sent_bytes <= 7000 * 330


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
