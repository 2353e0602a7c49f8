#!/bin/sh
# Builds what the scripts of the second review start beside the program: stand-ins in Python, which need the
# environment that the deploy file's `build` makes, and nothing else.  Run after that build; no network is needed.
set -eu
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || { echo "run the build of the deploy file first" >&2; exit 2; }
.venv/bin/python -P - <<'END'
import ast
from pathlib import Path

for path in sorted([*Path("review/standin2").glob("*.py"), *Path("review").glob("[6-9]/*.py"), *Path("review").glob("10/*.py")]):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print(f"{path}: ready")
END
