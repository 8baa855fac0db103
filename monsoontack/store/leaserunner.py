"""Carries out the lease state machine against an object store."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable

from monsoontack.core.clock import Clock
from monsoontack.store.api import ObjectStore
from monsoontack.store.lease import (
    CONTROLLER_LEASE,
    RETRY_INTERVAL_S,
    Acquired,
    LeaseEvent,
    LeaseState,
    Lost,
    RankChanged,
    ReadDone,
    ReadLease,
    Release,
    Tick,
    WriteDone,
    WriteLease,
    candidate_rank,
    step,
)


class LeaseRunner:
    """Keeps trying to hold a lease and reports when it is gained or lost.

    `on_change` receives the epoch when the lease is gained and None when it is
    lost. The epoch must be asked for again before each use, with `epoch()`.
    """

    def __init__(
        self,
        store: ObjectStore,
        state: LeaseState,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[int | None], None] = lambda epoch: None,
        key: str = CONTROLLER_LEASE,
    ) -> None:
        self.store = store
        self.state = state
        self.clock = clock
        self.rng = rng
        self.on_change = on_change
        self.key = key
        self.requests: set[asyncio.Task] = set()
        self.changed = asyncio.Event()

    @classmethod
    def from_name(
        cls, name: str, store: ObjectStore, clock: Clock, rng: random.Random, **options
    ) -> "LeaseRunner":
        """Return a runner of one life of the process `name`."""
        token = f"{rng.getrandbits(128):032x}"
        return cls(store, LeaseState(name, token), clock, rng, **options)

    def epoch(self) -> int | None:
        """Return the fencing epoch if the lease is held now, else None."""
        return self.state.held_epoch(self.clock.now())

    def set_fleet(self, names: Iterable[str]) -> None:
        """Take in the names of all live processes."""
        live = set(names) | {self.state.name}
        rank = candidate_rank(self.state.name, live, self.key)
        self.apply(RankChanged(rank, len(live)))

    def apply(self, event: LeaseEvent) -> None:
        """Pass one event to the state machine and carry out its actions."""
        self.state, actions = step(self.state, event, self.clock.now(), self.rng)
        for action in actions:
            if isinstance(action, Acquired):
                self.on_change(action.epoch)
            elif isinstance(action, Lost):
                self.on_change(None)
            else:
                task = asyncio.ensure_future(self._request(action))
                self.requests.add(task)
                task.add_done_callback(self.requests.discard)
        self.changed.set()

    async def _request(self, action: ReadLease | WriteLease) -> None:
        if isinstance(action, ReadLease):
            self.apply(ReadDone(await self.store.get(self.key)))
        elif action.version:
            result = await self.store.update(self.key, action.value, action.version)
            self.apply(WriteDone(result))
        else:
            self.apply(WriteDone(await self.store.create(self.key, action.value)))

    async def run(self) -> None:
        """Hold or wait for the lease until cancelled."""
        while True:
            self.changed.clear()
            self.apply(Tick())
            self.changed.clear()
            await self._wait(self.state.wake_at() - self.clock.now())

    async def _wait(self, delay_s: float) -> None:
        timeout_s = None if math.isinf(delay_s) else max(delay_s, 0.0)
        try:
            await asyncio.wait_for(self.changed.wait(), timeout_s)
        except TimeoutError:
            pass

    async def release(self, timeout_s: float = 2 * RETRY_INTERVAL_S) -> None:
        """Stop holding at once and free the record, waiting up to `timeout_s`.

        `run` must still be running, so that refused writes are repeated.
        """
        self.apply(Release())
        deadline = self.clock.now() + timeout_s
        while self.state.next_at < math.inf and self.clock.now() < deadline:
            await self.clock.sleep(RETRY_INTERVAL_S / 10)
