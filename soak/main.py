"""Run soak tests manually: `python -m soak.main --seeds 50 --first 1 --seconds 20`."""

import argparse
import asyncio
import json
import sys

from soak.regressions import REGRESSIONS
from soak.run import run_seed


def main() -> int:
    """Run the seeds in sequence; return 1 if a seed violated an invariant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="how many seeds")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=20.0, help="faults, each seed")
    parser.add_argument(
        "--regressions", action="store_true", help="the seeds that ever failed"
    )
    options = parser.parse_args()
    failed = 0
    seeds = range(options.first, options.first + options.seeds)
    if options.regressions:
        seeds = list(REGRESSIONS)
    for seed in seeds:
        result = asyncio.run(run_seed(seed, options.seconds))
        failed += bool(result.violations or result.unserved)
        row = {
            "seed": seed,
            "requests": result.requests,
            "statuses": dict(sorted(result.statuses.items())),
            "faults": dict(result.faults),
            "broken": result.violations,
            "unserved": result.unserved,
        }
        print(json.dumps(row), flush=True)
        for line in result.log_lines:
            print(line, file=sys.stderr, flush=True)
    print(f"{len(seeds) - failed} of {len(seeds)} seeds kept every promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
