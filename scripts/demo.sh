#!/usr/bin/env bash
# Set up, start every program and stand-in as a process of its own, apply a configuration made from
# Naidu's answers, run bookings and a batch of confirmation letters, print what happened, clean up. Then
# the scheduler on the stand-in of the users' platform: a calm day, and one on which everything fails.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
run="$(mktemp -d "${TMPDIR:-/tmp}/fireflyfork-demo.XXXXXX")"
. scripts/processes.sh
start_all

$bin/fireflyfork-ctl questionnaire --answers examples/naidu/answers.jsonc --output "$run/naidu.jsonc"
$bin/fireflyfork-ctl apply "$run/naidu.jsonc" --store 127.0.0.1:9001
$bin/python -m fireflyfork_standins.demo "$run"

$bin/python -m fireflyfork_standins.scheduling --seed 1
$bin/python -m fireflyfork_standins.scheduling --seed 1 --all-troubles
