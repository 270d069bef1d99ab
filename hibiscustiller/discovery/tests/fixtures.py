"""In-process routers with an in-memory store and datagrams that may be lost."""

import json
import random
from collections import Counter
from datetime import timedelta

import curio

from hibiscustiller.discovery import (
    ChangeLog,
    FleetView,
    FleetWatcher,
    Peer,
    Registration,
    StoreReach,
    StoreRelay,
)
from hibiscustiller.discovery._change_transfer import TRANSFER_LIMITS
from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.platform import (
    Change,
    Changes,
    HistoryLostError,
    LeaseId,
    Revision,
    SwapOutcome,
)
from hibiscustiller.platform._kv_store import MIN_BYTES_PER_S
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock, Verdict
from hibiscustiller.wire import TransferDeadline, TransferLimits
from hibiscustiller.wire._messages_generated import decode_message, encode_message

SECOND = timedelta(seconds=1)
# The number of keys on a page of the store, and the cost of reading a page that may be
# stale, relative to other calls.
PAGE_KEYS = 50
STALE_PAGE_COST = 0.1
RENEWAL_COST = 0.1
# In this time a change must be in force on routers that reach the store.
CHANGE_LIMIT = timedelta(seconds=2)
# After this time a call other than a watch fails if the store does not answer.
CALL_TIMEOUT_S = 0.8
# The piece of an answer after which a link serves the next one.
LINK_PIECE_BYTES = 64 << 10
# Size of a key's entry in an answer apart from its value, which is sent as base64.
ENTRY_OVERHEAD_BYTES = 80


