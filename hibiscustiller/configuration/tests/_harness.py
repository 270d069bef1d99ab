"""In-memory store, network and clock, with fault switches, and a small fleet."""

import heapq
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import timedelta

import curio

from hibiscustiller.configuration import (
    AuditTrail,
    ConfigurationSync,
    CurrentConfiguration,
    Proposal,
    ProposalService,
    SyncOptions,
)
from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.membership import Member
from hibiscustiller.platform import NO_LEASE, Entry, LeaseId, SwapOutcome
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    ManualClock,
    Metrics,
    Revision,
    RouterId,
    Verdict,
    hash_secret,
)
from hibiscustiller.wire._messages_generated import (
    Heartbeat,
    decode_message,
    encode_message,
)

KEYS_BY_TEAM = {"platform": "key-platform", "sales": "key-sales", "bot": "key-bot"}
HEARTBEAT_PERIOD = timedelta(seconds=1)
# Rounds of the kernel after each step of time, so that chains of tasks finish.
_SETTLE_ROUNDS = 8


def make_sections():
    """Return a small valid document."""
    return {
        "team platform": {
            "key_sha256": hash_secret(KEYS_BY_TEAM["platform"]),
            "owns": "team *, model *, server *, class *, link *, service *",
        },
        "team sales": {
            "key_sha256": hash_secret(KEYS_BY_TEAM["sales"]),
            "owns": "organisation *",
        },
        "team bot": {
            "key_sha256": hash_secret(KEYS_BY_TEAM["bot"]),
            "owns": "server *, organisation bot-*",
        },
        "model turf": {"layers": "8"},
        "class urgent": {"rank": "0", "floor": "0.2"},
        "class slow": {"rank": "1", "floor": "0.2"},
        "server a": make_server(1, "d0", 0, 8),
        "server b": make_server(2, "d1", 0, 4),
        "server c": make_server(3, "d1", 4, 8),
        "link d0 d1": {},
        "organisation greens": {
            "key_sha256": hash_secret("greens"),
            "priority_class": "urgent",
        },
    }


def make_server(port, domain, first, last):
    return {
        "address": f"127.0.0.1:{port}",
        "failure_domain": domain,
        "model": "turf",
        "first_layer": str(first),
        "last_layer": str(last),
    }


class SimulatedClock(ManualClock):
    """A clock whose sleepers are woken in order by :meth:`run_for`."""

    def __init__(self):
        super().__init__()
        self._sleepers = []
        self._count = itertools.count()

    async def sleep(self, delay):
        woken = curio.Event()
        due = self.monotonic() + max(delay, timedelta(0))
        heapq.heappush(self._sleepers, (due, next(self._count), woken))
        await woken.wait()

    async def run_for(self, delay):
        """Let simulated time pass."""
        end = self.monotonic() + delay
        await _settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            due = self._sleepers[0][0]
            self.advance(max(due - self.monotonic(), timedelta(0)))
            while self._sleepers and self._sleepers[0][0] <= due:
                await heapq.heappop(self._sleepers)[2].set()
            await _settle()
        self.advance(end - self.monotonic())

    async def run_until_done(self, coroutine, limit=timedelta(seconds=120)):
        """Run a coroutine while time passes; fail if it takes too long."""
        task = await curio.spawn(coroutine)
        end = self.monotonic() + limit
        while not task.terminated and self.monotonic() < end:
            await self.run_for(timedelta(milliseconds=20))
        assert task.terminated, "no answer within the limit"
        return await task.join()


async def _settle():
    for _ in range(_SETTLE_ROUNDS):
        await curio.sleep(0)


