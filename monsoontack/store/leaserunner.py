"""Runs the lease state machine against an object store."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable

import structlog

from monsoontack.core.clock import Clock
from monsoontack.store.api import EraStore, ObjectStore
from monsoontack.store.lease import (
    CONTROLLER_LEASE,
    RETRY_INTERVAL_S,
    LeaseAcquired,
    LeaseEvent,
    LeaseLost,
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
from monsoontack.store.leasestate import LeaseState

log = structlog.get_logger("store.lease")

# A timer that is due within the clock's resolution ends before its time has come, so
# the loop would tick again and again without any effect.
MIN_WAIT_S = 0.001


class LeaseRunner:
    """Competes for a lease, renews it and reports when it is acquired or lost.

    `on_change` is called with the epoch when the lease is acquired and with None when
    it is lost. Callers must call `epoch()` again before each use of the epoch.
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
        self.state_changed = asyncio.Event()

    @classmethod
    def from_name(
        cls, name: str, store: ObjectStore, clock: Clock, rng: random.Random, **options
    ) -> "LeaseRunner":
        """Return a runner for the process `name` with a new random token."""
        token = f"{rng.getrandbits(128):032x}"
        return cls(store, LeaseState(name, token), clock, rng, **options)

    def epoch(self) -> int | None:
        """Return the fencing epoch if this process holds the lease now, else None."""
        return self.state.held_epoch(self.clock.now())

    def set_live_processes(self, names: Iterable[str]) -> None:
        """Set the names of all live processes, which determine the rank."""
        live = set(names) | {self.state.name}
        rank = candidate_rank(self.state.name, live, self.key)
        self.apply(RankChanged(rank, len(live)))

    def apply(self, event: LeaseEvent) -> None:
        """Pass one event to the state machine and execute its actions."""
        before = self.state
        self.state, actions = step(before, event, self.clock.now(), self.rng)
        self._log_changes(before)
        for action in actions:
            if isinstance(action, LeaseAcquired):
                self.on_change(action.epoch)
            elif isinstance(action, LeaseLost):
                self.on_change(None)
            else:
                task = asyncio.ensure_future(self._execute(action))
                self.requests.add(task)
                task.add_done_callback(self.requests.discard)
        self.state_changed.set()

    def _log_changes(self, before: LeaseState) -> None:
        """Log what an incident with two holders, or none, is traced by."""
        state = self.state
        if state.unknown_until > before.unknown_until:
            log.warning(
                "lease may be held by a record that the store has lost",
                lease=self.key,
                era=state.era,
                wait_s=round(state.unknown_until - self.clock.now(), 2),
            )
        if state.epoch and not before.epoch:
            log.info("lease acquired", lease=self.key, epoch=state.epoch)
        elif before.epoch and not state.epoch:
            log.info("lease lost", lease=self.key, epoch=before.epoch)

    async def _execute(self, action: ReadLease | WriteLease) -> None:
        if isinstance(action, ReadLease):
            self.apply(ReadDone(await self.store.get(self.key)))
        elif action.version:
            result = await self.store.update(self.key, action.value, action.version)
            self.apply(WriteDone(result))
        else:
            self.apply(WriteDone(await self.store.create(self.key, action.value)))

    async def run(self) -> None:
        """Compete for the lease and renew it until cancelled."""
        seen = self.store.era_seen() if isinstance(self.store, EraStore) else None
        if seen is not None:
            self.state = self.state.with_era(seen.era, seen.seen_at)
        while True:
            self.state_changed.clear()
            self.apply(Tick())
            self.state_changed.clear()
            await self._wait(self.state.wake_at() - self.clock.now())

    async def _wait(self, delay_s: float) -> None:
        timeout_s = None if math.isinf(delay_s) else max(delay_s, MIN_WAIT_S)
        try:
            await asyncio.wait_for(self.state_changed.wait(), timeout_s)
        except TimeoutError:
            pass

    async def release(self, timeout_s: float = 2 * RETRY_INTERVAL_S) -> None:
        """Step down at once and release the record, waiting up to `timeout_s`.

        `run` must still be running, because it retries refused writes.
        """
        self.apply(Release())
        deadline = self.clock.now() + timeout_s
        while self.state.next_request_at < math.inf and self.clock.now() < deadline:
            await self.clock.sleep(RETRY_INTERVAL_S / 10)
