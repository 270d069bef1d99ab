"""The client of the metadata store against its stand-in, with faults."""

import sys
from datetime import timedelta

import curio

from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.platform import (
    HistoryLostError,
    LeaseExpiredError,
    LeaseId,
    MetadataStore,
    Revision,
    ValueTooLargeError,
)
from hibiscustiller.standins import (
    DrippingServer,
    EndlessAnswer,
    MetadataStoreStandin,
)
from hibiscustiller.utils import ManualClock, SystemClock, Verdict
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

SECOND = timedelta(seconds=1)


class Bench:
    async def __aenter__(self):
        self.clock = ManualClock()
        self.standin = MetadataStoreStandin(self.clock)
        await self.standin.start()
        self.client = HttpClient(SystemClock())
        self.store = MetadataStore(self.client, self.standin.address, SECOND / 4, 1000)
        return self

    async def __aexit__(self, *args):
        await self.client.close()
        await self.standin.stop()


async def test_pages_are_read_to_the_end():
    """Guards against servers that are left out after the first page."""
    async with Bench() as bench:
        for number in range(120):
            bench.standin.put(f"servers/{number:03}", b"x")
        found = await bench.store.read_prefix("servers/")
        assert len(found.items) == 120
        assert found.revision == Revision(1, bench.standin.revision)


async def test_answers_without_end_are_given_up_in_time():
    """Guards against a router that waits for a store that sends a byte now and then."""
    calls = {
        "read": lambda store: store.read_prefix("", may_be_old=True),
        "watch": lambda store: store.wait_changes("", Revision(0, 1), SECOND / 10),
        "grant": lambda store: store.grant_lease(SECOND),
        "renew": lambda store: store.keep_alive(LeaseId(1)),
        "write": lambda store: store.compare_and_swap("a", b"", 0, LeaseId(1)),
    }
    for answer in EndlessAnswer:
        for name, call in calls.items():
            client = HttpClient(SystemClock())
            async with DrippingServer(answer, 0.05) as server:
                store = MetadataStore(client, server.address, SECOND / 4, 1000)
                # The time of the call, the wait of a watch, and a late timer.
                async with curio.timeout_after(2.0):
                    try:
                        await call(store)
                        raise AssertionError(f"accepted: {name} {answer}")
                    except StoreUnavailableError:
                        pass
            await client.close()


async def test_pages_that_may_be_old_name_their_own_revision():
    """Guards against changes that are missed after a read of old pages."""
    async with Bench() as bench:
        for number in range(60):
            bench.standin.put(f"servers/{number:03}", b"x")
        bench.standin.hold_back_old_reads()
        revision = Revision(1, bench.standin.revision)
        bench.standin.delete("servers/001")
        old = await bench.store.read_prefix("servers/", may_be_old=True)
        assert (len(old.items), old.revision) == (60, revision)
        found = await bench.store.read_prefix("servers/")
        assert (len(found.items), found.revision) == (
            59,
            Revision(1, revision.number + 1),
        )


async def test_watch_tells_writes_and_deletions():
    """Guards against changes that are missed or told twice."""
    async with Bench() as bench:
        bench.standin.put("a", b"1")
        start = Revision(1, bench.standin.revision)
        bench.standin.put("a", b"2")
        bench.standin.put("b", b"3")
        bench.standin.delete("b")
        changes = await bench.store.wait_changes("", start, SECOND)
        found = [(change.key, change.value) for change in changes.items]
        assert found == [("a", b"2"), ("b", b"3"), ("b", None)]
        none = await bench.store.wait_changes("", changes.revision, SECOND / 50)
        assert none.items == ()


async def test_lost_history_is_told():
    """Guards against a watch that goes on over a gap."""
    async with Bench() as bench:
        start = Revision(1, bench.standin.revision)
        bench.standin.put("a", b"1")
        bench.standin.forget_history()
        try:
            await bench.store.wait_changes("", start, SECOND)
        except HistoryLostError:
            return
        raise AssertionError("the gap was not told")


async def test_lost_history_is_told_when_nothing_follows_it():
    """Guards against a gap that stays unknown until the next change."""
    async with Bench() as bench:
        bench.standin.faults.tells_loss_late = True
        start = Revision(1, bench.standin.revision)
        bench.standin.put("a", b"1")
        bench.standin.forget_history()
        try:
            await bench.store.wait_changes("", start, SECOND / 50)
        except HistoryLostError:
            return
        raise AssertionError("the gap was not told")


