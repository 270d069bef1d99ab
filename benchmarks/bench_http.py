"""Router-side CPU cost of a plain request and of a streamed token over HTTP.

The router part (``HttpServer`` and ``HttpClient``) runs in this process, the backend
server and the clients in two others. The baseline is a relay that copies bytes between
the same two processes without reading HTTP. One JSON line is printed for each figure;
the most expensive functions go to standard error, unless ``--no-profile`` is given.
"""

from __future__ import annotations

import cProfile
import io
import json
import multiprocessing
import pstats
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import curio

from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock
from hibiscustiller.wire import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpServer,
    Responder,
)

ANY_PORT = Address("127.0.0.1", 0)
TIMEOUT = timedelta(seconds=10)
CLIENTS = 8
REQUESTS_PER_CLIENT = 400
STREAMS = 20
TOKENS_PER_STREAM = 300
# Tokens come one by one, as engines send them, so that each is a read and a write.
TOKEN_SECONDS = 0.01
PROFILED_FUNCTIONS = 12
# The median of alternating runs is less disturbed by other work on the machine.
REPEATS = 3
PLAIN = b"POST /plain HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n" + b"x" * 100
STREAM = b"POST /stream HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"
PLAIN_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n" + b"x" * 100
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
TOKEN = b'{"attempt":1,"position":1,"token":"turf"}\n'
TOKEN_CHUNK = b"%x\r\n%s\r\n" % (len(TOKEN), TOKEN)
LIMITS = HttpLimits(idle_timeout=timedelta(seconds=60))

Measure = Callable[[Awaitable[Any]], Awaitable[Any]]


def run_backend(connection: Any) -> None:
    """Answer requests until the process is ended.

    It writes fixed bytes, so that a change of the measured code does not change it.
    """

    async def serve(sock: Any, _: Any) -> None:
        while data := await sock.recv(65536):
            while not data.endswith((b"x" * 100, b"\r\n\r\n")):
                data += await sock.recv(65536)
            if data.startswith(b"POST /plain"):
                await sock.sendall(PLAIN_ANSWER)
                continue
            await sock.sendall(STREAM_HEAD)
            for _ in range(TOKENS_PER_STREAM):
                await curio.sleep(TOKEN_SECONDS)
                await sock.sendall(TOKEN_CHUNK)
            await sock.sendall(b"0\r\n\r\n")

    async def run() -> None:
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        connection.send(listener.getsockname()[1])
        await curio.network.run_server(listener, serve)

    curio.run(run)


def run_clients(connection: Any) -> None:
    """Send the requests that are asked for, until None comes."""
    while (task := connection.recv()) is not None:
        kind, port = task
        curio.run(send_plain if kind == "plain" else send_streams, port)
        connection.send("done")


async def send_plain(port: int) -> None:
    """Send plain requests over a few connections."""

    async def run() -> None:
        sock = await curio.open_connection("127.0.0.1", port)
        async with sock:
            for _ in range(REQUESTS_PER_CLIENT):
                await sock.sendall(PLAIN)
                answer = b""
                while not answer.endswith(b"x" * 100):
                    answer += await sock.recv(65536)

    await run_together(run, CLIENTS)


async def send_streams(port: int) -> None:
    """Read streams until they end."""

    async def run() -> None:
        sock = await curio.open_connection("127.0.0.1", port)
        async with sock:
            await sock.sendall(STREAM)
            end = b""
            while not end.endswith(b"0\r\n\r\n"):
                end = (end + await sock.recv(65536))[-64:]

    await run_together(run, STREAMS)


async def run_together(run: Callable[[], Awaitable[None]], count: int) -> None:
    """Run copies of a coroutine function and wait for all."""
    tasks = [await curio.spawn(run) for _ in range(count)]
    for task in tasks:
        await task.join()


