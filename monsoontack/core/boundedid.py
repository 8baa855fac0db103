"""Ids that callers choose, in the form in which they are remembered.

A count of remembered ids bounds memory only if each of them has a bounded size.
"""

import xxhash

# Longer ids are replaced by a hash of 32 characters.
MAX_ID_CHARACTERS = 64


def bounded_id(text: str) -> str:
    """Return an id of at most `MAX_ID_CHARACTERS` that stands for `text`."""
    return text if len(text) <= MAX_ID_CHARACTERS else hashed_id(text)


def hashed_id(text: str) -> str:
    """Return the hash that stands for an id."""
    return xxhash.xxh3_128_hexdigest(text.encode())
