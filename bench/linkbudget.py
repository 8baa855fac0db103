"""Comparison of three byte budgets for the link between regions.

A discrete-time simulation of few or many entries that send over one link. With
`none` there is no budget. With `local` each entry has a fixed share of the link.
With `region`, as in the product, each entry has a fixed share among the entries of
its own region (`EntryLinkBudget`). With `shared`, entries borrow bytes from one
bucket in the object API by conditional updates, and fall back to the fixed share
while the object API is unavailable. One half of the entries is in each region. A
request crosses the link in one direction and its larger answer in the other. The
shared bucket follows the article "How Bilibili Scaled Offline Processing Across
Multiple Data Centers".

Run with `python -m bench.linkbudget [seed]`.
"""

import json
import random
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field

from monsoontack.routing.linkbudget import (
    LINK_BYTES_PER_S,
    EntryLinkBudget,
    TokenBucket,
)

TICK_S = 0.01
SIMULATED_S = 60.0
REQUEST_BYTES = 2000
ANSWER_BYTES = 4000
EXCHANGE_BYTES = REQUEST_BYTES + ANSWER_BYTES
STORE_ROUND_TRIPS_S = (0.004, 0.03)
# Limit on the store requests of all entries together; it sets the borrow interval.
MAX_BORROWS_PER_S = 50.0
MIN_BORROW_INTERVAL_S = 0.5
MIN_BORROW_BYTES = 4 * EXCHANGE_BYTES
FALLBACK_GRACE_S = 1.0


@dataclass(slots=True)
class SharedBucket:
    """Token bucket in the object API, changed by conditional updates."""

    bucket: TokenBucket
    version: int = 0
    writes: int = 0
    is_down: bool = False


@dataclass(slots=True)
class Entry:
    """One entry with its offered load and its budget."""

    offered_bytes_per_s: float
    budget: EntryLinkBudget
    borrow_interval_s: float = MIN_BORROW_INTERVAL_S
    next_borrow_at: float = 0.0
    borrowed_bytes: float = 0.0
    smoothed_bytes_per_s: float = 0.0
    known_version: int = 0
    answer_due_at: float | None = None
    last_answer_at: float = 0.0
    sent: list[tuple[float, int]] = field(default_factory=list)

    def admit(self, kind: str, now: float) -> bool:
        """Return whether the budget admits one request, and charge it."""
        if kind == "none":
            return True
        fallback_after_s = 2 * self.borrow_interval_s + FALLBACK_GRACE_S
        if kind != "shared" or now - self.last_answer_at > fallback_after_s:
            return self.budget.take("resume", EXCHANGE_BYTES, now)
        if self.borrowed_bytes < EXCHANGE_BYTES:
            return False
        self.borrowed_bytes -= EXCHANGE_BYTES
        return True


def borrow(entry: Entry, shared: SharedBucket, now: float, rng: random.Random):
    """Start a request to borrow from the shared bucket, or process its answer."""
    if entry.answer_due_at is None:
        if now >= entry.next_borrow_at:
            entry.answer_due_at = now + rng.choice(STORE_ROUND_TRIPS_S) * rng.uniform(
                1, 1.5
            )
        return
    if now < entry.answer_due_at:
        return
    entry.answer_due_at = None
    if shared.is_down:
        return
    shared.writes += 1
    entry.last_answer_at = now
    # The answer to a conflict has the current version; the entry retries at once.
    if entry.known_version != shared.version:
        entry.known_version = shared.version
        return
    shared.bucket.refill(now)
    wanted_bytes = (
        max(
            1.5 * entry.smoothed_bytes_per_s * entry.borrow_interval_s, MIN_BORROW_BYTES
        )
        - entry.borrowed_bytes
    )
    granted_bytes = max(min(wanted_bytes, shared.bucket.tokens), 0.0)
    shared.bucket.tokens -= granted_bytes
    entry.borrowed_bytes += granted_bytes
    shared.version += 1
    entry.known_version = shared.version
    entry.next_borrow_at = now + entry.borrow_interval_s * rng.uniform(0.8, 1.2)


