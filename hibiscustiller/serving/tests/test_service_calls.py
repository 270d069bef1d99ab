"""Calls to plain services through a router: paths, marks and verdicts."""

import sys
from datetime import timedelta

import curio

from hibiscustiller.serving.tests.service_bench import (
    ServiceBench,
    read_error,
    wait_until,
)
from hibiscustiller.utils._testing import collect_tests

BOOK = "/v1/services/booking/bookings"
ORDER = {"quantity": 1}


async def test_paths_that_services_may_fold_are_refused():
    """Guards against a spelling of an order's path that is retried as idempotent."""
    async with ServiceBench() as bench:
        for path in (
            "/v1/services/booking//bookings",
            "/v1/services/booking/./bookings",
            "/v1/services/booking/a/../bookings",
            "/v1/services/booking/%2e%2e/bookings",
            "/v1/services/booking/a/..",
        ):
            answer = await bench.post(path, ORDER)
            assert read_error(answer) == (400, "bad-request", "not-run"), path
        assert bench.booked == 0


async def test_encoded_paths_and_queries_reach_the_service():
    """Guards against a path that cannot be sent and a query that is lost."""
    async with ServiceBench() as bench:
        for path, status in (
            ("/v1/services/booking/%62ookings", 201),
            (f"{BOOK}?a=b%20c", 201),
            ("/v1/services/booking/st%20ock%C3%A4", 404),
        ):
            answer = await bench.post(path, ORDER)
            assert answer.status == status, (path, answer)
            assert answer.headers_by_name["x-repeat"] == "new-order"


async def test_mark_is_checked_and_makes_an_order():
    """Guards against a mark that is ignored, or taken for its opposite."""
    async with ServiceBench() as bench:
        answer = await bench.post(BOOK, ORDER, {"x-idempotent": "maybe"})
        assert read_error(answer) == (400, "bad-request", "not-run")
        for mark in ("true", "false"):
            headers = {"x-idempotent": mark, "idempotency-key": f"key {mark}"}
            answer = await bench.post(BOOK, ORDER, headers)
            # The service's pattern makes it an order in any case.
            assert answer.status == 201 and "x-repeat" not in answer.headers_by_name
        keys = bench.fleet.platform.list_keys()
        assert len([key for key in keys if key.startswith("orders/")]) == 2


async def test_order_is_recorded_although_its_caller_disconnected():
    """Guards against an order in doubt because its caller hung up."""
    async with ServiceBench() as bench:
        bench.delay_bookings(timedelta(seconds=1))
        key = "idempotency-key: gone\r\n"
        sock = await bench.open_request(BOOK, ORDER, key)
        await wait_until(lambda: any(b.calls for b in bench.fleet.bookings))
        await sock.close()
        await wait_until(lambda: not bench.router.caller_server.busy_count)
        assert bench.booked == 0 and bench.router.forwarder.open_count == 1
        await wait_until(lambda: not bench.router.forwarder.open_count)
        answer = await bench.post(BOOK, ORDER, {"idempotency-key": "gone"})
        assert (answer.status, bench.booked) == (201, 1), answer


async def test_shutdown_waits_for_orders_in_flight():
    """Guards against an order cut off by a graceful shutdown."""
    async with ServiceBench() as bench:
        bench.delay_bookings(timedelta(milliseconds=250))
        order = await curio.spawn(bench.post, BOOK, ORDER, {"idempotency-key": "late"})
        await wait_until(lambda: any(b.calls for b in bench.fleet.bookings))
        await bench.router.stop()
        assert (await order.join()).status == 201
        keys = bench.fleet.platform.list_keys()
        claims = [key for key in keys if key.startswith("orders/")]
        assert b'"done"' in bench.fleet.platform.read_value(claims[0])


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
