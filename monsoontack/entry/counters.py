"""Counters of the entry, sent to statsd once a second in one batch."""

from collections import Counter

from statsd import StatsClient

PREFIX = "monsoontack.entry"
FLUSH_S = 1.0


class Counters:
    """Counts by name since the process started."""

    def __init__(self, client: StatsClient | None = None):
        self.client = client
        self.totals: Counter = Counter()
        self.flushed: Counter = Counter()
        self.gauges: dict[str, float] = {}

    @classmethod
    def from_address(cls, address: str | None) -> "Counters":
        """Return counters that go to a statsd server at `ip:port`, if given."""
        if address is None:
            return cls()
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        is_ipv6 = ":" in host
        return cls(StatsClient(host, int(port), prefix=PREFIX, ipv6=is_ipv6))

    def add(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self.gauges[name] = value

    def flush(self) -> None:
        """Send what was counted since the last flush."""
        if self.client is None:
            return
        with self.client.pipeline() as batch:
            for name, total in self.totals.items():
                if total != self.flushed[name]:
                    batch.incr(name, total - self.flushed[name])
            for name, value in self.gauges.items():
                batch.gauge(name, value)
        self.flushed = Counter(self.totals)
