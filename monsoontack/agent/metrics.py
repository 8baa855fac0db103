"""Counters of the agent, sent to statsd at intervals."""

from collections import Counter
from dataclasses import dataclass, field

import statsd

MAX_PACKET_BYTES = 1400


@dataclass(slots=True)
class Counters:
    """Totals since the start, and what statsd has not got yet."""

    totals: Counter = field(default_factory=Counter)
    unsent: Counter = field(default_factory=Counter)

    def add(self, name: str, count: int = 1) -> None:
        """Raise a counter."""
        if count:
            self.totals[name] += count
            self.unsent[name] += count

    def flush(self, client: statsd.StatsClient) -> None:
        """Send the changes since the last flush in as few packets as possible."""
        with client.pipeline() as pipeline:
            for name, count in self.unsent.items():
                pipeline.incr(name, count)
        self.unsent.clear()


def make_client(address: str) -> statsd.StatsClient:
    """Return a client for the statsd server at `ip:port`."""
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(
        host.strip("[]"), int(port), prefix="agent", maxudpsize=MAX_PACKET_BYTES
    )
