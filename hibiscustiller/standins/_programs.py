"""The platform's stand-ins as programs of their own, so that each can be killed.

A server writes its entry under a lease, as a server on the platform does: the entry
goes when the process has been away for the lease's time.
"""

from __future__ import annotations

import json
import os
import signal
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType
from typing import Any

import curio

from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.platform import LeaseExpiredError, LeaseId, MetadataStore
from hibiscustiller.settings import Address, parse_address
from hibiscustiller.standins._layered_engine import (
    LayeredEngineStandin,
    PipelineMember,
)
from hibiscustiller.standins._layered_engine import Path as PipelinePath
from hibiscustiller.standins._metadata_store import MetadataStoreStandin
from hibiscustiller.standins._plain_server import PlainServerStandin
from hibiscustiller.utils import Clock, SignalReceiver, SystemClock, log_event
from hibiscustiller.wire import HttpClient, HttpRequest, is_readable, wait_for_event

# Three renewals fit, as on the platform.
_ENTRY_TTL = timedelta(seconds=3)
_RENEWAL_PERIOD = timedelta(seconds=1)
_STORE_TIMEOUT = timedelta(seconds=1)
_MEMBER_TIMEOUT = timedelta(milliseconds=500)
_MAX_VALUE_BYTES = 1 << 20
# Long enough for faults to meet requests at work.
_EVENT_PERIOD_S = 0.04
_WORK_S = 0.1
# A server that begins to run a request with it ends, after as many milliseconds as the
# end of the body says; the rest of the body tells such requests apart.
CRASH_MARK = b"crash-"
# In-process crashes are not used: the process ends before them.
_NO_CRASH_S = 60.0
# The limit that a server names between two signals SIGUSR1.
NAMED_RATE_LIMIT = 2.0
# An engine that gets this signal is full, or has room again after a second one.
FULL_SIGNAL = signal.SIGRTMIN
# A shared part of a prompt that begins with it ends servers in the same way, whatever
# else the request holds.
CRASH_PART_MARK = "dead"


class RunRecord:
    """Appends what runs at a server to a file that outlives its process.

    :param path: file that several processes append to.
    """

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def note(self, **values: object) -> None:
        """Append a line of JSON; a kill cannot divide it."""
        os.write(self._file, json.dumps(values).encode() + b"\n")


