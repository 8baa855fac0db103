"""Groups of gateways that share a part of a service's servers.

Written for fleets of more than 33 gateways, in which a gateway can exchange load with
32 peers only. The gateways form groups of at most 33 whose members exchange load with
each other, and the servers of a large service are divided among the groups. All that
matters at a server is then known to the gateways that use it, and neither the messages
nor the placements between two messages grow with the fleet. Every gateway computes the
same groups from the list of entries.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from monsoontack.core.rendezvous import stable_hash
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.peers import PeerEntry
from monsoontack.loadview.outbox import MAX_PEERS

MAX_GROUP_GATEWAYS = MAX_PEERS + 1
# Servers of a part: two in each of six failure domains, so that the loss of a domain
# leaves a group most of its servers. Services with fewer servers for each group are
# divided into fewer parts, and several groups share one.
MIN_PART_SERVERS = 12


@dataclass(frozen=True, slots=True)
class GatewayGroup:
    """The group of a gateway in `region`: its `index` among `count` groups.

    `members` are the other gateways of the group. `sizes` holds for each group the
    number of its gateways by region.
    """

    region: str = ""
    index: int = 0
    count: int = 1
    members: Mapping[str, PeerEntry] = field(default_factory=dict)
    sizes: Sequence[Mapping[str, int]] = ({},)

    def part_count(self, server_count: int) -> int:
        """Return into how many parts the servers of a service are divided."""
        return max(min(self.count, server_count // MIN_PART_SERVERS), 1)

    def sharing(self, part_count: int) -> dict[str, int]:
        """Return the number of gateways that use the own part, by region.

        The gateway itself is included. Without a list of entries there are none.
        """
        totals: dict[str, int] = defaultdict(int)
        for index in range(self.index % part_count, self.count, part_count):
            for region, size in self.sizes[index].items():
                totals[region] += size
        return dict(totals)


def group_of(name: str, entries: Mapping[str, PeerEntry]) -> GatewayGroup:
    """Return the group of the gateway `name`; `entries` may contain it.

    The gateways are cut into groups of equal size in the order of their hashes, so that
    one that starts or stops moves at most one gateway of each group.
    """
    regions = {n: peer.region for n, peer in entries.items() if peer.address}
    if name not in regions:
        regions[name] = entries[name].region if name in entries else ""
    ordered = sorted(regions, key=lambda n: (stable_hash(n), n))
    count = -(-len(ordered) // MAX_GROUP_GATEWAYS)
    sizes: list[dict[str, int]] = [defaultdict(int) for _ in range(count)]
    groups: list[list[str]] = [[] for _ in range(count)]
    for position, gateway in enumerate(ordered):
        index = position * count // len(ordered)
        groups[index].append(gateway)
        sizes[index][regions[gateway]] += 1
    own = next(index for index, names in enumerate(groups) if name in names)
    members = {n: entries[n] for n in groups[own] if n != name}
    return GatewayGroup(regions[name], own, count, members, sizes)


def parts_of(
    servers: Iterable[Member], group_count: int, part_count: int
) -> dict[str, int]:
    """Return the part of each server, by its start.

    The servers are cut into a slice for each group, and a part has the slices of the
    groups that share it, so that parts have servers in proportion to their gateways.
    The servers of each failure domain are divided by themselves, so that every part has
    servers in all domains and the restart of one domain moves no others. A server that
    starts again under its name returns to its part.
    """
    domains: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for member in servers:
        server = member.server
        rank = stable_hash(server.incarnation or member.limit_key)
        domains[server.place.failure_domain].append((rank, member.limit_key))
    parts = {}
    for domain, ranks in domains.items():
        # The slices that get one server more than others differ between domains.
        offset = stable_hash(domain)
        for position, (_, key) in enumerate(sorted(ranks)):
            index = (position * group_count // len(ranks) + offset) % group_count
            parts[key] = index % part_count
    return parts
