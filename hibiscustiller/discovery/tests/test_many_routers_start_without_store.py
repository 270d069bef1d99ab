"""Starts of a large fleet while the store is away, from few routers' snapshots."""

import random
import sys
from contextlib import AsyncExitStack
from datetime import timedelta
from types import SimpleNamespace

import curio

from hibiscustiller.discovery import SnapshotExchange
from hibiscustiller.discovery._snapshots import decode_snapshot
from hibiscustiller.discovery.tests.fixtures import SECOND, Fleet, make_entry
from hibiscustiller.discovery.tests.test_large_changes import (
    ROUTER_LINK_BYTES_PER_S,
    make_document,
)
from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.platform import DOCUMENT_KEY, NO_REVISION
from hibiscustiller.settings import Address
from hibiscustiller.utils import RouterId, SystemClock, Verdict
from hibiscustiller.utils._testing import collect_tests, in_simulated_time
from hibiscustiller.wire import (
    HttpAnswer,
    HttpClient,
    HttpLimits,
    HttpServer,
    TransferDeadline,
    TransferLimits,
)

SEED_COUNT = 3
# The limit of a start while the store is available.
START_LIMIT = timedelta(seconds=2.5)


class MemoryHttp:
    """An HTTP client and server of the exchanges in one process.

    Bodies pass the link of the router that sends them.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.exchanges_by_address = {}
        self.abandoned_bytes = 0
        # They accept requests and do not answer.
        self.stopped = set()

    async def request(self, address, method, target, *, timeout, transfer=None):
        if address in self.stopped:
            await curio.sleep(timeout.total_seconds())
            raise TransportError("no answer", Verdict.MAY_HAVE_RUN)
        link = self.fleet.members_by_address[address].link
        began_at = await curio.clock() * SECOND
        limits = transfer or TransferLimits(timeout, sys.float_info.max)
        deadline = TransferDeadline(limits, began_at)
        answer = SimpleNamespace(extra_headers={})

        async def send(status, body=b"", content_type=""):
            try:
                await link.send(len(body), deadline)
            except StoreUnavailableError as error:
                self.abandoned_bytes += len(body)
                raise TransportError("no answer", Verdict.MAY_HAVE_RUN) from error
            answer.found = HttpAnswer(status, answer.extra_headers, body)

        path, _, query = target.partition("?")
        query_by_name = dict(part.split("=") for part in query.split("&") if part)
        request = SimpleNamespace(path=path, query_by_name=query_by_name)
        answer.send = send
        await self.exchanges_by_address[address].handle(request, answer)
        return answer.found


def make_exchanges(fleet):
    """Return the exchanges of the members, by their addresses."""
    http = MemoryHttp(fleet)
    addresses = [member.datagrams.address for member in fleet.members]
    for number, address in enumerate(addresses):
        http.exchanges_by_address[address] = SnapshotExchange(
            addresses[:SEED_COUNT],
            address,
            fleet.members[number].watcher,
            http,
            SystemClock(),
            random.Random(number),
        )
    return http


async def start_from_seeds(fleet, http):
    """Start the exchanges of all routers but the seeds, which have a state."""
    for member in fleet.members[SEED_COUNT:]:
        exchange = http.exchanges_by_address[member.datagrams.address]
        await curio.spawn(exchange.run, daemon=True)


async def read_store(member):
    """Let a router start while the store is available, and end its task."""
    task = await curio.spawn(member.watcher.run, daemon=True)
    async with curio.timeout_after(1.0):
        while not member.watcher.has_initial_state:
            await curio.sleep(0.01)
    await task.cancel()


async def count_ready_routers(http):
    """Start a large fleet with a large configuration; return how many are in time."""
    fleet = http.fleet
    fleet.store.put(DOCUMENT_KEY, make_document(1, 1450))
    for member in fleet.members[:SEED_COUNT]:
        await read_store(member)
    fleet.store.is_down = True
    await start_from_seeds(fleet, http)
    await curio.sleep(START_LIMIT.total_seconds())
    return sum(member.watcher.has_initial_state for member in fleet.members)


@in_simulated_time
async def test_a_large_fleet_starts_from_few_seeds_while_the_store_is_away():
    """Guards against transfers of snapshots that all exceed their timeout."""
    http = make_exchanges(Fleet(230, link_bytes_per_s=ROUTER_LINK_BYTES_PER_S))
    ready = await count_ready_routers(http)
    assert ready == 230, (ready, http.abandoned_bytes)


@in_simulated_time
async def test_a_large_fleet_starts_although_a_seed_is_stopped():
    """Guards against snapshots that are passed on only after a wait for each seed."""
    http = make_exchanges(Fleet(230, link_bytes_per_s=ROUTER_LINK_BYTES_PER_S))
    http.stopped.add(http.fleet.members[0].datagrams.address)
    ready = await count_ready_routers(http)
    assert ready == 230, ready


async def test_a_busy_seed_names_a_router_that_has_a_snapshot():
    """Guards against routers that wait for a seed although others have a snapshot."""
    fleet = Fleet(3)
    await read_store(fleet.members[0])
    async with AsyncExitStack() as stack:
        exchanges, addresses = [], []
        for member in fleet.members:
            handler = SimpleNamespace()
            server = HttpServer(
                Address("127.0.0.1", 0),
                lambda *args, handler=handler: handler.exchange.handle(*args),
                HttpLimits(),
                "inner",
            )
            await server.start()
            stack.push_async_callback(server.close)
            client = HttpClient(SystemClock())
            stack.push_async_callback(client.close)
            addresses.append(server.address)
            handler.exchange = SnapshotExchange(
                addresses[:1],
                server.address,
                member.watcher,
                client,
                SystemClock(),
                random.Random(1),
            )
            exchanges.append(handler.exchange)
        await exchanges[1].run()
        for number in range(3):
            exchanges[0]._sender.answer(RouterId(f"r{number}"), NO_REVISION)
        async with curio.timeout_after(START_LIMIT.total_seconds()):
            await exchanges[2].run()
        assert fleet.members[2].watcher.revision == fleet.store.revision


@in_simulated_time
async def test_a_router_of_an_earlier_version_is_sent_a_snapshot():
    """Guards against an upgrade after which some routers cannot start."""
    http = make_exchanges(Fleet(SEED_COUNT))
    member = http.fleet.members[0]
    await read_store(member)
    answer = await http.request(
        member.datagrams.address, "GET", "/snapshot", timeout=SECOND
    )
    assert decode_snapshot(answer.body) == member.watcher.make_snapshot()


@in_simulated_time
async def test_a_start_uses_the_newest_snapshot_of_the_seeds():
    """Guards against a router that starts with the state of a seed that is behind."""
    fleet = Fleet(20, link_bytes_per_s=ROUTER_LINK_BYTES_PER_S)
    for member in fleet.members[:SEED_COUNT]:
        fleet.store.put("servers/second", make_entry())
        await read_store(member)
    fleet.store.is_down = True
    http = make_exchanges(fleet)
    await start_from_seeds(fleet, http)
    await curio.sleep(START_LIMIT.total_seconds())
    revisions = {member.watcher.revision for member in fleet.members[SEED_COUNT:]}
    assert revisions == {fleet.store.revision}


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
