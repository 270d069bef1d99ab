"""The configuration in force, the backend servers and the other routers.

The view does no I/O. The watcher, the relay and the gateway update it;
all other parts only read it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from hibiscustiller.discovery._departures import Departure, Departures
from hibiscustiller.discovery._outages import StoreOutages
from hibiscustiller.fleet import BackendServer, FleetDocument, ServerState
from hibiscustiller.platform import NO_REVISION, Revision
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
# After an outage the routers learn within this time what was written before it. An
# entry that changes later was written after the outage.
_RETURN_READ_TIME = timedelta(seconds=0.5)
# What passes between the removal of an entry and the end of requests to its server,
# apart from the time for which the server is kept. Changes wait for the follower's next
# watch and a message.
_LEARNING_TIME = timedelta(milliseconds=300)
# Missing servers are dropped at the polls of a source, the longest of which follow each
# other by 0.7 s and a tenth more.
_DROPPING_TIME = timedelta(milliseconds=770)
# Pipelines are found again and a request is sent.
_SENDING_TIME = timedelta(milliseconds=300)
_REMOVAL_DELAY = _LEARNING_TIME + _DROPPING_TIME + _SENDING_TIME
# A server that announced its shutdown, or whose entry was removed, continues to serve
# for the platform's drain time. The delays of the store and of the watch use up a part
# of it.
_LEAVING_DRAIN_FRACTION = 0.5
# The same, from the moment at which this router last knew that its state was current.
# It may learn late that a server leaves, if its source was lost.
_CURRENT_DRAIN_FRACTION = 0.7
# An entry of a server that left before the store was restored is not used for this
# time. The platform removes the entry of a silent server within some seconds; one that
# is still there belongs to a running server.
_OUTDATED_ENTRY_TIME = timedelta(seconds=30)
# Routers name their versions several times a second. One that none has named for this
# time was lost with the routers that had it and with a restored store.
_NAMED_VERSION_TIME = timedelta(seconds=10)
# The lease with which a router registers; a router that a restored store lacks, or that
# it lists although it had left, is known for certain by then.
_ROUTER_LEASE_TIME = timedelta(seconds=8)


@dataclass(frozen=True)
class Peer:
    """A router of the fleet, as registered in the store.

    :param address: address at which it receives datagrams from routers.
    :param domain: its failure domain.
    :param capacity: processor time of its host, in cores.
    :param inner: address at which it serves the HTTP requests of routers; None if it
        does not.
    """

    router_id: RouterId
    address: Address
    domain: DomainId
    capacity: float = 1.0
    inner: Address | None = None


class ServerPresence(Enum):
    """Whether the process of a server has an entry in the store.

    The entry of a MISSING one was removed, and the process may register again. A
    REMOVED one has left, or another process has its id.
    """

    LISTED = "listed"
    MISSING = "missing"
    REMOVED = "removed"


@dataclass(frozen=True)
class _MissingServer:
    """A server whose entry was removed and that may register again.

    :param since: when that was learnt.
    :param until: until when it is kept at most; None if its entry may have expired in
        an outage, whose end decides.
    """

    since: timedelta
    until: timedelta | None


class FleetView:
    """This router's present knowledge of the fleet.

    :param clock: measures how long servers have been missing.
    :param drain: time for which a leaving server continues to serve.
    :param heartbeat: period in which servers renew their entries; zero if unknown.
    """

    def __init__(
        self, clock: Clock, drain: timedelta, heartbeat: timedelta = timedelta(0)
    ) -> None:
        self._clock = clock
        self.outages = StoreOutages(clock, heartbeat)
        self._drain = drain
        # Leaving servers, each with the time until which it may receive requests.
        self._leaving_by_id: dict[ServerId, tuple[BackendServer, timedelta]] = {}
        self._document_revision: Revision = NO_REVISION
        self._departures = Departures()
        # Entries of a restored store that are older than what is known of the server or
        # router, each with the time until which they are not used.
        self._outdated_servers: dict[ServerId, tuple[BackendServer, timedelta]] = {}
        self._outdated_peers: dict[RouterId, tuple[Peer, timedelta]] = {}
        self._removed_peers: set[RouterId] = set()
        # Routers that a restored store lacks, and until when they are kept.
        self._missing_peer_until: dict[RouterId, timedelta] = {}
        self._servers_by_id: dict[ServerId, BackendServer] = {}
        # The latest process at each address.
        self._latest_by_address: dict[Address, BackendServer] = {}
        # Servers whose entry was removed and that may register again.
        self._missing_by_id: dict[ServerId, _MissingServer] = {}
        # When the entry of each server last changed.
        self._changed_at_by_id: dict[ServerId, timedelta] = {}
        self._first_read_at: timedelta | None = None
        # When the state was last known to be that of the store.
        self._current_at: timedelta | None = None
        self._listeners: list[Callable[[], object]] = []
        self.document: FleetDocument | None = None
        # The newest version of the document that another router has named, and when it
        # was last named.
        self._named_version = 0
        self._named_at = timedelta(0)
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

    def apply_document(self, document: FleetDocument, revision: Revision) -> bool:
        """Put a document in force unless it is no newer than the present one.

        Documents are ordered by their versions, because a restored store may hold an
        older one at a newer revision.

        :param revision: the store revision of the document's last write.
        :returns: whether the document was put in force.
        """
        known = self.document
        if known is not None and document.version < known.version:
            log_event(
                "document_outdated",
                level="warning",
                version=document.version,
                revision=revision,
                in_force=known.version,
            )
            return False
        is_same_version = known is not None and document.version == known.version
        if is_same_version and revision <= self._document_revision:
            return False
        self._document_revision = max(revision, self._document_revision)
        self.document = document
        log_event(
            "document_in_force",
            version=document.version,
            revision=revision,
            routes=len(document.routes),
        )
        self._notify_listeners()
        return True

    def are_close(self, router_id: RouterId, other_id: RouterId) -> bool:
        """Tell whether two routers are known to be in the same failure domain."""
        peer, other = self.peers_by_id.get(router_id), self.peers_by_id.get(other_id)
        return peer is not None and other is not None and peer.domain == other.domain

    @property
    def named_version(self) -> int:
        """The newest version of the document that another router has; 0 if unknown."""
        age = self._clock.monotonic() - self._named_at
        return self._named_version if age <= _NAMED_VERSION_TIME else 0

    def record_named_version(self, version: int) -> None:
        """Record that another router has a version of the document."""
        if version >= self.named_version:
            self._named_version = version
            self._named_at = self._clock.monotonic()

    def record_current(self, age: timedelta = timedelta(0)) -> None:
        """Record that the state is that of the store, or was some time ago.

        :param age: the age of the evidence.
        """
        at = self._clock.monotonic() - age
        self._current_at = at if self._current_at is None else max(self._current_at, at)

    def apply_server(self, server: BackendServer, *, is_restored: bool = False) -> None:
        """Add or update a server.

        :param is_restored: whether the entry is that of a restored store, which may be
            older than what is known of the server.
        """
        self._forget_missing(server.id)
        self._outdated_servers.pop(server.id, None)
        previous = self._servers_by_id.get(server.id)
        if is_restored and self._is_outdated(server, previous):
            self._set_aside(server)
            return
        if server.state is ServerState.READY:
            self._departures.discard(server.id)
        if previous == server:
            return
        self._servers_by_id[server.id] = server
        self._changed_at_by_id[server.id] = self._clock.monotonic()
        latest = self._latest_by_address.get(server.address)
        if latest is None or latest.id == server.id or latest.born <= server.born:
            self._latest_by_address[server.address] = server
        if server.state is ServerState.DRAINING:
            self._record_leaving(server)
            self._departures.record(server)
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

        A server whose entry may have expired in an outage of the store is kept until
        it has had time to write it again.
        """
        self._outdated_servers.pop(server_id, None)
        if server_id not in self._servers_by_id:
            return
        time_left = self._get_reregistration_time(server_id)
        if time_left <= timedelta(0):
            self._drop_server(server_id)
        elif server_id not in self._missing_by_id:
            now = self._clock.monotonic()
            until = self._get_removal_limit()
            self._missing_by_id[server_id] = _MissingServer(now, until)
            log_event(
                "server_missing",
                server=server_id,
                kept_for=time_left,
                state_age=None if self._current_at is None else now - self._current_at,
            )

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

    def list_departures(self) -> tuple[Departure, ...]:
        """Return the processes of servers that left."""
        return self._departures.list_all()

    def merge_departures(self, departures: Iterable[Departure]) -> None:
        """Record departures that another router knows, and drop these servers.

        It is called by a router that read a restored store without having known it
        before.
        """
        self._departures.merge(departures)
        for server in list(self._servers_by_id.values()):
            if self._departures.covers(server):
                self._drop_server(server.id, may_drain=False)
                self._set_aside(server)

    @property
    def has_missing_servers(self) -> bool:
        """Whether servers are kept although their entries are gone."""
        return bool(self._missing_by_id)

    def drop_missing(self) -> None:
        """Remove missing servers that did not register again in time."""
        now = self._clock.monotonic()
        for server_id in list(self._missing_by_id):
            if self._get_reregistration_time(server_id) <= timedelta(0):
                self._drop_server(server_id)
        for server, until in list(self._outdated_servers.values()):
            if now >= until and server.id not in self._servers_by_id:
                self.apply_server(server)
        for router_id, until in list(self._missing_peer_until.items()):
            if now >= until:
                self.remove_peer(router_id)
        for peer, until in list(self._outdated_peers.values()):
            if now >= until:
                self.apply_peer(peer)

    def apply_peer(self, peer: Peer, *, is_restored: bool = False) -> None:
        """Add or update a router.

        :param is_restored: whether the entry is that of a restored store. A router that
            had ended before is not added again by it.
        """
        self._missing_peer_until.pop(peer.router_id, None)
        self._outdated_peers.pop(peer.router_id, None)
        if is_restored and peer.router_id in self._removed_peers:
            until = self._clock.monotonic() + _ROUTER_LEASE_TIME
            self._outdated_peers[peer.router_id] = (peer, until)
            return
        self._removed_peers.discard(peer.router_id)
        if self.peers_by_id.get(peer.router_id) == peer:
            return
        self.peers_by_id[peer.router_id] = peer
        self.routers_generation += 1

    def remove_peer(self, router_id: RouterId, *, is_restored: bool = False) -> None:
        """Remove a router.

        :param is_restored: whether a restored store lacks its entry. The router is then
            kept until it has had time to register again.
        """
        self._outdated_peers.pop(router_id, None)
        if router_id not in self.peers_by_id:
            return
        now = self._clock.monotonic()
        if is_restored:
            self._missing_peer_until.setdefault(router_id, now + _ROUTER_LEASE_TIME)
            return
        self._missing_peer_until.pop(router_id, None)
        del self.peers_by_id[router_id]
        self._removed_peers.add(router_id)
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

    def get_presence(self, server: BackendServer) -> ServerPresence:
        """Tell whether a server's process still has an entry in the store."""
        current = self._servers_by_id.get(server.id)
        if current is None or current.born != server.born:
            return ServerPresence.REMOVED
        if server.id in self._missing_by_id:
            return ServerPresence.MISSING
        return ServerPresence.LISTED

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

    def list_all_servers(self) -> list[BackendServer]:
        """Return the servers of all services."""
        return list(self._servers_by_id.values())

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

    def _get_reregistration_time(self, server_id: ServerId) -> timedelta:
        """Return how long a server without an entry may take to register again.

        :returns: zero or less if its entry cannot have expired in an outage.
        """
        outage = self.outages.find_last()
        changed_at = self._changed_at_by_id[server_id]
        if outage is None or changed_at > outage.ended_at + _RETURN_READ_TIME:
            return timedelta(0)
        until = outage.ended_at + _REREGISTRATION_TIME
        missing = self._missing_by_id.get(server_id)
        limit = self._get_removal_limit() if missing is None else missing.until
        if limit is not None:
            until = min(until, limit)
        return until - self._clock.monotonic()

    def _get_removal_limit(self) -> timedelta | None:
        """Return until when a server is kept whose removal is learnt now.

        If the state was that of the store after the last outage, the entry was removed
        later, and the server may have left right then.

        :returns: None if the entry may have been removed in the outage.
        """
        outage, current_at = self.outages.find_last(), self._current_at
        if outage is None or outage.is_restore or current_at is None:
            return None
        if current_at < outage.ended_at:
            return None
        if current_at > outage.ended_at + _RETURN_READ_TIME:
            return current_at
        return current_at + self._drain - _REMOVAL_DELAY

    def _is_outdated(self, server: BackendServer, known: BackendServer | None) -> bool:
        """Tell whether an entry of a restored store is older than what is known."""
        if known == server:
            return False
        if self._departures.covers(server):
            return True
        if known is None or server.state is ServerState.DRAINING:
            return False
        return (server.born, server.update) <= (known.born, known.update)

    def _set_aside(self, server: BackendServer) -> None:
        """Do not use an outdated entry, unless it remains for long."""
        until = self._clock.monotonic() + _OUTDATED_ENTRY_TIME
        self._outdated_servers[server.id] = (server, until)
        log_event(
            "server_entry_outdated",
            server=server.id,
            state=server.state,
            layers=server.layers,
            born=server.born,
            update=server.update,
        )

    def _drop_server(self, server_id: ServerId, *, may_drain: bool = True) -> None:
        missing_for = self._forget_missing(server_id)
        was_missing = missing_for is not None
        server = self._servers_by_id.pop(server_id)
        del self._changed_at_by_id[server_id]
        self._departures.record(server)
        if self._latest_by_address.get(server.address) == server:
            del self._latest_by_address[server.address]
        if may_drain and not was_missing and server.state is ServerState.READY:
            self._record_leaving(server)
        log_event("server_gone", server=server_id, missing_for=missing_for)
        self._notify_listeners()

    def _forget_missing(self, server_id: ServerId) -> timedelta | None:
        """Return for how long a server was missing; None if it was not."""
        missing = self._missing_by_id.pop(server_id, None)
        return None if missing is None else self._clock.monotonic() - missing.since

    def _record_leaving(self, server: BackendServer) -> None:
        until = self._clock.monotonic() + self._drain * _LEAVING_DRAIN_FRACTION
        if self._current_at is not None:
            # The server may have begun to leave right after that moment.
            latest = self._current_at + self._drain * _CURRENT_DRAIN_FRACTION
            until = min(until, latest)
        self._leaving_by_id.setdefault(server.id, (server, until))

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
