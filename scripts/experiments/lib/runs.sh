# The kinds of run. Sourced by scripts/experiment.

rate() { awk -v load="$load" -v capacity="${value[capacity]}" 'BEGIN { print load * capacity }'; }

run_load() {
  "$build/tools/peridotmill-load/peridotmill-load" --mix="$work/example/load.yaml" --entries="${entries#,}" \
    --placement=sticky --stand_ins="http://$admin" --rate="$(rate)" --duration_ms="$load_ms" --seed="$seed" \
    --drain_ms=6000 --json="$work/load.json" >"$work/load.txt" 2>&1
}

sum_up() {
  "$build/tools/peridotmill-experiment/peridotmill-experiment" --name="$name" --profile="$profile" --seed="$seed" \
    --load="$work/load.json" --metrics="$work/metrics" "$@"
}

# Each policy on a fresh fleet, so that nothing learned is carried over.
run_policies() {
  local policy load_pid
  for policy in $policies; do
    prepare_example "$policy"
    start_fleet
    run_load &
    load_pid=$!
    run_timeline "$(now_ms)"
    wait "$load_pid" || { cat "$work/load.txt" >&2; exit 1; }
    save_metrics
    echo "== $name, policy $policy"
    cat "$work/load.txt"
    sum_up --policy="$policy" policy
    stop_fleet
  done
}

# start_watcher FILE ARGUMENTS...
start_watcher() {
  local file=$1
  shift
  "$build/tools/peridotmill-experiment/peridotmill-experiment" "$@" >"$work/watched/$file" 2>>"$work/log/watchers" \
    {ports_lock}>&- &
  pid[watch-$file]=$!
}

start_watchers() {
  local row
  mkdir -p "$work/watched/nodes"
  : >"$work/watched/publications"
  : >"$work/watched/endpoint"
  for row in "${nodes[@]}"; do
    start_watcher "nodes/${row%% *}" --address="$(caller_address "${row%% *}")" watch-node
  done
  [[ -z $watched_endpoint ]] || start_watcher endpoint --address="127.0.0.1:$ports$watched_endpoint" watch-endpoint
}

stop_watchers() {
  local id
  for id in "${!pid[@]}"; do
    [[ $id == watch-* ]] || continue
    kill -TERM "${pid[$id]}"
    wait "${pid[$id]}" || true
    unset "pid[$id]"
  done
}

# The product's own policy on one fleet, with all nodes and perhaps one endpoint sampled.
run_fleet() {
  local load_pid before
  prepare_example default
  start_fleet
  start_watchers
  curl -sS -m 2 "http://$admin/stand-in/counts" >"$work/counts_before"
  before=$(now_ms)
  run_load &
  load_pid=$!
  run_timeline "$before"
  wait "$load_pid" || { cat "$work/load.txt" >&2; exit 1; }
  curl -sS -m 2 "http://$admin/stand-in/counts" >"$work/counts_after"
  local elapsed=$(($(now_ms) - before))
  stop_watchers
  echo "== $name"
  cat "$work/load.txt"
  [[ ! -f $work/log/complaints ]] || cat "$work/log/complaints"
  sum_up --watched="$work/watched" --counts_before="$work/counts_before" --counts_after="$work/counts_after" \
    --elapsed_ms="$elapsed" fleet
  stop_fleet
}

# Measures what 100% load is: answers per second of one saturated engine, times the engines, divided by the share of
# requests that need an engine. Nodes take no part in it.
run_calibrate() {
  local engines share
  prepare_example default
  start_process stand-ins "$build/standins/peridotmill-standin/peridotmill-standin" \
    --scenario="$work/example/stand-ins.yaml"
  wait_ready "$admin/stand-in/counts"
  sed -i -E "s/deadline_ms: [0-9]+/deadline_ms: 60000/" "$work/example/load.yaml"
  local before elapsed
  before=$(now_ms)
  "$build/tools/peridotmill-load/peridotmill-load" --mix="$work/example/load.yaml" --seed="$seed" --rate=20 \
    --duration_ms=20000 --drain_ms=30000 --direct="http://127.0.0.1:${ports}100" --json="$work/load.json" >"$work/load.txt"
  elapsed=$(($(now_ms) - before))
  cat "$work/load.txt"
  engines=$(awk '/kind: engine/ { sub(/.*count: /, ""); sum += $1 } END { print sum }' "$work/example/stand-ins.yaml")
  awk -v engines="$engines" -v elapsed="$elapsed" -v uses=" ${value[engine_pipelines]} " '
    FNR == NR { if (match($0, /on_time=[0-9]+/)) answers = substr($0, RSTART + 8, RLENGTH - 8); next }
    match($0, /pipeline: [a-z-]+/) {
      name = substr($0, RSTART + 10, RLENGTH - 10); match($0, /weight: [0-9]+/)
      weight = substr($0, RSTART + 8, RLENGTH - 8); total += weight
      if (index(uses, " " name " ")) engine += weight
    }
    END {
      printf "CAPACITY engine_answers_per_s=%.2f engines=%d engine_share=%.3f requests_per_s=%.1f\n",
        answers / elapsed * 1000, engines, engine / total, answers / elapsed * 1000 * engines * total / engine
    }' <(grep '^LOAD' "$work/load.txt") "$work/example/load.yaml"
}
