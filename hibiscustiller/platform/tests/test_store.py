"""Contract of the key-value service's client, with the service's faults in tables."""

import random
import sys
from datetime import timedelta

import curio

from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.platform import (
    EtcdStore,
    LeaseExpiredError,
    StoreRolledBackError,
    ValueTooLargeError,
    read_host_list,
)
from hibiscustiller.platform._outage import OutageGate
from hibiscustiller.settings import Address
from hibiscustiller.standins import PlatformStandin
from hibiscustiller.utils import ManualClock, Metrics, SystemClock, Verdict
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

TIMEOUT = timedelta(milliseconds=100)
SILENCE = timedelta(milliseconds=150)
NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN


class Bench:
    """A store stand-in whose leases follow a clock moved by hand."""

    def __init__(self):
        self.clock = ManualClock()
        self.platform = PlatformStandin(Address("127.0.0.1", 0), self.clock)
        self.client = HttpClient(SystemClock())
        self.metrics = Metrics()

    async def __aenter__(self):
        await self.platform.start()
        self.store = self.make_store()
        return self

    async def __aexit__(self, *args):
        await self.client.close()
        await self.platform.close()

    def make_store(self, address=None):
        return EtcdStore(
            self.client,
            address or self.platform.address,
            TIMEOUT,
            SILENCE,
            metrics=self.metrics,
            clock=SystemClock(),
            random_state=random.Random(1),
        )


async def get_error(coroutine):
    try:
        raise AssertionError(f"accepted: {await coroutine!r}")
    except StoreUnavailableError as error:
        return error


# Fault, verdict of a read and of a write, whether the write takes effect.
CALL_FAULTS = [
    ({"is_down": True}, MAY_HAVE_RUN, False),
    ({"truncated_answers": 1}, MAY_HAVE_RUN, True),
    ({"garbage_answers": 1}, MAY_HAVE_RUN, True),
    ({"wrong_statuses": 1}, MAY_HAVE_RUN, True),
]
WRITE_FAULTS = [
    *CALL_FAULTS,
    ({"lost_answers": 1}, MAY_HAVE_RUN, True),
    ({"late_writes": 1}, MAY_HAVE_RUN, True),
]


async def test_failed_calls_say_what_may_have_happened():
    """Guards against a write that took effect and is reported as not run."""
    for faults, verdict, is_written in WRITE_FAULTS:
        async with Bench() as bench:
            for name, value in faults.items():
                setattr(bench.platform.faults, name, value)
            error = await get_error(bench.store.compare_and_swap("k", b"v", 0))
            assert error.verdict is verdict, faults
            assert "\n" not in str(error)
            await curio.sleep(0.05)
            found = bench.platform.read_value("k")
            assert found == (b"v" if is_written else None), faults
    for faults, _, _ in CALL_FAULTS:
        for call in ("get", "list_prefix", "grant_lease", "keep_alive", "revoke_lease"):
            async with Bench() as bench:
                for name, value in faults.items():
                    setattr(bench.platform.faults, name, value)
                argument = {"grant_lease": timedelta(seconds=5)}.get(call, "7")
                await get_error(getattr(bench.store, call)(argument))


async def test_slow_store_is_given_up_and_unreachable_store_is_not_run():
    """Guards against calls that hang and against doubt where no byte was sent."""
    async with Bench() as bench:
        bench.platform._clock = SystemClock()
        bench.platform.faults.delay = timedelta(milliseconds=300)
        error = await get_error(bench.store.get("k"))
        assert error.verdict is MAY_HAVE_RUN
        closed = bench.make_store(Address("127.0.0.1", 1))
        error = await get_error(closed.compare_and_swap("k", b"v", 0))
        assert error.verdict is NOT_RUN


# Answers of a server that is no store, by what reads them.
WRONG_SHAPES = [
    b"{}",
    b"[]",
    b"null",
    b"7",
    b'{"header":{}}',
    b'{"header":{"revision":"x"}}',
    b'{"header":{"revision":"3"},"kvs":[{}]}',
    b'{"header":{"revision":"3"},"kvs":[{"key":"*","mod_revision":"1"}]}',
    b'{"header":{"revision":"3"},"kvs":[{"key":"eg==","mod_revision":"1"}]}',
    b'{"header":{"revision":"3"},"kvs":7,"succeeded":false,"responses":[]}',
    b"[" * 100_000,
]


class _FixedServer:
    """Answers everything with the same bytes."""

    def __init__(self, body, status=200):
        self.body = body
        self.status = status

    async def handle(self, request, responder):
        await responder.send(self.status, self.body)


async def test_answers_of_the_wrong_shape_are_refused():
    """Guards against an answer without content that reads as an absent key."""
    async with Bench() as bench:
        for body in WRONG_SHAPES:
            bench.platform.server.handle = _FixedServer(body).handle
            error = await get_error(bench.make_store().get("k"))
            assert error.verdict is MAY_HAVE_RUN
            await get_error(bench.make_store().compare_and_swap("k", b"v", 0))


