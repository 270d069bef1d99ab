"""Short soak runs, and each seed that has failed before."""

import shutil
import sys

import curio

from hibiscustiller.ingress.tests.soak import Soak
from hibiscustiller.utils._testing import collect_tests

_SILENCE_FAULTS = (
    "servers-silent",
    "engine-full",
    "configuration-changed",
    "daemon-reloaded",
    "daemon-stopped",
)
# Seeds and their faults: one run with all faults, one with faults that interrupt orders
# in progress, one with planned operations only, which must lose no answer, and one with
# requests that crash servers (incident BUDGET), and one with parts of prompts that do,
# together with faults by which daemons lose or miss crash records, and one with servers
# that name limits (incident LIMIT) or say that they leave, and one with a store that is
# restored from a copy some seconds old (incident CONFIG), and one in which servers are
# only silent or full, beside planned operations (incident LOST).
_RUNS = (
    (101, None),
    (102, ("server-killed", "link-reset", "daemon-stopped")),
    (103, ("daemon-stopped", "daemon-reloaded", "configuration-changed")),
    (104, ("request-crashes-servers", "daemon-killed", "store-refused-one")),
    (105, ("part-crashes-servers", "daemon-killed", "link-reset")),
    (106, ("server-limited", "server-leaves", "daemon-killed")),
    (107, ("store-restored", "configuration-changed", "daemon-killed")),
    (108, _SILENCE_FAULTS),
)
_FAULTS_LENGTH_S = 5.0


async def _run(seed, length_s, fault_names):
    soak = Soak(seed, length_s, fault_names)
    result = await soak.run()
    assert not result.problems, f"{result.problems}; logs in {result.directory}"
    shutil.rmtree(result.directory)
    return result


async def test_guarantees_hold_under_external_faults():
    """Guards against guarantees that hold only within one process."""
    for seed, fault_names in _RUNS:
        result = await _run(seed, _FAULTS_LENGTH_S, fault_names)
        served = sum(n for (_, status), n in result.calls.items() if status == 200)
        # A run in which hardly any request is served checks nothing.
        assert served > 100, result.calls
        assert sum(result.faults.values()) >= 3, result.faults
        await curio.sleep(0)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
