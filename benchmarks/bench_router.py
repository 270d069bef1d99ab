"""CPU cost of one whole router for each request and each streamed token.

The router runs in this process; the engines, the platform's stand-in and the callers
run in two others, so that this process's CPU time is the router's. The engines write
fixed frames, which costs them less than the router's work on them. The baseline is a
relay on h11 that carries the same frames between the same processes without reading
them. One JSON line is printed for each figure. Workloads may be named to measure only
these. ``--profile`` adds the functions with the largest own time on standard error.
"""

from __future__ import annotations

import cProfile
import json
import multiprocessing
import pstats
import random
import statistics
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import curio
import h11

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hibiscustiller.configuration import format_sections
from hibiscustiller.serving import Router
from hibiscustiller.settings import Address
from hibiscustiller.standins import PlatformStandin, make_standin_settings
from hibiscustiller.utils import (
    Metrics,
    Revision,
    SystemClock,
    configure_logging,
    hash_secret,
)

MODEL = "turf-70b"
KEY = "benchmark-key"
LAYERS = 12
REPLICAS = 2
STAGES = 2
RECEIVE_BYTES = 65536
# Runs of the router and of the relay alternate; the median is less disturbed by other
# work on the machine.
REPEATS = 3
PROFILED_FUNCTIONS = 35
# No run takes more than a few seconds; a run that hangs ends the benchmark.
RUN_TIMEOUT_SECONDS = 20


@dataclass(frozen=True)
class Workload:
    """Streams that run at the same time.

    :param tokens: tokens of each answer.
    :param callers: callers that send one request after another.
    :param requests: requests of each caller.
    :param pace: time between an answer's tokens, in seconds.
    """

    name: str
    tokens: int
    callers: int
    requests: int
    pace: float

    @property
    def request_count(self) -> int:
        """Requests of all callers."""
        return self.callers * self.requests

    @property
    def token_count(self) -> int:
        """Tokens of all answers."""
        return self.request_count * self.tokens


SHORT = Workload("short", tokens=1, callers=8, requests=100, pace=0.0)
LONG = Workload("long", tokens=200, callers=20, requests=1, pace=0.01)
# More tokens are offered than one core can carry.
SATURATED = Workload("saturated", tokens=200, callers=40, requests=2, pace=0.001)
WORKLOADS = (SHORT, LONG, SATURATED)


def run_backends(connection: Any) -> None:
    """Run the platform's stand-in and the engines until the process is ended."""

    async def run() -> None:
        platform = PlatformStandin(Address("127.0.0.1", 0), SystemClock())
        await platform.start()
        ports = []
        for _ in range(REPLICAS * STAGES):
            listener = curio.tcp_server_socket("127.0.0.1", 0, backlog=512)
            ports.append(listener.getsockname()[1])
            await curio.spawn(
                curio.network.run_server, listener, serve_engine, daemon=True
            )
        connection.send((platform.address.port, ports))
        # The pipe becomes readable when the benchmark's process is gone.
        await curio.traps._read_wait(connection.fileno())

    curio.run(run)


async def serve_engine(sock: Any, _: Any) -> None:
    """Answer the requests of one connection."""
    sock.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
    data = b""
    try:
        while True:
            while b"\r\n\r\n" not in data:
                if not (received := await sock.recv(RECEIVE_BYTES)):
                    return
                data += received
            head, _, data = data.partition(b"\r\n\r\n")
            length = read_content_length(head)
            while len(data) < length:
                data += await sock.recv(RECEIVE_BYTES)
            body, data = data[:length], data[length:]
            if head.startswith(b"POST /v1/streams "):
                await write_stream(sock, json.loads(body))
            else:
                await sock.sendall(make_plain_answer(head))
    except OSError:
        return


