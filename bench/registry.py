"""Registry of measurements.

A module in `bench/` registers a function under the name of its measurement::

    @measurement("resume")
    def measure(seed: int) -> Iterator[Figure]:
        yield Figure.at_most("resume.broken.p95", 0.4, "s", 1.0)
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value; `met` is None if the figure has no target."""

    name: str
    value: float
    unit: str
    target: str | None = None
    met: bool | None = None

    @classmethod
    def at_most(cls, name: str, value: float, unit: str, limit: float) -> "Figure":
        """Return a figure whose target is an upper limit."""
        return cls(name, value, unit, f"<= {limit:g}", value <= limit)

    @classmethod
    def at_least(cls, name: str, value: float, unit: str, limit: float) -> "Figure":
        """Return a figure whose target is a lower limit."""
        return cls(name, value, unit, f">= {limit:g}", value >= limit)

    def record(self, seed: int) -> dict:
        """Return the JSON object that is printed and stored."""
        return {
            "name": self.name,
            "seed": seed,
            "value": round(self.value, 6),
            "unit": self.unit,
            "target": self.target,
            "met": self.met,
        }


Measurement = Callable[[int], Iterator[Figure]]
MEASUREMENTS: dict[str, Measurement] = {}


def measurement(name: str) -> Callable[[Measurement], Measurement]:
    """Register the decorated function under `name`."""

    def register(function: Measurement) -> Measurement:
        if name in MEASUREMENTS:
            raise ValueError(f"measurement {name!r} is already registered")
        MEASUREMENTS[name] = function
        return function

    return register
