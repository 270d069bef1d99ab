"""States of backend servers from late, early and contradictory signals."""

import itertools
import random
import sys
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.configuration import build_config
from hibiscustiller.exceptions import InvariantError
from hibiscustiller.membership import BackendState, BackendTable, LoadReport
from hibiscustiller.platform import HostList, HostState
from hibiscustiller.routing import Route, Stage
from hibiscustiller.settings import Address
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import breaks_invariant, collect_tests

SERVING, LEAVING, GONE = BackendState
SECOND = timedelta(seconds=1)


class Bench:
    def __init__(self):
        self.clock = ManualClock()
        self.sections = {"model m": {"layers": "2"}}
        for name, host in (("s", "10.0.0.1"), ("t", "10.0.0.2")):
            self.sections[f"server {name}"] = {
                "address": f"{host}:80",
                "failure_domain": "d",
                "model": "m",
                "first_layer": "0",
                "last_layer": "2",
            }
        self.config = build_config(self.sections)
        self.table = BackendTable(lambda: self.config, self.clock, random.Random(1))
        self.changes = []
        self.table.subscribe(self.changes.append)

    def set_document(self, state):
        self.sections["server s"]["state"] = state
        self.config = build_config(self.sections)

    def list_hosts(self, first="live", second="live"):
        states = {"10.0.0.1": first, "10.0.0.2": second}
        listed = {host: HostState(s) for host, s in states.items() if s}
        self.table.note_host_list(HostList(listed))

    def report(self, state, age=timedelta(0)):
        at = self.clock.now() - age
        report = LoadReport(at, 0, 0, state, "m", "1", "mixed")
        self.table.note_load_report("s", report)

    def relay(self, state, age=timedelta(0)):
        return self.table.note_relayed_signal("s", state, self.clock.now() - age)

    def start_work(self):
        stage = Stage("s", Address("10.0.0.1", 80), 0, 2)
        self.table.record_start(Route("m", "1", (stage,), SECOND), 1)

    def finish_token(self):
        stage = Stage("s", Address("10.0.0.1", 80), 0, 2)
        self.table.record_token(Route("m", "1", (stage,), SECOND), SECOND, False)

    def is_usable(self):
        return self.table.is_usable("s")

    def is_work_refused(self):
        try:
            self.start_work()
        except InvariantError:
            return True
        return False


def leave_by_host_list(bench):
    bench.list_hosts("leaving")


def leave_by_load_report(bench):
    bench.report(LEAVING)


def leave_by_document(bench):
    bench.set_document("draining")
    bench.table.note_document(bench.config)


def leave_by_relay(bench):
    bench.relay(LEAVING)


SIGNALS = [leave_by_host_list, leave_by_load_report, leave_by_document, leave_by_relay]


def test_any_first_signal_stops_new_work_at_once():
    """Guards against waiting for a slower signal (R5)."""
    for signal in SIGNALS:
        bench = Bench()
        assert bench.is_usable()
        signal(bench)
        assert not bench.is_usable(), signal
        assert bench.table.is_usable("t"), signal


@breaks_invariant("no_new_work_to_leaving_server")
def test_each_order_of_signals_counts_from_the_earliest():
    """Guards against a later signal that starts the limit again (R5)."""
    for order in itertools.permutations(SIGNALS):
        bench = Bench()
        for signal in order:
            signal(bench)
            bench.clock.advance(SECOND * 0.75)
        # Three seconds have passed since the first signal, the last was just now.
        assert not bench.is_work_refused(), order
        bench.clock.advance(timedelta(milliseconds=1))
        assert bench.is_work_refused(), order


def test_lagging_list_does_not_bring_a_server_back():
    """Guards against an old host list or report that hides a departure."""
    bench = Bench()
    bench.report(LEAVING)
    for _ in range(5):
        bench.clock.advance(SECOND)
        bench.list_hosts("live")
        assert not bench.is_usable()
    bench = Bench()
    bench.list_hosts("leaving")
    bench.report(SERVING)
    assert not bench.is_usable()


@breaks_invariant("no_new_work_to_leaving_server")
def test_late_relayed_signal_stops_work_after_a_short_grace():
    """Guards against work that goes on because the news itself was late (R5)."""
    bench = Bench()
    bench.relay(LEAVING, age=timedelta(minutes=5))
    assert not bench.is_usable()
    assert not bench.is_work_refused()
    bench.clock.advance(SECOND * 1.01)
    assert bench.is_work_refused()


def test_vanished_host_is_gone_and_a_new_one_is_not():
    """Guards against work for a host that was removed, or none for a new host."""
    bench = Bench()
    bench.list_hosts("live", None)
    assert bench.is_usable()
    assert bench.table.is_usable("t"), "never listed yet"
    bench.list_hosts(None, "live")
    assert bench.table.get_state("s") is SERVING, "missing once"
    bench.list_hosts(None, "live")
    assert bench.table.get_state("s") is GONE
    bench = Bench()
    bench.list_hosts("leaving")
    bench.list_hosts(None)
    assert bench.table.get_state("s") is GONE, "was leaving"


def test_empty_host_list_is_ignored():
    """Guards against a platform fault that takes all servers away."""
    bench = Bench()
    bench.list_hosts()
    for _ in range(5):
        bench.list_hosts(None, None)
    assert bench.is_usable()


