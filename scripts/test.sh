#!/usr/bin/env bash
# Set up the environment and run every test. Arguments go to nose2 (a module name, -v).
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec .venv/bin/python -m nose2 --config unittest.cfg "$@"
