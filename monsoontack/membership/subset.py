"""Which agents of a service an entry keeps links to.

Entries of a region form groups; within a group each agent of the region belongs
to one entry, so every agent gets one link per group and all agents get equally
many. Both assignments are rendezvous hashes with a bound on the number per
owner, so when a VM is replaced only its own links and a few others move.
docs/routing.md compares this with independent subsets.
"""

import math
from collections.abc import Iterable, Sequence

from monsoontack.core.records import Place, VmRecord
from monsoontack.core.rendezvous import ranked, score, stable_hash

# Bound on keys per owner, relative to the mean.
GROUP_BOUND = 1.25
AGENT_BOUND = 1.1
# An entry that was left with too few agents takes more by its own hash.
MIN_LINKS_FACTOR = 0.75
# An entry alone in its group would otherwise link to every agent.
MAX_LINKS_FACTOR = 1.5
# Numbers of entries are rounded to steps of 5%, so that the number of groups
# stays the same while single entries come and go.
ENTRY_STEP = 1.05
# Idle links between regions that all entries of a region together may hold.
# Heartbeats of about 0.3 KB/s on each busy one then take 5% of the link.
MAX_REMOTE_LINKS = 300
MIN_REMOTE_LINKS = 2


def bounded_owners(
    keys: Iterable[str], owners: Sequence[str], bound: float
) -> dict[str, str]:
    """Return an owner for each key, at most `bound` times the mean per owner.

    A key goes to the owner with the highest score that is not full. Keys are
    taken in hash order, so the result is the same in every process.
    """
    ordered = sorted(set(keys), key=lambda key: (stable_hash(key), key))
    limit = math.ceil(bound * len(ordered) / len(owners))
    free = dict.fromkeys(owners, limit)
    result = {}
    for key in ordered:
        key_hash = stable_hash(key)
        owner = max(free, key=lambda name: score(key_hash, name))
        result[key] = owner
        free[owner] -= 1
        if not free[owner]:
            del free[owner]
    return result


def group_names(n_entries: int, n_agents: int, per_service: int) -> list[str]:
    """Return the names of the groups that the entries of a region form."""
    per_group = max(1, round(n_agents / per_service))
    step = round(math.log(max(n_entries, 1), ENTRY_STEP))
    rounded = ENTRY_STEP**step
    return [f"group-{index}" for index in range(max(1, round(rounded / per_group)))]


def local_subset(
    entry: str, entries: Sequence[str], agents: Sequence[str], per_service: int
) -> list[str]:
    """Return the addresses of agents of its region that `entry` links to.

    `entries` are the live entries of the region, `agents` the addresses of one
    service there; `per_service` is the wanted number of links.
    """
    if len(agents) <= per_service:
        return sorted(agents)
    names = sorted({entry, *entries})
    groups = group_names(len(names), len(agents), per_service)
    group_of = bounded_owners(names, groups, GROUP_BOUND)
    group = group_of[entry]
    members = [name for name in names if group_of[name] == group]
    # The group's name makes each group divide the agents differently.
    prefix = f"{group}|"
    keys = [prefix + address for address in agents]
    owner_of = bounded_owners(keys, members, AGENT_BOUND)
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
    """Return the agents that an entry keeps links to, for all services.

    `entry` is the address of its process for other processes. `records` are the
    VMs that may take work, entries and agents. Agents of the
    own region come first; the other region fills up a service that has too few
    there, and a small reserve is linked while the link between regions allows.
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
        near = [a for a, r in agents.items() if r.place.region == place.region]
        local = local_subset(entry, entries, near, per_service)
        far = set(agents) - set(near)
        wanted = remote_links(len(local), per_service, len(entries), len(services))
        remote = ranked(stable_hash(entry), far)[:wanted]
        chosen.extend(agents[address] for address in [*local, *remote])
    return chosen


def remote_links(
    n_local: int, per_service: int, n_entries: int, n_services: int
) -> int:
    """Return how many links one entry keeps to agents of the other region."""
    affordable = MAX_REMOTE_LINKS // max(n_entries * n_services, 1)
    missing = max(per_service - n_local, 0)
    if not n_local:
        return max(min(missing, affordable), MIN_REMOTE_LINKS)
    return min(max(missing, MIN_REMOTE_LINKS), affordable)
