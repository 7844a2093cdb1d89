#!/usr/bin/env bash
# Run the commands of docs/tutorial.md on this machine and replace their output in the file.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
run=run
rm -rf "$run"
. scripts/processes.sh
start_all
sleep 2
PATH="$PWD/$bin:$PATH" $bin/python scripts/rewrite_tutorial.py docs/tutorial.md
