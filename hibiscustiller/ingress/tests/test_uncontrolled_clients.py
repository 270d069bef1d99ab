"""A daemon beside crowds of slow, oversized and other uncontrolled clients.

The daemon is a process of its own with low limits. Each test checks that it lives, that
its memory and descriptors stay within its settings, and that it serves an ordinary
request while the crowd is open.
"""

import signal
import sys

import curio

from hibiscustiller.ingress.tests.uncontrolled import (
    GRACE_S,
    HEADER_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    DaemonWorld,
    make_head,
)
from hibiscustiller.utils._testing import collect_tests

CHUNKED = b"transfer-encoding: chunked"
# All bodies that stop short leave this many bytes out.
MISSING_BYTES = 100_000
PART_BYTES = 50_000
SMALL_CHUNKS = 60_000
PORT_CROWD = 120


async def send_parts(sock, size, frame=lambda part: part):
    """Send a body in parts."""
    part = frame(b"x" * PART_BYTES)
    for _ in range(size // PART_BYTES):
        await sock.sendall(part)
        await curio.sleep(0)


def frame_chunk(part):
    return b"%x\r\n%s\r\n" % (len(part), part)


async def send_whole_body(sock, number):
    size = MAX_BODY_BYTES
    head = make_head(number, b"content-length: %d" % size)
    await sock.sendall(head + b"\r\n" + b"x" * size)


async def send_short_body(sock, number):
    head = make_head(number, b"content-length: %d" % MAX_BODY_BYTES)
    await sock.sendall(head + b"\r\n")
    await send_parts(sock, MAX_BODY_BYTES - MISSING_BYTES)


async def send_short_chunks(sock, number):
    await sock.sendall(make_head(number, CHUNKED) + b"\r\n")
    await send_parts(sock, MAX_BODY_BYTES - MISSING_BYTES, frame_chunk)


async def send_small_chunks(sock, number):
    await sock.sendall(make_head(number, CHUNKED) + b"\r\n")
    part = b"1\r\nx\r\n" * 1000
    for _ in range(SMALL_CHUNKS // 1000):
        await sock.sendall(part)
        await curio.sleep(0)


async def send_announced_excess(sock, number):
    size = 1000 * MAX_BODY_BYTES
    await sock.sendall(make_head(number, b"content-length: %d" % size) + b"\r\n")
    await send_parts(sock, 3 * MAX_BODY_BYTES)


async def send_excess(sock, number):
    await sock.sendall(make_head(number, CHUNKED) + b"\r\n")
    await send_parts(sock, 3 * MAX_BODY_BYTES, frame_chunk)


async def send_short_head(sock, number):
    await sock.sendall(
        make_head(number, b"x-filler: " + b"x" * (MAX_HEADER_BYTES // 2))
    )


async def send_request_and_wait(sock, number):
    await sock.sendall(make_head(number, b"content-length: 2") + b"\r\n{}")
    await sock.recv(65536)


async def ask_for_large_answer(sock, number):
    head = make_head(number, b"content-length: 2", path="large")
    await sock.sendall(head + b"\r\n{}")
    # The first bytes of the answer are on their way; the rest is not read.
    await curio.sleep(1.0)


async def check_crowd(send):
    async with DaemonWorld() as world:
        await world.open_crowd(send)
        await world.check_process()


async def test_large_whole_bodies_leave_the_daemon_sound():
    """Guards against too much memory and too many descriptors for whole bodies."""
    await check_crowd(send_whole_body)


async def test_bodies_that_stop_short_leave_the_daemon_sound():
    """Guards against unfinished bodies that take all memory or all connections."""
    await check_crowd(send_short_body)


async def test_chunked_bodies_that_stop_short_leave_the_daemon_sound():
    """Guards against chunked bodies that take all memory or all connections."""
    await check_crowd(send_short_chunks)


async def test_chunks_of_one_byte_leave_the_daemon_sound():
    """Guards against small chunks that take the time or memory of all requests."""
    await check_crowd(send_small_chunks)


async def test_announced_bodies_over_the_limit_leave_the_daemon_sound():
    """Guards against refused clients that go on to send and hold their connections."""
    await check_crowd(send_announced_excess)


async def test_bodies_over_the_limit_leave_the_daemon_sound():
    """Guards against bodies that are read beyond the limit."""
    await check_crowd(send_excess)


async def test_unfinished_heads_leave_the_daemon_sound():
    """Guards against unfinished heads that take all connections."""
    await check_crowd(send_short_head)


async def test_connections_idle_after_an_answer_leave_the_daemon_sound():
    """Guards against idle connections that take all descriptors."""
    await check_crowd(send_request_and_wait)


async def test_answers_that_are_not_read_leave_the_daemon_sound():
    """Guards against answers that take all memory or all connections."""
    await check_crowd(ask_for_large_answer)


async def check_other_port(name, path, expected):
    async with DaemonWorld() as world:
        port = getattr(world, name)
        await world.open_crowd(send_short_head, PORT_CROWD, port)
        assert await world.get_status(port, path) == expected
        await world.check_process()


async def test_unfinished_heads_leave_the_readiness_port_sound():
    """Guards against a load balancer that takes a sound daemon for a failed one."""
    await check_other_port("ready", "/", 200)


async def test_unfinished_heads_leave_the_inspection_port_sound():
    """Guards against a daemon that cannot be inspected during trouble."""
    await check_other_port("inspection", "/metrics", 200)


async def test_unfinished_heads_leave_the_inner_port_sound():
    """Guards against other routers that are refused beside unfinished requests."""
    await check_other_port("inner", "/no-such-path", 404)


async def check_stop(send):
    async with DaemonWorld() as world:
        await world.open_crowd(send)
        world.program.signal(signal.SIGTERM)
        status = await world.program.wait(GRACE_S)
        assert status == 0, status


async def test_the_daemon_stops_beside_bodies_that_stop_short():
    """Guards against a process that is killed at the end of its grace time."""
    await check_stop(send_short_body)


async def test_the_daemon_stops_beside_answers_that_are_not_read():
    """Guards against a process that is killed at the end of its grace time."""
    await check_stop(ask_for_large_answer)


async def test_lower_limits_apply_beside_a_crowd():
    """Guards against changed settings that are not in force until a restart."""
    lower = 200
    async with DaemonWorld() as world:
        await world.open_crowd(send_short_head, lower)
        world.write_settings(max_fds=lower)
        world.program.signal(signal.SIGHUP)
        await world.open_crowd(send_request_and_wait, 20)
        await world.check_process()
        assert world.count_fds() <= lower, world.count_fds()


async def test_a_slow_but_sound_request_is_served_in_calm():
    """Guards against load shedding that ends slow requests without need."""
    body = b"{" + b" " * 28 + b"}"
    async with DaemonWorld() as world:
        sock = await curio.open_connection("127.0.0.1", world.front)
        async with sock:
            head = make_head(1, b"content-length: %d" % len(body))
            await sock.sendall(head + b"\r\n")
            for byte in body:
                await sock.sendall(bytes([byte]))
                await curio.sleep(HEADER_TIMEOUT_S / 2 / len(body))
            answer = await sock.recv(4096)
        assert answer.startswith(b"HTTP/1.1 200"), answer
        await world.check_process()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
