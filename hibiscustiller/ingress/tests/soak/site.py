"""Programs of a soak test: daemons, a store, engines and plain servers."""

import itertools
import json
import random
import socket
from datetime import timedelta
from pathlib import Path

import curio

from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.ingress.tests.fixtures import KEY, make_document
from hibiscustiller.ingress.tests.soak.processes import Program
from hibiscustiller.ingress.tests.soak.proxy import LoopbackProxy
from hibiscustiller.platform import MetadataStore
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock
from hibiscustiller.wire import HttpClient

DAEMON_COUNT = 3
# Two pairs of small engines that hold the model together, and two large engines that
# hold it whole.
ENGINES_BY_ID = {
    "e0": ("north", "large"),
    "e1": ("north", "small"),
    "e2": ("north", "small"),
    "e3": ("east", "large"),
    "e4": ("east", "small"),
    "e5": ("east", "small"),
}
PLAIN_COUNT = 2
GRACE_S = 4.0
_STORE_TIMEOUT = timedelta(seconds=1)
_MAX_WRITE_ATTEMPTS = 20
_MAX_READS = 40
# Below the ephemeral ports: an outgoing connection could otherwise occupy the port of a
# program while it is down.
_PORT_RANGE = range(20000, 32000)


class Deployment:
    """The programs, with a proxy before each server and between daemons and the store.

    :param directory: directory for settings, logs and the record of runs.
    """

    def __init__(self, directory):
        self.directory = Path(directory)
        self.record_path = self.directory / "runs.jsonl"
        self.record_path.touch()
        self.clock = SystemClock()
        self._ports = set()
        self.store_port = self._choose_port()
        self.store = self._make_standin("store", ["store"], self.store_port)
        self.document = make_document()
        self.proxies_by_server = {}
        self.servers_by_id = {}
        for server_id, (domain, kind) in ENGINES_BY_ID.items():
            self._add_server("engine", server_id, ["--domain", domain, "--kind", kind])
        for number in range(PLAIN_COUNT):
            self._add_server("plain", f"p{number}", [])
        self.daemons = []
        self.front_addresses = []
        self.store_proxies_by_daemon = {}
        for number in range(DAEMON_COUNT):
            self._add_daemon(f"router-{number}")

    def _choose_port(self):
        """Return a port that is free for TCP and UDP and was not returned before."""
        while True:
            port = random.SystemRandom().choice(_PORT_RANGE)
            if port not in self._ports and _is_free(port):
                self._ports.add(port)
                return port

    def _make_standin(self, name, arguments, port):
        arguments = ["-m", "hibiscustiller.standins", *arguments, "--port", str(port)]
        return Program(name, arguments, self.directory)

    def _add_server(self, command, server_id, options):
        port, public_port = self._choose_port(), self._choose_port()
        proxy = LoopbackProxy(public_port, port)
        arguments = [
            *(command, server_id, *options),
            *("--public", f"127.0.0.1:{public_port}"),
            *("--store", f"127.0.0.1:{self.store_port}"),
            *("--record", str(self.record_path)),
        ]
        self.servers_by_id[server_id] = self._make_standin(server_id, arguments, port)
        self.proxies_by_server[server_id] = proxy

    def _add_daemon(self, name):
        front, ready, inner = (self._choose_port() for _ in range(3))
        proxy = LoopbackProxy(self._choose_port(), self.store_port)
        path = self.directory / f"{name}.toml"
        path.write_text(make_settings(name, front, ready, inner, proxy.port))
        arguments = ["-m", "hibiscustiller.ingress", "--settings", str(path)]
        self.daemons.append(Program(name, arguments, self.directory))
        self.front_addresses.append(Address("127.0.0.1", front))
        self.store_proxies_by_daemon[name] = proxy

    @property
    def proxies(self):
        """All proxies."""
        return [
            *self.proxies_by_server.values(),
            *self.store_proxies_by_daemon.values(),
        ]

    async def start(self):
        """Start all programs."""
        self.store.start()
        await wait_for_port(self.store_port)
        await self.write_document(self.document)
        for proxy in self.proxies:
            await proxy.start()
        for program in [*self.servers_by_id.values(), *self.daemons]:
            program.start()
        for front in self.front_addresses:
            await wait_for_port(front.port)

    async def stop(self):
        """Kill all programs that were started."""
        for program in [*self.daemons, *self.servers_by_id.values(), self.store]:
            program.resume()
            await program.kill()
        for proxy in self.proxies:
            await proxy.stop()

    def _make_store(self):
        client = HttpClient(self.clock)
        address = Address("127.0.0.1", self.store_port)
        return MetadataStore(client, address, _STORE_TIMEOUT, 1 << 20)

    async def wait_until_removed(self, server_id):
        """Wait until the store has no entry of a server; tell whether it has none."""
        store = self._make_store()
        for _ in range(_MAX_READS):
            try:
                if await store.get(f"servers/{server_id}") is None:
                    return True
            except StoreUnavailableError:
                # A fault may delay the store.
                pass
            await curio.sleep(0.05)
        return False

    async def write_document(self, document):
        """Write a configuration, and return once the store has accepted it."""
        store = self._make_store()
        data = json.dumps(document).encode()
        for _ in range(_MAX_WRITE_ATTEMPTS):
            try:
                found = await store.get("op/config")
                if found is not None and found.value == data:
                    return
                revision = 0 if found is None else found.revision
                await store.compare_and_swap("op/config", data, revision)
            except StoreUnavailableError:
                # A fault may delay the store; the next attempt finds what was written.
                await curio.sleep(0.2)
        raise AssertionError("the store did not accept the configuration")

    def read_runs(self):
        """Return the requests that the servers ran, as they recorded them."""
        return [json.loads(line) for line in self.record_path.read_text().splitlines()]


