"""Tests of ServiceForwarder: orders are sent at most once, other calls are retried."""

import sys
from dataclasses import replace
from datetime import timedelta

import curio
from result import Ok

from hibiscustiller.orders import make_claim_key, make_repeat_headers
from hibiscustiller.orders.tests._bench import (
    OrderFixture,
    count_violations,
    describe,
    make_call,
)
from hibiscustiller.settings import Address
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

KEY = make_claim_key("greens", "k1")
IN_PROGRESS = ("order-in-progress", "may-have-run")
STORE_UNAVAILABLE = ("store-unavailable", "not-run")
BACKEND_FAILED = ("backend-failed", "may-have-run")
# No process listens on this address.
CLOSED_ADDRESS = Address("127.0.0.1", 1)

# Store fault while an order is forwarded, expected result, and expected result of a
# repeat at another router after the fault. The order must have been booked once by
# then.
STORE_FAULTS = [
    ({}, 201, 201),
    ({"is_down": True}, STORE_UNAVAILABLE, 201),
    ({"delay": timedelta(milliseconds=250)}, STORE_UNAVAILABLE, 201),
    ({"lost_answers": 1}, 201, 201),
    ({"lost_answers": 2}, 201, 201),
    ({"late_writes": 1}, 201, 201),
    ({"late_writes": 2}, 201, 201),
    (
        {"late_writes": 9, "late_delay": timedelta(milliseconds=80)},
        STORE_UNAVAILABLE,
        201,
    ),
    ({"truncated_answers": 1}, 201, 201),
    ({"garbage_answers": 1}, 201, 201),
    ({"wrong_statuses": 1}, 201, 201),
    ({"garbage_answers": 2}, STORE_UNAVAILABLE, 201),
    ({"lost_answers": 1, "wrong_statuses": 1}, STORE_UNAVAILABLE, 201),
]

# Fault of the booking service, expected result, expected result of a repeat, and
# expected number of bookings.
BOOKING_FAULTS = [
    ({"drops_after": True}, BACKEND_FAILED, IN_PROGRESS, 1),
    ({"drops_before": True}, BACKEND_FAILED, IN_PROGRESS, 0),
    (
        {"delay": timedelta(milliseconds=600)},
        ("backend-timeout", "may-have-run"),
        IN_PROGRESS,
        # Unknown: the stand-in may complete the booking after the router's timeout.
        None,
    ),
    ({"is_leaving": True}, 503, 503, 0),
    ({"answer_bytes": 800_000}, 201, 201, 1),
]


async def wait_for_writes(fixture):
    """Wait for delayed writes at the store and for the forwarders' pending writes."""
    await curio.sleep(0.1)
    for forwarder in fixture.forwarders:
        await curio.timeout_after(20, forwarder.drain())


async def warm_up(fixture, *forwarders):
    """Let each forwarder acquire its lease, so that a store fault hits a claim."""
    for index, forwarder in enumerate(forwarders):
        result = await forwarder.forward(fixture.service, make_call(f"warm-{index}"))
        assert isinstance(result, Ok)


async def test_store_faults_never_book_twice_and_never_claim_a_false_not_run():
    """Guards against double bookings, false not-run and orders blocked for good."""
    for faults, expected, expected_repeat in STORE_FAULTS:
        async with OrderFixture() as fixture:
            first_router, second_router = fixture.add_router(), fixture.add_router()
            await warm_up(fixture, first_router, second_router)
            fixture.set_store_faults(**faults)
            result = await first_router.forward(fixture.service, make_call())
            assert describe(result) == expected, (faults, result)
            assert fixture.count_bookings("k1") == (1 if isinstance(result, Ok) else 0)
            no_faults = {"is_down": False, "delay": timedelta(0), "late_writes": 0}
            counted = ("lost_answers", "garbage_answers", "wrong_statuses")
            fixture.set_store_faults(**no_faults, **dict.fromkeys(counted, 0))
            await wait_for_writes(fixture)
            repeat = await second_router.forward(fixture.service, make_call())
            assert describe(repeat) == expected_repeat, (faults, repeat)
            assert fixture.count_bookings("k1") == 1, faults
            if isinstance(result, Ok):
                assert repeat == result


