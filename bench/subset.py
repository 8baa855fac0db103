"""Balance and stability of link subsets at the target scale.

Compares the grouped subsets of `monsoontack.membership.subset` with the alternative
in the design page: each entry chooses its agents independently by rendezvous hashing.
"""

import random
import statistics
from collections import Counter
from collections.abc import Iterator, Sequence

from bench.registry import Figure, measurement
from monsoontack.core.rendezvous import score, stable_hash
from monsoontack.membership.subset import local_subset

ENTRY_COUNT, AGENT_COUNT, LINKS_PER_SERVICE = 390, 850, 16
REPLACEMENT_COUNT = 4


def addresses(network: int, count: int) -> list[str]:
    """Return `count` addresses that are unique to the network."""
    return [f"10.{network}.{i // 250}.{i % 250}:7000" for i in range(count)]


def independent_subset(
    entry: str, entries: Sequence[str], agents: Sequence[str], count: int
):
    """Return the `count` agents with the highest score for the entry."""
    key = stable_hash(entry)
    return sorted(agents, key=lambda a: score(key, a), reverse=True)[:count]


def all_links(
    choose_subset, entries: list[str], agents: list[str]
) -> dict[str, set[str]]:
    """Return the agents to which each entry has a link."""
    return {
        e: set(choose_subset(e, entries, agents, LINKS_PER_SERVICE)) for e in entries
    }


def balance(links: dict[str, set[str]], agents: list[str]) -> dict[str, float]:
    """Return link counts per process, and load per agent relative to the mean.

    All entries get the same traffic and spread it evenly over their agents.
    """
    link_counts, load = (
        Counter(dict.fromkeys(agents, 0)),
        Counter(dict.fromkeys(agents, 0)),
    )
    for chosen in links.values():
        for agent in chosen:
            link_counts[agent] += 1
            load[agent] += 1 / len(chosen)
    mean = sum(load.values()) / len(agents)
    per_entry = [len(chosen) for chosen in links.values()]
    return {
        "agent_links_min": min(link_counts.values()),
        "agent_links_max": max(link_counts.values()),
        "entry_links_min": min(per_entry),
        "entry_links_max": max(per_entry),
        "load_max_of_mean": max(load.values()) / mean,
        "load_deviation_of_mean": statistics.pstdev(load.values()) / mean,
    }


def opened_fraction(
    before: dict[str, set[str]], after: dict[str, set[str]], replaced: str
) -> float:
    """Return the fraction of the remaining entries' links that are new."""
    total = opened = 0
    for entry, chosen in after.items():
        if entry in before:
            total += len(chosen)
            opened += len(chosen - before[entry])
    return opened / total


def mean_opened_fraction(
    choose_subset, links, entries, agents, role: str, rng: random.Random
) -> float:
    """Return the mean fraction of new links after one VM of `role` is replaced."""
    fractions = []
    for index in range(REPLACEMENT_COUNT):
        names = list(entries if role == "entry" else agents)
        replaced = rng.choice(names)
        names[names.index(replaced)] = f"10.9.0.{index}:7000"
        changed = (names, agents) if role == "entry" else (entries, names)
        fractions.append(
            opened_fraction(links, all_links(choose_subset, *changed), replaced)
        )
    return statistics.mean(fractions)


@measurement("subset")
def measure(seed: int) -> Iterator[Figure]:
    """Yield the balance and the fraction of new links for both kinds of subsets."""
    for agent_count, label in (
        (AGENT_COUNT, "one_service"),
        (AGENT_COUNT // 7, "of_seven"),
    ):
        rng = random.Random(seed)
        entries = addresses(seed % 100, ENTRY_COUNT)
        agents = addresses(100 + seed % 100, agent_count)
        for kind, choose_subset in (
            ("independent", independent_subset),
            ("grouped", local_subset),
        ):
            name = f"subset.{label}.{kind}"
            links = all_links(choose_subset, entries, agents)
            figures = balance(links, agents)
            deviation = figures.pop("load_deviation_of_mean")
            for key, value in figures.items():
                yield Figure(f"{name}.{key}", value, "1")
            yield _figure_with_target(
                f"{name}.load_deviation_of_mean", deviation, kind, 0.15
            )
            for role in ("agent", "entry"):
                fraction = mean_opened_fraction(
                    choose_subset, links, entries, agents, role, rng
                )
                key = f"{name}.links_opened_per_{role}_replaced"
                yield _figure_with_target(key, fraction, kind, 0.02)


def _figure_with_target(name: str, value: float, kind: str, limit: float) -> Figure:
    """Return a figure; only grouped subsets have a target."""
    if kind == "independent":
        return Figure(name, value, "1")
    return Figure.at_most(name, value, "1", limit)
