"""Calls to plain services: orders at most once, other calls with retries."""

import sys
from dataclasses import replace
from datetime import timedelta

import curio
from result import Ok

from hibiscustiller.orders import make_claim_key, make_repeat_headers
from hibiscustiller.orders.tests._bench import (
    Bench,
    count_violations,
    describe,
    make_call,
)
from hibiscustiller.settings import Address
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

KEY = make_claim_key("greens", "k1")
IN_PROGRESS = ("order-in-progress", "may-have-run")
NO_STORE = ("store-unavailable", "not-run")
FAILED = ("backend-failed", "may-have-run")
# Accepts connections on no port of this machine.
CLOSED = Address("127.0.0.1", 1)

# Fault at the store while an order arrives, the first answer, the answer to a repeat at
# another router once the fault is over, and how often the order may be booked by then.
STORE_FAULTS = [
    ({}, 201, 201),
    ({"is_down": True}, NO_STORE, 201),
    ({"delay": timedelta(milliseconds=250)}, NO_STORE, 201),
    ({"lost_answers": 1}, 201, 201),
    ({"lost_answers": 2}, 201, 201),
    ({"late_writes": 1}, 201, 201),
    ({"late_writes": 2}, 201, 201),
    ({"late_writes": 9, "late_delay": timedelta(milliseconds=80)}, NO_STORE, 201),
    ({"truncated_answers": 1}, 201, 201),
    ({"garbage_answers": 1}, 201, 201),
    ({"wrong_statuses": 1}, 201, 201),
    ({"garbage_answers": 2}, NO_STORE, 201),
    ({"lost_answers": 1, "wrong_statuses": 1}, NO_STORE, 201),
]

# Fault at the booking service, first answer, answer to a repeat, bookings.
BOOKING_FAULTS = [
    ({"drops_after": True}, FAILED, IN_PROGRESS, 1),
    ({"drops_before": True}, FAILED, IN_PROGRESS, 0),
    (
        {"delay": timedelta(milliseconds=600)},
        ("backend-timeout", "may-have-run"),
        IN_PROGRESS,
        # The stand-in goes on after the router has given up.
        None,
    ),
    ({"is_leaving": True}, 503, 503, 0),
    ({"answer_bytes": 800_000}, 201, 201, 1),
]


async def settle(bench):
    """Wait for late writes and for background writes."""
    await curio.sleep(0.1)
    for forwarder in bench.forwarders:
        await curio.timeout_after(20, forwarder.drain())


async def warm_up(bench, *forwarders):
    """Take the lease, so that a counted fault hits the claim."""
    for index, forwarder in enumerate(forwarders):
        sent = await forwarder.forward(bench.service, make_call(f"warm-{index}"))
        assert isinstance(sent, Ok)


async def test_store_faults_never_book_twice_and_never_claim_a_false_not_run():
    """Guards against a second booking and a stuck order after any store fault."""
    for faults, first, second in STORE_FAULTS:
        async with Bench() as bench:
            one, two = bench.add_router(), bench.add_router()
            await warm_up(bench, one, two)
            bench.set_store_faults(**faults)
            sent = await one.forward(bench.service, make_call())
            assert describe(sent) == first, (faults, sent)
            assert bench.count_booked("k1") == (1 if isinstance(sent, Ok) else 0)
            calm = {"is_down": False, "delay": timedelta(0), "late_writes": 0}
            counted = ("lost_answers", "garbage_answers", "wrong_statuses")
            bench.set_store_faults(**calm, **dict.fromkeys(counted, 0))
            await settle(bench)
            repeat = await two.forward(bench.service, make_call())
            assert describe(repeat) == second, (faults, repeat)
            assert bench.count_booked("k1") == 1, faults
            if isinstance(sent, Ok):
                assert repeat == sent


async def test_booking_faults_get_the_right_verdict():
    """Guards against a resend or a false not-run after the first byte has left."""
    for faults, first, second, booked in BOOKING_FAULTS:
        async with Bench() as bench:
            one, two = bench.add_router(), bench.add_router()
            bench.set_booking_faults(**faults)
            sent = await one.forward(bench.service, make_call())
            assert describe(sent) == first, (faults, sent)
            bench.set_booking_faults(
                drops_after=False, drops_before=False, is_leaving=False
            )
            repeat = await two.forward(bench.service, make_call())
            assert describe(repeat) == second, (faults, repeat)
            assert bench.count_booked("k1") in ((0, 1) if booked is None else (booked,))
            assert sum(booking.calls for booking in bench.bookings) == 1, faults


