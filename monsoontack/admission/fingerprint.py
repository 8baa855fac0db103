"""Recognises a request that comes again, whichever entry it reaches."""

from collections.abc import Iterable

import xxhash

# Bytes that hold the length of a field.
LENGTH_BYTES = 8


def request_fingerprint(fields: Iterable[bytes]) -> str:
    """Return a hash of the fields of a request, of the same length for all requests.

    Each field is hashed with its length, so that no byte may move to the next.
    """
    found = xxhash.xxh3_128()
    for value in fields:
        found.update(len(value).to_bytes(LENGTH_BYTES, "big"))
        found.update(value)
    return found.hexdigest()
