"""Slopes of the raw results, and the state of each role at the target scale."""

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from monsoontack.rollout.evidence import report_interval_s

MIB = 1_000_000  # the design page's MB


@dataclass(frozen=True, slots=True)
class Fit:
    """Straight line through the points of a series.

    `slope` is the cost of one item, `intercept` what remains without any.
    """

    slope: float
    intercept: float
    correlation: float
    sizes: tuple[float, ...]
    unit: str

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(points: Iterable[tuple[float, float]], unit: str) -> Fit:
    """Return the least-squares line; ValueError if there are under three points."""
    sizes, values = zip(*sorted(points), strict=True)
    if len(sizes) < 3:
        raise ValueError(f"a slope needs three sizes, not {len(sizes)}")
    line = statistics.linear_regression(sizes, values)
    flat = len(set(values)) == 1
    correlation = 0.0 if flat else statistics.correlation(sizes, values)
    return Fit(line.slope, line.intercept, correlation, sizes, unit)


@dataclass(frozen=True, slots=True)
class Measured:
    """Slopes and single values of one run by name."""

    fits: Mapping[str, Fit]
    values: Mapping[str, float]

    @classmethod
    def from_records(cls, records: Iterable[dict]) -> "Measured":
        """Return the slopes of all series in raw records."""
        series, units, values = defaultdict(list), {}, {}
        for record in records:
            name = record["name"]
            if "size" in record:
                series[name].append((record["size"], record["value"]))
                units[name] = record["unit"]
            else:
                values[name] = record["value"]
        fits = {name: fit(points, units[name]) for name, points in series.items()}
        return cls(fits, values)

    def slope(self, name: str) -> float:
        """Return the cost of one item of a series."""
        return self.fits[name].slope


@dataclass(frozen=True, slots=True)
class Target:
    """The target scale of docs/design.md and what follows from it."""

    entries: int = 390
    engines: int = 850
    accounts: int = 16_000
    services: int = 7
    domains: int = 7
    requests_per_s: float = 7400
    tokens_per_s: float = 1.8e6
    token_gap_s: float = 0.055
    changes_per_day: float = 3000
    failures_per_day: float = 15
    replacements_per_day: float = 430
    links_per_service: int = 16
    control_cores: float = 0.039
    control_bytes: float = 32 * MIB
    control_bytes_per_s: float = 5000
    tick_s: float = 0.025
    kept_s: float = 60.0
    store_reads_per_s: float = 2000
    ledger_writes_per_s: float = 200

    @property
    def report_s(self) -> float:
        """Seconds between two evidence reports of an entry."""
        return report_interval_s(self.entries)

    @property
    def vms(self) -> int:
        """VMs in the list."""
        return self.entries + self.engines

    @property
    def entry_links(self) -> int:
        """Links of an entry."""
        return self.links_per_service * self.services

    @property
    def agent_links(self) -> float:
        """Mean number of links of an agent."""
        return self.entry_links * self.entries / self.engines

    @property
    def entry_tokens_per_s(self) -> float:
        """Tokens a second through an entry at peak."""
        return self.tokens_per_s / self.entries

    @property
    def agent_tokens_per_s(self) -> float:
        """Tokens a second of an engine at peak."""
        return self.tokens_per_s / self.engines

    @property
    def entry_requests_per_s(self) -> float:
        """Requests a second at an entry at peak."""
        return self.requests_per_s / self.entries

    @property
    def running(self) -> float:
        """Generations that run at once, if each has the p95 token gap."""
        return self.tokens_per_s * self.token_gap_s

    @property
    def answer_tokens(self) -> float:
        """Mean tokens of an answer."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def changes_per_s(self) -> float:
        """Published changes a second, averaged over a day."""
        return self.changes_per_day / 86_400

    @property
    def reports_per_s(self) -> float:
        """Evidence reports that reach the controller a second."""
        return self.entries / self.report_s


TARGET = Target()


def frames_per_s(tokens_per_s: float, links: float, tick_s: float) -> float:
    """Return the frames that carry tokens which arrive at random over links.

    A link sends at most one frame a tick, so tokens of one tick share a frame.
    """
    slots = links / tick_s
    return slots * -math.expm1(-tokens_per_s / slots)
