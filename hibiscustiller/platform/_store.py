"""Client of the platform's key-value service.

It speaks a subset of the etcd v3 JSON gateway: ranges, transactions of one key,
leases and watches.
"""

from __future__ import annotations

import base64
import json
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NewType, Protocol

from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import Verdict
from hibiscustiller.wire import AnswerStream, HttpClient

LeaseId = NewType("LeaseId", int)
NO_LEASE = LeaseId(0)
_OK = 200


@dataclass(frozen=True)
class Entry:
    """A key's value.

    :param revision: store revision of the last write to the key.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class SwapOutcome:
    """What a compare-and-swap did.

    :param is_swapped: whether the new value was written.
    :param revision: store revision of the write, if written.
    :param current: the entry found instead, if not written; None if absent.
    """

    is_swapped: bool
    revision: int = 0
    current: Entry | None = None


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
    """

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout: timedelta,
        watch_silence: timedelta = timedelta(seconds=30),
    ) -> None:
        self._client = client
        self._address = address
        self._timeout = timeout
        self._watch_silence = watch_silence

    async def get(self, key: str) -> Entry | None:
        answer = await self._call("/v3/kv/range", {"key": _encode(key)})
        entries = _read_entries(answer)
        return entries[0] if entries else None

    async def list_prefix(self, prefix: str) -> tuple[Entry, ...]:
        request = {"key": _encode(prefix), "range_end": _encode_prefix_end(prefix)}
        return _read_entries(await self._call("/v3/kv/range", request))

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease: LeaseId = NO_LEASE
    ) -> SwapOutcome:
        put = {"key": _encode(key), "value": _encode_bytes(value), "lease": str(lease)}
        answer = await self._call(
            "/v3/kv/txn",
            {
                "compare": [_compare_revision(key, expected_revision)],
                "success": [{"requestPut": put}],
                "failure": [{"requestRange": {"key": _encode(key)}}],
            },
        )
        if answer.get("succeeded", False):
            return SwapOutcome(True, revision=_read_revision(answer))
        return SwapOutcome(False, current=_read_found(answer))

    async def delete(self, key: str, expected_revision: int) -> bool:
        answer = await self._call(
            "/v3/kv/txn",
            {
                "compare": [_compare_revision(key, expected_revision)],
                "success": [{"requestDeleteRange": {"key": _encode(key)}}],
                "failure": [],
            },
        )
        return bool(answer.get("succeeded", False))

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        seconds = max(1, round(ttl.total_seconds()))
        answer = await self._call("/v3/lease/grant", {"TTL": str(seconds), "ID": "0"})
        return LeaseId(int(answer["ID"]))

    async def keep_alive(self, lease: LeaseId) -> bool:
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", "0")) > 0

    async def revoke_lease(self, lease: LeaseId) -> None:
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def open_watch(self, key: str, from_revision: int) -> Watch:
        request = {
            "create_request": {
                "key": _encode(key),
                "start_revision": str(from_revision),
            }
        }
        try:
            stream = await self._client.open_stream(
                self._address,
                "POST",
                "/v3/watch",
                next_byte_timeout=self._watch_silence,
                body=json.dumps(request).encode(),
            )
        except TransportError as error:
            raise StoreUnavailableError(str(error), Verdict.NOT_RUN) from error
        if stream.status != _OK:
            await stream.close()
            _check_status(stream.status, Verdict.NOT_RUN)
        return EtcdWatch(stream)

    async def _call(self, path: str, request: dict[str, Any]) -> dict[str, Any]:
        try:
            answer = await self._client.request_json(
                self._address, "POST", path, request, timeout=self._timeout
            )
        except TransportError as error:
            raise StoreUnavailableError(str(error), error.verdict) from error
        _check_status(answer.status, Verdict.MAY_HAVE_RUN)
        try:
            return answer.read_json()
        except ValueError as error:
            raise StoreUnavailableError(
                f"the store's answer is no JSON: {error}", Verdict.MAY_HAVE_RUN
            ) from error


class EtcdWatch:
    """Follows one key over HTTP.

    :param stream: the service's answer, one JSON value a line.
    """

    def __init__(self, stream: AnswerStream) -> None:
        self._stream = stream
        self._events: deque[Entry | None] = deque()

    async def read_event(self) -> Entry | None:
        while not self._events:
            try:
                line = await self._stream.read_line()
            except TransportError as error:
                raise StoreUnavailableError(str(error), Verdict.NOT_RUN) from error
            if line is None:
                raise StoreUnavailableError("the watch ended", Verdict.NOT_RUN)
            self._events.extend(_read_events(line))
        return self._events.popleft()

    async def close(self) -> None:
        await self._stream.close()


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
    return tuple(_read_entry(pair) for pair in answer.get("kvs", ()))


def _read_revision(answer: dict[str, Any]) -> int:
    return int(answer["header"]["revision"])


def _read_found(answer: dict[str, Any]) -> Entry | None:
    responses: Sequence[dict[str, Any]] = answer.get("responses", ())
    entries = _read_entries(responses[0]["response_range"]) if responses else ()
    return entries[0] if entries else None


def _read_events(line: bytes) -> list[Entry | None]:
    if not line.strip():
        return []
    result = json.loads(line).get("result", {})
    if result.get("canceled"):
        raise StoreUnavailableError("the store cancelled the watch", Verdict.NOT_RUN)
    events = []
    for event in result.get("events", ()):
        is_deletion = event.get("type") == "DELETE"
        events.append(None if is_deletion else _read_entry(event["kv"]))
    return events
