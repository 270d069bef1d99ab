"""Routers restarted one after the other, or turned away, while the store is down."""

import random
import sys
from dataclasses import replace

import curio

from hibiscustiller.discovery._snapshots import decode_snapshot, encode_snapshot
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
from hibiscustiller.platform import Change, Changes
from hibiscustiller.settings import Address
from hibiscustiller.utils._testing import collect_tests

# A router that starts beside a store in order serves within this time as well.
START_LIMIT_S = 2.5
COUNT = 3


class RestartWorld(World):
    """Some gateways that know each other's addresses beside one store."""

    async def start_gateway(self):
        # Known before the start. No other socket of this machine uses these addresses,
        # and connections of other tests may use any port of the usual one.
        self.inner = [
            Address(f"127.0.7.{n + 1}", find_free_port()) for n in range(COUNT)
        ]
        self.gateways = [await self.start_numbered(number) for number in range(COUNT)]
        self.gateway = self.gateways[0]
        await self.wait_until(lambda: all(g.is_ready for g in self.gateways))

    async def start_numbered(self, number):
        settings = replace(
            make_settings(self.store.address, f"router-{number}"),
            inner=self.inner[number],
            seeds=tuple(self.inner),
        )
        gateway = Gateway(settings, self.clock, random.Random(number), ExposedMetrics())
        await gateway.start()
        return gateway

    async def restart(self, number):
        await self.gateways[number].stop()
        self.gateways[number] = await self.start_numbered(number)

    async def ask(self, number, path="/stock/1", **options):
        front = self.gateways[number].front.address
        sock = await curio.open_connection(front.host, front.port)
        async with sock:
            self.request_count += 1
            name = f"request-{self.request_count}"
            return await exchange(sock, path, request_id=name, **options)

    async def __aexit__(self, *args):
        for gateway in self.gateways[1:]:
            await gateway.stop()
        await self.gateways[0]._inner_server.close()
        await super().__aexit__(*args)


async def test_restarts_during_an_outage_leave_every_router_in_service():
    """Guards against an upgrade that takes the fleet down while the store is away."""
    async with RestartWorld() as world:
        world.store.faults.is_down = True
        for number in range(COUNT):
            await world.restart(number)
            gateway = world.gateways[number]
            await world.wait_until(lambda g=gateway: g.is_ready, START_LIMIT_S)
            answer = await world.ask(number)
            assert (answer.status, answer.body) == (200, b"booked")
        # Each follows the store again when it is back.
        world.store.faults.is_down = False
        world.store.put("op/config", make_document(version=7))
        await world.wait_until(
            lambda: all(g.view.document.version == 7 for g in world.gateways)
        )


async def test_a_restart_takes_the_newest_that_the_others_know():
    """Guards against a withdrawn key, or a server that left, used after a restart."""
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
        await world.wait_until(lambda: world.gateways[1].is_ready, START_LIMIT_S)
        assert world.gateways[1].view.get_server("p0") is None
        assert (await world.ask(1)).status == 401
        assert (await world.ask(1, key="another-key")).status == 200


async def test_a_router_without_store_and_seeds_refuses():
    """Guards against answers under no configuration, and against a crash."""
    async with RestartWorld() as world:
        world.store.faults.is_down = True
        for number in range(COUNT):
            await world.gateways[number].stop()
        for number in range(COUNT):
            world.gateways[number] = await world.start_numbered(number)
        await curio.sleep(START_LIMIT_S)
        assert not any(gateway.is_ready for gateway in world.gateways)
        assert (await world.ask(0)).status == 503
        world.store.faults.is_down = False
        await world.wait_until(lambda: all(g.is_ready for g in world.gateways))


def test_a_snapshot_that_is_cut_off_is_refused():
    """Guards against a router that begins with a part of the keys."""
    snapshot = Changes((Change("a", b"1" * 100, 3), Change("b", b"", 5)), 7)
    data = encode_snapshot(snapshot)
    assert decode_snapshot(data) == snapshot
    for broken in (data[:-3], data[: len(data) // 2], b"", b"x" * 40):
        try:
            decode_snapshot(broken)
        except WireFormatError:
            continue
        raise AssertionError(broken)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
