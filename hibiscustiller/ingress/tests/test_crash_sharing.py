"""Exchange of crash records between hundreds of routers, without a network.

Callers may send each attempt of a request that crashes servers to another router.
"""

import random
import sys
from collections import Counter
from datetime import timedelta

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.discovery.tests.fixtures import MemoryDatagrams
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._crash_messages import REQUEST_CODEC
from hibiscustiller.ingress._crash_sharing import CrashSharing
from hibiscustiller.settings import Address
from hibiscustiller.utils import Metrics, SystemClock, compute_fingerprint
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
FINGERPRINT = compute_fingerprint(b"greens", b"POST", b"/chat/1", b"body")
# Time within which all routers have a record, also after lost datagrams or a restart.
CONVERGENCE_LIMIT_S = 3.0


class CountingDatagrams(MemoryDatagrams):
    """Counts datagrams by the address of their receiver."""

    async def send(self, address, data):
        self.fleet.received[address] += 1
        await super().send(address, data)


class Router:
    """The part of a router that shares crash records.

    :param known_numbers: numbers of the routers that it knows when it starts.
    """

    codec = REQUEST_CODEC

    def __init__(self, fleet, number, known_numbers):
        self.router_id = f"r{number}"
        self.number = number
        clock = SystemClock()
        self.view = FleetView(clock, 2 * SECOND)
        address = make_address(number)
        self.datagrams = CountingDatagrams(fleet, self.router_id, address)
        self.history = self.make_history(clock)
        self.sharing = CrashSharing(
            self.router_id,
            self.datagrams,
            self.view,
            self.history.records,
            self.history.merge,
            self.codec,
            clock,
            random.Random(number),
        )
        for other in known_numbers:
            self.view.apply_peer(Peer(f"r{other}", make_address(other), "north"))
        self.tasks = []

    def make_history(self, clock):
        return CrashHistory(
            self.router_id, clock, Metrics(), lambda: self.sharing.request_send()
        )

    async def start(self):
        for run in (self.sharing.run, self.sharing.query_peers):
            self.tasks.append(await curio.spawn(run, daemon=True))

    async def kill(self):
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            await task.cancel()

    def record_crash(self, fingerprint=FINGERPRINT):
        now = self.history._clock.monotonic()
        self.history.record_crash(fingerprint, now - timedelta(milliseconds=1), False)

    @property
    def is_refusing(self):
        return self.history.check(FINGERPRINT) is not None


def make_address(number):
    return Address("127.0.0.1", 1000 + number)


class Fleet:
    """Routers that know each other.

    :param loss: share of datagrams that are lost.
    """

    router_type = Router

    def __init__(self, size, loss=0.0):
        self.size = size
        self.loss = loss
        self.sent_bytes = 0
        self.received = Counter()
        self.random_state = random.Random(7)
        self.routers = [
            self.router_type(self, number, range(size)) for number in range(size)
        ]

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

    async def restart(self, number, known_numbers):
        """Replace a router by a new process that the others know.

        :param known_numbers: numbers of the routers that the new process knows.
        """
        await self.routers[number].kill()
        self.routers[number] = self.router_type(self, number, known_numbers)
        await self.routers[number].start()

    async def record_crashes_at(self, routers):
        """Record a crash under the request at each router, one after the other."""
        for router in routers:
            router.record_crash()
            await curio.sleep(0.45)

    async def wait_for_quarantine(self, limit_s=CONVERGENCE_LIMIT_S):
        async with curio.timeout_after(limit_s):
            while not all(router.is_refusing for router in self.routers):
                await curio.sleep(0.01)


async def test_crashes_at_three_routers_quarantine_a_request_at_all():
    """Guards against a crash count that starts from zero at each router."""
    async with Fleet(40) as fleet:
        await fleet.record_crashes_at(fleet.routers[3:6])
        await fleet.wait_for_quarantine(limit_s=0.3)


