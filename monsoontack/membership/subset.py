"""Subsetting: selection of the agents of a service that an entry keeps links to.

The entries of a region form groups. Within a group, each agent of the region is
assigned to one entry, so every agent gets one link per group and all agents get
equally many links. Both assignments use rendezvous hashing with a bound on the number
of keys per owner, so only the links of a replaced VM and a few others move.
docs/routing.md compares this with independent subsets.
"""

import math
from collections.abc import Iterable, Sequence

from monsoontack.core.records import Place, VmRecord
from monsoontack.core.rendezvous import ranked, score, stable_hash

# Maximum numbers of keys per owner, relative to the mean.
MAX_ENTRIES_PER_GROUP_FACTOR = 1.25
MAX_AGENTS_PER_ENTRY_FACTOR = 1.1
# An entry with fewer links than this share of the wanted number adds agents by its
# own hash.
MIN_LINKS_FACTOR = 0.75
# Without this limit, a single entry in a group would link to every agent.
MAX_LINKS_FACTOR = 1.5
# The number of entries is rounded to steps of 5%, so that the number of groups does
# not change when single entries start or stop.
ENTRY_COUNT_STEP_FACTOR = 1.05
# Idle links to the other region that all entries of a region together may hold.
# Heartbeats of about 0.3 KB/s on each busy link then take 5% of the link's rate.
MAX_REMOTE_LINKS_PER_REGION = 300
MIN_REMOTE_LINKS_PER_SERVICE = 2


def assign_owners(
    keys: Iterable[str], owners: Sequence[str], max_load_factor: float
) -> dict[str, str]:
    """Assign each key to an owner.

    An owner gets at most `max_load_factor` times the mean number of keys. A key is
    assigned to the owner with the highest score that is not full. Keys are assigned in
    hash order, so the result is the same in every process.
    """
    ordered = sorted(set(keys), key=lambda key: (stable_hash(key), key))
    limit = math.ceil(max_load_factor * len(ordered) / len(owners))
    free_capacity = dict.fromkeys(owners, limit)
    result = {}
    for key in ordered:
        key_hash = stable_hash(key)
        owner = max(free_capacity, key=lambda name: score(key_hash, name))
        result[key] = owner
        free_capacity[owner] -= 1
        if not free_capacity[owner]:
            del free_capacity[owner]
    return result


def group_names(n_entries: int, n_agents: int, per_service: int) -> list[str]:
    """Return the names of the entry groups of a region."""
    per_group = max(1, round(n_agents / per_service))
    step = round(math.log(max(n_entries, 1), ENTRY_COUNT_STEP_FACTOR))
    rounded = ENTRY_COUNT_STEP_FACTOR**step
    return [f"group-{index}" for index in range(max(1, round(rounded / per_group)))]


def local_subset(
    entry: str, entries: Sequence[str], agents: Sequence[str], per_service: int
) -> list[str]:
    """Return the addresses of the agents in its region that `entry` links to.

    `entries` are the live entries of the region, `agents` the addresses of the agents
    of one service in the region. `per_service` is the wanted number of links.
    """
    if len(agents) <= per_service:
        return sorted(agents)
    names = sorted({entry, *entries})
    groups = group_names(len(names), len(agents), per_service)
    group_of = assign_owners(names, groups, MAX_ENTRIES_PER_GROUP_FACTOR)
    group = group_of[entry]
    members = [name for name in names if group_of[name] == group]
    # With the group's name in the key, each group divides the agents differently.
    prefix = f"{group}|"
    keys = [prefix + address for address in agents]
    owner_of = assign_owners(keys, members, MAX_AGENTS_PER_ENTRY_FACTOR)
    own = [key.removeprefix(prefix) for key in keys if owner_of[key] == entry]
    missing = int(MIN_LINKS_FACTOR * per_service) - len(own)
    if missing > 0:
        others = set(agents) - set(own)
        return own + ranked(stable_hash(entry), others)[:missing]
    return ranked(stable_hash(entry), own)[: int(MAX_LINKS_FACTOR * per_service)]


def choose_links(
    entry: str,
    place: Place,
    records: Sequence[VmRecord],
    per_service: int,
) -> list[VmRecord]:
    """Return the agents of all services that an entry keeps links to.

    `entry` is the address of the entry's process for other processes. `records` are
    the entries and agents that may accept work. For each service, the agents of the
    own region come first. Agents of the other region follow if the own region has too
    few, and as a small reserve within the limit on links between regions.
    """
    entries = [
        record.address
        for record in records
        if record.role == "entry" and record.place.region == place.region
    ]
    services = {r.service for r in records if r.role == "agent"}
    chosen = []
    for service in sorted(services):
        agents = {
            record.address: record
            for record in records
            if record.role == "agent" and record.service == service
        }
        own_region = [a for a, r in agents.items() if r.place.region == place.region]
        local = local_subset(entry, entries, own_region, per_service)
        other_region = set(agents) - set(own_region)
        wanted = remote_link_count(len(local), per_service, len(entries), len(services))
        remote = ranked(stable_hash(entry), other_region)[:wanted]
        chosen.extend(agents[address] for address in [*local, *remote])
    return chosen


def remote_link_count(
    n_local: int, per_service: int, n_entries: int, n_services: int
) -> int:
    """Return how many links to the other region an entry keeps for one service."""
    affordable = MAX_REMOTE_LINKS_PER_REGION // max(n_entries * n_services, 1)
    missing = max(per_service - n_local, 0)
    if not n_local:
        return max(min(missing, affordable), MIN_REMOTE_LINKS_PER_SERVICE)
    return min(max(missing, MIN_REMOTE_LINKS_PER_SERVICE), affordable)
