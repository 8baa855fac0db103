"""Runs measurements and prints each figure as one line of JSON.

Usage: `python -m bench.main [NAME ...] [--seed N]`. Figures also go to
`bench/results/NAME.jsonl`, which each run of the measurement overwrites. The exit
status is 1 if a figure missed its target.
"""

import argparse
import importlib
import json
import pkgutil
import sys
from pathlib import Path

import bench
from bench.registry import MEASUREMENTS

RESULTS = Path(__file__).resolve().parent / "results"
DEFAULT_SEED = 7


def load_measurements() -> None:
    """Import every module of the package, so that its measurements are registered."""
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name != "main" and not module.name.endswith("_test"):
            importlib.import_module(f"bench.{module.name}")


def run_measurement(name: str, seed: int) -> bool:
    """Run a measurement, print and store its figures; return whether all met theirs."""
    RESULTS.mkdir(exist_ok=True)
    all_met = True
    with open(RESULTS / f"{name}.jsonl", "w", encoding="utf-8") as file:
        for figure in MEASUREMENTS[name](seed):
            line = json.dumps(figure.record(seed))
            print(line, flush=True)
            file.write(line + "\n")
            all_met = all_met and figure.met is not False
    return all_met


def main(arguments: list[str]) -> int:
    """Run the named measurements, or all of them if no name is given."""
    parser = argparse.ArgumentParser(prog="bench.main")
    parser.add_argument("names", nargs="*", metavar="NAME")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    options = parser.parse_args(arguments)
    load_measurements()
    unknown = sorted(set(options.names) - set(MEASUREMENTS))
    if unknown:
        known = ", ".join(sorted(MEASUREMENTS)) or "none"
        print(f"error: unknown measurement {', '.join(unknown)}; available: {known}")
        return 2
    names = options.names or sorted(MEASUREMENTS)
    results = [run_measurement(name, options.seed) for name in names]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
