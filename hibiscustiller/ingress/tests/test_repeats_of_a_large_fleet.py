"""A loss of engines at a few of many routers: who may send a request again.

The budget is one for the whole fleet. In equal shares it is three repeats for each of
195 routers in ten seconds, while a loss takes a dozen streams of a few of them.
"""

import random
import sys
import time
from dataclasses import dataclass, field, replace
from datetime import timedelta

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.discovery.tests.fixtures import MemoryDatagrams
from hibiscustiller.ingress._budget import (
    CoordinatorBudget,
    LocalRetryBudget,
    RetryBudgets,
)
from hibiscustiller.ingress.tests.fixtures import make_settings
from hibiscustiller.settings import Address
from hibiscustiller.utils import ManualClock, Metrics, SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._messages_generated import RepeatRequest

SECOND = timedelta(seconds=1)
WINDOW = 10 * SECOND
SLACK = 574.0
ROUTERS = 195


class Member:
    """One router's part in the budget."""

    def __init__(self, fleet, number):
        self.router_id = f"r{number}"
        clock = SystemClock()
        self.view = FleetView(clock, 2 * SECOND)
        settings = replace(
            make_settings(Address("127.0.0.1", 9), self.router_id), retry_slack=SLACK
        )
        address = Address("127.0.0.1", 1000 + number)
        self.datagrams = MemoryDatagrams(fleet, self.router_id, address)
        self.heard = fleet.size - 1
        self.budgets = RetryBudgets(
            settings,
            self.view,
            self.datagrams,
            lambda: self.heard,
            clock,
            random.Random(number),
            Metrics(),
        )
        # Datagrams reach routers whose process runs.
        self.tasks = [True]


@dataclass
class Fleet:
    """Routers that share one budget."""

    size: int = ROUTERS
    loss: float = 0.0
    sent_bytes: int = 0
    random_state: random.Random = field(default_factory=lambda: random.Random(3))

    def __post_init__(self):
        self.members = [Member(self, number) for number in range(self.size)]
        self.members_by_address = {m.datagrams.address: m for m in self.members}
        for member in self.members:
            for other in self.members:
                address = other.datagrams.address
                member.view.apply_peer(Peer(other.router_id, address, "north"))

    @property
    def keeper(self):
        router_id = self.members[0].view.rank_by_capacity("repeats")[0]
        return next(m for m in self.members if m.router_id == router_id)

    def settle(self):
        """Let the keeper have had its part for longer than the window."""
        for member in self.members:
            member.budgets.update_role()
        self.keeper.budgets._coordinator_since -= WINDOW


async def repeat_at(member, count):
    return sum([await member.budgets.try_spend("engines") for _ in range(count)])


async def repeat(members, count):
    """Try some repeats at each router at once; return how many were allowed."""
    tasks = [await curio.spawn(repeat_at, member, count) for member in members]
    return sum([await task.join() for task in tasks])


async def test_a_loss_at_few_routers_may_use_the_budget_of_all():
    """Guards against streams that end though hardly any repeat has been used."""
    fleet = Fleet()
    fleet.settle()
    hit = [member for member in fleet.members if member is not fleet.keeper][:20]
    assert await repeat(hit, 15) == 20 * 15


async def test_all_routers_together_stay_within_the_budget():
    """Guards against a storm of repeats when many requests fail at once."""
    fleet = Fleet()
    fleet.settle()
    allowed = await repeat(fleet.members, 5)
    assert 0.6 * SLACK <= allowed <= 0.8 * SLACK


async def test_late_grants_are_used_by_later_repeats():
    """Guards against grants that are counted but lost while routers are stalled."""
    fleet = Fleet()
    fleet.settle()

    async def stall():
        await curio.sleep(0.02)
        time.sleep(0.1)

    stalled = await curio.spawn(stall)
    allowed = await repeat(fleet.members, 5)
    await stalled.join()
    assert 0.6 * SLACK <= allowed <= 0.8 * SLACK


async def test_slow_answers_of_a_keeper_lose_no_grants():
    """Guards against a keeper that answers late and whose grants nobody uses."""
    fleet = Fleet()
    fleet.settle()
    keeper = fleet.keeper.datagrams
    handler = keeper.handlers_by_type[RepeatRequest]

    async def answer_late(*arguments):
        await curio.sleep(0.1)
        await handler(*arguments)

    keeper.handlers_by_type[RepeatRequest] = answer_late
    allowed = await repeat(fleet.members, 5)
    assert 0.6 * SLACK <= allowed <= 0.8 * SLACK


