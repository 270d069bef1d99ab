"""Streams whose engines are silent for a while, for good, or beside others' faults."""

import re
import sys
from itertools import pairwise

import curio

from hibiscustiller.ingress.tests.fixtures import World, make_document
from hibiscustiller.utils._testing import collect_tests

EVENT_COUNT = 50
# Longer than the 1.3 s after which a stream of the test's route is taken to be stalled,
# and shorter than the 2 s after which a caller leaves.
SILENCE_S = 1.5
CALLER_PATIENCE_S = 2.0


class SilentWorld(World):
    """Engines that hold the whole model and run a limited number of streams.

    :param engine_count: number of engines.
    :param room: streams that each engine runs at the same time; None for no limit.
    :param options: as for :class:`World`.
    """

    def __init__(self, engine_count, room=None, **options):
        engine_ids = [f"e{number}" for number in range(engine_count)]
        options.setdefault("retry_slack", 200.0)
        super().__init__(engine_ids, ["north"] * engine_count, **options)
        for engine in self.engines:
            engine._event_count, engine._event_period_s = EVENT_COUNT, 0.04
            engine.faults.max_running = room
        self.event_times = {}

    async def __aenter__(self):
        await super().__aenter__()
        self.hold_all_layers(*self.engines)
        await self.wait_for_pipelines(len(self.engines))
        return self

    async def silence(self, engines, for_s=SILENCE_S):
        """Silence engines for a time."""
        for engine in engines:
            engine.faults.is_silent = True
        await curio.sleep(for_s)
        for engine in engines:
            engine.faults.is_silent = False

    async def stream(self, path="/chat/1", **options):
        """Request a stream, and record when each part of it arrived."""
        times = [self.clock.monotonic().total_seconds()]

        async def record_time(answer):
            times.append(self.clock.monotonic().total_seconds())

        answer = await self.request(path, on_data=record_time, **options)
        return answer, max(b - a for a, b in pairwise(times))

    async def start_streams(self, count, path="/chat/1", **options):
        """Start streams and wait until each has its first events."""
        tasks = []
        for _ in range(count):
            tasks.append(await curio.spawn(self.stream, path, **options))
        await curio.sleep(0.4)
        return tasks

    def count_arrivals(self):
        """Return the number of requests that reached the engines."""
        return sum(engine.arrival_count for engine in self.engines)


def find_event_ids(body):
    """Return the ids of the events of an answer."""
    return [int(number) for number in re.findall(rb"id: (\d+)\n", body)]


def check_whole(answer):
    """Check that each event arrived once, in order, up to the end of the stream."""
    assert answer.status == 200
    assert find_event_ids(answer.body) == list(range(EVENT_COUNT)), answer
    assert answer.is_complete


async def check_streams(tasks):
    """Check that streams are whole; return the longest gap of each, in seconds."""
    results = [await task.join() for task in tasks]
    for answer, _ in results:
        check_whole(answer)
    return [gap for _, gap in results]


async def test_streams_go_on_after_all_engines_were_silent():
    """Guards against streams that are cut because a replacement is refused.

    All engines are full, and go on later. Further attempts would help nobody.
    """
    async with SilentWorld(3, room=4) as world:
        tasks = await world.start_streams(11)
        await world.silence(world.engines)
        await check_streams(tasks)
        assert world.count_arrivals() == 11


async def test_streams_go_on_after_a_silence_while_the_other_engines_are_full():
    """Guards against streams that are cut because a replacement is refused.

    The engines that are not silent have no room.
    """
    for silent_count in (1, 2):
        async with SilentWorld(3, room=4) as world:
            tasks = await world.start_streams(12)
            await world.silence(world.engines[:silent_count])
            await check_streams(tasks)


async def test_streams_that_have_not_begun_wait_for_silent_engines():
    """Guards against refused requests whose engine was silent before its first event.

    The other engine is full.
    """
    async with SilentWorld(2, room=4) as world:
        silent, full = world.engines
        full.faults.max_running = 0
        silent.faults.is_silent = True
        tasks = []
        for _ in range(4):
            tasks.append(await curio.spawn(world.stream))
        await world.silence([silent])
        await check_streams(tasks)


