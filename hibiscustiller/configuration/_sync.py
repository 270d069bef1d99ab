"""Keeps a router's configuration up to date from the store and from its peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

import curio

from hibiscustiller.configuration._changes import (
    Change,
    HistoryPoint,
    apply_difference,
    can_replace,
    check_change_digest,
    make_change_message,
    read_change_message,
    to_milliseconds,
)
from hibiscustiller.configuration._current import CurrentConfiguration
from hibiscustiller.configuration._document import (
    Sections,
    format_sections,
    parse_sections,
)
from hibiscustiller.configuration._head import (
    HEAD_KEY,
    Head,
    HeadStore,
    SnapshotReference,
    StoredHead,
    decode_head,
    make_republished_head,
)
from hibiscustiller.configuration._history import History
from hibiscustiller.configuration._validation import MAX_DOCUMENT_BYTES
from hibiscustiller.exceptions import (
    InvariantError,
    SettingsError,
    StoreUnavailableError,
    WireFormatError,
)
from hibiscustiller.membership import PeerTransport
from hibiscustiller.platform import Entry, KeyValueStore, Watch
from hibiscustiller.utils import (
    Clock,
    Metrics,
    Revision,
    RouterId,
    Verdict,
    check_invariant,
    jittered_delays,
    log_event,
    rank_by_rendezvous,
)
from hibiscustiller.wire import compress, decompress_bounded, wait_at_most
from hibiscustiller.wire._messages_generated import (
    ConfigChange,
    ConfigPoint,
    ConfigRequest,
    ConfigSnapshot,
    Heartbeat,
    Message,
    encode_message,
)

_WATCHERS_PER_DOMAIN = 2
# Changes announced one by one; peers that miss more ask for them.
_MAX_ANNOUNCED = 4
_MAX_AGE_MS = (1 << 32) - 1
# Peers remembered before the silent ones are forgotten.
_MAX_PEERS = 256


@dataclass(frozen=True)
class SyncOptions:
    """Times of the synchronisation.

    :param poll_period: mean time between reads of the head by a router that does not
        watch it. A read is at most about 80 KB, which at this period is a quarter of
        the control budget of 7 KB/s.
    :param watch_period: time after which a watch is opened anew. It bounds how long a
        watch whose connection went silent counts as a confirmation.
    :param head_period: mean time between reads of the head by a watcher. A watch from
        a revision that the store lost never reports anything, so a restored store is
        found by these reads alone; the watchers' reads are spread by jitter.
    :param retry_first: bound of the first delay after a failure of the store.
    :param retry_limit: bound of the delays during an outage; spreads the return.
    :param stale_after: confirmation age from which the configuration is stale, and
        time without any contact after which the router is not ready.
    :param request_gap: least time between requests to peers, so that announcements
        from several neighbours do not each bring a snapshot.
    :param peer_memory: time for which a peer's reported revision counts.
    :param call_timeout: longest wait for a watch to open.
    """

    poll_period: timedelta = timedelta(seconds=45)
    watch_period: timedelta = timedelta(seconds=2)
    head_period: timedelta = timedelta(seconds=30)
    tick: timedelta = timedelta(milliseconds=250)
    retry_first: timedelta = timedelta(seconds=1)
    retry_limit: timedelta = timedelta(seconds=20)
    stale_after: timedelta = timedelta(seconds=4)
    request_gap: timedelta = timedelta(milliseconds=500)
    peer_memory: timedelta = timedelta(seconds=10)
    call_timeout: timedelta = timedelta(seconds=2)


class HeadRelation(Enum):
    """How the store's head relates to the document in force."""

    EQUAL = "equal"
    NEWER = "newer"
    LOST = "lost"


