"""The transfer of large changes between routers over connections."""

import random
import sys
from datetime import timedelta

import curio
import curio.socket

from hibiscustiller.discovery import ChangeExchange, Peer
from hibiscustiller.discovery._change_transfer import (
    ChangeFetcher,
    ChangeSender,
    TransferAnswer,
)
from hibiscustiller.platform import Revision
from hibiscustiller.settings import Address
from hibiscustiller.utils import DomainId, Metrics, RouterId, SystemClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import HttpClient, HttpLimits, HttpServer

SECOND = timedelta(seconds=1)
# 1,450 routes more, compressed.
BODY = random.Random(1).randbytes(37_000)
# The platform's time from the acknowledgement of a configuration until it is in force.
APPLY_TIME = timedelta(seconds=4)
# 10 Mbit/s.
LINK_BYTES_PER_S = 1.25e6


class Site:
    """A router that has changes, behind a link that all its answers share."""

    def __init__(self):
        self.clock = SystemClock()
        self.sender = ChangeSender(
            lambda after: BODY, lambda: Revision(1, 9), lambda a, b: True, self.clock
        )
        exchange = ChangeExchange(RouterId("s"), HttpClient(self.clock), Metrics())

        async def handle(request, responder):
            await exchange.handle(self.sender, request, responder)

        self.server = HttpServer(Address("127.0.0.1", 0), handle, HttpLimits(), "inner")
        self._link_is_free_at = 0.0
        self._tasks = []

    async def __aenter__(self):
        await self.server.start()
        self._listener = curio.tcp_server_socket("127.0.0.1", 0)
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        self._tasks.append(await curio.spawn(self._accept, daemon=True))
        return self

    async def __aexit__(self, *args):
        for task in self._tasks:
            await task.cancel()
        await self._listener.close()
        await self.server.close()

    async def _accept(self):
        while True:
            client, _ = await self._listener.accept()
            self._tasks.append(await curio.spawn(self._relay, client, daemon=True))

    async def _relay(self, client):
        target = self.server.address
        server = await curio.open_connection(target.host, target.port)
        async with client, server, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, client, server, None)
            await group.spawn(self._copy, server, client, LINK_BYTES_PER_S)

    async def _copy(self, source, target, bytes_per_s):
        try:
            while data := await source.recv(1460):
                if bytes_per_s is not None:
                    now = await curio.clock()
                    start = max(now, self._link_is_free_at)
                    self._link_is_free_at = start + len(data) / bytes_per_s
                    await curio.sleep(self._link_is_free_at - now)
                await target.sendall(data)
        except OSError:
            return

    async def fetch(self, number, time_limit):
        """Fetch the changes as a router; None if it does not get them."""
        peer = Peer(RouterId("s"), self.address, DomainId("d"), inner=self.address)
        exchange = ChangeExchange(
            RouterId(f"r{number}"), HttpClient(self.clock), Metrics()
        )
        fetcher = ChangeFetcher(
            exchange.request, lambda name: None, self.clock, random.Random(number)
        )
        return await fetcher.fetch([peer], Revision(1, 8), time_limit)


async def test_a_transfer_stays_open_until_the_receiver_has_the_bytes():
    """Guards against a bound on open transfers that buffers of the system defeat."""
    async with Site() as site:
        statuses, socks = [], []
        for number in range(40):
            target = site.server.address
            sock = await curio.open_connection(target.host, target.port)
            await sock.sendall(
                b"GET /changes?era=1&revision=8&router=r%d HTTP/1.1\r\nhost: x\r\n\r\n"
                % number
            )
            statuses.append((await sock.recv(12))[9:])
            socks.append(sock)
        for sock in socks:
            await sock.close()
        assert statuses.count(b"200") <= 3, statuses


async def test_many_receivers_of_one_sender_get_a_large_change_over_a_small_link():
    """Guards against transfers that all give up because they share one link."""
    async with Site() as site:
        tasks = [
            await curio.spawn(site.fetch, number, APPLY_TIME) for number in range(60)
        ]
        # The link carries so many copies in less than half of this time.
        bodies = [await task.join() for task in tasks]
        assert all(body == BODY for body in bodies)


async def test_a_receiver_that_vanishes_does_not_keep_others_waiting():
    """Guards against transfers that nobody confirms and that stay open for good."""
    async with Site() as site:
        for number in range(3):
            site.sender.answer(RouterId(f"gone-{number}"), Revision(1, 8))
        assert await site.fetch(1, 2 * SECOND) == BODY


async def test_routers_named_by_the_last_source_are_asked():
    """Guards against a fetch that ends although others were named."""
    address = Address("127.0.0.1", 1)
    peers = {
        name: Peer(RouterId(name), address, DomainId("d"), inner=address)
        for name in ("source", "other")
    }

    async def request(peer, after, time_limit):
        if peer.router_id == "source":
            return TransferAnswer(None, (RouterId("other"),))
        return TransferAnswer(b"changes")

    fetcher = ChangeFetcher(request, peers.get, SystemClock(), random.Random(1))
    body = await fetcher.fetch([peers["source"]], Revision(1, 1), SECOND)
    assert body == b"changes"


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
