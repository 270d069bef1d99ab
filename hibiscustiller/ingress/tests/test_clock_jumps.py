"""A host whose time of day jumps while its steady clock keeps running."""

import sys
from datetime import timedelta

import curio

from hibiscustiller.ingress.tests.fixtures import World, make_document
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests

# Far beyond every timeout, lease and drain time, in both directions.
JUMPS_S = (30, -60, 3600, -3600, 30)


class JumpingClock(SystemClock):
    """The system's clock with a time of day that a test moves."""

    def __init__(self):
        self.offset = timedelta(0)

    def now(self):
        return super().now() + self.offset


class JumpingWorld(World):
    """A world whose gateways, but not the store, have a jumping time of day."""

    def __init__(self):
        super().__init__()
        self.clock = JumpingClock()


async def test_no_decision_depends_on_the_time_of_day():
    """Guards against refusals, a lost control lease or an old document after a jump."""
    async with JumpingWorld() as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(2)
        gateway = world.gateway
        await world.wait_until(lambda: gateway._control_lease.term is not None)
        fence = gateway._control_lease.term.fence
        for number, jump_s in enumerate(JUMPS_S):
            world.clock.offset += timedelta(seconds=jump_s)
            for path in ("/chat/1", "/once/1", "/book/1", "/stock/1"):
                answer = await world.request(path)
                assert (answer.status, answer.is_complete) == (200, True), answer
            version = number + 2
            world.store.put("op/config", make_document(version))
            await world.wait_until(
                lambda version=version: gateway.view.document.version == version
            )
            # The lease is renewed within this time; its margin by the time of day is
            # judged from the latest renewal.
            await curio.sleep(0.8)
            term = gateway._control_lease.term
            assert term is not None and term.fence == fence
            assert gateway._control_lease.has_margin(term)
            assert not gateway._health.list_unreachable()
        assert len(gateway.view.list_servers("engines")) == 2
        assert len(gateway.view.list_servers("orders")) == 2


async def test_a_time_of_day_set_back_does_not_prolong_the_control_lease():
    """Guards against orders after the lease has expired, while another router acts."""
    async with JumpingWorld() as world:
        gateway = world.gateway
        await world.wait_until(lambda: gateway._control_lease.term is not None)
        term = gateway._control_lease.term
        world.clock.offset -= timedelta(hours=1)
        term.valid_until = world.clock.monotonic()
        assert not gateway._control_lease.has_margin(term)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
