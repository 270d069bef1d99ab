"""A small deployment on loopback addresses: store, servers and routers as processes.

The routers run with the command of the deploy file. The store and the servers are the
project's stand-ins, or programs of a case.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from base64 import b64encode
from http.client import HTTPConnection
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "router.example"
KEY = "key-of-greens"
TENANT = "greens"
LAYERS = 8
BOUNDS = """
[bounds]
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
budget_slack = 198
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 2000
require_fencing = true
"""
CONSTRAINTS = (
    '"base","drain","config","cost","retry","recover","engine","stream","tenants",'
    '"platform","layers"'
)
_used_ports = set()


def choose_port():
    """Return a port that is free for TCP and UDP and below the ephemeral ones."""
    for _ in range(1000):
        port = random.SystemRandom().randrange(20000, 32000)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port
    raise RuntimeError("no free port")


class Program:
    """A process of the deployment."""

    def __init__(self, name, arguments, directory, environment=None):
        self.name = name
        self.log_path = directory / f"{name}.log"
        self._arguments = arguments
        self._environment = environment or {}
        self._process = None

    def start(self):
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment.update(self._environment)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._arguments,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def pid(self):
        return self._process.pid

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self):
        return self._process.poll()

    def send_signal(self, number):
        if self.is_running:
            self._process.send_signal(number)

    def kill(self):
        if self.is_running:
            # A stopped process ends with SIGKILL as well.
            self._process.kill()
            self._process.wait()

    def read_memory_mb(self, field="VmRSS"):
        """Return a memory figure of the process; 0 if it has ended."""
        try:
            lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        found = [line.split()[1] for line in lines if line.startswith(f"{field}:")]
        return int(found[0]) / 1024 if found else 0.0


class Deployment:
    """The programs of a case, in a temporary folder."""

    def __init__(self):
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = self.directory / "runs.jsonl"
        self.record_path.touch()
        self.store_port = choose_port()
        self.programs = []
        self.routers = []
        self._seeds = []

    def start_program(self, name, arguments, environment=None):
        program = Program(name, arguments, self.directory, environment)
        self.programs.append(program)
        program.start()
        return program

    def start_standin(self, name, *arguments):
        return self.start_program(
            name, [sys.executable, "-m", "hibiscustiller.standins", *arguments]
        )

    def start_store(self):
        store = self.start_standin("store", "store", "--port", str(self.store_port))
        wait_for_port(self.store_port)
        return store

    def start_plain_server(self, server_id):
        port = choose_port()
        program = self.start_standin(
            server_id,
            *("plain", server_id, "--port", str(port)),
            *("--public", f"127.0.0.1:{port}"),
            *("--store", f"127.0.0.1:{self.store_port}"),
            *("--record", str(self.record_path)),
        )
        program.port = port
        return program

    def start_engine(self, server_id, domain="north", kind="large"):
        port = choose_port()
        program = self.start_standin(
            server_id,
            *("engine", server_id, "--port", str(port)),
            *("--public", f"127.0.0.1:{port}"),
            *("--store", f"127.0.0.1:{self.store_port}"),
            *("--domain", domain, "--kind", kind),
            *("--record", str(self.record_path)),
        )
        program.port = port
        return program

    def add_router(self, name, domain="north", store_port=None, memory_mb=300):
        """Start a router with settings like those that the platform gives."""
        front, ready, control, inspection = (choose_port() for _ in range(4))
        inner = choose_port()
        if len(self._seeds) < 3:
            self._seeds.append(f'"127.0.0.1:{control}"')
        settings = self.directory / f"{name}.toml"
        settings.write_text(
            f"""node_name = "{name}"
