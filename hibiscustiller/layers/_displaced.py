"""Queue of begun streams that have lost their place and wait for another one.

It handles the load after a loss of engines: many streams ask for a place at once while
the remaining pipelines are full. Each free place goes to the stream that has waited
longest among those that may use it. A new request gets only what no waiting stream may
use, so that a place that the waiting streams exclude does not stay empty. The queue
performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Set
from dataclasses import dataclass
from typing import Generic, TypeVar

from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.utils import ServerId

Item = TypeVar("Item")


@dataclass(frozen=True, eq=False)
class _Entry(Generic[Item]):
    item: Item
    tokens: float
    excluded_ids: frozenset[ServerId]


class DisplacedQueue(Generic[Item]):
    """Begun streams that wait for a place, in the order of arrival."""

    def __init__(self) -> None:
        self._entries: list[_Entry[Item]] = []

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def waiting_tokens(self) -> float:
        """Number of tokens for which all waiting streams ask."""
        return sum(entry.tokens for entry in self._entries)

    def push(
        self, item: Item, tokens: float, excluded_ids: Collection[ServerId]
    ) -> None:
        """Append a stream that must not use some servers."""
        self._entries.append(_Entry(item, tokens, frozenset(excluded_ids)))

    def remove(self, item: Item) -> None:
        """Remove a stream that no longer waits, if it is still queued."""
        self._entries = [entry for entry in self._entries if entry.item is not item]

    def list_reserved(self, pipelines: Iterable[Pipeline]) -> set[ServerId]:
        """Return the servers that new requests must leave to the waiting streams."""
        pipelines = tuple(pipelines)
        reserved_ids: set[ServerId] = set()
        for excluded_ids in {entry.excluded_ids for entry in self._entries}:
            reserved_ids |= _list_usable_ids(pipelines, excluded_ids)
        return reserved_ids

    def grant(
        self,
        pipelines: Iterable[Pipeline],
        try_grant: Callable[[Item, Set[ServerId]], bool],
    ) -> list[Item]:
        """Remove and return the streams that get a free place.

        A stream does not overtake another one at the servers that both may use.

        :param try_grant: grants a place without some servers; tells whether it did.
        """
        pipelines = tuple(pipelines)
        reserved_ids: set[ServerId] = set()
        # Hundreds of streams wait after a loss, most of them with the same exclusions:
        # once one has got no place, the others with its exclusions get none either.
        tried: set[frozenset[ServerId]] = set()
        granted, waiting = [], []
        for entry in self._entries:
            excluded_ids = entry.excluded_ids
            if excluded_ids in tried:
                waiting.append(entry)
            elif try_grant(entry.item, excluded_ids | reserved_ids):
                granted.append(entry.item)
            else:
                waiting.append(entry)
                tried.add(excluded_ids)
                reserved_ids |= _list_usable_ids(pipelines, excluded_ids)
        self._entries = waiting
        return granted


def _list_usable_ids(
    pipelines: Iterable[Pipeline], excluded_ids: Set[ServerId]
) -> set[ServerId]:
    """Return the servers of all pipelines without some servers."""
    return {
        server_id
        for pipeline in pipelines
        if excluded_ids.isdisjoint(pipeline.server_ids)
        for server_id in pipeline.server_ids
    }
