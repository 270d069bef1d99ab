"""Randomised test of orders, repeats, races and faults with several routers.

The following command runs the seeds from FIRST (inclusive) to END (exclusive):
``python -m hibiscustiller.orders.tests.test_random_orders FIRST END``.
"""

import json
import random
import sys
from collections import defaultdict
from datetime import timedelta

import curio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from result import Ok

from hibiscustiller.orders import ClaimState, decode_claim, make_claim_key
from hibiscustiller.orders.tests._bench import OrderFixture, count_violations, make_call
from hibiscustiller.utils import Verdict
from hibiscustiller.utils._testing import collect_tests

MILLISECOND = timedelta(milliseconds=1)
ROUTERS = 3
KEYS = ("a", "b", "c")
STORE_FAULTS = (
    {"is_down": True},
    {"delay": 200 * MILLISECOND},
    {"lost_answers": 2},
    {"late_writes": 2, "late_delay": 10 * MILLISECOND},
    {"late_writes": 2, "late_delay": 200 * MILLISECOND},
    {"truncated_answers": 2},
    {"garbage_answers": 1},
    {"wrong_statuses": 2},
)
BOOKING_FAULTS = (
    {"drops_before": True},
    {"drops_after": True},
    {"delay": 30 * MILLISECOND},
    {"delay": 500 * MILLISECOND},
    {"is_leaving": True},
)
NO_STORE_FAULTS = {
    "is_down": False,
    "delay": timedelta(0),
    "lost_answers": 0,
    "late_writes": 0,
    "truncated_answers": 0,
    "garbage_answers": 0,
    "wrong_statuses": 0,
}
NO_BOOKING_FAULTS = {
    "drops_before": False,
    "drops_after": False,
    "delay": timedelta(0),
    "is_leaving": False,
}

STEPS = st.one_of(
    # Concurrent calls; each with its router, its key and whether its caller
    # disconnects.
    st.tuples(
        st.just("calls"),
        st.lists(
            st.tuples(
                st.integers(0, ROUTERS - 1), st.sampled_from(KEYS), st.booleans()
            ),
            min_size=1,
            max_size=4,
        ),
    ),
    st.tuples(st.just("store_faults"), st.sampled_from(STORE_FAULTS)),
    st.tuples(st.just("booking_faults"), st.sampled_from(BOOKING_FAULTS)),
    st.tuples(st.just("clear_faults"), st.none()),
    st.tuples(st.just("pause"), st.sampled_from([6, 3700])),
    st.tuples(st.just("lose_host"), st.integers(0, ROUTERS - 1)),
)


