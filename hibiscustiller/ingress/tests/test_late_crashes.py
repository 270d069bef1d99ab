"""Quarantine of requests whose servers crash after the attempt has ended."""

import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import curio

from hibiscustiller.ingress.tests.fixtures import World
from hibiscustiller.utils._testing import collect_tests

CRASH_MARKER = b"crash"
CRASHING_BODY = b"{crash}"
# The platform counts sends that come this long after the third crash, and allows three.
STABLE_WINDOW_S = 3.0
MAX_LATE_SENDS = 3
CALLER_ATTEMPTS = 26
CALLER_PERIOD_S = 0.5


@dataclass
class Record:
    """Times at which a crashing request was sent to servers, and at which they crashed.

    :param sent_at: on the monotonic clock, in seconds.
    :param crashed_at: as for ``sent_at``.
    """

    sent_at: list = field(default_factory=list)
    crashed_at: list = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)

    def count_late(self):
        """Return the number of sends after the window that follows the third crash."""
        if len(self.crashed_at) < 3:
            return 0
        third = sorted(self.crashed_at)[2]
        return sum(at > third + STABLE_WINDOW_S for at in self.sent_at)

    def check(self):
        """Check that the request was sent, and not too often after the third crash."""
        late = self.count_late()
        counts = (len(self.sent_at), len(self.crashed_at), late, dict(self.outcomes))
        assert len(self.crashed_at) >= 3, counts
        assert late <= MAX_LATE_SENDS, counts


def observe(servers, record):
    """Let servers record the sends of the crashing request, and their crashes.

    :param servers: stand-ins of plain servers or engines.
    """

    def handle_run(request, *path):
        if CRASH_MARKER in request.body:
            record.sent_at.append(time.monotonic())

    for server in servers:
        server.crashes_on = lambda request: CRASH_MARKER in request.body
        server.on_run = handle_run
        server.on_crash = lambda: record.crashed_at.append(time.monotonic())


async def repeat(
    world, path, record, leaves_after_s=None, gateways=(), attempts=CALLER_ATTEMPTS
):
    """Send the crashing request at regular intervals, whatever became of the last one.

    :param leaves_after_s: time after which the caller closes each connection; None if
        it waits for the answers.
    :param gateways: gateways that receive the attempts in turn; the first one if empty.
    """

    async def send(number):
        gateway = gateways[number % len(gateways)] if gateways else None
        try:
            async with curio.timeout_after(leaves_after_s or 8.0):
                answer = await world.request(path, gateway, body=CRASHING_BODY)
        except (curio.TaskTimeout, OSError):
            record.outcomes["left"] += 1
        else:
            record.outcomes[answer.status] += 1

    started_at = time.monotonic()
    async with curio.TaskGroup() as group:
        for number in range(attempts):
            await group.spawn(send, number)
            due_at = started_at + (number + 1) * CALLER_PERIOD_S
            await curio.sleep(due_at - time.monotonic())


async def run_plain(configure, leaves_after_s=None, path="/stock/1"):
    """Repeat a crashing request at a gateway with eight plain servers.

    :param configure: called with the servers.
    """
    record = Record()
    async with World((), (), plain_count=8) as world:
        observe(world.plain, record)
        configure(world.plain)
        await repeat(world, path, record, leaves_after_s)
        assert (await world.request(path)).status == 200
    return record


async def run_streams(crash_delay_s, leaves_after_s, path="/chat/1"):
    """Repeat a crashing stream at a gateway with eight engines."""
    record = Record()
    ids = tuple(f"e{number}" for number in range(8))
    async with World(ids, ("north",) * 8, plain_count=0) as world:
        await world.wait_for_pipelines(7)
        observe(world.engines, record)
        for engine in world.engines:
            engine.crash_delay_s = crash_delay_s
        await repeat(world, path, record, leaves_after_s)
    return record


async def run_at_four_gateways(restarts):
    """Repeat a crashing request at four gateways in turn.

    :param restarts: whether gateways are killed and started again in series.
    """
    record = Record()
    async with World((), (), plain_count=8) as world:
        observe(world.plain, record)
        delay_crashes(1.0)(world.plain)
        gateways = [world.gateway]
        for number in range(2, 5):
            gateways.append(await world.start_other(f"router-{number}"))

        async def restart():
            for number in range(1, 4):
                await curio.sleep(1.0)
                name = gateways[number]._settings.router_id
                await world.kill(gateways[number])
                gateways[number] = await world.start_other(name)

        async with curio.TaskGroup() as group:
            await group.spawn(repeat, world, "/stock/1", record, None, gateways)
            if restarts:
                await group.spawn(restart)
    return record