async def test_large_outcome_is_replaced_by_a_note():
    """Guards against an order that is sent again because its answer was not kept."""
    async with Bench() as bench:
        bench.set_booking_faults(answer_bytes=800_000)
        forwarder = bench.add_router()
        await forwarder.forward(bench.service, make_call())
        repeat = (await forwarder.forward(bench.service, make_call())).ok_value
        assert (
            repeat.is_placeholder and repeat.status == 201 and len(repeat.body) < 1000
        )
        assert bench.booked == 1


async def test_unsent_order_is_released_for_a_repeat():
    """Guards against a claim that blocks an order of which no byte was sent."""
    async with Bench() as bench:
        forwarder = bench.add_router()
        service = bench.service
        closed = type(service)("booking", (CLOSED,), ("POST *",), service.timeout)
        sent = await forwarder.forward(closed, make_call())
        assert describe(sent) == ("backend-failed", "not-run")
        repeat = await bench.add_router().forward(service, make_call())
        assert describe(repeat) == 201 and bench.booked == 1


async def test_claims_of_other_orders_are_respected():
    """Guards against sending an order over a claim that is foreign or unreadable."""
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
        async with Bench() as bench:
            forwarder = bench.add_router()
            await forwarder._ledger._store.compare_and_swap(KEY, value, 0)
            sent = await forwarder.forward(bench.service, make_call())
            assert describe(sent)[: len(expected)] == expected, (value, sent)
            assert bench.booked == 0


async def test_other_body_under_the_same_key_is_refused():
    """Guards against a replayed answer that belongs to another order."""
    async with Bench() as bench:
        forwarder = bench.add_router()
        await forwarder.forward(bench.service, make_call())
        sent = await forwarder.forward(bench.service, make_call(quantity=2))
        assert describe(sent) == ("idempotency-key-reused", "not-run")
        other = replace(bench.service, name="another")
        sent = await forwarder.forward(other, make_call())
        assert describe(sent) == ("idempotency-key-reused", "not-run")
        assert bench.booked == 1


async def test_racing_routers_book_once():
    """Guards against two routers that send the same order at the same time."""
    async with Bench() as bench:
        bench.set_booking_faults(delay=timedelta(milliseconds=20))
        routers = [bench.add_router() for _ in range(4)]
        tasks = [
            await curio.spawn(router.forward, bench.service, make_call())
            for router in routers
        ]
        answers = [describe(await task.join()) for task in tasks]
        assert sorted(map(str, answers)) == sorted(
            map(str, [201, IN_PROGRESS, IN_PROGRESS, IN_PROGRESS])
        )
        assert bench.booked == 1


async def test_order_goes_on_when_its_caller_is_gone():
    """Guards against a lost outcome when the caller disconnects during the send."""
    async with Bench() as bench:
        bench.set_booking_faults(delay=timedelta(milliseconds=50))
        forwarder = bench.add_router()
        caller = await curio.spawn(forwarder.forward, bench.service, make_call())
        await curio.sleep(0.03)
        await caller.cancel()
        await settle(bench)
        repeat = await bench.add_router().forward(bench.service, make_call())
        assert describe(repeat) == 201 and bench.booked == 1


async def test_outcome_survives_a_store_outage():
    """Guards against an outcome lost because the store failed after the send."""
    async with Bench() as bench:
        bench.set_booking_faults(delay=timedelta(milliseconds=50))
        forwarder = bench.add_router()
        await warm_up(bench, forwarder)
        caller = await curio.spawn(forwarder.forward, bench.service, make_call())
        await curio.sleep(0.03)
        bench.set_store_faults(is_down=True)
        sent = await caller.join()
        assert describe(sent) == 201 and forwarder.open_count == 1
        bench.set_store_faults(is_down=False)
        await settle(bench)
        assert await bench.add_router().forward(bench.service, make_call()) == sent


class _PausingClient(HttpClient):
    """Runs a hook between the claim and the first byte of an order."""

    def __init__(self, clock, hook):
        super().__init__(clock)
        self._hook = hook

    async def request(self, address, method, target, **options):
        if options.get("before_send") is not None:
            await self._hook()
        return await super().request(address, method, target, **options)


