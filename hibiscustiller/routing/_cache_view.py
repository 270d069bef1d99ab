"""View of the prompt prefixes that the backend servers have cached."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Literal

from hibiscustiller.routing._routes import Route
from hibiscustiller.utils import ServerId

# Engines cache prefixes in blocks of 16 tokens. Prompts that agree in the first 128
# tokens nearly always have the same origin, so longer prefixes add no information.
BLOCK_TOKENS = 16
MAX_PREFIX_BLOCKS = 8
# A block takes about 100 bytes, so 64 servers take at most 3 MB.
_MAX_BLOCKS_PER_SERVER = 512
_DIGEST_BYTES = 8


@dataclass(frozen=True)
class CacheEvent:
    """One numbered event of a server's prefix cache.

    :param sequence: number of the event; a gap means that events were lost.
    :param kind: whether the block was added to the cache or removed from it.
    :param block: text of the prefix that ends with the block.
    """

    sequence: int
    kind: Literal["stored", "evicted"]
    block: str


@dataclass
class _ServerCache:
    last_sequence: int = 0
    blocks: OrderedDict[bytes, None] = field(default_factory=OrderedDict)


class CacheView:
    """Prefixes that servers are known to have cached; a :class:`StreamObserver`.

    :param max_blocks_per_server: number of blocks kept for each server; the least
        recently stored block is dropped first.
    """

    def __init__(self, max_blocks_per_server: int = _MAX_BLOCKS_PER_SERVER) -> None:
        self._max_blocks_per_server = max_blocks_per_server
        self._caches_by_server: dict[ServerId, _ServerCache] = {}

    def get_last_sequence(self, server: ServerId) -> int:
        """Return the number of the last event seen from a server, or zero."""
        cache = self._caches_by_server.get(server)
        return 0 if cache is None else cache.last_sequence

    def apply_events(self, server: ServerId, events: Sequence[CacheEvent]) -> None:
        """Apply a server's events in order; events already seen are ignored."""
        cache = self._caches_by_server.setdefault(server, _ServerCache())
        for event in events:
            if event.sequence <= cache.last_sequence:
                continue
            if event.sequence != cache.last_sequence + 1:
                # A lost event may have evicted any of the blocks.
                cache.blocks.clear()
            cache.last_sequence = event.sequence
            digest = _hash_text(event.block)
            if event.kind == "evicted":
                cache.blocks.pop(digest, None)
                continue
            cache.blocks[digest] = None
            cache.blocks.move_to_end(digest)
            if len(cache.blocks) > self._max_blocks_per_server:
                cache.blocks.popitem(last=False)

    def count_cached_blocks(self, server: ServerId, prefixes: Sequence[bytes]) -> int:
        """Count the leading blocks of a prompt that a server is known to have cached.

        :param prefixes: digests of the prompt from :func:`hash_prefixes`.
        """
        cache = self._caches_by_server.get(server)
        if cache is None:
            return 0
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in cache.blocks:
                return count
        return 0

    def discard_server(self, server: ServerId) -> None:
        """Discard what is known of a server, including its last event number.

        After a restart its cache is empty and its event numbers may start again.
        """
        self._caches_by_server.pop(server, None)

    def record_start(self, route: Route, cost: int) -> None:
        """Ignore the start of an attempt."""

    def record_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """Ignore a token."""

    def record_refusal(self, server: ServerId) -> None:
        """Ignore a refusal."""

    def record_failure(self, server: ServerId) -> None:
        """Discard a server's blocks, since it may have restarted."""
        self.discard_server(server)

    def record_completion(self, route: Route) -> None:
        """Ignore the end of an attempt."""


def hash_prefixes(prompt: str) -> list[bytes]:
    """Return a digest of each prefix of whole blocks, shortest first.

    Words stand for tokens. At most ``MAX_PREFIX_BLOCKS`` prefixes are returned.
    """
    digests = []
    end = -1
    words = 0
    while len(digests) < MAX_PREFIX_BLOCKS:
        end = prompt.find(" ", end + 1)
        words += 1
        if words == BLOCK_TOKENS * (len(digests) + 1):
            digests.append(_hash_text(prompt if end < 0 else prompt[:end]))
        if end < 0:
            break
    return digests


def _hash_text(text: str) -> bytes:
    # JSON strings may contain lone surrogates, which strict UTF-8 encoding rejects.
    data = text.encode(errors="surrogatepass")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
