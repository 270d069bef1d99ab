"""Entries that another writer left in the store, beside those in use."""

import json
import sys

import curio

from hibiscustiller.ingress.tests.fixtures import World, make_document
from hibiscustiller.utils._testing import collect_tests

NESTED = b"[" * 100_000 + b"]" * 100_000
PREFIXES = ("servers/odd", "routers/odd", "other/odd", "control/odd", "odd")


def make_odd_entries():
    """Return the bytes of entries that name no usable server or router."""
    server = {"service": "orders", "zone": "north", "slots": 6, "state": "ready"}
    router = {"address": "127.0.0.1:9", "domain": "north", "capacity": 1.0}
    odd = [NESTED, b'{"a":' * 50_000 + b"1" + b"}" * 50_000, b"\xff\x00", b"7", b'"a"']
    for address in (
        '"127.0.0.1:70000"',
        '"127.0.0.1:0"',
        '"[::1"',
        "7",
        "[[]]",
        "null",
    ):
        for base in (server, router):
            text = json.dumps({**base, "address": "ODD"})
            odd.append(text.replace('"ODD"', address).encode())
    for number in ("1" * 400, "1" * 5000, "1e999", "-1", "NaN", "[]"):
        for base, field in ((server, "slots"), (server, "born"), (router, "capacity")):
            text = json.dumps({"address": "127.0.0.1:9", **base, field: "ODD"})
            odd.append(text.replace('"ODD"', number).encode())
    return odd


async def test_requests_are_served_beside_odd_entries():
    """Guards against one odd entry that ends routers, or their watch of the list.

    Routers watch the list while the entries come, and start while they are there.
    """
    async with World(("e0",), ("north",)) as world:
        world.hold_all_layers(*world.engines)
        await world.wait_for_pipelines(1)
        for prefix in PREFIXES:
            for number, data in enumerate(make_odd_entries()):
                world.store.put(f"{prefix}-{number}", data)
        other = await world.start_other("router-2")
        # Later changes of the list are followed.
        world.plain[0].write_entry("draining")
        world.store.put("op/config", make_document(version=2))
        for gateway in (world.gateway, other):
            await world.wait_until(
                lambda gateway=gateway: (
                    gateway.describe()["document_version"] == 2
                    and [s.id for s in gateway.view.list_servers("orders")] == ["p1"]
                )
            )
            for path in ("/stock/1", "/book/1", "/chat/1"):
                answer = await world.request(path, gateway)
                assert answer.status == 200 and answer.is_complete, path


async def test_an_odd_configuration_leaves_the_last_one_in_force():
    """Guards against a configuration that ends the watch of the store."""
    async with World((), ()) as world:
        document = json.dumps({**make_document(), "version": "ODD"})
        for odd in (b"1e999", b"1" * 5000, NESTED, b"[]"):
            world.store.put("op/config", document.encode().replace(b'"ODD"', odd))
            await curio.sleep(0.1)
            assert (await world.request("/stock/1")).status == 200
        world.store.put("op/config", make_document(version=3))
        await world.wait_until(
            lambda: world.gateway.describe()["document_version"] == 3
        )


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
