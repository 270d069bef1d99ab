"""Callers that hang up while engines work for them."""

import sys
from collections import Counter

from hibiscustiller.serving.tests.service_bench import ServiceBench, wait_until
from hibiscustiller.standins import MODEL
from hibiscustiller.utils._testing import collect_tests

REQUEST = {"model": MODEL, "prompt": "a", "max_tokens": 1000}


def count_running(bench):
    return sum(engine.running for engine in bench.fleet.engines_by_id.values())


def count_calls(observer, names):
    """Count calls of an observer's methods, which still run."""
    counts = Counter()

    def wrap(name):
        method = getattr(observer, name)

        def call(*args):
            counts[name] += 1
            return method(*args)

        return call

    for name in names:
        setattr(observer, name, wrap(name))
    return counts


async def test_engines_stop_for_a_caller_that_hung_up():
    """Guards against accelerators that work on for nobody, and leaked in-flight counts.

    A whole answer writes nothing until its end, so only the poll can notice.
    """
    for is_streamed in (False, True):
        async with ServiceBench() as bench:
            counts = count_calls(bench.router.loads, ("note_started", "note_finished"))
            body = {**REQUEST, "stream": is_streamed}
            sock = await bench.open_request("/v1/completions", body)
            await wait_until(lambda bench=bench: count_running(bench))
            await sock.close()
            server = bench.router.caller_server
            await wait_until(
                lambda bench=bench, server=server: (
                    not (count_running(bench) or server.busy_count)
                )
            )
            # An answer that ran to its end would be counted.
            assert bench.router.metrics.totals_by_name["requests.answered"] == 0
            assert counts == {"note_started": 1, "note_finished": 1}, counts
            answer = await bench.post("/v1/completions", {**REQUEST, "max_tokens": 3})
            assert answer.status == 200


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
