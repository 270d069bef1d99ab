"""Rendezvous hashing, consistent hashing and digests."""

import bisect
import hashlib
from collections.abc import Iterable
from typing import Generic, TypeVar

from hibiscustiller.utils._ids import Fingerprint

Member = TypeVar("Member", bound=str)


def rank_by_rendezvous(key: str, members: Iterable[Member]) -> list[Member]:
    """Sort members by their rendezvous hash for a key, highest first.

    Adding or removing a member reassigns only the keys that rank it first.

    :param key: key to assign to a member.
    :param members: candidate members.
    :returns: all members, in order of preference.
    """
    key_digest = hashlib.blake2b(key.encode(), digest_size=16).digest()

    def compute_weight(member: Member) -> bytes:
        return hashlib.blake2b(member.encode(), key=key_digest, digest_size=8).digest()

    return sorted(members, key=compute_weight, reverse=True)


class HashRing(Generic[Member]):
    """Consistent-hash ring that selects a few members for each of many keys.

    It is cheaper than ``rank_by_rendezvous``, which hashes every pair of a key and a
    member.

    :param members: candidate members.
    """

    def __init__(self, members: Iterable[Member]) -> None:
        self._points = sorted((_hash_point(member), member) for member in members)

    def choose(self, key: str, count: int) -> list[Member]:
        """Return up to ``count`` members that follow a key on the ring."""
        points = self._points
        start = bisect.bisect(points, (_hash_point(key),))
        count = min(count, len(points))
        return [points[(start + offset) % len(points)][1] for offset in range(count)]


def _hash_point(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def compute_fingerprint(*parts: bytes) -> Fingerprint:
    """Return a hash that identifies a request across its attempts.

    :param parts: data that all attempts of the request share. Each part is hashed with
        its length, so the same bytes split differently give a different hash.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return Fingerprint(digest.hexdigest())


def hash_secret(secret: str) -> str:
    """Return the SHA-256 digest of a secret key, in hexadecimal.

    Keys are long and random, so a slow password hash would add cost but no security.
    """
    return hashlib.sha256(secret.encode()).hexdigest()
