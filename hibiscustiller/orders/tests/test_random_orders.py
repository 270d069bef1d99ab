"""Random orders, repeats, races and faults over several routers.

A longer sweep over the seeds from FIRST up to, but without, END:
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
from hibiscustiller.orders.tests._bench import Bench, count_violations, make_call
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
CALM_STORE = {
    "is_down": False,
    "delay": timedelta(0),
    "lost_answers": 0,
    "late_writes": 0,
    "truncated_answers": 0,
    "garbage_answers": 0,
    "wrong_statuses": 0,
}
CALM_BOOKING = {
    "drops_before": False,
    "drops_after": False,
    "delay": timedelta(0),
    "is_leaving": False,
}

STEPS = st.one_of(
    # Calls that start together: router and key of each, and who hangs up early.
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
    st.tuples(st.just("store"), st.sampled_from(STORE_FAULTS)),
    st.tuples(st.just("booking"), st.sampled_from(BOOKING_FAULTS)),
    st.tuples(st.just("calm"), st.none()),
    st.tuples(st.just("pause"), st.sampled_from([6, 3700])),
    st.tuples(st.just("lose_host"), st.integers(0, ROUTERS - 1)),
)


class _Trial:
    """Runs steps and collects every answer by key."""

    def __init__(self, bench):
        self.bench = bench
        self.answers_by_key = defaultdict(list)
        self.calls = 0
        self.routers = [bench.add_router() for _ in range(ROUTERS)]

    async def run(self, steps):
        for kind, value in steps:
            await getattr(self, f"_do_{kind}")(value)
        await self._do_calm(None)
        await curio.sleep(0.25)
        for router in self.bench.forwarders:
            await curio.timeout_after(30, router.drain())
        # The fate of every order is asked once more after all faults.
        await self._do_calls([(0, key, False) for key in KEYS])

    async def _do_calls(self, calls):
        tasks = []
        for router, key, hangs_up in calls:
            task = await curio.spawn(self._order, self.routers[router], key)
            tasks.append((task, hangs_up))
        for task, hangs_up in tasks:
            if hangs_up:
                await curio.sleep(0.005)
                await task.cancel()
            else:
                await task.join()

    async def _order(self, router, key):
        self.calls += 1
        tag = f"application/json; call={self.calls}"
        call = make_call(key, content_type=tag)
        sent = await router.forward(self.bench.service, call)
        self.answers_by_key[key].append((sent, tag))

    async def _do_store(self, faults):
        self.bench.set_store_faults(**faults)

    async def _do_booking(self, faults):
        self.bench.set_booking_faults(**faults)

    async def _do_calm(self, _):
        self.bench.set_store_faults(**CALM_STORE)
        self.bench.set_booking_faults(**CALM_BOOKING)

    async def _do_pause(self, seconds):
        # The routers' clocks jump while calls of hung-up callers are in flight.
        self.bench.clock.shift += timedelta(seconds=seconds)
        self.bench.store_clock.shift += timedelta(seconds=seconds)

    async def _do_lose_host(self, index):
        lost = self.routers[index]
        for task in list(lost._order_tasks):
            await task.cancel()
        await lost._ledger.cancel()
        self.routers[index] = self.bench.add_router()

    def check(self):
        booked_tags = {
            tag
            for booking in self.bench.bookings
            for tag in booking.booked_content_types
        }
        for key in KEYS:
            self._check_key(key)
            self._check_not_run(key, booked_tags)
        assert count_violations() == 0

    def _check_key(self, key):
        booked = self.bench.count_booked(key)
        assert booked <= 1, f"order {key} was booked {booked} times"
        answers = [sent for sent, _ in self.answers_by_key[key]]
        accepted = [
            sent.ok_value
            for sent in answers
            if isinstance(sent, Ok) and sent.ok_value.status == 201
        ]
        same = all(outcome == accepted[0] for outcome in accepted)
        assert same, f"answers of order {key} differ"
        assert not accepted or booked == 1, f"order {key} was answered, not booked"
        self._check_last_answer(key, booked, answers[-1])
        self._check_claim(key, booked)

    def _check_not_run(self, key, booked_tags):
        for sent, tag in self.answers_by_key[key]:
            if not isinstance(sent, Ok) and sent.err_value.verdict is Verdict.NOT_RUN:
                assert tag not in booked_tags, f"order {key} ran in spite of not-run"

    def _check_last_answer(self, key, booked, last):
        """After all faults a booked order is never refused as not-run."""
        if booked and not isinstance(last, Ok):
            assert last.err_value.verdict is Verdict.MAY_HAVE_RUN, (key, last)

    def _check_claim(self, key, booked):
        """A booked order's claim stays; a stored outcome is the service's own."""
        value = self.bench.platform.read_value(make_claim_key("greens", key))
        claim = None if value is None else decode_claim(value)
        if not booked:
            return
        assert claim is not None and claim.state is not ClaimState.RELEASED
        if claim.response is not None and claim.response.status == 201:
            assert json.loads(claim.response.body)["quantity"] == 1


async def run_trial(steps):
    async with Bench(seed=len(steps)) as bench:
        trial = _Trial(bench)
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
    """Return random steps for the sweep."""
    steps = []
    for _ in range(random_state.randint(4, 14)):
        kind = random_state.choice(
            ["calls", "calls", "calls", "store", "booking", "calm", "pause"]
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
            "store": random_state.choice(STORE_FAULTS),
            "booking": random_state.choice(BOOKING_FAULTS),
            "calm": None,
            "pause": random_state.choice([6, 3700]),
            "lose_host": random_state.randrange(ROUTERS),
        }[kind]
        steps.append((kind, value))
    return steps


def main(first, end):
    """Run the sweep over seeds and print what failed."""
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