async def test_paused_claimant_checks_its_claim():
    """Guards against a send after a pause in which the claim was lost and retaken."""
    for is_retaken, expected in ((False, 201), (True, NO_STORE)):
        async with Bench() as bench:
            pauses = [timedelta(seconds=6)]
            other = bench.add_router()

            async def pause(
                bench=bench, pauses=pauses, other=other, is_retaken=is_retaken
            ):
                if not pauses:
                    return
                bench.clock.shift += pauses.pop()
                if is_retaken:
                    bench.store_clock.shift = timedelta(hours=26)
                    sent = await other.forward(bench.service, make_call())
                    assert describe(sent) == 201

            paused = bench.add_router(client=_PausingClient(bench.clock, pause))
            sent = await paused.forward(bench.service, make_call())
            assert describe(sent) == expected, sent
            assert bench.booked == 1


async def test_outcome_is_written_again_after_a_restored_backup():
    """Guards against a repeat that is sent because the store lost the claim."""
    async with Bench() as bench:
        forwarder = bench.add_router()
        await warm_up(bench, forwarder)
        backup = bench.platform.take_backup()
        bench.set_booking_faults(delay=timedelta(milliseconds=50))
        caller = await curio.spawn(forwarder.forward, bench.service, make_call())
        await curio.sleep(0.03)
        bench.platform.restore_backup(backup)
        sent = await caller.join()
        await settle(bench)
        assert await bench.add_router().forward(bench.service, make_call()) == sent
        assert bench.count_booked("k1") == 1


async def test_claims_are_kept_for_a_day():
    """Guards against claims under a lease that is too old or no longer exists."""
    async with Bench() as bench:
        forwarder = bench.add_router()
        for index, minutes in enumerate((0, 50, 56, 57, 26 * 60)):
            bench.clock.shift = bench.store_clock.shift = timedelta(minutes=minutes)
            sent = await forwarder.forward(bench.service, make_call(f"k{index}"))
            assert describe(sent) == 201, (minutes, sent)
        assert bench.platform.calls_by_kind["/v3/lease/grant"] == 3
        # The store alone goes forward and forgets the lease in use.
        bench.store_clock.shift += timedelta(hours=26)
        sent = await forwarder.forward(bench.service, make_call("after expiry"))
        assert describe(sent) == 201
        assert bench.platform.calls_by_kind["/v3/lease/grant"] == 4
        bench.store_clock.shift += timedelta(hours=26)
        await curio.sleep(0.1)
        assert bench.platform.list_keys() == []


async def test_claims_are_limited():
    """Guards against orders that overload the store, and an unclear refusal."""
    async with Bench() as bench:
        forwarder = bench.add_router(count_routers=lambda: 1000)
        answers = [
            await forwarder.forward(bench.service, make_call(f"k{index}"))
            for index in range(6)
        ]
        assert [describe(sent) for sent in answers[:5]] == [201] * 5
        refusal = answers[5].err_value
        assert describe(answers[5]) == ("overloaded", "not-run")
        assert timedelta(0) < refusal.retry_after <= timedelta(seconds=10)
        bench.clock.shift += refusal.retry_after
        sent = await forwarder.forward(bench.service, make_call("k5"))
        assert describe(sent) == 201


class _HostLost(Exception):
    """Stands for the loss of a router's host at one step."""


class _LossyStore:
    """Loses the host before or after the store's n-th call."""

    def __init__(self, store, step, is_after):
        self._store = store
        self._step = step
        self._is_after = is_after

    def __getattr__(self, name):
        method = getattr(self._store, name)

        async def call(*args):
            self._step -= 1
            if self._step == 0 and not self._is_after:
                raise _HostLost
            value = await method(*args)
            if self._step == 0:
                raise _HostLost
            return value

        return call


async def test_host_loss_at_every_step_never_books_twice():
    """Guards against a second booking after the loss of the host that sent it."""
    # Steps: the lease's grant, the claim, the outcome.
    expected_by_step = {
        (1, False): (201, 1),
        (1, True): (201, 1),
        (2, False): (201, 1),
        (2, True): (IN_PROGRESS, 0),
        (3, False): (IN_PROGRESS, 1),
        (3, True): (201, 1),
    }
    for (step, is_after), (answer, booked) in expected_by_step.items():
        async with Bench() as bench:

            def wrap(store, step=step, is_after=is_after):
                return _LossyStore(store, step, is_after)

            lost = bench.add_router(wrap_store=wrap)
            try:
                await lost.forward(bench.service, make_call())
                raise AssertionError("the host was not lost")
            except _HostLost:
                pass
            repeat = await bench.add_router().forward(bench.service, make_call())
            assert (describe(repeat), bench.booked) == (answer, booked), step


