"""The caller's mark of a completion that must not run twice."""

import sys

import curio

from hibiscustiller.serving.tests.test_callers import (
    read_error,
    start_bench,
    stop_bench,
)
from hibiscustiller.utils._testing import collect_tests


async def test_marked_completion_is_not_run_again():
    """Guards against a second attempt of a completion marked as non-idempotent."""
    bench = await start_bench()
    engines = bench.fleet.engines_by_id.values()
    headers = {"x-idempotent": "false"}
    task = await curio.spawn(lambda: bench.complete("a", 60, headers=headers))
    while not (busy := [engine for engine in engines if engine.running]):
        await curio.sleep(0.01)
    await busy[0].crash()
    answer = await task.join()
    assert read_error(answer) == (502, "backend-failed", "may-have-run")
    assert sum(len(engine.started_streams) for engine in engines) == 1
    answer = await bench.complete("a", 2, headers={"x-idempotent": "perhaps"})
    assert read_error(answer) == (400, "bad-request", "not-run")
    await stop_bench(bench)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