async def test_booking_faults_get_the_right_verdict():
    """Guards against a second send or a false not-run after the first byte was sent."""
    for faults, expected, expected_repeat, expected_count in BOOKING_FAULTS:
        async with OrderFixture() as fixture:
            first_router, second_router = fixture.add_router(), fixture.add_router()
            fixture.set_booking_faults(**faults)
            result = await first_router.forward(fixture.service, make_call())
            assert describe(result) == expected, (faults, result)
            fixture.set_booking_faults(
                drops_after=False, drops_before=False, is_leaving=False
            )
            repeat = await second_router.forward(fixture.service, make_call())
            assert describe(repeat) == expected_repeat, (faults, repeat)
            assert fixture.count_bookings("k1") in (
                (0, 1) if expected_count is None else (expected_count,)
            )
            assert sum(replica.calls for replica in fixture.replicas) == 1, faults


async def test_large_response_is_replaced_by_a_placeholder():
    """Guards against a second send because a response was too large to store."""
    async with OrderFixture() as fixture:
        fixture.set_booking_faults(answer_bytes=800_000)
        forwarder = fixture.add_router()
        await forwarder.forward(fixture.service, make_call())
        repeat = (await forwarder.forward(fixture.service, make_call())).ok_value
        assert (
            repeat.is_placeholder and repeat.status == 201 and len(repeat.body) < 1000
        )
        assert fixture.booking_count == 1


async def test_unsent_order_is_released_for_a_repeat():
    """Guards against a claim that blocks repeats although no byte was sent."""
    async with OrderFixture() as fixture:
        forwarder = fixture.add_router()
        service = fixture.service
        closed = type(service)(
            "booking", (CLOSED_ADDRESS,), ("POST *",), service.timeout
        )
        result = await forwarder.forward(closed, make_call())
        assert describe(result) == ("backend-failed", "not-run")
        repeat = await fixture.add_router().forward(service, make_call())
        assert describe(repeat) == 201 and fixture.booking_count == 1


async def test_foreign_and_unreadable_claims_prevent_a_send():
    """Guards against sending an order whose key has a foreign or invalid claim."""
    cases = [
        (b"{", ("conflict", "may-have-run")),
        (b"[" * 100_000, ("conflict", "may-have-run")),
        (b'{"token":1,"fingerprint":"","state":"claimed"}', ("conflict",) * 1),
        (b'{"token":"t","fingerprint":"f","state":"done"}', ("conflict",) * 1),
        (b'{"token":"t","fingerprint":"f","state":"new"}', ("conflict",) * 1),
        (
            b'{"token":"t","fingerprint":"f","state":"claimed"}',
            ("idempotency-key-reused", "not-run"),
        ),
    ]
    for value, expected in cases:
        async with OrderFixture() as fixture:
            forwarder = fixture.add_router()
            await forwarder._ledger._store.compare_and_swap(KEY, value, 0)
            result = await forwarder.forward(fixture.service, make_call())
            assert describe(result)[: len(expected)] == expected, (value, result)
            assert fixture.booking_count == 0


async def test_other_body_under_the_same_key_is_refused():
    """Guards against a response to one order being returned for another.

    The second order has the same key, but a different body or service.
    """
    async with OrderFixture() as fixture:
        forwarder = fixture.add_router()
        await forwarder.forward(fixture.service, make_call())
        result = await forwarder.forward(fixture.service, make_call(quantity=2))
        assert describe(result) == ("idempotency-key-reused", "not-run")
        other = replace(fixture.service, name="another")
        result = await forwarder.forward(other, make_call())
        assert describe(result) == ("idempotency-key-reused", "not-run")
        assert fixture.booking_count == 1