@dataclass
class MemoryStore:
    """A key-value store shared by all routers of a test.

    :param lost_answers: writes that take effect without an answer; the first
        ``lost_after`` writes are not counted.
    :param is_dropping: writes do not take effect and have no answer.
    """

    clock: SimulatedClock
    delay: timedelta = timedelta(milliseconds=2)
    is_down: bool = False
    lost_answers: int = 0
    lost_after: int = 0
    is_dropping: bool = False
    revision: int = 1
    entries: dict = field(default_factory=dict)
    history: list = field(default_factory=list)
    calls: Counter = field(default_factory=Counter)
    log: list = field(default_factory=list)

    def __post_init__(self):
        self._changed = []
        self._next_lease = 1

    async def _begin(self, kind, key=""):
        self.calls[kind] += 1
        await self.clock.sleep(self.delay)
        if self.is_down:
            raise StoreUnavailableError("switched off", Verdict.NOT_RUN)

    async def get(self, key):
        await self._begin("get", key)
        return self.entries.get(key)

    async def list_prefix(self, prefix):
        await self._begin("list")
        found = (entry for key, entry in self.entries.items() if key.startswith(prefix))
        return tuple(sorted(found, key=lambda entry: entry.key))

    async def compare_and_swap(self, key, value, expected_revision, lease=NO_LEASE):
        await self._begin("swap", key)
        if len(value) > 1 << 20:
            raise StoreUnavailableError("too large", Verdict.MAY_HAVE_RUN)
        if self.is_dropping:
            raise StoreUnavailableError("no answer", Verdict.MAY_HAVE_RUN)
        found = self.entries.get(key)
        if (found.revision if found else 0) != expected_revision:
            return SwapOutcome(False, current=found)
        self.revision += 1
        entry = Entry(key, value, self.revision)
        self.entries[key] = entry
        self.history.append((self.revision, key, entry))
        await self._end_write(key)
        return SwapOutcome(True, revision=entry.revision)

    async def delete(self, key, expected_revision):
        await self._begin("delete", key)
        found = self.entries.get(key)
        if found is None or found.revision != expected_revision:
            return False
        del self.entries[key]
        self.revision += 1
        self.history.append((self.revision, key, None))
        await self._end_write(key)
        return True

    async def _end_write(self, key):
        for event in self._changed:
            await event.set()
        self._changed.clear()
        if self.lost_after > 0:
            self.lost_after -= 1
        elif self.lost_answers > 0:
            self.lost_answers -= 1
            self.log.append(key)
            raise StoreUnavailableError("answer lost", Verdict.MAY_HAVE_RUN)

    async def grant_lease(self, ttl):
        await self._begin("lease")
        self._next_lease += 1
        return LeaseId(self._next_lease)

    async def open_watch(self, key, from_revision):
        await self._begin("watch")
        return _MemoryWatch(self, key, from_revision)

    async def fail(self):
        """Switch off; open watches end."""
        self.is_down = True
        for event in self._changed:
            await event.set()
        self._changed.clear()

    def take_backup(self):
        return self.revision, dict(self.entries)

    def restore_backup(self, backup):
        self.revision, entries = backup
        self.entries = dict(entries)
        self.history = [item for item in self.history if item[0] <= self.revision]


class StoreView:
    """One router's access to the store, which a test can cut."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False

    def __getattr__(self, name):
        async def call(*args):
            if self.is_cut:
                await self.store.clock.sleep(self.store.delay)
                raise StoreUnavailableError("no route", Verdict.NOT_RUN)
            answer = await getattr(self.store, name)(*args)
            if name == "open_watch":
                answer.view = self
            return answer

        return call

    async def cut(self):
        """Cut the access; open watches end."""
        self.is_cut = True
        for event in self.store._changed:
            await event.set()
        self.store._changed.clear()


class _MemoryWatch:
    def __init__(self, store, key, start):
        self._store, self._key, self._next = store, key, start
        self._events = deque()
        self.view = None

    async def read_event(self):
        while True:
            if self._store.is_down or (self.view is not None and self.view.is_cut):
                raise StoreUnavailableError("the watch ended", Verdict.NOT_RUN)
            for revision, key, entry in self._store.history:
                if revision >= self._next and key == self._key:
                    self._events.append(entry)
                    self._next = revision + 1
            if self._events:
                await self._store.clock.sleep(self._store.delay)
                return self._events.popleft()
            changed = curio.Event()
            self._store._changed.append(changed)
            await changed.wait()

    async def close(self):
        return None


@dataclass
class NetworkFaults:
    """Faults of the network between routers.

    :param loss: share of messages that are lost.
    :param duplication: share of messages that arrive twice.
    :param max_delay: messages are delayed by up to this, so they overtake each other.
    """

    loss: float = 0.0
    duplication: float = 0.0
    max_delay: timedelta = timedelta(milliseconds=2)
    groups_by_router: dict = field(default_factory=dict)


class MemoryNetwork:
    """Connects the transports of a test, up to 9 all to all, else on a ring."""

    def __init__(self, clock, random_state):
        self.clock = clock
        self.random_state = random_state
        self.faults = NetworkFaults()
        self.transports_by_id = {}
        self.sent_bytes_by_id = Counter()
        self.sent_by_kind = Counter()
        self.last_error = None

    def are_connected(self, first, second):
        groups = self.faults.groups_by_router
        return groups.get(first) == groups.get(second)

    def list_neighbours(self, router):
        others = sorted(self.transports_by_id)
        if len(others) <= 9:
            return [other for other in others if other != router]
        at = others.index(router)
        steps = (-4, -2, -1, 1, 2, 4)
        return sorted({others[(at + step) % len(others)] for step in steps})

    async def deliver(self, sender, receiver, message):
        if receiver not in self.transports_by_id:
            return False
        data = encode_message(sender, message)
        self.sent_bytes_by_id[sender] += len(data)
        self.sent_by_kind[type(message).__name__] += 1
        if not self.are_connected(sender, receiver):
            return False
        copies = 1 + (self.random_state.random() < self.faults.duplication)
        for _ in range(copies):
            if self.random_state.random() < self.faults.loss:
                continue
            delay = self.faults.max_delay * self.random_state.random()
            await curio.spawn(self._arrive, receiver, data, delay, daemon=True)
        return True

    async def _arrive(self, receiver, data, delay):
        await self.clock.sleep(delay)
        transport = self.transports_by_id.get(receiver)
        if transport is None:
            return
        sender, message = decode_message(data)
        handle = transport.handlers.get(type(message))
        if handle is not None:
            try:
                await handle(RouterId(sender), message)
            except Exception as error:
                self.last_error = error
                raise


class MemoryTransport:
    """A router's side of a :class:`MemoryNetwork`."""

    def __init__(self, network, member):
        self.network = network
        self.self_member = member
        self.handlers = {}
        network.transports_by_id[member.router_id] = self

    def list_members(self):
        transports = self.network.transports_by_id
        own = self.self_member.router_id
        return tuple(
            transports[router].self_member
            for router in sorted(transports)
            if self.network.are_connected(own, router)
        )

    def register(self, kind, handle):
        self.handlers[kind] = handle

    async def send(self, router, message):
        own = self.self_member.router_id
        return await self.network.deliver(own, router, message)

    async def broadcast(self, message):
        own = self.self_member.router_id
        for router in self.network.list_neighbours(own):
            await self.network.deliver(own, router, message)


