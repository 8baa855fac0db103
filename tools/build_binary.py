"""Builds `dist/monsoontack`, a single executable file that contains all libraries.

`make binary` runs this module. The file needs only Python 3.11 on the VM. After
the build, `tools/check_binary.py` starts the file and serves a request with it.
"""

import compileall
import shutil
import stat
import subprocess
import sys
import zipfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD_DIR = ROOT / "build" / "binary"
BINARY_PATH = ROOT / "dist" / "monsoontack"
SHEBANG = b"#!/usr/bin/env python3.11\n"
# Test suites, headers and type stubs in wheels are never imported.
UNUSED_SUFFIXES = (".pyi", ".pyx", ".pxd", ".h", ".c", ".hpp", ".cpp", "_test.py")
UNUSED_FOLDERS = {"tests", "test", "testing", "__pycache__", "bin", "include"}


def collect_files() -> None:
    """Install the libraries and copy the package into the build folder."""
    shutil.rmtree(BUILD_DIR, ignore_errors=True)
    BUILD_DIR.mkdir(parents=True)
    requirements = str(ROOT / "requirements.txt")
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--target", str(BUILD_DIR), "-r", requirements]
    subprocess.run(command, check=True)
    shutil.copytree(ROOT / "monsoontack", BUILD_DIR / "monsoontack")
    shutil.copy(ROOT / "tools" / "binary_main.py", BUILD_DIR / "__main__.py")


def is_packed(path: Path) -> bool:
    """Return whether a file of the build folder belongs in the archive."""
    parts = path.relative_to(BUILD_DIR).parts
    if any(part in UNUSED_FOLDERS for part in parts[:-1]):
        return False
    return not path.name.endswith(UNUSED_SUFFIXES)


def compile_sources() -> None:
    """Replace each source file by its bytecode, so that no start has to compile it."""
    packed = [p for p in BUILD_DIR.rglob("*.py") if is_packed(p)]
    for path in packed:
        if compileall.compile_file(path, quiet=2, legacy=True):
            path.unlink()


def write_archive() -> None:
    """Write the archive after the interpreter line and make the file executable."""
    BINARY_PATH.parent.mkdir(exist_ok=True)
    with BINARY_PATH.open("wb") as output:
        output.write(SHEBANG)
        with zipfile.ZipFile(output, "w", zipfile.ZIP_DEFLATED) as archive:
            # The zip importer finds namespace packages by their folder entries.
            for path in sorted(p for p in BUILD_DIR.rglob("*") if is_packed(p)):
                archive.write(path, path.relative_to(BUILD_DIR))
    BINARY_PATH.chmod(
        BINARY_PATH.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH
    )


def main() -> int:
    """Build the binary and print its size."""
    collect_files()
    compile_sources()
    write_archive()
    print(f"{BINARY_PATH.relative_to(ROOT)}: {BINARY_PATH.stat().st_size / 1e6:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
