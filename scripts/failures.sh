#!/usr/bin/env bash
# Start everything, keep bookings coming, make one failure after the other, and print what callers saw
# of each; at the end judge what the executors ran. Takes about four minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
run="$(mktemp -d "${TMPDIR:-/tmp}/fireflyfork-failures.XXXXXX")"
. scripts/processes.sh
start_all

$bin/fireflyfork-ctl questionnaire --answers examples/naidu/answers.jsonc --output "$run/naidu.jsonc"
$bin/fireflyfork-ctl apply "$run/naidu.jsonc" --store 127.0.0.1:9001 >"$run/applied"
$bin/python -m bench.failures_seen "$run"
$bin/python -m bench.batch_failures_seen
