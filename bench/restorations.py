"""A store restored from a copy below fleets of 5, 68 and 390 entries, in virtual time.

The store is away for 2 s and comes back from a copy without the newest configuration
and without any entry. `serve_again` is the time from its return until all entries have
confirmed their configuration, `refusing` the most entries that refuse keys at a time,
`former` how many came to have an older configuration in force, `writes` the most writes
in a second, `listed_again` the time until the store has all entries again.
"""

import asyncio
import logging
from collections.abc import Iterator
from dataclasses import dataclass

import structlog

from bench.registry import Figure, measurement
from bench.restoremodel import RestoreModel
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.entryregistry import ENTRIES_KIND

ENTRY_COUNTS = (5, 68, 390)
OUTAGE_S = 2.0
# Keys are refused when nothing was confirmed for this time.
KEYS_TRUSTED_S = 3.5
# The users' bounds: what may be in use after the store's return, and the writing calls
# a second of their smallest store.
MAX_SERVE_AGAIN_S = 2.5
MAX_WRITES_PER_S = 400
# The list of entries is needed by those that start; the design allows a restart.
MAX_LISTED_AGAIN_S = 30.0
WATCHED_S = 40.0
STEP_S = 0.1


@dataclass(frozen=True, slots=True)
class RestoreResult:
    """Figures of one run; see the module's docstring."""

    serve_again_s: float
    refusing: int
    former: int
    writes_per_s: int
    listed_again_s: float
    reads_per_s: float


async def simulate(
    entries: int, seed: int, twice: bool = False, restarts: bool = False
) -> RestoreResult:
    """Run one case; `restarts` starts a third of the entries during it."""
    model = RestoreModel.with_entries(entries, seed)
    store, now = model.store, asyncio.get_running_loop().time
    await asyncio.sleep(20.0)
    lost_entries = store.kinds.pop(ENTRIES_KIND)
    stored = store.take_copy()
    store.kinds[ENTRIES_KIND] = lost_entries
    store.put("config", "main", 2)
    await asyncio.sleep(5.0)
    for _ in range(2 if twice else 1):
        store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        store.is_down = False
        store.restore(stored)
    writes_before, reads_before, returned_at = (
        len(store.writes),
        len(store.reads),
        now(),
    )
    serve_again_s = listed_again_s = WATCHED_S
    refusing, restarted = 0, list(model.entries)[::3] if restarts else []
    former: set[str] = set()
    while now() < returned_at + WATCHED_S:
        if restarted and now() > returned_at + 1.0:
            model.start_entry(restarted.pop())
        await asyncio.sleep(STEP_S)
        elapsed_s = now() - returned_at
        if all(e.config.confirmed_at >= returned_at for e in model.entries.values()):
            serve_again_s = min(serve_again_s, elapsed_s)
        if len(store.kinds.get(ENTRIES_KIND, ())) == entries:
            listed_again_s = min(listed_again_s, elapsed_s)
        refusing = max(refusing, model.unconfirmed(KEYS_TRUSTED_S))
        former |= {n for n, e in model.entries.items() if e.config.version == 1}
    for entry in model.entries.values():
        entry.stop()
    return RestoreResult(
        serve_again_s,
        refusing,
        len(former),
        most_in_a_second(store.writes[writes_before:]),
        listed_again_s,
        (len(store.reads) - reads_before) / WATCHED_S,
    )


def most_in_a_second(times: list[float]) -> int:
    """Return the most calls of any second."""
    return max((sum(t <= at < t + 1.0 for at in times) for t in times), default=0)


@measurement("restorations")
def measure(seed: int) -> Iterator[Figure]:
    """Yield the figures of all fleets."""
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    for entries in ENTRY_COUNTS:
        for name, options in (
            ("once", {}),
            ("twice", {"twice": True}),
            ("restarts", {"restarts": True}),
        ):
            found = run_in_virtual_time(simulate(entries, seed, **options))
            prefix = f"restorations.{entries}.{name}"
            if name != "restarts":
                yield Figure.at_most(
                    f"{prefix}.serve_again",
                    found.serve_again_s,
                    "s",
                    MAX_SERVE_AGAIN_S,
                )
                yield Figure(f"{prefix}.refusing", found.refusing, "1")
            yield Figure.at_most(f"{prefix}.former", found.former, "1", 0)
            yield Figure.at_most(
                f"{prefix}.writes", found.writes_per_s, "1/s", MAX_WRITES_PER_S
            )
            yield Figure.at_most(
                f"{prefix}.listed_again", found.listed_again_s, "s", MAX_LISTED_AGAIN_S
            )
            yield Figure(f"{prefix}.reads", found.reads_per_s, "1/s")
