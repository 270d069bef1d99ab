"""The audit trail of accepted and refused changes, kept in the platform's store."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import curio

from hibiscustiller.configuration._changes import (
    Change,
    Difference,
    describe_change,
    from_milliseconds,
    read_change,
    to_milliseconds,
)
from hibiscustiller.configuration._document import list_key_specs
from hibiscustiller.configuration._head import HeadStore
from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.platform import NO_LEASE, Entry, KeyValueStore, LeaseId
from hibiscustiller.utils import Clock, Metrics, Revision, RouterId, TeamId, log_event

# Segments of accepted changes form a ring: at most 64 changes or 64 KB each, so at
# least two weeks of 2,100 changes a day and at most 32 MB.
ACCEPTED_SEGMENTS = 512
_ACCEPTED_PREFIX = "audit/accepted/"
_REFUSED_PREFIX = "audit/"
# Bounds of one hour's refused changes. What exceeds them is counted only.
MAX_REFUSED_PER_HOUR = 256
MAX_REFUSED_BYTES = 256 * 1024
MAX_PENDING = 256
_MAX_DIFFERENCE_BYTES = 2048
_MAX_MESSAGE_LENGTH = 1000
_MAX_SECTIONS = 50
REFUSED_RETENTION = timedelta(days=7)
_FLUSH_PERIOD = timedelta(seconds=2)
_SWAP_ATTEMPTS = 8
_NOT_SHOWN = "(not shown)"


@dataclass(frozen=True)
class AuditEntry:
    """One accepted or refused change.

    :param entry_id: tells a repeated write of the same entry.
    :param from_revision: base of the proposal.
    :param to_revision: revision that it made; None if it was refused.
    :param difference: what was asked, without key hashes.
    :param outcome: ``accepted``, ``republished``, ``refused``, or ``replaced`` for an
        accepted change that the store lost.
    :param reason: label of the refusal's reason; empty if accepted.
    """

    entry_id: str
    at: datetime
    team: TeamId
    proposal_id: str
    sections: tuple[str, ...]
    from_revision: Revision
    to_revision: Revision | None
    difference: Difference
    outcome: str
    reason: str = ""
    message: str = ""


class AuditTrail:
    """Writes and reads the audit trail.

    :param router_id: distinguishes the entries of this router.
    """

    def __init__(
        self, store: KeyValueStore, clock: Clock, router_id: RouterId, metrics: Metrics
    ) -> None:
        self._store = store
        self._head_store = HeadStore(store)
        self._clock = clock
        self._router_id = router_id
        self._metrics = metrics
        self._pending: deque[AuditEntry] = deque()
        self._sequence = 0
        self._lease: tuple[str, LeaseId] = ("", NO_LEASE)
        self._task: Any = None
        self._lock = curio.Lock()

    async def start(self) -> None:
        """Write refused changes in batches from now on."""
        self._task = await curio.spawn(self._flush_forever, daemon=True)

    async def stop(self) -> None:
        """Write what is left, if the store answers."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None
        await self._flush_or_keep()

    def note_refused(
        self,
        team: TeamId,
        proposal_id: str,
        base_revision: Revision,
        difference: Difference,
        reason: str,
        message: str,
    ) -> None:
        """Keep a refused change for the next batch."""
        self._keep_pending(
            team=team,
            proposal_id=proposal_id,
            from_revision=base_revision,
            to_revision=None,
            difference=difference,
            outcome="refused",
            reason=reason,
            message=message,
        )

    def note_replaced(self, change: Change) -> None:
        """Keep an accepted change whose history was replaced in the store."""
        self._keep_pending(
            team=change.team,
            proposal_id=change.proposal_id,
            from_revision=change.from_revision,
            to_revision=change.to_revision,
            difference=change.difference,
            outcome="replaced",
            reason="store-lost-data",
            message="the store lost data, and the fleet's document was republished",
        )

    def _keep_pending(
        self, difference: Difference, message: str, **fields: Any
    ) -> None:
        self._sequence += 1
        if len(self._pending) >= MAX_PENDING:
            self._metrics.count("configuration.audit_dropped")
            return
        now = self._clock.now()
        entry = AuditEntry(
            entry_id=f"{self._router_id}-{to_milliseconds(now)}-{self._sequence}",
            at=now,
            sections=tuple(sorted(difference))[:_MAX_SECTIONS],
            difference=_bound_difference(redact_difference(difference)),
            message=message[:_MAX_MESSAGE_LENGTH],
            **fields,
        )
        self._pending.append(entry)

    async def archive(self, number: int, changes: tuple[Change, ...]) -> None:
        """Keep accepted changes that are about to leave the chain.

        Proposers that race write the same content, so a repeated write is harmless.

        :param number: the segment's number, counted from 0 over all time.
        :raises StoreUnavailableError: if the segment may not have been written.
        """
        key = f"{_ACCEPTED_PREFIX}{number % ACCEPTED_SEGMENTS:04d}"
        changes_json = [describe_change(change) for change in changes]
        value = _format({"number": number, "changes": changes_json})
        entry = await self._store.get(key)
        while True:
            if entry is not None:
                if entry.value == value or json.loads(entry.value)["number"] > number:
                    return
            expected = 0 if entry is None else entry.revision
            outcome = await self._store.compare_and_swap(key, value, expected)
            if outcome.is_swapped:
                return
            entry = outcome.current

    async def flush(self) -> None:
        """Write all waiting refused changes.

        :raises StoreUnavailableError: if the store gives no usable answer; what was
            not written stays.
        """
        async with self._lock:
            while self._pending:
                batch = tuple(self._pending)
                hour = batch[0].at.strftime("%Y-%m-%dT%H")
                batch = tuple(
                    item for item in batch if item.at.strftime("%Y-%m-%dT%H") == hour
                )
                if not await self._append(hour, batch):
                    return
                for _ in batch:
                    self._pending.popleft()

    async def list_accepted(
        self, limit: int, section: str | None = None
    ) -> tuple[AuditEntry, ...]:
        """Read accepted changes, newest first.

        :param limit: most entries to return.
        :param section: only changes of this section.
        :raises StoreUnavailableError: if the store gives no usable answer.
        """
        head = (await self._head_store.read_head()).head
        entries: dict[str, AuditEntry] = {}
        _add_changes(entries, head.chain, section)
        number = head.segment_count - 1
        oldest = max(0, head.segment_count - ACCEPTED_SEGMENTS)
        while len(entries) < limit and number >= oldest:
            slot = f"{_ACCEPTED_PREFIX}{number % ACCEPTED_SEGMENTS:04d}"
            stored = await self._store.get(slot)
            if stored is not None:
                value = json.loads(stored.value)
                if value["number"] == number:
                    _add_changes(entries, map(read_change, value["changes"]), section)
            number -= 1
        return _order_entries(entries.values(), limit)

    async def list_refused(
        self, limit: int, hours: int, section: str | None = None
    ) -> tuple[AuditEntry, ...]:
        """Read refused changes, newest first, those not yet written included.

        :param hours: how many hours to look back, the present one included.
        :raises StoreUnavailableError: if the store gives no usable answer.
        """
        entries = {item.entry_id: item for item in self._pending}
        now = self._clock.now()
        for back in range(hours):
            hour = (now - timedelta(hours=back)).strftime("%Y-%m-%dT%H")
            stored = await self._store.get(f"{_REFUSED_PREFIX}{hour}")
            if stored is not None:
                for item in json.loads(stored.value)["entries"]:
                    entry = _read_entry(item)
                    entries[entry.entry_id] = entry
            if len(entries) >= limit and section is None:
                break
        found = entries.values()
        if section is not None:
            found = [item for item in found if section in item.sections]
        return _order_entries(found, limit)

    async def _flush_forever(self) -> None:
        while True:
            await self._clock.sleep(_FLUSH_PERIOD)
            await self._flush_or_keep()

    async def _flush_or_keep(self) -> None:
        try:
            await self.flush()
        except StoreUnavailableError as error:
            # The entries stay, and so does the lease's owner; it may be gone.
            self._lease = ("", NO_LEASE)
            log_event("audit_not_written", level="warning", error=error)

    async def _append(self, hour: str, batch: tuple[AuditEntry, ...]) -> bool:
        key = f"{_REFUSED_PREFIX}{hour}"
        lease = await self._get_lease(hour)
        entry = await self._store.get(key)
        for _ in range(_SWAP_ATTEMPTS):
            value = _extend_segment(entry, batch)
            expected = 0 if entry is None else entry.revision
            outcome = await self._store.compare_and_swap(key, value, expected, lease)
            if outcome.is_swapped:
                return True
            entry = outcome.current
        return False

    async def _get_lease(self, hour: str) -> LeaseId:
        if self._lease[0] != hour:
            self._lease = (hour, await self._store.grant_lease(REFUSED_RETENTION))
        return self._lease[1]


