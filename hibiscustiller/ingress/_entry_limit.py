"""The number of engines on which one request may run, as its route allows.

The load: many engines are full after a loss, and each rejects a stream that looks for
a new pipeline. What was rejected has not run, so the route's limit does not count it;
the retry budget bounds these attempts. This module does no I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Set

from hibiscustiller.utils import ServerId


class EntryLimit:
    """Limit of the different entry servers on which a request may have run.

    :param max_entries: number of entry servers that the route allows.
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max(1, max_entries)
        # Attempts that may have run, by their entry server.
        self._attempt_counts: Counter[ServerId] = Counter()
        self._uncounted_ids: set[ServerId] = set()

    @property
    def entry_ids(self) -> Set[ServerId]:
        """The entry servers on which the request may have run."""
        return self._attempt_counts.keys()

    @property
    def is_reached(self) -> bool:
        """Whether the route allows no further entry server."""
        return len(self.entry_ids - self._uncounted_ids) >= self._max_entries

    def record_sent(self, entry_id: ServerId) -> None:
        """Record an attempt whose request was sent."""
        self._attempt_counts[entry_id] += 1

    def record_rejected(self, entry_id: ServerId) -> None:
        """Record that an attempt that was sent has not run.

        Earlier attempts at the same entry server may have run, and still count.
        """
        self._attempt_counts[entry_id] -= 1
        if self._attempt_counts[entry_id] <= 0:
            del self._attempt_counts[entry_id]

    def discount(self, server_ids: Set[ServerId]) -> None:
        """Stop counting servers that have ended or are faulty."""
        self._uncounted_ids |= server_ids
