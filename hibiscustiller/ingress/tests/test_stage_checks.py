"""When the stages of a paused stream are checked, without a network."""

import sys
from datetime import timedelta
from types import SimpleNamespace

import curio

from hibiscustiller.ingress._open_attempts import OpenAttempts
from hibiscustiller.ingress._stage_checks import StageChecks
from hibiscustiller.ingress.tests.fixtures import World
from hibiscustiller.ingress.tests.test_open_attempts import FakeAttempt
from hibiscustiller.layers.tests.fixtures import MS, LayerRange, make_engine
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

# The period in which a paused stream looks up what is due.
POLL = 40 * MS
# What is left of 0.5 s for two attempts to connect of 110 ms each.
MAX_TIME_TO_CHECK = 280 * MS
SERVERS = [
    make_engine(f"e{n}", "large", layers=LayerRange(n, n + 1)) for n in range(11)
]


class Bench:
    """One stream that is paused at a pipeline of 11 engines, beside another one."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=9))
        self.open_attempts = OpenAttempts(self.clock)
        self.answered_at_by_id = {}
        health = SimpleNamespace(record_answered=self.record_answered)
        services = SimpleNamespace(health=health, open_attempts=self.open_attempts)
        self.checks = StageChecks(services, self.clock, SERVERS)

    def record_answered(self, server, answered_at):
        self.answered_at_by_id[server.id] = answered_at

    def add_other(self, *server_ids):
        other = FakeAttempt(server_ids, self.clock.monotonic())
        self.open_attempts.add(other)
        return other

    def poll(self, duration, answering=None):
        """Return the ids of the checked stages by the time of the check."""
        started_at = self.clock.monotonic()
        due_by_time = {}
        while self.clock.monotonic() - started_at < duration:
            self.clock.advance(POLL)
            if answering is not None:
                answering.answer(self.clock)
            due = {server.id for server in self.checks.list_due()}
            if due:
                due_by_time[self.clock.monotonic() - started_at] = due
        return due_by_time


def test_all_stages_of_a_silent_pipeline_are_checked_in_each_period():
    """Guards against a lost stage that is found after more than 0.5 s."""
    due_by_time = Bench().poll(1000 * MS)
    assert list(due_by_time) == [240 * MS, 480 * MS, 720 * MS, 960 * MS]
    assert all(len(due) == len(SERVERS) for due in due_by_time.values())


def test_engines_that_answer_another_stream_are_not_checked():
    """Guards against a connection to each stage for each new request of a prompt."""
    bench = Bench()
    other = bench.add_other(*(server.id for server in SERVERS))
    assert bench.poll(1000 * MS, other) == {}
    # The crash history reads when a process was known to run.
    assert bench.answered_at_by_id.keys() == {server.id for server in SERVERS}


def test_a_stage_that_answers_no_more_is_checked_in_time():
    """Guards against a loss that an earlier event of another stream hides."""
    for time_ms in range(200, 600, 40):
        bench = Bench()
        other = bench.add_other(*(server.id for server in SERVERS))
        bench.poll(time_ms * MS, other)
        due_by_time = bench.poll(400 * MS)
        assert min(due_by_time) <= MAX_TIME_TO_CHECK, (time_ms, due_by_time)
        assert len(next(iter(due_by_time.values()))) == len(SERVERS)


def test_only_the_stages_of_the_other_pipeline_are_known_to_run():
    """Guards against a lost stage beside engines that answer in another pipeline."""
    bench = Bench()
    other = bench.add_other("e0", "e1")
    due_by_time = bench.poll(300 * MS, other)
    assert due_by_time == {240 * MS: {server.id for server in SERVERS[2:]}}


async def test_a_stream_that_begins_beside_others_opens_no_connections_to_stages():
    """Guards against new connections to engines in proportion to the requests."""
    async with World(("e0", "e1"), ("north", "north"), "small") as world:
        await world.wait_for_pipelines(1)
        first = next(e for e in world.engines if e.layers[0] == 0)
        first._event_count, first._event_period_s = 40, 0.05
        checked, health = [], world.gateway._health
        connect = health._connect

        async def count_connect(server):
            checked.append(server.id)
            await connect(server)

        health._connect = count_connect
        beside = await curio.spawn(world.request, "/chat/1")
        await curio.sleep(0.2)
        first.faults.begins_after_s = 0.9
        assert (await world.request("/chat/2")).status == 200
        assert not beside.cancelled
        checked_beside, checked[:] = list(checked), []
        await beside.join()
        assert (await world.request("/chat/3")).status == 200
    assert checked_beside == []
    # Alone, the stages are checked in the pause before the first event.
    assert set(checked) == {"e0", "e1"}


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