def make_entry(state="ready"):
    """Return a server's entry as the server writes it."""
    values = {
        "service": "orders",
        "address": "127.0.0.1:9",
        "zone": "north",
        "version": 1,
        "slots": 6,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return json.dumps(values).encode()


class Link:
    """A link that answers share piece by piece.

    :param bytes_per_s: its bandwidth; None if it is not a limit.
    """

    def __init__(self, bytes_per_s=None):
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 0
        self._is_free_at = 0.0

    async def send(self, size, deadline=None):
        """Wait until some bytes have passed.

        :param deadline: of the receiver, which moves with the bytes; None for none.
        :raises StoreUnavailableError: if the receiver gives up.
        """
        while size > 0:
            piece = min(size, LINK_PIECE_BYTES)
            size -= piece
            self.sent_bytes += piece
            if self.bytes_per_s is None:
                continue
            now = await curio.clock()
            self._is_free_at = max(now, self._is_free_at) + piece / self.bytes_per_s
            arrives_at = self._is_free_at
            if deadline is not None and arrives_at > deadline.at.total_seconds():
                await curio.sleep(max(0.0, deadline.at.total_seconds() - now))
                raise StoreUnavailableError("no answer", Verdict.NOT_RUN)
            await curio.sleep(arrives_at - now)
            if deadline is not None:
                deadline.record(arrives_at * SECOND, piece)


def count_bytes(changes):
    """Return the size of an answer of the store."""
    return sum(
        ENTRY_OVERHEAD_BYTES + len(change.value or b"") * 4 // 3 for change in changes
    )


class MemoryStore:
    """An in-memory store that counts the calls of all routers."""

    def __init__(self):
        self.link = Link()
        self.abandoned_calls = 0
        self.calls = 0
        self.cost = 0.0
        self.calls_by_router = Counter()
        self.stale_state = None
        self.revision = Revision(1, 1)
        self.first_revision = Revision(1, 1)
        self.values_by_key = {}
        self.history = []
        self.refused_routers = set()
        # Their calls are accepted and not answered.
        self.silent_routers = set()
        self.is_down = False

    def put(self, key, value):
        """Write a value; None deletes the key."""
        self.revision = Revision(self.revision.era, self.revision.number + 1)
        change = Change(key, value, self.revision)
        self.history.append(change)
        if value is None:
            del self.values_by_key[key]
        else:
            self.values_by_key[key] = change

    def freeze_stale_reads(self):
        """Answer later reads that may be stale with the present state."""
        self.stale_state = dict(self.values_by_key), self.revision

    def copy(self):
        """Return a copy of the present state, to which the store can be restored."""
        return dict(self.values_by_key), list(self.history), self.revision.number

    def restore(self, copy):
        """Return to an earlier state under a new era; later writes are lost."""
        values_by_key, history, number = copy
        era = self.revision.era + 1
        self.revision, self.stale_state = Revision(era, number), None
        self.first_revision = Revision(era, 1)
        self.history = [_move_to_era(change, era) for change in history]
        self.values_by_key = {
            key: _move_to_era(change, era) for key, change in values_by_key.items()
        }

    def forget_history(self):
        """Discard the history of changes up to now."""
        self.first_revision = self.revision
        self.history.clear()


def _move_to_era(change, era):
    revision = Revision(era, change.revision.number)
    return Change(change.key, change.value, revision)


class StoreClient:
    """A router's client of the in-memory store."""

    def __init__(self, store, router_id):
        self.store = store
        # The link of this router alone; None if it shares that of the store.
        self.link = None
        self.router_id = router_id
        self.era = 0

    def _record_call(self, cost=1.0):
        self.store.calls += 1
        if cost == 1.0:
            self.store.calls_by_router[self.router_id] += 1
        is_refused = self.store.is_down or self.router_id in self.store.refused_routers
        # A refused call has the full cost.
        self.store.cost += 1.0 if is_refused else cost
        if is_refused:
            raise StoreUnavailableError("refused", Verdict.NOT_RUN)
        self.era = self.store.revision.era

    async def _wait_while_silent(self, timeout_s=CALL_TIMEOUT_S):
        until = await curio.clock() + timeout_s
        while self.router_id in self.store.silent_routers:
            if await curio.clock() >= until:
                raise StoreUnavailableError("no answer", Verdict.NOT_RUN)
            await curio.sleep(0.01)

    async def _receive(self, changes):
        """Wait for an answer that names some changes, as the store's client does."""
        limits = TransferLimits(CALL_TIMEOUT_S * SECOND, MIN_BYTES_PER_S)
        deadline = TransferDeadline(limits, await curio.clock() * SECOND)
        try:
            await (self.link or self.store.link).send(count_bytes(changes), deadline)
        except StoreUnavailableError:
            self.store.abandoned_calls += 1
            raise

    async def read_prefix(self, prefix, *, may_be_old=False):
        await self._wait_while_silent()
        pages = 1 + len(self.store.values_by_key) // PAGE_KEYS
        for _ in range(pages):
            self._record_call(STALE_PAGE_COST if may_be_old else 1.0)
        await curio.sleep(0.004)
        values_by_key, revision = self.store.values_by_key, self.store.revision
        if may_be_old and self.store.stale_state is not None:
            values_by_key, revision = self.store.stale_state
        items = tuple(values_by_key.values())
        for first in range(0, len(items), PAGE_KEYS):
            await self._receive(items[first : first + PAGE_KEYS])
        return Changes(items, revision)

    async def wait_changes(self, prefix, after, wait, on_answer=lambda: None):
        self._record_call()
        is_known = self.store.first_revision <= after <= self.store.revision
        if not is_known:
            raise HistoryLostError(after)
        until = await curio.clock() + wait.total_seconds()
        while self.store.revision <= after and await curio.clock() < until:
            await curio.sleep(0.01)
            await self._wait_while_silent(wait.total_seconds())
            if self.store.is_down or self.router_id in self.store.refused_routers:
                raise StoreUnavailableError("refused", Verdict.NOT_RUN)
        await self._wait_while_silent(wait.total_seconds())
        self.era = self.store.revision.era
        if self.era > after.era:
            raise HistoryLostError(after)
        items = tuple(c for c in self.store.history if c.revision > after)
        revision = self.store.revision
        on_answer()
        await self._receive(items)
        return Changes(items, revision)

    async def grant_lease(self, ttl):
        await self._wait_while_silent()
        self._record_call()
        return LeaseId(1)

    async def keep_alive(self, lease):
        await self._wait_while_silent()
        self._record_call(RENEWAL_COST)
        return True

    async def compare_and_swap(self, key, value, expected_revision, lease):
        await self._wait_while_silent()
        self._record_call()
        self.store.put(key, value)
        return SwapOutcome(True, self.store.revision.number, era=self.era)


class MemoryDatagrams:
    """A datagram socket that delivers messages between routers in one process."""

    def __init__(self, fleet, router_id, address):
        self.fleet = fleet
        self.router_id = router_id
        self.address = address
        self.handlers_by_type = {}

    def register(self, message_type, handler):
        self.handlers_by_type[message_type] = handler

    def encode(self, message):
        return encode_message(self.router_id, message, is_compressed=True)

    async def send(self, address, data):
        self.fleet.sent_bytes += len(data)
        if self.fleet.random_state.random() < self.fleet.loss:
            return
        member = self.fleet.members_by_address.get(address)
        if member is not None and member.tasks:
            sender, message = decode_message(data)
            handler = member.datagrams.handlers_by_type[type(message)]
            await curio.spawn(handler, sender, self.address, message, daemon=True)


class Member:
    """One router with its view, watcher, relay and registration."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.link = Link(fleet.link_bytes_per_s)
        self.router_id = f"r{number}"
        self.revisions = [Revision(0, 0)]
        clock = SystemClock()
        random_state = random.Random(number)
        self.view = FleetView(clock, 2 * SECOND, fleet.heartbeat)
        log = ChangeLog()
        store = StoreClient(fleet.store, self.router_id)
        reach = StoreReach()
        self.watcher = FleetWatcher(
            store,
            self.view,
            log,
            clock,
            random_state,
            lambda: reach.is_reachable or self.relay.is_follower,
        )
        address = Address("127.0.0.1", 1000 + number)
        self.datagrams = MemoryDatagrams(fleet, self.router_id, address)
        domain = f"d{number % 3}"
        self.relay = StoreRelay(
            self.router_id,
            domain,
            self.view,
            self.watcher,
            log,
            self.datagrams,
            clock,
            random_state,
            reach,
            fleet.fetch_snapshot,
            self._request_changes,
            CHANGE_LIMIT,
        )
        self.registration = Registration(
            Peer(self.router_id, address, domain, inner=address),
            store,
            clock,
            self.watcher.restart,
            lambda: self.relay.is_follower,
            random_state,
            reach,
            self.watcher.handle_store_era,
            self.view.count_routers,
            self.view.outages,
            self.watcher.record_renewal,
            self.relay.get_watch_period,
        )
        self.watcher.subscribe_to_restores(self.registration.handle_restore)
        self.watcher.subscribe(self._record_revision)
        self.tasks = []
        for other in range(fleet.size):
            peer_address = Address("127.0.0.1", 1000 + other)
            self.view.apply_peer(
                Peer(f"r{other}", peer_address, f"d{other % 3}", inner=peer_address)
            )

    async def _request_changes(self, peer, after, time_limit):
        """Ask another running member for changes, which pass its link."""
        other = self.fleet.members_by_address[peer.inner]
        if not other.tasks:
            raise TransportError("refused", Verdict.NOT_RUN)
        sender = other.relay.sender
        answer = sender.answer(self.router_id, after)
        deadline = TransferDeadline(TRANSFER_LIMITS, await curio.clock() * SECOND)
        try:
            async with curio.timeout_after(time_limit.total_seconds()):
                await other.link.send(len(answer.body or b""), deadline)
        except (StoreUnavailableError, curio.TaskTimeout):
            raise TransportError("no answer", Verdict.NOT_RUN) from None
        sender.end_transfer(self.router_id, has_arrived=True)
        return answer

    async def _record_revision(self):
        self.revisions.append(self.watcher.revision)

    async def start(self):
        for run in (self.watcher.run, self.relay.run, self.registration.run):
            self.tasks.append(await curio.spawn(run, daemon=True))

    async def kill(self):
        """Stop without any cleanup, like a killed process."""
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            await task.cancel()


class Fleet:
    """Several routers that share one store.

    :param heartbeat: period in which servers renew their entries, as the routers know.
    :param link_bytes_per_s: bandwidth of the link on which each router sends large
        changes.
    """

    def __init__(self, size, loss=0.0, heartbeat=0 * SECOND, link_bytes_per_s=None):
        self.link_bytes_per_s = link_bytes_per_s
        self.heartbeat = heartbeat
        self.sent_bytes = 0
        self.size = size
        self.loss = loss
        self.random_state = random.Random(7)
        self.store = MemoryStore()
        self.store.put("servers/first", make_entry())
        self.members = [Member(self, number) for number in range(size)]
        self.members_by_address = {m.datagrams.address: m for m in self.members}

    async def fetch_snapshot(self, address):
        """Return the snapshot of a running member; None if it has none."""
        member = self.members_by_address[address]
        is_known = member.tasks and member.watcher.has_initial_state
        return member.watcher.make_snapshot() if is_known else None

    async def __aenter__(self):
        for member in self.members:
            await member.start()
        await self.wait_for_all()
        # By then each router has settled as a follower or found a source.
        await curio.sleep(1.0)
        return self

    async def __aexit__(self, *args):
        for member in self.members:
            await member.kill()

    def restart(self, member):
        """Replace a member by a new one that is not started yet, and return that."""
        member.tasks.clear()
        number = self.members.index(member)
        self.members[number] = Member(self, number)
        self.members_by_address[member.datagrams.address] = self.members[number]
        return self.members[number]

    @property
    def running(self):
        return [member for member in self.members if member.tasks]

    @property
    def store_followers(self):
        return [member for member in self.running if member.watcher.follows_store]

    async def wait_for_all(self, limit_s=2.0):
        """Wait until every running router has the store's revision."""
        async with curio.timeout_after(limit_s):
            while any(m.watcher.revision < self.store.revision for m in self.running):
                await curio.sleep(0.01)
