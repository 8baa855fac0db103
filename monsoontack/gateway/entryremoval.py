"""Removes the objects of dead entries from the list of entries.

Bounds that all entries share are divided by the number of entries, so an entry that
was replaced under another name must not be counted forever. The first-ranked entry of
each region probes the other entries of the region in turn and removes the object of an
entry that has not answered for a long time. The delete is conditional on the revision
that was listed, so an entry that has registered again since is kept. An entry that was
removed although it was only unreachable registers again when the list no longer
contains it.
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

# Only one entry is probed at a time, so that the probe rate does not grow with the
# fleet. The 195 entries of a region are probed within 400 s.
CHECK_INTERVAL_S = 2.0
# An entry that does not answer for this time is considered dead: restarts take seconds,
# and links between VMs recover within minutes.
REMOVE_AFTER_S = 300.0
# A failure domain, or the link of the probing entry itself, may be down for longer. If
# more than this share of a region does not answer, its entries are kept for an hour.
MAX_SILENT_SHARE = 0.1
OUTAGE_REMOVE_AFTER_S = 3600.0


@dataclass(slots=True, repr=False)
class SilentEntryRemover:
    """Probes the entries of a region while this entry ranks first in it.

    `is_alive` probes a peer. `silent_since` holds, by entry name, the loop time of the
    first of the consecutive failed probes. `last_checked` is the name of the entry that
    was probed last.
    """

    name: str
    region: str
    store: ObjectStore
    is_alive: Callable[[PeerEntry], Awaitable[bool]]
    entries: Mapping[str, PeerEntry] = field(default_factory=dict)
    silent_since: dict[str, float] = field(default_factory=dict)
    last_checked: str = ""

    def set_entries(self, entries: Mapping[str, PeerEntry]) -> None:
        """Replace the entries; keep only those of this region."""
        self.entries = {n: e for n, e in entries.items() if e.region == self.region}
        self.silent_since = {
            n: at for n, at in self.silent_since.items() if n in self.entries
        }

    async def run(self) -> None:
        """Probe one entry after another, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            peer = self._next_to_check()
            if peer is not None:
                await self._check(peer)

    def _next_to_check(self) -> PeerEntry | None:
        """Return the entry to probe next, or None if this entry does not rank first."""
        if ranked(READER_RANK_KEY, {*self.entries, self.name})[0] != self.name:
            self.silent_since.clear()
            return None
        others = sorted(set(self.entries) - {self.name})
        if not others:
            return None
        self.last_checked = next(
            (n for n in others if n > self.last_checked), others[0]
        )
        return self.entries[self.last_checked]

    async def _check(self, peer: PeerEntry) -> None:
        now = asyncio.get_running_loop().time
        if await self.is_alive(peer):
            self.silent_since.pop(peer.name, None)
            return
        silent_s = now() - self.silent_since.setdefault(peer.name, now())
        is_outage = len(self.silent_since) > max(
            MAX_SILENT_SHARE * len(self.entries), 1
        )
        if silent_s >= (OUTAGE_REMOVE_AFTER_S if is_outage else REMOVE_AFTER_S):
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
