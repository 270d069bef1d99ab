"""Differences between documents, and the history of accepted changes."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from typing import Any

from hibiscustiller.configuration._document import Sections
from hibiscustiller.utils import Revision, TeamId, check_invariant
from hibiscustiller.wire._messages_generated import ConfigChange, ConfigEdit

# Values by key, by section heading. None for a key removes the key, None for a
# section removes the section, and an empty mapping creates a section of defaults.
Difference = Mapping[str, Mapping[str, str | None] | None]

_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_DIGEST_LENGTH = 32
# Headings that a trimmed change still names; the rest is only counted.
_TRIMMED_HEADINGS = 200


@dataclass(frozen=True)
class Change:
    """One accepted change.

    :param from_revision: revision that it was applied to.
    :param to_revision: revision that it made.
    :param team: team that proposed it; empty for a republished document.
    :param fingerprint: digest of the proposal's content; a repeat must match it.
    :param previous_digest: digest of the history before it.
    :param digest: digest of the history up to and including it.
    :param is_republished: written over a store that had lost data.
    :param is_trimmed: too large for the chain; the difference only names sections.
    """

    from_revision: Revision
    to_revision: Revision
    proposal_id: str
    team: TeamId
    accepted_at: datetime
    fingerprint: str
    difference: Difference
    previous_digest: str
    digest: str = ""
    is_republished: bool = False
    is_trimmed: bool = False


@dataclass(frozen=True)
class HistoryPoint:
    """What is kept of a change after its difference went into a snapshot."""

    revision: Revision
    digest: str
    proposal_id: str
    fingerprint: str
    is_republished: bool


def apply_difference(sections: Sections, difference: Difference) -> Sections:
    """Return the changed sections; sections without changes are shared."""
    changed = dict(sections)
    for heading, edits in difference.items():
        if edits is None:
            changed.pop(heading, None)
            continue
        values = {**changed.get(heading, {}), **edits}
        changed[heading] = {k: v for k, v in values.items() if v is not None}
    return changed


def compute_difference(old: Sections, new: Sections) -> Difference:
    """Return the difference that turns one document into another."""
    difference: dict[str, Mapping[str, str | None] | None] = {}
    for heading in sorted(old.keys() | new.keys()):
        if heading not in new:
            difference[heading] = None
        elif heading not in old:
            difference[heading] = dict(new[heading])
        elif old[heading] is not new[heading] and old[heading] != new[heading]:
            removed = dict.fromkeys(old[heading].keys() - new[heading].keys())
            edited = {
                key: value
                for key, value in new[heading].items()
                if old[heading].get(key) != value
            }
            difference[heading] = {**edited, **removed}
    return difference


def seal_change(change: Change) -> Change:
    """Return the change with its digest."""
    return replace(change, digest=_digest_change(change))


def check_change_digest(change: Change) -> None:
    """Assert that a whole change carries the digest of its content.

    :raises InvariantError: if the content is not what was accepted.
    """
    check_invariant(
        change.digest == _digest_change(change),
        "configuration_change_digest",
        revision=change.to_revision,
        digest=change.digest,
    )


def fingerprint_proposal(team: TeamId, difference: Difference) -> str:
    """Return a digest of a proposal's content, for comparison with a repeat."""
    return _digest([team, difference])


def trim_change(change: Change) -> Change:
    """Return the change with only the headings of its difference."""
    headings = sorted(change.difference)[:_TRIMMED_HEADINGS]
    return replace(
        change, difference={heading: {} for heading in headings}, is_trimmed=True
    )


def make_point(change: Change) -> HistoryPoint:
    """Return what is kept of a change beyond the chain."""
    return HistoryPoint(
        change.to_revision,
        change.digest,
        change.proposal_id,
        change.fingerprint,
        change.is_republished,
    )


