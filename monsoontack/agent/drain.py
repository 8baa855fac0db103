"""Leaving and graceful shutdown of an agent.

An agent leaves when its process gets SIGTERM or the VM list shows its VM as
leaving. From then on it announces this on every link and refuses new work.
After SIGTERM it ends once nothing is unfinished; at the drain deadline it hands
over what still runs.
"""

from dataclasses import dataclass
from enum import StrEnum

# Entries still send work until the announcement has reached them.
NOTICE_S = 1.0
HAND_OVER_S = 2.0


class Phase(StrEnum):
    """Phase of the agent's life."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    HANDING_OVER = "handing_over"
    ENDED = "ended"


@dataclass(slots=True)
class DrainState:
    """State machine of the shutdown; times are those of the loop's clock."""

    deadline_s: float
    notice_s: float = NOTICE_S
    hand_over_s: float = HAND_OVER_S
    phase: Phase = Phase.SERVING
    phase_since: float = 0.0
    leaving_since: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether new work is refused."""
        return self.phase is not Phase.SERVING

    def vm_leaves(self, now: float) -> bool:
        """Handle the VM list's leaving mark; True if the phase changed."""
        return self.phase is Phase.SERVING and self._enter(Phase.LEAVING, now)

    def terminate(self, now: float) -> bool:
        """Handle SIGTERM; True if the phase changed."""
        if self.phase not in (Phase.SERVING, Phase.LEAVING):
            return False
        return self._enter(Phase.DRAINING, now)

    def check(self, unfinished: int, now: float) -> bool:
        """Advance the shutdown; True if the phase changed.

        `unfinished` counts streams and calls whose result has not been sent.
        """
        age_s = now - self.phase_since
        noticed = now - self.leaving_since >= self.notice_s
        if self.phase is Phase.DRAINING and unfinished == 0 and noticed:
            return self._enter(Phase.ENDED, now)
        if self.phase is Phase.DRAINING and age_s >= self.deadline_s:
            return self._enter(Phase.HANDING_OVER, now)
        if self.phase is Phase.HANDING_OVER:
            if unfinished == 0 or age_s >= self.hand_over_s:
                return self._enter(Phase.ENDED, now)
        return False

    def _enter(self, phase: Phase, now: float) -> bool:
        if self.phase is Phase.SERVING:
            self.leaving_since = now
        self.phase = phase
        self.phase_since = now
        return True
