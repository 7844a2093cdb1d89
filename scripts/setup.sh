#!/usr/bin/env bash
# Create the virtual environment with all declared dependencies, unless it was already created from
# the current pyproject.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python="${PYTHON:-python3}"
if ! cmp -s pyproject.toml .venv/installed-from.toml 2>/dev/null; then
    "$python" -m venv .venv
    .venv/bin/python -m pip install --quiet --editable '.[dev]'
    cp pyproject.toml .venv/installed-from.toml
fi