async def test_refused_calls_do_not_pause_the_others():
    """Guards against one wrong call that keeps a router away from a sound store."""
    for status, is_paused in ((400, False), (404, False), (429, True), (500, True)):
        async with Bench() as bench:
            handle = bench.platform.server.handle
            bench.platform.server.handle = _FixedServer(b"{}", status).handle
            for _ in range(5):
                await get_error(bench.store.get("k"))
            bench.platform.server.handle = handle
            if is_paused:
                error = await get_error(bench.store.get("k"))
                assert error.verdict is NOT_RUN
            else:
                assert await bench.store.get("k") is None


async def test_swaps_compare_revisions():
    """Guards against a write over somebody else's value."""
    async with Bench() as bench:
        store = bench.store
        first = await store.compare_and_swap("k", b"1", 0)
        second = await store.compare_and_swap("k", b"2", 0)
        assert first.is_swapped and not second.is_swapped
        assert second.current == await store.get("k")
        assert second.current.revision == first.revision
        assert not await store.delete("k", first.revision + 1)
        assert (await store.compare_and_swap("k", b"3", first.revision)).is_swapped
        entries = await store.list_prefix("k")
        assert [entry.value for entry in entries] == [b"3"]
        assert await store.delete("k", entries[0].revision)
        assert await store.get("k") is None
        gone = await store.compare_and_swap("k", b"4", first.revision)
        assert not gone.is_swapped and gone.current is None


async def test_large_values_are_refused_before_sending():
    """Guards against a value that the service refuses after a costly call."""
    async with Bench() as bench:
        largest = b"x" * (1 << 20)
        assert (await bench.store.compare_and_swap("k", largest, 0)).is_swapped
        error = await get_error(bench.store.compare_and_swap("l", largest + b"x", 0))
        assert isinstance(error, ValueTooLargeError) and error.verdict is NOT_RUN
        assert bench.metrics.totals_by_name["store.calls.txn"] == 1


async def test_leases_end_by_the_service_clock():
    """Guards against keys that outlive their lease and writes under a dead one."""
    async with Bench() as bench:
        lease = await bench.store.grant_lease(timedelta(seconds=10))
        made = await bench.store.compare_and_swap("k", b"v", 0, lease)
        watch = await bench.store.open_watch("k", made.revision + 1)
        bench.clock.advance(timedelta(seconds=9))
        assert await bench.store.keep_alive(lease)
        bench.clock.advance(timedelta(seconds=9))
        await curio.sleep(0.05)
        assert bench.platform.read_value("k") == b"v"
        bench.clock.advance(timedelta(seconds=2))
        # No call is made: the watch alone learns of the deletion.
        assert await curio.timeout_after(2, watch.read_event()) is None
        await watch.close()
        assert not await bench.store.keep_alive(lease)
        error = await get_error(bench.store.compare_and_swap("k", b"v", 0, lease))
        assert isinstance(error, LeaseExpiredError) and error.verdict is NOT_RUN


async def test_revoked_lease_deletes_its_keys():
    """Guards against a handed-over lease that still holds its key."""
    async with Bench() as bench:
        lease = await bench.store.grant_lease(timedelta(seconds=10))
        await bench.store.compare_and_swap("k", b"v", 0, lease)
        await bench.store.revoke_lease(lease)
        assert await bench.store.get("k") is None


async def test_watch_sees_each_write_from_its_revision_on():
    """Guards against writes between a read and its watch that are missed."""
    async with Bench() as bench:
        made = await bench.store.compare_and_swap("k", b"1", 0)
        await bench.store.compare_and_swap("other", b"x", 0)
        second = await bench.store.compare_and_swap("k", b"2", made.revision)
        watch = await bench.store.open_watch("k", made.revision)
        assert (await watch.read_event()).value == b"1"
        assert (await watch.read_event()).value == b"2"
        await bench.store.delete("k", second.revision)
        assert await watch.read_event() is None
        await watch.close()
        assert bench.metrics.totals_by_name["store.calls.watch"] == 1
        assert bench.platform.calls_by_kind["/v3/watch"] == 1


async def test_broken_watches_raise():
    """Guards against a watch that has ended and reads as a quiet key."""
    for faults, is_restored, kind in [
        ({"ends_watches": True}, False, StoreUnavailableError),
        ({"is_watch_silent": True}, False, StoreUnavailableError),
        ({"is_down": True}, False, StoreUnavailableError),
        ({}, True, StoreRolledBackError),
    ]:
        async with Bench() as bench:
            backup = bench.platform.take_backup()
            made = await bench.store.compare_and_swap("k", b"1", 0)
            watch = await bench.store.open_watch("k", made.revision + 1)
            for name, value in faults.items():
                setattr(bench.platform.faults, name, value)
            if is_restored:
                bench.platform.restore_backup(backup)
                await watch.close()
                watch = await bench.store.open_watch("k", made.revision + 1)
            elif not bench.platform.faults.is_down:
                await bench.make_store().compare_and_swap("k", b"2", made.revision)
            error = await get_error(curio.timeout_after(2, watch.read_event()))
            assert isinstance(error, kind), (faults, error)
            await watch.close()


