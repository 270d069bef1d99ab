"""Rendezvous hashing and digests."""

import hashlib
from collections.abc import Iterable
from typing import TypeVar

Member = TypeVar("Member", bound=str)


def rank_by_rendezvous(key: str, members: Iterable[Member]) -> list[Member]:
    """Order members by their rendezvous weight for a key, highest first.

    Adding or removing one member moves only the keys that rank it first.

    :param key: what is placed.
    :param members: candidates.
    :returns: all members, the preferred one first.
    """
    seed = hashlib.blake2b(key.encode(), digest_size=16).digest()

    def weigh(member: Member) -> bytes:
        return hashlib.blake2b(member.encode(), key=seed, digest_size=8).digest()

    return sorted(members, key=weigh, reverse=True)


def hash_secret(secret: str) -> str:
    """Return the SHA-256 digest of a random key, in hexadecimal.

    Keys are random and long, so a slow password hash would add cost and no safety.
    """
    return hashlib.sha256(secret.encode()).hexdigest()
