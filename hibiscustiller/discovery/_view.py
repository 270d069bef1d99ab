"""The configuration in force, the backend servers and the other routers.

The view does no I/O. The watcher, the relay and the gateway update it;
all other parts only read it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import BackendServer, FleetDocument, ServerState
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    Clock,
    DomainId,
    HashRing,
    RouterId,
    ServerId,
    ServiceName,
    log_event,
    rank_by_rendezvous,
)

# Servers whose entries expired during a store outage write them again within two
# seconds of its end. A server that is still missing after this time is removed.
_REREGISTRATION_TIME = timedelta(seconds=2.3)
# A server that announced its shutdown, or whose entry was removed, continues to serve
# for the platform's drain time. The delays of the store and of the watch use up a part
# of it.
_LEAVING_DRAIN_FRACTION = 0.5


@dataclass(frozen=True)
class Peer:
    """A router of the fleet, as registered in the store.

    :param address: address at which it receives datagrams from routers.
    :param domain: its failure domain.
    :param capacity: processor time of its host, in cores.
    """

    router_id: RouterId
    address: Address
    domain: DomainId
    capacity: float = 1.0


class FleetView:
    """This router's present knowledge of the fleet.

    :param clock: measures how long servers have been missing.
    :param drain: time for which a leaving server continues to serve.
    """

    def __init__(self, clock: Clock, drain: timedelta) -> None:
        self._clock = clock
        self._drain = drain
        # Leaving servers, each with the time until which it may receive requests.
        self._leaving_by_id: dict[ServerId, tuple[BackendServer, timedelta]] = {}
        self._document_revision = 0
        self._servers_by_id: dict[ServerId, BackendServer] = {}
        # The latest process at each address.
        self._latest_by_address: dict[Address, BackendServer] = {}
        self._missing_until_by_id: dict[ServerId, timedelta] = {}
        self._store_returned_at: timedelta | None = None
        self._first_read_at: timedelta | None = None
        self._listeners: list[Callable[[], object]] = []
        self.document: FleetDocument | None = None
        self.peers_by_id: dict[RouterId, Peer] = {}
        # Incremented with each change of `peers_by_id`.
        self.routers_generation = 0
        self.has_lease_holder = False
        self._ranks_by_key: dict[tuple[str, DomainId | None], list[RouterId]] = {}
        self._ranks_generation = -1
        self._ring: HashRing[RouterId] = HashRing(())
        self._ring_key: tuple[int, RouterId] | None = None

    def subscribe(self, listener: Callable[[], object]) -> None:
        """Register a function called after each change of the document or servers."""
        self._listeners.append(listener)

    def apply_document(self, document: FleetDocument, revision: int) -> bool:
        """Put a document in force unless it is no newer than the present one.

        :param revision: the store revision of the document's last write.
        :returns: whether the document was put in force.
        """
        if revision <= self._document_revision:
            return False
        self._document_revision = revision
        self.document = document
        log_event(
            "document_in_force",
            version=document.version,
            revision=revision,
            routes=len(document.routes),
        )
        self._notify_listeners()
        return True

    def apply_server(self, server: BackendServer) -> None:
        """Add or update a server."""
        self._missing_until_by_id.pop(server.id, None)
        previous = self._servers_by_id.get(server.id)
        if previous == server:
            return
        self._servers_by_id[server.id] = server
        latest = self._latest_by_address.get(server.address)
        if latest is None or latest.id == server.id or latest.born <= server.born:
            self._latest_by_address[server.address] = server
        if server.state is ServerState.DRAINING:
            self._record_leaving(server)
        log_event(
            "server_changed",
            server=server.id,
            service=server.service,
            state=server.state,
            layers=server.layers,
            born=server.born,
        )
        self._notify_listeners()

    def remove_server(self, server_id: ServerId) -> None:
        """Remove a server whose entry was deleted or has expired.

        Shortly after a store outage the server is kept until it has had time to write
        its entry again.
        """
        if server_id not in self._servers_by_id:
            return
        until = self._get_reregistration_deadline()
        if until is not None:
            self._missing_until_by_id.setdefault(server_id, until)
            return
        self._drop_server(server_id)

    @property
    def is_settled(self) -> bool:
        """Whether servers had time to register again since the first read.

        A router that starts while entries are missing must not treat their servers
        as lost.
        """
        if self._first_read_at is None:
            return False
        return self._clock.monotonic() - self._first_read_at >= _REREGISTRATION_TIME

    def replace_servers(self, servers: Iterable[BackendServer]) -> None:
        """Replace the servers by a complete list."""
        if self._first_read_at is None:
            self._first_read_at = self._clock.monotonic()
        found = {server.id: server for server in servers}
        for server in found.values():
            self.apply_server(server)
        for server_id in set(self._servers_by_id) - set(found):
            self.remove_server(server_id)

    def handle_store_return(self, age: timedelta = timedelta(0)) -> None:
        """Record that the store answers again after a failure.

        :param age: time since it first answered.
        """
        at = self._clock.monotonic() - age
        if self._store_returned_at is None or at > self._store_returned_at:
            self._store_returned_at = at

    @property
    def store_return_age(self) -> timedelta | None:
        """Time since the end of the last store outage; None if there was none."""
        if self._store_returned_at is None:
            return None
        return self._clock.monotonic() - self._store_returned_at

    def drop_missing(self) -> None:
        """Remove missing servers that did not register again in time."""
        now = self._clock.monotonic()
        expired_ids = [
            key for key, until in self._missing_until_by_id.items() if now >= until
        ]
        for server_id in expired_ids:
            self._drop_server(server_id)

    def apply_peer(self, peer: Peer) -> None:
        """Add or update a router."""
        if self.peers_by_id.get(peer.router_id) == peer:
            return
        self.peers_by_id[peer.router_id] = peer
        self.routers_generation += 1

    def remove_peer(self, router_id: RouterId) -> None:
        """Remove a router."""
        if self.peers_by_id.pop(router_id, None) is not None:
            self.routers_generation += 1

    def count_routers(self) -> int:
        """Return how many routers share budgets and servers, including this one."""
        return max(1, len(self.peers_by_id))

    def rank_by_capacity(
        self, role: str, domain: DomainId | None = None
    ) -> list[RouterId]:
        """Rank the routers for a role that one of them performs for the others.

        Hosts with the highest capacity come first; among equal hosts the order differs
        by role. Routers with the same list of routers compute the same ranking.

        :param role: name of the role.
        :param domain: restricts the ranking to the routers of this failure domain, if
            it has any.
        """
        if self._ranks_generation != self.routers_generation:
            self._ranks_generation = self.routers_generation
            self._ranks_by_key.clear()
        key = (role, domain)
        if key not in self._ranks_by_key:
            peers = self.peers_by_id.values()
            candidates = [peer for peer in peers if peer.domain == domain] or list(
                peers
            )
            ranked = rank_by_rendezvous(role, [peer.router_id for peer in candidates])
            self._ranks_by_key[key] = sorted(
                ranked, key=lambda router_id: -self.peers_by_id[router_id].capacity
            )
        return self._ranks_by_key[key]

    def choose_routers(self, key: str, count: int, own_id: RouterId) -> list[RouterId]:
        """Return the routers that are responsible for a key, by consistent hashing.

        Routers with the same list of routers choose the same ones.

        :param count: the number of routers.
        :param own_id: this router, which may not be registered yet.
        """
        ring_key = (self.routers_generation, own_id)
        if self._ring_key != ring_key:
            self._ring_key = ring_key
            self._ring = HashRing({*self.peers_by_id, own_id})
        return self._ring.choose(key, count)

    def get_server(self, server_id: ServerId) -> BackendServer | None:
        """Return a server, or None if it is unknown or was removed."""
        return self._servers_by_id.get(server_id)

    def is_replaced(self, server: BackendServer) -> bool:
        """Tell whether a later process, under another id, has a server's address."""
        latest = self._latest_by_address.get(server.address)
        return (
            latest is not None and latest.id != server.id and latest.born > server.born
        )

    def is_leaving(self, server: BackendServer) -> bool:
        """Tell whether a server announced that it leaves, or was removed as such."""
        current = self._servers_by_id.get(server.id)
        if current is not None:
            is_same = current.born == server.born
            return is_same and current.state is ServerState.DRAINING
        return server.id in self._leaving_by_id

    def list_servers(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers of a service that accept new requests."""
        return [
            server
            for server in self._servers_by_id.values()
            if server.service == service and server.state is ServerState.READY
        ]

    def list_leaving(self, service: ServiceName) -> list[BackendServer]:
        """Return the leaving servers of a service that may still receive requests.

        They are used where no other server can replace them yet.
        """
        now = self._clock.monotonic()
        expired_ids = [
            key for key, (_, until) in self._leaving_by_id.items() if now >= until
        ]
        for server_id in expired_ids:
            del self._leaving_by_id[server_id]
        return [
            server
            for server, _ in self._leaving_by_id.values()
            if server.service == service
        ]

    def _get_reregistration_deadline(self) -> timedelta | None:
        if self._store_returned_at is None:
            return None
        until = self._store_returned_at + _REREGISTRATION_TIME
        return until if self._clock.monotonic() < until else None

    def _drop_server(self, server_id: ServerId) -> None:
        was_missing = self._missing_until_by_id.pop(server_id, None) is not None
        server = self._servers_by_id.pop(server_id)
        if self._latest_by_address.get(server.address) == server:
            del self._latest_by_address[server.address]
        if not was_missing and server.state is ServerState.READY:
            self._record_leaving(server)
        log_event("server_gone", server=server_id)
        self._notify_listeners()

    def _record_leaving(self, server: BackendServer) -> None:
        until = self._clock.monotonic() + self._drain * _LEAVING_DRAIN_FRACTION
        self._leaving_by_id.setdefault(server.id, (server, until))

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
