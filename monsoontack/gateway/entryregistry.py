"""Registry of the deployment's entries, with one object per entry in the store.

An entry (a gateway process) writes an object under its name at its first start, and
again whenever the list no longer contains it. The object of a dead entry stays for a
while until `monsoontack.gateway.entryremoval` removes it, so the number of entries is
too high rather than too low, and bounds that are divided by it are not exceeded.
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
REGISTRATION_RETRY_S = 2.0


@dataclass(slots=True)
class EntryList:
    """Listener that holds all entries by name and calls `on_change` at each change."""

    on_change: Callable[[dict[str, PeerEntry]], None]
    entries: dict[str, PeerEntry] = field(default_factory=dict)

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Replace all entries with a complete list."""
        self.entries = {item.name: _entry(item) for item in objects}
        self.on_change(self.entries)

    def changed(self, item: KindObject) -> None:
        """Add or update an entry."""
        self.entries[item.name] = _entry(item)
        self.on_change(self.entries)

    def removed(self, name: str, revision: int) -> None:
        """Remove an entry."""
        self.entries.pop(name, None)
        self.on_change(self.entries)

    def confirmed(self, at: float) -> None:
        """Ignore the confirmation: an old list of entries may still be used."""


def _entry(item: KindObject) -> PeerEntry:
    """Decode an entry.

    An entry with a malformed object counts towards the number of entries, but has no
    address and is not used as a peer.
    """
    spec = item.spec if isinstance(item.spec, dict) else {}
    region, address = spec.get("region"), spec.get("peer")
    if not isinstance(region, str) or not isinstance(address, str):
        return PeerEntry(item.name, "", "", item.revision)
    return PeerEntry(item.name, region, address, item.revision)


@dataclass(slots=True)
class EntryRegistration:
    """Keeps this entry's object in the store.

    `unlisted` is set when the entry disappears from a list that contained it.
    """

    own_entry: PeerEntry
    unlisted: asyncio.Event = field(default_factory=asyncio.Event)
    was_listed: bool = False

    def entries_changed(self, entries: Mapping[str, PeerEntry]) -> None:
        """Set `unlisted` if another entry has removed this entry's object."""
        if self.own_entry.name in entries:
            self.was_listed = True
        elif self.was_listed:
            self.was_listed = False
            self.unlisted.set()

    async def run(self, store: ObjectStore) -> None:
        """Register, and again whenever `unlisted` is set, until cancelled."""
        while True:
            self.unlisted.clear()
            await register_entry(store, self.own_entry)
            await self.unlisted.wait()


async def register_entry(store: ObjectStore, own_entry: PeerEntry) -> None:
    """Write this entry's object unless the store has it; retry until it succeeds."""
    value = json.dumps({"region": own_entry.region, "peer": own_entry.address}).encode()
    key = f"{ENTRIES_KIND}/{own_entry.name}"
    while True:
        result = await store.create(key, value)
        if isinstance(result, Success):
            break
        error = result.failure()
        current = error.current if isinstance(error, Conflict) else None
        if current is not None:
            if json.loads(current.value) == json.loads(value):
                break
            # A replaced VM has another address under the same name.
            if isinstance(await store.update(key, value, current.version), Success):
                break
        await asyncio.sleep(REGISTRATION_RETRY_S)
    log.info("entry registered", name=own_entry.name, peer=own_entry.address)
