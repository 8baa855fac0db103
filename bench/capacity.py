"""Measures slopes and writes docs/CAPACITY.md: `python -m bench.capacity`.

Usage: `python -m bench.capacity [--seed N] [--tables-only]`. Raw results go to
`bench/results/capacity.jsonl`, one JSON object a line. Only the parts of the
page between `<!-- table NAME -->` and `<!-- end -->` are rewritten, from that
file; `--tables-only` does so without measuring again.
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
from bench.capacityroles import ROLES
from bench.capacityslopes import Measured

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "bench" / "results"
RAW = RESULTS / "capacity.jsonl"
PAGE = ROOT / "docs" / "CAPACITY.md"
DEFAULT_SEED = 7


def read_records(path: Path) -> list[dict]:
    """Return the JSON objects of a file, none if it does not exist."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text("utf-8").splitlines()]


def make_tables(records: Iterable[dict], spread: Iterable[dict]) -> Mapping[str, str]:
    """Return all tables of the page; `spread` are records of that measurement."""
    measured = Measured.from_records(records)
    figures = {record["name"]: record["value"] for record in spread}
    tables = {
        "run": run_table(measured),
        "interpreter": capacitytables.interpreter_table(measured),
        "slopes": capacitytables.slopes_table(measured),
        "control": capacitytables.control_table(measured),
        "peak": capacitytables.peak_table(measured),
        "store": capacitytables.store_table(measured),
        "scale": capacityscale.scale_table(measured, figures),
        "failures": capacityscale.failures_table(measured),
    }
    for role, parts in ROLES.items():
        tables[role] = capacitytables.parts_table(parts(measured))
    return tables


def run_table(measured: Measured) -> str:
    """Return on what machine and for how long the script ran."""
    names = {
        "run.seed": "seed",
        "run.cores": "cores of the machine",
        "run.load": "load average at the start",
        "run.elapsed": "duration in seconds",
    }
    rows = [
        (text, capacitytables.number(measured.values[name]))
        for name, text in names.items()
    ]
    return capacitytables.table(("run", "value"), rows)


async def measure(recorder: Recorder) -> None:
    """Measure everything; groups that run at once stay below 40 processes."""
    started = time.monotonic()
    recorder.value("run.seed", recorder.seed, "1")
    recorder.value("run.cores", os.cpu_count(), "1")
    recorder.value("run.load", os.getloadavg()[0], "1")
    capacityentry.measure_libraries(recorder)
    sizes = capacitycontrol.ACCOUNTS
    await asyncio.gather(
        *(capacitycontrol.measure_accounts(recorder, size) for size in sizes),
        capacityentry.measure_vm_list(recorder),
        capacityentry.measure_links(recorder),
    )
    # The CPU of this process is measured here, so nothing runs beside it.
    await capacitycontrol.measure_peers(recorder)
    await asyncio.gather(
        capacityentry.measure_load(recorder),
        capacityagent.measure_agent(recorder),
        capacityagent.measure_log(recorder),
        capacitycontrol.measure_fleet(recorder),
    )
    recorder.value("run.elapsed", time.monotonic() - started, "s")


def run_measurements(seed: int) -> None:
    """Measure and write the raw results."""
    recorder = Recorder(seed, listener=lambda r: print(json.dumps(r), flush=True))
    asyncio.run(measure(recorder))
    RESULTS.mkdir(exist_ok=True)
    lines = [json.dumps(record) + "\n" for record in recorder.records]
    RAW.write_text("".join(lines), encoding="utf-8")


def main(arguments: list[str]) -> int:
    """Measure unless told not to, then rewrite the tables of the page."""
    parser = argparse.ArgumentParser(prog="bench.capacity")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--tables-only", action="store_true")
    options = parser.parse_args(arguments)
    if not options.tables_only:
        run_measurements(options.seed)
    tables = make_tables(read_records(RAW), read_records(RESULTS / "spread.jsonl"))
    text = capacitytables.replace_tables(PAGE.read_text("utf-8"), tables)
    PAGE.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
