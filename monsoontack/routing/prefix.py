"""Which backend servers probably hold which prompt prefixes in their cache.

Two sources are merged: the server's cache events, which come late and with
gaps, and this entry's own requests, which are known at once. An own request
counts as stored until events contradict it or newer blocks push it out. A gap in
the events may hide evictions, but blocks known before it are kept: a wrong guess
costs only a recomputed prefix, and forgetting them lost more hits than using no
events at all (docs/routing.md).
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

MAX_BLOCKS_PER_SERVER = 4096


@dataclass(slots=True)
class ServerCache:
    """Blocks one server probably holds, least recently used first."""

    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    sequence: int | None = None


@dataclass(slots=True)
class PrefixView:
    """Probable cache contents of all linked servers.

    `holders` maps a block hash to the addresses that probably hold it. `gaps`
    and `stale` count missed and repeated events.
    """

    max_blocks: int = MAX_BLOCKS_PER_SERVER
    servers: dict[str, ServerCache] = field(default_factory=dict)
    holders: dict[int, set[str]] = field(default_factory=dict)
    gaps: int = 0
    stale: int = 0

    def note_sent(self, address: str, blocks: Sequence[int]) -> None:
        """Remember that a request with these prefix blocks went to a server."""
        self._store(address, blocks)

    def apply(
        self, address: str, sequence: int, kind: str, blocks: Sequence[int]
    ) -> None:
        """Apply one cache event: `stored`, `evicted` or `cleared`.

        `sequence` counts the server's events; a repeated one has no effect.
        """
        cache = self.servers.setdefault(address, ServerCache())
        if cache.sequence is not None and sequence <= cache.sequence:
            self.stale += 1
            return
        if cache.sequence is not None and sequence > cache.sequence + 1:
            self.gaps += 1
        cache.sequence = sequence
        if kind == "stored":
            self._store(address, blocks)
        elif kind == "evicted":
            self._drop(address, blocks)
        elif kind == "cleared":
            self._drop(address, list(cache.blocks))

    def forget(self, address: str) -> None:
        """Drop a server that has left or restarted."""
        cache = self.servers.get(address)
        if cache is not None:
            self._drop(address, list(cache.blocks))
            del self.servers[address]

    def longest_match(self, blocks: Sequence[int], among: set[str]) -> set[str]:
        """Return the servers of `among` that hold the longest prefix, if any.

        `blocks` are hashes of ever longer prefixes, so the last one that a
        server holds stands for the whole match.
        """
        for block in reversed(blocks):
            found = self.holders.get(block)
            if found is not None and not found.isdisjoint(among):
                return found & among
        return set()

    def _store(self, address: str, blocks: Sequence[int]) -> None:
        cache = self.servers.setdefault(address, ServerCache())
        # The longest prefix is marked as oldest: engines evict from the end.
        for block in reversed(blocks):
            cache.blocks[block] = None
            cache.blocks.move_to_end(block)
            self.holders.setdefault(block, set()).add(address)
        while len(cache.blocks) > self.max_blocks:
            oldest, _ = cache.blocks.popitem(last=False)
            self._unlink(address, oldest)

    def _drop(self, address: str, blocks: Sequence[int]) -> None:
        cache = self.servers[address]
        for block in blocks:
            if cache.blocks.pop(block, 0) is None:
                self._unlink(address, block)

    def _unlink(self, address: str, block: int) -> None:
        found = self.holders[block]
        found.discard(address)
        if not found:
            del self.holders[block]
