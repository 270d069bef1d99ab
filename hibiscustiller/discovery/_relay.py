"""Spreads the store's changes from a few routers to all others.

Each call to the store is charged and counted, so only some routers follow it. Each of
the others has one of these as its source: it asks the source several times a second
for what it does not have, and gets new changes at once. A router whose sources fail
follows the store itself, if it reaches the store. What a router believes has a
revision, and a change is taken only if it joins that revision, so that nothing is lost
and nothing goes back.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta

import curio

from hibiscustiller.discovery._change_log import ChangeBatch, ChangeLog
from hibiscustiller.discovery._deltas import (
    MAX_UNPACKED_BYTES,
    apply_delta,
    make_delta,
)
from hibiscustiller.discovery._reach import StoreReach
from hibiscustiller.discovery._view import FleetView, Peer
from hibiscustiller.discovery._watcher import LARGE_VALUE_BYTES, FleetWatcher
from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.platform import Change
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    BackedOff,
    Clock,
    DomainId,
    RouterId,
    log_event,
    rank_by_rendezvous,
)
from hibiscustiller.wire import DatagramSocket, compress, decompress_bounded
from hibiscustiller.wire._messages_generated import (
    FollowRequest,
    StoreChange,
    StoreChanges,
)

# Two of them may be lost or turned away by the store at once.
_MIN_FOLLOWERS = 3
# Each follower answers this many routers at most a few times a second.
_ROUTERS_PER_FOLLOWER = 64
# Longer messages to many routers would fill the link of a small host, be lost, and be
# asked for again; what they hold is read from the store instead.
_MAX_MESSAGE_BYTES = 8000
# What a change takes besides its key and its value.
_CHANGE_BYTES = 40
# A lost change is asked for after this time. It grows with the fleet to bound the
# datagrams of a follower, and stays well below the bound on a new configuration.
_ASK_PERIOD = timedelta(milliseconds=300)
_ASK_PERIOD_PER_ROUTER = timedelta(milliseconds=1.5)
_LONGEST_ASK_PERIOD = timedelta(milliseconds=700)
# One datagram may be lost.
_MAX_UNANSWERED = 2
# Without a source that reaches the store for this time, and for two questions, a router
# follows the store itself.
_CONFIRMATION_LIMIT = timedelta(seconds=1.2)
_CONFIRMATION_PERIODS = 2.5
# Before that, after this share of the time, it finds out whether it reaches the store.
_CHECK_SHARE = 0.5
# A source that fell silent is tried again after this time.
_SOURCE_BACKOFF = timedelta(seconds=4)
# A source that does not reach the store may do so again soon: it opens its watch anew.
_SHORT_BACKOFF = timedelta(milliseconds=500)
# A router that had to follow the store itself does so for at least this time.
_SHORTEST_DIRECT = timedelta(seconds=3)
# Routers whose last request is older than this number of periods have ended or have
# another source.
_SUBSCRIPTION_PERIODS = 3


@dataclass
class _Subscriber:
    """A router that gets new changes.

    :param revision: what it has, as far as is known.
    """

    address: Address
    revision: int
    heard_at: timedelta


def choose_followers(routers: set[RouterId]) -> list[RouterId]:
    """Return the routers that follow the store for the others."""
    count = _MIN_FOLLOWERS + len(routers) // _ROUTERS_PER_FOLLOWER
    return rank_by_rendezvous("store", routers)[:count]


class StoreRelay:
    """This router's part in spreading the store's changes.

    :param router_id: this router.
    :param domain: where it is; a source in the same domain is preferred.
    :param view: tells who the other routers are.
    :param watcher: follows the store, or takes what a source tells.
    :param log: changes that the watcher has applied.
    :param datagrams: carries the messages.
    :param reach: tells whether this router reaches the store.
    """

    def __init__(
        self,
        router_id: RouterId,
        domain: DomainId,
        view: FleetView,
        watcher: FleetWatcher,
        log: ChangeLog,
        datagrams: DatagramSocket,
        clock: Clock,
        random_state: random.Random,
        reach: StoreReach,
    ) -> None:
        self._reach = reach
        self._router_id = router_id
        self._domain = domain
        self._view = view
        self._watcher = watcher
        self._log = log
        self._datagrams = datagrams
        self._clock = clock
        self._random_state = random_state
        self._followers: list[RouterId] = []
        self._followers_generation = -1
        self._subscribers_by_id: dict[RouterId, _Subscriber] = {}
        self._source: RouterId | None = None
        self._unanswered = 0
        self._is_read = curio.Event()
        # When a router that reaches the store last answered, or this one last found
        # that it does not reach the store either.
        self._waiting_since = clock.monotonic()
        self._backed_off: BackedOff[RouterId] = BackedOff(clock)
        self._direct_until = timedelta(0)
        datagrams.register(FollowRequest, self._take_request)
        datagrams.register(StoreChanges, self._take_changes)
        watcher.subscribe(self._pass_on)

    @property
    def source(self) -> RouterId | None:
        """The router that tells this one of changes; None if it needs none."""
        return None if self._watcher.is_direct else self._source

    @property
    def is_follower(self) -> bool:
        """Whether this router is one of those that follow the store for the others."""
        return self._router_id in self._list_followers()

    async def run(self) -> None:
        """Keep a source, or follow the store, until cancelled."""
        await self._is_read.wait()
        # What was read is current.
        self._waiting_since = self._clock.monotonic()
        while True:
            await self._keep_source()
            self._view.drop_missing()
            # Routers that start together must not ask together.
            share = 0.9 + 0.2 * self._random_state.random()
            await self._clock.sleep(self._get_period() * share)

    def _get_period(self) -> timedelta:
        routers = len(self._view.peers_by_id)
        period = _ASK_PERIOD + _ASK_PERIOD_PER_ROUTER * routers
        return min(_LONGEST_ASK_PERIOD, period)

    def _list_followers(self) -> list[RouterId]:
        generation = self._view.routers_generation
        if generation != self._followers_generation:
            self._followers_generation = generation
            self._followers = choose_followers(
                {*self._view.peers_by_id, self._router_id}
            )
        return self._followers

    async def _keep_source(self) -> None:
        followers = self._list_followers()
        if self.is_follower:
            # A follower whose watch has fallen silent learns it from the others, one
            # after the other.
            await self._watcher.set_direct(True)
            self._source = self._choose_source(followers, prefers_near=False)
        else:
            if self._unanswered >= _MAX_UNANSWERED:
                self._note_failed_source("no answer", _SOURCE_BACKOFF)
            if self._source not in followers or self._source in self._backed_off:
                self._source = self._choose_source(followers)
                self._unanswered = 0
            await self._judge_sources()
        await self._ask()

    async def _judge_sources(self) -> None:
        """Follow the store if no source has reached it for long, and this router does.

        While the store is away for all, each router that tried to follow it would make
        several calls, and read all keys at its return.
        """
        if self._watcher.is_direct:
            return
        now = self._clock.monotonic()
        if not self._reach.is_reachable:
            # After an outage the sources get the time to reach the store again.
            self._waiting_since = now
            return
        limit = max(_CONFIRMATION_LIMIT, self._get_period() * _CONFIRMATION_PERIODS)
        check_at = self._waiting_since + limit * _CHECK_SHARE
        if now >= check_at and not self._reach.was_reached_since(check_at):
            await self._reach.request_check()
        elif now - self._waiting_since > limit:
            await self._follow_directly()

    async def _ask(self) -> None:
        peer = self._find_peer(self._source)
        if peer is None:
            self._source = None
            return
        self._unanswered += 1
        request = FollowRequest(self._watcher.revision)
        await self._datagrams.send(peer.address, self._datagrams.encode(request))

    def _find_peer(self, router_id: RouterId | None) -> Peer | None:
        return None if router_id is None else self._view.peers_by_id.get(router_id)

    def _choose_source(
        self, followers: list[RouterId], *, prefers_near: bool = True
    ) -> RouterId | None:
        """Return a follower that has not failed.

        :param prefers_near: whether one of this domain goes first.
        """
        others = [
            peer
            for router_id in followers
            if router_id != self._router_id
            and (peer := self._view.peers_by_id.get(router_id)) is not None
        ]
        # If all of them failed just now, any may be the first to be back.
        usable = [p for p in others if p.router_id not in self._backed_off] or others
        if not usable:
            return None
        near = [peer for peer in usable if peer.domain == self._domain and prefers_near]
        return self._random_state.choice(near or usable).router_id

    def _note_failed_source(self, reason: str, backoff: timedelta) -> None:
        if self._source is None:
            return
        log_event(
            "source_failed",
            level="warning",
            source=self._source,
            reason=reason,
            revision=self._watcher.revision,
        )
        self._backed_off.add(self._source, backoff)
        self._source = None
        self._unanswered = 0

    async def _follow_directly(self) -> None:
        if not self._watcher.is_direct:
            log_event("following_store", reason="no source")
        self._direct_until = self._clock.monotonic() + _SHORTEST_DIRECT
        await self._watcher.set_direct(True)

    async def _take_request(
        self, router_id: RouterId, address: Address, request: FollowRequest
    ) -> None:
        if not self._watcher.has_read:
            return
        subscriber = _Subscriber(address, request.revision, self._clock.monotonic())
        if self._watcher.is_following:
            self._subscribers_by_id[router_id] = subscriber
        subscriber.revision = max(request.revision, self._watcher.revision)
        for data in self._encode_changes(request.revision):
            await self._datagrams.send(address, data)

    async def _pass_on(self) -> None:
        """Send new changes to the routers that asked lately."""
        await self._is_read.set()
        now = self._clock.monotonic()
        life = self._get_period() * _SUBSCRIPTION_PERIODS
        # Most of them have the same revision.
        messages_by_revision: dict[int, list[bytes]] = {}
        for router_id, subscriber in list(self._subscribers_by_id.items()):
            if now - subscriber.heard_at > life:
                del self._subscribers_by_id[router_id]
                continue
            after, subscriber.revision = subscriber.revision, self._watcher.revision
            if after >= subscriber.revision:
                continue
            if after not in messages_by_revision:
                messages_by_revision[after] = self._encode_changes(after)
            for data in messages_by_revision[after]:
                await self._datagrams.send(subscriber.address, data)

    def _encode_changes(self, after: int) -> list[bytes]:
        """Encode what comes after a revision, in messages that follow each other."""
        to = self._watcher.revision
        batch = self._log.collect(after, to)
        if batch is None:
            return [self._encode_message(after, to, None)]
        messages = []
        for changes in _split_changes(
            [self._pack_change(change, after) for change in batch.items]
        ):
            # A later message holds the newest version of each key that this one lacks.
            is_last = not changes or changes[-1].revision >= batch.items[-1].revision
            until = to if is_last else changes[-1].revision
            messages.append(self._encode_message(after, until, changes))
            after = until
        if any(len(data) > _MAX_MESSAGE_BYTES for data in messages):
            return [self._encode_message(batch.after, to, None)]
        return messages

    def _encode_message(
        self, after: int, to: int, changes: Sequence[StoreChange] | None
    ) -> bytes:
        """Encode a message; without changes it says that they cannot be told."""
        age = self._view.store_return_age
        message = StoreChanges(
            after,
            to,
            self._watcher.is_following,
            changes is None,
            0 if age is None else max(1, age // timedelta(milliseconds=1)),
            tuple(changes or ()),
        )
        return self._datagrams.encode(message)

    def _pack_change(self, change: Change, after: int) -> StoreChange:
        """Encode a change for a router that has what was before it."""
        value, base_revision = change.value or b"", 0
        if len(value) >= LARGE_VALUE_BYTES:
            base = self._watcher.find_version(change.key, after)
            if base is not None:
                base_revision = base[0]
                value = make_delta(base[1], value)
        if not base_revision:
            value = compress(value)
        return StoreChange(
            change.key, change.revision, change.value is None, value, base_revision
        )

    def _unpack_change(self, change: StoreChange) -> Change:
        """Decode a change.

        :raises WireFormatError: if it is damaged, or differs from a value that is not
            known here.
        """
        if change.deleted:
            return Change(change.key, None, change.revision)
        if not change.base_revision:
            value = decompress_bounded(change.value, MAX_UNPACKED_BYTES)
            return Change(change.key, value, change.revision)
        base = self._watcher.find_version(change.key, change.base_revision)
        if base is None or base[0] != change.base_revision:
            raise WireFormatError(f"no revision {change.base_revision} of {change.key}")
        value = apply_delta(base[1], change.value)
        return Change(change.key, value, change.revision)

    async def _take_changes(
        self, router_id: RouterId, address: Address, message: StoreChanges
    ) -> None:
        if not message.following:
            if router_id == self._source and not self._watcher.is_direct:
                self._note_failed_source("it does not follow the store", _SHORT_BACKOFF)
            return
        self._waiting_since = self._clock.monotonic()
        if router_id == self._source:
            self._unanswered = 0
        if message.store_returned_ms:
            age = timedelta(milliseconds=message.store_returned_ms)
            self._view.note_store_returned(age)
        after = message.after_revision
        if after == self._watcher.revision < message.to_revision:
            await self._take_new(message)
        await self._leave_store(message.to_revision)

    async def _take_new(self, message: StoreChanges) -> None:
        if message.incomplete:
            await self._watcher.read_again()
            return
        try:
            items = tuple(self._unpack_change(change) for change in message.changes)
        except WireFormatError as error:
            log_event("change_unreadable", level="warning", reason=error)
            await self._watcher.read_again()
            return
        await self._watcher.take_batch(
            ChangeBatch(message.after_revision, message.to_revision, items)
        )

    async def _leave_store(self, revision: int) -> None:
        """Stop following the store if a source is good enough again."""
        is_due = self._clock.monotonic() >= self._direct_until
        is_ahead = revision >= self._watcher.revision
        if is_due and is_ahead and not self.is_follower:
            await self._watcher.set_direct(False)


def _split_changes(changes: Sequence[StoreChange]) -> Iterator[list[StoreChange]]:
    """Divide changes, in order, into parts that fit into a message; at least one."""
    part: list[StoreChange] = []
    size = 0
    for change in changes:
        added = len(change.key) + len(change.value) + _CHANGE_BYTES
        # Changes of one revision belong together.
        may_split = part and part[-1].revision != change.revision
        if may_split and size + added > _MAX_MESSAGE_BYTES:
            yield part
            part, size = [], 0
        part.append(change)
        size += added
    yield part
