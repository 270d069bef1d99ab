"""The bounds that follow from the settings of a host."""

import sys

from hypothesis import given
from hypothesis import strategies as st

from hibiscustiller.ingress._process_limits import derive_process_limits
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import count_descriptors

MB = 1_000_000


def test_the_smallest_hosts_keep_their_connections():
    """Guards against callers that are refused on hosts which served them before."""
    limits = derive_process_limits(200 * MB, 4100)
    assert limits.front_connections >= 3000
    assert limits.inner_connections == 600
    assert limits.readiness_connections == 64
    assert limits.inspection_connections == 16


@given(memory_mb=st.integers(80, 4000), max_fds=st.integers(200, 100_000))
def test_the_parts_stay_within_the_whole(memory_mb, max_fds):
    """Guards against parts that together exceed what the platform allows."""
    limits = derive_process_limits(memory_mb * MB, max_fds)
    connections = (
        limits.front_connections,
        limits.inner_connections,
        limits.readiness_connections,
        limits.inspection_connections,
    )
    outgoing = limits.front_outgoing_fds, limits.inner_outgoing_fds, limits.other_fds
    assert min(*connections, *outgoing[:2]) >= 0
    assert sum(map(count_descriptors, connections)) + sum(outgoing) == max_fds
    memory = limits.answer_bytes + limits.request_bytes + limits.connection_bytes
    # A fifth is taken at rest.
    assert memory <= 0.8 * memory_mb * MB


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
