"""Object stores for tests of publishing: one records heads, one holds calls back."""

import asyncio
import random

from monsoontack.config.revision import (
    HEAD_KEY,
    Document,
    Head,
    chunk_key,
    decode_chunk,
    decode_head,
)
from monsoontack.store.faulty import FaultyStore
from monsoontack.store.memory import MemoryStore


class RecordingStore(MemoryStore):
    """Keeps every head that was written, and the objects of each revision."""

    def __init__(self) -> None:
        super().__init__()
        self.heads: list[Head] = []
        self.documents: dict[int, dict[tuple[str, str], Document]] = {}

    def _put(self, key, value):
        stored = super()._put(key, value)
        if key == HEAD_KEY:
            head = decode_head(value)
            self.heads.append(head)
            found = {}
            for digest in head.chunks.values():
                found |= {
                    (item["kind"], item["name"]): item
                    for item in decode_chunk(self.objects[chunk_key(digest)].value)
                    if "spec" in item
                }
            self.documents[head.revision] = found
        return stored


class BlockingStore(FaultyStore):
    """Holds calls of one method on keys with a prefix back until `released` is set."""

    def __init__(self, inner: MemoryStore, method: str, prefix: str) -> None:
        super().__init__(inner, random.Random(1))
        self.blocked, self.released = asyncio.Event(), asyncio.Event()
        held = getattr(self, method)

        async def gated(key, *arguments):
            if key.startswith(prefix):
                self.blocked.set()
                await self.released.wait()
            return await held(key, *arguments)

        setattr(self, method, gated)
