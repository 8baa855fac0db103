"""Leaving and graceful shutdown of an agent.

An agent starts to leave when its process receives SIGTERM, when the VM list marks its
VM as leaving or when its backend server says that it is leaving. It then announces this
on every link and refuses new work. After SIGTERM it ends when no stream or call is
unfinished. At the drain deadline it ends the remaining streams with code `leaving`, so
that entries can continue them elsewhere.
"""

from dataclasses import dataclass
from enum import StrEnum

# Entries keep sending work until they have received the leaving announcement.
ANNOUNCEMENT_DELAY_S = 1.0
# Time to send the ends of the remaining streams and the last results.
HAND_OVER_TIMEOUT_S = 2.0


class Phase(StrEnum):
    """Phase of the agent from serving to its end."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    HANDING_OVER = "handing_over"
    ENDED = "ended"


@dataclass(slots=True, repr=False)
class DrainState:
    """State machine of the shutdown; times are in seconds of the loop's clock."""

    deadline_s: float
    announcement_delay_s: float = ANNOUNCEMENT_DELAY_S
    hand_over_timeout_s: float = HAND_OVER_TIMEOUT_S
    phase: Phase = Phase.SERVING
    phase_since: float = 0.0
    leaving_since: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether the agent refuses new work."""
        return self.phase is not Phase.SERVING

    def mark_vm_leaving(self, now: float) -> bool:
        """Handle a VM list that marks this VM as leaving; True if the phase changed."""
        return self.phase is Phase.SERVING and self._enter_phase(Phase.LEAVING, now)

    def end_vm_leaving(self, now: float) -> bool:
        """Serve again, as the backend server has started anew; True if changed."""
        return self.phase is Phase.LEAVING and self._enter_phase(Phase.SERVING, now)

    def terminate(self, now: float) -> bool:
        """Handle SIGTERM; True if the phase changed."""
        if self.phase not in (Phase.SERVING, Phase.LEAVING):
            return False
        return self._enter_phase(Phase.DRAINING, now)

    def advance(self, unfinished_count: int, now: float) -> bool:
        """Advance the shutdown; True if the phase changed.

        `unfinished_count` counts streams and calls whose result has not been sent.
        """
        age_s = now - self.phase_since
        announced = now - self.leaving_since >= self.announcement_delay_s
        if self.phase is Phase.DRAINING and unfinished_count == 0 and announced:
            return self._enter_phase(Phase.ENDED, now)
        if self.phase is Phase.DRAINING and age_s >= self.deadline_s:
            return self._enter_phase(Phase.HANDING_OVER, now)
        if self.phase is Phase.HANDING_OVER:
            if unfinished_count == 0 or age_s >= self.hand_over_timeout_s:
                return self._enter_phase(Phase.ENDED, now)
        return False

    def _enter_phase(self, phase: Phase, now: float) -> bool:
        if self.phase is Phase.SERVING:
            self.leaving_since = now
        self.phase = phase
        self.phase_since = now
        return True