async def test_closed_watch_frees_the_service():
    """Guards against watches that go on at the service after their host is gone."""
    async with Bench() as bench:
        watch = await bench.store.open_watch("k", 1)
        await curio.sleep(0.02)
        assert bench.platform.server.busy_count == 1
        await watch.close()
        async with curio.timeout_after(2):
            while bench.platform.server.busy_count:
                await curio.sleep(0.02)


async def test_calls_are_counted_by_kind():
    """Guards against calls that nobody accounts for."""
    async with Bench() as bench:
        lease = await bench.store.grant_lease(timedelta(seconds=10))
        await bench.store.keep_alive(lease)
        await bench.store.get("k")
        await bench.store.list_prefix("k")
        await bench.store.compare_and_swap("k", b"v", 0)
        await bench.store.revoke_lease(lease)
        assert dict(bench.metrics.totals_by_name) == {
            "store.calls.lease_grant": 1,
            "store.calls.lease_keepalive": 1,
            "store.calls.range": 2,
            "store.calls.txn": 1,
            "store.calls.lease_revoke": 1,
        }


def count_gate_calls(gate, clock, seconds):
    """Try a call every 10 ms at a store that fails; return the times of calls."""
    times = []
    for _ in range(seconds * 100):
        clock.advance(timedelta(milliseconds=10))
        try:
            gate.check_open()
        except StoreUnavailableError as error:
            assert error.verdict is NOT_RUN
            continue
        times.append(clock.monotonic())
        gate.note_failure()
    return times


def test_outage_spreads_the_calls_of_many_hosts():
    """Guards against hundreds of hosts that call a returning store at once."""
    calls_by_second = {}
    for seed in range(330):
        clock = ManualClock()
        gate = OutageGate(clock, random.Random(seed))
        for moment in count_gate_calls(gate, clock, 30):
            second = int(moment.total_seconds())
            calls_by_second[second] = calls_by_second.get(second, 0) + 1
    # The service serves 2,000 reads a second; half of them stay free for other calls.
    late = [calls_by_second[second] for second in range(10, 30)]
    assert max(late) < 1000, late
    assert min(late) > 0


def test_gate_opens_again_within_the_longest_pause():
    """Guards against a host that stays away from a store that has returned."""
    clock = ManualClock()
    gate = OutageGate(clock, random.Random(1))
    times = count_gate_calls(gate, clock, 60)
    gaps = [later - sooner for sooner, later in zip(times, times[1:], strict=False)]
    assert max(gaps) <= timedelta(seconds=1, milliseconds=20)
    clock.advance(timedelta(seconds=1))
    gate.check_open()
    gate.note_success()
    for _ in range(100):
        gate.check_open()


# Answer of the list's server, and the hosts read from it; None for an error.
HOST_LISTS = [
    (200, b'{"hosts":[]}', {}),
    (
        200,
        b'{"hosts":[{"address":"127.0.0.2","state":"leaving"}]}',
        {"127.0.0.2": "leaving"},
    ),
    (500, b'{"hosts":[]}', None),
    (200, b"{}", None),
    (200, b"", None),
    (200, b'{"hosts":[{"address":"a"}]}', None),
    (200, b'{"hosts":[{"address":"a","state":"asleep"}]}', None),
    (200, b'{"hosts":7}', None),
    (200, b"[" * 100_000, None),
]


async def test_host_list_is_read_whole_or_not_at_all():
    """Guards against half a list, which would take live hosts away."""
    async with Bench() as bench:
        for status, body, expected in HOST_LISTS:
            bench.platform.server.handle = _FixedServer(body, status).handle
            reading = read_host_list(bench.client, bench.platform.address, TIMEOUT)
            if expected is None:
                await get_error(reading)
                continue
            states = (await reading).states_by_host
            assert {host: state.value for host, state in states.items()} == expected


async def test_host_list_faults_raise():
    """Guards against a wait without end for the host list."""
    async with Bench() as bench:
        bench.platform.host_states_by_address = {"127.0.0.3": "live"}
        address = bench.platform.address
        found = await read_host_list(bench.client, address, TIMEOUT)
        assert list(found.states_by_host) == ["127.0.0.3"]
        assert bench.platform.calls_by_kind["/v1/hosts"] == 1
        bench.platform.faults.is_down = True
        await get_error(read_host_list(bench.client, address, TIMEOUT))
        bench.platform.faults.is_down = False
        bench.platform._clock = SystemClock()
        bench.platform.faults.delay = timedelta(milliseconds=300)
        await get_error(read_host_list(bench.client, address, TIMEOUT))


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
