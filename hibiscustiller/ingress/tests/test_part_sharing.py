"""Exchange of the crash records of prompt parts between hundreds of routers.

The five crashes under one part may be seen by five of hundreds of routers.
"""

import sys

import curio

from hibiscustiller.ingress._crash_messages import PART_CODEC
from hibiscustiller.ingress._part_history import PartHistory, compute_crash_id
from hibiscustiller.ingress.tests.test_crash_sharing import Fleet, Router
from hibiscustiller.utils import Metrics
from hibiscustiller.utils._testing import collect_tests

FIRST, BAD = "f1", "bad"
RUN_S = 0.02


class PartRouter(Router):
    """The part of a router that shares the crash records of prompt parts."""

    codec = PART_CODEC

    def make_history(self, clock):
        return PartHistory(
            clock,
            Metrics(),
            is_chosen=self.is_chosen,
            on_update=lambda: self.sharing.request_send(),
        )

    def is_chosen(self, key):
        return self.view.choose_routers(key, 1, self.router_id) == [self.router_id]

    def record_crash(self, parts, number):
        """Record that a server crashed before an answer to a request began."""
        now = self.history._clock.monotonic()
        crash_id = compute_crash_id(f"server-{number}", 1)
        self.history.record_crash(parts, [crash_id], now)

    def record_begin(self, *parts):
        """Record that the answer to a request that was just sent has begun."""
        self.history.record_begin(parts, self.history._clock.monotonic())

    @property
    def is_refusing(self):
        return self.history.check([FIRST, BAD]) is not None


class PartFleet(Fleet):
    """Routers that share the crash records of prompt parts."""

    router_type = PartRouter

    async def record_crashes_at(self, routers, *parts):
        """Record a crash under the parts at each router, one after the other."""
        for number, router in enumerate(routers):
            router.record_crash(parts, number)
            await curio.sleep(RUN_S)


async def test_crashes_at_few_of_hundreds_of_routers_quarantine_a_part_at_all():
    """Guards against a count of crashes under a part that each router begins anew."""
    async with PartFleet(330) as fleet:
        await fleet.record_crashes_at(fleet.routers[3:330:80], FIRST, BAD)
        await fleet.wait_for_quarantine()
        refusing = sum(r.history.check([FIRST]) is not None for r in fleet.routers)
        assert refusing == 0, refusing


async def test_part_records_reach_all_routers_despite_datagram_loss():
    """Guards against a lost datagram after which some routers accept a bad part."""
    async with PartFleet(12, loss=0.3) as fleet:
        await fleet.record_crashes_at(fleet.routers[3:8], FIRST, BAD)
        await fleet.wait_for_quarantine()


async def test_a_restarted_router_learns_of_a_quarantined_part():
    """Guards against a restart after which requests with a bad part are sent."""
    async with PartFleet(12) as fleet:
        await fleet.record_crashes_at(fleet.routers[:4], FIRST, BAD)
        await fleet.wait_for_quarantine()
        for number in range(4):
            await fleet.restart(number, range(12))
        await fleet.wait_for_quarantine(limit_s=1.0)


async def test_an_answer_at_one_router_clears_a_part_at_all():
    """Guards against a quarantine that outlasts an answer with the part."""
    async with PartFleet(12) as fleet:
        await fleet.record_crashes_at(fleet.routers[:4], FIRST, BAD)
        await fleet.wait_for_quarantine()
        fleet.routers[9].record_begin(FIRST, BAD)
        async with curio.timeout_after(0.5):
            while any(router.is_refusing for router in fleet.routers):
                await curio.sleep(0.01)
        # Records that are sent again do not restore the quarantine.
        await curio.sleep(1.2)
        assert not any(router.is_refusing for router in fleet.routers)


async def test_a_first_part_in_every_crash_is_not_refused():
    """Guards against refusal of all requests with a first part that is sound.

    Each router that saw a crash also sees the next answer with the first part.
    """
    async with PartFleet(40) as fleet:
        for number in range(12):
            router = fleet.routers[number * 3]
            router.record_crash([FIRST, f"{number:x}"], number)
            await curio.sleep(RUN_S)
            router.record_begin(FIRST)
        await curio.sleep(0.2)
        assert not any(r.history.check([FIRST]) is not None for r in fleet.routers)


async def test_server_failures_and_answers_cost_few_datagrams():
    """Guards against datagrams for parts that nobody suspects."""
    async with PartFleet(330) as fleet:
        # Routers query each other only during the first rounds after their start.
        await curio.sleep(1.5)
        fleet.received.clear()
        fleet.sent_bytes = 0
        for router in fleet.routers:
            router.record_begin(FIRST, "07")
        await curio.sleep(0.2)
        assert sum(fleet.received.values()) == 0
        # One failed server, with requests of 96 subjects from as many routers.
        for number in range(96):
            fleet.routers[number * 3].record_crash([FIRST, f"{number:x}"], 1)
        await curio.sleep(0.5)
        assert sum(fleet.received.values()) <= 2 * 3 * 96
        # The platform limits control traffic to 7 KB a second for each router.
        assert fleet.sent_bytes <= 7000 * 330


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