class Node:
    """One router's configuration parts.

    :param seen: documents by revision and digest, shared by all nodes of a test.
    """

    def __init__(self, name, domain, store, clock, network, seed, seen, options=None):
        self.name = name
        self.clock = clock
        self.store = store = StoreView(store)
        self.metrics = Metrics()
        self.current = CurrentConfiguration({}, Revision(0))
        self.seen = seen
        self.revisions = []
        self.current.subscribe(self._record)
        self.transport = None
        if network is not None:
            address = Address("127.0.0.1", 1)
            member = Member(RouterId(name), domain, "r", address)
            self.transport = MemoryTransport(network, member)
        random_state = random.Random(seed)
        self.audit = AuditTrail(store, clock, RouterId(name), self.metrics)
        self.sync = ConfigurationSync(
            self.current,
            store,
            self.transport,
            clock,
            random_state,
            self.metrics,
            options or SyncOptions(),
            self.audit.note_replaced,
        )
        self.proposals = ProposalService(
            self.current,
            self.sync,
            store,
            self.audit,
            clock,
            random_state,
            self.metrics,
        )
        self._heartbeats = None

    def _record(self, config):
        current = self.current
        if self.revisions:
            assert current.revision > self.revisions[-1], "a revision fell"
        self.revisions.append(current.revision)
        key = (current.revision, current.digest)
        text = str(sorted((k, sorted(v.items())) for k, v in current.sections.items()))
        assert self.seen.setdefault(key, text) == text, f"two documents for {key}"

    async def start(self):
        await self.sync.start()
        if self.transport is not None:
            self._heartbeats = await curio.spawn(self._send_heartbeats, daemon=True)

    async def stop(self):
        await self.sync.stop()
        if self._heartbeats is not None:
            await self._heartbeats.cancel()
            self.transport.network.transports_by_id.pop(self.name, None)

    async def _send_heartbeats(self):
        while True:
            await self.clock.sleep(HEARTBEAT_PERIOD)
            age = self.sync.confirmed_age_ms()
            await self.transport.broadcast(
                Heartbeat(self.sync.revision, age, b"", (), True)
            )

    async def propose(self, proposal_id, base, difference, team="platform", **options):
        proposal = Proposal(proposal_id, base, difference, **options)
        return await self.proposals.propose(KEYS_BY_TEAM.get(team, team), proposal)


class SimulatedFleet:
    """Nodes on one store, in simulated time."""

    def __init__(self, count, seed=1, domains=3, options=None):
        self.clock = SimulatedClock()
        self.store = MemoryStore(self.clock)
        self.random_state = random.Random(seed)
        self.network = MemoryNetwork(self.clock, self.random_state)
        self.seen = {}
        self.options = options
        self.domains = domains
        self.nodes = [self.make_node(index) for index in range(count)]

    def make_node(self, index):
        return Node(
            f"r{index:02d}",
            f"d{index % self.domains}",
            self.store,
            self.clock,
            self.network,
            index,
            self.seen,
            self.options,
        )

    async def start(self, sections=None):
        """Start all nodes and accept a first document."""
        for node in self.nodes:
            await self.do(node.start())
        sections = make_sections() if sections is None else sections
        answer = await self.do(self.nodes[0].propose("first", 0, sections))
        assert answer.is_ok(), answer
        await self.run(2)
        return answer.ok_value

    async def do(self, coroutine):
        return await self.clock.run_until_done(coroutine)

    async def run(self, seconds):
        await self.clock.run_for(timedelta(seconds=seconds))

    def list_states(self):
        return [(node.sync.revision, node.sync.digest) for node in self.nodes]

    def assert_equal(self):
        """Check that all nodes have the same document."""
        states = self.list_states()
        assert len(set(states)) == 1, states
        documents = [dict(node.current.sections) for node in self.nodes]
        assert all(document == documents[0] for document in documents)

    async def stop(self):
        for node in self.nodes:
            await self.do(node.stop())
        if self.network.last_error is not None:
            raise self.network.last_error


def edit(weight, organisation="greens"):
    """Return a difference that sets an organisation's weight."""
    return {f"organisation {organisation}": {"weight": str(weight)}}
