"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple, TypeVar
from urllib.parse import urlencode

from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.platform._errors import (
    HistoryLostError,
    LeaseExpiredError,
    StoreRefusedError,
    ValueTooLargeError,
)
from hibiscustiller.platform._store import NO_LEASE, Entry, LeaseId, SwapOutcome
from hibiscustiller.settings import Address
from hibiscustiller.utils import Metrics, Verdict, log_event
from hibiscustiller.wire import HttpAnswer, HttpClient, TransferLimits

Value = TypeVar("Value")
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_BUSY_STATUSES = frozenset({408, 429})
_SHAPE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError)
# The store ends a waiting watch by itself; its answer gets this much longer.
_WATCH_SLACK = timedelta(seconds=1)
# Hundreds of readers may share the store's link. A read that is slower still makes room
# for others when it is given up.
MIN_BYTES_PER_S = 32_000
# Counts how often the store was restored from a backup.
_ERA_HEADER = "store-era"
# Far more restores than a store ever has. An era is part of fences of 64 bits.
_MAX_ERA = 1 << 20


class Revision(NamedTuple):
    """A moment in the store's history.

    A store that is restored from a backup continues to count from the backup's
    revision. Revisions are therefore ordered by era first: all of a later era are
    newer than any of an earlier one.

    :param era: how often the store had been restored; 0 if it does not tell.
    :param number: the store's revision counter.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


# Before any state of the store.
NO_REVISION = Revision(0, 0)


@dataclass(frozen=True)
class Change:
    """One change of a key.

    :param value: None if the key was deleted.
    :param lease: the lease that the key depends on.
    :param is_restored: whether the store returned to it when it was restored from a
        backup, and nobody wrote it.
    """

    key: str
    value: bytes | None
    revision: Revision
    lease: LeaseId = NO_LEASE
    is_restored: bool = False


@dataclass(frozen=True)
class Changes:
    """Changes in the order in which they were made.

    :param revision: revision from which to continue.
    """

    items: tuple[Change, ...]
    revision: Revision


class MetadataStore:
    """The metadata store over HTTP.

    :param client: HTTP client.
    :param address: the store's address.
    :param timeout: longest wait for an answer to begin, and for its next bytes.
    :param max_value_bytes: longest value that the store takes.
    :param metrics: counts the calls by kind, since the platform charges for each, the
        bytes of their answers, and calls without an answer.
    """

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout: timedelta,
        max_value_bytes: int,
        metrics: Metrics | None = None,
    ) -> None:
        self._client = client
        self._address = address
        self._timeout = timeout
        self._transfer = TransferLimits(timeout, MIN_BYTES_PER_S)
        self._max_value_bytes = max_value_bytes
        self._metrics = metrics or Metrics()
        # The latest era that an answer named.
        self.era = 0

    async def get(self, key: str) -> Entry | None:
        """Read one key; None if absent."""

        def read(answer: HttpAnswer) -> Entry | None:
            if answer.status == _NOT_FOUND:
                return None
            return _read_entry(answer.read_json(), _read_era(answer))

        return await self._call(
            "get", "GET", _make_target("/kv-key", key=key), read, accepted=(404,)
        )

    async def read_prefix(self, prefix: str, *, may_be_old: bool = False) -> Changes:
        """Read all keys that begin with a prefix.

        :param may_be_old: whether the keys may be some seconds old. Such a read costs
            a tenth and is not counted toward the store's rate limit.
        :returns: the entries as changes, and the revision of the oldest page, from
            which a watch misses nothing.
        """
        items: list[Change] = []
        revision: Revision | None = None
        after = ""
        while True:
            page, has_more = await self._read_page(prefix, after, may_be_old)
            if revision is not None and page.revision.era != revision.era:
                message = "the store was restored between two pages of a read"
                raise StoreUnavailableError(message, Verdict.NOT_RUN)
            items += page.items
            # Pages are read at different revisions.
            revision = min(revision or page.revision, page.revision)
            if not has_more or not page.items:
                return Changes(tuple(items), revision)
            after = page.items[-1].key

    async def wait_changes(
        self,
        prefix: str,
        after_revision: Revision,
        wait: timedelta,
        on_answer: Callable[[], None] = lambda: None,
    ) -> Changes:
        """Wait for changes of keys that begin with a prefix.

        :param after_revision: the last revision that the caller has seen.
        :param wait: the answer is empty if nothing changes for so long.
        :param on_answer: called when the answer begins.
        :raises HistoryLostError: if the keys must be read again, also because the store
            was restored from a backup.
        """
        target = _make_target(
            "/kv-watch",
            prefix=prefix,
            after=after_revision.number,
            wait_ms=wait // timedelta(milliseconds=1),
        )

        def read(answer: HttpAnswer) -> Changes:
            era = _read_era(answer)
            # In a later era the number after which changes were asked for may belong to
            # other changes.
            if answer.status == _GONE or era > after_revision.era:
                raise HistoryLostError(after_revision)
            values = answer.read_json()
            items = tuple(_read_change(item, era) for item in values["events"])
            revision = Revision(era, int(values["current_rev"]))
            # The store may tell of a dropped history with the next change only.
            if not prefix and not items and revision > after_revision:
                raise HistoryLostError(after_revision)
            return Changes(items, revision)

        timeout = wait + _WATCH_SLACK
        return await self._call(
            "watch",
            "GET",
            target,
            read,
            accepted=(_GONE,),
            timeout=timeout,
            transfer=self._transfer,
            on_head=on_answer,
        )

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease: LeaseId = NO_LEASE
    ) -> SwapOutcome:
        """Write a key if its last write has the expected revision; 0 if absent."""
        if len(value) > self._max_value_bytes:
            raise ValueTooLargeError(len(value), self._max_value_bytes)
        text = base64.b64encode(value).decode("ascii")
        body = {
            "expected": [{"key": key, "rev": expected_revision}],
            "puts": [{"key": key, "value": text, "lease": lease}],
            "remove": [],
        }

        def read(answer: HttpAnswer) -> SwapOutcome:
            values, era = answer.read_json(), _read_era(answer)
            if answer.status == _OK:
                return SwapOutcome(True, revision=int(values["rev"]), era=era)
            if answer.status == _NOT_FOUND:
                raise LeaseExpiredError("the store does not know the lease")
            found = [item for item in values["items"] if item.get("value") is not None]
            current = _read_entry(found[0], era) if found else None
            return SwapOutcome(False, current=current, era=era)

        return await self._call(
            "write",
            "POST",
            "/kv-txn",
            read,
            body,
            accepted=(_PRECONDITION_FAILED, _NOT_FOUND),
        )

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease that expires after ``ttl`` unless kept alive."""
        body = {"ttl_ms": ttl // timedelta(milliseconds=1)}

        def read(answer: HttpAnswer) -> LeaseId:
            return LeaseId(int(answer.read_json()["lease"]))

        return await self._call("grant", "POST", "/kv-lease", read, body)

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Renew a lease; False if it has expired."""
        return await self._call(
            "renew",
            "POST",
            f"/kv-keep/{lease}",
            lambda answer: answer.status == _OK,
            accepted=(_NOT_FOUND,),
        )

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        await self._call(
            "revoke",
            "DELETE",
            f"/kv-lease-end/{lease}",
            lambda answer: None,
            accepted=(_NOT_FOUND,),
        )

    async def _read_page(
        self, prefix: str, after: str, may_be_old: bool
    ) -> tuple[Changes, bool]:
        """Read one page; return it and whether there are more."""
        fields: dict[str, object] = {"prefix": prefix}
        if after:
            fields["after"] = after
        if may_be_old:
            fields["serializable"] = 1

        def read(answer: HttpAnswer) -> tuple[Changes, bool]:
            values, era = answer.read_json(), _read_era(answer)
            items = tuple(_read_change(item, era) for item in values["items"])
            revision = Revision(era, int(values["current_rev"]))
            return Changes(items, revision), bool(values["has_more"])

        return await self._call(
            "range",
            "GET",
            _make_target("/kv-range", **fields),
            read,
            transfer=self._transfer,
        )

    async def _call(
        self,
        kind: str,
        method: str,
        target: str,
        read: Callable[[HttpAnswer], Value],
        body: dict[str, Any] | None = None,
        *,
        accepted: tuple[int, ...] = (),
        timeout: timedelta | None = None,
        transfer: TransferLimits | None = None,
        on_head: Callable[[], None] = lambda: None,
    ) -> Value:
        """Make a call.

        :param transfer: bounds on the time of an answer that may be large; other calls
            end within the timeout, which the terms of leases count on.
        """
        self._metrics.count(f"store.calls.{kind}")
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        headers = {"content-type": "application/json"} if data else {}
        try:
            answer = await self._client.request(
                self._address,
                method,
                target,
                timeout=timeout or self._timeout,
                body=data,
                headers=headers,
                transfer=transfer,
                on_head=on_head,
            )
        except TransportError as error:
            self._metrics.count(f"store.unanswered.{kind}")
            raise StoreUnavailableError(str(error), error.verdict) from error
        self._metrics.count(f"store.bytes.{kind}", len(answer.body))
        try:
            self._check_era(_read_era(answer))
            _check_status(answer.status, accepted)
            return read(answer)
        except _SHAPE_ERRORS as error:
            raise StoreUnavailableError(
                f"the store's answer cannot be read: {error!r}", Verdict.MAY_HAVE_RUN
            ) from error

    def _check_era(self, era: int) -> None:
        """Record the era of an answer.

        :raises StoreUnavailableError: if it is earlier than that of another answer.
        """
        if era < self.era:
            message = f"an answer of era {era} came after one of era {self.era}"
            raise StoreUnavailableError(message, Verdict.MAY_HAVE_RUN)
        if era > self.era:
            log_event("store_era", era=era, before=self.era)
            self.era = era


def _check_status(status: int, accepted: tuple[int, ...]) -> None:
    if status == _OK or status in accepted:
        return
    if 400 <= status < 500 and status not in _BUSY_STATUSES:
        raise StoreRefusedError(status)
    # A busy or unavailable store says that it did nothing.
    raise StoreUnavailableError(f"the store answered status {status}", Verdict.NOT_RUN)


def _make_target(path: str, **fields: object) -> str:
    return f"{path}?{urlencode(fields, safe='/')}"


def _read_era(answer: HttpAnswer) -> int:
    """Return how often the store was restored; 0 if an answer does not tell.

    :raises ValueError: if it is no number in the accepted range.
    """
    era = int(answer.headers_by_name.get(_ERA_HEADER, 0))
    if not 0 <= era <= _MAX_ERA:
        raise ValueError(f"era is not from 0 to {_MAX_ERA}")
    return era


def _read_entry(item: dict[str, Any], era: int) -> Entry:
    return Entry(item["key"], _decode_value(item["value"]), int(item["rev"]), era)


def _read_change(item: dict[str, Any], era: int) -> Change:
    is_deleted = bool(item.get("deleted"))
    return Change(
        key=item["key"],
        value=None if is_deleted else _decode_value(item["value"]),
        revision=Revision(era, int(item["rev"])),
        lease=LeaseId(int(item.get("lease") or 0)),
    )


def _decode_value(text: str) -> bytes:
    # Other writers may leave anything in a value, but the store itself encodes it.
    return base64.b64decode(text)