async def test_racing_routers_book_once():
    """Guards against concurrent sends of one order by several routers."""
    async with OrderFixture() as fixture:
        fixture.set_booking_faults(delay=timedelta(milliseconds=20))
        routers = [fixture.add_router() for _ in range(4)]
        tasks = [
            await curio.spawn(router.forward, fixture.service, make_call())
            for router in routers
        ]
        results = [describe(await task.join()) for task in tasks]
        assert sorted(map(str, results)) == sorted(
            map(str, [201, IN_PROGRESS, IN_PROGRESS, IN_PROGRESS])
        )
        assert fixture.booking_count == 1


async def test_order_completes_after_its_caller_disconnects():
    """Guards against losing the response when the caller disconnects early."""
    async with OrderFixture() as fixture:
        fixture.set_booking_faults(delay=timedelta(milliseconds=50))
        forwarder = fixture.add_router()
        caller = await curio.spawn(forwarder.forward, fixture.service, make_call())
        await curio.sleep(0.03)
        await caller.cancel()
        await wait_for_writes(fixture)
        repeat = await fixture.add_router().forward(fixture.service, make_call())
        assert describe(repeat) == 201 and fixture.booking_count == 1


async def test_response_is_stored_after_a_store_outage():
    """Guards against losing the response when the store fails after the send."""
    async with OrderFixture() as fixture:
        fixture.set_booking_faults(delay=timedelta(milliseconds=50))
        forwarder = fixture.add_router()
        await warm_up(fixture, forwarder)
        caller = await curio.spawn(forwarder.forward, fixture.service, make_call())
        await curio.sleep(0.03)
        fixture.set_store_faults(is_down=True)
        result = await caller.join()
        assert describe(result) == 201 and forwarder.open_count == 1
        fixture.set_store_faults(is_down=False)
        await wait_for_writes(fixture)
        assert (
            await fixture.add_router().forward(fixture.service, make_call()) == result
        )


class _PausingClient(HttpClient):
    """Calls a hook between the claim and the first byte of an order."""

    def __init__(self, clock, hook):
        super().__init__(clock)
        self._hook = hook

    async def request(self, address, method, target, **options):
        if options.get("before_send") is not None:
            await self._hook()
        return await super().request(address, method, target, **options)


async def test_paused_claimant_checks_its_claim():
    """Guards against a send after a pause during which the claim was lost.

    Another router may have claimed and sent the order in the meantime.
    """
    for is_claim_retaken, expected in ((False, 201), (True, STORE_UNAVAILABLE)):
        async with OrderFixture() as fixture:
            pauses = [timedelta(seconds=6)]
            other = fixture.add_router()

            async def pause(
                fixture=fixture,
                pauses=pauses,
                other=other,
                is_claim_retaken=is_claim_retaken,
            ):
                if not pauses:
                    return
                fixture.clock.offset += pauses.pop()
                if is_claim_retaken:
                    fixture.store_clock.offset = timedelta(hours=26)
                    result = await other.forward(fixture.service, make_call())
                    assert describe(result) == 201

            paused = fixture.add_router(client=_PausingClient(fixture.clock, pause))
            result = await paused.forward(fixture.service, make_call())
            assert describe(result) == expected, result
            assert fixture.booking_count == 1


async def test_response_is_written_again_after_a_restored_backup():
    """Guards against sending a repeat after a restored backup removed the claim."""
    async with OrderFixture() as fixture:
        forwarder = fixture.add_router()
        await warm_up(fixture, forwarder)
        backup = fixture.platform.take_backup()
        fixture.set_booking_faults(delay=timedelta(milliseconds=50))
        caller = await curio.spawn(forwarder.forward, fixture.service, make_call())
        await curio.sleep(0.03)
        fixture.platform.restore_backup(backup)
        result = await caller.join()
        await wait_for_writes(fixture)
        assert (
            await fixture.add_router().forward(fixture.service, make_call()) == result
        )
        assert fixture.count_bookings("k1") == 1


