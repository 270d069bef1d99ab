"""Follows the platform's store and keeps the view of the fleet current."""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from datetime import timedelta

import curio
from result import Err, Ok, Result

from hibiscustiller.discovery._change_log import ChangeBatch, ChangeLog
from hibiscustiller.discovery._view import FleetView, Peer
from hibiscustiller.exceptions import StoreUnavailableError, WireFormatError
from hibiscustiller.leadership import HOLDER_KEY
from hibiscustiller.platform import (
    DOCUMENT_KEY,
    SERVER_PREFIX,
    Change,
    Changes,
    HistoryLostError,
    MetadataStore,
    decode_fleet_document,
    decode_server_entry,
)
from hibiscustiller.settings import parse_address
from hibiscustiller.utils import Clock, DomainId, RouterId, ServerId, log_event
from hibiscustiller.wire import wait_for_event

ROUTER_PREFIX = "routers/"
# One watch of all keys costs one call; keys of other kinds are ignored.
_ALL_KEYS = ""
# The shortest wait that the store takes: the answer holds what has changed already.
_NO_WAIT = timedelta(milliseconds=1)
# After so many failed watches in a row, keys are read instead.
_MAX_FAILED_WATCHES = 2
# Each call is charged. A silent connection is found by TCP probes, not by this.
_WATCH_WAIT = timedelta(seconds=20)
# Changes within this time share an answer; the bound on a change is two seconds. It
# grows with the fleet, which changes more often and has more followers.
_WATCH_SPACING = timedelta(milliseconds=90)
_WATCH_SPACING_PER_ROUTER = timedelta(milliseconds=9)
_LONGEST_WATCH_SPACING = timedelta(milliseconds=300)
_FIRST_RETRY = timedelta(milliseconds=100)
# A change must be in force within two seconds, also if watches alone fail.
_LONGEST_RETRY = timedelta(milliseconds=400)
# A router that leaves the store to others only waits for another part.
_IDLE_WAIT = timedelta(seconds=5)
# Values from this length on are passed on as differences.
LARGE_VALUE_BYTES = 2048
# A router may be some changes behind when changes follow each other quickly.
_KEPT_VERSIONS = 3
# With the whole store away, the renewal of the registration is cheaper and tells sooner
# that it is back.
_LONGEST_RETRY_WITHOUT_STORE = timedelta(seconds=2)


