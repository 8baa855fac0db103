"""How many entries the deployment has, from one object of each in the store.

An entry writes its object at its first start under its name, and again if it finds
itself missing. Objects of entries that are gone stay for a while (`departures`), so
the number is rather too high than too low, which keeps the bounds that all share.
"""

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import structlog
from returns.result import Success

from monsoontack.gateway.peers import PeerEntry
from monsoontack.store.api import Conflict, KindObject, ObjectStore

log = structlog.get_logger("gateway.census")

ENTRIES_KIND = "entries"
RETRY_S = 2.0


@dataclass(slots=True)
class EntryList:
    """All entries by name; `on_change` hears of each change."""

    on_change: Callable[[dict[str, PeerEntry]], None]
    entries: dict[str, PeerEntry] = field(default_factory=dict)

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Take over a list."""
        self.entries = {item.name: _entry(item) for item in objects}
        self.on_change(self.entries)

    def changed(self, item: KindObject) -> None:
        """Take over a new entry."""
        self.entries[item.name] = _entry(item)
        self.on_change(self.entries)

    def removed(self, name: str, revision: int) -> None:
        """Forget an entry."""
        self.entries.pop(name, None)
        self.on_change(self.entries)

    def confirmed(self, at: float) -> None:
        """The list of entries may be old."""


def _entry(item: KindObject) -> PeerEntry:
    """Return an entry; one that cannot be read counts, but is no peer."""
    spec = item.spec if isinstance(item.spec, dict) else {}
    region, address = spec.get("region"), spec.get("peer")
    if not isinstance(region, str) or not isinstance(address, str):
        return PeerEntry(item.name, "", "", item.revision)
    return PeerEntry(item.name, region, address, item.revision)


@dataclass(slots=True)
class EntryRegistration:
    """Keeps this entry's object in the store."""

    own: PeerEntry
    missing: asyncio.Event = field(default_factory=asyncio.Event)
    was_listed: bool = False

    def entries_changed(self, entries: Mapping[str, PeerEntry]) -> None:
        """Notice that this entry was taken for gone."""
        if self.own.name in entries:
            self.was_listed = True
        elif self.was_listed:
            self.was_listed = False
            self.missing.set()

    async def run(self, store: ObjectStore) -> None:
        """Register, and again whenever this entry is missing, until cancelled."""
        while True:
            self.missing.clear()
            await register(store, self.own)
            await self.missing.wait()


async def register(store: ObjectStore, own: PeerEntry) -> None:
    """Write the object of this entry, unless it is there."""
    value = json.dumps({"region": own.region, "peer": own.address}).encode()
    key = f"{ENTRIES_KIND}/{own.name}"
    while True:
        result = await store.create(key, value)
        if isinstance(result, Success):
            break
        error = result.failure()
        current = error.current if isinstance(error, Conflict) else None
        if current is not None:
            if json.loads(current.value) == json.loads(value):
                break
            # A VM that was replaced has another address under the same name.
            if isinstance(await store.update(key, value, current.version), Success):
                break
        await asyncio.sleep(RETRY_S)
    log.info("entry is registered", name=own.name, peer=own.address)
