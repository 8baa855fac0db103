"""Checks that the single-file binary serves a request as one process.

A stand-in fleet runs its entry and agent from `dist/monsoontack`, streams one
answer and compares every token. For both processes it prints, as one JSON
object a line, the number of child processes, the resident memory and files
left open on the binary. `make binary` runs it after the build.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from monsoontack.client.client import AnswerProgress
from standins.fleet import Fleet
from tools.build_binary import TARGET

BODY_TOKENS = 50


def child_count(pid: int) -> int:
    """Return the number of child processes of a process."""
    tasks = Path(f"/proc/{pid}/task")
    children = [(task / "children").read_text().split() for task in tasks.iterdir()]
    return sum(map(len, children))


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def memory_files_open(pid: int) -> int:
    """Return how many memory files of extension modules are still open."""
    links = [os.readlink(fd) for fd in Path(f"/proc/{pid}/fd").iterdir()]
    return sum(link.startswith("/memfd:") for link in links)


def report(name: str, value: float, unit: str, met: bool | None = None) -> bool:
    """Print one figure; return False if it misses its target."""
    print(json.dumps({"name": name, "value": value, "unit": unit, "met": met}))
    return met is not False


async def check() -> bool:
    """Run the fleet from the binary; return whether all checks hold."""
    started = time.monotonic()
    async with Fleet.start(engines=1, product=[str(TARGET)]) as fleet:
        report("binary.fleet_ready", round(time.monotonic() - started, 2), "s")
        body = fleet.body("which path is open?", BODY_TOKENS)
        progress, text = AnswerProgress(), ""
        async with fleet.client() as client:
            async for part in client.stream("completions", body, progress):
                text += part.text
        whole = (progress.tokens, text) == fleet.expected(body)
        holds = report("binary.answer_whole", int(whole), "answers", whole)
        processes = {"entry": fleet.entries[0], "agent": fleet.backends[0].agent}
        for role, process in processes.items():
            pid = process.popen.pid
            children = child_count(pid)
            holds &= report(
                f"binary.{role}.children", children, "processes", not children
            )
            files = memory_files_open(pid)
            holds &= report(f"binary.{role}.memory_files", files, "files", not files)
            report(f"binary.{role}.resident", round(resident_mb(pid), 1), "MB")
    return holds


def main() -> int:
    """Check the binary and return the exit status of the process."""
    if not TARGET.exists():
        print("error: dist/monsoontack does not exist; run `make binary`")
        return 2
    return 0 if asyncio.run(check()) else 1


if __name__ == "__main__":
    sys.exit(main())
