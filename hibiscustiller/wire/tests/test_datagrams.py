"""Datagrams between routers, and requests whose answers may be lost or late."""

import random
import sys
from datetime import timedelta

import curio

from hibiscustiller.settings import Address
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import DatagramSocket, PendingRequests
from hibiscustiller.wire._messages_generated import RepeatAnswer, RepeatRequest

TIMEOUT = timedelta(milliseconds=50)


async def open_socket(router_id):
    """Open a socket on any free port."""
    sock = DatagramSocket(router_id, Address("127.0.0.1", 0))
    await sock.start()
    sock.address = Address("127.0.0.1", sock._socket.getsockname()[1])
    return sock, await curio.spawn(sock.run, daemon=True)


async def test_answers_reach_their_own_request_only():
    """Guards against an answer that is taken for another request's, or comes late."""
    pending = PendingRequests(random.Random(1))
    with pending.open() as first, pending.open() as second:
        assert await pending.take(second.id, RepeatAnswer(second.id, True))
        assert (await second.wait(TIMEOUT)).request_id == second.id
        try:
            await first.wait(TIMEOUT)
        except TimeoutError:
            pass
        else:
            raise AssertionError("an answer to another request was taken")
    assert not await pending.take(first.id, RepeatAnswer(first.id, True))
    # A process that starts again must not take answers to the one before.
    with PendingRequests(random.Random(2)).open() as later:
        assert later.id not in (first.id, second.id)


async def test_requests_over_sockets_are_answered_or_time_out():
    """Guards against a request that waits for ever for a lost datagram."""
    left, left_task = await open_socket("left")
    right, right_task = await open_socket("right")
    pending = PendingRequests(random.Random(1))

    async def answer(router_id, address, request):
        if request.service == "known":
            reply = right.encode(RepeatAnswer(request.request_id, True))
            await right.send(address, reply)

    async def take(router_id, address, message):
        await pending.take(message.request_id, message)

    right.register(RepeatRequest, answer)
    left.register(RepeatAnswer, take)
    for service, is_answered in (("known", True), ("unknown", False)):
        with pending.open() as request:
            data = left.encode(RepeatRequest(request.id, service))
            await left.send(right.address, data)
            try:
                found = await request.wait(timedelta(milliseconds=500))
            except TimeoutError:
                assert not is_answered
            else:
                assert is_answered and found.granted
    for sock, task in ((left, left_task), (right, right_task)):
        await task.cancel()
        await sock.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
