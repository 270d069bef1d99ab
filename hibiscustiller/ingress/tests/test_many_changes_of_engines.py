"""Frequency of pipeline searches while hundreds of engines change in succession.

After the loss of many engines, layers are placed again for half a minute, and every
router of the fleet receives every change of an engine.
"""

import random
import sys
from dataclasses import replace
from datetime import timedelta
from types import MappingProxyType, SimpleNamespace

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.discovery.tests.fixtures import MemoryDatagrams
from hibiscustiller.fleet import LayerRange, ServiceSpec
from hibiscustiller.ingress._crash_history import CrashHistory
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.ingress._model_services import ModelServices
from hibiscustiller.ingress._part_history import PartHistory
from hibiscustiller.layers import EngineLoad
from hibiscustiller.layers.tests.fixtures import SPEC, make_engine
from hibiscustiller.settings import Address
from hibiscustiller.utils import Metrics, SystemClock
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
ALL_LAYERS = LayerRange(0, SPEC.layers)
CHANGE_COUNT = 40
CHANGE_PERIOD_S = 0.05


class SearchCounter(Metrics):
    """Metrics that count pipeline searches: each search sets one gauge."""

    def __init__(self):
        super().__init__()
        self.search_count = 0

    def gauge(self, name, value):
        self.search_count += name.startswith("pipelines.")


class Router:
    """The model services of one router of a fleet, without a network.

    :param router_count: number of routers in the fleet.
    :param is_allocator: whether this router is the first that the others ask for places
        in its domain, if the fleet is large enough to have allocators.
    """

    def __init__(self, router_count, is_allocator):
        clock = SystemClock()
        self.view = FleetView(clock, 2 * SECOND)
        for number in range(router_count):
            address = Address("127.0.0.1", 1000 + number)
            self.view.apply_peer(Peer(f"r{number}", address, "north"))
        ranked = self.view.rank_by_capacity("places/north", "north")
        self.router_id = ranked[0] if is_allocator else ranked[-1]
        self.metrics = SearchCounter()
        self.models = ModelServices(
            self.router_id,
            "north",
            self.view,
            MemoryDatagrams(None, self.router_id, Address("127.0.0.1", 1)),
            EngineLoad(clock),
            ServerHealth(clock, self.view.get_server, lambda is_own_finding: None),
            CrashHistory(self.router_id, clock, self.metrics),
            PartHistory(clock, self.metrics),
            None,
            None,
            None,
            None,
            clock,
            random.Random(1),
            self.metrics,
            None,
        )
        self.view.subscribe(self.models.request_refresh)
        services = {"engines": ServiceSpec("engines", engine=SPEC)}
        self.view.document = SimpleNamespace(
            services_by_name=MappingProxyType(services)
        )
        for number in range(4):
            self.view.apply_server(
                make_engine(f"e{number}", "large", layers=ALL_LAYERS)
            )

    @property
    def pipeline_count(self):
        return len(self.models.forwarders_by_service["engines"].selector.pipelines)

    async def measure_search_rate(self):
        """Add engines one after the other.

        :returns: pipeline searches per second.
        """
        task = await curio.spawn(self.models.run)
        await curio.sleep(0.6)
        count_before = self.metrics.search_count
        started_at = await curio.clock()
        for number in range(CHANGE_COUNT):
            name = f"new{number}"
            self.view.apply_server(make_engine(name, "large", layers=ALL_LAYERS))
            await curio.sleep(CHANGE_PERIOD_S)
        await curio.sleep(0.6)
        await task.cancel()
        return (self.metrics.search_count - count_before) / (
            await curio.clock() - started_at
        )

    async def measure_loss_delay(self):
        """Remove the layers of an engine.

        :returns: time until the pipelines no longer contain the engine, in seconds.
        """
        task = await curio.spawn(self.models.run)
        await curio.sleep(0.6)
        count_before = self.pipeline_count
        started_at = await curio.clock()
        engine = self.view.get_server("e1")
        self.view.apply_server(replace(engine, layers=LayerRange(0, 0)))
        while self.pipeline_count == count_before:
            await curio.sleep(0.005)
        await task.cancel()
        return await curio.clock() - started_at


async def test_other_routers_limit_their_search_rate():
    """Guards against CPU time that every router spends on each change of an engine."""
    router = Router(195, is_allocator=False)
    assert 0 < await router.measure_search_rate() <= 5
    assert router.pipeline_count == 4 + CHANGE_COUNT


async def test_allocator_searches_after_each_change():
    """Guards against places on engines that were lost a quarter of a second before."""
    router = Router(195, is_allocator=True)
    assert await router.measure_loss_delay() < 0.2
    assert await router.measure_search_rate() > 5


async def test_every_router_of_a_small_fleet_searches_after_each_change():
    """Guards against a delay in small fleets, where each router selects pipelines."""
    assert await Router(7, is_allocator=False).measure_loss_delay() < 0.2


async def test_other_routers_exclude_a_lost_engine_in_time():
    """Guards against fallback pipelines with engines that were lost long before."""
    assert await Router(195, is_allocator=False).measure_loss_delay() < 0.6


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
