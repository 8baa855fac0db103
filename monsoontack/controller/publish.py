"""Carries out the publisher state machine while the controller lease is held."""

import asyncio
import random
from collections.abc import Callable, Mapping

import structlog

from monsoontack.config.operations import execute_all
from monsoontack.config.publisher import step
from monsoontack.config.publisher_state import (
    Event,
    Execute,
    LeaseAcquired,
    LeaseLost,
    OperationResults,
    Phase,
    Published,
    PublisherState,
    Sleep,
    SleepEnded,
    StepDown,
)
from monsoontack.config.revision import Chunk, Head
from monsoontack.core.clock import Clock
from monsoontack.store.api import ObjectStore

log = structlog.get_logger("controller.publish")


class PublisherRunner:
    """Runs the publisher against an object store.

    `held_epoch` returns the epoch of the lease if it is held now, else None; it
    is asked before each request. `on_published` hears each head that this
    process publishes.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
        held_epoch: Callable[[], int | None],
        on_published: Callable[[Head, Mapping[str, Chunk]], None],
    ) -> None:
        self.state = PublisherState()
        self.store = store
        self.clock = clock
        self.rng = rng
        self.held_epoch = held_epoch
        self.on_published = on_published
        self.requests: set[asyncio.Task] = set()

    @property
    def head(self) -> Head | None:
        """The published head, once this holder has read and sealed it."""
        settled = self.state.phase not in (Phase.IDLE, Phase.HEAD, Phase.SEAL)
        return self.state.head if settled and self.state.head_version else None

    def start(self, epoch: int, chunks: Mapping[str, Chunk]) -> None:
        """Begin under a lease; `chunks` by digest spare reads of the store."""
        self.apply(LeaseAcquired(epoch, chunks))

    def stop(self) -> None:
        """Stop, because the lease is no longer held."""
        self.apply(LeaseLost())

    def wake(self) -> None:
        """Look for proposals now instead of at the next poll."""
        if self.state.phase is Phase.SLEEP:
            self.apply(SleepEnded(self.state.ticket))

    def apply(self, event: Event) -> None:
        """Pass one event to the state machine and start its actions."""
        self.state, actions = step(self.state, event, self.clock.now(), self.rng)
        for action in actions:
            match action:
                case Execute():
                    self._start(self._execute(action))
                case Sleep():
                    self._start(self._sleep(action))
                case Published(head, chunks):
                    log.info("revision published", revision=head.revision)
                    self.on_published(head, chunks)
                case StepDown(epoch):
                    log.error("the published head has a higher epoch", epoch=epoch)

    def _start(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.requests.add(task)
        task.add_done_callback(self.requests.discard)

    async def _execute(self, action: Execute) -> None:
        if action.ticket != self.state.ticket:
            return
        if self.held_epoch() != self.state.epoch:
            self.stop()
            return
        results = await execute_all(self.store, action.operations)
        self.apply(OperationResults(action.ticket, results))

    async def _sleep(self, action: Sleep) -> None:
        await self.clock.sleep(action.delay_s)
        self.apply(SleepEnded(action.ticket))

    def close(self) -> None:
        """Abandon all requests."""
        for task in list(self.requests):
            task.cancel()
