"""Test harness: a gateway with simulated store, engines and plain servers."""

import random
from dataclasses import dataclass, field, replace
from datetime import timedelta

import curio
import h11

from hibiscustiller.fleet import HostSettings
from hibiscustiller.ingress import Gateway
from hibiscustiller.ingress._exposition import ExposedMetrics
from hibiscustiller.settings import Address
from hibiscustiller.standins import (
    LayeredEngineStandin,
    MetadataStoreStandin,
    PlainServerStandin,
)
from hibiscustiller.utils import SystemClock
from hibiscustiller.wire import open_connection

LAYERS = 8
KEY = "key-of-greens"
HOST = "router.example"


def find_free_port():
    """Return a UDP port that is currently free on loopback."""
    sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
    sock._socket.bind(("127.0.0.1", 0))
    port = sock._socket.getsockname()[1]
    sock._socket.close()
    return port


def make_settings(store, name="router-1", grace_s=3.0, retry_slack=20.0):
    """Build the settings of a router host.

    :param store: address of the metadata store.
    :param name: id of the router.
    :param grace_s: time between the stop signal and the kill, in seconds.
    :param retry_slack: retries allowed per window in addition to the ratio.
    """
    port = find_free_port()
    return HostSettings(
        router_id=name,
        domain="north",
        ip="127.0.0.1",
        front=Address("127.0.0.1", 0),
        readiness=Address("127.0.0.1", 0),
        inner_ports=(port, port + 1),
        store=store,
        drain=timedelta(seconds=2),
        grace=timedelta(seconds=grace_s),
        retry_ratio=0.2,
        retry_window=timedelta(seconds=10),
        retry_slack=retry_slack,
        min_lease=timedelta(seconds=1),
        max_value_bytes=1 << 20,
    )


