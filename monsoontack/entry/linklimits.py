"""Silence limits of links and delays between connection attempts."""

import random
from dataclasses import dataclass

from monsoontack.settings.models import EntrySettings

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


@dataclass(slots=True, repr=False)
class Backoff:
    """Delay before the next connection attempt to an address that failed."""

    delay_s: float = INITIAL_BACKOFF_S
    next_at: float = 0.0

    def note_failure(self, now: float, rng: random.Random) -> None:
        """Schedule the next attempt and double the delay, up to `MAX_BACKOFF_S`.

        The actual wait is between half of the delay and the whole delay.
        """
        self.next_at = now + self.delay_s * rng.uniform(0.5, 1.0)
        self.delay_s = min(self.delay_s * 2, MAX_BACKOFF_S)


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """Maximum time without a frame, in seconds, before a link times out.

    `busy_s` applies to links on which requests of this entry are in progress.
    `idle_s` applies to all others; agents send heartbeats less often on those.
    """

    busy_s: float = 1.0
    idle_s: float = 9.0

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> "SilenceLimits":
        """Return the limits from the settings of the entry."""
        return cls(settings.frame_silence_s, settings.idle_silence_s)
