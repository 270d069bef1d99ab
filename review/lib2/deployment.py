"""Starts a small deployment on loopback addresses: store, servers and routers.

Each router has an address of its own, so that the command of the deploy file can be
used as it stands.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from http_messages import Message, Reader, call, call_json, encode

ROOT = Path(__file__).resolve().parents[2]
SERVER = Path(__file__).resolve().parent / "server.py"
CROWD = Path(__file__).resolve().parent / "crowd.py"
FRONT, READY, CONTROL, INNER = 8227, 8220, 8229, (7340, 7355)
INSPECTION = 9464
HOST = "desk.example"
KEY = "key-of-the-desk"
STORE_HOST = "127.0.0.1"
PLAIN_TIMEOUT_S = 1.0
# The bounds of the site tizas-norte.
BOUNDS = """
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 202
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 2000
require_fencing = true
"""


def make_config(version: int = 1) -> dict:
    """Return a configuration with a model service and a plain one."""
    stream = {
        "host": HOST,
        "kind": "streaming",
        "timeout_ms": 20000,
        "target_latency_ms": 500,
        "target_gap_ms": 250,
        "priority": 0,
        "service": "pool",
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
    }
    plain = {
        "host": HOST,
        "timeout_ms": int(PLAIN_TIMEOUT_S * 1000),
        "target_latency_ms": 200,
        "priority": 0,
        "service": "desk",
        "max_attempts": 2,
        "public": False,
    }
    engine = {
        "slots": 96,
        "layers": 80,
        "layer_mb": 1750.0,
        "token_kv_bytes": 300000,
        "stride": 1,
        "chunk": 512,
        "models": [{"name": "m", "pace": 1.0, "load_s": 0.2}],
        "step_ms": 1.02,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "read_per_s": 164000,
        "pairs_per_m": 0.0,
        "delays": [],
        "usual": {"prompt": 800, "answer": 12},
        "report_lag_ms": 300,
        "loads_at_once": 8,
        "activation_bytes": 16384,
        "link_mbps": 10000.0,
        "pipe_mbps": 13000.0,
        "kinds": [
            {"name": "whole", "size_mb": 200000.0, "pace": 1.0, "read_factor": 1.0}
        ],
    }
    return {
        "version": version,
        "routes": [
            {**stream, "name": "quote", "prefix": "/quote/"},
            {**plain, "name": "order", "prefix": "/order/", "kind": "non_idempotent"},
            {**plain, "name": "stock", "prefix": "/stock/", "kind": "idempotent"},
        ],
        "services": [
            {
                "name": "pool",
                "health_path": "/health",
                "max_connections": 1138,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": "desk",
                "health_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "tenants": [{"name": "school", "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 20000,
        },
    }


@dataclass
class Program:
    """A process that the case started."""

    name: str
    words: list[str]
    environment: dict[str, str]
    log_path: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.words,
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


@dataclass
class Deployment:
    """A small deployment.

    :param record_path: what was sent, answered and run, a line of JSON each.
    :param router_count: number of routers, in one zone each in turn.
    """

    record_path: Path
    router_count: int = 3
    programs: list[Program] = field(default_factory=list)
    servers_by_id: dict[str, Program] = field(default_factory=dict)
    routers_by_ip: dict[str, Program] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.record_path.write_text("")
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.base = _choose_base(self.router_count)
        self.store_port = _choose_port()
        self._server_count = 0
        self.revision = 0
        # As the bench has it: few variables, and the dependencies on Python's path.
        kept = ("PATH", "HOME", "LANG")
        self.environment = {k: os.environ[k] for k in kept if k in os.environ}
        self.environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.environment["PYTHONUNBUFFERED"] = "1"

    def note(self, **values: object) -> None:
        """Append a line to the record of the case."""
        line = json.dumps({"at": round(time.monotonic(), 3), **values})
        with self.record_path.open("a") as record:
            record.write(line + "\n")

    def _add(self, name: str, words: list[str], **variables: str) -> Program:
        log_path = self.folder / f"{name}.log"
        environment = {**self.environment, **variables}
        program = Program(name, words, environment, log_path)
        self.programs.append(program)
        return program

    def start_store(self) -> None:
        words = ["python3", "-m", "hibiscustiller.standins", "store"]
        self._add("store", [*words, "--port", str(self.store_port)]).start()

    async def write_config(self, config: dict) -> None:
        """Write the configuration as the operator does."""
        value = base64.b64encode(json.dumps(config).encode()).decode()
        put = {"key": "op/config", "value": value, "lease": 0}
        expected = [{"key": "op/config", "rev": self.revision}]
        change = {"expected": expected, "puts": [put], "remove": []}
        store = (STORE_HOST, self.store_port)
        status, answer = await call_json(*store, "POST", "/kv-txn", change)
        if status != 200:
            raise RuntimeError(f"the store refused the configuration: {status}")
        self.revision = answer["rev"]
        self.note(event="config", version=config["version"])

    def add_server(self, server_id: str, service: str, *options: str) -> Program:
        """Start a server; it may be signalled and killed."""
        self._server_count += 1
        ip = f"127.{self.base}.7.{self._server_count}"
        words = ["python3", str(SERVER), server_id, "--service", service]
        words += ["--zone", "east", "--ip", ip, "--port", "8080"]
        words += ["--store-host", STORE_HOST, "--store-port", str(self.store_port)]
        words += ["--record", str(self.record_path), *options]
        program = self._add(server_id, words)
        self.servers_by_id[server_id] = program
        program.start()
        return program

    def start_crowd(self, ip: str, options: dict[str, object]) -> Program:
        """Start clients that nobody controls, at one router."""
        words = ["python3", str(CROWD), "--ip", ip, "--port", str(FRONT)]
        words += ["--host", HOST, "--key", KEY]
        for name, value in options.items():
            words += [f"--{name}", str(value)]
        program = self._add("crowd", words)
        program.start()
        return program

    def start_routers(self) -> None:
        """Start the routers with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["router"]["run"])
        ips = [f"127.{self.base}.1.{n + 1}" for n in range(self.router_count)]
        for number, ip in enumerate(ips, 1):
            path = self.folder / f"router-{number}.toml"
            path.write_text(self._make_settings(number, ip, ips))
            program = self._add(
                f"router-{number}", words, HIBISCUSTILLER_NODE_FILE=str(path)
            )
            self.routers_by_ip[ip] = program
            program.start()

    def _make_settings(self, number: int, ip: str, ips: list[str]) -> str:
        seeds = json.dumps([f"{other}:{CONTROL}" for other in ips[:3]])
        return f"""
node_name = "edge-east-{number}"
role = "router"
machine_class = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "east"
region = "north"
port_range = [{INNER[0]}, {INNER[1]}]
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200

[zones]
east = "north"

[listen]
front = "{ip}:{FRONT}"
ready = "{ip}:{READY}"
control = "{ip}:{CONTROL}"

[limits]
cpu_share = 1.0
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 1
zones = 0
regions = 0

[bounds]
{BOUNDS}

[platform]
address = "{STORE_HOST}:{self.store_port}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""

    async def wait_for_store(self) -> None:
        await _wait_until(self._has_store, 20)

    async def _has_store(self) -> bool:
        try:
            await call(STORE_HOST, self.store_port, "GET", "/kv-key?key=op/config")
        except OSError:
            return False
        return True

    async def wait_until_ready(self, time_limit_s: float = 25) -> None:
        """Wait until every router says that it is ready."""
        for ip in self.routers_by_ip:
            await _wait_until(lambda ip=ip: is_ready(ip), time_limit_s)

    async def close(self) -> None:
        """End all processes that were started."""
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.kill()
        if os.environ.get("KEEP_LOGS"):
            target = Path(os.environ["KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for path in self.folder.glob("*.log"):
                (target / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()


async def is_ready(ip: str, wait_s: float = 1.0) -> bool:
    """Ask a router as the balancer does; True if it answers 200 in time."""
    try:
        answer = await asyncio.wait_for(call(ip, READY, "GET", "/ready"), wait_s)
    except (OSError, TimeoutError):
        return False
    return answer is not None and answer.status == 200


@dataclass
class Outcome:
    """What a client saw of one request.

    :param status: None if there was no answer.
    :param is_complete: whether the answer has its end.
    """

    request: str
    kind: str
    router: str
    sent_at: float
    took_s: float = 0.0
    status: int | None = None
    is_complete: bool = False
    seal: str = ""
    body: bytes = b""
    pieces: int = 0
    error: str = ""


async def send_plain(
    deployment: Deployment,
    ip: str,
    method: str,
    target: str,
    wait_s: float,
    deadline_ms: int = 1000,
    body: bytes = b"",
) -> Outcome:
    """Send a request of a plain route; its client waits for a time at most."""
    outcome = Outcome(make_id(), target.split("/")[1], ip, time.monotonic())
    deployment.note(
        event="sent", request=outcome.request, router=ip, method=method, target=target
    )
    fields = make_fields(outcome.request, deadline_ms)
    try:
        answer = await asyncio.wait_for(
            call(ip, FRONT, method, target, fields, body), wait_s
        )
        if answer is None:
            outcome.error = "closed without an answer"
        else:
            outcome.status, outcome.body = answer.status, answer.body
            outcome.is_complete = answer.is_complete
            outcome.seal = answer.fields.get("response-seal", "")
    except TimeoutError:
        outcome.error = "no answer"
    except OSError as error:
        outcome.error = repr(error)
    outcome.took_s = time.monotonic() - outcome.sent_at
    _note_outcome(deployment, outcome)
    return outcome


async def send_stream(
    deployment: Deployment,
    ip: str,
    target: str,
    gap_s: float = 2.0,
    answer_tokens: int = 12,
    pause_s: float = 0.0,
) -> Outcome:
    """Send a request of a stream; its client leaves after a gap.

    :param answer_tokens: tokens, and events, of the answer.
    :param pause_s: time between the opening of the connection and the request.
    """
    outcome = Outcome(make_id(), "quote", ip, time.monotonic())
    fields = make_fields(outcome.request, 20000)
    fields |= {"Model": "m", "Token-Usage": f"800,{answer_tokens}"}
    fields["Prompt-Prefix"] = f"5c1e07a2:40,{outcome.request}:760"
    writer = None
    try:
        stream, writer = await asyncio.wait_for(asyncio.open_connection(ip, FRONT), 1)
        await asyncio.sleep(pause_s)
        outcome.sent_at = time.monotonic()
        deployment.note(event="sent", request=outcome.request, router=ip, target=target)
        fields = {"Host": HOST, **fields}
        writer.write(encode(f"POST {target} HTTP/1.1", fields, b"{}"))
        reader = Reader(stream)
        answer = await asyncio.wait_for(reader.read_head(), gap_s)
        if answer is None:
            outcome.error = "closed without an answer"
        else:
            await _read_answer(reader, answer, outcome, gap_s)
    except TimeoutError:
        outcome.error = "gap"
    except OSError as error:
        outcome.error = repr(error)
    finally:
        if writer is not None:
            writer.close()
    outcome.took_s = time.monotonic() - outcome.sent_at
    _note_outcome(deployment, outcome)
    return outcome


async def _read_answer(
    reader: Reader, answer: Message, outcome: Outcome, gap_s: float
) -> None:
    outcome.status = answer.status
    outcome.seal = answer.fields.get("response-seal", "")
    if answer.fields.get("transfer-encoding", "").lower() != "chunked":
        await asyncio.wait_for(reader.read_body(answer), gap_s)
        outcome.body, outcome.is_complete = answer.body, answer.is_complete
        return
    while True:
        piece = await asyncio.wait_for(reader.read_chunk(), gap_s)
        if not piece:
            outcome.is_complete = piece is not None
            break
        outcome.body += piece
    outcome.pieces = outcome.body.count(b"\n\n")


def make_fields(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }


def make_id() -> str:
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def _note_outcome(deployment: Deployment, outcome: Outcome) -> None:
    deployment.note(
        event="answered",
        request=outcome.request,
        router=outcome.router,
        kind=outcome.kind,
        status=outcome.status,
        complete=outcome.is_complete,
        bytes=len(outcome.body),
        pieces=outcome.pieces,
        took_s=round(outcome.took_s, 3),
        error=outcome.error,
    )


async def _wait_until(check, time_limit_s: float) -> None:
    end_at = time.monotonic() + time_limit_s
    while not await check():
        if time.monotonic() > end_at:
            raise RuntimeError("the deployment did not start in time")
        await asyncio.sleep(0.1)


def _choose_port() -> int:
    with socket.socket() as sock:
        sock.bind((STORE_HOST, 0))
        return sock.getsockname()[1]


def _choose_base(router_count: int) -> int:
    """Return the second number of loopback addresses whose ports are free."""
    for base in random.sample(range(20, 250), 100):
        ips = [f"127.{base}.1.{n + 1}" for n in range(router_count)]
        if all(_is_free(ip, p) for ip in ips for p in (FRONT, READY, CONTROL)):
            if all(_is_free(ip, INSPECTION) for ip in ips):
                return base
    raise RuntimeError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(play, record_path: Path, router_count: int = 3) -> int:
    """Play a case; 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Whoever ends the case ends what it started as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        deployment = Deployment(record_path, router_count)
        return asyncio.run(_play(play, deployment, has_trouble))
    except (RuntimeError, OSError, subprocess.SubprocessError) as error:
        print(f"the case could not run: {error!r}")
        return 2


async def _play(play, deployment: Deployment, has_trouble: bool) -> int:
    try:
        return await play(deployment, has_trouble)
    finally:
        await deployment.close()
