"""Randomised runs of three routers, one for each fault and two at once."""

import sys

from hibiscustiller.serving.tests.scenario import Scenario
from hibiscustiller.utils._testing import collect_tests

ALL_FAULTS = tuple(Scenario(0, ()).list_faults())
REQUESTS = 40


async def run_scenario(seed, fault_names):
    scenario = Scenario(seed, fault_names)
    outcomes = await scenario.run(REQUESTS, fault_rounds=3)
    assert not outcomes.problems, (seed, fault_names, outcomes)
    assert outcomes.answers_by_kind["completed"] > 0, outcomes
    assert outcomes.answers_by_kind["booked"] > 0, outcomes


async def test_promises_hold_under_each_fault():
    """Guards against wrong answers, second bookings and false verdicts."""
    for seed, name in enumerate(ALL_FAULTS):
        await run_scenario(seed, (name,))


async def test_promises_hold_under_two_faults_at_once():
    """Guards against promises that hold only for one fault at a time."""
    for seed in range(100, 104):
        await run_scenario(seed, ALL_FAULTS)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
