"""Graceful shutdown: nothing is cut off."""

import sys
from collections import Counter

import curio

from hibiscustiller.exceptions import TransportError
from hibiscustiller.serving.tests.fixtures import read_text, start_bench
from hibiscustiller.standins import MODEL, MODEL_LAYERS, compute_answer
from hibiscustiller.utils import SystemClock, Verdict
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient


async def test_shutdown_cuts_off_no_request():
    """Guards against a host replacement that breaks running or late requests."""
    bench = await start_bench(shutdown_lag="300ms")
    running = await curio.spawn(bench.complete, "a long answer", 200)
    await curio.sleep(0.1)
    stopping = await curio.spawn(bench.router.stop)
    await curio.sleep(0.1)
    assert (await bench.get("/readyz")).status == 503
    assert (await bench.get("/healthz")).status == 200
    # The balancer has not noticed yet and sends one more request.
    late = await bench.complete("sent after the signal", 4)
    assert late.status == 200, late
    await bench.router.stop()
    answer = await running.join()
    expected = compute_answer(MODEL, "1", MODEL_LAYERS, "a long answer", 200)
    assert read_text(answer).split() == expected
    await stopping.join()
    await bench.client.close()
    try:
        await bench.complete()
    except TransportError as error:
        assert error.verdict is Verdict.NOT_RUN
    else:
        raise AssertionError("the listener is still open")
    await bench.close()


async def test_shutdown_under_load_cuts_off_nothing_that_was_read():
    """Guards against requests cut off that had just been accepted, or were kept."""
    bench = await start_bench(shutdown_lag="200ms")
    outcomes = Counter()

    async def call(number):
        """Send one request after the other until the router is gone."""
        while True:
            try:
                answer = await bench.complete(f"caller {number}", 4)
            except TransportError as error:
                outcomes[error.verdict] += 1
                return
            outcomes[answer.status] += 1

    callers = [await curio.spawn(call, number) for number in range(20)]
    await curio.sleep(0.4)
    await bench.router.stop()
    for caller in callers:
        await caller.join()
    await bench.client.close()
    await bench.close()
    assert outcomes[200] > len(callers), outcomes
    # After the listener has closed, what a caller sends has not run.
    assert set(outcomes) <= {200, Verdict.NOT_RUN}, outcomes
    assert outcomes[Verdict.NOT_RUN] == len(callers), outcomes


async def test_shutdown_ends_beside_callers_that_keep_their_connections():
    """Guards against a shutdown that never ends, or that cuts off the last request."""
    bench = await start_bench(shutdown_lag="200ms")
    counts = Counter()
    is_stopped = False

    async def keep_asking():
        client = HttpClient(SystemClock())
        while not is_stopped:
            try:
                answer = await bench.complete("again", 3, client=client)
            except TransportError as error:
                # Only a request that no router took may fail.
                counts[error.verdict] += 1
                await curio.sleep(0.02)
                continue
            counts[answer.status] += 1
        await client.close()

    callers = [await curio.spawn(keep_asking) for _ in range(5)]
    await curio.sleep(0.2)
    async with curio.timeout_after(20):
        await bench.router.stop()
    is_stopped = True
    for caller in callers:
        await caller.join()
    assert counts[200] > 0, counts
    assert set(counts) <= {200, Verdict.NOT_RUN}, counts
    await bench.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
