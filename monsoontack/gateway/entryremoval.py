"""Takes entries that are gone for good out of the list of entries.

Bounds that all entries share are divided by their number, so an entry that was
replaced under another name must not count for ever. The first entry of a region asks
the others in turn whether they live; the object of one that has been silent for long
is removed. It is removed under the condition that it was not written since, and an
entry that was only silent registers again when it finds itself missing.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import structlog
from returns.result import Failure

from monsoontack.core.rendezvous import ranked
from monsoontack.gateway.entryregistry import ENTRIES_KIND
from monsoontack.gateway.peers import PeerEntry
from monsoontack.gateway.readtree import READER_RANK_KEY
from monsoontack.store.api import ObjectStore

log = structlog.get_logger("gateway.departures")

# One entry is asked at a time, so that the work does not grow with the fleet; the 195
# entries of a region are asked within 400 s.
CHECK_S = 2.0
# An entry that is silent for this time is gone: restarts take seconds, and links
# between VMs come back within minutes.
GONE_AFTER_S = 300.0
# A failure domain, or the asking entry's own link, may be down for longer. If more
# than this part of a region is silent, its entries count for an hour.
MAX_SILENT_SHARE = 0.1
OUTAGE_S = 3600.0


@dataclass(slots=True)
class SilentEntryRemover:
    """Watches the entries of a region while this entry is the first of it.

    `is_alive` asks a peer. `silent_since` has when an entry first did not answer
    (loop's time).
    """

    name: str
    region: str
    store: ObjectStore
    is_alive: Callable[[PeerEntry], Awaitable[bool]]
    entries: Mapping[str, PeerEntry] = field(default_factory=dict)
    silent_since: dict[str, float] = field(default_factory=dict)
    asked: str = ""

    def set_entries(self, entries: Mapping[str, PeerEntry]) -> None:
        """Follow the list of entries."""
        self.entries = {n: e for n, e in entries.items() if e.region == self.region}
        self.silent_since = {
            n: at for n, at in self.silent_since.items() if n in self.entries
        }

    async def run(self) -> None:
        """Ask one entry after the other, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            peer = self._next()
            if peer is not None:
                await self._check(peer)

    def _next(self) -> PeerEntry | None:
        """Return the entry to ask next, None unless this one is the first."""
        if ranked(READER_RANK_KEY, {*self.entries, self.name})[0] != self.name:
            self.silent_since.clear()
            return None
        others = sorted(set(self.entries) - {self.name})
        if not others:
            return None
        self.asked = next((n for n in others if n > self.asked), others[0])
        return self.entries[self.asked]

    async def _check(self, peer: PeerEntry) -> None:
        now = asyncio.get_running_loop().time
        if await self.is_alive(peer):
            self.silent_since.pop(peer.name, None)
            return
        silent_s = now() - self.silent_since.setdefault(peer.name, now())
        is_outage = len(self.silent_since) > max(
            MAX_SILENT_SHARE * len(self.entries), 1
        )
        if silent_s >= (OUTAGE_S if is_outage else GONE_AFTER_S):
            await self._remove(peer, silent_s)

    async def _remove(self, peer: PeerEntry, silent_s: float) -> None:
        result = await self.store.delete(f"{ENTRIES_KIND}/{peer.name}", peer.revision)
        error = None
        if isinstance(result, Failure):
            error = type(result.failure()).__name__
        log.warning(
            "entry is gone",
            name=peer.name,
            silent_s=round(silent_s),
            removed=error is None,
            error=error,
        )
