"""Balance and movement of link subsets at the target scale.

Compares the grouped subsets of `monsoontack.membership.subset` with
independent rendezvous subsets of each entry, which the design page would
otherwise take.
"""

import random
import statistics
from collections import Counter
from collections.abc import Iterator, Sequence

from bench.registry import Figure, measurement
from monsoontack.core.rendezvous import score, stable_hash
from monsoontack.membership.subset import local_subset

N_ENTRIES, N_AGENTS, PER_SERVICE = 390, 850, 16
REPLACEMENTS = 4


def addresses(network: int, count: int) -> list[str]:
    """Return `count` addresses that differ between networks."""
    return [f"10.{network}.{i // 250}.{i % 250}:7000" for i in range(count)]


def independent(entry: str, entries: Sequence[str], agents: Sequence[str], k: int):
    """Return the `k` agents with the highest score for the entry."""
    key = stable_hash(entry)
    return sorted(agents, key=lambda a: score(key, a), reverse=True)[:k]


def all_links(choose, entries: list[str], agents: list[str]) -> dict[str, set[str]]:
    """Return the linked agents of every entry."""
    return {e: set(choose(e, entries, agents, PER_SERVICE)) for e in entries}


def balance(links: dict[str, set[str]], agents: list[str]) -> dict[str, float]:
    """Return link counts per agent and load per agent relative to the mean.

    An entry spreads its equal part of the traffic evenly over its agents.
    """
    degrees, load = Counter(dict.fromkeys(agents, 0)), Counter(dict.fromkeys(agents, 0))
    for chosen in links.values():
        for agent in chosen:
            degrees[agent] += 1
            load[agent] += 1 / len(chosen)
    mean = sum(load.values()) / len(agents)
    per_entry = [len(chosen) for chosen in links.values()]
    return {
        "agent_links_min": min(degrees.values()),
        "agent_links_max": max(degrees.values()),
        "entry_links_min": min(per_entry),
        "entry_links_max": max(per_entry),
        "load_max_of_mean": max(load.values()) / mean,
        "load_deviation_of_mean": statistics.pstdev(load.values()) / mean,
    }


def moved(before: dict[str, set[str]], after: dict[str, set[str]], gone: str) -> float:
    """Return the part of links between VMs that stay which were opened anew."""
    total = opened = 0
    for entry, chosen in after.items():
        if entry in before:
            total += len(chosen)
            opened += len(chosen - before[entry])
    return opened / total


def movement(choose, links, entries, agents, role: str, rng: random.Random) -> float:
    """Return the mean part of links opened when one VM of `role` is replaced."""
    parts = []
    for index in range(REPLACEMENTS):
        names = list(entries if role == "entry" else agents)
        gone = rng.choice(names)
        names[names.index(gone)] = f"10.9.0.{index}:7000"
        changed = (names, agents) if role == "entry" else (entries, names)
        parts.append(moved(links, all_links(choose, *changed), gone))
    return statistics.mean(parts)


@measurement("subset")
def measure(seed: int) -> Iterator[Figure]:
    """Yield balance and movement of both kinds of subsets."""
    for n_agents, label in ((N_AGENTS, "one_service"), (N_AGENTS // 7, "of_seven")):
        rng = random.Random(seed)
        entries = addresses(seed % 100, N_ENTRIES)
        agents = addresses(100 + seed % 100, n_agents)
        for kind, choose in (("independent", independent), ("grouped", local_subset)):
            name = f"subset.{label}.{kind}"
            links = all_links(choose, entries, agents)
            figures = balance(links, agents)
            deviation = figures.pop("load_deviation_of_mean")
            for key, value in figures.items():
                yield Figure(f"{name}.{key}", value, "1")
            yield _targeted(f"{name}.load_deviation_of_mean", deviation, kind, 0.15)
            for role in ("agent", "entry"):
                part = movement(choose, links, entries, agents, role, rng)
                key = f"{name}.links_opened_per_{role}_replaced"
                yield _targeted(key, part, kind, 0.02)


def _targeted(name: str, value: float, kind: str, limit: float) -> Figure:
    """Return the figure, with a target unless it is the baseline's."""
    if kind == "independent":
        return Figure(name, value, "1")
    return Figure.at_most(name, value, "1", limit)
