"""How many entries the deployment has, from one object of each in the store.

An entry writes its object once, at its first start under its name. Objects of
entries that are gone for good stay, so the number is rather too high than too
low, which keeps the bounds that all entries share.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
from returns.result import Success

from monsoontack.store.api import Conflict, KindObject, ObjectStore

log = structlog.get_logger("gateway.census")

ENTRIES_KIND = "entries"
RETRY_S = 2.0


@dataclass(slots=True)
class Census:
    """Names of all entries; `on_change` hears their number."""

    on_change: Callable[[int], None]
    names: set[str] = field(default_factory=set)

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Take over a list."""
        self.names = {item.name for item in objects}
        self.on_change(len(self.names))

    def changed(self, item: KindObject) -> None:
        """Take over a new entry."""
        self.names.add(item.name)
        self.on_change(len(self.names))

    def removed(self, name: str, revision: int) -> None:
        """Forget an entry."""
        self.names.discard(name)
        self.on_change(len(self.names))

    def confirmed(self, at: float) -> None:
        """The number of entries may be old."""


async def register(store: ObjectStore, name: str, failure_domain: str) -> None:
    """Write the object of this entry, unless it exists; then wait for ever."""
    value = json.dumps({"failure_domain": failure_domain}).encode()
    while True:
        result = await store.create(f"{ENTRIES_KIND}/{name}", value)
        if isinstance(result, Success) or isinstance(result.failure(), Conflict):
            break
        await asyncio.sleep(RETRY_S)
    log.info("entry is registered", name=name)
    await asyncio.Event().wait()
