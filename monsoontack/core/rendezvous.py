"""Rendezvous hashing: every process ranks the same members in the same order.

A key is assigned to the member with the highest score. When a member leaves, only its
keys are reassigned; a member that joins takes an equal share of the keys of every
other member.
"""

from collections.abc import Iterable

import xxhash


def stable_hash(text: str) -> int:
    """Return a 64-bit hash of `text` that is the same in every process."""
    return xxhash.xxh64_intdigest(text.encode())


def score(key: int, member: str) -> int:
    """Return the 64-bit score of a member for the 64-bit `key`."""
    return xxhash.xxh64_intdigest(member.encode(), key)


def ranked(key: int, members: Iterable[str]) -> list[str]:
    """Return `members` sorted by their score for `key`, highest first."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)
