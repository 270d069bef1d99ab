"""Calls to plain services through a router: paths, marks and verdicts."""

import json
import sys

import curio

from hibiscustiller.serving.tests.fixtures import (
    read_error,
    start_bench,
)
from hibiscustiller.standins import ORGANISATION_KEYS_BY_ID
from hibiscustiller.utils._testing import collect_tests

BOOK = "/v1/services/booking/bookings"


def list_claims(bench):
    keys = bench.fleet.platform.list_keys()
    return [key for key in keys if key.startswith("orders/")]


def count_booked(bench):
    return sum(len(booking.bookings) for booking in bench.fleet.bookings)


async def test_paths_that_services_may_fold_are_refused():
    """Guards against a spelling of an order's path that is retried as idempotent."""
    bench = await start_bench()
    for path in (
        "/v1/services/booking//bookings",
        "/v1/services/booking/./bookings",
        "/v1/services/booking/a/../bookings",
        "/v1/services/booking/%2e%2e/bookings",
        "/v1/services/booking/a/..",
    ):
        answer = await bench.post(path, {"quantity": 1})
        assert read_error(answer) == (400, "bad-request", "not-run"), path
    assert count_booked(bench) == 0
    await bench.close()


async def test_encoded_paths_and_queries_reach_the_service():
    """Guards against a path that cannot be sent and a query that is lost."""
    bench = await start_bench()
    for path, status in (
        ("/v1/services/booking/%62ookings", 201),
        (f"{BOOK}?a=b%20c", 201),
        ("/v1/services/booking/st%20ock%C3%A4", 404),
    ):
        answer = await bench.post(path, {"quantity": 1})
        assert answer.status == status, (path, answer)
        assert answer.headers_by_name["x-repeat"] == "new-order"
    await bench.close()


async def test_mark_is_checked_and_makes_an_order():
    """Guards against a mark that is ignored, or taken for its opposite."""
    bench = await start_bench()
    headers = {"x-idempotent": "maybe"}
    answer = await bench.post(BOOK, {"quantity": 1}, headers=headers)
    assert read_error(answer) == (400, "bad-request", "not-run")
    for mark, keys in (("true", 1), ("false", 2)):
        headers = {"x-idempotent": mark, "idempotency-key": f"key {mark}"}
        answer = await bench.post(BOOK, {"quantity": 1}, headers=headers)
        # The service's pattern makes it an order in any case.
        assert answer.status == 201 and "x-repeat" not in answer.headers_by_name
        assert len(list_claims(bench)) == keys
    await bench.close()


async def test_order_is_recorded_although_its_caller_disconnected():
    """Guards against an order in doubt because its caller hung up."""
    bench = await start_bench()
    for booking in bench.fleet.bookings:
        booking.faults.delay = bench.client._connect_timeout
    body = json.dumps({"quantity": 1}, separators=(",", ":")).encode()
    key = ORGANISATION_KEYS_BY_ID["greens"]
    address = bench.router.caller_server.address
    sock = await curio.open_connection(address.host, address.port)
    await sock.sendall(
        f"POST {BOOK} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n"
        f"idempotency-key: gone\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        + body
    )
    await curio.sleep(0.1)
    await sock.close()
    async with curio.timeout_after(5):
        while bench.router.caller_server.busy_count:
            await curio.sleep(0.02)
        assert bench.router.forwarder.open_count == 1
        while bench.router.forwarder.open_count:
            await curio.sleep(0.02)
    headers = {"idempotency-key": "gone"}
    answer = await bench.post(BOOK, {"quantity": 1}, headers=headers)
    assert (answer.status, count_booked(bench)) == (201, 1), answer
    await bench.close()


async def test_shutdown_waits_for_orders_in_flight():
    """Guards against an order cut off by a graceful shutdown."""
    bench = await start_bench()
    for booking in bench.fleet.bookings:
        booking.faults.delay = bench.client._connect_timeout / 4
    headers = {"idempotency-key": "late"}
    order = await curio.spawn(
        lambda: bench.post(BOOK, {"quantity": 1}, headers=headers)
    )
    await curio.sleep(0.05)
    await bench.router.stop()
    assert (await order.join()).status == 201
    keys = list_claims(bench)
    assert b'"done"' in bench.fleet.platform.read_value(keys[0])
    await bench.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
