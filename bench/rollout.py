"""Rollout measurements over seeded nights: detection, harm and finish times.

`python -m bench.rollout [--seeds N] [--workers N] [--only NAME]` prints one
JSON object a line with name, seed, value, unit, target and met. Seeds are 0 to
N - 1 for each scenario; the line has the first one. Scenarios, traffic and what
is modelled stand in `bench.nights`.
"""

import argparse
import json
import os
import sys
import time
from collections.abc import Iterator
from concurrent.futures import Executor, ProcessPoolExecutor
from dataclasses import replace
from functools import partial

from bench.nights import NIGHT_S, Night, NightResult, Scenario

SEEDS = 1000
ONSETS = ("at_once", "after_30_min", "above_load", "one_route")
HARM_TARGET_PERCENT = 0.5
FINISH_TARGET_PERCENT = 99.5
PAGE_SIZE = Scenario(
    entries=390,
    engines=850,
    rate=7400.0,
    deadline_s=3600.0,
    load_rate_bytes_s=20_000_000_000.0,
)
PAGE_SIZE_BAD = replace(PAGE_SIZE, onset="at_once")


def scenarios() -> dict[str, Scenario]:
    """Return the scenarios of today's traffic by name."""
    found = {"good": Scenario()}
    for onset in ONSETS:
        found[f"{onset}_failures"] = Scenario(onset, "failures", 2.0)
        found[f"{onset}_slow"] = Scenario(onset, "slow")
    found["above_load_collapse"] = Scenario("above_load", "failures", 100.0)
    return found


def run_night(scenario: Scenario, seed: int) -> NightResult:
    """Run one night; a function of the module, so that workers can call it."""
    return Night(scenario, seed).run()


def line(name: str, value: float, unit: str, target=None, met=None, **more) -> dict:
    """Return one result in the frame of the benches."""
    found = {"name": f"rollout.{name}", "seed": 0, "value": value, "unit": unit}
    return found | {"target": target, "met": met} | more


def percent(part: float, whole: float) -> float:
    """Return a share in percent, rounded to what the number of seeds resolves."""
    return round(100.0 * part / max(whole, 1), 3)


def summarise_good(name: str, results: list[NightResult]) -> Iterator[dict]:
    """Yield the lines of a scenario without a fault."""
    done = sum(r.phase == "complete" for r in results)
    value = percent(done, len(results))
    met = value >= FINISH_TARGET_PERCENT
    wrong = [(i, r.reason) for i, r in enumerate(results) if r.phase != "complete"]
    yield line(
        f"{name}.finished_by_deadline",
        value,
        "percent",
        FINISH_TARGET_PERCENT,
        met,
        seeds=len(results),
        examples=wrong[:3],
    )


def summarise_bad(
    name: str, scenario: Scenario, results: list[NightResult]
) -> Iterator[dict]:
    """Yield the lines of a scenario with a fault."""
    count = len(results)
    stopped = sum(r.phase == "rolled_back" for r in results)
    missed = [i for i, r in enumerate(results) if r.phase != "rolled_back"]
    value = percent(stopped, count)
    yield line(
        f"{name}.rolled_back",
        value,
        "percent",
        100.0,
        stopped == count,
        seeds=count,
        missed_seeds=missed[:10],
    )
    night = scenario.rate * NIGHT_S
    harmed = max(r.harmed for r in results)
    value = percent(harmed, night)
    yield line(
        f"{name}.harmed_worst_night",
        value,
        "percent of the night's requests",
        HARM_TARGET_PERCENT,
        value <= HARM_TARGET_PERCENT,
        seeds=count,
        mean=percent(sum(r.harmed for r in results) / count, night),
    )
    late = sum(r.after_shown for r in results)
    yield line(
        f"{name}.requests_after_shown_plus_3s",
        late,
        "requests",
        0,
        late == 0,
        seeds=count,
        stopped_by_guard=sum(r.by_guard for r in results),
    )
    late = sum(r.after_pooled for r in results)
    yield line(
        f"{name}.requests_after_pooled_evidence_plus_3s",
        round(late / count, 2),
        "requests a night",
        seeds=count,
    )


def measure(
    name: str, scenario: Scenario, seeds: int, pool: Executor
) -> Iterator[dict]:
    """Run a scenario over its seeds and yield its lines."""
    chunk = max(1, seeds // 100)
    run = partial(run_night, scenario)
    results = list(pool.map(run, range(seeds), chunksize=chunk))
    if scenario.onset == "none":
        yield from summarise_good(name, results)
    else:
        yield from summarise_bad(name, scenario, results)


def run(
    seeds: int = SEEDS, workers: int | None = None, only: str = ""
) -> Iterator[dict]:
    """Yield the lines of all scenarios whose name contains `only`."""
    workers = workers or max(1, (os.cpu_count() or 2) // 2)
    with ProcessPoolExecutor(workers) as pool:
        page_size = {"page_size_good": PAGE_SIZE, "page_size_bad": PAGE_SIZE_BAD}
        pending = [
            (name, scenario, pool.submit(run_night, scenario, 0))
            for name, scenario in page_size.items()
            if only in name
        ]
        for name, scenario in scenarios().items():
            if only in name:
                yield from measure(name, scenario, seeds, pool)
        for name, scenario, future in pending:
            if scenario.onset == "none":
                yield from summarise_good(name, [future.result()])
            else:
                yield from summarise_bad(name, scenario, [future.result()])


def main(arguments: list[str]) -> int:
    """Print the lines; the exit status is 1 if a target was missed."""
    parser = argparse.ArgumentParser(prog="bench.rollout", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--workers", type=int)
    parser.add_argument("--only", default="")
    options = parser.parse_args(arguments)
    started, missed = time.monotonic(), False
    for found in run(options.seeds, options.workers, options.only):
        print(json.dumps(found), flush=True)
        missed = missed or found["met"] is False
    print(f"took {time.monotonic() - started:.0f} s", file=sys.stderr)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