async def test_claims_are_stored_for_a_day():
    """Guards against claims under a lease that is too old or has expired."""
    async with OrderFixture() as fixture:
        forwarder = fixture.add_router()
        for index, minutes in enumerate((0, 50, 56, 57, 26 * 60)):
            fixture.clock.offset = fixture.store_clock.offset = timedelta(
                minutes=minutes
            )
            result = await forwarder.forward(fixture.service, make_call(f"k{index}"))
            assert describe(result) == 201, (minutes, result)
        assert fixture.platform.calls_by_kind["/v3/lease/grant"] == 3
        # Only the store's clock advances, so that the lease in use expires unnoticed.
        fixture.store_clock.offset += timedelta(hours=26)
        result = await forwarder.forward(fixture.service, make_call("after expiry"))
        assert describe(result) == 201
        assert fixture.platform.calls_by_kind["/v3/lease/grant"] == 4
        fixture.store_clock.offset += timedelta(hours=26)
        await curio.sleep(0.1)
        assert fixture.platform.list_keys() == []


async def test_claims_are_limited():
    """Guards against overload of the store by orders, and a wrong retry-after time."""
    async with OrderFixture() as fixture:
        forwarder = fixture.add_router(count_routers=lambda: 1000)
        results = [
            await forwarder.forward(fixture.service, make_call(f"k{index}"))
            for index in range(6)
        ]
        assert [describe(result) for result in results[:5]] == [201] * 5
        refusal = results[5].err_value
        assert describe(results[5]) == ("overloaded", "not-run")
        assert timedelta(0) < refusal.retry_after <= timedelta(seconds=10)
        fixture.clock.offset += refusal.retry_after
        result = await forwarder.forward(fixture.service, make_call("k5"))
        assert describe(result) == 201


class _HostLostError(Exception):
    """Simulates the loss of a router's host."""


class _HostLossStore:
    """Simulates the loss of the host before or after the n-th call to the store."""

    def __init__(self, store, step, is_after):
        self._store = store
        self._step = step
        self._is_after = is_after

    def __getattr__(self, name):
        method = getattr(self._store, name)

        async def call(*args):
            self._step -= 1
            if self._step == 0 and not self._is_after:
                raise _HostLostError
            value = await method(*args)
            if self._step == 0:
                raise _HostLostError
            return value

        return call


async def test_host_loss_at_every_step_never_books_twice():
    """Guards against a second booking after the host that sent the order is lost."""
    # Steps: 1 grants the lease, 2 writes the claim, 3 writes the response.
    expected_by_step = {
        (1, False): (201, 1),
        (1, True): (201, 1),
        (2, False): (201, 1),
        (2, True): (IN_PROGRESS, 0),
        (3, False): (IN_PROGRESS, 1),
        (3, True): (201, 1),
    }
    for (step, is_after), (expected, expected_count) in expected_by_step.items():
        async with OrderFixture() as fixture:

            def wrap(store, step=step, is_after=is_after):
                return _HostLossStore(store, step, is_after)

            lost = fixture.add_router(wrap_store=wrap)
            try:
                await lost.forward(fixture.service, make_call())
                raise AssertionError("the host was not lost")
            except _HostLostError:
                pass
            repeat = await fixture.add_router().forward(fixture.service, make_call())
            assert (describe(repeat), fixture.booking_count) == (
                expected,
                expected_count,
            ), step


async def test_calls_marked_non_idempotent_are_orders():
    """Guards against retrying a call that the caller marked as non-idempotent."""
    async with OrderFixture() as fixture:
        forwarder = fixture.add_router()
        for key in ("k1", None):
            call = make_call(
                key, method="GET", path="/stock", is_marked_non_idempotent=True
            )
            fixture.set_booking_faults(is_leaving=True)
            before = sum(replica.calls for replica in fixture.replicas)
            result = await forwarder.forward(fixture.service, call)
            assert describe(result) == 503
            assert sum(replica.calls for replica in fixture.replicas) == before + 1
            headers = {} if key else {"x-repeat": "new-order"}
            assert make_repeat_headers(fixture.service, call) == headers
        assert fixture.platform.list_keys() == [KEY]


