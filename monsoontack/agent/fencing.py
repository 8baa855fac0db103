"""Refusal of orders and non-idempotent calls that come late or out of order.

The agent is the only path to its backend server, so it checks fencing numbers
also where the backend server ignores them. A restart loses the numbers; at most
once does not depend on them (design, section 7).
"""

from dataclasses import dataclass, field

# Entries wait at most 5 s before a dispatch, and VM clocks differ by up to 1 s;
# a number may be forgotten once a dispatch that it would stop is late anyway.
KEEP_AFTER_LATEST_START_S = 10.0
MAX_KEYS = 65_536


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a call or order is not passed on.

    `run_state` is that of the call record: `not_run` where this dispatch, the
    only one of its record, has surely not run.
    """

    code: str
    run_state: str
    message: str


@dataclass(slots=True)
class CallFences:
    """Highest fencing number seen for each account and key.

    Numbers are forgotten some time after the latest start of their call, oldest
    first. If all `max_keys` are still needed, further calls are refused.
    """

    max_keys: int = MAX_KEYS
    seen: dict[tuple[str, str], tuple[int, float]] = field(default_factory=dict)

    def admit(
        self,
        account: str,
        key: str,
        fence: int,
        latest_start_unix_s: float,
        now_unix_s: float,
    ) -> Refusal | None:
        """Record a call that may run, or return why it may not.

        Times are Unix time in seconds. An equal number is refused as `unknown`,
        since the same dispatch was seen before and may have run.
        """
        if now_unix_s > latest_start_unix_s:
            late_s = now_unix_s - latest_start_unix_s
            return Refusal("late", "not_run", f"{late_s:.3f} s after the latest start")
        self._forget(now_unix_s)
        last = self.seen.get((account, key))
        if last is not None and fence <= last[0]:
            message = f"fencing number {fence} is not above {last[0]}"
            return Refusal("fenced", "unknown", message)
        if last is None and len(self.seen) >= self.max_keys:
            return Refusal("refused", "not_run", "table of fencing numbers is full")
        self.seen.pop((account, key), None)
        self.seen[account, key] = (fence, latest_start_unix_s)
        return None

    def _forget(self, now_unix_s: float) -> None:
        for key, (_, latest_start_unix_s) in list(self.seen.items())[:2]:
            if now_unix_s <= latest_start_unix_s + KEEP_AFTER_LATEST_START_S:
                break
            del self.seen[key]


@dataclass(slots=True)
class OrderFence:
    """Highest lease epoch seen in orders; a controller sends many per epoch."""

    highest: int = 0

    def admit(self, fence: int) -> Refusal | None:
        """Record the epoch of an order, or return why the order is too old."""
        if fence < self.highest:
            message = f"lease epoch {fence} is below {self.highest}"
            return Refusal("fenced", "not_run", message)
        self.highest = fence
        return None
