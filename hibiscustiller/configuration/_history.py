"""What a router remembers of the changes that led to its document."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from hibiscustiller.configuration._changes import (
    Change,
    HistoryPoint,
    can_replace,
    make_point,
)
from hibiscustiller.configuration._head import (
    MAX_CHAIN_BYTES,
    MAX_CHAIN_CHANGES,
    MAX_FOLDED,
    measure_change,
)
from hibiscustiller.utils import Revision

MAX_POINTS = MAX_FOLDED + MAX_CHAIN_CHANGES
# Leaves room in the chain for the change that republishes the document.
_MAX_RECENT_CHANGES = MAX_CHAIN_CHANGES - 1
_MAX_RECENT_BYTES = MAX_CHAIN_BYTES - 1024
# Changes kept that arrived before the one they follow.
_MAX_EARLY = MAX_CHAIN_CHANGES


class History:
    """The last changes in force here, and changes that arrived too early."""

    def __init__(self) -> None:
        self._points: deque[HistoryPoint] = deque(maxlen=MAX_POINTS)
        self._recent: deque[Change] = deque()
        self._recent_bytes = 0
        self._early: dict[tuple[Revision, str], Change] = {}

    @property
    def points(self) -> tuple[HistoryPoint, ...]:
        """Known points, oldest first; none if no document was accepted."""
        return tuple(self._points)

    def add(self, change: Change) -> None:
        """Add a change that came in force."""
        self._points.append(make_point(change))
        self._add_recent(change)

    def replace(
        self, points: Iterable[HistoryPoint], changes: Iterable[Change]
    ) -> None:
        """Take over another history.

        :param changes: the last of its changes without a gap.
        """
        self._points = deque(points, maxlen=MAX_POINTS)
        self._recent.clear()
        self._recent_bytes = 0
        for change in changes:
            self._add_recent(change)

    def may_replace(self, revision: Revision, digest: str) -> bool:
        """Tell whether this document may replace one that a peer holds."""
        # A document that no store has accepted is offered to every lower revision.
        return not self._points or can_replace(self._points, revision, digest)

    def list_after(self, revision: Revision, digest: str) -> list[Change]:
        """Return the changes from a held state on; none if they are not all known."""
        changes = list(self._recent)
        for index, change in enumerate(changes):
            if (change.from_revision, change.previous_digest) == (revision, digest):
                found = changes[index:]
                return [] if any(item.is_trimmed for item in found) else found
        return []

    def list_whole(self) -> tuple[Change, ...]:
        """Return the last changes without a gap; a trimmed one is a gap."""
        whole: list[Change] = []
        for change in reversed(self._recent):
            if change.is_trimmed:
                break
            whole.append(change)
        return tuple(reversed(whole))

    def keep_early(self, change: Change, revision: Revision) -> None:
        """Keep a change that overtook an earlier one until that one arrives.

        :param revision: revision in force; older changes are dropped.
        """
        self._early = {
            key: item
            for key, item in self._early.items()
            if item.to_revision > revision
        }
        if len(self._early) < _MAX_EARLY:
            self._early[change.from_revision, change.previous_digest] = change

    def take_early(self, revision: Revision, digest: str) -> Change | None:
        """Remove and return the kept change that follows a state, if any."""
        return self._early.pop((revision, digest), None)

    def _add_recent(self, change: Change) -> None:
        self._recent.append(change)
        self._recent_bytes += measure_change(change)
        while self._recent and (
            len(self._recent) > _MAX_RECENT_CHANGES
            or self._recent_bytes > _MAX_RECENT_BYTES
        ):
            self._recent_bytes -= measure_change(self._recent.popleft())
