"""Bounded table of records that routers share, and the updates to send of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, ItemsView
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice
from typing import Generic, Protocol, TypeVar

from hibiscustiller.utils import Clock


class TimedRecord(Protocol):
    """A record with a time, by which old ones are evicted."""

    @property
    def updated_at(self) -> timedelta:
        """Time of the latest event in the record, on the monotonic clock."""
        ...

    @property
    def is_open(self) -> bool:
        """Whether the record holds crashes that nothing has cleared."""
        ...


Key = TypeVar("Key", bound=str)
Record = TypeVar("Record", bound=TimedRecord)


@dataclass(frozen=True)
class RecordUpdate(Generic[Key, Record]):
    """Record that other routers need to receive.

    :param is_broadcast: whether all routers need it; if not, only the aggregators of
        the key do.
    """

    key: Key
    record: Record
    is_broadcast: bool


class SharedRecords(Generic[Key, Record]):
    """Records by key, ordered by their latest update, with those under suspicion.

    :param clock: source of time.
    :param on_update: called when an update for other routers is available.
    :param capacity: maximum number of records. Those without suspicion are evicted
        first.
    :param ttl: time after its latest event for which a record is kept.
    """

    def __init__(
        self,
        clock: Clock,
        on_update: Callable[[], None],
        capacity: int,
        ttl: timedelta,
    ) -> None:
        self._clock = clock
        self._on_update = on_update
        self._capacity = capacity
        self._ttl = ttl
        self._records: OrderedDict[Key, Record] = OrderedDict()
        # Keys under suspicion, the latest last.
        self._suspects: OrderedDict[Key, None] = OrderedDict()
        # Keys with a crash that this router observed itself, the latest last.
        self._observed: OrderedDict[Key, None] = OrderedDict()
        # Keys whose records are not sent yet, in order, with whether all routers need
        # them.
        self._pending_updates: dict[Key, bool] = {}

    def __len__(self) -> int:
        return len(self._records)

    def items(self) -> ItemsView[Key, Record]:
        """Return the records with their keys, those with the oldest update first."""
        return self._records.items()

    def get(self, key: Key) -> Record | None:
        """Return the record of a key; None if there is none."""
        return self._records.get(key)

    def is_suspect(self, key: Key) -> bool:
        """Tell whether a key is under suspicion."""
        return key in self._suspects

    def put(self, key: Key, record: Record, is_suspect: bool) -> None:
        """Add a record or move a changed one to the end, and evict old ones."""
        self._records[key] = record
        self._records.move_to_end(key)
        self._suspects.pop(key, None)
        if is_suspect:
            self._suspects[key] = None
        self._evict_old()

    def record_observation(self, key: Key) -> None:
        """Record that this router observed a crash itself."""
        if key in self._records:
            self._observed[key] = None
            self._observed.move_to_end(key)

    def queue_update(self, key: Key, is_broadcast: bool) -> None:
        """Queue a record for all routers, or for the aggregators of its key only.

        A record that was evicted at once is not queued.
        """
        if key not in self._records:
            return
        self._pending_updates[key] = (
            self._pending_updates.get(key, False) or is_broadcast
        )
        self._on_update()

    def take_updates(self, limit: int) -> list[RecordUpdate[Key, Record]]:
        """Remove and return updates for other routers, the oldest first.

        :param limit: maximum number of updates.
        """
        keys = list(islice(self._pending_updates, limit))
        return [
            RecordUpdate(key, self._records[key], self._pending_updates.pop(key))
            for key in keys
        ]

    @property
    def has_updates(self) -> bool:
        """Whether an update for other routers is available."""
        return bool(self._pending_updates)

    def list_suspects(
        self, limit: int | None = None, max_age: timedelta | None = None
    ) -> dict[Key, Record]:
        """Return the records under suspicion, latest first.

        A router that has just started, or that missed datagrams, does not know them.

        :param limit: maximum number of records; None for all.
        :param max_age: maximum time since the latest event of a record; None for any.
        """
        now = self._clock.monotonic()
        suspects = {
            key: self._records[key] for key in islice(reversed(self._suspects), limit)
        }
        return {
            key: record
            for key, record in suspects.items()
            if max_age is None or record.updated_at >= now - max_age
        }

    def list_due(
        self, since: timedelta, first_period: timedelta, max_age: timedelta
    ) -> list[Key]:
        """Return the observed records without suspicion that are due to be sent again.

        The intervals of a record double, from its latest event on.

        :param since: time of the previous call, on the monotonic clock.
        :param first_period: time from the event to the first repetition.
        :param max_age: time from the event after which there is none.
        """
        now = self._clock.monotonic()
        due = []
        for key in reversed(self._observed):
            record = self._records[key]
            age = now - record.updated_at
            if age > max_age:
                break
            count = _count_doublings(age, first_period)
            previous = _count_doublings(since - record.updated_at, first_period)
            if count > previous and record.is_open and key not in self._suspects:
                due.append(key)
        return due

    def _evict_old(self) -> None:
        now = self._clock.monotonic()
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.updated_at + self._ttl > now:
                break
            self._evict(key)
        while len(self._records) > self._capacity:
            self._evict(self._choose_evicted())

    def _choose_evicted(self) -> Key:
        """Return the oldest key without suspicion, or else the oldest of all."""
        unsuspected = (key for key in self._records if key not in self._suspects)
        return next(unsuspected, next(iter(self._records)))

    def _evict(self, key: Key) -> None:
        del self._records[key]
        self._suspects.pop(key, None)
        self._observed.pop(key, None)
        self._pending_updates.pop(key, None)


def _count_doublings(age: timedelta, first_period: timedelta) -> int:
    """Return how many repetitions, at doubling intervals, are due at an age."""
    return max(0, int(age / first_period)).bit_length()