def redact_difference(difference: Difference) -> Difference:
    """Return a difference without key hashes and without values of unknown keys.

    A value of an unknown key, or a digest that is none, may be a plain key.
    """
    redacted: dict[str, Mapping[str, str | None] | None] = {}
    for heading, edits in difference.items():
        if edits is None:
            redacted[heading] = None
            continue
        specs = list_key_specs(heading)
        redacted[heading] = {
            key: value
            if value is None or (key in specs and specs[key].kind != "digest")
            else _NOT_SHOWN
            for key, value in edits.items()
        }
    return redacted


def describe_entry(entry: AuditEntry) -> dict[str, Any]:
    """Return an entry as a JSON value."""
    return {
        "entry_id": entry.entry_id,
        "at": entry.at.isoformat(timespec="milliseconds"),
        "team": entry.team,
        "proposal_id": entry.proposal_id,
        "sections": list(entry.sections),
        "from_revision": entry.from_revision,
        "to_revision": entry.to_revision,
        "difference": entry.difference,
        "outcome": entry.outcome,
        "reason": entry.reason,
        "message": entry.message,
    }


def _read_entry(value: Mapping[str, Any]) -> AuditEntry:
    fields = {
        **value,
        "at": datetime.fromisoformat(value["at"]),
        "sections": tuple(value["sections"]),
    }
    return AuditEntry(**fields)


