#!/usr/bin/env bash
# The stand-ins of cases 9 to 13 need the standard library of Python only: check that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
import tomllib
from pathlib import Path

assert sys.version_info >= (3, 11) and tomllib
for path in sorted(Path("standins-3").glob("*.py")):
    compile(path.read_text("utf-8"), str(path), "exec")
    print("compiles:", path)
PYTHON
