"""The whole path from a caller to engines and services, over loopback."""

import json
import random
import sys
from datetime import timedelta

import curio

from hibiscustiller.cli._demo import make_demo_settings
from hibiscustiller.serving import Router
from hibiscustiller.standins import (
    MODEL,
    MODEL_LAYERS,
    ORGANISATION_KEYS_BY_ID,
    compute_answer,
    start_fleet,
)
from hibiscustiller.utils import Metrics, Revision, SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient

TIMEOUT = timedelta(seconds=10)


class _Bench:
    def __init__(self, fleet, router, client):
        self.fleet = fleet
        self.router = router
        self.client = client

    async def complete(self, prompt="a b c", max_tokens=6, **options):
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        return await self.post("/v1/completions", body, **options)

    async def post(self, path, body, organisation="greens", headers=None):
        key = ORGANISATION_KEYS_BY_ID.get(organisation, "wrong")
        return await self.client.request_json(
            self.router.caller_server.address,
            "POST",
            path,
            body,
            timeout=TIMEOUT,
            headers={"authorization": f"Bearer {key}", **(headers or {})},
        )


async def start_bench():
    clock = SystemClock()
    fleet = await start_fleet(clock)
    settings = make_demo_settings(fleet.platform.address)
    router = Router(settings, clock, random.Random(7), Metrics())
    router.install_document(fleet.document, Revision(1))
    await router.start()
    return _Bench(fleet, router, HttpClient(clock))


async def stop_bench(bench):
    await bench.client.close()
    await bench.router.stop()
    await bench.fleet.close()


def read_text(answer):
    return json.loads(answer.body)["choices"][0]["text"]


def read_error(answer):
    error = json.loads(answer.body)["error"]
    assert answer.headers_by_name["x-verdict"] == error["verdict"]
    return answer.status, error["reason"], error["verdict"]


async def test_whole_answer_matches_the_reference():
    """Guards against layers that are skipped, repeated or run out of order."""
    bench = await start_bench()
    answer = await bench.complete("load the lorry", 6)
    expected = compute_answer(MODEL, "1", MODEL_LAYERS, "load the lorry", 6)
    assert answer.status == 200, answer
    assert read_text(answer).split() == expected
    await stop_bench(bench)


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
    await stop_bench(bench)


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
    await stop_bench(bench)


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
    await stop_bench(bench)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
