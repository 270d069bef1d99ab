"""Follows the platform's store and keeps the view of the fleet current."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable
from datetime import timedelta

import curio
from result import Err, Ok, Result

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
from hibiscustiller.utils import Clock, RouterId, ServerId, log_event
from hibiscustiller.wire import wait_for_event

ROUTER_PREFIX = "routers/"
# One watch of all keys costs one call; keys of other kinds are ignored.
_ALL_KEYS = ""
# Each call is charged. A silent connection is found by TCP probes, not by this.
_WATCH_WAIT = timedelta(seconds=20)
# Changes within this time share an answer; the bound on a change is two seconds. It
# grows with the fleet, since each router makes these calls.
_WATCH_SPACING = timedelta(milliseconds=90)
_WATCH_SPACING_PER_ROUTER = timedelta(milliseconds=9)
_LONGEST_WATCH_SPACING = timedelta(milliseconds=700)
_FIRST_RETRY = timedelta(milliseconds=100)
# A change must be in force within two seconds, also if watches alone fail.
_LONGEST_RETRY = timedelta(milliseconds=400)
# With the whole store away, the renewal of the registration is cheaper and tells sooner
# that it is back.
_LONGEST_RETRY_WITHOUT_STORE = timedelta(seconds=2)


class FleetWatcher:
    """Reads the store once and follows its changes.

    :param store: the platform's store.
    :param view: written to.
    :param clock: source of waiting.
    :param random_state: spreads the retries of many hosts.
    :param is_store_reachable: tells whether other calls to the store succeed.
    """

    def __init__(
        self,
        store: MetadataStore,
        view: FleetView,
        clock: Clock,
        random_state: random.Random,
        is_store_reachable: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_store_reachable = is_store_reachable
        self._failures = 0
        self._store = store
        self._view = view
        self._clock = clock
        self._random_state = random_state
        self._revision: int | None = None
        self._wait_task: curio.Task | None = None
        self._is_asked_to_retry = curio.Event()
        # Whether the last call to the store failed.
        self.is_cut_off = True

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._follow()
            except HistoryLostError as error:
                log_event("history_lost", level="warning", reason=error)
                self._revision = None
            except StoreUnavailableError as error:
                self._note_failure(error)
                await self._wait_for_retry(self._choose_delay())

    def _note_failure(self, error: StoreUnavailableError) -> None:
        log_event(
            "watch_lost",
            level="info" if self.is_cut_off else "warning",
            reason=error,
            failures=self._failures,
        )
        self.is_cut_off = True
        self._failures += 1
        # A store that cut a watch may have dropped its history, and tells so only with
        # the next change. The keys are read, so that nothing waits for that.
        self._revision = None

    def _choose_delay(self) -> timedelta:
        """Return the pause before the next attempt, with full jitter."""
        longest = _LONGEST_RETRY
        if not self._is_store_reachable():
            longest = _LONGEST_RETRY_WITHOUT_STORE
        # Bounded before the power, which grows without end.
        doublings = min(self._failures, 10)
        bound = min(longest, _FIRST_RETRY * 2**doublings)
        return bound * self._random_state.random()

    async def restart(self) -> None:
        """Give up the waiting call; its connection may be dead."""
        await self._is_asked_to_retry.set()
        task, self._wait_task = self._wait_task, None
        if task is not None:
            await task.cancel(blocking=False)

    def _get_spacing(self) -> timedelta:
        routers = len(self._view.peers_by_id)
        spacing = _WATCH_SPACING + _WATCH_SPACING_PER_ROUTER * routers
        return min(_LONGEST_WATCH_SPACING, spacing)

    async def _wait_for_retry(self, delay: timedelta) -> None:
        self._is_asked_to_retry.clear()
        await wait_for_event(delay, self._is_asked_to_retry)

    async def _follow(self) -> None:
        if self._revision is None:
            await self._read_all()
        while True:
            assert self._revision is not None
            changes = await self._wait()
            if changes is None:
                continue
            self._note_answer()
            for change in changes.items:
                self._apply(change)
            self._revision = max(self._revision, changes.revision)
            self._view.drop_missing()
            await self._clock.sleep(self._get_spacing())

    async def _wait(self) -> Changes | None:
        """Wait for changes; None if the call was given up for a restart."""
        assert self._revision is not None
        task = await curio.spawn(self._try_wait, self._revision)
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
            raise outcome.err_value
        return outcome.ok_value

    async def _try_wait(self, revision: int) -> Result[Changes, StoreUnavailableError]:
        # A task that ends with an exception is logged as crashed.
        try:
            return Ok(await self._store.wait_changes(_ALL_KEYS, revision, _WATCH_WAIT))
        except StoreUnavailableError as error:
            return Err(error)

    async def _read_all(self) -> None:
        """Read every key, at or after one revision."""
        # Pages of all keys together are fewer calls than those of each prefix.
        found = await self._store.read_prefix(_ALL_KEYS)
        self._note_answer()
        servers = [
            change for change in found.items if change.key.startswith(SERVER_PREFIX)
        ]
        self._view.replace_servers(self._decode_servers(servers))
        for router_id in list(self._view.peers_by_id):
            self._view.remove_peer(router_id)
        self._view.has_holder = False
        for change in found.items:
            if not change.key.startswith(SERVER_PREFIX):
                self._apply(change)
        # The first page is the oldest; what changed since then is told again.
        self._revision = found.revision
        log_event("store_read", revision=self._revision, servers=len(servers))

    def _note_answer(self) -> None:
        self._failures = 0
        if self.is_cut_off:
            log_event("watch_regained", revision=self._revision)
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
            address = parse_address(json.loads(change.value)["address"])
        except (ValueError, KeyError, TypeError) as error:
            log_event("entry_unreadable", level="warning", reason=repr(error))
            return
        self._view.apply_peer(Peer(router_id, address))
