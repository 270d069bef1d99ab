"""Requests to plain servers that are silent for a while, or beside others' faults."""

import sys

import curio

from hibiscustiller.ingress.tests.fixtures import RawServer, World, make_document
from hibiscustiller.ingress.tests.test_endless_answers import write_plain_entry
from hibiscustiller.ingress.tests.test_failures_elsewhere import is_known, make_answer
from hibiscustiller.utils._testing import collect_tests

# Six times the silence after which a second server is tried, and far below the time
# that the route leaves.
SILENCE_S = 0.8
TIMEOUT_MS = 3000


class PlainWorld(World):
    """A gateway before plain servers, with a route that leaves time for a silence.

    :param plain_count: number of servers.
    """

    def __init__(self, plain_count=2, retry_slack=200.0):
        super().__init__((), (), plain_count=plain_count, retry_slack=retry_slack)

    async def __aenter__(self):
        await super().__aenter__()
        document = make_document(2)
        for route in document["routes"]:
            route["timeout_ms"] = TIMEOUT_MS
        self.store.put("op/config", document)

        def is_in_force():
            return self.gateway.view.document.version == 2

        await self.wait_until(is_in_force)
        # Each server has answered, so that none is unknown.
        while not all(plain.requests for plain in self.plain):
            await self.request("/stock/0", method="GET", body=b"")
        for plain in self.plain:
            plain.arrival_count = 0
        return self

    async def start_requests(self, count, path="/stock/1", method="GET"):
        """Start requests, each on a connection of its own."""
        return [
            await curio.spawn(lambda: self.request(path, method=method, body=b""))
            for _ in range(count)
        ]

    async def request_one_of(self, plain):
        """Start requests until one has reached a server that is silent."""
        plain.is_silent = True
        tasks = []
        while self.get_in_flight(plain.id) == 0:
            tasks += await self.start_requests(1)
            await curio.sleep(0.03)
        return tasks

    def get_in_flight(self, server_id):
        """Return the number of this router's requests at a server."""
        use = self.gateway._load.get_own_use().get(server_id)
        return 0 if use is None else use.entry_count

    def count_arrivals(self):
        """Return the number of requests that reached the servers."""
        return sum(plain.arrival_count for plain in self.plain)


async def join_all(tasks):
    """Return the answers, each of which must be whole."""
    answers = [await task.join() for task in tasks]
    for answer in answers:
        assert (answer.status, answer.is_complete) == (200, True), answer
    return answers


async def test_a_silent_server_answers_in_the_end_while_the_other_is_down():
    """Guards against requests that fail because their second server is unreachable."""
    async with PlainWorld() as world:
        silent, killed = world.plain
        silent.is_silent = True
        await killed.server.close()
        tasks = await world.start_requests(8)
        await curio.sleep(SILENCE_S)
        silent.is_silent = False
        await join_all(tasks)


async def test_a_silent_server_answers_in_the_end_while_the_other_refuses_or_fails():
    """Guards against requests that fail because their second attempt fails."""
    for behave in ("full", "fail", "reset", "unsealed"):
        async with PlainWorld() as world:
            silent, faulty = world.plain
            tasks = await world.request_one_of(silent)
            faulty.behave = behave
            await curio.sleep(SILENCE_S)
            silent.is_silent = False
            await join_all(tasks)


async def test_a_silent_server_answers_in_the_end_without_a_retry_budget():
    """Guards against requests that fail because no further attempt is allowed."""
    async with PlainWorld(retry_slack=0.0) as world:
        # The ratio of the budget leaves retries for the requests before.
        for plain in world.plain:
            plain.is_silent = True
        tasks = await world.start_requests(8)
        await curio.sleep(SILENCE_S)
        for plain in world.plain:
            plain.is_silent = False
        await join_all(tasks)


async def test_requests_wait_while_all_servers_are_silent():
    """Guards against requests that are all sent twice although no server answers."""
    for silence_s in (SILENCE_S, 1.5):
        async with PlainWorld(3) as world:
            for plain in world.plain:
                plain.is_silent = True
            tasks = await world.start_requests(20)
            await curio.sleep(silence_s)
            for plain in world.plain:
                plain.is_silent = False
            await join_all(tasks)
            # One request for each server finds out that it is silent too.
            assert world.count_arrivals() <= 20 + 3, world.count_arrivals()


async def test_a_server_that_is_stuck_is_left_for_another():
    """Guards against requests that wait for a stuck server until their time is up."""
    async with PlainWorld() as world:
        stuck, _ = world.plain
        tasks = await world.request_one_of(stuck)
        async with curio.timeout_after(SILENCE_S):
            await join_all(tasks)
        # Nothing is left of the attempt that lost.
        await world.wait_until(lambda: world.get_in_flight(stuck.id) == 0, 1.0)
        stuck.is_silent = False


async def test_the_first_answer_of_two_attempts_is_sent_once():
    """Guards against a late answer that reaches the next caller."""
    async with PlainWorld() as world:
        silent, other = world.plain
        tasks = await world.request_one_of(silent)
        other.is_silent = True
        tasks += await world.start_requests(4)
        await curio.sleep(0.4)
        silent.is_silent = False
        answers = await join_all(tasks)
        await curio.sleep(0.1)
        other.is_silent = False
        answers += await join_all(await world.start_requests(20))
        ids = [answer.headers["request-id"] for answer in answers]
        assert len(set(ids)) == len(ids), ids


async def test_both_attempts_end_when_the_caller_leaves():
    """Guards against servers that work for a caller that has left."""
    async with PlainWorld() as world:
        for plain in world.plain:
            plain.is_silent = True
        sock = await world.connect()
        task = await curio.spawn(
            lambda: world.exchange(sock, "/stock/1", method="GET", body=b"")
        )
        ids = [plain.id for plain in world.plain]
        await world.wait_until(lambda: all(world.get_in_flight(key) for key in ids))
        await task.cancel()
        await sock.close()
        await world.wait_until(lambda: not world.gateway._load.get_own_use(), 0.5)


async def test_a_request_that_must_not_be_repeated_is_sent_once():
    """Guards against an order that runs twice because its server was silent."""
    async with PlainWorld() as world:
        for plain in world.plain:
            plain.is_silent = True
        tasks = await world.start_requests(4, "/book/1", "POST")
        await curio.sleep(SILENCE_S)
        for plain in world.plain:
            plain.is_silent = False
        await join_all(tasks)
        assert world.count_arrivals() == 4


class DrippingHeadServer(RawServer):
    """A plain server that sends a byte of its head now and then."""

    async def serve(self, sock):
        async with sock:
            while request := await sock.recv(65536):
                for byte in make_answer(request):
                    try:
                        await sock.sendall(bytes([byte]))
                    except OSError:
                        return
                    await curio.sleep(0.1)


async def test_a_server_that_sends_a_byte_now_and_then_is_silent():
    """Guards against callers that wait for a head that does not arrive."""
    async with PlainWorld(1) as world, DrippingHeadServer() as server:
        write_plain_entry(world, "dripping", server)
        await world.wait_until(lambda: is_known(world, "dripping"))
        async with curio.timeout_after(2.0):
            await join_all(await world.start_requests(8))


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