async def run_at_same_time(runs_by_name):
    """Run cases at the same time and check the record of each.

    :param runs_by_name: coroutines that return a record.
    """
    async with curio.TaskGroup() as group:
        tasks = {
            name: await group.spawn(run) for name, run in sorted(runs_by_name.items())
        }
    failures = []
    for name, task in tasks.items():
        try:
            task.result.check()
        except AssertionError as error:
            failures.append(f"{name}: sends, crashes, late sends, outcomes: {error}")
    assert not failures, "\n".join(failures)


def delay_crashes(delay_s):
    """Return a function that sets the time between a request's start and the crash."""

    def configure(servers):
        for server in servers:
            server.crash_delay_s = delay_s

    return configure


async def test_crashes_after_the_attempt_timed_out_count():
    """Guards against a crash that is forgotten with the attempt it comes after.

    The route's timeout is 0.6 s. Incident BUDGET on turf-orders, second report.
    """
    await run_at_same_time(
        {
            f"{path}, crash after {delay_s} s": run_plain(
                delay_crashes(delay_s), path=path
            )
            for path in ("/stock/1", "/book/1")
            for delay_s in (0.3, 0.6, 1.0, 1.6)
        }
    )


async def test_crashes_after_the_caller_left_count():
    """Guards against a crash that is forgotten since its caller has left."""
    await run_at_same_time(
        {
            "plain, crash after 0.5 s": run_plain(delay_crashes(0.5), 0.3),
            "book, crash after 0.5 s": run_plain(delay_crashes(0.5), 0.3, "/book/1"),
            "stream, crash after 0.6 s": run_streams(0.6, 0.3),
            "stream, crash after 1.0 s": run_streams(1.0, 0.4),
            "once, crash after 1.0 s": run_streams(1.0, 0.4, "/once/1"),
        }
    )


async def test_overlapping_copies_count_each_crash():
    """Guards against a third crash that counts long after it happened.

    Callers send the request again before its servers have crashed, after different
    times.
    """
    random_state = random.Random(1)

    def configure(servers):
        for server in servers:
            server.crash_delay_s = random_state.uniform(0.0, 1.6)

    await run_at_same_time(
        {f"mixed delays {number}": run_plain(configure) for number in range(3)}
    )


async def test_crashes_behind_silent_connections_count():
    """Guards against a crash that is not seen since no connection breaks."""

    def configure(servers):
        for server in servers:
            server.keeps_connections = True

    await run_at_same_time({"silent": run_plain(configure)})


async def test_crashes_after_attempts_at_several_routers_count():
    """Guards against a count that is lost between routers, or with one of them.

    Three of four routers are killed and started again during the crashes.
    """
    await run_at_same_time(
        {
            "four routers": run_at_four_gateways(restarts=False),
            "four routers, restarts": run_at_four_gateways(restarts=True),
        }
    )


async def test_timeouts_at_servers_that_crash_later_do_not_quarantine_others():
    """Guards against quarantine of requests that only timed out at a slow server.

    One server after the other falls silent and crashes for a reason of its own. A
    frequent request and many different ones time out there.
    """
    async with World((), (), plain_count=6) as world:
        outcomes = Counter()

        async def send(body):
            answer = await world.request("/stock/1", body=body)
            outcomes[answer.status] += 1

        async with curio.TaskGroup() as group:
            for server in world.plain[:5]:
                server.behave = "silent"
                for number in range(20):
                    await group.spawn(send, b"{}")
                    await group.spawn(send, b"{%d}" % (number % 5))
                    await curio.sleep(0.04)
                server.behave = "answer"
                await group.spawn(server.crash)
                await curio.sleep(0.2)
        for body in (b"{}", *(b"{%d}" % number for number in range(5))):
            assert (await world.request("/stock/1", body=body)).status == 200
        assert outcomes[503] == 0, outcomes
        assert outcomes[200] >= 0.9 * sum(outcomes.values()), outcomes


async def test_server_errors_do_not_clear_a_request():
    """Guards against an error of a server that counts as an answer to the request.

    It does not show that the request got past the place of the crash.
    """

    def configure(servers):
        runs = []

        def crashes(request):
            if CRASH_MARKER not in request.body:
                return False
            runs.append(request)
            is_error = len(runs) % 3 == 0
            for server in servers:
                server.behave = "fail" if is_error else "answer"
            return not is_error

        for server in servers:
            server.crashes_on = crashes

    async def run():
        record = Record()
        async with World((), (), plain_count=8) as world:
            observe(world.plain, record)
            configure(world.plain)
            await repeat(world, "/stock/1", record)
        return record

    await run_at_same_time({"each third run": run()})


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