role = "router"
machine_class = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = "{domain}"
region = "here"
port_range = [{inner},{inner}]
seeds = [{",".join(self._seeds)}]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
constraints = [{CONSTRAINTS}]
[zones]
north = "here"
east = "here"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
{BOUNDS}
[platform]
address = "127.0.0.1:{store_port or self.store_port}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
        )
        # The command of the deploy file, with a port of its own for each router.
        command = [sys.executable, "-m", "hibiscustiller.ingress"]
        router = self.start_program(
            name,
            [*command, "--inspection-port", str(inspection)],
            {"HIBISCUSTILLER_NODE_FILE": str(settings)},
        )
        router.front, router.ready, router.settings = front, ready, settings
        router.inspection = inspection
        self.routers.append(router)
        return router

    def wait_until_ready(self, seconds=20):
        deadline = time.monotonic() + seconds
        for router in self.routers:
            while ask_status(router.ready, "/ready") != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{router.name} does not get ready")
                time.sleep(0.05)

    def write(self, key, value):
        """Write a key of the store as its operator or a server does."""
        write_key(self.store_port, key, value)

    def read_runs(self):
        return [json.loads(line) for line in self.record_path.read_text().splitlines()]

    def stop(self):
        for program in reversed(self.programs):
            program.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory, file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def write_key(store_port, key, value):
    """Write a key of the store; values other than bytes as JSON."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    while True:
        status, found = call_store(store_port, "GET", f"/kv-key?key={key}")
        body = {
            "expected": [{"key": key, "rev": found["rev"] if status == 200 else 0}],
            "puts": [{"key": key, "value": b64encode(data).decode(), "lease": 0}],
            "remove": [],
        }
        status, _ = call_store(store_port, "POST", "/kv-txn", body)
        if status == 200:
            return


def call_store(store_port, method, target, body=None):
    connection = HTTPConnection("127.0.0.1", store_port, timeout=5)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, target, data, {"content-type": "application/json"})
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, json.loads(data) if data else None
    finally:
        connection.close()


def wait_for_port(port, seconds=15):
    deadline = time.monotonic() + seconds
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.03)


def ask_status(port, path, timeout=1.0):
    """Return the status of a GET; None without an answer in time."""
    connection = HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    except OSError:
        return None
    finally:
        connection.close()


def make_document(version=1, **limits):
    """Return a configuration in the operator's form: an engine and a plain service."""
    engine = {
        "slots": 8,
        "token_kv_bytes": 80000,
        "stride": 1,
        "models": [{"name": "m", "pace": 1.0, "load_s": 0.1}],
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "delays": [{"from": "north", "target": "east", "delay_ms": 0.5}],
        "usual": {"prompt": 100, "answer": 20},
        "layers": LAYERS,
        "layer_mb": 100.0,
        "activation_bytes": 1000,
        "pipe_mbps": 1000.0,
        "kinds": [
            {"name": "large", "size_mb": 900.0, "pace": 1.0, "read_factor": 1.0},
            {"name": "small", "size_mb": 550.0, "pace": 1.0, "read_factor": 1.0},
        ],
    }
    stream = {
        "host": HOST,
        "kind": "streaming",
        "timeout_ms": 20000,
        "target_latency_ms": 500,
        "service": "engines",
        "max_attempts": 2,
        "target_gap_ms": 250,
        "priority": 0,
        "sticky": True,
    }
    plain = {
        "host": HOST,
        "timeout_ms": 800,
        "target_latency_ms": 500,
        "service": "orders",
        "priority": 2,
    }
    return {
        "version": version,
        "routes": [
            {**stream, "name": "draft", "prefix": "/draft/", "resumable": True},
            {
                **plain,
                "name": "confirm",
                "prefix": "/confirm/",
                "kind": "non_idempotent",
                "max_attempts": 1,
            },
            {
                **plain,
                "name": "stock",
                "prefix": "/stock/",
                "kind": "idempotent",
                "max_attempts": 2,
            },
        ],
        "services": [
            {"name": "engines", "max_connections": 1068, "engine": engine},
            {"name": "orders", "max_connections": 100},
        ],
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 10000,
            **limits,
        },
    }


def end_on_termination():
    """Let SIGTERM end the case like an exception, so that its programs are ended."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
