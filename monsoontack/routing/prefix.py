"""Index of the prompt prefixes that backend servers probably hold in their cache.

The index merges two sources: the servers' cache events, which arrive late and with
gaps, and this entry's own requests, which are known at once. The blocks of an own
request count as stored until an event contradicts them or newer blocks displace
them. A gap in the events may hide evictions, but the blocks known before the gap are
kept: a wrong guess costs only a recomputed prefix, whereas dropping the blocks lost
more cache hits than using no events at all (docs/routing.md).
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

MAX_BLOCKS_PER_SERVER = 4096


@dataclass(slots=True, repr=False)
class ServerCache:
    """Blocks that one server probably holds, least recently used first."""

    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    sequence: int | None = None


@dataclass(slots=True, repr=False)
class PrefixIndex:
    """Probable cache contents of all linked servers.

    `holders` maps a block hash to the addresses of the servers that probably hold
    the block. `gap_count` counts gaps in the sequences of events, `repeated_events`
    events that arrived late or repeatedly.
    """

    max_blocks: int = MAX_BLOCKS_PER_SERVER
    servers: dict[str, ServerCache] = field(default_factory=dict)
    holders: dict[int, set[str]] = field(default_factory=dict)
    gap_count: int = 0
    repeated_events: int = 0

    def note_sent(self, address: str, blocks: Sequence[int]) -> None:
        """Record that a request with these prefix blocks was sent to a server."""
        self._add_blocks(address, blocks)

    def apply(
        self, address: str, sequence: int, kind: str, blocks: Sequence[int]
    ) -> None:
        """Apply one cache event: `stored`, `evicted` or `cleared`.

        `sequence` is the number of the event at its server; a repeated or late event
        has no effect.
        """
        cache = self.servers.setdefault(address, ServerCache())
        if cache.sequence is not None and sequence <= cache.sequence:
            self.repeated_events += 1
            return
        if cache.sequence is not None and sequence > cache.sequence + 1:
            self.gap_count += 1
        cache.sequence = sequence
        if kind == "stored":
            self._add_blocks(address, blocks)
        elif kind == "evicted":
            self._remove_blocks(address, blocks)
        elif kind == "cleared":
            self._remove_blocks(address, list(cache.blocks))

    def forget(self, address: str) -> None:
        """Remove a server that left or restarted."""
        cache = self.servers.get(address)
        if cache is not None:
            self._remove_blocks(address, list(cache.blocks))
            del self.servers[address]

    def longest_match(self, blocks: Sequence[int], candidates: set[str]) -> set[str]:
        """Return the servers of `candidates` that hold the longest prefix, if any.

        `blocks` are hashes of increasingly long prefixes, so the last block that a
        server holds identifies the whole match.
        """
        for block in reversed(blocks):
            found = self.holders.get(block)
            if found is not None and not found.isdisjoint(candidates):
                return found & candidates
        return set()

    def _add_blocks(self, address: str, blocks: Sequence[int]) -> None:
        cache = self.servers.setdefault(address, ServerCache())
        # The longest prefix becomes the oldest, since engines evict from the end.
        for block in reversed(blocks):
            cache.blocks[block] = None
            cache.blocks.move_to_end(block)
            self.holders.setdefault(block, set()).add(address)
        while len(cache.blocks) > self.max_blocks:
            oldest, _ = cache.blocks.popitem(last=False)
            self._remove_holder(address, oldest)

    def _remove_blocks(self, address: str, blocks: Sequence[int]) -> None:
        cache = self.servers[address]
        for block in blocks:
            if cache.blocks.pop(block, 0) is None:
                self._remove_holder(address, block)

    def _remove_holder(self, address: str, block: int) -> None:
        found = self.holders[block]
        found.discard(address)
        if not found:
            del self.holders[block]
