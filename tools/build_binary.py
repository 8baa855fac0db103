"""Builds `dist/monsoontack`, one executable file with all libraries inside.

`make binary` runs it. The file needs Python 3.11 on the VM and nothing else.
After the build, `tools/check_binary.py` starts it and serves a request.
"""

import compileall
import shutil
import stat
import subprocess
import sys
import zipfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "binary"
TARGET = ROOT / "dist" / "monsoontack"
SHEBANG = b"#!/usr/bin/env python3.11\n"
# Test suites, headers and type stubs in wheels are never imported.
UNUSED_SUFFIXES = (".pyi", ".pyx", ".pxd", ".h", ".c", ".hpp", ".cpp", "_test.py")
UNUSED_FOLDERS = {"tests", "test", "testing", "__pycache__", "bin", "include"}


def collect() -> None:
    """Install the libraries and copy the product into the build folder."""
    shutil.rmtree(BUILD, ignore_errors=True)
    BUILD.mkdir(parents=True)
    requirements = str(ROOT / "requirements.txt")
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--target", str(BUILD), "-r", requirements]
    subprocess.run(command, check=True)
    shutil.copytree(ROOT / "monsoontack", BUILD / "monsoontack")
    shutil.copy(ROOT / "tools" / "binary_main.py", BUILD / "__main__.py")


def is_used(path: Path) -> bool:
    """Tell whether a file of the build folder belongs into the archive."""
    parts = path.relative_to(BUILD).parts
    if any(part in UNUSED_FOLDERS for part in parts[:-1]):
        return False
    return not path.name.endswith(UNUSED_SUFFIXES)


def compile_sources() -> None:
    """Compile each module beside its source, so that no start compiles again."""
    used = [p for p in BUILD.rglob("*.py") if is_used(p)]
    for path in used:
        if compileall.compile_file(path, quiet=2, legacy=True):
            path.unlink()


def pack() -> None:
    """Write the archive behind the interpreter line and make it executable."""
    TARGET.parent.mkdir(exist_ok=True)
    with TARGET.open("wb") as output:
        output.write(SHEBANG)
        with zipfile.ZipFile(output, "w", zipfile.ZIP_DEFLATED) as archive:
            # The zip importer finds namespace packages by their folder entries.
            for path in sorted(p for p in BUILD.rglob("*") if is_used(p)):
                archive.write(path, path.relative_to(BUILD))
    TARGET.chmod(TARGET.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)


def main() -> int:
    """Build the binary and print its size."""
    collect()
    compile_sources()
    pack()
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1e6:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
