"""Costs per item, fitted to the raw results, and the target scale of the fleet."""

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from monsoontack.rollout.evidence import report_interval_s

BYTES_PER_MB = 1_000_000  # decimal, as on the design page


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Straight line fitted to the points of a series.

    `slope` is the cost of one item, `intercept` the cost without any item.
    """

    slope: float
    intercept: float
    correlation: float
    sizes: tuple[float, ...]
    unit: str

    def value_at(self, size: float) -> float:
        """Return the value of the line at `size`."""
        return self.intercept + self.slope * size


def fit_line(points: Iterable[tuple[float, float]], unit: str) -> LinearFit:
    """Return the least-squares line; raise ValueError for fewer than three points."""
    sizes, values = zip(*sorted(points), strict=True)
    if len(sizes) < 3:
        raise ValueError(f"a slope needs three sizes, not {len(sizes)}")
    line = statistics.linear_regression(sizes, values)
    flat = len(set(values)) == 1
    correlation = 0.0 if flat else statistics.correlation(sizes, values)
    return LinearFit(line.slope, line.intercept, correlation, sizes, unit)


@dataclass(frozen=True, slots=True)
class RunResults:
    """Fitted lines and single values of one run by name."""

    fits: Mapping[str, LinearFit]
    values: Mapping[str, float]

    @classmethod
    def from_records(cls, records: Iterable[dict]) -> "RunResults":
        """Fit a line to each series in raw records."""
        series, units, values = defaultdict(list), {}, {}
        for record in records:
            name = record["name"]
            if "size" in record:
                series[name].append((record["size"], record["value"]))
                units[name] = record["unit"]
            else:
                values[name] = record["value"]
        fits = {name: fit_line(points, units[name]) for name, points in series.items()}
        return cls(fits, values)

    def slope(self, name: str) -> float:
        """Return the cost of one item of a series."""
        return self.fits[name].slope


@dataclass(frozen=True, slots=True)
class TargetScale:
    """The target scale of docs/design.md, and quantities derived from it."""

    entries: int = 390
    engines: int = 850
    accounts: int = 16_000
    services: int = 7
    failure_domains: int = 7
    requests_per_s: float = 7400
    tokens_per_s: float = 1.8e6
    token_gap_s: float = 0.055
    changes_per_day: float = 3000
    failures_per_day: float = 15
    replacements_per_day: float = 430
    links_per_service: int = 16
    control_cores: float = 0.039
    control_memory_bytes: float = 32 * BYTES_PER_MB
    control_bytes_per_s: float = 5000
    tick_s: float = 0.025
    log_retention_s: float = 60.0
    store_reads_per_s: float = 2000
    ledger_writes_per_s: float = 200

    @property
    def evidence_interval_s(self) -> float:
        """Return the interval between evidence reports of an entry."""
        return report_interval_s(self.entries)

    @property
    def vms(self) -> int:
        """Return the number of VMs in the VM list."""
        return self.entries + self.engines

    @property
    def entry_links(self) -> int:
        """Return the number of links of an entry."""
        return self.links_per_service * self.services

    @property
    def agent_links(self) -> float:
        """Return the mean number of links of an agent."""
        return self.entry_links * self.entries / self.engines

    @property
    def entry_tokens_per_s(self) -> float:
        """Return the tokens per second through an entry at peak."""
        return self.tokens_per_s / self.entries

    @property
    def agent_tokens_per_s(self) -> float:
        """Return the tokens per second of an engine at peak."""
        return self.tokens_per_s / self.engines

    @property
    def entry_requests_per_s(self) -> float:
        """Return the requests per second at an entry at peak."""
        return self.requests_per_s / self.entries

    @property
    def running_generations(self) -> float:
        """Return the concurrent generations if each has the p95 token gap."""
        return self.tokens_per_s * self.token_gap_s

    @property
    def mean_answer_tokens(self) -> float:
        """Return the mean number of tokens of an answer."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def changes_per_s(self) -> float:
        """Return the published changes per second, averaged over a day."""
        return self.changes_per_day / 86_400

    @property
    def reports_per_s(self) -> float:
        """Return the evidence reports per second that reach the controller."""
        return self.entries / self.evidence_interval_s


TARGET_SCALE = TargetScale()


def frames_per_s(tokens_per_s: float, links: float, tick_s: float) -> float:
    """Return the frames per second that carry tokens arriving randomly over links.

    A link sends at most one frame per tick, so tokens of the same tick share a frame.
    """
    max_frames_per_s = links / tick_s
    return max_frames_per_s * -math.expm1(-tokens_per_s / max_frames_per_s)
