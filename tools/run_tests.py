"""Test runner: discovers `*_test.py` with unittest and prints a summary line.

Each test module runs in its own interpreter, so that it cannot depend on state
that another module left behind; a few modules run in parallel. Tests listed in
KNOWN-RED.txt still run, and their failures are printed but do not fail the run.
Arguments restrict the run to modules whose dotted name contains one of them.
"""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
TEST_PACKAGES = (
    "monsoontack",
    "standins",
    "specs",
    "bench",
    "demo",
    "examples",
    "soak",
    "tools",
    "tests",
)
MAX_PARALLEL_MODULES = 8
MODULE_TIMEOUT_S = 900
RESULT_LINE = re.compile(
    r"^RESULT run=(\d+) failed=(\d+) skipped=(\d+)(?: ids=(.*))?$", re.MULTILINE
)

CHILD_PROGRAM = """
import sys, unittest
suite = unittest.defaultTestLoader.loadTestsFromName(sys.argv[1])
result = unittest.TextTestRunner(verbosity=1, buffer=False).run(suite)
bad = [t.id() for t, _ in result.failures + result.errors]
bad += [t.id() for t in result.unexpectedSuccesses]
print(f"RESULT run={result.testsRun} failed={len(bad)}"
      f" skipped={len(result.skipped)} ids={','.join(bad)}")
"""


def find_modules(filters: list[str]) -> list[str]:
    """Return the dotted names of all test modules that match `filters`."""
    paths = [p for top in TEST_PACKAGES for p in (ROOT / top).rglob("*_test.py")]
    names = sorted(".".join(p.relative_to(ROOT).with_suffix("").parts) for p in paths)
    if not filters:
        return names
    return [name for name in names if any(part in name for part in filters)]


def read_known_red() -> set[str]:
    """Return the test ids listed in KNOWN-RED.txt, one `test:` line each."""
    if not KNOWN_RED_FILE.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED_FILE.read_text(), re.MULTILINE))


def run_module(name: str) -> tuple[str, int, set[str], int, str]:
    """Run a test module; return its name, test count, failed ids, skips and output."""
    command = [sys.executable, "-W", "ignore", "-c", CHILD_PROGRAM, name]
    env = dict(os.environ, PYTHONPATH=str(ROOT), PYTHONHASHSEED="0")
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return name, 1, {f"{name} (timeout)"}, 0, f"no result in {MODULE_TIMEOUT_S} s"
    output = completed.stdout + completed.stderr
    match = RESULT_LINE.search(completed.stdout)
    if match is None:
        return name, 1, {f"{name} (crash)"}, 0, output
    failed = {test_id for test_id in (match.group(4) or "").split(",") if test_id}
    return name, int(match.group(1)), failed, int(match.group(3)), output


def main(arguments: list[str]) -> int:
    """Run the selected modules and return the exit status of the process."""
    modules = find_modules(arguments)
    if not modules:
        print(f"error: no test module matches {' '.join(arguments) or '*_test.py'}")
        return 2
    expected_red = read_known_red()
    run = failed = skipped = 0
    with ThreadPoolExecutor(MAX_PARALLEL_MODULES) as pool:
        for name, count, failed_ids, skips, output in pool.map(run_module, modules):
            known = failed_ids & expected_red
            new = failed_ids - expected_red
            run, failed, skipped = (
                run + count,
                failed + len(new),
                skipped + skips,
            )
            print(f"{'FAIL' if new else 'ok'} {name}: {count} run", flush=True)
            for test_id in sorted(known):
                print(f"known red: {test_id}")
            if new:
                print(output)
    print(f"{run - failed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
