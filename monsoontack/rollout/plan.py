"""Steps of a rollout, their times, and the rate of weight loads."""

import math
from dataclasses import dataclass

STEPS = (1.0, 5.0, 25.0, 50.0, 100.0)
STEP_WEIGHTS = (1.0, 1.0, 4.0, 8.0, 6.0)  # parts of the time; the last watches
RESERVE = 0.05  # of the time that is left, for delayed evidence and writes
MIN_RESERVE_S = 10.0  # a takeover at the end takes up to two report intervals
MIN_STEP_S = 30.0
BURST_S = 5.0
MIN_ENGINES = 2  # one engine of a version would make its loss look like a fault


def step_end(step: int, now: float, deadline: float, min_step_s: float) -> float:
    """Return when a step that starts at `now` ends, so that all fit.

    The remaining time is shared in proportion to `STEP_WEIGHTS`, with a reserve
    before the deadline; a step lasts at least `min_step_s`.
    """
    left = deadline - now
    usable = max(0.0, left - max(left * RESERVE, MIN_RESERVE_S))
    part = STEP_WEIGHTS[step] / sum(STEP_WEIGHTS[step:])
    return now + max(min_step_s, usable * part)


def fits(step: int, now: float, deadline: float, min_step_s: float) -> bool:
    """Return whether the steps from `step` on can still end by the deadline."""
    return now + min_step_s * (len(STEPS) - step) <= deadline


def engines_needed(share: float, engines: int) -> int:
    """Return how many engines must run the new version for a share in percent."""
    return min(engines, max(MIN_ENGINES, math.ceil(engines * share / 100.0)))


@dataclass(slots=True)
class LoadBucket:
    """Token bucket of weight loads, in bytes at the weight store's rate.

    A load may start when no debt is left and then adds its whole size as debt,
    so the average rate holds for weights of any size. Unused rate is saved for
    `BURST_S`: without it, loads shorter than the controller's tick ran at one
    a tick, and 850 engines missed their deadline.
    """

    rate_bytes_s: float
    updated_at: float
    debt_bytes: float = 0.0

    def take(self, size_bytes: int, now: float) -> bool:
        """Start a load of `size_bytes` if the rate permits it now."""
        paid = max(0.0, now - self.updated_at) * self.rate_bytes_s
        self.debt_bytes = max(-BURST_S * self.rate_bytes_s, self.debt_bytes - paid)
        self.updated_at = max(self.updated_at, now)
        if self.debt_bytes > 0:
            return False
        self.debt_bytes += size_bytes
        return True