async def test_swap_returns_what_was_found_instead():
    """Guards against a second holder of a lease."""
    async with Bench() as bench:
        first = await bench.store.compare_and_swap("key", b"one", 0)
        assert first.is_swapped
        second = await bench.store.compare_and_swap("key", b"two", 0)
        assert not second.is_swapped
        assert second.current.value == b"one"
        third = await bench.store.compare_and_swap("key", b"two", first.revision)
        assert third.is_swapped


async def test_expired_lease_ends_its_keys_and_refuses_writes():
    """Guards against an entry of a router that is gone."""
    async with Bench() as bench:
        lease = await bench.store.grant_lease(SECOND)
        await bench.store.compare_and_swap("key", b"one", 0, lease)
        bench.clock.advance(SECOND / 2)
        assert await bench.store.keep_alive(lease)
        bench.clock.advance(2 * SECOND)
        assert not await bench.store.keep_alive(lease)
        assert await bench.store.get("key") is None
        try:
            await bench.store.compare_and_swap("key", b"one", 0, lease)
        except LeaseExpiredError:
            return
        raise AssertionError("written under a lease that has ended")


async def test_verdict_tells_whether_a_write_may_have_been_done():
    """Guards against a write that is repeated although it was done."""
    async with Bench() as bench:
        for fault, verdict in (
            ("is_down", Verdict.NOT_RUN),
            ("drops_answers", Verdict.MAY_HAVE_RUN),
            ("is_silent", Verdict.MAY_HAVE_RUN),
        ):
            setattr(bench.standin.faults, fault, True)
            try:
                await bench.store.compare_and_swap(f"key-{fault}", b"x", 0)
            except StoreUnavailableError as error:
                assert error.verdict is verdict, fault
            else:
                raise AssertionError(fault)
            setattr(bench.standin.faults, fault, False)
        assert "key-drops_answers" in bench.standin.items
        assert "key-is_down" not in bench.standin.items


async def test_too_large_value_is_not_sent():
    """Guards against a call that the store can only refuse."""
    async with Bench() as bench:
        try:
            await bench.store.compare_and_swap("key", b"x" * 1001, 0)
        except ValueTooLargeError:
            assert bench.standin.calls == 0
            return
        raise AssertionError("sent")


async def test_a_watch_from_before_a_restore_is_refused_although_its_number_exists():
    """Guards against changes of a restored store that are taken for the next ones."""
    async with Bench() as bench:
        bench.standin.put("a", b"1")
        copy = bench.standin.copy()
        bench.standin.put("a", b"2")
        start = (await bench.store.read_prefix("")).revision
        bench.standin.restore(copy)
        for number in range(3):
            bench.standin.put("b", f"{number}".encode())
        try:
            await bench.store.wait_changes("", start, SECOND / 50)
            raise AssertionError("accepted")
        except HistoryLostError:
            pass
        found = await bench.store.read_prefix("")
        assert found.revision > start and bench.store.era == 2
        assert {change.key: change.value for change in found.items}["a"] == b"1"


async def test_answers_from_before_a_restore_are_refused_after_it():
    """Guards against an old state that arrives late and undoes a newer one."""
    async with Bench() as bench:
        bench.standin.put("a", b"1")
        bench.standin.era = 3
        await bench.store.get("a")
        bench.standin.era = 2
        calls = {
            "get": lambda: bench.store.get("a"),
            "range": lambda: bench.store.read_prefix("", may_be_old=True),
            "watch": lambda: bench.store.wait_changes("", Revision(3, 1), SECOND / 50),
            "write": lambda: bench.store.compare_and_swap("b", b"", 0),
            "grant": lambda: bench.store.grant_lease(SECOND),
        }
        for name, call in calls.items():
            try:
                await call()
                raise AssertionError(name)
            except StoreUnavailableError as error:
                assert error.verdict is Verdict.MAY_HAVE_RUN


async def test_an_era_that_is_no_number_makes_an_answer_unreadable():
    """Guards against a router that ends because of an odd header."""
    async with Bench() as bench:
        bench.standin.put("a", b"1")
        for era in ("x", "1e999", "", "9" * 5000, "9" * 300, "-1"):
            bench.standin.era = era
            try:
                await bench.store.get("a")
                raise AssertionError(era)
            except StoreUnavailableError:
                pass
        bench.standin.era = 1
        assert (await bench.store.get("a")).value == b"1"


async def test_waiting_watch_can_be_cancelled():
    """Guards against a watch that cannot be replaced on a silent connection."""
    async with Bench() as bench:
        task = await curio.spawn(
            bench.store.wait_changes, "", Revision(1, 1), 20 * SECOND
        )
        await curio.sleep(0.02)
        await task.cancel()
        assert await bench.store.get("key") is None


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