async def wait_for_port(port, time_limit_s=15):
    """Wait until a program accepts connections on a port."""
    async with curio.timeout_after(time_limit_s):
        while True:
            try:
                sock = await curio.open_connection("127.0.0.1", port)
            except OSError:
                await curio.sleep(0.05)
            else:
                await sock.close()
                return


def choose_ports(count):
    """Return different ports that are free for TCP and UDP."""
    ports = random.SystemRandom().sample(_PORT_RANGE, len(_PORT_RANGE))
    return list(itertools.islice(filter(_is_free, ports), count))


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def make_versioned_document(version):
    """Make the configuration of a version, which adds a route of its own."""
    document = make_document(version)
    stock = next(route for route in document["routes"] if route["name"] == "stock")
    own = {**stock, "name": f"only-{version}", "prefix": make_probe_prefix(version)}
    document["routes"].append(own)
    # Running requests must not be affected by changed times or weights.
    document["limits"]["idle_timeout_ms"] = 2000 if version % 2 else 1000
    stock["traffic_split"] = [{"service": "orders", "weight": 1.0 + version % 3}]
    for route in document["routes"]:
        if route["kind"] == "streaming" and not version % 2:
            route["timeout_ms"] = 6000
    # The route of the previous version is kept for callers that still use it.
    if version > 1:
        prefix = make_probe_prefix(version - 1)
        document["routes"].append({**stock, "name": "before", "prefix": prefix})
    assert document["tenants"][0]["api_keys"] == [KEY]
    return document


def make_probe_prefix(version):
    """Return the prefix of the route that a version adds.

    The next version keeps the route, and the one after it drops it.
    """
    return f"/version-{version}/"


def make_settings(name, front, ready, inner, store_port):
    """Return the settings file of a daemon, as the platform writes it."""
    domain = "east" if name.endswith("1") else "north"
    return f"""
node_name = "{name}"
zone = "{domain}"
ip = "127.0.0.1"
port_range = [{inner}, {inner}]

[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"

[platform]
address = "127.0.0.1:{store_port}"
value_bytes = 1048576
ttl_min_ms = 1000

[bounds]
drain_ms = 2000
grace_s = {GRACE_S}
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 20
"""