async def test_unkeyed_order_is_sent_once_without_the_store():
    """Guards against a second send of an order without a key.

    The refusal must warn the caller that a repeat would be a new order.
    """
    async with OrderFixture() as fixture:
        fixture.set_store_faults(is_down=True)
        fixture.set_booking_faults(drops_after=True)
        result = await fixture.add_router().forward(fixture.service, make_call(None))
        assert describe(result) == BACKEND_FAILED and fixture.booking_count == 1
        assert "a repeat without Idempotency-Key is a new order" in str(result)


class _FakeRetryBudget:
    def __init__(self, retries):
        self.requests = 0
        self.retries = retries

    def record_request(self):
        self.requests += 1

    def try_spend(self):
        self.retries -= 1
        return self.retries >= 0


# Kinds of the two replicas ('closed', 'drops', 'leaves', 'works'), retries left in the
# budget, and expected result.
IDEMPOTENT_CASES = [
    (("works", "works"), 0, 200),
    (("closed", "closed"), 5, ("backend-failed", "not-run")),
    (("closed", "drops"), 5, BACKEND_FAILED),
    (("drops", "drops"), 5, BACKEND_FAILED),
    (("leaves", "leaves"), 5, 503),
    (("leaves", "closed"), 5, 503),
    (("leaves", "drops"), 5, BACKEND_FAILED),
    (("drops", "works"), 5, 200),
    (("leaves", "works"), 5, 200),
    (("closed", "works"), 5, 200),
    (("closed", "closed"), 0, ("backend-failed", "not-run")),
    (("drops", "drops"), 0, BACKEND_FAILED),
]


async def test_idempotent_calls_are_retried_with_the_right_verdict():
    """Guards against too few retries and a verdict that ignores earlier attempts."""
    for kinds, retries, expected in IDEMPOTENT_CASES:
        for _ in range(3):
            async with OrderFixture() as fixture:
                service = fixture.service
                addresses = list(service.addresses)
                for index, kind in enumerate(kinds):
                    if kind == "closed":
                        addresses[index] = CLOSED_ADDRESS
                    elif kind == "drops":
                        await fixture.replicas[index].server.close()
                        server = _DroppingServer(service.addresses[index])
                        await server.start()
                        fixture.replicas[index] = server
                    elif kind == "leaves":
                        fixture.replicas[index].faults.is_leaving = True
                config = type(service)(
                    "booking", tuple(addresses), ("POST *",), service.timeout
                )
                budget = _FakeRetryBudget(retries)
                forwarder = fixture.add_router(retry_budget=budget)
                call = make_call(None, method="GET", path="/stock")
                result = await forwarder.forward(config, call)
                assert describe(result) == expected, (kinds, result)
                assert budget.requests == 1


class _DroppingServer:
    """Closes each connection after the first byte of a request."""

    def __init__(self, address):
        self.address = address
        self._socket = None
        self._task = None

    async def start(self):
        self._socket = curio.tcp_server_socket(self.address.host, self.address.port)
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self):
        await self._task.cancel()
        await self._socket.close()

    async def _run(self):
        while True:
            sock, _ = await self._socket.accept()
            async with sock:
                await sock.recv(1)


async def test_failed_and_leaving_replicas_are_avoided():
    """Guards against sending calls to a replica that failed or is being removed."""
    async with OrderFixture() as fixture:
        service = fixture.service
        leaving = set()
        forwarder = fixture.add_router(is_leaving=leaving.__contains__)
        fixture.replicas[0].faults.is_leaving = True
        call = make_call(None, method="GET", path="/stock")
        for _ in range(20):
            assert describe(await forwarder.forward(service, call)) == 200
        assert fixture.replicas[0].calls <= 1
        leaving.update(service.addresses)
        result = await forwarder.forward(service, call)
        assert describe(result) == ("no-route", "not-run")
        result = await forwarder.forward(service, make_call())
        assert describe(result) == ("no-route", "not-run")
        leaving.clear()
        assert describe(await forwarder.forward(service, make_call())) == 201


async def test_no_invariant_was_broken():
    """Guards against a violation that an earlier test did not notice."""
    assert count_violations() == 0


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
