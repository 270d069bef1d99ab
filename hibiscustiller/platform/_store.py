"""Client of the platform's key-value service.

It speaks a subset of the etcd v3 JSON gateway: ranges, transactions of one key,
leases and watches.
"""

from __future__ import annotations

import base64
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NewType, Protocol, TypeVar

from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.platform._errors import (
    LeaseExpiredError,
    StoreRefusedError,
    StoreRolledBackError,
    ValueTooLargeError,
)
from hibiscustiller.platform._outage import OutageGate
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, Metrics, SystemClock, Verdict
from hibiscustiller.wire import AnswerStream, HttpClient

Value = TypeVar("Value")
LeaseId = NewType("LeaseId", int)
NO_LEASE = LeaseId(0)
_OK = 200
_NOT_FOUND = 404
# 408 and 429 are signs of overload, during which calls must pause.
_REFUSED_STATUSES = frozenset(range(400, 500)) - {408, 429}
_MAX_VALUE_BYTES = 1 << 20
# Reading an answer of the wrong shape raises one of these.
_SHAPE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    RecursionError,
)
_KINDS_BY_PATH = {
    "/v3/kv/range": "range",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/lease/revoke": "lease_revoke",
    "/v3/watch": "watch",
}


@dataclass(frozen=True)
class Entry:
    """A key's value.

    :param revision: store revision of the last write to the key.
    :param era: how often the store had been restored from a backup when it was read; 0
        if the store does not tell.
    """

    key: str
    value: bytes
    revision: int
    era: int = 0


@dataclass(frozen=True)
class SwapOutcome:
    """What a compare-and-swap did.

    :param is_swapped: whether the new value was written.
    :param revision: store revision of the write, if written.
    :param current: the entry found instead, if not written; None if absent.
    :param era: how often the store had been restored from a backup; 0 if it does not
        tell.
    """

    is_swapped: bool
    revision: int = 0
    current: Entry | None = None
    era: int = 0


class KeyValueStore(Protocol):
    """The platform's key-value service.

    Every method raises :class:`StoreUnavailableError` when there is no usable answer.
    """

    async def get(self, key: str) -> Entry | None:
        """Read one key; None if absent."""
        ...

    async def list_prefix(self, prefix: str) -> tuple[Entry, ...]:
        """Read all keys that begin with a prefix, in key order."""
        ...

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease: LeaseId = NO_LEASE
    ) -> SwapOutcome:
        """Write a key if its last write has the expected revision.

        :param expected_revision: 0 to create a key that must be absent.
        :param lease: the key is deleted when this lease expires.
        """
        ...

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Delete a key if its last write has the expected revision."""
        ...

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease that expires after ``ttl`` unless kept alive."""
        ...

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Renew a lease; False if it has expired."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        ...

    async def open_watch(self, key: str, from_revision: int) -> Watch:
        """Start to follow a key's writes from a store revision on."""
        ...


class Watch(Protocol):
    """Follows one key."""

    async def read_event(self) -> Entry | None:
        """Wait for the next write; None stands for a deletion.

        :raises StoreUnavailableError: if the watch ended or fell silent.
        """
        ...

    async def close(self) -> None:
        """Stop following."""
        ...


