#!/usr/bin/env bash
# The stand-ins are Python modules on the standard library alone; this checks that they
# can be compiled. The gateway itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
