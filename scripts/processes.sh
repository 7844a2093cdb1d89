# Functions for the scripts that run all programs on this machine; source this file with "run" set
# to a folder. Starts each stand-in and program as a separate process, with settings, traces and
# logs in "$run", and stops them on exit.
bin=.venv/bin
mkdir -p "$run/traces" "$run/logs" "$run/pids"
standins=()
programs=()

stop_all() {
    status=$?
    # Stop the programs first: a graceful stop hands over through the store, which must be up.
    for list in "${programs[*]}" "${standins[*]}"; do
        for pid in $list; do kill -TERM "$pid" 2>/dev/null || true; done
        for pid in $list; do wait "$pid" 2>/dev/null || true; done
    done
    [ "$status" -eq 0 ] || { echo "failed; last log lines:"; tail -n 5 "$run"/logs/*; }
    echo "all processes stopped; logs and traces stay in $run"
    exit "$status"
}

launch() { # Arguments: the name of the process, then its command
    local name="$1"
    shift
    "$@" >"$run/traces/$name.jsonl" 2>"$run/logs/$name.log" &
    echo "$!" >"$run/pids/$name"
}
standin() {
    launch "$@"
    standins+=("$!")
}
program() {
    launch "$@"
    programs+=("$!")
}

start_all() {
    trap stop_all EXIT
    $bin/python -m fireflyfork_standins.demo_settings "$run"
    standin store $bin/python -m fireflyfork_standins.store 127.0.0.1:9001
    standin instances $bin/python -m fireflyfork_standins.instances 127.0.0.1:9002
    standin platform $bin/python -m fireflyfork_standins.platform "$run/platform.jsonc"
    standin executors $bin/python -m fireflyfork_standins.executor "$run/executors.jsonc"
    local name
    for name in suva-1 nadi-1 labasa-1 labasa-2; do
        program "entry-$name" $bin/fireflyfork-entry "$run/entry-$name.jsonc"
    done
    for name in suva-1 nadi-1; do
        program "planner-$name" $bin/fireflyfork-planner "$run/planner-$name.jsonc"
    done
}
