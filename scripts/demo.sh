#!/usr/bin/env bash
# Set up, start every program and stand-in as a process of its own, apply a configuration made from
# Naidu's answers, run bookings and a batch of confirmation letters, print what happened, clean up.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
bin=.venv/bin
run="$(mktemp -d "${TMPDIR:-/tmp}/fireflyfork-demo.XXXXXX")"
mkdir -p "$run/traces" "$run/logs"
standins=()
programs=()

stop_all() {
    status=$?
    # The programs first: a graceful stop hands over through the store.
    for list in "${programs[*]}" "${standins[*]}"; do
        for pid in $list; do kill -TERM "$pid" 2>/dev/null || true; done
        for pid in $list; do wait "$pid" 2>/dev/null || true; done
    done
    [ "$status" -eq 0 ] || { echo "demo failed; last log lines:"; tail -n 5 "$run"/logs/*; }
    echo "all processes stopped; logs and traces stay in $run"
    exit "$status"
}
trap stop_all EXIT

launch() { # name, command...
    local name="$1"
    shift
    "$@" >"$run/traces/$name.jsonl" 2>"$run/logs/$name.log" &
}
standin() {
    launch "$@"
    standins+=("$!")
}
program() {
    launch "$@"
    programs+=("$!")
}

$bin/python -m fireflyfork_standins.demo_settings "$run"
standin store $bin/python -m fireflyfork_standins.store 127.0.0.1:9001
standin instances $bin/python -m fireflyfork_standins.instances 127.0.0.1:9002
standin platform $bin/python -m fireflyfork_standins.platform "$run/platform.jsonc"
standin executors $bin/python -m fireflyfork_standins.executor "$run/executors.jsonc"
for name in suva-1 nadi-1 labasa-1 labasa-2; do
    program "entry-$name" $bin/fireflyfork-entry "$run/entry-$name.jsonc"
done
for name in suva-1 nadi-1; do
    program "planner-$name" $bin/fireflyfork-planner "$run/planner-$name.jsonc"
done

$bin/fireflyfork-ctl questionnaire --answers examples/naidu/answers.jsonc --output "$run/naidu.jsonc"
$bin/fireflyfork-ctl apply "$run/naidu.jsonc" --store 127.0.0.1:9001
$bin/python -m fireflyfork_standins.demo "$run"
