"""Measures simulated rollouts: fault detection, harmed requests and finish times.

`python -m bench.main rollout [--seed S]` runs 1,000 rollouts of each scenario
with consecutive seeds from S; `python -m bench.rollout [--seeds N] [--workers N]
[--only NAME]` runs fewer seeds or scenarios. `bench.rolloutmodel` describes the
traffic, the scenarios and the limits of the model. The seeds of rollouts that ended
in an unexpected phase are printed to standard error.
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

from bench.registry import Figure, measurement
from bench.rolloutmodel import NIGHT_S, RolloutModel, RolloutResult, Scenario

SEED_COUNT = 1000
DEFAULT_SEED = 7
ONSETS = ("at_once", "after_30_min", "above_load", "one_route")
HARM_TARGET_PERCENT = 0.5
FINISH_TARGET_PERCENT = 99.5
TARGET_SCALE = Scenario(
    entries=390,
    engines=850,
    requests_per_s=7400.0,
    deadline_s=3600.0,
    load_rate_bytes_s=20_000_000_000.0,
    # Each of 390 entries reports every 39 s.
    report_windows=4,
)
TARGET_SCALE_BAD = replace(TARGET_SCALE, onset="at_once")


def scenarios() -> dict[str, Scenario]:
    """Return the scenarios by name; those at the target scale run with one seed."""
    named_scenarios = {"good": Scenario()}
    for onset in ONSETS:
        named_scenarios[f"{onset}_failures"] = Scenario(onset, "failures", 2.0)
        named_scenarios[f"{onset}_slow"] = Scenario(onset, "slow")
    named_scenarios["above_load_collapse"] = Scenario("above_load", "failures", 100.0)
    named_scenarios["page_size_good"] = TARGET_SCALE
    named_scenarios["page_size_bad"] = TARGET_SCALE_BAD
    return named_scenarios


def run_model(scenario: Scenario, seed: int) -> RolloutResult:
    """Simulate one rollout; at module level, so that worker processes can import it."""
    return RolloutModel(scenario, seed).run()


def percent(part: float, whole: float) -> float:
    """Return `part` as a percentage of `whole`."""
    return 100.0 * part / max(whole, 1)


def good_figures(name: str, results: list[RolloutResult]) -> Iterator[Figure]:
    """Yield the figures of a scenario in which the new version has no fault."""
    complete_percent = percent(
        sum(r.phase == "complete" for r in results), len(results)
    )
    yield Figure.at_least(
        f"{name}.finished", complete_percent, "%", FINISH_TARGET_PERCENT
    )
    latest = max(r.ended_at for r in results)
    yield Figure(f"{name}.latest_end", latest, "s after the start")


def bad_figures(
    name: str, scenario: Scenario, results: list[RolloutResult]
) -> Iterator[Figure]:
    """Yield the figures of a scenario in which the new version has a fault."""
    rolled_back_percent = percent(
        sum(r.phase == "rolled_back" for r in results), len(results)
    )
    yield Figure.at_least(f"{name}.rolled_back", rolled_back_percent, "%", 100.0)
    total_requests = scenario.requests_per_s * NIGHT_S
    worst_percent = percent(max(r.harmed for r in results), total_requests)
    mean_percent = percent(
        sum(r.harmed for r in results), total_requests * len(results)
    )
    unit = "% of the night's requests"
    yield Figure.at_most(
        f"{name}.harmed.worst", worst_percent, unit, HARM_TARGET_PERCENT
    )
    yield Figure(f"{name}.harmed.mean", mean_percent, unit)
    late_requests = sum(r.after_shown for r in results)
    yield Figure.at_most(f"{name}.after_shown_plus_3s", late_requests, "requests", 0)
    late_after_pooled = sum(r.after_pooled for r in results) / len(results)
    yield Figure(f"{name}.after_pooled_plus_3s", late_after_pooled, "requests a night")


def print_unexpected_ends(
    name: str, first: int, results: list[RolloutResult], expected_phase: str
) -> None:
    """Print the rollouts that did not end in the expected phase."""
    for seed, result in enumerate(results, first):
        if result.phase != expected_phase:
            print(f"{name} seed {seed}: {result.reason}", file=sys.stderr)


def run(
    seed: int, seeds: int = SEED_COUNT, workers: int | None = None, only: str = ""
) -> Iterator[Figure]:
    """Yield the figures of all scenarios whose names contain `only`."""
    workers = workers or max(1, (os.cpu_count() or 2) - 2)
    chosen = {n: s for n, s in scenarios().items() if only in n}
    with ProcessPoolExecutor(workers) as pool:
        # The slow runs at the target scale run in parallel with the many short ones.
        target_scale_runs = {
            n: pool.submit(run_model, s, seed)
            for n, s in chosen.items()
            if s.entries > 3
        }
        for name, scenario in chosen.items():
            if name in target_scale_runs:
                results = [target_scale_runs[name].result()]
            else:
                run_seed, chunk = partial(run_model, scenario), max(1, seeds // 100)
                seeds_run = range(seed, seed + seeds)
                results = list(pool.map(run_seed, seeds_run, chunksize=chunk))
            full_name = f"rollout.{name}"
            if scenario.onset == "none":
                print_unexpected_ends(full_name, seed, results, "complete")
                yield from good_figures(full_name, results)
            else:
                print_unexpected_ends(full_name, seed, results, "rolled_back")
                yield from bad_figures(full_name, scenario, results)


@measurement("rollout")
def measure(seed: int) -> Iterator[Figure]:
    """Yield the figures of 1,000 simulated rollouts of each scenario."""
    yield from run(seed)


def main(arguments: list[str]) -> int:
    """Print the figures; the exit status is 1 if a target was missed."""
    parser = argparse.ArgumentParser(prog="bench.rollout")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--seeds", type=int, default=SEED_COUNT)
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