class EtcdStore:
    """The key-value service over HTTP.

    :param client: HTTP client.
    :param address: the service's address.
    :param timeout: longest wait for an answer.
    :param watch_silence: longest silence of a watch before it is opened again.
    :param metrics: counts the calls by kind, since the service charges for each.
    :param clock: measures the pauses between calls during an outage.
    :param random_state: source of the jitter of these pauses.
    """

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout: timedelta,
        watch_silence: timedelta = timedelta(seconds=30),
        *,
        metrics: Metrics | None = None,
        clock: Clock | None = None,
        random_state: random.Random | None = None,
    ) -> None:
        self._client = client
        self._address = address
        self._timeout = timeout
        self._watch_silence = watch_silence
        self._metrics = metrics or Metrics()
        self._gate = OutageGate(clock or SystemClock(), random_state or random.Random())

    async def get(self, key: str) -> Entry | None:
        def read(answer: dict[str, Any]) -> Entry | None:
            return _read_one(answer, key)

        return await self._call("/v3/kv/range", {"key": _encode(key)}, read)

    async def list_prefix(self, prefix: str) -> tuple[Entry, ...]:
        request = {"key": _encode(prefix), "range_end": _encode_prefix_end(prefix)}
        return await self._call("/v3/kv/range", request, _read_entries)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease: LeaseId = NO_LEASE
    ) -> SwapOutcome:
        if len(value) > _MAX_VALUE_BYTES:
            raise ValueTooLargeError(len(value), _MAX_VALUE_BYTES)
        put = {"key": _encode(key), "value": _encode_bytes(value), "lease": str(lease)}
        request = {
            "compare": [_compare_revision(key, expected_revision)],
            "success": [{"requestPut": put}],
            "failure": [{"requestRange": {"key": _encode(key)}}],
        }

        def read(answer: dict[str, Any]) -> SwapOutcome:
            if _read_succeeded(answer):
                return SwapOutcome(True, revision=_read_revision(answer))
            found = answer["responses"][0]["response_range"]
            return SwapOutcome(False, current=_read_one(found, key))

        return await self._call("/v3/kv/txn", request, read)

    async def delete(self, key: str, expected_revision: int) -> bool:
        request = {
            "compare": [_compare_revision(key, expected_revision)],
            "success": [{"requestDeleteRange": {"key": _encode(key)}}],
            "failure": [],
        }
        return await self._call("/v3/kv/txn", request, _read_succeeded)

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        seconds = max(1, round(ttl.total_seconds()))
        request = {"TTL": str(seconds), "ID": "0"}
        return await self._call("/v3/lease/grant", request, _read_lease)

    async def keep_alive(self, lease: LeaseId) -> bool:
        def read(answer: dict[str, Any]) -> bool:
            return int(answer["result"].get("TTL", "0")) > 0

        return await self._call("/v3/lease/keepalive", {"ID": str(lease)}, read)

    async def revoke_lease(self, lease: LeaseId) -> None:
        def read(answer: dict[str, Any]) -> None:
            answer["header"]

        await self._call("/v3/lease/revoke", {"ID": str(lease)}, read)

    async def open_watch(self, key: str, from_revision: int) -> Watch:
        request = {
            "create_request": {
                "key": _encode(key),
                "start_revision": str(from_revision),
            }
        }
        self._gate.check_open()
        self._count("/v3/watch")
        try:
            stream = await self._client.open_stream(
                self._address,
                "POST",
                "/v3/watch",
                next_byte_timeout=self._watch_silence,
                body=json.dumps(request).encode(),
            )
        except TransportError as error:
            self._gate.note_failure()
            raise StoreUnavailableError(str(error), Verdict.NOT_RUN) from error
        if stream.status != _OK:
            await stream.close()
            self._gate.note_failure()
            _check_status(stream.status, Verdict.NOT_RUN)
        self._gate.note_success()
        return EtcdWatch(stream, from_revision - 1)

    async def _call(
        self,
        path: str,
        request: dict[str, Any],
        read: Callable[[dict[str, Any]], Value],
    ) -> Value:
        self._gate.check_open()
        self._count(path)
        try:
            value = await self._exchange(path, request, read)
        except (LeaseExpiredError, StoreRefusedError):
            self._gate.note_success()
            raise
        except StoreUnavailableError:
            self._gate.note_failure()
            raise
        self._gate.note_success()
        return value

    def _count(self, path: str) -> None:
        self._metrics.count(f"store.calls.{_KINDS_BY_PATH[path]}")

    async def _exchange(
        self,
        path: str,
        request: dict[str, Any],
        read: Callable[[dict[str, Any]], Value],
    ) -> Value:
        try:
            answer = await self._client.request_json(
                self._address, "POST", path, request, timeout=self._timeout
            )
        except TransportError as error:
            raise StoreUnavailableError(str(error), error.verdict) from error
        if answer.status == _NOT_FOUND and b"lease not found" in answer.body:
            raise LeaseExpiredError("the store does not know the lease")
        if answer.status in _REFUSED_STATUSES:
            raise StoreRefusedError(answer.status)
        _check_status(answer.status, Verdict.MAY_HAVE_RUN)
        try:
            return read(answer.read_json())
        except _SHAPE_ERRORS as error:
            raise StoreUnavailableError(
                f"the store's answer cannot be read: {error!r}", Verdict.MAY_HAVE_RUN
            ) from error


