"""Checks that the single-file binary serves a request as one process.

A stand-in fleet runs its entry and agent from `dist/monsoontack`, streams one
answer and compares every token. For both processes the check prints the number of
child processes, the resident memory and the number of open memory files, one JSON
object per line. `make binary` runs this module after the build.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from monsoontack.client.client import AnswerProgress
from standins.fleet import Fleet
from tools.build_binary import BINARY_PATH

ANSWER_TOKENS = 50


def child_count(pid: int) -> int:
    """Return the number of child processes of a process."""
    tasks = Path(f"/proc/{pid}/task")
    children = [(task / "children").read_text().split() for task in tasks.iterdir()]
    return sum(map(len, children))


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def open_memory_file_count(pid: int) -> int:
    """Return the number of memory files of extension modules that are still open."""
    links = [os.readlink(fd) for fd in Path(f"/proc/{pid}/fd").iterdir()]
    return sum(link.startswith("/memfd:") for link in links)


def print_figure(name: str, value: float, unit: str, met: bool | None = None) -> bool:
    """Print one measurement; return False if it misses its target."""
    print(json.dumps({"name": name, "value": value, "unit": unit, "met": met}))
    return met is not False


async def check_binary() -> bool:
    """Run the fleet from the binary; return whether all checks pass."""
    started = time.monotonic()
    async with Fleet.start(engines=1, product=[str(BINARY_PATH)]) as fleet:
        print_figure("binary.fleet_ready", round(time.monotonic() - started, 2), "s")
        body = fleet.body("which path is open?", ANSWER_TOKENS)
        progress, text = AnswerProgress(), ""
        async with fleet.client() as client:
            async for part in client.stream("completions", body, progress):
                text += part.text
        complete = (progress.tokens, text) == fleet.expected(body)
        holds = print_figure("binary.answer_whole", int(complete), "answers", complete)
        processes = {"entry": fleet.entries[0], "agent": fleet.backends[0].agent}
        for role, process in processes.items():
            pid = process.popen.pid
            children = child_count(pid)
            holds &= print_figure(
                f"binary.{role}.children", children, "processes", not children
            )
            files = open_memory_file_count(pid)
            holds &= print_figure(
                f"binary.{role}.memory_files", files, "files", not files
            )
            print_figure(f"binary.{role}.resident", round(resident_mb(pid), 1), "MB")
    return holds


def main() -> int:
    """Check the binary and return the exit status of the process."""
    if not BINARY_PATH.exists():
        print("error: dist/monsoontack does not exist; run `make binary`")
        return 2
    return 0 if asyncio.run(check_binary()) else 1


if __name__ == "__main__":
    sys.exit(main())