def make_document(version=1):
    """Return a fleet document in the form in which operators write it."""
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
        "timeout_ms": 10000,
        "target_latency_ms": 500,
        "service": "engines",
        "max_attempts": 2,
        "target_gap_ms": 250,
    }
    plain = {
        "host": HOST,
        "timeout_ms": 600,
        "target_latency_ms": 200,
        "service": "orders",
    }
    return {
        "version": version,
        "routes": [
            {**stream, "name": "chat", "prefix": "/chat/", "resumable": True},
            {**stream, "name": "once", "prefix": "/once/", "resumable": False},
            {
                **plain,
                "name": "book",
                "prefix": "/book/",
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
            {
                **plain,
                "name": "open",
                "prefix": "/stock/open/",
                "kind": "idempotent",
                "max_attempts": 2,
                "public": True,
            },
        ],
        "services": [
            {"name": "engines", "max_connections": 50, "engine": engine},
            {"name": "orders", "max_connections": 50},
        ],
        "tenants": [{"name": "greens", "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 2000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 2000,
        },
    }


@dataclass
class Answer:
    """Answer as received by a caller.

    :param headers: values by name.
    :param is_complete: whether the answer was received up to its end.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class World:
    """A gateway with a simulated store, engines and plain servers.

    Further gateways can be started next to the first one.

    :param engine_ids: ids of the engines.
    :param zones: failure domain of each engine.
    :param kind: kind of all engines; a small engine cannot hold the whole model.
    :param plain_count: number of plain servers.
    :param retry_slack: retries allowed per window in addition to the ratio.
    """

    def __init__(
        self,
        engine_ids=("e0", "e1"),
        zones=("north", "east"),
        kind="large",
        plain_count=2,
        retry_slack=20.0,
    ):
        self.clock = SystemClock()
        self.store = MetadataStoreStandin(self.clock)
        self.engines_by_address = {}
        self.engines = [
            LayeredEngineStandin(
                server_id, self.store, self.engines_by_address, zone=zone, kind=kind
            )
            for server_id, zone in zip(engine_ids, zones, strict=True)
        ]
        self.plain = [
            PlainServerStandin(f"p{number}", self.store)
            for number in range(plain_count)
        ]
        self.retry_slack = retry_slack
        self.gateway = None
        self.others = []
        self.request_count = 0

    async def __aenter__(self):
        await self.store.start()
        for server in [*self.engines, *self.plain]:
            await server.start()
        self.store.put("op/config", make_document())
        await self.start_gateway()
        return self

    async def start_gateway(self):
        """Start the first gateway and wait until it is ready."""
        self.gateway = self._make_gateway("router-1")
        await self.gateway.start()
        await self.wait_until(lambda: self.gateway.is_ready)

    async def start_other(self, name, connect=open_connection):
        """Start a further gateway and wait until all gateways know each other.

        :param name: router id of the gateway.
        :param connect: opens its connections to servers.
        """
        other = self._make_gateway(name, connect)
        self.others.append(other)
        await other.start()
        gateways = [self.gateway, *self.others]

        def know_each_other():
            return all(len(g.view.peers_by_id) == len(gateways) for g in gateways)

        await self.wait_until(lambda: other.is_ready and know_each_other())
        return other

    async def kill(self, gateway):
        """Stop a gateway without a shutdown, as if its process were killed."""
        for task in gateway._tasks:
            await task.cancel()
        await gateway.front.close()
        await gateway._readiness_server.close()
        if gateway._inner_server is not None:
            await gateway._inner_server.close()
        await gateway.inspection.stop()
        await gateway._datagrams.close()
        if gateway in self.others:
            self.others.remove(gateway)

    def _make_gateway(self, name, connect=open_connection):
        settings = make_settings(self.store.address, name, retry_slack=self.retry_slack)
        # Connections from 127.0.0.1 do not take ports of this address.
        settings = replace(settings, inner=Address("127.0.8.1", find_free_port()))
        random_state = random.Random(name)
        return Gateway(
            settings, self.clock, random_state, ExposedMetrics(), connect=connect
        )

    async def __aexit__(self, *args):
        for gateway in [*self.others, self.gateway]:
            await self.kill(gateway)
        for server in [*self.engines, *self.plain]:
            await server.server.close()
        await self.store.stop()

    def hold_all_layers(self, *engines):
        """Let engines hold the whole model, as after a placement command."""
        for engine in engines:
            engine.layers = (0, LAYERS)
            engine.write_entry()

    async def wait_until(self, condition, timeout_s=5.0):
        """Wait until a condition holds.

        :raises curio.TaskTimeout: if it does not hold within ``timeout_s`` seconds.
        """
        async with curio.timeout_after(timeout_s):
            while not condition():
                await curio.sleep(0.005)

    async def wait_for_pipelines(self, count):
        """Wait until the first gateway has exactly this number of pipelines."""

        def has_pipelines():
            forwarder = self.gateway.models.forwarders_by_service.get("engines")
            return forwarder and len(forwarder.selector.pipelines) == count

        await self.wait_until(has_pipelines)

    async def connect(self, gateway=None):
        """Open a connection to a gateway, by default to the first one."""
        address = (gateway or self.gateway).front.address
        return await curio.open_connection(address.host, address.port)

    async def request(self, path, gateway=None, **options):
        """Send a request on a new connection and read the answer.

        :param options: as for :func:`exchange`.
        """
        sock = await self.connect(gateway)
        async with sock:
            return await self.exchange(sock, path, **options)

    async def exchange(self, sock, path, **options):
        """Send a request on an open connection and read the answer.

        :param options: as for :func:`exchange`; ``request_id`` has a unique default.
        """
        self.request_count += 1
        options.setdefault("request_id", f"request-{self.request_count}")
        return await exchange(sock, path, **options)


class RawServer:
    """A server whose subclasses send any bytes in :meth:`serve`."""

    def __init__(self):
        self.tasks = []

    async def __aenter__(self):
        self.socket = curio.tcp_server_socket("127.0.0.1", 0)
        self.address = Address("127.0.0.1", self.socket.getsockname()[1])
        self.tasks.append(await curio.spawn(self.accept, daemon=True))
        return self

    async def __aexit__(self, *args):
        for task in self.tasks:
            await task.cancel()
        await self.socket.close()

    async def accept(self):
        while True:
            sock, _ = await self.socket.accept()
            self.tasks.append(await curio.spawn(self.serve, sock, daemon=True))

    async def serve(self, sock):
        """Serve a connection; it is closed by this method."""
        raise NotImplementedError


async def exchange(
    sock,
    path,
    *,
    request_id,
    method="POST",
    key=KEY,
    body=b"{}",
    headers=(),
    on_data=None,
    time_limit_s=8.0,
):
    """Send a request on an open connection and read the answer.

    :param key: API key of the caller; None to send none.
    :param on_data: called with the answer so far after each part of its body.
    :param time_limit_s: time allowed for the whole answer, in seconds.
    :returns: the answer; incomplete if the connection was closed early.
    """
    protocol = h11.Connection(h11.CLIENT)
    fields = [
        ("host", HOST),
        ("request-id", request_id),
        ("deadline-ms", "5000"),
        ("token-usage", "100,20"),
        ("content-length", str(len(body))),
        *headers,
    ]
    if key is not None:
        fields.append(("authorization", f"Token {key}"))
    data = protocol.send(h11.Request(method=method, target=path, headers=fields))
    data += protocol.send(h11.Data(data=body)) + protocol.send(h11.EndOfMessage())
    await sock.sendall(data)
    answer = Answer()
    async with curio.timeout_after(time_limit_s):
        while not answer.is_complete:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                data = await sock.recv(65536)
                try:
                    protocol.receive_data(data)
                    event = protocol.next_event() if not data else None
                except h11.RemoteProtocolError:
                    return answer
            if isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    name.decode(): value.decode() for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.body += event.data
                if on_data is not None:
                    await on_data(answer)
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
            elif isinstance(event, h11.ConnectionClosed):
                return answer
    return answer
