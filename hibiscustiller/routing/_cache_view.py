"""Which backend servers hold which prompt prefixes, as far as is certain."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Literal

from hibiscustiller.routing._routes import Route
from hibiscustiller.utils import ServerId

# Engines cache prefixes in blocks of 16 tokens. Beyond 128 tokens two prompts that
# still agree nearly always have the same origin, so longer prefixes tell no more.
BLOCK_TOKENS = 16
MAX_PREFIX_BLOCKS = 8
# About 100 bytes each: 64 servers then take at most 3 MB.
_BLOCKS_PER_SERVER = 512
_DIGEST_BYTES = 8


@dataclass(frozen=True)
class CacheEvent:
    """One numbered event of a server's prefix cache.

    :param sequence: its number; a jump means that events were lost.
    :param block: the text of the prefix.
    """

    sequence: int
    kind: Literal["stored", "evicted"]
    block: str


@dataclass
class _ServerCache:
    last_sequence: int = 0
    blocks: OrderedDict[bytes, None] = field(default_factory=OrderedDict)


class CacheView:
    """Prefixes known to be cached; it also is a :class:`StreamObserver`.

    :param blocks_per_server: bound on what is remembered of one server.
    """

    def __init__(self, blocks_per_server: int = _BLOCKS_PER_SERVER) -> None:
        self._blocks_per_server = blocks_per_server
        self._caches_by_server: dict[ServerId, _ServerCache] = {}

    def get_last_sequence(self, server: ServerId) -> int:
        """Return the number after which a server's events are wanted."""
        cache = self._caches_by_server.get(server)
        return 0 if cache is None else cache.last_sequence

    def note_events(self, server: ServerId, events: Sequence[CacheEvent]) -> None:
        """Take over events of a server; those already seen are ignored."""
        cache = self._caches_by_server.setdefault(server, _ServerCache())
        for event in events:
            if event.sequence <= cache.last_sequence:
                continue
            if event.sequence != cache.last_sequence + 1:
                # Any block may have been evicted by a lost event.
                cache.blocks.clear()
            cache.last_sequence = event.sequence
            digest = _hash_text(event.block)
            if event.kind == "evicted":
                cache.blocks.pop(digest, None)
                continue
            cache.blocks[digest] = None
            cache.blocks.move_to_end(digest)
            if len(cache.blocks) > self._blocks_per_server:
                cache.blocks.popitem(last=False)

    def count_cached_blocks(self, server: ServerId, prefixes: Sequence[bytes]) -> int:
        """Count the leading blocks of a prompt that a server holds for certain.

        :param prefixes: from :func:`hash_prefixes`.
        """
        cache = self._caches_by_server.get(server)
        if cache is None:
            return 0
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in cache.blocks:
                return count
        return 0

    def forget_server(self, server: ServerId) -> None:
        """Forget a server whose cache is lost; its numbers may start afresh."""
        self._caches_by_server.pop(server, None)

    def note_started(self, route: Route, cost: int) -> None:
        """Ignore a start."""

    def note_token(self, route: Route, delay: timedelta, is_first: bool) -> None:
        """Ignore a token."""

    def note_refused(self, server: ServerId) -> None:
        """Ignore a refusal."""

    def note_failed(self, server: ServerId) -> None:
        """Forget a server that may have restarted."""
        self.forget_server(server)

    def note_finished(self, route: Route) -> None:
        """Ignore an end."""


def hash_prefixes(prompt: str) -> list[bytes]:
    """Return a digest of each leading run of whole blocks, shortest first."""
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
    # JSON allows lone surrogates, which plain UTF-8 refuses.
    data = text.encode(errors="surrogatepass")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
