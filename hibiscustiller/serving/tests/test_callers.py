"""The whole path from a caller to engines and services, over loopback."""

import sys

import curio

from hibiscustiller.serving.tests.fixtures import (
    read_error,
    read_text,
    start_bench,
)
from hibiscustiller.standins import MODEL, MODEL_LAYERS, compute_answer
from hibiscustiller.utils._testing import collect_tests


async def test_whole_answer_matches_the_reference():
    """Guards against layers that are skipped, repeated or run out of order."""
    bench = await start_bench()
    answer = await bench.complete("load the lorry", 6)
    expected = compute_answer(MODEL, "1", MODEL_LAYERS, "load the lorry", 6)
    assert answer.status == 200, answer
    assert read_text(answer).split() == expected
    await bench.close()


async def test_answer_survives_the_death_of_its_stages():
    """Guards against a lost or repeated token when a stage dies in the middle."""
    bench = await start_bench()
    prompt = "cut the north field"
    task = await curio.spawn(bench.complete, prompt, 60)
    for _ in range(2):
        await curio.sleep(0.08)
        busy = [e for e in bench.fleet.engines_by_id.values() if e.running]
        for engine in busy:
            await engine.crash()
    answer = await task.join()
    assert answer.status == 200, answer
    expected = compute_answer(MODEL, "1", MODEL_LAYERS, prompt, 60)
    assert read_text(answer).split() == expected
    await bench.close()


async def test_bad_requests_get_a_clear_error():
    """Guards against malformed requests that reach an engine or hang."""
    bench = await start_bench()
    good = {"model": MODEL, "prompt": "a", "max_tokens": 2}
    cases = [
        ({**good, "model": "none"}, "greens", 404, "unknown-model"),
        ({**good, "model": ["x"]}, "greens", 404, "unknown-model"),
        ({**good, "prompt": ""}, "greens", 400, "bad-request"),
        ({**good, "prompt": 5}, "greens", 400, "bad-request"),
        ({**good, "max_tokens": 0}, "greens", 400, "bad-request"),
        ({**good, "max_tokens": True}, "greens", 400, "bad-request"),
        ({**good, "max_tokens": 10**9}, "greens", 400, "bad-request"),
        ({**good, "stream": "yes"}, "greens", 400, "bad-request"),
        ([], "greens", 400, "bad-request"),
        (good, "nobody", 401, "unauthenticated"),
    ]
    for body, organisation, status, reason in cases:
        answer = await bench.post("/v1/completions", body, organisation)
        assert read_error(answer) == (status, reason, "not-run"), (body, answer)
    started = [e.started_streams for e in bench.fleet.engines_by_id.values()]
    assert not any(started)
    await bench.close()


async def test_repeated_order_is_booked_once():
    """Guards against a second booking when a caller repeats an order."""
    bench = await start_bench()
    headers = {"idempotency-key": "k1"}
    answers = [
        await bench.post(
            "/v1/services/booking/bookings", {"quantity": 1}, headers=headers
        )
        for _ in range(3)
    ]
    assert [answer.status for answer in answers] == [201] * 3
    assert len({answer.body for answer in answers}) == 1
    assert sum(len(b.bookings) for b in bench.fleet.bookings) == 1
    await bench.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