class ConfigurationSync:
    """Puts accepted documents in force.

    :param current: what is kept up to date.
    :param store: the platform's store.
    :param transport: connections to peers; None for a single router.
    :param random_state: source of jitter.
    :param on_replaced: called for an accepted change of another history that this
        router replaced in the store.
    """

    def __init__(
        self,
        current: CurrentConfiguration,
        store: KeyValueStore,
        transport: PeerTransport | None,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
        options: SyncOptions | None = None,
        on_replaced: Callable[[Change], None] = lambda change: None,
    ) -> None:
        self.options = options or SyncOptions()
        self._on_replaced = on_replaced
        self._current = current
        self._head_store = HeadStore(store)
        self._store = store
        self._transport = transport
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._history = History()
        self._packed: tuple[str, bytes] = ("", b"")
        self._peer_states: dict[RouterId, tuple[Revision, timedelta]] = {}
        self._confirmed_at: timedelta | None = None
        self._contact_at: timedelta | None = None
        self._requested_at: timedelta | None = None
        self._head_read_due = timedelta(0)
        self._is_loss_suspected = False
        self._store_revision = 0
        self._is_watch_open = False
        self._watch_error: Exception | None = None
        self._is_store_up = False
        self._tasks: list[Any] = []

    @property
    def revision(self) -> Revision:
        """Revision in force."""
        return self._current.revision

    @property
    def digest(self) -> str:
        """Digest of the history in force."""
        return self._current.digest

    @property
    def is_store_up(self) -> bool:
        """Whether the last exchange with the store succeeded."""
        return self._is_store_up

    def confirmed_age(self) -> timedelta | None:
        """Return the time since the document was last known to be the newest.

        :returns: zero while a watch is open; None if it was never confirmed.
        """
        if self._is_watch_open:
            return timedelta(0)
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    def confirmed_age_ms(self) -> int:
        """Return the confirmation age for a heartbeat; the maximum if unknown."""
        age = self.confirmed_age()
        if age is None:
            return _MAX_AGE_MS
        return min(_MAX_AGE_MS, age // timedelta(milliseconds=1))

    def is_stale(self) -> bool:
        """Tell whether a newer document may be in force elsewhere."""
        age = self.confirmed_age()
        return age is None or age > self.options.stale_after

    def is_ready(self) -> bool:
        """Tell whether there is a document and a recent contact with store or peer."""
        if self.revision == 0:
            return False
        if self._is_watch_open:
            return True
        if self._contact_at is None:
            return False
        return self._clock.monotonic() - self._contact_at <= self.options.stale_after

    def is_watcher(self) -> bool:
        """Tell whether this router follows the head for its failure domain."""
        if self._transport is None:
            return True
        own = self._transport.self_member
        ids = {
            member.router_id
            for member in self._transport.list_members()
            if member.failure_domain == own.failure_domain
        }
        ranked = rank_by_rendezvous(HEAD_KEY, ids | {own.router_id})
        return own.router_id in ranked[:_WATCHERS_PER_DOMAIN]

    def newest_peer_revision(self) -> Revision:
        """Return the newest revision that a live peer reported; 0 if none did."""
        oldest = self._clock.monotonic() - self.options.peer_memory
        states = self._peer_states.values()
        return max((rev for rev, at in states if at >= oldest), default=Revision(0))

    async def start(self) -> None:
        """Load the configuration, and follow the store and the peers from then on.

        Neither the store nor the peers need be reachable.
        """
        # A router that has a document gets the usual time to find store or peers.
        self._contact_at = self._clock.monotonic()
        if self._transport is not None:
            self._transport.register(ConfigChange, self.handle_change)
            self._transport.register(ConfigRequest, self.handle_request)
            self._transport.register(ConfigSnapshot, self.handle_snapshot)
            self._transport.register(Heartbeat, self.handle_heartbeat)
            self._tasks.append(await curio.spawn(self._ask_until_found, daemon=True))
        try:
            await self._read_head()
        except StoreUnavailableError as error:
            self._note_store_failure(error)
        self._tasks.append(await curio.spawn(self._follow_store, daemon=True))

    async def stop(self) -> None:
        """Stop following; the document stays in force."""
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()

    async def refresh(self) -> StoredHead:
        """Read the head and put it in force if it is newer.

        :raises StoreUnavailableError: if the store gives no usable answer.
        """
        stored = await self._head_store.read_head()
        self._note_confirmed()
        self._is_store_up = True
        if await self.adopt(stored) is HeadRelation.LOST:
            # Proposals are refused until the document is republished, which would
            # otherwise wait for the next slow read of the head.
            self._is_loss_suspected = True
            self._head_read_due = timedelta(0)
        return stored

    async def adopt(self, stored: StoredHead) -> HeadRelation:
        """Put a head in force if it is newer and of the same history.

        :returns: how the head relates to the document in force afterwards.
        :raises StoreUnavailableError: if the snapshot cannot be read.
        """
        head = stored.head
        relation = self._compare(head)
        if relation is HeadRelation.NEWER:
            await self._install_head(head)
            relation = self._compare(head)
        return relation

    async def handle_heartbeat(self, sender: RouterId, message: Heartbeat) -> None:
        """Take over a peer's confirmation; ask it for what is missing here."""
        now = self._note_peer(sender, Revision(message.revision))
        if message.revision > self.revision:
            await self._request_from(sender)
            return
        # A peer that holds a newer document confirms that one, not ours.
        age = timedelta(milliseconds=message.confirmed_age_ms)
        own = self.confirmed_age()
        if message.confirmed_age_ms < _MAX_AGE_MS and (own is None or age < own):
            self._confirmed_at = now - age

    async def handle_change(self, sender: RouterId, message: ConfigChange) -> None:
        """Put a peer's change in force and pass it on, or ask for a gap."""
        change = read_change_message(message)
        self._note_peer(sender, change.to_revision)
        if change.to_revision <= self.revision:
            return
        if change.is_trimmed:
            await self._request_from(sender)
            return
        check_change_digest(change)
        if not self._extends_own(change):
            self._history.keep_early(change, self.revision)
            await self._request_from(sender)
            return
        await self._install_in_order(change)

    async def handle_request(self, sender: RouterId, message: ConfigRequest) -> None:
        """Send a peer the changes that it lacks, or the whole document."""
        held = Revision(message.revision)
        self._note_peer(sender, held)
        if held > self.revision:
            await self._request_from(sender)
        if held >= self.revision:
            return
        changes = self._history.list_after(held, message.digest)
        if changes:
            for change in changes:
                await self._send(sender, make_change_message(change))
        elif self._history.may_replace(held, message.digest):
            await self._send(sender, self._make_snapshot())

    async def handle_snapshot(self, sender: RouterId, message: ConfigSnapshot) -> None:
        """Put a peer's whole document in force if it is newer."""
        self._note_peer(sender, Revision(message.revision))
        points = [
            HistoryPoint(
                Revision(item.revision),
                item.digest,
                item.proposal_id,
                item.fingerprint,
                item.republished,
            )
            for item in message.history
        ]
        own = make_plain_point(Revision(message.revision), message.digest)
        if not can_replace(points or [own], self.revision, self.digest):
            return
        try:
            sections = parse_sections(_unpack(message.document), f"peer {sender}")
        except (WireFormatError, UnicodeDecodeError, SettingsError) as error:
            log_event("configuration_snapshot_unreadable", peer=sender, error=error)
            return
        if self._put_in_force(sections, own.revision, own.digest):
            self._history.replace(points or [own], ())
            await self._announce(())

    def _compare(self, head: Head) -> HeadRelation:
        if head.revision == self.revision and head.digest == self.digest:
            return HeadRelation.EQUAL
        points = head.list_points()
        if points and can_replace(points, self.revision, self.digest):
            return HeadRelation.NEWER
        return HeadRelation.LOST

    async def _install_head(self, head: Head) -> None:
        pending = [item for item in head.chain if item.to_revision > self.revision]
        is_continuous = self._extends_own(pending[0]) and not any(
            change.is_trimmed for change in pending
        )
        sections: Sections | None = self._current.sections
        if not is_continuous:
            sections = await self._head_store.read_snapshot(head.snapshot)
            if sections is None:
                message = "the snapshot was replaced meanwhile; the head is read again"
                raise StoreUnavailableError(message, Verdict.NOT_RUN)
            start = head.snapshot.revision
            pending = [item for item in head.chain if item.to_revision > start]
            # Reading the snapshot took time; a peer may have brought it meanwhile.
            if self._compare(head) is not HeadRelation.NEWER:
                return
        previous = self.digest if is_continuous else head.snapshot.digest
        for change in pending:
            check_invariant(
                change.previous_digest == previous,
                "configuration_chain_is_continuous",
                revision=change.to_revision,
            )
            check_change_digest(change)
            sections = apply_difference(sections, change.difference)
            previous = change.digest
        if is_continuous:
            await self._install(sections, pending)
            return
        if self._put_in_force(sections, head.revision, head.digest):
            self._history.replace(head.list_points(), pending)
            await self._announce(pending)

    async def _install_in_order(self, change: Change) -> None:
        """Put a change in force, and those kept that follow it."""
        changes = [change]
        sections = apply_difference(self._current.sections, change.difference)
        while True:
            last = changes[-1]
            after = self._history.take_early(last.to_revision, last.digest)
            if after is None:
                break
            sections = apply_difference(sections, after.difference)
            changes.append(after)
        await self._install(sections, changes)

    async def _install(self, sections: Sections, changes: list[Change]) -> None:
        """Put the document after changes to the one in force in force."""
        last = changes[-1]
        if not self._put_in_force(sections, last.to_revision, last.digest):
            return
        for change in changes:
            self._history.add(change)
        await self._announce(changes)

    def _put_in_force(
        self, sections: Sections, revision: Revision, digest: str
    ) -> bool:
        try:
            self._current.install(sections, revision, digest)
        except SettingsError as error:
            # An accepted document that this version of the program cannot read; the
            # router goes on with the last one and becomes stale.
            log_event(
                "configuration_not_understood",
                level="error",
                revision=revision,
                error=error,
            )
            self._metrics.count("configuration.not_understood")
            return False
        self._metrics.count("configuration.changes")
        self._metrics.gauge("configuration.revision", revision)
        return True

    def _extends_own(self, change: Change) -> bool:
        return (
            change.from_revision == self.revision
            and change.previous_digest == self.digest
        )

    def _make_snapshot(self) -> ConfigSnapshot:
        if self._packed[0] != self.digest:
            text = format_sections(self._current.sections)
            self._packed = (self.digest, compress(text.encode()))
        return ConfigSnapshot(
            revision=self.revision,
            document=self._packed[1],
            digest=self.digest,
            history=tuple(
                ConfigPoint(
                    point.revision,
                    point.digest,
                    point.proposal_id,
                    point.fingerprint,
                    point.is_republished,
                )
                for point in self._history.points
            ),
        )

    async def _announce(self, changes: Iterable[Change]) -> None:
        """Tell the neighbours of the newest changes; they pass on what is new."""
        if self._transport is None:
            return
        whole = [change for change in changes if not change.is_trimmed]
        if not whole or whole[-1].to_revision != self.revision:
            await self._broadcast(self._make_notice())
            return
        for change in whole[-_MAX_ANNOUNCED:]:
            await self._broadcast(make_change_message(change))

    def _make_notice(self) -> ConfigChange:
        """Return a message that names the revision in force but not its content."""
        return ConfigChange(
            from_revision=0,
            to_revision=self.revision,
            proposal_id="",
            team="",
            accepted_at_ms=to_milliseconds(self._clock.now()),
            edits=(),
            fingerprint="",
            previous_digest="",
            digest=self.digest,
            republished=False,
            trimmed=True,
        )

    async def _broadcast(self, message: Message) -> None:
        self._count_message(message)
        await self._transport.broadcast(message)

    async def _send(self, router: RouterId, message: Message) -> None:
        self._count_message(message)
        await self._transport.send(router, message)

    def _count_message(self, message: Message) -> None:
        """Count a message once, however many neighbours a broadcast reaches."""
        size = len(encode_message(self._transport.self_member.router_id, message))
        self._metrics.count("configuration.messages")
        self._metrics.count("configuration.message_bytes", size)

    async def _request_from(self, router: RouterId) -> None:
        now = self._clock.monotonic()
        asked = self._requested_at
        if asked is not None and now - asked < self.options.request_gap:
            return
        self._requested_at = now
        await self._send(router, ConfigRequest(self.revision, self.digest))

    async def _ask_until_found(self) -> None:
        """Ask peers, one after another, while there is no document at all."""
        while self.revision == 0:
            own = self._transport.self_member.router_id
            others = [
                member.router_id
                for member in self._transport.list_members()
                if member.router_id != own
            ]
            if others:
                await self._request_from(self._random_state.choice(others))
            await self._clock.sleep(self.options.request_gap * 1.1)

    def _note_peer(self, sender: RouterId, revision: Revision) -> timedelta:
        now = self._clock.monotonic()
        self._contact_at = now
        oldest = now - self.options.peer_memory
        self._peer_states[sender] = (revision, now)
        if len(self._peer_states) > _MAX_PEERS:
            self._peer_states = {
                router: state
                for router, state in self._peer_states.items()
                if state[1] >= oldest
            }
        return now

    def _note_confirmed(self) -> None:
        now = self._clock.monotonic()
        self._confirmed_at = now
        self._contact_at = now

    def _note_store_failure(self, error: Exception) -> None:
        if self._is_store_up:
            log_event("configuration_store_lost", level="warning", error=error)
        self._is_store_up = False
        # The store may come back with older data, which only a read shows.
        self._head_read_due = timedelta(0)
        self._metrics.count("configuration.store_failures")

    async def _follow_store(self) -> None:
        delays = None
        while True:
            try:
                if self.is_watcher():
                    await self._watch_for_a_while()
                else:
                    await self._poll()
                delays = None
            except (StoreUnavailableError, TimeoutError, InvariantError) as error:
                self._note_store_failure(error)
                delays = delays or jittered_delays(
                    self.options.retry_first,
                    self.options.retry_limit,
                    self._random_state,
                )
                await self._clock.sleep(max(self.options.tick, next(delays)))

    async def _poll(self) -> None:
        if self._clock.monotonic() >= self._head_read_due:
            await self._read_head()
        tick = min(self.options.tick * 4, self.options.poll_period)
        while self._clock.monotonic() < self._head_read_due and not self.is_watcher():
            await self._clock.sleep(tick)

    async def _watch_for_a_while(self) -> None:
        if self._clock.monotonic() >= self._head_read_due:
            await self._read_head()
        watch = await wait_at_most(
            self.options.call_timeout,
            self._store.open_watch(HEAD_KEY, self._store_revision + 1),
        )
        self._is_store_up = True
        self._note_confirmed()
        self._is_watch_open = True
        reader = await curio.spawn(self._read_events, watch, daemon=True)
        try:
            due = self._clock.monotonic() + self.options.watch_period
            while (
                self._is_watch_open
                and not self._is_loss_suspected
                and self._clock.monotonic() < due
            ):
                await self._clock.sleep(self.options.tick)
        finally:
            if self._is_watch_open:
                self._note_confirmed()
            self._is_watch_open = False
            await reader.cancel()
            await watch.close()
        if self._watch_error is not None:
            raise self._watch_error

    async def _read_events(self, watch: Watch) -> None:
        """Follow a watch until it fails; the error is kept for the waiting task."""
        self._watch_error = None
        try:
            while True:
                await self._handle_event(await watch.read_event())
        except (StoreUnavailableError, InvariantError) as error:
            self._watch_error = error
        finally:
            self._is_watch_open = False

    async def _handle_event(self, event: Entry | None) -> None:
        if event is None:
            await self._read_head()
            return
        self._store_revision = max(self._store_revision, event.revision)
        stored = StoredHead(decode_head(event.value), event.revision)
        if await self.adopt(stored) is HeadRelation.LOST:
            await self._read_head()

    async def _read_head(self) -> None:
        was_suspected = self._is_loss_suspected
        stored = await self.refresh()
        self._is_loss_suspected = False
        self._store_revision = stored.store_revision
        is_watcher = self.is_watcher()
        options = self.options
        period = options.head_period if is_watcher else options.poll_period
        self._head_read_due = self._clock.monotonic() + self._jitter(period)
        must_republish = is_watcher or was_suspected
        if must_republish and self._compare(stored.head) is HeadRelation.LOST:
            await self._republish()

    async def _republish(self) -> None:
        """Write the document in force over a store that has lost it."""
        if not self._history.points:
            # There is no document, or one that was never accepted by the store.
            return
        held = SnapshotReference(self.revision, self.digest)
        sections, history = self._current.sections, self._history.points
        recent = self._history.list_whole()
        # An answer that was under way while a change came in force looks like a loss;
        # a read that began afterwards does not.
        stored = await self._head_store.read_head()
        if self._compare(stored.head) is not HeadRelation.LOST:
            return
        if held != SnapshotReference(self.revision, self.digest):
            return
        await self._head_store.write_snapshot(held, sections)
        head = make_republished_head(
            stored.head, held, history, recent, self._clock.now()
        )
        outcome = await self._head_store.swap_head(head, stored.store_revision)
        if outcome.is_swapped:
            self._metrics.count("configuration.republished")
            log_event(
                "configuration_republished",
                level="warning",
                found=stored.head.revision,
                held=held.revision,
                revision=head.revision,
            )
            self._store_revision = outcome.revision
            await self.adopt(StoredHead(head, outcome.revision))
            known = {point.digest for point in history}
            for change in stored.head.chain:
                if change.digest not in known:
                    self._on_replaced(change)
            if stored.head.snapshot != held:
                await self._head_store.delete_snapshot(stored.head.snapshot)

    def _jitter(self, period: timedelta) -> timedelta:
        return period * self._random_state.uniform(0.5, 1.5)


def make_plain_point(revision: Revision, digest: str) -> HistoryPoint:
    """Return a point of a document whose changes are not known."""
    return HistoryPoint(revision, digest, "", "", False)


def _unpack(data: bytes) -> str:
    return decompress_bounded(data, MAX_DOCUMENT_BYTES * 2).decode()
