"""Checks that refuse orders and non-idempotent calls that are late or out of order.

All requests to the backend server pass through the agent, so its checks hold even for
a backend server that ignores fencing numbers. A restart of the agent loses the numbers;
the at-most-once guarantee does not depend on them (design, section 7).
"""

from dataclasses import dataclass, field

# Entries wait at most 5 s before a dispatch, and the clocks of VMs differ by up to 1 s.
# After this time any dispatch that the number would stop is refused as late anyway.
RETENTION_AFTER_LATEST_START_S = 10.0
MAX_KEYS = 65_536


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why the agent does not pass a call or order to the backend server.

    `run_state` is for the call record. It is `not_run` if this dispatch, the only one
    of its record, is known not to have run.
    """

    code: str
    run_state: str
    message: str


@dataclass(slots=True, repr=False)
class CallFences:
    """Highest fencing number admitted for each client account and key.

    A number is kept for at least `RETENTION_AFTER_LATEST_START_S` after the latest
    start of its call, and then removed, oldest number first. While all `max_keys`
    numbers are still needed, calls with new keys are refused.
    """

    max_keys: int = MAX_KEYS
    highest_fences: dict[tuple[str, str], tuple[int, float]] = field(
        default_factory=dict
    )

    def admit(
        self,
        account: str,
        key: str,
        fence: int,
        latest_start_unix_s: float,
        now_unix_s: float,
    ) -> Refusal | None:
        """Record the fencing number of a call, or return why the call is refused.

        Times are Unix time in seconds. A number that is not above the highest one is
        refused with run state `unknown`: if it is equal, the same dispatch was
        received before and may have run.
        """
        if now_unix_s > latest_start_unix_s:
            late_s = now_unix_s - latest_start_unix_s
            return Refusal("late", "not_run", f"{late_s:.3f} s after the latest start")
        self._remove_expired(now_unix_s)
        last = self.highest_fences.get((account, key))
        if last is not None and fence <= last[0]:
            message = f"fencing number {fence} is not above {last[0]}"
            return Refusal("fenced", "unknown", message)
        if last is None and len(self.highest_fences) >= self.max_keys:
            return Refusal("refused", "not_run", "table of fencing numbers is full")
        self.highest_fences.pop((account, key), None)
        self.highest_fences[account, key] = (fence, latest_start_unix_s)
        return None

    def _remove_expired(self, now_unix_s: float) -> None:
        for key, (_, latest_start_unix_s) in list(self.highest_fences.items())[:2]:
            if now_unix_s <= latest_start_unix_s + RETENTION_AFTER_LATEST_START_S:
                break
            del self.highest_fences[key]


@dataclass(slots=True, repr=False)
class OrderFence:
    """Highest lease epoch received in an order.

    A controller sends many orders in one epoch, so an equal epoch is admitted.
    """

    highest: int = 0

    def admit(self, fence: int) -> Refusal | None:
        """Record the lease epoch of an order, or return why the order is refused."""
        if fence < self.highest:
            message = f"lease epoch {fence} is below {self.highest}"
            return Refusal("fenced", "not_run", message)
        self.highest = fence
        return None