def read_content_length(head: bytes) -> int:
    """Return the length of a request's body."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def make_plain_answer(head: bytes) -> bytes:
    """Answer whatever the router asks of an engine beside streams."""
    value: dict[str, Any] = {"events": []}
    if b"/v1/load" in head:
        value = {
            "measured_at": SystemClock().now().isoformat(),
            "running": 0,
            "queued": 0,
            "state": "serving",
            "model": MODEL,
            "version": "1",
            "role": "",
        }
    body = json.dumps(value).encode()
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


async def write_stream(sock: Any, attempt: dict[str, Any]) -> None:
    """Write one answer token by token, as engines send them.

    The prompt starts with the pace in microseconds.
    """
    pace = int(attempt["prompt"].split()[0]) / 1e6
    ran = [[s["server"], s["first_layer"], s["last_layer"]] for s in attempt["route"]]
    layers = json.dumps(ran, separators=(",", ":")).encode()
    number = attempt["attempt"]
    # Frames are made before the first is due, so that the pace is kept.
    frames = [
        b'{"attempt":%d,"position":%d,"token":"w%04d","layers":%s}\n'
        % (number, position, position, layers)
        for position in range(len(attempt["emitted"]), attempt["max_tokens"])
    ]
    chunks = [make_chunk(frame) for frame in frames]
    await sock.sendall(
        b"HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    started = time.monotonic()
    for index, chunk in enumerate(chunks):
        delay = started + index * pace - time.monotonic()
        if delay > 0:
            await curio.sleep(delay)
        await sock.sendall(chunk)
    end = b'{"attempt":%d,"done":true,"reason":"length"}\n' % number
    await sock.sendall(make_chunk(end) + b"0\r\n\r\n")


def make_chunk(data: bytes) -> bytes:
    """Encode one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def run_callers(connection: Any) -> None:
    """Run the workloads that are asked for, until None comes."""
    try:
        while (task := connection.recv()) is not None:
            workload, port = task
            connection.send(curio.run(send_requests, workload, port))
    except (EOFError, OSError):
        return


async def send_requests(workload: Workload, port: int) -> int:
    """Send a workload's requests and return the number of complete answers."""
    complete = 0

    async def call(caller: int) -> None:
        nonlocal complete
        for number in range(workload.requests):
            prompt = f"{round(workload.pace * 1e6)} us caller {caller} request {number}"
            sock = await curio.open_connection("127.0.0.1", port)
            async with sock:
                await sock.sendall(make_request(prompt, workload.tokens))
                is_complete = await read_answer(sock, workload.tokens)
            complete += is_complete

    async with curio.TaskGroup(wait=all) as group:
        for caller in range(workload.callers):
            await group.spawn(call, caller)
    return complete


def make_request(prompt: str, tokens: int) -> bytes:
    """Encode a caller's request."""
    value = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
    body = json.dumps(value).encode()
    return (
        b"POST /v1/completions HTTP/1.1\r\nhost: router\r\n"
        b"authorization: Bearer %s\r\ncontent-type: application/json\r\n"
        b"connection: close\r\ncontent-length: %d\r\n\r\n%s"
        % (KEY.encode(), len(body), body)
    )


async def read_answer(sock: Any, tokens: int) -> bool:
    """Read to the end of an answer; tell whether all its tokens came."""
    answer = bytearray()
    while not answer.endswith(b"\r\n0\r\n\r\n"):
        data = await sock.recv(RECEIVE_BYTES)
        if not data:
            print(f"incomplete answer: {bytes(answer[-500:])!r}", file=sys.stderr)
            return False
        answer += data
    return all(b"w%04d" % number in answer for number in range(tokens))


