"""The listeners of a daemon, with bounds that follow from its host and its document."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from hibiscustiller.fleet import ClientLimits, HostSettings
from hibiscustiller.ingress._process_limits import derive_process_limits
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, Metrics
from hibiscustiller.wire import BodyMemory, Handler, HttpLimits, HttpServer

# The name of the router that passes a request on, its deadline and its last event.
_ADDED_HEADER_BYTES = 1024
# Probes, readers of metrics and questions of other routers are small.
_MAX_INTERNAL_BODY_BYTES = 1024


class Listeners:
    """Makes the servers of a daemon, and keeps their bounds up to date.

    :param settings: settings of the host.
    :param metrics: counts connections that are refused or give way to others.
    """

    def __init__(self, settings: HostSettings, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._process = derive_process_limits(settings.memory_bytes, settings.max_fds)
        self._client_limits: ClientLimits | None = None
        # Tells whether the document is known to be the newest one.
        self.is_document_current: Callable[[], bool] = lambda: True
        self._servers_by_name: dict[str, HttpServer] = {}
        process = self._process
        # Bodies of answers, and of requests.
        self.answer_memory, self.request_memory = (
            BodyMemory(count, process.uncounted_bytes)
            for count in (process.answer_bytes, process.request_bytes)
        )

    def make_server(self, name: str, address: Address, handle: Handler) -> HttpServer:
        """Make one of the servers.

        :param name: ``front``, ``inner``, ``readiness`` or ``inspection``.
        """
        self._servers_by_name[name] = server = HttpServer(
            address,
            handle,
            self._make_limits(name),
            name,
            self.request_memory,
            self._clock,
            self._metrics.count,
            is_relay=name in ("front", "inner"),
        )
        if name == "front":
            server.are_limits_current = self._are_client_limits_current
        return server

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the numbers of connections by server and by what they do."""
        servers = self._servers_by_name.items()
        return {name: server.describe() for name, server in servers}

    def log(self) -> None:
        """Log the bounds of the process."""
        self._process.log()

    def apply_settings(self, settings: HostSettings) -> None:
        """Put the bounds of changed settings in force."""
        process = derive_process_limits(settings.memory_bytes, settings.max_fds)
        self._process = process
        self.answer_memory.max_bytes = process.answer_bytes
        self.request_memory.max_bytes = process.request_bytes
        self._apply()
        process.log()

    def apply_document(self, limits: ClientLimits) -> None:
        """Put the client limits of a document in force."""
        self._client_limits = limits
        self._apply()

    def _apply(self) -> None:
        for name, server in self._servers_by_name.items():
            server.limits = self._make_limits(name)

    def _are_client_limits_current(self) -> bool:
        return self._client_limits is not None and self.is_document_current()

    def _make_limits(self, name: str) -> HttpLimits:
        process = self._process
        max_connections = {
            "front": process.front_connections,
            "inner": process.inner_connections,
            "readiness": process.readiness_connections,
            "inspection": process.inspection_connections,
        }[name]
        limits = HttpLimits(max_connections=max_connections)
        if name == "front":
            limits = replace(limits, outgoing_fds=process.front_outgoing_fds)
        if name == "inner":
            limits = replace(limits, outgoing_fds=process.inner_outgoing_fds)
        client = self._client_limits
        is_internal = name in ("readiness", "inspection")
        if is_internal or (name == "inner" and client is None):
            return replace(limits, max_body_bytes=_MAX_INTERNAL_BODY_BYTES)
        if client is None:
            return limits
        # Other routers have checked what they pass on, and add some headers to it.
        added = 0 if name == "front" else _ADDED_HEADER_BYTES
        return replace(
            limits,
            max_header_bytes=client.max_header_bytes + added,
            max_body_bytes=client.max_body_bytes,
            read_timeout=client.header_timeout,
            idle_timeout=client.idle_timeout,
        )