async def test_calls_marked_non_idempotent_are_orders():
    """Guards against a repeat of a call that the caller marked non-idempotent."""
    async with Bench() as bench:
        forwarder = bench.add_router()
        for key in ("k1", None):
            call = make_call(
                key, method="GET", path="/stock", is_marked_non_idempotent=True
            )
            bench.set_booking_faults(is_leaving=True)
            before = sum(booking.calls for booking in bench.bookings)
            sent = await forwarder.forward(bench.service, call)
            assert describe(sent) == 503
            assert sum(booking.calls for booking in bench.bookings) == before + 1
            headers = {} if key else {"x-repeat": "new-order"}
            assert make_repeat_headers(bench.service, call) == headers
        assert bench.platform.list_keys() == [KEY]


async def test_unkeyed_order_is_sent_once_without_the_store():
    """Guards against a resend of an order without a key, and against its silence."""
    async with Bench() as bench:
        bench.set_store_faults(is_down=True)
        bench.set_booking_faults(drops_after=True)
        sent = await bench.add_router().forward(bench.service, make_call(None))
        assert describe(sent) == FAILED and bench.booked == 1
        assert "a repeat without Idempotency-Key is a new order" in str(sent)


class _Budget:
    def __init__(self, retries):
        self.requests = 0
        self.retries = retries

    def note_request(self):
        self.requests += 1

    def try_spend(self):
        self.retries -= 1
        return self.retries >= 0


# Replicas ('closed', 'drops', 'leaves', 'works'), retries left, answer.
IDEMPOTENT_CASES = [
    (("works", "works"), 0, 200),
    (("closed", "closed"), 5, ("backend-failed", "not-run")),
    (("closed", "drops"), 5, FAILED),
    (("drops", "drops"), 5, FAILED),
    (("leaves", "leaves"), 5, 503),
    (("leaves", "closed"), 5, 503),
    (("leaves", "drops"), 5, FAILED),
    (("drops", "works"), 5, 200),
    (("leaves", "works"), 5, 200),
    (("closed", "works"), 5, 200),
    (("closed", "closed"), 0, ("backend-failed", "not-run")),
    (("drops", "drops"), 0, FAILED),
]


async def test_idempotent_calls_are_retried_with_the_right_verdict():
    """Guards against a call given up too early and a verdict of one attempt only."""
    for kinds, retries, expected in IDEMPOTENT_CASES:
        for _ in range(3):
            async with Bench() as bench:
                service = bench.service
                addresses = list(service.addresses)
                for index, kind in enumerate(kinds):
                    if kind == "closed":
                        addresses[index] = CLOSED
                    elif kind == "drops":
                        await bench.bookings[index].server.close()
                        server = _DroppingServer(service.addresses[index])
                        await server.start()
                        bench.bookings[index] = server
                    elif kind == "leaves":
                        bench.bookings[index].faults.is_leaving = True
                config = type(service)(
                    "booking", tuple(addresses), ("POST *",), service.timeout
                )
                budget = _Budget(retries)
                forwarder = bench.add_router(retry_budget=budget)
                call = make_call(None, method="GET", path="/stock")
                sent = await forwarder.forward(config, call)
                assert describe(sent) == expected, (kinds, sent)
                assert budget.requests == 1


class _DroppingServer:
    """Closes each connection once a request has begun to arrive."""

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
    """Guards against calls that keep going to a replica that failed or is leaving."""
    async with Bench() as bench:
        service = bench.service
        leaving = set()
        forwarder = bench.add_router(is_leaving=leaving.__contains__)
        bench.bookings[0].faults.is_leaving = True
        call = make_call(None, method="GET", path="/stock")
        for _ in range(20):
            assert describe(await forwarder.forward(service, call)) == 200
        assert bench.bookings[0].calls <= 1
        leaving.update(service.addresses)
        sent = await forwarder.forward(service, call)
        assert describe(sent) == ("no-route", "not-run")
        sent = await forwarder.forward(service, make_call())
        assert describe(sent) == ("no-route", "not-run")
        leaving.clear()
        assert describe(await forwarder.forward(service, make_call())) == 201


async def test_no_invariant_was_broken():
    """Guards against a violation that a test above overlooked."""
    assert count_violations() == 0


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
