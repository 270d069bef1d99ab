"""The document in the platform's store: head, chain of changes and snapshots."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from hibiscustiller.configuration._changes import (
    Change,
    HistoryPoint,
    describe_change,
    make_point,
    read_change,
    seal_change,
    trim_change,
)
from hibiscustiller.configuration._document import (
    Sections,
    format_sections,
    parse_sections,
)
from hibiscustiller.exceptions import SettingsError, StoreUnavailableError
from hibiscustiller.platform import KeyValueStore, SwapOutcome
from hibiscustiller.utils import Revision, TeamId, Verdict, check_invariant

HEAD_KEY = "config/head"
_SNAPSHOT_PREFIX = "config/snapshot/"
MAX_CHAIN_CHANGES = 64
MAX_CHAIN_BYTES = 64 * 1024
# Proposal ids that are recognised after their change left the chain. A repeat with
# its first base revision is recognised however old it is, because that base is then
# older than the change.
MAX_FOLDED = 128


@dataclass(frozen=True)
class SnapshotReference:
    """Names a whole document in the store; revision 0 is the empty document."""

    revision: Revision
    digest: str

    @property
    def key(self) -> str:
        """Key in the store.

        The digest keeps apart documents of one revision that were written before
        and after the store lost data, so that a snapshot never changes.
        """
        return f"{_SNAPSHOT_PREFIX}{self.revision}/{self.digest}"


EMPTY_DOCUMENT = SnapshotReference(Revision(0), "")


@dataclass(frozen=True)
class Head:
    """The value of ``config/head``.

    :param chain: changes in order. Those up to the snapshot's revision are part of
        it already and are kept for the audit trail.
    :param folded: changes before the chain, for recognition only.
    :param segment_count: audit segments written so far.
    """

    snapshot: SnapshotReference
    chain: tuple[Change, ...]
    folded: tuple[HistoryPoint, ...]
    segment_count: int

    @property
    def revision(self) -> Revision:
        """Revision of the document."""
        return self.chain[-1].to_revision if self.chain else self.snapshot.revision

    @property
    def digest(self) -> str:
        """Digest of the history."""
        return self.chain[-1].digest if self.chain else self.snapshot.digest

    def list_points(self) -> tuple[HistoryPoint, ...]:
        """Return the known history, oldest first."""
        return (*self.folded, *(make_point(change) for change in self.chain))

    def find_proposal(self, proposal_id: str) -> HistoryPoint | None:
        """Return the change that a proposal made, if it is known."""
        for point in self.list_points():
            if point.proposal_id == proposal_id:
                return point
        return None


EMPTY_HEAD = Head(EMPTY_DOCUMENT, (), (), 0)


@dataclass(frozen=True)
class StoredHead:
    """A head as read from the store.

    :param store_revision: store revision of its last write; 0 if absent.
    """

    head: Head
    store_revision: int


@dataclass(frozen=True)
class Extension:
    """A head with one more change, and what must be written before it.

    :param snapshot: document to write first, if any.
    :param archived: changes that leave the chain; they must be archived first.
    """

    head: Head
    snapshot: Sections | None
    archived: tuple[Change, ...]


def extend_head(head: Head, change: Change, old: Sections, new: Sections) -> Extension:
    """Add a sealed change to the chain, or start a new chain if it is full.

    :param old: the document at the head's revision.
    :param new: the document after the change.
    """
    if measure_change(change) > MAX_CHAIN_BYTES:
        reference = SnapshotReference(change.to_revision, change.digest)
        return _fold(head, reference, trim_change(change), new)
    size = sum(map(measure_change, head.chain)) + measure_change(change)
    if len(head.chain) < MAX_CHAIN_CHANGES and size <= MAX_CHAIN_BYTES:
        extended = Head(
            head.snapshot, (*head.chain, change), head.folded, head.segment_count
        )
        return Extension(extended, None, ())
    # The snapshot is of the revision that the head already has, so that proposers
    # who race for the next revision write the same snapshot.
    return _fold(head, SnapshotReference(head.revision, head.digest), change, old)


def make_republished_head(
    lost: Head,
    held: SnapshotReference,
    history: tuple[HistoryPoint, ...],
    recent: tuple[Change, ...],
    now: datetime,
) -> Head:
    """Return a head that puts a held document above what the store has.

    :param lost: what the store has.
    :param held: the document in force.
    :param history: changes that led to it.
    :param recent: the last of them, which the store may have lost from its audit
        trail; together with the new one they fit a chain.
    """
    revision = Revision(max(held.revision, lost.revision) + 1)
    change = Change(
        from_revision=held.revision,
        to_revision=revision,
        proposal_id=f"republish-{revision}-{held.digest[:12]}",
        team=TeamId(""),
        accepted_at=now,
        fingerprint="",
        difference={},
        previous_digest=held.digest,
        is_republished=True,
    )
    kept = {item.to_revision for item in recent}
    folded = tuple(point for point in history if point.revision not in kept)
    chain = (*recent, seal_change(change))
    return Head(held, chain, folded[-MAX_FOLDED:], lost.segment_count)


def measure_change(change: Change) -> int:
    """Return a change's size in the head, in bytes."""
    return len(_format(describe_change(change)))