class _Trial:
    """Runs steps and collects the results of all calls by key."""

    def __init__(self, fixture):
        self.fixture = fixture
        self.results_by_key = defaultdict(list)
        self.calls = 0
        self.routers = [fixture.add_router() for _ in range(ROUTERS)]

    async def run(self, steps):
        for kind, value in steps:
            await getattr(self, f"_run_{kind}")(value)
        await self._run_clear_faults(None)
        await curio.sleep(0.25)
        for router in self.fixture.forwarders:
            await curio.timeout_after(30, router.drain())
        # Repeat every order once more after all faults.
        await self._run_calls([(0, key, False) for key in KEYS])

    async def _run_calls(self, calls):
        tasks = []
        for router, key, disconnects in calls:
            task = await curio.spawn(self._send_order, self.routers[router], key)
            tasks.append((task, disconnects))
        for task, disconnects in tasks:
            if disconnects:
                await curio.sleep(0.005)
                await task.cancel()
            else:
                await task.join()

    async def _send_order(self, router, key):
        self.calls += 1
        tag = f"application/json; call={self.calls}"
        call = make_call(key, content_type=tag)
        result = await router.forward(self.fixture.service, call)
        self.results_by_key[key].append((result, tag))

    async def _run_store_faults(self, faults):
        self.fixture.set_store_faults(**faults)

    async def _run_booking_faults(self, faults):
        self.fixture.set_booking_faults(**faults)

    async def _run_clear_faults(self, _):
        self.fixture.set_store_faults(**NO_STORE_FAULTS)
        self.fixture.set_booking_faults(**NO_BOOKING_FAULTS)

    async def _run_pause(self, seconds):
        # The clocks jump while orders of disconnected callers may be in flight.
        self.fixture.clock.offset += timedelta(seconds=seconds)
        self.fixture.store_clock.offset += timedelta(seconds=seconds)

    async def _run_lose_host(self, index):
        lost = self.routers[index]
        for task in list(lost._order_tasks):
            await task.cancel()
        await lost._ledger.cancel()
        self.routers[index] = self.fixture.add_router()

    def check(self):
        booked_tags = {
            tag
            for replica in self.fixture.replicas
            for tag in replica.booked_content_types
        }
        for key in KEYS:
            self._check_key(key)
            self._check_not_run(key, booked_tags)
        assert count_violations() == 0

    def _check_key(self, key):
        booking_count = self.fixture.count_bookings(key)
        assert booking_count <= 1, f"order {key} was booked {booking_count} times"
        results = [result for result, _ in self.results_by_key[key]]
        accepted = [
            result.ok_value
            for result in results
            if isinstance(result, Ok) and result.ok_value.status == 201
        ]
        are_equal = all(response == accepted[0] for response in accepted)
        assert are_equal, f"responses to order {key} differ"
        assert not accepted or booking_count == 1, (
            f"order {key} was answered but not booked"
        )
        self._check_last_result(key, booking_count, results[-1])
        self._check_claim(key, booking_count)

    def _check_not_run(self, key, booked_tags):
        for result, tag in self.results_by_key[key]:
            if (
                not isinstance(result, Ok)
                and result.err_value.verdict is Verdict.NOT_RUN
            ):
                assert tag not in booked_tags, (
                    f"order {key} ran despite the verdict not-run"
                )

    def _check_last_result(self, key, booking_count, last):
        """Check that a booked order is not refused as not-run after all faults."""
        if booking_count and not isinstance(last, Ok):
            assert last.err_value.verdict is Verdict.MAY_HAVE_RUN, (key, last)

    def _check_claim(self, key, booking_count):
        """Check that the claim of a booked order remains and has the right response."""
        value = self.fixture.platform.read_value(make_claim_key("greens", key))
        claim = None if value is None else decode_claim(value)
        if not booking_count:
            return
        assert claim is not None and claim.state is not ClaimState.RELEASED
        if claim.response is not None and claim.response.status == 201:
            assert json.loads(claim.response.body)["quantity"] == 1


async def run_trial(steps):
    async with OrderFixture(seed=len(steps)) as fixture:
        trial = _Trial(fixture)
        await trial.run(steps)
        trial.check()


@settings(
    derandomize=True,
    max_examples=25,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(STEPS, min_size=3, max_size=10))
def test_random_faults_never_book_an_order_twice(steps):
    """Guards against double bookings and false not-run under two faults at once."""
    curio.run(run_trial, steps)


def make_steps(random_state):
    """Return random steps for one seed."""
    steps = []
    for _ in range(random_state.randint(4, 14)):
        kind = random_state.choice(
            [
                "calls",
                "calls",
                "calls",
                "store_faults",
                "booking_faults",
                "clear_faults",
                "pause",
            ]
            + ["lose_host"]
        )
        value = {
            "calls": [
                (
                    random_state.randrange(ROUTERS),
                    random_state.choice(KEYS),
                    random_state.random() < 0.3,
                )
                for _ in range(random_state.randint(1, 4))
            ],
            "store_faults": random_state.choice(STORE_FAULTS),
            "booking_faults": random_state.choice(BOOKING_FAULTS),
            "clear_faults": None,
            "pause": random_state.choice([6, 3700]),
            "lose_host": random_state.randrange(ROUTERS),
        }[kind]
        steps.append((kind, value))
    return steps


def main(first, end):
    """Run the seeds from ``first`` up to but excluding ``end`` and print failures."""
    failed = 0
    for seed in range(first, end):
        steps = make_steps(random.Random(seed))
        try:
            curio.run(run_trial, steps)
        except Exception as error:
            failed += 1
            print(f"seed {seed}: {error!r}; steps {steps}")
    print(f"{end - first} seeds, {failed} failed")


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