def can_replace(
    points: Iterable[HistoryPoint], revision: Revision, digest: str
) -> bool:
    """Tell whether a history may replace the document held at a revision.

    A history that extends the held one may. So may one that was republished above
    the held revision, since that decision was recorded in the store; without this
    rule two histories would replace each other without end. A held revision older
    than all known points is taken as an ancestor.

    :param points: the offered history, which is not empty.
    """
    known = {point.revision: point for point in points}
    if revision >= max(known):
        return False
    if any(point.is_republished and at > revision for at, point in known.items()):
        return True
    if revision in known:
        return known[revision].digest == digest
    return revision < min(known)


def describe_change(change: Change) -> dict[str, Any]:
    """Return a change as a JSON value, for the store."""
    return {
        "from": change.from_revision,
        "to": change.to_revision,
        "id": change.proposal_id,
        "team": change.team,
        "at_ms": to_milliseconds(change.accepted_at),
        "fingerprint": change.fingerprint,
        "difference": change.difference,
        "previous": change.previous_digest,
        "digest": change.digest,
        "republished": change.is_republished,
        "trimmed": change.is_trimmed,
    }


def read_change(value: Mapping[str, Any]) -> Change:
    """Read a change from its JSON value.

    :raises KeyError: if a field is missing.
    """
    return Change(
        from_revision=Revision(value["from"]),
        to_revision=Revision(value["to"]),
        proposal_id=value["id"],
        team=TeamId(value["team"]),
        accepted_at=from_milliseconds(value["at_ms"]),
        fingerprint=value["fingerprint"],
        difference=value["difference"],
        previous_digest=value["previous"],
        digest=value["digest"],
        is_republished=value["republished"],
        is_trimmed=value["trimmed"],
    )


def make_change_message(change: Change) -> ConfigChange:
    """Return the peer message of a change."""
    return ConfigChange(
        from_revision=change.from_revision,
        to_revision=change.to_revision,
        proposal_id=change.proposal_id,
        team=change.team,
        accepted_at_ms=to_milliseconds(change.accepted_at),
        edits=tuple(_list_edits(change.difference)),
        fingerprint=change.fingerprint,
        previous_digest=change.previous_digest,
        digest=change.digest,
        republished=change.is_republished,
        trimmed=change.is_trimmed,
    )


def read_change_message(message: ConfigChange) -> Change:
    """Read a change from its peer message."""
    return Change(
        from_revision=Revision(message.from_revision),
        to_revision=Revision(message.to_revision),
        proposal_id=message.proposal_id,
        team=TeamId(message.team),
        accepted_at=from_milliseconds(message.accepted_at_ms),
        fingerprint=message.fingerprint,
        difference=_read_edits(message.edits),
        previous_digest=message.previous_digest,
        digest=message.digest,
        is_republished=message.republished,
        is_trimmed=message.trimmed,
    )


def to_milliseconds(time: datetime) -> int:
    """Return whole milliseconds since 1970."""
    return (time - _EPOCH) // timedelta(milliseconds=1)


def from_milliseconds(milliseconds: int) -> datetime:
    """Return the time of whole milliseconds since 1970."""
    return _EPOCH + timedelta(milliseconds=milliseconds)


def _digest_change(change: Change) -> str:
    return _digest(
        [
            change.previous_digest,
            change.from_revision,
            change.to_revision,
            change.proposal_id,
            change.team,
            to_milliseconds(change.accepted_at),
            change.fingerprint,
            change.difference,
            change.is_republished,
        ]
    )


def _digest(value: Any) -> str:
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_LENGTH]


def _list_edits(difference: Difference) -> Iterable[ConfigEdit]:
    for heading, edits in difference.items():
        if not edits:
            # An edit without a key stands for the section itself.
            yield ConfigEdit(heading, "", "", deleted=edits is None)
            continue
        for key, value in edits.items():
            yield ConfigEdit(heading, key, value or "", deleted=value is None)


def _read_edits(edits: Iterable[ConfigEdit]) -> Difference:
    difference: dict[str, dict[str, str | None] | None] = {}
    for edit in edits:
        if not edit.key:
            difference[edit.section] = None if edit.deleted else {}
            continue
        values = difference.setdefault(edit.section, {})
        values[edit.key] = None if edit.deleted else edit.value
    return difference
