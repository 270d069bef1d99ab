"""Hundreds of engines change one after the other: how often routers search pipelines.

After a loss of many engines layers are placed anew for half a minute, and every change
of one engine reaches every router of the fleet.
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
from hibiscustiller.layers import EngineLoad
from hibiscustiller.layers.tests.fixtures import SPEC, make_engine
from hibiscustiller.settings import Address
from hibiscustiller.utils import Metrics, SystemClock
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
WHOLE = LayerRange(0, SPEC.layers)
CHANGES = 40
CHANGE_PERIOD_S = 0.05


class SearchCounter(Metrics):
    """Counts the searches by the gauge that each of them sets."""

    def __init__(self):
        super().__init__()
        self.searches = 0

    def gauge(self, name, value):
        self.searches += name.startswith("pipelines.")


class Router:
    """The model services of one router among others, without network."""

    def __init__(self, size, must_be_asked):
        clock = SystemClock()
        self.view = FleetView(clock, 2 * SECOND)
        for number in range(size):
            address = Address("127.0.0.1", 1000 + number)
            self.view.apply_peer(Peer(f"r{number}", address, "north"))
        ranked = self.view.rank_by_capacity("places/north", "north")
        self.router_id = ranked[0] if must_be_asked else ranked[-1]
        self.metrics = SearchCounter()
        self.models = ModelServices(
            self.router_id,
            "north",
            self.view,
            MemoryDatagrams(None, self.router_id, Address("127.0.0.1", 1)),
            EngineLoad(clock),
            ServerHealth(clock, self.view.get_server, lambda is_own: None),
            CrashHistory(self.router_id, clock, self.metrics),
            None,
            None,
            clock,
            random.Random(1),
            self.metrics,
        )
        self.view.subscribe(self.models.request_refresh)
        services = {"engines": ServiceSpec("engines", engine=SPEC)}
        self.view.document = SimpleNamespace(
            services_by_name=MappingProxyType(services)
        )
        for number in range(4):
            self.view.apply_server(make_engine(f"e{number}", "large", layers=WHOLE))

    @property
    def pipeline_count(self):
        return len(self.models.forwarders_by_service["engines"].choice.pipelines)

    async def change_engines(self):
        """Let one engine after the other come; return the searches in a second."""
        task = await curio.spawn(self.models.run)
        await curio.sleep(0.6)
        before = self.metrics.searches
        began_at = await curio.clock()
        for number in range(CHANGES):
            name = f"new{number}"
            self.view.apply_server(make_engine(name, "large", layers=WHOLE))
            await curio.sleep(CHANGE_PERIOD_S)
        await curio.sleep(0.6)
        await task.cancel()
        return (self.metrics.searches - before) / (await curio.clock() - began_at)

    async def time_loss(self):
        """Return the seconds until the pipelines are without a lost engine."""
        task = await curio.spawn(self.models.run)
        await curio.sleep(0.6)
        before = self.pipeline_count
        began_at = await curio.clock()
        engine = self.view.get_server("e1")
        self.view.apply_server(replace(engine, layers=LayerRange(0, 0)))
        while self.pipeline_count == before:
            await curio.sleep(0.005)
        await task.cancel()
        return await curio.clock() - began_at


async def test_routers_that_are_not_asked_search_seldom():
    """Guards against processor time in all routers for each change of an engine."""
    router = Router(195, must_be_asked=False)
    assert 0 < await router.change_engines() <= 5
    assert router.pipeline_count == 4 + CHANGES


async def test_the_router_that_is_asked_follows_each_change():
    """Guards against places at engines that were lost a quarter of a second ago."""
    router = Router(195, must_be_asked=True)
    assert await router.time_loss() < 0.2
    assert await router.change_engines() > 5


async def test_every_router_of_a_small_fleet_follows_each_change():
    """Guards against a delay where each router chooses for itself."""
    assert await Router(7, must_be_asked=False).time_loss() < 0.2


async def test_other_routers_learn_of_a_loss_soon():
    """Guards against a fallback that uses engines lost for long."""
    assert await Router(195, must_be_asked=False).time_loss() < 0.6


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