class _EntryKeeper:
    """Keeps entries in a store of another process."""

    def __init__(self, store: MetadataStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._wanted: dict[str, bytes] = {}
        self._written: dict[str, bytes] = {}
        self._lease: LeaseId | None = None
        self._is_withdrawn = False
        self._is_changed = curio.UniversalEvent()

    def withdraw(self) -> None:
        """Remove all entries soon, and write none again."""
        self._is_withdrawn = True
        self._is_changed.set()

    def put(self, key: str, value: Any) -> None:
        """Write an entry soon."""
        self._wanted[key] = json.dumps(value).encode()
        self._is_changed.set()

    async def run(self) -> None:
        """Write entries and renew their lease until cancelled."""
        while True:
            try:
                await self._write_all()
            except (StoreUnavailableError, LeaseExpiredError) as error:
                log_event("entry_not_written", level="warning", reason=error)
            await wait_for_event(_RENEWAL_PERIOD, self._is_changed)
            self._is_changed.clear()

    async def _write_all(self) -> None:
        if self._is_withdrawn:
            if self._lease is not None:
                await self._store.revoke_lease(self._lease)
                self._lease = None
            return
        if self._lease is None or not await self._store.keep_alive(self._lease):
            self._written.clear()
            self._lease = await self._store.grant_lease(_ENTRY_TTL)
        for key, value in self._wanted.items():
            if self._written.get(key) == value:
                continue
            found = await self._store.get(key)
            revision = 0 if found is None else found.revision
            outcome = await self._store.compare_and_swap(
                key, value, revision, self._lease
            )
            if outcome.is_swapped:
                self._written[key] = value


class _RemoteMember:
    """An engine in another process, with a connection that ends when it does."""

    def __init__(self, sock: Any, layers: tuple[int, int]) -> None:
        self._sock = sock
        self._layers = layers

    @property
    def is_alive(self) -> bool:
        return not is_readable(self._sock)

    def holds(self, first: int, end: int) -> bool:
        return self._layers[0] <= first and end <= self._layers[1]

    async def leave(self) -> None:
        await self._sock.close()

    async def take_run(self, request: HttpRequest) -> bool:
        return True


class _MemberFinder:
    """Finds the engines of pipelines that begin at this process's engine."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self.engine: LayeredEngineStandin | None = None

    async def find(self, path: PipelinePath) -> Sequence[PipelineMember | None]:
        members: list[PipelineMember | None] = [self.engine]
        for address, _, _ in path[1:]:
            members.append(await self._connect(parse_address(address)))
        return members

    async def _connect(self, address: Address) -> _RemoteMember | None:
        try:
            answer = await self._client.request(
                address, "GET", "/member", timeout=_MEMBER_TIMEOUT
            )
            sock = await curio.open_connection(address.host, address.port)
        except (TransportError, OSError) as error:
            log_event("member_unreachable", address=address, reason=error)
            return None
        first, end = answer.read_json()["layers"]
        return _RemoteMember(sock, (first, end))


# A restored store is some 2 s old, and what it lacks is written again 1 s later.
_STORE_PERIOD_S = 0.2
_COPIES = 10
_REWRITE_DELAY_S = 1.0


async def run_metadata_store(port: int) -> None:
    """Run a store until it is killed.

    SIGUSR1 drops its history. SIGUSR2 restores it to a copy that is some seconds old;
    later what operators and servers had written is written again.
    """
    store = MetadataStoreStandin(SystemClock(), Address("127.0.0.1", port))
    is_restore_requested = False

    def request_restore() -> None:
        nonlocal is_restore_requested
        is_restore_requested = True

    await _handle_signals(
        {signal.SIGUSR1: store.forget_history, signal.SIGUSR2: request_restore}
    )
    await store.start()
    copies = deque([store.copy()], maxlen=_COPIES)
    while True:
        await curio.sleep(_STORE_PERIOD_S)
        store.expire_leases()
        copies.append(store.copy())
        if is_restore_requested:
            is_restore_requested = False
            newest = store.copy()
            store.restore(copies[0])
            copies.clear()
            await curio.sleep(_REWRITE_DELAY_S)
            store.write_again(newest)


async def run_engine(
    server_id: str,
    port: int,
    public_address: Address,
    store_address: Address,
    domain: str,
    kind: str,
    record_path: Path,
) -> None:
    """Run an engine until it is killed."""
    clock = SystemClock()
    client = HttpClient(clock)
    record = RunRecord(record_path)
    keeper = _make_keeper(client, store_address, clock)
    finder = _MemberFinder(client)

    def note_run(request: HttpRequest, path: PipelinePath) -> None:
        _note_request(record, server_id, request, path=path)

    finder.engine = LayeredEngineStandin(
        server_id,
        keeper,
        {},
        zone=domain,
        kind=kind,
        event_period_s=_EVENT_PERIOD_S,
        address=Address("127.0.0.1", port),
        public_address=public_address,
        born=_read_milliseconds(clock),
        find_members=finder.find,
        on_run=note_run,
        crashes_on=lambda request: _find_crash_cause(request) is not None,
        crash_delay_s=_NO_CRASH_S,
    )
    faults = finder.engine.faults

    def toggle_limit() -> None:
        faults.rate_limit = None if faults.rate_limit else NAMED_RATE_LIMIT

    def leave() -> None:
        faults.is_leaving = True

    def toggle_room() -> None:
        faults.is_full = not faults.is_full

    await _handle_server_signals(
        toggle_limit, leave, keeper.withdraw, {FULL_SIGNAL: toggle_room}
    )
    await finder.engine.start()
    await keeper.run()


async def run_plain_server(
    server_id: str,
    port: int,
    public_address: Address,
    store_address: Address,
    record_path: Path,
) -> None:
    """Run a server of the plain service until it is killed."""
    clock = SystemClock()
    record = RunRecord(record_path)
    keeper = _make_keeper(HttpClient(clock), store_address, clock)
    server = PlainServerStandin(
        server_id,
        keeper,
        address=Address("127.0.0.1", port),
        public_address=public_address,
        born=_read_milliseconds(clock),
        work_s=_WORK_S,
        on_run=lambda request: _note_request(record, server_id, request),
        crashes_on=lambda request: _find_crash_cause(request) is not None,
        crash_delay_s=_NO_CRASH_S,
    )

    def toggle_limit() -> None:
        server.rate_limit = None if server.rate_limit else NAMED_RATE_LIMIT

    def leave() -> None:
        server.is_leaving = True

    await _handle_server_signals(toggle_limit, leave, keeper.withdraw)
    await server.start()
    await keeper.run()


async def _handle_server_signals(
    toggle_limit: Callable[[], None],
    leave: Callable[[], None],
    withdraw: Callable[[], None],
    other_actions: Mapping[signal.Signals, Callable[[], None]] = MappingProxyType({}),
) -> None:
    """Change what a server says of itself on signals SIGUSR1 and SIGUSR2.

    On SIGHUP it removes its entry without a word, and serves on.

    :param other_actions: actions of the program's own on other signals.
    """
    await _handle_signals(
        {
            signal.SIGUSR1: toggle_limit,
            signal.SIGUSR2: leave,
            signal.SIGHUP: withdraw,
            **other_actions,
        }
    )


async def _handle_signals(
    actions_by_signal: dict[signal.Signals, Callable[[], None]],
) -> None:
    """Run an action in a task of the kernel for each kind of signal that arrives."""
    signals = SignalReceiver(actions_by_signal)

    async def run() -> None:
        while True:
            for number in await signals.receive():
                actions_by_signal[number]()

    await curio.spawn(run, daemon=True)


def _make_keeper(client: HttpClient, address: Address, clock: Clock) -> _EntryKeeper:
    store = MetadataStore(client, address, _STORE_TIMEOUT, _MAX_VALUE_BYTES)
    return _EntryKeeper(store, clock)


def _note_request(
    record: RunRecord, server_id: str, request: HttpRequest, **values: object
) -> None:
    headers = request.headers_by_name
    crash = _find_crash_cause(request)
    delay_s = _read_crash_delay(crash) if crash is not None else 0.0
    record.note(
        server=server_id,
        process=os.getpid(),
        at=time.monotonic(),
        crash=crash,
        crash_delay_s=delay_s,
        request=headers["request-id"],
        target=request.target.decode("latin-1"),
        organisation=headers.get("tenant"),
        has_key="authorization" in headers,
        last_event=headers.get("last-event-id"),
        **values,
    )
    if crash is not None and not delay_s:
        os._exit(1)
    if crash is not None and not signal.getitimer(signal.ITIMER_REAL)[0]:
        # The signal that follows ends the process.
        signal.setitimer(signal.ITIMER_REAL, delay_s)


def _read_crash_delay(cause: str) -> float:
    milliseconds = cause.rpartition("-")[2]
    is_delay = cause.startswith(CRASH_MARK.decode()) and milliseconds.isdecimal()
    return int(milliseconds) / 1000 if is_delay else 0.0


def _find_crash_cause(request: HttpRequest) -> str | None:
    """Return the body or the part of a prompt that ends the server, if there is one."""
    if request.body.startswith(CRASH_MARK):
        return request.body.decode()
    entries = request.headers_by_name.get("prompt-prefix", "").split(",")[:-1]
    ids = [entry.partition(":")[0] for entry in entries]
    return next((id for id in ids if id.startswith(CRASH_PART_MARK)), None)


def _read_milliseconds(clock: Clock) -> int:
    return int(clock.now().timestamp() * 1000)
