"""The form in which routers send each other changes of the store.

Large values are sent as differences from a version that the receiver has, because whole
documents would fill the links of small hosts. This module does no I/O.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator, Sequence

from hibiscustiller.discovery._deltas import (
    MAX_UNPACKED_BYTES,
    apply_delta,
    make_delta,
)
from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.platform import NO_REVISION, Change, Revision
from hibiscustiller.wire import compress, decompress_bounded
from hibiscustiller.wire._messages_generated import StoreChange

# Values of at least this size are sent as differences.
LARGE_VALUE_BYTES = 2048
# Longer messages to many routers would saturate the link of a small host, be lost and
# be requested again. The routers read longer changes from the store instead.
MAX_MESSAGE_BYTES = 8000
# Bytes of a digest, far more than an accident needs.
_DIGEST_BYTES = 8
# Size of an encoded change apart from its key and its value.
_CHANGE_OVERHEAD_BYTES = 40

# Returns the revision and the value of the last write to a key up to a revision, if
# that version is retained.
FindVersion = Callable[[str, Revision], tuple[Revision, bytes] | None]


def encode_change(
    change: Change, after: Revision, find_version: FindVersion
) -> StoreChange:
    """Encode a change for a router that has the state at an earlier revision."""
    value, base_revision = change.value or b"", NO_REVISION
    digest = b""
    if len(value) >= LARGE_VALUE_BYTES:
        base = find_version(change.key, after)
        if base is not None:
            base_revision = base[0]
            digest = _compute_digest(value)
            value = make_delta(base[1], value)
    if base_revision == NO_REVISION:
        value = compress(value)
    return StoreChange(
        change.key,
        change.revision.number,
        change.value is None,
        value,
        base_revision.number,
        change.revision.era,
        base_revision.era,
        change.is_restored,
        digest,
    )


def decode_change(change: StoreChange, find_version: FindVersion) -> Change:
    """Decode a change.

    :raises WireFormatError: if it is malformed, is a delta to a version that is not
        retained, or gives another value than it was made from.
    """
    revision = get_revision(change)
    base_revision = Revision(change.base_era, change.base_revision)
    if change.deleted:
        return Change(change.key, None, revision, is_restored=change.is_restored)
    if base_revision == NO_REVISION:
        value = decompress_bounded(change.value, MAX_UNPACKED_BYTES)
        return Change(change.key, value, revision, is_restored=change.is_restored)
    base = find_version(change.key, base_revision)
    if base is None or base[0] != base_revision:
        raise WireFormatError(f"no revision {base_revision} of {change.key}")
    value = apply_delta(base[1], change.value)
    if change.digest and change.digest != _compute_digest(value):
        raise WireFormatError(f"the base of a delta of {change.key} is another one")
    return Change(change.key, value, revision, is_restored=change.is_restored)


def _compute_digest(value: bytes) -> bytes:
    return hashlib.sha256(value).digest()[:_DIGEST_BYTES]


def get_revision(change: StoreChange) -> Revision:
    """Return the revision of a change."""
    return Revision(change.era, change.revision)


def split_changes(changes: Sequence[StoreChange]) -> Iterator[list[StoreChange]]:
    """Split changes, in order, into parts that each fit in a message; at least one."""
    part: list[StoreChange] = []
    size = 0
    for change in changes:
        added = len(change.key) + len(change.value) + _CHANGE_OVERHEAD_BYTES
        # Changes of the same revision must be in the same message.
        may_split = part and get_revision(part[-1]) != get_revision(change)
        if may_split and size + added > MAX_MESSAGE_BYTES:
            yield part
            part, size = [], 0
        part.append(change)
        size += added
    yield part