class EtcdWatch:
    """Follows one key over HTTP.

    :param stream: the service's answer, one JSON value a line.
    :param seen_revision: store revision that the caller has already seen.
    """

    def __init__(self, stream: AnswerStream, seen_revision: int = 0) -> None:
        self._stream = stream
        self._seen_revision = seen_revision
        self._events: deque[Entry | None] = deque()

    async def read_event(self) -> Entry | None:
        while not self._events:
            try:
                line = await self._stream.read_line()
            except TransportError as error:
                raise StoreUnavailableError(str(error), Verdict.NOT_RUN) from error
            if line is None:
                raise StoreUnavailableError("the watch ended", Verdict.NOT_RUN)
            try:
                self._read_result(line)
            except _SHAPE_ERRORS as error:
                raise StoreUnavailableError(
                    f"a watch event cannot be read: {error!r}", Verdict.NOT_RUN
                ) from error
        return self._events.popleft()

    async def close(self) -> None:
        await self._stream.close()

    def _read_result(self, line: bytes) -> None:
        if not line.strip():
            return
        result = json.loads(line)["result"]
        if result.get("canceled"):
            message = "the store cancelled the watch"
            raise StoreUnavailableError(message, Verdict.NOT_RUN)
        revision = _read_revision(result)
        if revision < self._seen_revision:
            raise StoreRolledBackError(revision, self._seen_revision)
        self._seen_revision = revision
        for event in result.get("events", ()):
            is_deletion = event.get("type") == "DELETE"
            self._events.append(None if is_deletion else _read_entry(event["kv"]))


def _check_status(status: int, verdict: Verdict) -> None:
    if status != _OK:
        raise StoreUnavailableError(f"the store answered status {status}", verdict)


def _compare_revision(key: str, revision: int) -> dict[str, str]:
    return {
        "key": _encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(revision),
    }


def _encode(key: str) -> str:
    return _encode_bytes(key.encode())


def _encode_bytes(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")


def _encode_prefix_end(prefix: str) -> str:
    """Encode the first key after every key with the prefix."""
    raw = prefix.encode()
    return _encode_bytes(raw[:-1] + bytes([raw[-1] + 1]))


def _read_entry(pair: dict[str, str]) -> Entry:
    return Entry(
        key=base64.b64decode(pair["key"]).decode(),
        value=base64.b64decode(pair.get("value", "")),
        revision=int(pair["mod_revision"]),
    )


def _read_entries(answer: dict[str, Any]) -> tuple[Entry, ...]:
    # An empty object has no header: it must not read as "no such key".
    _read_revision(answer)
    return tuple(_read_entry(pair) for pair in answer.get("kvs", ()))


def _read_revision(answer: dict[str, Any]) -> int:
    return int(answer["header"]["revision"])


def _read_one(answer: dict[str, Any], key: str) -> Entry | None:
    """Return the entry of a range over one key.

    :raises ValueError: if the answer belongs to another key.
    """
    entries = _read_entries(answer)
    if any(entry.key != key for entry in entries) or len(entries) > 1:
        raise ValueError(f"the answer is not about {key!r}")
    return entries[0] if entries else None


def _read_succeeded(answer: dict[str, Any]) -> bool:
    _read_revision(answer)
    return bool(answer.get("succeeded", False))


def _read_lease(answer: dict[str, Any]) -> LeaseId:
    lease = int(answer["ID"])
    if lease <= 0:
        raise ValueError(f"lease id is {lease}; accepted are positive numbers")
    return LeaseId(lease)
