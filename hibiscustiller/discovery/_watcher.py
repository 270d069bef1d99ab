"""The watch on the metadata store that keeps the fleet view up to date."""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

import curio
from result import Err, Ok, Result

from hibiscustiller.discovery._change_codec import LARGE_VALUE_BYTES
from hibiscustiller.discovery._change_log import ChangeBatch, ChangeLog
from hibiscustiller.discovery._departures import Departure
from hibiscustiller.discovery._freshness import ReportedEvidence, StateEvidence
from hibiscustiller.discovery._view import FleetView, Peer
from hibiscustiller.exceptions import StoreUnavailableError, WireFormatError
from hibiscustiller.leadership import HOLDER_KEY
from hibiscustiller.platform import (
    DOCUMENT_KEY,
    NO_REVISION,
    SERVER_PREFIX,
    UNREADABLE_ERRORS,
    Change,
    Changes,
    HistoryLostError,
    MetadataStore,
    Revision,
    decode_fleet_document,
    decode_server_entry,
    read_peer_address,
    read_positive,
    read_text,
)
from hibiscustiller.utils import (
    Clock,
    DomainId,
    RouterId,
    ServerId,
    Verdict,
    log_event,
)
from hibiscustiller.wire import wait_for_event

ROUTER_PREFIX = "routers/"
# A single watch over all keys costs one call. Keys that the router does not use are
# ignored.
_ALL_KEYS = ""
# The shortest wait that the store accepts. The response holds the changes up to now.
_MIN_WAIT = timedelta(milliseconds=1)
# After this many consecutive failed watches the router reads all keys instead.
_MAX_FAILED_WATCHES = 2
# Each call is charged, so the wait is long. A silent connection is detected by TCP
# probes, not by this timeout.
_WATCH_TIMEOUT = timedelta(seconds=20)
# Changes within this interval share one response; a change must be in force within two
# seconds. The interval grows with the fleet, because a larger fleet changes more often
# and has more followers.
_WATCH_SPACING = timedelta(milliseconds=90)
_WATCH_SPACING_PER_ROUTER = timedelta(milliseconds=9)
_MAX_WATCH_SPACING = timedelta(milliseconds=300)
_INITIAL_RETRY_DELAY = timedelta(milliseconds=100)
# A change must be in force within two seconds, even if only watches fail.
_MAX_RETRY_DELAY = timedelta(milliseconds=400)
# A router that does not watch the store only waits for a change of its role.
_IDLE_WAIT = timedelta(seconds=5)
# A router may be several changes behind when changes arrive in quick succession, also
# after the transfer of a large one.
_MAX_VERSIONS_PER_KEY = 6
# While the whole store is unavailable, the lease renewal of the registration is cheaper
# than a watch and detects its return sooner.
_MAX_OUTAGE_RETRY_DELAY = timedelta(seconds=2)
# A store whose reads stay behind its own watches would be read in a loop.
_MAX_READ_RETRY_DELAY = timedelta(seconds=5)
# For this time after a restore, routers that start are told what the store lacks. By
# then the operators and the servers have written it again.
_RESTORE_NOTICE_TIME = timedelta(seconds=60)


@dataclass(frozen=True)
class StateSnapshot:
    """What a router knows of the store, for a router that cannot learn it there.

    :param changes: the latest known change of every key; the configuration is the one
        in force, which may be newer than that of a restored store.
    :param departures: processes of servers that left.
    :param era_age: time since the store's last restore; None if it was long ago or
        the router knows of none.
    """

    changes: Changes
    departures: tuple[Departure, ...] = ()
    era_age: timedelta | None = None