def encode_head(head: Head) -> bytes:
    """Return the head as stored."""
    return _format(
        {
            "revision": head.revision,
            "snapshot": [head.snapshot.revision, head.snapshot.digest],
            "chain": [describe_change(change) for change in head.chain],
            "folded": [list(vars(point).values()) for point in head.folded],
            "segments": head.segment_count,
        }
    )


def decode_head(data: bytes) -> Head:
    """Read a stored head.

    :raises StoreUnavailableError: if the value is no head.
    """
    try:
        value = json.loads(data)
        revision, digest = value["snapshot"]
        return Head(
            SnapshotReference(Revision(revision), digest),
            tuple(read_change(item) for item in value["chain"]),
            tuple(HistoryPoint(*item) for item in value["folded"]),
            value["segments"],
        )
    except (ValueError, KeyError, TypeError) as error:
        message = f"the store's {HEAD_KEY} cannot be read: {error!r}"
        raise StoreUnavailableError(message, Verdict.NOT_RUN) from error


class HeadStore:
    """Reads and writes the document's keys.

    Methods raise :class:`StoreUnavailableError` as the store does.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def read_head(self) -> StoredHead:
        """Read the head; an empty one if absent."""
        entry = await self._store.get(HEAD_KEY)
        if entry is None:
            return StoredHead(EMPTY_HEAD, 0)
        return StoredHead(decode_head(entry.value), entry.revision)

    async def swap_head(self, head: Head, expected_revision: int) -> SwapOutcome:
        """Replace the head; the commit point of every change."""
        return await self._store.compare_and_swap(
            HEAD_KEY, encode_head(head), expected_revision
        )

    async def write_snapshot(
        self, reference: SnapshotReference, sections: Sections
    ) -> None:
        """Write a whole document; one that is present already is left."""
        text = format_sections(sections).encode()
        header = {"sha256": hashlib.sha256(text).hexdigest()}
        value = _format(header) + b"\n" + text
        outcome = await self._store.compare_and_swap(reference.key, value, 0)
        if outcome.current is not None:
            check_invariant(
                outcome.current.value == value,
                "configuration_one_document_per_digest",
                key=reference.key,
            )

    async def read_snapshot(self, reference: SnapshotReference) -> Sections | None:
        """Read a whole document; None if it was deleted meanwhile."""
        if reference == EMPTY_DOCUMENT:
            return {}
        entry = await self._store.get(reference.key)
        if entry is None:
            return None
        header, _, text = entry.value.partition(b"\n")
        try:
            expected = json.loads(header)["sha256"]
            sections = parse_sections(text.decode(), reference.key)
        except (ValueError, KeyError, SettingsError) as error:
            message = f"{reference.key} cannot be read: {error}"
            raise StoreUnavailableError(message, Verdict.NOT_RUN) from error
        check_invariant(
            hashlib.sha256(text).hexdigest() == expected,
            "configuration_snapshot_digest",
            key=reference.key,
        )
        return sections

    async def delete_snapshot(self, reference: SnapshotReference) -> None:
        """Delete a snapshot that no head refers to."""
        entry = await self._store.get(reference.key)
        if entry is not None:
            await self._store.delete(reference.key, entry.revision)


def _fold(
    head: Head, reference: SnapshotReference, change: Change, sections: Sections
) -> Extension:
    folded = head.list_points()[-MAX_FOLDED:]
    segments = head.segment_count + (1 if head.chain else 0)
    extended = Head(reference, (change,), folded, segments)
    return Extension(extended, sections, head.chain)


def _format(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode()
