"""Comparison of three byte budgets for the link between regions.

A discrete-time model of a few or many entries draws on one link: `none` sends
everything, `local` gives each entry a fixed share of the link, `region` a fixed
share among the entries of its own region (`EntryLinkBudget` as used), `shared` lets
entries borrow chunks from one bucket object of the object API by conditional
update and falls back to the fixed share while the object API is away. The first
half of the entries stands in one region, the other half in the other; a request
goes one way and its larger answer the other. The shared bucket is an idea of
the article "How Bilibili Scaled Offline Processing Across Multiple Data Centers".

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
RUN_S = 60.0
FORTH_BYTES = 2000
BACK_BYTES = 4000
REQUEST_BYTES = FORTH_BYTES + BACK_BYTES
ROUND_TRIP_S = (0.004, 0.03)
# Borrowing is paced so that the entries together ask at most this often.
BORROWS_PER_S = 50.0
MIN_INTERVAL_S = 0.5
MIN_CHUNK = 4 * REQUEST_BYTES
UNAVAILABLE_S = 1.0


@dataclass(slots=True)
class SharedObject:
    """Bucket object in the object API, changed by conditional update."""

    bucket: TokenBucket
    version: int = 0
    writes: int = 0
    away: bool = False


@dataclass(slots=True)
class Sender:
    """One entry: its offered bytes a second and its budget."""

    demand: float
    local: EntryLinkBudget
    interval_s: float = MIN_INTERVAL_S
    next_borrow: float = 0.0
    borrowed: float = 0.0
    need: float = 0.0
    known_version: int = 0
    answer_at: float | None = None
    last_answer: float = 0.0
    sent: list[tuple[float, int]] = field(default_factory=list)

    def admit(self, kind: str, now: float) -> bool:
        """Return whether one request may use the link."""
        if kind == "none":
            return True
        limit = 2 * self.interval_s + UNAVAILABLE_S
        if kind != "shared" or now - self.last_answer > limit:
            return self.local.take("resume", REQUEST_BYTES, now)
        if self.borrowed < REQUEST_BYTES:
            return False
        self.borrowed -= REQUEST_BYTES
        return True


def borrow(sender: Sender, shared: SharedObject, now: float, rng: random.Random):
    """Start or finish a borrowing of the shared bucket."""
    if sender.answer_at is None:
        if now >= sender.next_borrow:
            sender.answer_at = now + rng.choice(ROUND_TRIP_S) * rng.uniform(1, 1.5)
        return
    if now < sender.answer_at:
        return
    sender.answer_at = None
    if shared.away:
        return
    shared.writes += 1
    sender.last_answer = now
    # A conflict brings the current version and is retried at once.
    if sender.known_version != shared.version:
        sender.known_version = shared.version
        return
    shared.bucket.refill(now)
    wanted = max(1.5 * sender.need * sender.interval_s, MIN_CHUNK) - sender.borrowed
    granted = max(min(wanted, shared.bucket.tokens), 0.0)
    shared.bucket.tokens -= granted
    sender.borrowed += granted
    shared.version += 1
    sender.known_version = shared.version
    sender.next_borrow = now + sender.interval_s * rng.uniform(0.8, 1.2)


def make_senders(kind: str, demands: list[float], rng: random.Random) -> list[Sender]:
    """Return the entries with the shares that `kind` gives them."""
    count = len(demands)
    sharing = count // 2 if kind == "region" else count
    interval_s = max(MIN_INTERVAL_S, count / BORROWS_PER_S)
    return [
        Sender(d, EntryLinkBudget.for_entries(sharing, 0.0), interval_s, rng.random())
        for d in demands
    ]


def run(kind: str, demands: list[float], outage: bool, seed: int) -> dict[str, float]:
    """Return peak use of either direction, part sent, and writes a second."""
    rng = random.Random(seed)
    senders = make_senders(kind, demands, rng)
    shared = SharedObject(TokenBucket.full(LINK_BYTES_PER_S, 1.0, 0.0))
    offered, ways = 0, ([], [])
    for tick in range(int(RUN_S / TICK_S)):
        now = tick * TICK_S
        shared.away = outage and now > RUN_S / 3
        sent = [0, 0]
        for index, sender in enumerate(senders):
            if kind == "shared":
                borrow(sender, shared, now, rng)
            arrivals = sender.demand * TICK_S / REQUEST_BYTES
            n = int(arrivals) + (rng.random() < arrivals % 1)
            offered += n
            sender.need += 0.02 * (n * REQUEST_BYTES / TICK_S - sender.need)
            sent[2 * index // len(senders)] += sum(
                sender.admit(kind, now) for _ in range(n)
            )
        ways[0].append(sent[0] * FORTH_BYTES + sent[1] * BACK_BYTES)
        ways[1].append(sent[1] * FORTH_BYTES + sent[0] * BACK_BYTES)
    total = sum(ways[0]) + sum(ways[1])
    return {
        "peak_of_rate": round(max(peak(way) for way in ways) / LINK_BYTES_PER_S, 3),
        "sent_of_offered": round(total / (offered * REQUEST_BYTES), 3),
        "writes_per_s": round(shared.writes / RUN_S, 1),
    }


def peak(per_tick: list[int]) -> float:
    """Return the most bytes of any second after 5 s of warm-up."""
    window, skip = int(1 / TICK_S), int(5 / TICK_S)
    starts = range(skip, len(per_tick) - window, 10)
    return max(sum(per_tick[i : i + window]) for i in starts)


def scenarios() -> dict[str, tuple[list[float], bool]]:
    """Return offered bytes a second per entry, and whether the store goes away."""
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
    """Yield one record per scenario and kind of budget."""
    for name, (demands, outage) in scenarios().items():
        for kind in ("none", "local", "region", "shared"):
            figures = run(kind, demands, outage, seed)
            yield {"name": f"linkbudget {name} {kind}", "seed": seed, **figures}


def main(arguments: list[str]) -> int:
    """Print one JSON object a line."""
    for record in measure(int(arguments[0]) if arguments else 1):
        print(json.dumps(record))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