class FleetWatcher:
    """Reads the store once and then applies its changes, or those of a source router.

    :param store: the platform's store.
    :param view: the fleet view to which changes are applied.
    :param log: stores the applied changes for other routers.
    :param clock: clock used for delays.
    :param random_state: random numbers for the jitter of retries.
    :param may_retry_soon: returns whether other calls to the store succeed, or other
        routers depend on this one.
    :param first_read_delay: delay before the first read.
    """

    def __init__(
        self,
        store: MetadataStore,
        view: FleetView,
        log: ChangeLog,
        clock: Clock,
        random_state: random.Random,
        may_retry_soon: Callable[[], bool] = lambda: False,
        first_read_delay: timedelta = timedelta(0),
    ) -> None:
        self._first_read_delay = first_read_delay
        self._may_retry_soon = may_retry_soon
        self._failures = 0
        # Number of consecutive failed watches.
        self._failed_watches = 0
        self._store = store
        self._view = view
        self._log = log
        self._clock = clock
        self._random_state = random_state
        # The latest change of each existing key.
        self._changes_by_key: dict[str, Change] = {}
        self._versions_by_key: dict[str, deque[tuple[Revision, bytes]]] = {}
        # The change that brought the document in force.
        self._document_change: Change | None = None
        self._era_began_at: timedelta | None = None
        # Number of reads in succession that found an older state than the known one.
        self._reads_behind = 0
        self._must_read_all = True
        # Whether changes after the revision may have been missed without an error.
        self._must_catch_up = False
        self._is_reading = False
        self._wait_task: curio.Task | None = None
        self._restart_requested = curio.Event()
        self._listeners: list[Callable[[], Awaitable[None]]] = []
        self._restore_listeners: list[Callable[[], Awaitable[None]]] = []
        self.evidence = StateEvidence()
        # When the latest answer to a watch began, as time since the host's start.
        self._answered_at = timedelta(0)
        # The store revision that the view reflects.
        self.revision = NO_REVISION
        # Whether this router watches the store itself.
        self.follows_store = True
        # Whether the last call to the store failed.
        self.is_watch_lost = True

    @property
    def has_initial_state(self) -> bool:
        """Whether all keys were read from the store or from a snapshot."""
        return self.revision > NO_REVISION

    @property
    def era_age(self) -> timedelta | None:
        """Time since this router learnt that the store was restored.

        None if it knows of no restore in the last minute.
        """
        if self._era_began_at is None:
            return None
        age = self._clock.monotonic() - self._era_began_at
        return age if age < _RESTORE_NOTICE_TIME else None

    @property
    def is_watch_current(self) -> bool:
        """Whether this router watches the store and has missed no changes."""
        is_current = not (
            self.is_watch_lost or self._must_read_all or self._must_catch_up
        )
        is_current = is_current and self._store.era <= self.revision.era
        return self.follows_store and is_current

    def record_renewal(self, called_at: timedelta) -> None:
        """Record that the store answered the renewal of this router's lease.

        :param called_at: when the call began, as time since the host's start.
        """
        if self.is_watch_current:
            self.evidence.record_renewal(called_at)

    def record_report(self, report: ReportedEvidence) -> None:
        """Take over another router's evidence that this state is current."""
        if self.evidence.record_report(report, self.revision):
            self._view.record_current(self._clock.boot_time() - report.at)

    def find_version(
        self, key: str, revision: Revision
    ) -> tuple[Revision, bytes] | None:
        """Return a large value at a given store revision.

        :returns: the revision of the value's last write and the value; None if that
            version is not retained.
        """
        versions = self._versions_by_key.get(key, ())
        older = [version for version in versions if version[0] <= revision]
        return older[-1] if older else None

    def subscribe(self, listener: Callable[[], Awaitable[None]]) -> None:
        """Register a function that is called after each increase of the revision."""
        self._listeners.append(listener)

    def subscribe_to_restores(self, listener: Callable[[], Awaitable[None]]) -> None:
        """Register a function that is called after the store was restored."""
        self._restore_listeners.append(listener)

    async def set_follows_store(self, follows_store: bool) -> None:
        """Start to watch the store, or stop and rely on other routers."""
        if follows_store == self.follows_store:
            return
        self.follows_store = follows_store
        self._must_catch_up = follows_store
        log_event("store_role_changed", is_direct=follows_store, revision=self.revision)
        await self.restart()

    async def request_full_read(self) -> None:
        """Read the whole store again because changes were missed."""
        if not self._is_reading:
            self._must_read_all = True
            await self.restart()

    @property
    def store_era(self) -> int:
        """The latest era that the store named in any of its answers."""
        return self._store.era

    async def handle_store_era(self) -> None:
        """Read the store again if another call found that it was restored.

        A watch that waits for changes may outlive the restore and never answer.
        """
        is_restored = self.has_initial_state and self._store.era > self.revision.era
        if is_restored and self.follows_store:
            await self.request_full_read()

    def make_snapshot(self) -> StateSnapshot:
        """Return what this router knows of the store."""
        changes_by_key = dict(self._changes_by_key)
        if self._document_change is not None:
            changes_by_key[DOCUMENT_KEY] = self._document_change
        return StateSnapshot(
            Changes(tuple(changes_by_key.values()), self.revision),
            self._view.list_departures(),
            self.era_age,
        )

    async def apply_snapshot(self, snapshot: StateSnapshot) -> None:
        """Initialise from another router's snapshot while the store is unavailable."""
        if not self.has_initial_state:
            log_event("snapshot_adopted", revision=snapshot.changes.revision)
            # Its servers' entries may expire before the store returns.
            self._view.outages.record_failure(self._clock.monotonic())
            await self._apply_full_state(snapshot.changes)
            self.merge_snapshot(snapshot)
            self._must_read_all, self._must_catch_up = False, True
            await self.restart()

    def merge_snapshot(self, snapshot: StateSnapshot) -> None:
        """Adopt what another router knows and a restored store lacks.

        These are a newer configuration, and which servers left.
        """
        if snapshot.era_age is not None and self._era_began_at is None:
            self._era_began_at = self._clock.monotonic() - snapshot.era_age
        for change in snapshot.changes.items:
            if change.key == DOCUMENT_KEY and change.value is not None:
                self._apply_document(change)
        self._view.merge_departures(snapshot.departures)

    @property
    def may_apply_changes(self) -> bool:
        """Whether changes from another router would be applied now.

        A read in progress may last for seconds. It is compared with the state when it
        ends, so that older data undo nothing.
        """
        return self.has_initial_state

    async def apply_peer_batch(self, batch: ChangeBatch) -> None:
        """Apply changes from another router if they start at the present revision."""
        is_next = batch.after_revision == self.revision < batch.to_revision
        if self.may_apply_changes and is_next:
            await self._apply_batch(batch)

    async def run(self) -> None:
        """Watch the store, while this router has that role, until cancelled."""
        await self._clock.sleep(self._first_read_delay)
        while True:
            try:
                await self._step()
            except HistoryLostError as error:
                log_event("history_lost", level="warning", reason=error)
                self._must_read_all = True
            except StoreUnavailableError as error:
                self._record_failure(error)
                await self._wait_for_restart(self._compute_retry_delay())

    async def _step(self) -> None:
        if self._must_read_all:
            await self._read_all()
            # In this time the relay may decide that the router need not watch the
            # store.
            await self._wait_for_restart(self._compute_read_spacing())
        elif self._must_catch_up:
            self._must_catch_up = not await self._apply_next_changes(_MIN_WAIT)
        elif self.follows_store:
            if await self._apply_next_changes(_WATCH_TIMEOUT):
                await self._clock.sleep(self._get_watch_spacing())
        else:
            await self._wait_for_restart(_IDLE_WAIT)

    def _record_failure(self, error: StoreUnavailableError) -> None:
        log_event(
            "watch_lost",
            level="info" if self.is_watch_lost else "warning",
            reason=error,
            failures=self._failures,
        )
        self.is_watch_lost = True
        self._failures += 1
        # The call may have waited for a change for a long time before it failed.
        self._view.outages.record_failure(self._clock.monotonic())
        if self._failed_watches >= _MAX_FAILED_WATCHES:
            # The store may close all watches and still answer reads.
            self._must_read_all = True
        else:
            # A store that closed a watch may have lost its history. A watch that waits
            # gets that error only with the next change; one with the shortest wait gets
            # it at once.
            self._must_catch_up = True

    def _compute_retry_delay(self) -> timedelta:
        """Return the delay before the next attempt, with jitter."""
        # The exponent is bounded because the power would grow without limit.
        doublings = min(self._failures, 10)
        bound = _INITIAL_RETRY_DELAY * 2**doublings
        if self._may_retry_soon():
            return min(_MAX_RETRY_DELAY, bound) * self._random_state.random()
        # Full jitter would halve the delay on average and so cause more calls.
        bound = min(_MAX_OUTAGE_RETRY_DELAY, bound)
        return bound * self._random_state.uniform(0.5, 1)

    async def restart(self) -> None:
        """Cancel the call in progress, whose connection may be dead, and start anew."""
        await self._restart_requested.set()
        task, self._wait_task = self._wait_task, None
        if task is not None:
            await task.cancel(blocking=False)

    def _compute_read_spacing(self) -> timedelta:
        """Return the delay after a read of all keys, longer after older states."""
        doublings = min(self._reads_behind, 10)
        return min(_MAX_READ_RETRY_DELAY, self._get_watch_spacing() * 2**doublings)

    def _get_watch_spacing(self) -> timedelta:
        routers = len(self._view.peers_by_id)
        spacing = _WATCH_SPACING + _WATCH_SPACING_PER_ROUTER * routers
        return min(_MAX_WATCH_SPACING, spacing)

    async def _wait_for_restart(self, delay: timedelta) -> None:
        await wait_for_event(delay, self._restart_requested)
        self._restart_requested.clear()

    async def _apply_next_changes(self, wait: timedelta) -> bool:
        """Wait for changes and apply them; False if a restart cancelled the call."""
        after = self.revision
        changes = await self._wait_for_changes(after, wait)
        if changes is None:
            return False
        if self.is_watch_current:
            # No change came before these.
            self._view.record_current(self._clock.boot_time() - self._answered_at)
        self._record_success()
        # Some of them may have arrived from other routers during the call.
        await self._apply_batch(ChangeBatch(after, changes.revision, changes.items))
        self.evidence.record_answer(self._answered_at)
        self._view.record_current(self._clock.boot_time() - self._answered_at)
        self._view.drop_missing()
        return True

    async def _wait_for_changes(
        self, revision: Revision, wait: timedelta
    ) -> Changes | None:
        """Wait for changes; None if a restart cancelled the call."""
        task = await curio.spawn(self._try_wait_for_changes, revision, wait)
        self._wait_task = task
        self.evidence.begin_wait(self._clock.boot_time())
        try:
            await task.wait()
        except curio.CancelledError:
            await task.cancel()
            raise
        finally:
            self._wait_task = None
            self.evidence.end_wait()
        if isinstance(task.exception, curio.CancelledError):
            return None
        outcome = task.result
        if isinstance(outcome, Err):
            self._failed_watches += 1
            raise outcome.err_value
        self._failed_watches = 0
        return outcome.ok_value

    async def _try_wait_for_changes(
        self, revision: Revision, wait: timedelta
    ) -> Result[Changes, StoreUnavailableError]:
        # curio logs a task that ends with an exception as crashed.
        try:
            changes = await self._store.wait_changes(
                _ALL_KEYS, revision, wait, self._record_begun_answer
            )
            return Ok(changes)
        except StoreUnavailableError as error:
            return Err(error)

    def _record_begun_answer(self) -> None:
        """Record that a watch does not wait any more.

        Its answer may take seconds to arrive. The store's state is a newer one, and
        renewals do not confirm the present one.
        """
        self._answered_at = self._clock.boot_time()
        self.evidence.end_wait()

    async def _read_all(self) -> None:
        """Read every key from the store and apply the result."""
        self._is_reading = True
        called_at = self._clock.boot_time()
        try:
            found = await self._read_keys()
        finally:
            self._is_reading = False
        if found.revision.era < self.revision.era:
            message = f"the store is at {found.revision}, after {self.revision}"
            raise StoreUnavailableError(message, Verdict.NOT_RUN)
        is_behind = found.revision < self.revision
        self._reads_behind = self._reads_behind + 1 if is_behind else 0
        self._record_success()
        self._must_read_all = self._must_catch_up = False
        await self._apply_full_state(found)
        if not is_behind:
            self.evidence.record_answer(called_at)
        self._view.record_current()

    async def _apply_full_state(self, found: Changes) -> None:
        """Replace the known state by a complete one.

        Later reads are compared key by key with what is known, because a restored
        store may have older entries.
        """
        servers = [
            change for change in found.items if change.key.startswith(SERVER_PREFIX)
        ]
        if not self.has_initial_state:
            self._view.replace_servers(self._decode_servers(servers))
        # The revision is that of the oldest page; the store repeats later changes.
        log_event("store_read", revision=found.revision, servers=len(servers))
        await self._apply_batch(self._compute_difference(found))

    async def _read_keys(self) -> Changes:
        """Return the current value of every key.

        Pages that may be stale cost a tenth of current ones, so they are read first and
        then brought up to date by the changes since their revision. Reading all keys
        takes fewer pages than reading each prefix separately.
        """
        old = await self._store.read_prefix(_ALL_KEYS, may_be_old=True)
        if self._failed_watches < _MAX_FAILED_WATCHES:
            try:
                newer = await self._wait_for_changes(old.revision, _MIN_WAIT)
            except StoreUnavailableError as error:
                log_event("changes_unknown", level="warning", reason=error)
            else:
                if newer is not None:
                    return _merge_changes(old, newer)
        return await self._store.read_prefix(_ALL_KEYS)

    def _compute_difference(self, found: Changes) -> ChangeBatch:
        """Return the differences between the keys read and the known ones."""
        keys = {change.key for change in found.items}
        is_restored = self.has_initial_state and found.revision.era > self.revision.era
        removed = [
            Change(key, None, found.revision, is_restored=is_restored)
            for key in self._changes_by_key
            if key not in keys
        ]
        changed = [
            replace(change, is_restored=is_restored)
            for change in found.items
            if change.revision > self._get_revision(change.key)
            and not self._is_known(change)
        ]
        return ChangeBatch(
            self.revision, found.revision, (*changed, *removed), is_difference=True
        )

    def _is_known(self, change: Change) -> bool:
        """Tell whether a key was not written between a backup and its restore."""
        known = self._changes_by_key.get(change.key)
        return (
            known is not None
            and known.revision.number == change.revision.number
            and known.value == change.value
        )

    async def _apply_batch(self, batch: ChangeBatch) -> None:
        """Apply the new changes, log them and notify the listeners."""
        previous_revision = self.revision
        items = tuple(
            change for change in batch.items if change.revision > previous_revision
        )
        has_new_era = batch.to_revision.era > previous_revision.era
        is_restore = self.has_initial_state and has_new_era
        if is_restore:
            self._record_restore(batch)
        for change in items:
            self._apply_if_newer(change)
        if batch.to_revision <= previous_revision:
            return
        self.revision = batch.to_revision
        # The first read does not contain the deletions before it.
        if previous_revision > NO_REVISION:
            self._log.append(
                replace(batch, after_revision=previous_revision, items=items)
            )
        for listener in self._listeners:
            await listener()
        if is_restore:
            for listener in self._restore_listeners:
                await listener()

    def _record_restore(self, batch: ChangeBatch) -> None:
        log_event(
            "store_restored",
            level="warning",
            revision=batch.to_revision,
            before=self.revision,
            changes=len(batch.items),
        )
        self._era_began_at = self._clock.monotonic()
        self._view.outages.record_restore()

    def _apply_if_newer(self, change: Change) -> None:
        if change.revision <= self._get_revision(change.key):
            return
        if change.value is None:
            self._versions_by_key.pop(change.key, None)
            if self._changes_by_key.pop(change.key, None) is None:
                return
        else:
            self._changes_by_key[change.key] = change
            self._keep_version(change)
        self._apply(change)

    def _get_revision(self, key: str) -> Revision:
        known = self._changes_by_key.get(key)
        return NO_REVISION if known is None else known.revision

    def _keep_version(self, change: Change) -> None:
        """Store a large value as a base of deltas."""
        assert change.value is not None
        if len(change.value) >= LARGE_VALUE_BYTES:
            versions = self._versions_by_key.setdefault(
                change.key, deque(maxlen=_MAX_VERSIONS_PER_KEY)
            )
            versions.append((change.revision, change.value))

    def _record_success(self) -> None:
        self._failures = 0
        # Called before the changes are applied, because entries may have expired in an
        # outage.
        self._view.outages.record_answer(is_follower=self.follows_store)
        if self.is_watch_lost:
            log_event("watch_regained", revision=self.revision)
            self.is_watch_lost = False

    def _apply(self, change: Change) -> None:
        if change.key == DOCUMENT_KEY and change.value is not None:
            self._apply_document(change)
        elif change.key.startswith(SERVER_PREFIX):
            self._apply_server(change)
        elif change.key.startswith(ROUTER_PREFIX):
            self._apply_peer(change)
        elif change.key == HOLDER_KEY:
            self._view.has_lease_holder = change.value is not None

    def _apply_document(self, change: Change) -> None:
        assert change.value is not None
        try:
            document = decode_fleet_document(change.value)
        except WireFormatError as error:
            log_event("document_unreadable", level="error", reason=error)
            return
        if self._view.apply_document(document, change.revision):
            self._document_change = change

    def _apply_server(self, change: Change) -> None:
        servers = list(self._decode_servers([change]))
        if servers:
            self._view.apply_server(servers[0], is_restored=change.is_restored)
        else:
            self._view.remove_server(ServerId(change.key.removeprefix(SERVER_PREFIX)))

    def _decode_servers(self, changes: Iterable[Change]):
        for change in changes:
            if change.value is None:
                continue
            try:
                yield decode_server_entry(change.key, change.value)
            except WireFormatError as error:
                log_event("entry_unreadable", level="warning", reason=error)

    def _apply_peer(self, change: Change) -> None:
        router_id = RouterId(change.key.removeprefix(ROUTER_PREFIX))
        if change.value is None:
            self._view.remove_peer(router_id, is_restored=change.is_restored)
            return
        try:
            values = json.loads(change.value)
            address = read_peer_address(values)
            domain = DomainId(read_text(values, "domain"))
            capacity = read_positive(values, "capacity")
            inner = read_peer_address(values, "inner") if "inner" in values else None
        except UNREADABLE_ERRORS as error:
            log_event("entry_unreadable", level="warning", reason=repr(error))
            return
        peer = Peer(router_id, address, domain, capacity, inner)
        self._view.apply_peer(peer, is_restored=change.is_restored)


def _merge_changes(old: Changes, newer: Changes) -> Changes:
    """Apply later changes to keys that were read from pages that may be stale.

    The revision of `old` is that of its oldest page, so a change after it may be older
    than the value that another page holds for the key.
    """
    changes_by_key = {change.key: change for change in old.items}
    for change in newer.items:
        known = changes_by_key.get(change.key)
        if known is None or change.revision > known.revision:
            changes_by_key[change.key] = change
    kept = (c for c in changes_by_key.values() if c.value is not None)
    return Changes(tuple(kept), newer.revision)