def _make_accepted_entry(change: Change) -> AuditEntry:
    return AuditEntry(
        entry_id=change.digest,
        at=from_milliseconds(to_milliseconds(change.accepted_at)),
        team=change.team,
        proposal_id=change.proposal_id,
        sections=tuple(sorted(change.difference)),
        from_revision=change.from_revision,
        to_revision=change.to_revision,
        difference=redact_difference(change.difference),
        outcome="republished" if change.is_republished else "accepted",
        message="the difference is too large and names only sections"
        if change.is_trimmed
        else "",
    )


def _add_changes(
    entries: dict[str, AuditEntry], changes: Iterable[Change], section: str | None
) -> None:
    for change in changes:
        if section is None or section in change.difference:
            entries[change.digest] = _make_accepted_entry(change)


def _order_entries(entries: Iterable[AuditEntry], limit: int) -> tuple[AuditEntry, ...]:
    ordered = sorted(entries, key=lambda entry: entry.at, reverse=True)
    return tuple(ordered[:limit])


def _extend_segment(entry: Entry | None, batch: tuple[AuditEntry, ...]) -> bytes:
    """Add entries to an hour's segment, as far as its bounds allow."""
    segment = {"entries": [], "dropped": 0}
    if entry is not None:
        segment = json.loads(entry.value)
    known = {item["entry_id"] for item in segment["entries"]}
    size = len(_format(segment))
    for item in batch:
        if item.entry_id in known:
            continue
        described = describe_entry(item)
        size += len(_format(described)) + 1
        if len(known) >= MAX_REFUSED_PER_HOUR or size > MAX_REFUSED_BYTES:
            segment["dropped"] += 1
            continue
        known.add(item.entry_id)
        segment["entries"].append(described)
    return _format(segment)


def _bound_difference(difference: Difference) -> Difference:
    if len(_format(difference)) <= _MAX_DIFFERENCE_BYTES:
        return difference
    return {heading: {} for heading in sorted(difference)[:_MAX_SECTIONS]}


def _format(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
