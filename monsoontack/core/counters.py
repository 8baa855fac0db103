"""Counters and gauges of a daemon, sent to statsd in batches."""

from collections import Counter

from statsd import StatsClient

# Below the usual MTU of 1500 bytes, so that no packet is fragmented.
MAX_PACKET_BYTES = 1400


class Counters:
    """Counts by name since the process started; `totals` holds them.

    `flush` sends only what changed; without a statsd server nothing is sent.
    """

    def __init__(self, client: StatsClient | None = None):
        self.client = client
        self.totals: Counter = Counter()
        self.flushed: Counter = Counter()
        self.gauges: dict[str, float] = {}

    @classmethod
    def from_address(cls, address: str | None, prefix: str) -> "Counters":
        """Return counters that go to a statsd server at `ip:port`, if given."""
        if address is None:
            return cls()
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        client = StatsClient(
            host,
            int(port),
            prefix=prefix,
            maxudpsize=MAX_PACKET_BYTES,
            ipv6=":" in host,
        )
        return cls(client)

    def add(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        if count:
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
