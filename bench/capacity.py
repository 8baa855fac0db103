"""Measures the cost per item of each daemon and updates docs/CAPACITY.md.

Usage: `python -m bench.capacity [--seed N] [--tables-only]`. The raw results are
written to `bench/results/capacity.jsonl`, one JSON object per line. From this file
the script rewrites the parts of the page between `<!-- table NAME -->` and
`<!-- end -->`, and nothing else; `--tables-only` does so without measuring again.
"""

import argparse
import asyncio
import json
import os
import sys
import time
from collections.abc import Iterable, Mapping
from pathlib import Path

from bench import (
    capacityagent,
    capacitycontrol,
    capacityentry,
    capacityscale,
    capacitytables,
)
from bench.capacityprobe import Recorder
from bench.capacityroles import COSTS_BY_ROLE
from bench.capacityslopes import RunResults

ROOT = Path(__file__).resolve().parent.parent
RESULTS_DIR = ROOT / "bench" / "results"
RAW_RESULTS_PATH = RESULTS_DIR / "capacity.jsonl"
PAGE_PATH = ROOT / "docs" / "CAPACITY.md"
DEFAULT_SEED = 7


def read_records(path: Path) -> list[dict]:
    """Return the JSON objects of a file, or an empty list if it does not exist."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text("utf-8").splitlines()]


def make_tables(
    records: Iterable[dict], spread_records: Iterable[dict]
) -> Mapping[str, str]:
    """Return all tables of the page by name.

    `spread_records` are the results of the measurement `spread`.
    """
    results = RunResults.from_records(records)
    spread_figures = {record["name"]: record["value"] for record in spread_records}
    tables = {
        "run": run_table(results),
        "interpreter": capacitytables.interpreter_table(results),
        "slopes": capacitytables.slopes_table(results),
        "control": capacitytables.control_table(results),
        "peak": capacitytables.peak_table(results),
        "store": capacitytables.store_table(results),
        "scale": capacityscale.scale_table(results, spread_figures),
        "failures": capacityscale.failures_table(results),
    }
    for role, role_costs in COSTS_BY_ROLE.items():
        tables[role] = capacitytables.cost_table(role_costs(results))
    return tables


def run_table(results: RunResults) -> str:
    """Return the table of the seed, the cores and load, and the duration of the run."""
    labels = {
        "run.seed": "seed",
        "run.cores": "cores of the machine",
        "run.load": "load average at the start",
        "run.elapsed": "duration in seconds",
    }
    rows = [
        (text, capacitytables.format_number(results.values[name]))
        for name, text in labels.items()
    ]
    return capacitytables.markdown_table(("run", "value"), rows)


async def measure(recorder: Recorder) -> None:
    """Run all measurements.

    Measurements that run at the same time start fewer than 40 processes together.
    """
    started = time.monotonic()
    recorder.add_value("run.seed", recorder.seed, "1")
    recorder.add_value("run.cores", os.cpu_count(), "1")
    recorder.add_value("run.load", os.getloadavg()[0], "1")
    capacityentry.measure_libraries(recorder)
    sizes = capacitycontrol.ACCOUNT_COUNTS
    await asyncio.gather(
        *(capacitycontrol.measure_accounts(recorder, size) for size in sizes),
        capacityentry.measure_vm_list(recorder),
        capacityentry.measure_links(recorder),
    )
    # `measure_peers` also measures the CPU time of this process, so it runs alone.
    await capacitycontrol.measure_peers(recorder)
    await asyncio.gather(
        capacityentry.measure_load(recorder),
        capacityagent.measure_agent(recorder),
        capacityagent.measure_log(recorder),
        capacitycontrol.measure_fleet(recorder),
    )
    recorder.add_value("run.elapsed", time.monotonic() - started, "s")


def run_measurements(seed: int) -> None:
    """Run all measurements and write the raw results."""
    recorder = Recorder(seed, on_record=lambda r: print(json.dumps(r), flush=True))
    asyncio.run(measure(recorder))
    RESULTS_DIR.mkdir(exist_ok=True)
    lines = [json.dumps(record) + "\n" for record in recorder.records]
    RAW_RESULTS_PATH.write_text("".join(lines), encoding="utf-8")


def main(arguments: list[str]) -> int:
    """Run the measurements unless `--tables-only` is set, then update the page."""
    parser = argparse.ArgumentParser(prog="bench.capacity")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--tables-only", action="store_true")
    options = parser.parse_args(arguments)
    if not options.tables_only:
        run_measurements(options.seed)
    tables = make_tables(
        read_records(RAW_RESULTS_PATH), read_records(RESULTS_DIR / "spread.jsonl")
    )
    text = capacitytables.replace_tables(PAGE_PATH.read_text("utf-8"), tables)
    PAGE_PATH.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
