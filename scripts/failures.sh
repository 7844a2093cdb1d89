#!/usr/bin/env bash
# Start every program and stand-in, send bookings continuously, inject one failure after the other
# and print the outcomes that callers observed in each phase. At the end check what the executors
# ran. Takes about four minutes.
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

# Kill a planner while a job runs, and restart it ten seconds later as the platform would.
export FIREFLYFORK_PLANNERS="127.0.0.1:9051 127.0.0.1:9052"
begun="$SECONDS"
$bin/fireflyfork-ctl submit planner-killed --team letters --tasks 48 --cores 500m --memory 1GB \
    --run-time 5s >"$run/submitted"
sleep 2
kill -KILL "$(cat "$run/pids/planner-suva-1")"
sleep 10
program planner-suva-1 $bin/fireflyfork-planner "$run/planner-suva-1.jsonc"
$bin/fireflyfork-ctl status planner-killed --wait 180 2>"$run/waited"
echo "planner killed for 10 s: after $((SECONDS - begun)) s"
$bin/python -m bench.batch_failures_seen judge
