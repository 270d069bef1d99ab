"""Restarts of routers while the store is down, with and without other routers."""

import random
import sys
from dataclasses import replace
from datetime import timedelta

import curio

from hibiscustiller.discovery._departures import Departure
from hibiscustiller.discovery._snapshots import decode_snapshot, encode_snapshot
from hibiscustiller.discovery._watcher import StateSnapshot
from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.ingress import Gateway
from hibiscustiller.ingress._exposition import ExposedMetrics
from hibiscustiller.ingress.tests.fixtures import (
    World,
    exchange,
    find_free_port,
    make_document,
    make_settings,
)
from hibiscustiller.platform import Change, Changes, Revision
from hibiscustiller.settings import Address
from hibiscustiller.utils._testing import collect_tests

# The same limit holds for a start while the store is available.
MAX_START_TIME_S = 2.5
ROUTER_COUNT = 3


class RestartWorld(World):
    """Several gateways on one store, each with the addresses of all as its seeds."""

    async def start_gateway(self):
        # The addresses must be known before the start, and stay free until then. On
        # 127.0.0.1 a connection of another test may take any port; these addresses are
        # used by no other socket of this machine.
        self.inner_addresses = [
            Address(f"127.0.7.{n + 1}", find_free_port()) for n in range(ROUTER_COUNT)
        ]
        self.gateways = [
            await self.start_numbered_gateway(number) for number in range(ROUTER_COUNT)
        ]
        self.gateway = self.gateways[0]
        await self.wait_until(lambda: all(g.is_ready for g in self.gateways))

    async def start_numbered_gateway(self, number):
        settings = replace(
            make_settings(self.store.address, f"router-{number}"),
            inner=self.inner_addresses[number],
            seeds=tuple(self.inner_addresses),
        )
        gateway = Gateway(settings, self.clock, random.Random(number), ExposedMetrics())
        await gateway.start()
        return gateway

    async def restart(self, number):
        """Stop a gateway and start a new one with the same id and addresses."""
        await self.gateways[number].stop()
        self.gateways[number] = await self.start_numbered_gateway(number)

    async def request_from(self, number, path="/stock/1", **options):
        """Send a request to a gateway on a new connection and read the answer."""
        front = self.gateways[number].front.address
        sock = await curio.open_connection(front.host, front.port)
        async with sock:
            self.request_count += 1
            request_id = f"request-{self.request_count}"
            return await exchange(sock, path, request_id=request_id, **options)

    async def __aexit__(self, *args):
        for gateway in self.gateways[1:]:
            await gateway.stop()
        await super().__aexit__(*args)


async def test_routers_serve_after_restarts_during_a_store_outage():
    """Guards against an upgrade in a store outage that makes the fleet unavailable."""
    async with RestartWorld() as world:
        world.store.faults.is_down = True
        for number in range(ROUTER_COUNT):
            await world.restart(number)
            gateway = world.gateways[number]
            await world.wait_until(lambda g=gateway: g.is_ready, MAX_START_TIME_S)
            answer = await world.request_from(number)
            assert (answer.status, answer.body) == (200, b"booked")
        # Every router follows the store again after the outage.
        world.store.faults.is_down = False
        world.store.put("op/config", make_document(version=7))
        await world.wait_until(
            lambda: all(g.view.document.version == 7 for g in world.gateways)
        )


async def test_restarted_router_reads_the_newest_state_of_the_others():
    """Guards against revoked keys and removed servers that a restart brings back."""
    async with RestartWorld() as world:
        document = make_document(version=3)
        for tenant in document["tenants"]:
            tenant["api_keys"] = ["another-key"]
        world.store.put("op/config", document)
        world.store.delete("servers/p0")
        await world.wait_until(
            lambda: all(
                g.view.document.version == 3 and g.view.get_server("p0") is None
                for g in world.gateways
            )
        )
        world.store.faults.is_down = True
        await world.restart(1)
        await world.wait_until(lambda: world.gateways[1].is_ready, MAX_START_TIME_S)
        assert world.gateways[1].view.get_server("p0") is None
        # The router cannot know whether the key is valid again.
        answer = await world.request_from(1)
        assert answer.status == 503 and answer.headers["x-verdict"] == "not-run"
        assert (await world.request_from(1, key="another-key")).status == 200
        world.store.faults.is_down = False
        await world.wait_until(world.gateways[1].is_current)
        assert (await world.request_from(1)).status == 401
        assert (await world.request_from(1, key="another-key")).status == 200


async def test_routers_without_a_store_or_running_peers_refuse_requests():
    """Guards against routers that serve without a configuration, or end."""
    async with RestartWorld() as world:
        world.store.faults.is_down = True
        for number in range(ROUTER_COUNT):
            await world.gateways[number].stop()
        for number in range(ROUTER_COUNT):
            world.gateways[number] = await world.start_numbered_gateway(number)
        await curio.sleep(MAX_START_TIME_S)
        assert not any(gateway.is_ready for gateway in world.gateways)
        assert (await world.request_from(0)).status == 503
        world.store.faults.is_down = False
        await world.wait_until(lambda: all(g.is_ready for g in world.gateways))


def test_truncated_snapshot_is_rejected():
    """Guards against a router that starts with only a part of the keys."""
    items = (
        Change("a", b"1" * 100, Revision(1, 3)),
        Change("b", b"", Revision(2, 5)),
    )
    snapshot = StateSnapshot(
        Changes(items, Revision(2, 7)), (Departure("p0", 1, 2),), timedelta(seconds=3)
    )
    data = encode_snapshot(snapshot)
    assert decode_snapshot(data) == snapshot
    for invalid_data in (data[:-3], data[: len(data) // 2], b"", b"x" * 40):
        try:
            decode_snapshot(invalid_data)
        except WireFormatError:
            continue
        raise AssertionError(invalid_data)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
