"""The store's recent changes, kept for the routers that do not follow it themselves."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from hibiscustiller.platform import Change

# A router that lost a datagram asks again within a second; the busiest seconds of a
# fleet of hundreds have some hundred changes.
_MAX_CHANGES = 2000


@dataclass(frozen=True)
class ChangeBatch:
    """All changes after one revision of the store up to another.

    :param is_difference: whether it compares two states, so that it lacks keys that
        were both written and deleted in between.
    """

    after: int
    to: int
    items: tuple[Change, ...]
    is_difference: bool = False


class ChangeLog:
    """The changes between two revisions."""

    def __init__(self) -> None:
        self._batches: deque[ChangeBatch] = deque()
        self._change_count = 0

    def append(self, batch: ChangeBatch) -> None:
        """Add a batch; what does not join the others replaces them."""
        if self._batches and self._batches[-1].to != batch.after:
            self._batches.clear()
            self._change_count = 0
        self._batches.append(batch)
        self._change_count += len(batch.items)
        while self._change_count > _MAX_CHANGES and len(self._batches) > 1:
            self._change_count -= len(self._batches.popleft().items)

    def collect(self, after: int, to: int) -> ChangeBatch | None:
        """Return the changes after a revision; None if some are not known.

        :param to: the present revision.
        """
        if after >= to:
            return ChangeBatch(after, to, ())
        if not self._batches or self._batches[0].after > after:
            return None
        if any(
            batch.is_difference and batch.after < after < batch.to
            for batch in self._batches
        ):
            return None
        items = [
            change
            for batch in self._batches
            if batch.to > after
            for change in batch.items
            if change.revision > after
        ]
        return ChangeBatch(after, to, _keep_newest(items))


def _keep_newest(items: Sequence[Change]) -> tuple[Change, ...]:
    """Leave out changes that a later one of the same key replaces; in order."""
    newest_by_key = {change.key: change for change in items}
    newest = [change for change in items if newest_by_key[change.key] is change]
    return tuple(sorted(newest, key=lambda change: change.revision))
