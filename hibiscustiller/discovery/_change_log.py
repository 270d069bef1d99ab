"""The store's recent changes, retained for routers that do not watch the store."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from hibiscustiller.platform import Change, Revision

# A router that lost a datagram requests it again within a second; a fleet of hundreds
# of routers makes some hundred changes in its busiest seconds.
_MAX_CHANGES = 2000


@dataclass(frozen=True)
class ChangeBatch:
    """All changes after one store revision up to and including another.

    :param after_revision: the revision before the first change.
    :param to_revision: the revision of the state after the changes.
    :param items: the changes.
    :param is_difference: whether the batch is the difference of two complete states, so
        that it lacks keys that were both written and deleted between them.
    """

    after_revision: Revision
    to_revision: Revision
    items: tuple[Change, ...]
    is_difference: bool = False


class ChangeLog:
    """A bounded log of consecutive change batches."""

    def __init__(self) -> None:
        self._batches: deque[ChangeBatch] = deque()
        self._change_count = 0

    def append(self, batch: ChangeBatch) -> None:
        """Append a batch; after a gap it replaces the earlier batches."""
        if self._batches and self._batches[-1].to_revision != batch.after_revision:
            self._batches.clear()
            self._change_count = 0
        self._batches.append(batch)
        self._change_count += len(batch.items)
        while self._change_count > _MAX_CHANGES and len(self._batches) > 1:
            self._change_count -= len(self._batches.popleft().items)

    def collect(self, after: Revision, to: Revision) -> ChangeBatch | None:
        """Return the changes after a revision; None if some are unavailable.

        :param after: the revision that the receiver has.
        :param to: the present revision.
        """
        if after >= to:
            return ChangeBatch(after, to, ())
        if not self._batches or self._batches[0].after_revision > after:
            return None
        later = [batch for batch in self._batches if batch.to_revision > after]
        if any(batch.is_difference and batch.after_revision < after for batch in later):
            return None
        items = [
            change
            for batch in later
            for change in batch.items
            if change.revision > after
        ]
        return ChangeBatch(after, to, _keep_newest(items))


def _keep_newest(items: Sequence[Change]) -> tuple[Change, ...]:
    """Keep only the last change of each key, ordered by revision."""
    newest_by_key = {change.key: change for change in items}
    newest = [change for change in items if newest_by_key[change.key] is change]
    return tuple(sorted(newest, key=lambda change: change.revision))