async def test_crash_records_reach_all_routers_despite_datagram_loss():
    """Guards against a lost datagram after which some routers accept the request."""
    async with Fleet(12, loss=0.3) as fleet:
        await fleet.record_crashes_at(fleet.routers[3:7])
        await fleet.wait_for_quarantine()


async def test_a_restarted_router_learns_of_a_quarantined_request():
    """Guards against a restart after which a quarantined request reaches servers."""
    async with Fleet(12) as fleet:
        await fleet.record_crashes_at(fleet.routers[:3])
        await fleet.wait_for_quarantine()
        for number in (0, 1, 2):
            await fleet.restart(number, range(12))
        await fleet.wait_for_quarantine(limit_s=1.0)


async def test_crashes_count_when_their_aggregators_restart_in_between():
    """Guards against a count that is lost with the aggregators of its record.

    A record with one crash is known to them and to the router that observed it.
    """
    async with Fleet(12) as fleet:
        aggregator_ids = fleet.routers[0].view.choose_routers(FINGERPRINT, 3, "r0")
        others = [r for r in fleet.routers if r.router_id not in aggregator_ids]
        for number in range(3):
            others[number].record_crash()
            await curio.sleep(0.1)
            for router_id in aggregator_ids:
                await fleet.restart(int(router_id[1:]), range(12))
            await curio.sleep(0.5)
        await fleet.wait_for_quarantine()


async def test_crashes_count_when_their_aggregators_are_lost():
    """Guards against a count that is lost with the aggregators of its record."""
    async with Fleet(12) as fleet:
        aggregator_ids = fleet.routers[0].view.choose_routers(FINGERPRINT, 3, "r0")
        others = [r for r in fleet.routers if r.router_id not in aggregator_ids]
        others[0].record_crash()
        await curio.sleep(0.1)
        for router in fleet.routers:
            if router.router_id in aggregator_ids:
                await router.kill()
            else:
                for router_id in aggregator_ids:
                    router.view.remove_peer(router_id)
        fleet.routers = others
        await curio.sleep(0.4)
        await fleet.record_crashes_at(others[1:3])
        await fleet.wait_for_quarantine()


async def test_a_router_started_during_a_store_outage_queries_known_peers():
    """Guards against a new router that receives no crash records.

    The store is away, so the other routers do not know the new one and send it nothing.
    """
    async with Fleet(6) as fleet:
        await fleet.record_crashes_at(fleet.routers[:3])
        await fleet.wait_for_quarantine()
        for router in fleet.routers:
            router.view.remove_peer("r5")
        await fleet.restart(5, range(3))
        await fleet.wait_for_quarantine(limit_s=1.0)


async def test_an_answer_at_one_router_clears_a_request_at_all():
    """Guards against a quarantine that outlasts an answer to the request."""
    async with Fleet(12) as fleet:
        await fleet.record_crashes_at(fleet.routers[:3])
        await fleet.wait_for_quarantine()
        fleet.routers[9].history.record_answer(FINGERPRINT)
        async with curio.timeout_after(0.5):
            while any(router.is_refusing for router in fleet.routers):
                await curio.sleep(0.01)
        # Records that are sent again do not restore the quarantine.
        await curio.sleep(1.2)
        assert not any(router.is_refusing for router in fleet.routers)


async def test_server_failures_cost_few_datagrams_in_a_large_fleet():
    """Guards against a datagram between any two routers for each failed server."""
    async with Fleet(330) as fleet:
        # Routers query each other only during the first rounds after their start.
        await curio.sleep(1.5)
        fleet.received.clear()
        fleet.sent_bytes = 0
        for number in range(96):
            fingerprint = compute_fingerprint(str(number).encode())
            fleet.routers[number * 3].record_crash(fingerprint)
        await curio.sleep(0.5)
        assert 96 <= sum(fleet.received.values()) <= 3 * 96
        # The platform limits control traffic to 7 KB a second for each router.
        assert fleet.sent_bytes <= 7000 * 330
        # Each repetition to the aggregators costs no more than the first time.
        await curio.sleep(3.0)
        assert sum(fleet.received.values()) <= 3 * 3 * 96


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