def make_document(ports: list[int]) -> str:
    """Describe the engines in an operators' document."""
    sections = {
        f"model {MODEL}": {"layers": str(LAYERS), "max_tokens": "4096"},
        "class quotes": {"rank": "0", "deadline": "30s", "floor": "0.1"},
        "organisation caller": {
            "key_sha256": hash_secret(KEY),
            "priority_class": "quotes",
        },
    }
    share = LAYERS // STAGES
    for index, port in enumerate(ports):
        replica, stage = divmod(index, STAGES)
        sections[f"server engine-{replica}-{stage}"] = {
            "address": f"127.0.0.1:{port}",
            "failure_domain": f"domain-{replica}",
            "model": MODEL,
            "first_layer": str(stage * share),
            "last_layer": str((stage + 1) * share),
            "token_time": "10ms",
            "streams": "64",
        }
    return format_sections(sections)


async def start_relay(engine_port: int) -> tuple[Any, int]:
    """Start the baseline: h11 on both sides, one write for each chunk."""

    async def serve(sock: Any, _: Any) -> None:
        sock.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        caller = h11.Connection(h11.SERVER)
        body = b""
        while not isinstance(event := await read_event(sock, caller), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body += bytes(event.data)
        engine = h11.Connection(h11.CLIENT)
        other = await curio.open_connection("127.0.0.1", engine_port)
        async with other:
            other.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
            await other.sendall(encode_relayed(engine, body))
            await read_event(other, engine)
            head = h11.Response(
                status_code=200, headers=[("transfer-encoding", "chunked")]
            )
            await sock.sendall(caller.send(head))
            while True:
                event = await read_event(other, engine)
                if isinstance(event, h11.EndOfMessage):
                    break
                await sock.sendall(caller.send(h11.Data(data=bytes(event.data))))
            await sock.sendall(caller.send(h11.EndOfMessage()))

    listener = curio.tcp_server_socket("127.0.0.1", 0, backlog=512)
    task = await curio.spawn(curio.network.run_server, listener, serve, daemon=True)
    return task, listener.getsockname()[1]


async def read_event(sock: Any, state: h11.Connection) -> Any:
    """Return the next event of a connection."""
    while (event := state.next_event()) is h11.NEED_DATA:
        state.receive_data(await sock.recv(RECEIVE_BYTES))
    return event


def encode_relayed(engine: h11.Connection, caller_body: bytes) -> bytes:
    """Encode the engine's request for a caller's body, with a fixed route."""
    asked = json.loads(caller_body)
    share = LAYERS // STAGES
    route = [
        {
            "server": f"engine-0-{stage}",
            "first_layer": stage * share,
            "last_layer": (stage + 1) * share,
        }
        for stage in range(STAGES)
    ]
    body = json.dumps({**asked, "attempt": 1, "emitted": [], "route": route}).encode()
    request = h11.Request(
        method="POST",
        target="/v1/streams",
        headers=[("host", "engine"), ("content-length", str(len(body)))],
    )
    return (
        engine.send(request)
        + engine.send(h11.Data(data=body))
        + (engine.send(h11.EndOfMessage()) or b"")
    )


@dataclass(frozen=True)
class Usage:
    """CPU and wall-clock seconds of one run."""

    cpu: float
    wall: float


async def measure(callers: Any, workload: Workload, port: int) -> Usage:
    """Run a workload and measure this process.

    :raises RuntimeError: if an answer is missing or incomplete.
    """
    wall = time.monotonic()
    cpu = time.process_time()
    callers.send((workload, port))
    async with curio.timeout_after(RUN_TIMEOUT_SECONDS):
        # Polling leaves no thread behind that would wait for a hanging run.
        while not callers.poll():
            await curio.sleep(0.005)
    complete = callers.recv()
    usage = Usage(time.process_time() - cpu, time.monotonic() - wall)
    if complete != workload.request_count:
        raise RuntimeError(
            f"{workload.name}: {complete} of {workload.request_count} answers complete"
        )
    return usage


async def compare(
    callers: Any, workload: Workload, port: int, relay_port: int
) -> tuple[list[Usage], list[Usage]]:
    """Measure the router and the relay in turn."""
    router, relay = [], []
    for _ in range(REPEATS):
        router.append(await measure(callers, workload, port))
        relay.append(await measure(callers, workload, relay_port))
    return router, relay


async def run(
    platform_port: int,
    ports: list[int],
    callers: Any,
    workloads: list[Workload],
    is_profiled: bool,
) -> None:
    """Start the router and the relay, and measure them."""
    configure_logging("error")
    settings = make_standin_settings(Address("127.0.0.1", platform_port))
    router = Router(settings, SystemClock(), random.Random(1), Metrics())
    router.install_document(make_document(ports), Revision(1))
    await router.start()
    relay, relay_port = await start_relay(ports[0])
    port = router.caller_server.address.port
    try:
        await measure(callers, LONG, port)
        for workload in workloads:
            figures, baselines = await compare(callers, workload, port, relay_port)
            print_workload(workload, figures, baselines)
        if is_profiled:
            for workload in workloads:
                await print_profile(callers, workload, port)
    finally:
        await relay.cancel()
        # Without the grace of a shutdown, which would wait for a hanging request.
        await router.caller_server.close()
        await router.admission.stop()


def print_workload(workload: Workload, router: list[Usage], relay: list[Usage]) -> None:
    """Print a workload's figures."""
    cpu = statistics.median(usage.cpu for usage in router)
    base = statistics.median(usage.cpu for usage in relay)
    if workload is SATURATED:
        print_figure(
            "tokens per CPU second of one saturated core",
            workload.token_count / cpu,
            workload.token_count / base,
            "1/s",
        )
        rate = workload.token_count / statistics.median(u.wall for u in router)
        relayed = workload.token_count / statistics.median(u.wall for u in relay)
        print_figure("tokens a second by wall clock, saturated", rate, relayed, "1/s")
        shares = [
            statistics.median(u.cpu / u.wall for u in run) for run in (router, relay)
        ]
        print_figure("share of the core while saturated", *shares, "1")
        return
    per_request = 1e6 / workload.request_count
    label = f"CPU per request of {workload.tokens} tokens"
    print_figure(label, cpu * per_request, base * per_request, "us")
    if workload is LONG:
        per_token = 1e6 / workload.token_count
        label = f"CPU per token, answers of {workload.tokens} tokens"
        print_figure(label, cpu * per_token, base * per_token, "us")


def print_figure(figure: str, value: float, baseline: float, unit: str) -> None:
    """Print one JSON line."""
    line = {
        "figure": figure,
        "value": round(value, 2),
        "unit": unit,
        "baseline": round(baseline, 2),
        "ratio": round(value / baseline, 3),
    }
    print(json.dumps(line), flush=True)


async def print_profile(callers: Any, workload: Workload, port: int) -> None:
    """Repeat a workload under the profiler and print the top entries."""
    profile = cProfile.Profile()
    profile.enable()
    await measure(callers, workload, port)
    profile.disable()
    print(f"profile of {workload.name}, by own time:", file=sys.stderr)
    stats = pstats.Stats(profile, stream=sys.stderr)
    stats.sort_stats("tottime").print_stats(PROFILED_FUNCTIONS)


@click.command()
@click.argument("names", nargs=-1, type=click.Choice([w.name for w in WORKLOADS]))
@click.option("--profile", is_flag=True, help="Print the profile of each workload.")
def main(names: tuple[str, ...], profile: bool) -> None:
    """Start the helper processes, measure, and end them."""
    workloads = [w for w in WORKLOADS if not names or w.name in names]
    context = multiprocessing.get_context("spawn")
    backends_here, backends_there = context.Pipe()
    callers_here, callers_there = context.Pipe()
    backends = context.Process(target=run_backends, args=(backends_there,), daemon=True)
    callers = context.Process(target=run_callers, args=(callers_there,), daemon=True)
    backends.start()
    callers.start()
    try:
        platform_port, ports = backends_here.recv()
        curio.run(run, platform_port, ports, callers_here, workloads, profile)
    finally:
        for process in (callers, backends):
            process.terminate()
            process.join()


if __name__ == "__main__":
    main()
