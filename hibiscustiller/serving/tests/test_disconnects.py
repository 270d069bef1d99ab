"""Callers that hang up while engines work for them."""

import json
import sys

import curio

from hibiscustiller.serving.tests.fixtures import start_bench
from hibiscustiller.standins import MODEL, ORGANISATION_KEYS_BY_ID
from hibiscustiller.utils import violations_by_name
from hibiscustiller.utils._testing import collect_tests

TOKENS = 1000


async def hang_up(bench, is_streamed):
    """Ask for a long answer and close the connection once engines run."""
    value = {"model": MODEL, "prompt": "a", "max_tokens": TOKENS, "stream": is_streamed}
    body = json.dumps(value).encode()
    key = ORGANISATION_KEYS_BY_ID["greens"]
    address = bench.router.caller_server.address
    sock = await curio.open_connection(address.host, address.port)
    head = (
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\n"
        f"authorization: Bearer {key}\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    await sock.sendall(head.encode() + body)
    async with curio.timeout_after(5):
        while not count_running(bench):
            await curio.sleep(0.01)
    await sock.close()


def count_running(bench):
    return sum(engine.running for engine in bench.fleet.engines_by_id.values())


async def test_engines_stop_for_a_caller_that_hung_up():
    """Guards against accelerators that work on for nobody, and leaked in-flight counts.

    A whole answer writes nothing until its end, so only the poll can notice.
    """
    for is_streamed in (False, True):
        bench = await start_bench()
        await hang_up(bench, is_streamed)
        async with curio.timeout_after(30):
            while count_running(bench) or bench.router.caller_server.busy_count:
                await curio.sleep(0.01)
        # An answer that ran to its end would be counted.
        assert bench.router.metrics.totals_by_name["requests.answered"] == 0
        loads = bench.router.loads
        servers = bench.router.configuration.config.servers_by_id
        assert not any(loads.count_own_streams(server) for server in servers)
        assert not violations_by_name, violations_by_name
        answer = await bench.complete("a b", 3)
        assert answer.status == 200
        await bench.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
