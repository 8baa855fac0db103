"""The part of a prompt that other requests may share, and whose request it is."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

# Ids of parts come from callers. Longer ones are replaced by a hash.
MAX_PART_CHARACTERS = 64
# Parts kept of one prompt. Prompts have few parts that others share.
MAX_PARTS = 32


@dataclass(frozen=True, slots=True)
class RequestContent:
    """The ids of the parts of a prompt, without the last one, and the client account.

    The last part belongs to the request alone. The account is empty on a route that
    needs no key.
    """

    account: str
    parts: tuple[str, ...]

    @classmethod
    def from_ids(cls, account: str, ids: Iterable[str]) -> "RequestContent":
        """Return the shared part of a prompt with these part ids, in their order."""
        shared = [_bounded(part) for part in ids][:-1]
        return cls(_bounded(account), tuple(dict.fromkeys(shared))[:MAX_PARTS])


def _bounded(text: str) -> str:
    if len(text) <= MAX_PART_CHARACTERS:
        return text
    return xxhash.xxh3_128_hexdigest(text.encode())
