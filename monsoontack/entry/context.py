"""State that the HTTP resources of an entry share."""

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from monsoontack.config.view import ConfigView
from monsoontack.core.counters import Counters
from monsoontack.core.errors import RequestError
from monsoontack.entry.control import ControlPlane
from monsoontack.entry.generations import GenerationManager
from monsoontack.entry.links import LinkPool
from monsoontack.entry.protocols import (
    Admission,
    CallRunner,
    ConfigSource,
    OutcomeSink,
    Picker,
)
from monsoontack.entry.requests import RequestRefusedError
from monsoontack.entry.routedpicker import RoutedPicker
from monsoontack.settings.models import EntrySettings

NOT_READY_RETRY_S = 1.0


@dataclass(slots=True, repr=False)
class EntryContext:
    """Components of a running entry. `draining` becomes true at SIGTERM."""

    settings: EntrySettings
    config: ConfigSource
    picker: Picker
    admission: Admission
    calls: CallRunner
    outcomes: OutcomeSink
    counters: Counters
    generations: GenerationManager
    pool: LinkPool
    rng: random.Random
    control: ControlPlane | None = None
    routing: RoutedPicker | None = None
    draining: bool = False
    requests_in_progress: int = 0
    idle: asyncio.Event = field(default_factory=asyncio.Event)
    drain_finished: asyncio.Event = field(default_factory=asyncio.Event)

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def view(self) -> ConfigView:
        """Return the configuration in force."""
        return self.config.view()

    def is_ready(self) -> bool:
        """Whether the entry accepts new requests."""
        return not self.draining and self.config.is_ready(self.now())

    def check_accepts_requests(self) -> None:
        """Refuse a new request while the entry drains or lacks a configuration."""
        if self.draining:
            error = RequestError(
                503,
                "shutting_down",
                "this entry is leaving; another one serves",
                retry_after_s=0.0,
            )
            raise RequestRefusedError(error)
        self.check_configured()

    def check_configured(self) -> None:
        """Refuse a request that needs the configuration while there is none."""
        if not self.config.is_ready(self.now()):
            error = RequestError(
                503,
                "not_ready",
                "this entry has no current configuration",
                retry_after_s=NOT_READY_RETRY_S,
            )
            raise RequestRefusedError(error)

    @contextmanager
    def in_progress(self) -> Iterator[None]:
        """Count a request as in progress inside the block."""
        self.requests_in_progress += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.requests_in_progress -= 1
            if not self.requests_in_progress:
                self.idle.set()
