"""Rendezvous hashing: every process ranks the same members in the same order.

A key belongs to the member with the highest score. When a member leaves, only
its keys move; when one joins, it takes an equal part of every other's keys.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

MASK = (1 << 64) - 1
# Odd multipliers of the SplitMix64 finaliser (Steele, Lea and Flood, 2014).
MULTIPLIER_1 = 0xBF58476D1CE4E5B9
MULTIPLIER_2 = 0x94D049BB133111EB


@lru_cache(maxsize=8192)
def stable_hash(text: str) -> int:
    """Return a 64-bit hash of `text` that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def score(key: int, member: str) -> int:
    """Return the 64-bit score of a member for the 64-bit `key`."""
    mixed = (key ^ stable_hash(member)) & MASK
    mixed = ((mixed ^ (mixed >> 30)) * MULTIPLIER_1) & MASK
    mixed = ((mixed ^ (mixed >> 27)) * MULTIPLIER_2) & MASK
    return mixed ^ (mixed >> 31)


def ranked(key: int, members: Iterable[str]) -> list[str]:
    """Return `members` from the highest score for `key` to the lowest."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)