async def test_a_silent_engine_answers_in_the_end_without_a_retry_budget():
    """Guards against streams that are cut because no further attempt is allowed."""
    async with SilentWorld(2, retry_slack=0.0) as world:
        tasks = await world.start_streams(4)
        await world.silence(world.engines[:1])
        await check_streams(tasks)


async def test_an_engine_that_is_stuck_is_left_in_time():
    """Guards against callers that leave while a sound engine could go on."""
    async with SilentWorld(2) as world:
        tasks = await world.start_streams(4)
        world.engines[0].faults.is_silent = True
        gaps = await check_streams(tasks)
        assert max(gaps) < CALLER_PATIENCE_S, gaps
        world.engines[0].faults.is_silent = False


async def test_the_engine_that_answers_first_after_a_silence_goes_on():
    """Guards against events twice or out of order while two attempts are open.

    The second attempt waits at its engine when the first one goes on.
    """
    async with SilentWorld(2) as world:
        first, second = world.engines
        second.faults.begins_after_s = 1.0
        tasks = await world.start_streams(1)
        if not first.requests:
            first, second = second, first
            second.faults.begins_after_s = 1.0
        await world.silence([first], 1.7)
        await check_streams(tasks)
        assert len(first.requests) == len(second.requests) == 1
        # The second attempt has given back its place.
        await world.wait_until(lambda: second.running_count == 0)
        use = world.gateway._load.get_own_use()
        assert not use, use


async def test_both_attempts_end_when_the_caller_leaves():
    """Guards against engines that work for a caller that has left."""
    async with SilentWorld(2) as world:
        for engine in world.engines:
            engine.faults.begins_after_s = 0.2
        sock = await world.connect()
        task = await curio.spawn(world.exchange, sock, "/chat/1")
        await world.wait_until(lambda: world.count_arrivals() == 1)
        await curio.sleep(0.4)
        silent = next(engine for engine in world.engines if engine.requests)
        other = next(engine for engine in world.engines if not engine.requests)
        other.faults.begins_after_s = 5.0
        silent.faults.is_frozen = True
        await world.wait_until(lambda: other.requests)
        assert silent.running_count == other.running_count == 1
        await task.cancel()
        await sock.close()
        await world.wait_until(
            lambda: silent.running_count == other.running_count == 0, timeout_s=1.0
        )
        await world.wait_until(lambda: not world.gateway._load.get_own_use(), 1.0)


async def test_streams_that_cannot_be_resumed_wait_for_their_engine():
    """Guards against a second run of a stream that must not be resumed."""
    async with SilentWorld(2) as world:
        tasks = await world.start_streams(4, "/once/1")
        await world.silence(world.engines)
        await check_streams(tasks)
        assert world.count_arrivals() == 4


async def test_streams_of_a_router_that_stops_wait_for_their_engine():
    """Guards against streams that are cut by a planned stop beside a silence."""
    async with SilentWorld(2, room=4) as world:
        for engine in world.engines:
            # The stream, with the silence, ends within the grace time of 3 s.
            engine._event_period_s = 0.012
        tasks = await world.start_streams(8)
        stop = await curio.spawn(world.gateway.stop)
        await world.silence(world.engines, 1.4)
        await check_streams(tasks)
        await stop.join()


async def test_streams_are_not_cut_by_changes_of_the_configuration():
    """Guards against streams that end because the configuration changed.

    The engines are silent for a moment beside each change, as in the incident LOST.
    """

    def change_idle(document):
        document["limits"]["idle_timeout_ms"] = 300

    def change_timeout(document):
        for route in document["routes"]:
            route["timeout_ms"] = 200

    def drop_route(document):
        document["routes"] = [r for r in document["routes"] if r["name"] != "chat"]

    for number, change in enumerate((change_idle, change_timeout, drop_route)):
        async with SilentWorld(2) as world:
            tasks = await world.start_streams(4)
            document = make_document(number + 2)
            change(document)
            world.store.put("op/config", document)
            await world.silence(world.engines, 0.8)
            await check_streams(tasks)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
