"""Rollout measurements over seeded nights: detection, harm and finish times.

`python -m bench.main rollout [--seed S]` runs 1,000 nights of each scenario
with the seeds from S on; `python -m bench.rollout [--seeds N] [--workers N]
[--only NAME]` restricts it. Scenarios, traffic and what is modelled stand in
`bench.nights`. Seeds of nights that missed a target go to standard error.
"""

import argparse
import json
import os
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial

from bench.nights import NIGHT_S, Night, NightResult, Scenario
from bench.registry import Figure, measurement

SEEDS = 1000
DEFAULT_SEED = 7
ONSETS = ("at_once", "after_30_min", "above_load", "one_route")
HARM_TARGET_PERCENT = 0.5
FINISH_TARGET_PERCENT = 99.5
PAGE_SIZE = Scenario(
    entries=390,
    engines=850,
    rate=7400.0,
    deadline_s=3600.0,
    load_rate_bytes_s=20_000_000_000.0,
    # Entries of a fleet of 390 report each 39 s.
    report_windows=4,
)
PAGE_SIZE_BAD = replace(PAGE_SIZE, onset="at_once")


def scenarios() -> dict[str, Scenario]:
    """Return the scenarios by name; those of the page's size run one seed."""
    found = {"good": Scenario()}
    for onset in ONSETS:
        found[f"{onset}_failures"] = Scenario(onset, "failures", 2.0)
        found[f"{onset}_slow"] = Scenario(onset, "slow")
    found["above_load_collapse"] = Scenario("above_load", "failures", 100.0)
    found["page_size_good"] = PAGE_SIZE
    found["page_size_bad"] = PAGE_SIZE_BAD
    return found


def run_night(scenario: Scenario, seed: int) -> NightResult:
    """Run one night; a function of the module, so that workers can call it."""
    return Night(scenario, seed).run()


def percent(part: float, whole: float) -> float:
    """Return a share in percent."""
    return 100.0 * part / max(whole, 1)


def good_figures(name: str, results: list[NightResult]) -> Iterator[Figure]:
    """Yield the figures of a scenario without a fault."""
    done = percent(sum(r.phase == "complete" for r in results), len(results))
    yield Figure.at_least(f"{name}.finished", done, "%", FINISH_TARGET_PERCENT)
    latest = max(r.ended_at for r in results)
    yield Figure(f"{name}.latest_end", latest, "s after the start")


def bad_figures(
    name: str, scenario: Scenario, results: list[NightResult]
) -> Iterator[Figure]:
    """Yield the figures of a scenario with a fault."""
    stopped = percent(sum(r.phase == "rolled_back" for r in results), len(results))
    yield Figure.at_least(f"{name}.rolled_back", stopped, "%", 100.0)
    night = scenario.rate * NIGHT_S
    worst = percent(max(r.harmed for r in results), night)
    mean = percent(sum(r.harmed for r in results), night * len(results))
    unit = "% of the night's requests"
    yield Figure.at_most(f"{name}.harmed.worst", worst, unit, HARM_TARGET_PERCENT)
    yield Figure(f"{name}.harmed.mean", mean, unit)
    late = sum(r.after_shown for r in results)
    yield Figure.at_most(f"{name}.after_shown_plus_3s", late, "requests", 0)
    pooled = sum(r.after_pooled for r in results) / len(results)
    yield Figure(f"{name}.after_pooled_plus_3s", pooled, "requests a night")


def explain(name: str, first: int, results: list[NightResult], wanted: str) -> None:
    """Print the nights that did not end as wanted."""
    for seed, result in enumerate(results, first):
        if result.phase != wanted:
            print(f"{name} seed {seed}: {result.reason}", file=sys.stderr)


def run(
    seed: int, seeds: int = SEEDS, workers: int | None = None, only: str = ""
) -> Iterator[Figure]:
    """Yield the figures of all scenarios whose name contains `only`."""
    workers = workers or max(1, (os.cpu_count() or 2) - 2)
    chosen = {n: s for n, s in scenarios().items() if only in n}
    with ProcessPoolExecutor(workers) as pool:
        # The long nights of the page's size run beside the many short ones.
        page = {
            n: pool.submit(run_night, s, seed)
            for n, s in chosen.items()
            if s.entries > 3
        }
        for name, scenario in chosen.items():
            if name in page:
                results = [page[name].result()]
            else:
                night, chunk = partial(run_night, scenario), max(1, seeds // 100)
                seeds_run = range(seed, seed + seeds)
                results = list(pool.map(night, seeds_run, chunksize=chunk))
            full_name = f"rollout.{name}"
            if scenario.onset == "none":
                explain(full_name, seed, results, "complete")
                yield from good_figures(full_name, results)
            else:
                explain(full_name, seed, results, "rolled_back")
                yield from bad_figures(full_name, scenario, results)


@measurement("rollout")
def measure(seed: int) -> Iterator[Figure]:
    """Yield the figures of 1,000 nights of each scenario."""
    yield from run(seed)


def main(arguments: list[str]) -> int:
    """Print the figures; the exit status is 1 if a target was missed."""
    parser = argparse.ArgumentParser(prog="bench.rollout")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--workers", type=int)
    parser.add_argument("--only", default="")
    options = parser.parse_args(arguments)
    started, missed = time.monotonic(), False
    for figure in run(options.seed, options.seeds, options.workers, options.only):
        print(json.dumps(figure.record(options.seed)), flush=True)
        missed = missed or figure.met is False
    print(f"took {time.monotonic() - started:.0f} s", file=sys.stderr)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
