"""Estimate of what other gateways put on the servers of a service.

Written for fleets of more than 33 gateways, where a gateway hears from the peers of its
group only. The usage of its own part of the servers is what these peers report, scaled
by region if further groups use the same part. Servers of other parts are taken for
busier than the own ones, so that they are used only if the own ones have failed or are
full.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from monsoontack.gateway.fleet import Member
from monsoontack.gateway.records import EngineTraits
from monsoontack.loadview.groups import GatewayGroup, parts_of
from monsoontack.loadview.messages import NO_USAGE, EngineUsage

# Usage by which a server of another part exceeds the busiest one of the own part: a run
# of the usual prompt, whose length the deployments state as 8,000 tokens.
OTHER_PART_USAGE = EngineUsage(1, 8000, 9000)
# Share of the KV cache that counts as used at most in the part to which a group turns
# when its own one is full.
MAX_OVERFLOW_MEMORY_SHARE = 0.5


@dataclass(slots=True, repr=False)
class UsageEstimator:
    """Estimates the usage of other gateways for the gateway of a `group`.

    `heard` holds the region of each peer that this gateway hears from. `parts` caches
    the part of each server by service, with the servers from which it follows;
    `server_counts` holds the number of servers at the last estimate.
    """

    group: GatewayGroup = field(default_factory=GatewayGroup)
    heard: Mapping[str, str] = field(default_factory=dict)
    parts: dict[str, tuple[list, dict[str, int]]] = field(default_factory=dict)
    server_counts: dict[str, int] = field(default_factory=dict)

    def estimate(
        self,
        usage_by_peer: Mapping[str, Mapping[str, EngineUsage]],
        service: str,
        servers: list[Member],
        traits: EngineTraits,
    ) -> dict[str, EngineUsage]:
        """Return the usage of each server by other gateways, by its start.

        `usage_by_peer` is what live peers reported, `servers` all servers of the
        service, `traits` those of its engines.
        """
        self.server_counts[service] = len(servers)
        part_count = self.group.part_count(len(servers))
        usage = self.scaled_totals(usage_by_peer, part_count)
        if part_count == 1:
            return usage
        own, parts = (
            self.group.index % part_count,
            self._parts(service, servers, part_count),
        )
        busiest = _maximum(
            usage.get(key, NO_USAGE) for key, part in parts.items() if part == own
        ).plus(OTHER_PART_USAGE)
        overflow_part = (own + 1) % part_count
        memory_tokens = int(MAX_OVERFLOW_MEMORY_SHARE * (traits.memory_tokens or 10**9))
        for member in servers:
            part = parts[member.limit_key]
            if part == own:
                continue
            expected = busiest
            if part == overflow_part:
                expected = EngineUsage(
                    min(busiest.runs, (member.server.slots or traits.slots) - 1),
                    busiest.waiting_tokens,
                    min(busiest.held_tokens, memory_tokens),
                )
            heard = usage.get(member.limit_key, NO_USAGE)
            usage[member.limit_key] = expected.plus(heard)
        return usage

    def waiting_factors(self, service: str) -> dict[str, float]:
        """Return for how many gateways the waiting requests of each peer stand."""
        return self.factors(self.group.part_count(self.server_counts.get(service, 0)))

    def sharing_count(self, server_count: int) -> int:
        """Return how many gateways, this one included, use the same servers."""
        return (
            sum(self.group.sharing(self.group.part_count(server_count)).values()) or 1
        )

    def scaled_totals(
        self, usage_by_peer: Mapping[str, Mapping[str, EngineUsage]], part_count: int
    ) -> dict[str, EngineUsage]:
        """Return the reported usage, scaled by region to all that use the own part."""
        factors = self.factors(part_count)
        sums: dict[str, list[float]] = {}
        for peer, peer_usage in usage_by_peer.items():
            factor = factors.get(peer, 1.0)
            for key, usage in peer_usage.items():
                total = sums.setdefault(key, [0.0, 0.0, 0.0])
                total[0] += factor * usage.runs
                total[1] += factor * usage.waiting_tokens
                total[2] += factor * usage.held_tokens
        return {
            key: EngineUsage(*(round(amount) for amount in total))
            for key, total in sums.items()
        }

    def factors(self, part_count: int) -> dict[str, float]:
        """Return for how many gateways of its region the usage of each peer stands.

        The gateways are those that use the own one of `part_count` parts.
        """
        if part_count == self.group.count:
            return {}
        counts: dict[str, int] = {}
        for region in self.heard.values():
            counts[region] = counts.get(region, 0) + 1
        sharing = self.group.sharing(part_count)
        sharing[self.group.region] -= 1
        return {
            peer: max(sharing[region] / counts[region], 1.0)
            for peer, region in self.heard.items()
        }

    def _parts(
        self, service: str, servers: list[Member], part_count: int
    ) -> dict[str, int]:
        keys = [self.group.count, part_count, *(member.limit_key for member in servers)]
        cached = self.parts.get(service)
        if cached is None or cached[0] != keys:
            parts = parts_of(servers, self.group.count, part_count)
            cached = self.parts[service] = keys, parts
        return cached[1]


def _maximum(usages: Iterable[EngineUsage]) -> EngineUsage:
    """Return the largest amounts of several usages."""
    runs = waiting_tokens = held_tokens = 0
    for usage in usages:
        runs = max(runs, usage.runs)
        waiting_tokens = max(waiting_tokens, usage.waiting_tokens)
        held_tokens = max(held_tokens, usage.held_tokens)
    return EngineUsage(runs, waiting_tokens, held_tokens)
