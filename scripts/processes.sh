# Sourced by the scripts that run everything on this machine: starts the stand-ins and the programs,
# each as a process of its own, with settings, traces and logs in the folder "$run"; stops them on exit.
bin=.venv/bin
mkdir -p "$run/traces" "$run/logs" "$run/pids"
standins=()
programs=()

stop_all() {
    status=$?
    # The programs first: a graceful stop hands over through the store.
    for list in "${programs[*]}" "${standins[*]}"; do
        for pid in $list; do kill -TERM "$pid" 2>/dev/null || true; done
        for pid in $list; do wait "$pid" 2>/dev/null || true; done
    done
    [ "$status" -eq 0 ] || { echo "failed; last log lines:"; tail -n 5 "$run"/logs/*; }
    echo "all processes stopped; logs and traces stay in $run"
    exit "$status"
}

launch() { # name, command...
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