def make_entries(
    kind: str, offered_rates: list[float], rng: random.Random
) -> list[Entry]:
    """Return the entries with their budgets under budget `kind`."""
    count = len(offered_rates)
    sharing_entries = count // 2 if kind == "region" else count
    borrow_interval_s = max(MIN_BORROW_INTERVAL_S, count / MAX_BORROWS_PER_S)
    return [
        Entry(
            d,
            EntryLinkBudget.for_entries(sharing_entries, 0.0),
            borrow_interval_s,
            rng.random(),
        )
        for d in offered_rates
    ]


def simulate(
    kind: str, offered_rates: list[float], outage: bool, seed: int
) -> dict[str, float]:
    """Return the peak use of a direction, the part sent, and store writes a second."""
    rng = random.Random(seed)
    entries = make_entries(kind, offered_rates, rng)
    shared = SharedBucket(TokenBucket.full(LINK_BYTES_PER_S, 1.0, 0.0))
    offered, directions = 0, ([], [])
    for tick in range(int(SIMULATED_S / TICK_S)):
        now = tick * TICK_S
        shared.is_down = outage and now > SIMULATED_S / 3
        sent = [0, 0]
        for index, entry in enumerate(entries):
            if kind == "shared":
                borrow(entry, shared, now, rng)
            arrivals = entry.offered_bytes_per_s * TICK_S / EXCHANGE_BYTES
            request_count = int(arrivals) + (rng.random() < arrivals % 1)
            offered += request_count
            entry.smoothed_bytes_per_s += 0.02 * (
                request_count * EXCHANGE_BYTES / TICK_S - entry.smoothed_bytes_per_s
            )
            sent[2 * index // len(entries)] += sum(
                entry.admit(kind, now) for _ in range(request_count)
            )
        directions[0].append(sent[0] * REQUEST_BYTES + sent[1] * ANSWER_BYTES)
        directions[1].append(sent[1] * REQUEST_BYTES + sent[0] * ANSWER_BYTES)
    total = sum(directions[0]) + sum(directions[1])
    return {
        "peak_of_rate": round(
            max(peak_bytes_per_s(direction) for direction in directions)
            / LINK_BYTES_PER_S,
            3,
        ),
        "sent_of_offered": round(total / (offered * EXCHANGE_BYTES), 3),
        "writes_per_s": round(shared.writes / SIMULATED_S, 1),
    }


def peak_bytes_per_s(per_tick: list[int]) -> float:
    """Return the most bytes in a window of one second after 5 s of warm-up."""
    window_ticks, warm_up_ticks = int(1 / TICK_S), int(5 / TICK_S)
    starts = range(warm_up_ticks, len(per_tick) - window_ticks, 10)
    return max(sum(per_tick[i : i + window_ticks]) for i in starts)


def scenarios() -> dict[str, tuple[list[float], bool]]:
    """Return offered bytes a second per entry, and whether the store has an outage."""
    rate = LINK_BYTES_PER_S
    skewed = [0.54 * rate] + [0.12 * rate] * 3
    return {
        "4 entries, even, 0.9": ([0.9 * rate / 4] * 4, False),
        "4 entries, even, 3.0": ([3 * rate / 4] * 4, False),
        "4 entries, one region has 0.9": ([0.45 * rate] * 2 + [0.0] * 2, False),
        "4 entries, one has 0.54 of 0.9": (skewed, False),
        "4 entries, one has 0.54 of 0.9, store away": (skewed, True),
        "390 entries, even, 3.0": ([3 * rate / 390] * 390, False),
        "390 entries, one region has 0.9": (
            [0.9 * rate / 195] * 195 + [0.0] * 195,
            False,
        ),
    }


def measure(seed: int) -> Iterator[dict]:
    """Yield one record for each scenario and kind of budget."""
    for name, (offered_rates, outage) in scenarios().items():
        for kind in ("none", "local", "region", "shared"):
            figures = simulate(kind, offered_rates, outage, seed)
            yield {"name": f"linkbudget {name} {kind}", "seed": seed, **figures}


def main(arguments: list[str]) -> int:
    """Print each record as one line of JSON."""
    for record in measure(int(arguments[0]) if arguments else 1):
        print(json.dumps(record))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