async def start_router(backend: Address) -> tuple[HttpServer, HttpClient]:
    """Start the part that is measured."""
    client = HttpClient(SystemClock())

    async def handle(request: HttpRequest, responder: Responder) -> None:
        if request.path == "/plain":
            answer = await client.request(
                backend, "POST", "/plain", timeout=TIMEOUT, body=request.body
            )
            await responder.send(answer.status, answer.body)
            return
        stream = await client.open_stream(
            backend, "POST", "/stream", next_byte_timeout=TIMEOUT
        )
        async with stream:
            await responder.start(200, "text/event-stream")
            while (line := await stream.read_line()) is not None:
                await responder.send_part(b"data: " + line + b"\n\n")
            await responder.finish()

    server = HttpServer(ANY_PORT, handle, LIMITS, "router")
    await server.start()
    return server, client


async def start_relay(backend: Address) -> tuple[Any, int]:
    """Start the baseline, which copies bytes both ways."""

    async def copy(source: Any, target: Any) -> None:
        try:
            while data := await source.recv(65536):
                await target.sendall(data)
        except OSError:
            pass

    async def serve(sock: Any, _: Any) -> None:
        other = await curio.open_connection(backend.host, backend.port)
        async with other:
            back = await curio.spawn(copy, other, sock)
            await copy(sock, other)
            await back.cancel()

    listener = curio.tcp_server_socket("127.0.0.1", 0)
    task = await curio.spawn(curio.network.run_server, listener, serve, daemon=True)
    return task, listener.getsockname()[1]


async def measure_cpu(clients: Any, kind: str, port: int) -> float:
    """Return this process's CPU seconds while the clients run."""
    started = time.process_time()
    clients.send((kind, port))
    await curio.run_in_thread(clients.recv)
    return time.process_time() - started


async def measure(backend: Address, clients: Any) -> None:
    """Measure both kinds of work and print the figures."""
    server, client = await start_router(backend)
    relay, relay_port = await start_relay(backend)
    counts = {"plain": CLIENTS * REQUESTS_PER_CLIENT, "stream": 0}
    counts["stream"] = STREAMS * TOKENS_PER_STREAM
    for kind, unit in (("plain", "request"), ("stream", "token")):
        for port in (server.address.port, relay_port):
            await measure_cpu(clients, "plain", port)
        figures = []
        baselines = []
        for _ in range(REPEATS):
            figures.append(await measure_cpu(clients, kind, server.address.port))
            baselines.append(await measure_cpu(clients, kind, relay_port))
        print_figure(
            f"http_cpu_us_per_{unit}",
            statistics.median(figures) / counts[kind] * 1e6,
            statistics.median(baselines) / counts[kind] * 1e6,
        )
        if "--no-profile" not in sys.argv:
            await print_profile(kind, clients, server.address.port)
    await relay.cancel()
    await server.close()
    await client.close()


async def print_profile(kind: str, clients: Any, port: int) -> None:
    """Repeat the work under the profiler and print the top entries."""
    profile = cProfile.Profile()
    profile.enable()
    await measure_cpu(clients, kind, port)
    profile.disable()
    text = io.StringIO()
    stats = pstats.Stats(profile, stream=text)
    stats.sort_stats("tottime").print_stats(PROFILED_FUNCTIONS)
    lines = [line for line in text.getvalue().splitlines() if line.strip()]
    print(f"profile of {kind}, by own time:", file=sys.stderr)
    print("\n".join(lines[-PROFILED_FUNCTIONS - 1 :]), file=sys.stderr)


def print_figure(name: str, figure: float, baseline: float) -> None:
    """Print one figure as a JSON line."""
    ratio = figure / baseline if baseline else None
    line = {
        "name": name,
        "figure": round(figure, 2),
        "baseline": round(baseline, 2),
        "ratio": None if ratio is None else round(ratio, 3),
        "baseline_is": "relay that copies bytes",
    }
    print(json.dumps(line), flush=True)


def main() -> None:
    """Start the helper processes, measure, and end them."""
    context = multiprocessing.get_context("spawn")
    backend_here, backend_there = context.Pipe()
    clients_here, clients_there = context.Pipe()
    backend = context.Process(target=run_backend, args=(backend_there,), daemon=True)
    clients = context.Process(target=run_clients, args=(clients_there,), daemon=True)
    backend.start()
    clients.start()
    try:
        address = Address("127.0.0.1", backend_here.recv())
        curio.run(measure, address, clients_here)
    finally:
        clients.terminate()
        backend.terminate()


if __name__ == "__main__":
    main()
