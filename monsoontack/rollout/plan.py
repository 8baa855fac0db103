"""Steps of a rollout, their durations, and the rate limit of weight loads."""

import math
from dataclasses import dataclass

STEP_PERCENTAGES = (1.0, 5.0, 25.0, 50.0, 100.0)
STEP_TIME_WEIGHTS = (1.0, 1.0, 4.0, 8.0, 6.0)  # the last step is the watching phase
RESERVE_FRACTION = 0.05  # of the remaining time, for delayed evidence and writes
MIN_RESERVE_S = 10.0  # a change of the lease holder takes up to two report intervals
MIN_STEP_S = 30.0
LOAD_BURST_S = 5.0
MIN_ENGINES = 2  # with only one, its loss would look like a fault of the version


def step_end_time(step: int, now: float, deadline: float, min_step_s: float) -> float:
    """Return the end time of a step that starts at `now`.

    The remaining time, less a reserve before the deadline, is divided among the steps
    in proportion to `STEP_TIME_WEIGHTS`. A step lasts at least `min_step_s`.
    """
    left_s = deadline - now
    usable_s = max(0.0, left_s - max(left_s * RESERVE_FRACTION, MIN_RESERVE_S))
    fraction = STEP_TIME_WEIGHTS[step] / sum(STEP_TIME_WEIGHTS[step:])
    return now + max(min_step_s, usable_s * fraction)


def steps_fit(step: int, now: float, deadline: float, min_step_s: float) -> bool:
    """Return whether the steps from `step` on can end by the deadline."""
    return now + min_step_s * (len(STEP_PERCENTAGES) - step) <= deadline


def engines_needed(share: float, engines: int) -> int:
    """Return the number of engines that the new version needs at a share in percent."""
    return min(engines, max(MIN_ENGINES, math.ceil(engines * share / 100.0)))


@dataclass(slots=True, repr=False)
class LoadRateLimiter:
    """Token bucket that limits weight loads to the rate of the weight store, in bytes.

    A load may start when no debt is left and then adds its whole size to the debt,
    so that the average rate holds for weights of any size. Unused capacity of up to
    `LOAD_BURST_S` accumulates: without it, loads shorter than the controller's tick
    were limited to one per tick, and a rollout to 850 engines missed its deadline.
    """

    rate_bytes_s: float
    updated_at: float
    debt_bytes: float = 0.0

    def try_acquire(self, size_bytes: int, now: float) -> bool:
        """Add a load of `size_bytes` to the debt if the rate permits it now."""
        repaid_bytes = max(0.0, now - self.updated_at) * self.rate_bytes_s
        self.debt_bytes = max(
            -LOAD_BURST_S * self.rate_bytes_s, self.debt_bytes - repaid_bytes
        )
        self.updated_at = max(self.updated_at, now)
        if self.debt_bytes > 0:
            return False
        self.debt_bytes += size_bytes
        return True