class FleetWatcher:
    """Reads the store once and follows its changes, or takes them from elsewhere.

    :param store: the platform's store.
    :param view: written to.
    :param log: keeps what was applied, for other routers.
    :param clock: source of waiting.
    :param random_state: spreads the retries of many hosts.
    :param may_retry_soon: tells whether other calls to the store succeed, or other
        routers wait for this one.
    :param first_read_delay: pause before the first read.
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
        # Watches that have failed since the last one that did not.
        self._failed_watches = 0
        self._store = store
        self._view = view
        self._log = log
        self._clock = clock
        self._random_state = random_state
        # The last change of each key that exists.
        self._changes_by_key: dict[str, Change] = {}
        self._versions_by_key: dict[str, deque[tuple[int, bytes]]] = {}
        self._must_read = True
        # Whether changes since the revision may be missing without any sign of it.
        self._must_catch_up = False
        self._is_reading = False
        self._wait_task: curio.Task | None = None
        self._is_woken = curio.Event()
        self._listeners: list[Callable[[], Awaitable[None]]] = []
        # The store's revision that the view corresponds to.
        self.revision = 0
        # Whether this router waits for changes at the store.
        self.is_direct = True
        # Whether the last call to the store failed.
        self.is_cut_off = True

    @property
    def has_read(self) -> bool:
        """Whether the whole store has been read once."""
        return self.revision > 0

    @property
    def is_following(self) -> bool:
        """Whether this router follows the store itself, and reaches it."""
        is_current = not (self.is_cut_off or self._must_read or self._must_catch_up)
        return self.is_direct and is_current

    def find_version(self, key: str, revision: int) -> tuple[int, bytes] | None:
        """Return a large value as it was at a revision, with its own revision.

        :returns: None if it is not kept.
        """
        versions = self._versions_by_key.get(key, ())
        older = [version for version in versions if version[0] <= revision]
        return older[-1] if older else None

    def subscribe(self, listener: Callable[[], Awaitable[None]]) -> None:
        """Call a function after the revision has risen."""
        self._listeners.append(listener)

    async def set_direct(self, is_direct: bool) -> None:
        """Follow the store itself from now on, or leave that to other routers."""
        if is_direct == self.is_direct:
            return
        self.is_direct = is_direct
        self._must_catch_up = is_direct
        log_event("store_role_changed", is_direct=is_direct, revision=self.revision)
        await self.restart()

    async def read_again(self) -> None:
        """Read the whole store: changes are missing."""
        if not self._is_reading:
            self._must_read = True
            await self.restart()

    def make_snapshot(self) -> Changes:
        """Return every key as it is known here."""
        return Changes(tuple(self._changes_by_key.values()), self.revision)

    async def adopt(self, snapshot: Changes) -> None:
        """Begin with what another router knows, while the store cannot be read."""
        if not self.has_read:
            log_event("snapshot_adopted", revision=snapshot.revision)
            await self._take_all(snapshot)
            self._must_read, self._must_catch_up = False, True
            await self.restart()

    async def take_batch(self, batch: ChangeBatch) -> None:
        """Apply changes that another router has seen, if they join the revision."""
        joins = batch.after == self.revision < batch.to
        # What is being read may be older than these.
        if self.has_read and joins and not self._is_reading:
            await self._apply_batch(batch)

    async def run(self) -> None:
        """Follow the store, while that is this router's part, until cancelled."""
        await self._clock.sleep(self._first_read_delay)
        while True:
            try:
                await self._step()
            except HistoryLostError as error:
                log_event("history_lost", level="warning", reason=error)
                self._must_read = True
            except StoreUnavailableError as error:
                self._note_failure(error)
                await self._wait_for_wake(self._choose_delay())

    async def _step(self) -> None:
        if self._must_read:
            await self._read_all()
            # Meanwhile this router may find that it can leave the watch to others.
            await self._wait_for_wake(self._get_spacing())
        elif self._must_catch_up:
            self._must_catch_up = not await self._follow_once(_NO_WAIT)
        elif self.is_direct:
            if await self._follow_once(_WATCH_WAIT):
                await self._clock.sleep(self._get_spacing())
        else:
            await self._wait_for_wake(_IDLE_WAIT)

    def _note_failure(self, error: StoreUnavailableError) -> None:
        log_event(
            "watch_lost",
            level="info" if self.is_cut_off else "warning",
            reason=error,
            failures=self._failures,
        )
        self.is_cut_off = True
        self._failures += 1
        if self._failed_watches >= _MAX_FAILED_WATCHES:
            # The store may cut all watches and still answer reads.
            self._must_read = True
        else:
            # A store that cut a watch may have dropped its history, and a watch that
            # waits learns so only with the next change; one that does not, at once.
            self._must_catch_up = True

    def _choose_delay(self) -> timedelta:
        """Return the pause before the next attempt, with jitter."""
        # Bounded before the power, which grows without end.
        doublings = min(self._failures, 10)
        bound = _FIRST_RETRY * 2**doublings
        if self._may_retry_soon():
            return min(_LONGEST_RETRY, bound) * self._random_state.random()
        # Full jitter would ask half as late on average.
        bound = min(_LONGEST_RETRY_WITHOUT_STORE, bound)
        return bound * self._random_state.uniform(0.5, 1)

    async def restart(self) -> None:
        """Give up the waiting call; its connection may be dead."""
        await self._is_woken.set()
        task, self._wait_task = self._wait_task, None
        if task is not None:
            await task.cancel(blocking=False)

    def _get_spacing(self) -> timedelta:
        routers = len(self._view.peers_by_id)
        spacing = _WATCH_SPACING + _WATCH_SPACING_PER_ROUTER * routers
        return min(_LONGEST_WATCH_SPACING, spacing)

    async def _wait_for_wake(self, delay: timedelta) -> None:
        await wait_for_event(delay, self._is_woken)
        self._is_woken.clear()

    async def _follow_once(self, wait: timedelta) -> bool:
        """Take the next changes; False if the call was given up for a restart."""
        after = self.revision
        changes = await self._wait(after, wait)
        if changes is None:
            return False
        self._note_answer()
        # Other routers may have told of a part of them meanwhile.
        await self._apply_batch(ChangeBatch(after, changes.revision, changes.items))
        self._view.drop_missing()
        return True

    async def _wait(self, revision: int, wait: timedelta) -> Changes | None:
        """Wait for changes; None if the call was given up for a restart."""
        task = await curio.spawn(self._try_wait, revision, wait)
        self._wait_task = task
        try:
            await task.wait()
        except curio.CancelledError:
            await task.cancel()
            raise
        finally:
            self._wait_task = None
        if isinstance(task.exception, curio.CancelledError):
            return None
        outcome = task.result
        if isinstance(outcome, Err):
            self._failed_watches += 1
            raise outcome.err_value
        self._failed_watches = 0
        return outcome.ok_value

    async def _try_wait(
        self, revision: int, wait: timedelta
    ) -> Result[Changes, StoreUnavailableError]:
        # A task that ends with an exception is logged as crashed.
        try:
            return Ok(await self._store.wait_changes(_ALL_KEYS, revision, wait))
        except StoreUnavailableError as error:
            return Err(error)

    async def _read_all(self) -> None:
        """Read every key, at or after one revision."""
        self._is_reading = True
        try:
            found = await self._read_keys()
        finally:
            self._is_reading = False
        self._note_answer()
        self._must_read = self._must_catch_up = False
        await self._take_all(found)

    async def _take_all(self, found: Changes) -> None:
        """Take every key as it is now."""
        servers = [
            change for change in found.items if change.key.startswith(SERVER_PREFIX)
        ]
        self._view.replace_servers(self._decode_servers(servers))
        # The first page is the oldest; what changed since then is told again.
        log_event("store_read", revision=found.revision, servers=len(servers))
        await self._apply_batch(self._find_difference(found))

    async def _read_keys(self) -> Changes:
        """Return every key as it is now.

        Pages that may be old cost a tenth, so they are read together with the changes
        since then. Pages of all keys are fewer than those of each prefix.
        """
        old = await self._store.read_prefix(_ALL_KEYS, may_be_old=True)
        if self._failed_watches < _MAX_FAILED_WATCHES:
            try:
                newer = await self._wait(old.revision, _NO_WAIT)
            except StoreUnavailableError as error:
                log_event("changes_unknown", level="warning", reason=error)
            else:
                if newer is not None:
                    return _merge_changes(old, newer)
        return await self._store.read_prefix(_ALL_KEYS)

    def _find_difference(self, found: Changes) -> ChangeBatch:
        """Return what differs between the keys found and those known."""
        keys = {change.key for change in found.items}
        removed = [
            Change(key, None, found.revision)
            for key in self._changes_by_key
            if key not in keys
        ]
        changed = [
            change
            for change in found.items
            if change.revision > self._get_revision(change.key)
        ]
        return ChangeBatch(
            self.revision, found.revision, (*changed, *removed), is_difference=True
        )

    async def _apply_batch(self, batch: ChangeBatch) -> None:
        """Apply the changes that are new, and tell of them."""
        before = self.revision
        items = tuple(change for change in batch.items if change.revision > before)
        for change in items:
            self._apply_new(change)
        if batch.to <= before:
            return
        self.revision = batch.to
        # The first read does not tell what was deleted before it.
        if before:
            self._log.append(replace(batch, after=before, items=items))
        for listener in self._listeners:
            await listener()

    def _apply_new(self, change: Change) -> None:
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

    def _get_revision(self, key: str) -> int:
        known = self._changes_by_key.get(key)
        return 0 if known is None else known.revision

    def _keep_version(self, change: Change) -> None:
        """Keep a large value, for differences from it."""
        assert change.value is not None
        if len(change.value) >= LARGE_VALUE_BYTES:
            versions = self._versions_by_key.setdefault(
                change.key, deque(maxlen=_KEPT_VERSIONS)
            )
            versions.append((change.revision, change.value))

    def _note_answer(self) -> None:
        self._failures = 0
        if self.is_cut_off:
            log_event("watch_regained", revision=self.revision)
            self.is_cut_off = False
            # Before the changes are applied: entries may have expired meanwhile.
            self._view.note_store_returned()

    def _apply(self, change: Change) -> None:
        if change.key == DOCUMENT_KEY and change.value is not None:
            self._apply_document(change.value, change.revision)
        elif change.key.startswith(SERVER_PREFIX):
            self._apply_server(change)
        elif change.key.startswith(ROUTER_PREFIX):
            self._apply_peer(change)
        elif change.key == HOLDER_KEY:
            self._view.has_holder = change.value is not None

    def _apply_document(self, data: bytes, revision: int) -> None:
        try:
            document = decode_fleet_document(data)
        except WireFormatError as error:
            log_event("document_unreadable", level="error", reason=error)
            return
        self._view.apply_document(document, revision)

    def _apply_server(self, change: Change) -> None:
        servers = list(self._decode_servers([change]))
        if servers:
            self._view.apply_server(servers[0])
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
            self._view.remove_peer(router_id)
            return
        try:
            values = json.loads(change.value)
            address = parse_address(values["address"])
            domain = DomainId(values["domain"])
            capacity = float(values["capacity"])
        except (ValueError, KeyError, TypeError) as error:
            log_event("entry_unreadable", level="warning", reason=repr(error))
            return
        self._view.apply_peer(Peer(router_id, address, domain, capacity))


def _merge_changes(old: Changes, newer: Changes) -> Changes:
    """Bring keys up to date by the changes after their revision.

    A key's page may have been read later than the oldest one, so that some of the
    changes are older than what it holds.
    """
    changes_by_key = {change.key: change for change in old.items}
    for change in newer.items:
        known = changes_by_key.get(change.key)
        if known is None or change.revision > known.revision:
            changes_by_key[change.key] = change
    kept = (c for c in changes_by_key.values() if c.value is not None)
    return Changes(tuple(kept), newer.revision)
