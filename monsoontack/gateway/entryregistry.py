"""Registry of the deployment's entries, with one object per entry in the store.

An entry (a gateway process) writes an object under its name at its first start, and
again whenever the list has no such object or one of another writer. The object of a
dead entry stays for a while until `monsoontack.gateway.entryremoval` removes it, so
the number of entries is too high rather than too low, and bounds that are divided by it
are not exceeded.
"""

import asyncio
import json
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import structlog
from returns.result import Success

from monsoontack.core.address import parse_address
from monsoontack.gateway.peers import PeerEntry
from monsoontack.store.api import Conflict, KindObject, ObjectStore
from monsoontack.store.eras import era_of

log = structlog.get_logger("gateway.census")

ENTRIES_KIND = "entries"
REGISTRATION_RETRY_S = 2.0
# Entries that a restored store has lost write themselves again at this rate, all
# together: a quarter of what the smallest store takes.
REGISTRATIONS_PER_S = 100.0
# Two processes may have the same name for a while, and each replaces the other's
# record. The pause before that doubles up to the maximum, and is short again after some
# time without a replacement, which is longer than two pauses.
MAX_REPLACEMENT_PAUSE_S = 60.0
REPLACEMENTS_MEMORY_S = 300.0
# Entries that were known before a restoration count as known for this time: they
# notice it within a watch of the list, and write themselves again in their turn.
KEPT_AFTER_RESTORATION_S = 30.0


@dataclass(slots=True, repr=False)
class EntryList:
    """Listener that holds all entries by name and calls `on_change` at each change.

    `listed` are the entries in the store. `kept` are those that a restored store has
    lost; they count as known until `kept_until` (event loop's clock), since they are
    most likely alive and bounds are divided by their number.
    """

    on_change: Callable[["EntryList"], None]
    listed: dict[str, PeerEntry] = field(default_factory=dict)
    kept: dict[str, PeerEntry] = field(default_factory=dict)
    kept_until: float = 0.0
    era: int = 0

    @property
    def entries(self) -> dict[str, PeerEntry]:
        """Return all entries that count as known."""
        return self.kept | self.listed

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Replace all entries with a complete list."""
        before, self.listed = (
            self.entries,
            {item.name: _entry(item) for item in objects},
        )
        if era_of(revision) > self.era and before:
            self.kept = {n: e for n, e in before.items() if n not in self.listed}
            self.kept_until = self.now() + KEPT_AFTER_RESTORATION_S
        self.era = era_of(revision)
        self._changed()

    def changed(self, item: KindObject) -> None:
        """Add or update an entry."""
        self.listed[item.name] = _entry(item)
        self._changed()

    def removed(self, name: str, revision: int) -> None:
        """Remove an entry."""
        self.listed.pop(name, None)
        self.kept.pop(name, None)
        self._changed()

    def confirmed(self, at: float) -> None:
        """Drop the kept entries in time; an old list of entries may still be used."""
        if self.kept and self.now() >= self.kept_until:
            self._changed()

    def _changed(self) -> None:
        if self.now() >= self.kept_until:
            self.kept = {}
        self.on_change(self)


def _entry(item: KindObject) -> PeerEntry:
    """Decode an entry.

    An entry with a malformed object counts towards the number of entries, but has no
    address and is not used as a peer.
    """
    spec = item.spec if isinstance(item.spec, dict) else {}
    region, address = spec.get("region"), spec.get("peer")
    try:
        if not isinstance(region, str) or not isinstance(address, str):
            raise ValueError("no region or no address")
        parse_address(address)
    except ValueError as error:
        log.warning(
            "malformed record of an entry; not used as a peer",
            name=f"{item.name!a:.80}",
            error=str(error),
        )
        return PeerEntry(item.name, "", "", item.revision)
    return PeerEntry(item.name, region, address, item.revision)


@dataclass(slots=True, repr=False)
class EntryRegistration:
    """Keeps this entry's object in the store.

    `unlisted` is set when the entry disappears from a list that contained it, or has
    another region or address there than its own. Then it waits for a random part of the
    time that `fleet_size` entries may take together.

    `foreign_revision` is the revision of the last record of another writer under the
    name of this entry, None while the list has its own or none. `replacements` counts
    the recent ones that it replaced, the last at `replaced_at` (event loop's clock).
    While `draining`, it leaves the name to the other writer.
    """

    own_entry: PeerEntry
    rng: random.Random = field(default_factory=random.Random)
    fleet_size: int = 1
    unlisted: asyncio.Event = field(default_factory=asyncio.Event)
    was_listed: bool = False
    draining: bool = False
    foreign_revision: int | None = None
    replacements: int = 0
    replaced_at: float = -math.inf

    def entries_changed(
        self, entries: Mapping[str, PeerEntry], fleet_size: int
    ) -> None:
        """Set `unlisted` if this entry's object is missing or not its own.

        A foreign record counts once by its revision, since the list may be older than
        the own record.
        """
        self.fleet_size = fleet_size
        listed = entries.get(self.own_entry.name)
        if listed == self.own_entry:
            self.was_listed, self.foreign_revision = True, None
            return
        if listed is None:
            must_register = self.was_listed
            self.foreign_revision = None
        else:
            is_new = listed.revision != self.foreign_revision
            must_register = is_new and not self.draining
            self.foreign_revision = listed.revision
        self.was_listed = False
        if must_register:
            self.unlisted.set()

    async def run(self, store: ObjectStore) -> None:
        """Register, and again whenever `unlisted` is set, until cancelled."""
        while True:
            self.unlisted.clear()
            await register_entry(store, self.own_entry, self.rng)
            await self.unlisted.wait()
            wait_s = self.rng.uniform(0.0, self.fleet_size / REGISTRATIONS_PER_S)
            if self.foreign_revision is not None:
                wait_s += self._replacement_pause_s(asyncio.get_running_loop().time())
            log.info(
                "entry is not listed any more",
                registers_in_s=round(wait_s, 2),
                has_foreign_record=self.foreign_revision is not None,
            )
            await asyncio.sleep(wait_s)

    def _replacement_pause_s(self, now: float) -> float:
        """Return the additional seconds before a foreign record is replaced."""
        if now - self.replaced_at > REPLACEMENTS_MEMORY_S:
            self.replacements = 0
        self.replacements += 1
        self.replaced_at = now
        if self.replacements == 1:
            return 0.0
        longest_s = REGISTRATION_RETRY_S * 2 ** min(self.replacements - 1, 10)
        return min(longest_s, MAX_REPLACEMENT_PAUSE_S) * self.rng.uniform(0.5, 1.0)


async def register_entry(
    store: ObjectStore, own_entry: PeerEntry, rng: random.Random
) -> None:
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
        await asyncio.sleep(REGISTRATION_RETRY_S * rng.uniform(0.5, 1.5))
    log.info("entry registered", name=own_entry.name, peer=own_entry.address)
