#!/usr/bin/env bash
# Set up the environment, start every program and stand-in as a separate process, apply a
# configuration generated from the example answers "naidu", run bookings and a batch of confirmation
# letters, print the results and clean up. Then run the scheduler on the stand-in of the platform:
# first as separate processes, then in one process on a virtual clock, once without failures and
# once with all kinds of failures.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
run="$(mktemp -d "${TMPDIR:-/tmp}/fireflyfork-demo.XXXXXX")"
. scripts/processes.sh
start_all

$bin/fireflyfork-ctl questionnaire --answers examples/naidu/answers.jsonc --output "$run/naidu.jsonc"
$bin/fireflyfork-ctl apply "$run/naidu.jsonc" --store 127.0.0.1:9001
$bin/python -m fireflyfork_standins.demo "$run"

standin scheduling $bin/python -m fireflyfork_standins.scheduling.processes "$run"
until [ -f "$run/scheduler-1.conf" ]; do sleep 0.1; done
for number in 0 1; do
    program "scheduler-$number" env FIREFLYFORK_SETTINGS="$run/scheduler-$number.conf" $bin/fireflyfork-scheduler
done
wait "${standins[-1]}"
cat "$run/traces/scheduling.jsonl"

$bin/python -m fireflyfork_standins.scheduling --seed 1
$bin/python -m fireflyfork_standins.scheduling --seed 1 --all-troubles
