"""Control plane of an entry: store client, gossip, peer service and controller.

Example::

    control = Control.from_settings(settings, random.Random())
    config = control.gossip  # a `ConfigSource`
    await control.run()      # until cancelled
"""

import asyncio
import random
from collections.abc import Iterable

from monsoontack.controller.service import ControllerService
from monsoontack.core.clock import LoopClock
from monsoontack.core.records import VmRecord
from monsoontack.entry.gossip import Gossip
from monsoontack.entry.peers import GrpcPeers, make_peer_server
from monsoontack.entry.rolloutguard import EntryRolloutGuard
from monsoontack.settings.models import EntrySettings
from monsoontack.store.http import HttpStore

SERVER_STOP_GRACE_S = 0.5


class ControlPlane:
    """Connects the components that share state between entries."""

    def __init__(
        self, settings: EntrySettings, store: HttpStore, rng: random.Random
    ) -> None:
        clock = LoopClock()
        self.store = store
        self.peers = GrpcPeers()
        self.gossip = Gossip.from_settings(settings, store, self.peers, clock, rng)
        self.controller = ControllerService(store, self.gossip, clock, rng)
        self.server = make_peer_server(self.gossip, settings.peer_address)
        self.guard: EntryRolloutGuard | None = None

    @classmethod
    def from_settings(
        cls, settings: EntrySettings, rng: random.Random
    ) -> "ControlPlane":
        """Return the control plane; requires a running event loop."""
        return cls(settings, HttpStore.from_settings(settings), rng)

    def set_vms(self, records: Iterable[VmRecord]) -> None:
        """Apply the VM list; entries that are leaving need not confirm revisions."""
        live = [r for r in records if r.role == "entry" and r.state == "live"]
        self.controller.set_entries(live)

    async def run(self) -> None:
        """Run the peer server, gossip and the controller until cancelled."""
        await self.server.start()
        try:
            await asyncio.gather(self.gossip.run(), self.controller.run())
        finally:
            await self.server.stop(SERVER_STOP_GRACE_S)
            await self.peers.close()
            await self.store.close()

    async def release(self) -> None:
        """Release the controller lease; called at the start of a shutdown."""
        await self.controller.stop()

    def dump(self) -> dict:
        """Return the state of configuration and rollouts for the state dump."""
        state = self.gossip.state
        now = self.gossip.clock.now()
        return {
            "revision": state.head.revision,
            "ready": self.gossip.is_ready(now),
            "fresh": self.gossip.is_fresh(now),
            "lease_epoch": self.controller.lease.epoch(),
            "controller": state.controller.address,
            "neighbours": list(state.neighbours),
            "members": len(state.members),
            "stop_marks": sorted(state.stop_marks),
            "rollouts": self.guard.dump() if self.guard else {},
        }
