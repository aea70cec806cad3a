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
