"""Counters and gauges of a daemon, sent to statsd in batches."""

from collections import Counter

from statsd import StatsClient

# Below the usual MTU of 1500 bytes, so that no packet is fragmented.
MAX_PACKET_BYTES = 1400


class Counters:
    """Named counters and gauges; `totals` holds the counts since the process started.

    `flush` sends all gauges and only the counters that changed. Without a statsd
    client nothing is sent.
    """

    def __init__(self, client: StatsClient | None = None):
        self.client = client
        self.totals: Counter = Counter()
        self.flushed_totals: Counter = Counter()
        self.gauges: dict[str, float] = {}

    @classmethod
    def from_address(cls, address: str | None, prefix: str) -> "Counters":
        """Return counters that are sent to the statsd server at `address`, if given.

        `address` is `ip:port`.
        """
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
        """Increase the counter `name` by `count`."""
        if count:
            self.totals[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self.gauges[name] = value

    def flush(self) -> None:
        """Send the gauges and the increments since the last flush."""
        if self.client is None:
            return
        with self.client.pipeline() as batch:
            for name, total in self.totals.items():
                if total != self.flushed_totals[name]:
                    batch.incr(name, total - self.flushed_totals[name])
            for name, value in self.gauges.items():
                batch.gauge(name, value)
        self.flushed_totals = Counter(self.totals)
