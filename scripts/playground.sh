#!/usr/bin/env bash
# Set up the environment, start every program and stand-in as a separate process without a
# configuration, and keep them running until this script is interrupted. Follow the tutorial in
# another terminal.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
run=run
rm -rf "$run"
. scripts/processes.sh
start_all
trap 'exit 0' INT TERM

echo "everything runs; settings, traces and logs are in $run/; interrupt to stop"
while true; do sleep 1; done
