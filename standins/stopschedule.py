"""Seeded schedules of planned stops that overlap."""

import random
from dataclasses import dataclass

# A gateway that gets SIGTERM is back after this time at the latest: the grace period
# of the stand-in's gateways, and its start.
AWAY_S = 11.0
# At least one gateway is left for the callers.
MIN_LEFT = 1


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A SIGTERM, `at_s` after the first one.

    The gateway is stopped again `again_after_s` after its start, if this is set.
    """

    at_s: float
    gateway: int
    again_after_s: float | None = None

    @property
    def back_s(self) -> float:
        """Return when the gateway is back at the latest."""
        if self.again_after_s is None:
            return self.at_s + AWAY_S
        return self.at_s + self.again_after_s + 2 * AWAY_S


def overlapping_stops(
    seed: int,
    gateways: int,
    seconds: float,
    gap_s: tuple[float, float] = (1.0, 25.0),
    again_s: tuple[float, float] = (1.5, 3.0),
    again_share: float = 0.0,
) -> list[PlannedStop]:
    """Return stops whose gaps are spread evenly by their logarithm.

    The second stop is followed by another one of the same gateway, soon after its
    start; of the others, this happens to the share `again_share`.
    """
    rng = random.Random(f"stops {seed}")
    stops: list[PlannedStop] = []
    at_s = 0.0
    while at_s < seconds:
        away = {stop.gateway for stop in stops if stop.back_s > at_s}
        usable = [number for number in range(gateways) if number not in away]
        if len(usable) > MIN_LEFT:
            is_again = len(stops) == 1 or rng.random() < again_share
            again_after_s = rng.uniform(*again_s) if is_again else None
            stops.append(PlannedStop(at_s, rng.choice(usable), again_after_s))
        at_s += gap_s[0] * (gap_s[1] / gap_s[0]) ** rng.random()
    return stops