def test_recovered_server_returns_with_jitter():
    """Guards against a server lost for good, and a rush when it returns."""
    for signal, undo in (
        (leave_by_host_list, lambda bench: bench.list_hosts("live")),
        (leave_by_load_report, lambda bench: bench.report(SERVING)),
        (leave_by_document, lambda bench: bench.set_document("serving")),
        (leave_by_relay, lambda bench: bench.relay(SERVING)),
    ):
        bench = Bench()
        signal(bench)
        bench.clock.advance(SECOND * 10)
        undo(bench)
        assert not bench.is_usable(), signal
        bench.clock.advance(SECOND * 2)
        assert bench.is_usable(), signal
        assert not bench.is_work_refused(), signal


def test_relayed_signal_is_refuted_by_a_newer_report_or_outdated():
    """Guards against a relayed departure that nobody takes back."""
    bench = Bench()
    bench.relay(LEAVING)
    bench.report(SERVING)
    assert not bench.is_usable(), "the report lags"
    bench.clock.advance(SECOND * 2)
    bench.report(SERVING)
    bench.clock.advance(SECOND * 2)
    assert bench.is_usable()
    bench.relay(LEAVING)
    bench.clock.advance(SECOND * 61)
    bench.is_usable()
    bench.clock.advance(SECOND * 2)
    assert bench.is_usable()


def test_repeated_failures_block_for_a_growing_time():
    """Guards against streams that keep dying at one broken server."""
    bench = Bench()
    bench.table.record_failure("s")
    assert bench.is_usable(), "one failure may be the request's"
    waits = []
    for _ in range(12):
        bench.table.record_failure("s")
        waited = timedelta(0)
        while not bench.is_usable():
            bench.clock.advance(SECOND / 10)
            waited += SECOND / 10
        waits.append(waited)
    assert all(timedelta(0) < wait <= SECOND * 31 for wait in waits), waits
    assert max(waits[6:]) > max(waits[:2]), waits
    bench.table.record_failure("s")
    bench.finish_token()
    assert bench.is_usable(), "a success clears the failures"
    bench.table.record_failure("s")
    assert bench.is_usable(), "counted from one again"


def test_refusal_blocks_briefly_and_asks_for_the_state():
    """Guards against a refusal that is noticed only at the next poll."""
    bench = Bench()
    asked = []
    bench.table.subscribe_refusals(asked.append)
    bench.table.record_refusal("s")
    assert asked == ["s"]
    assert not bench.is_usable()
    bench.clock.advance(SECOND)
    assert bench.is_usable()


def test_silent_server_is_unusable_until_it_answers():
    """Guards against work for a server whose connections are silent."""
    bench = Bench()
    bench.table.note_poll_missed("s")
    assert bench.is_usable()
    bench.table.note_poll_missed("s")
    assert not bench.is_usable()
    bench.report(SERVING)
    assert bench.is_usable()


def test_unknown_servers_are_unusable_and_not_kept():
    """Guards against memory that grows with messages about unknown servers (R9)."""
    bench = Bench()
    assert not bench.table.is_usable("x")
    assert not bench.table.note_relayed_signal("x", LEAVING, bench.clock.now())
    bench.table.record_failure("x")
    bench.table.record_refusal("x")
    bench.table.note_poll_missed("x")
    assert "x" not in bench.table._backends_by_id
    bench.list_hosts("live", "leaving")
    assert bench.table.list_states() == {"s": SERVING, "t": LEAVING}
    del bench.sections["server t"]
    bench.set_document("serving")
    bench.table.note_document(bench.config)
    assert set(bench.table._backends_by_id) == {"s"}


def test_only_own_signals_are_passed_on():
    """Guards against a relayed signal that is sent again with a newer time."""
    bench = Bench()
    bench.relay(LEAVING)
    bench.set_document("draining")
    bench.is_usable()
    assert bench.changes == []
    bench.report(LEAVING)
    bench.report(LEAVING)
    bench.list_hosts("leaving")
    assert [(c.server, c.state) for c in bench.changes] == [("s", LEAVING)] * 2


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from([SERVING, LEAVING, GONE]), st.integers(0, 3)),
        max_size=6,
    ),
    st.randoms(use_true_random=False),
)
def test_relayed_signals_agree_in_any_order(signals, shuffler):
    """Guards against routers that hear the same signals and disagree."""
    states = []
    for _ in range(2):
        bench = Bench()
        for state, age in signals:
            bench.relay(state, SECOND * age)
        states.append(bench.table.get_state("s"))
        shuffler.shuffle(signals)
    assert states[0] is states[1]


STEPS = st.sampled_from(
    [
        *SIGNALS,
        lambda bench: bench.list_hosts("live"),
        lambda bench: bench.list_hosts(None),
        lambda bench: bench.report(SERVING),
        lambda bench: bench.relay(SERVING),
        lambda bench: bench.relay(GONE, SECOND * 2),
        lambda bench: bench.set_document("serving"),
        lambda bench: bench.table.record_failure("s"),
        lambda bench: bench.finish_token(),
        lambda bench: bench.clock.advance(SECOND * 0.7),
        lambda bench: bench.clock.advance(SECOND * 5),
    ]
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(STEPS, max_size=25))
def test_usable_servers_never_break_the_limit(steps):
    """Guards against a usable server whose leaving limit has passed (R5)."""
    bench = Bench()
    for step in steps:
        step(bench)
        if bench.is_usable():
            assert bench.table.get_state("s") is SERVING
            bench.start_work()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
