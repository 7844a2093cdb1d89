#!/usr/bin/env bash
# Set up the environment and run all tests. Arguments, such as a module name or -v, are passed to
# nose2.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec .venv/bin/python -m nose2 --config unittest.cfg "$@"
