"""Measures restarts of a failure domain under three rules: now, before and none.

`python -m bench.domainrestarts` prints a table for 31 and 390 gateways.
"""

import logging
from dataclasses import dataclass

import structlog

from bench.domainmodel import DomainModel

RESTART_AT, END_AT = 10.0, 25.0
# Prompts per second. Sixty engines read sixty.
RATE = 30.0
SHARE = 1 / 3
DOMAIN = [f"e0-{number}" for number in range(20)]
SPEEDS = {
    "restart": lambda age: 1.0,
    "slow": lambda age: 0.2 if age < 5 else 1.0,
    "flapping": lambda age: 1.0,
}


@dataclass(frozen=True, slots=True)
class Measures:
    """What one run shows; times in seconds from the first new record."""

    arrivals: int
    rejected: int
    late: int
    lost: int
    worst_first_s: float
    most_waiting: int
    to_nine_tenths_s: float
    domain_share: float


def measure(
    case: str, gateways: int, rule: str, seed: int = 1, rate: float = RATE
) -> Measures:
    """Run one case and return its measures."""
    model = DomainModel(gateways, rule, rate, seed)
    model.run(RESTART_AT)
    before = len(model.result.placed)
    names = DOMAIN if case != "flapping" else DOMAIN[:1]
    times = [RESTART_AT] if case != "flapping" else [10.0, 13.0, 16.0, 19.0]
    for at in times:
        model.run(at)
        model.restart(names, SPEEDS[case])
    result = model.run(END_AT)
    placed = result.placed[before:]
    ours = [at for at, vm, _ in placed if vm in DOMAIN]
    listed_at = RESTART_AT + 2.2
    return Measures(
        result.arrivals - before,
        result.rejected,
        result.late,
        result.lost,
        round(result.worst_first_s, 1),
        result.most_waiting,
        _to_nine_tenths_s(placed, listed_at),
        round(len(ours) / len(placed) / SHARE, 2),
    )


def _to_nine_tenths_s(placed: list[tuple[float, str, bool]], listed_at: float) -> float:
    """Return when 1.5 s of arrivals first had nine tenths of the domain's share."""
    for step in range(100):
        start = listed_at + step * 0.1
        window = [vm for at, vm, _ in placed if start <= at < start + 1.5]
        if sum(vm in DOMAIN for vm in window) >= 0.9 * SHARE * len(window) > 0:
            return round(start + 0.75 - listed_at, 2)
    return float("inf")


def main() -> None:
    """Print the measures of all cases."""
    level = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=level)
    for case in SPEEDS:
        for gateways in (31, 390):
            for rule in ("now", "before", "none"):
                print(case, gateways, rule, measure(case, gateways, rule))


if __name__ == "__main__":
    main()