def test_late_grants_are_kept_for_a_second():
    """Guards against grants that are used when the keeper no longer counts them."""
    clock = ManualClock()
    budget = LocalRetryBudget(0.2, 0.0, WINDOW, clock)
    for _ in range(3):
        budget.record_late_grant()
    assert sum(budget.try_spend(4) for _ in range(2)) == 2
    clock.advance(1.1 * SECOND)
    assert not budget.try_spend(4)


def test_late_grants_do_not_add_to_those_of_the_next_window():
    """Guards against grants used when the keeper has just ceased to count them."""
    clock = ManualClock()
    kept = CoordinatorBudget(SLACK, WINDOW, clock)
    share = LocalRetryBudget(0.0, 0.0, WINDOW, clock)
    sent_at = []
    while kept.try_spend(1.0, WINDOW):
        share.record_late_grant()
    clock.advance(0.99 * SECOND)
    while share.try_spend(1):
        sent_at.append(clock.monotonic())
    while clock.monotonic() < 2 * WINDOW:
        clock.advance(SECOND / 20)
        while kept.try_spend(1.0, WINDOW):
            sent_at.append(clock.monotonic())
    most = max(sum(at <= t < at + WINDOW for t in sent_at) for at in sent_at)
    assert 0 < most <= SLACK


async def test_another_keeper_gives_out_little_at_first():
    """Guards against a budget that is used up twice when its keeper is killed."""
    fleet = Fleet()
    fleet.settle()
    hit = fleet.members[:60]
    before = await repeat(hit, 20)
    fleet.keeper.tasks = []
    after = await repeat([member for member in hit if member.tasks], 10)
    assert 0 < after
    assert before + after <= SLACK


async def test_keepers_killed_one_after_the_other_stay_within_the_budget():
    """Guards against a budget of which each of several new keepers gives a part."""
    fleet = Fleet(size=60)
    fleet.settle()
    allowed, restarted = 0, None
    for _ in range(4):
        live = [member for member in fleet.members if member.tasks]
        allowed += await repeat(live, 12)
        dead = fleet.keeper
        dead.tasks = []
        if restarted is None:
            # The first keeper comes back without what it knew.
            restarted = Member(fleet, fleet.members.index(dead))
            for member in live:
                restarted.view.apply_peer(member.view.peers_by_id[member.router_id])
            fleet.members[fleet.members.index(dead)] = restarted
            fleet.members_by_address[restarted.datagrams.address] = restarted
        else:
            for member in fleet.members:
                member.view.remove_peer(dead.router_id)
        for member in fleet.members:
            member.budgets.update_role()
    assert 0 < allowed <= SLACK, allowed


async def test_both_sides_of_a_split_stay_within_the_budget():
    """Guards against two keepers that each give out the whole budget."""
    size, clock = 30, ManualClock()
    allowed = 0
    for heard in (20, 10):
        kept = CoordinatorBudget(SLACK, WINDOW, clock)
        share = heard / size
        allowed += sum(kept.try_spend(share, WINDOW) for _ in range(600))
    assert allowed <= 0.8 * SLACK


def test_a_share_grows_with_requests_and_slides():
    """Guards against repeats that outlive the requests that allow them."""
    clock = ManualClock()
    budget = LocalRetryBudget(0.2, 20.0, WINDOW, clock)
    for _ in range(50):
        budget.record_request()
    # Four fifths of the share of the requests, and a part of the slack.
    assert sum(budget.try_spend(4) for _ in range(100)) == 8
    clock.advance(11 * SECOND)
    assert sum(budget.try_spend(4) for _ in range(100)) == 0
    assert sum(budget.try_spend(1) for _ in range(100)) == 3


async def test_lost_datagrams_cost_a_second_question():
    """Guards against a stream that ends with a lost datagram."""
    fleet = Fleet(size=30, loss=0.1)
    fleet.settle()
    hit = [member for member in fleet.members if member is not fleet.keeper][:10]
    began_at = await curio.clock()
    assert await repeat(hit, 10) >= 90
    assert await curio.clock() - began_at < 10


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
