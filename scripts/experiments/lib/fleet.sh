# Starts and stops the stand-ins and the entry nodes of one run. Sourced by scripts/experiment.

declare -A value pid
nodes=() entries= admin= store= hosts=

# Takes the first free range of 1,000 ports below the ephemeral ones. The lock is held until this process ends.
claim_ports() {
  local slot
  for slot in {11..30}; do
    exec {ports_lock}>"${TMPDIR:-/tmp}/peridotmill-experiment-ports-$slot.lock"
    if flock -n "$ports_lock" && ! (exec 3<>"/dev/tcp/127.0.0.1/${slot}000") 2>/dev/null; then
      ports=$slot
      return
    fi
    exec {ports_lock}>&-
  done
  echo "scripts/experiment: no free range of ports" >&2
  exit 1
}

# Copies the example with the run's ports and the policy under test.
prepare_example() {
  local policy=$1 example=$root/examples/$profile
  rm -rf "$work/example"
  mkdir -p "$work/example" "$work/log"
  cp -r "$example/objects" "$work/example/objects"
  sed -i "s/^kind: Deployment$/&\npolicy: $policy/" "$work/example/objects/deployment.yaml"
  sed -E "s/127\.0\.0\.1:${value[ports]}([0-9]{3})/127.0.0.1:$ports\1/g" "$example/stand-ins.yaml" \
    >"$work/example/stand-ins.yaml"
  sed -E "${mix_edits[@]/#/-e}" "$example/load.yaml" >"$work/example/load.yaml"
  admin=127.0.0.1:${ports}000 store=127.0.0.1:${ports}001 hosts=127.0.0.1:${ports}002
  mapfile -t nodes < <(sed -nE 's/.*\{id: (entry-[^,]+), peer_address: "([^"]+)", failure_domain: ([^}]+)\}.*/\1 \2 \3/p' \
    "$work/example/stand-ins.yaml")
}

start_process() {
  local id=$1
  shift
  # Processes of a run must not hold its port lock.
  "$@" >>"$work/log/$id" 2>&1 {ports_lock}>&- &
  pid[$id]=$!
}

# caller_address NODE: the peer port plus 100.
caller_address() {
  local row
  for row in "${nodes[@]}"; do
    read -r id peer _ <<<"$row"
    [[ $id != "$1" ]] || echo "127.0.0.1:$((${peer##*:} + 100))"
  done
}

start_node() {
  local row id peer domain
  for row in "${nodes[@]}"; do
    read -r id peer domain <<<"$row"
    [[ $id == "$1" ]] || continue
    FLAGS_peer_key=$peer_key start_process "$id" "$build/daemons/peridotmilld/peridotmilld" \
      --tryfromenv=peer_key --node_id="$id" --failure_domain="$domain" --peer_address="$peer" \
      --caller_address="$(caller_address "$id")" --store="$store" --hosts="$hosts" --log_level=info
  done
}

wait_ready() {
  local tries
  for ((tries = 0; tries < 200; ++tries)); do
    [[ $(curl -s -o /dev/null -m 1 -w '%{http_code}' "http://$1") == 200 ]] && return 0
    sleep 0.05
  done
  echo "scripts/experiment: $1 did not become ready" >&2
  return 1
}

publish() {
  "$build/tools/peridotctl/peridotctl" --store="$store" --author=experiment publish "$work/example/objects"
}

start_fleet() {
  local row id domain
  peer_key=$(od -An -N24 -tx1 /dev/urandom | tr -d ' \n')
  start_process stand-ins "$build/standins/peridotmill-standin/peridotmill-standin" \
    --scenario="$work/example/stand-ins.yaml"
  wait_ready "$admin/stand-in/counts"
  publish >"$work/log/publish" 2>&1 || { cat "$work/log/publish" >&2; exit 1; }
  entries=
  for row in "${nodes[@]}"; do
    read -r id _ domain <<<"$row"
    start_node "$id"
    entries+=,$domain=http://$(caller_address "$id")
  done
  for row in "${nodes[@]}"; do
    wait_ready "$(caller_address "${row%% *}")/readyz" || {
      curl -s -m 1 "http://$(caller_address "${row%% *}")/metrics" | grep -E "config_revision|endpoints " >&2
      tail -n 20 "$work/log/${row%% *}" >&2
      exit 1
    }
  done
}

# Ends the processes of this run by id: SIGTERM, then SIGKILL after 3 s.
stop_fleet() {
  local id tries
  for id in "${!pid[@]}"; do
    [[ $id == stand-ins ]] || kill -TERM "${pid[$id]}" 2>/dev/null || true
    kill -CONT "${pid[$id]}" 2>/dev/null || true
  done
  for ((tries = 0; tries < 60; ++tries)); do
    any_node_runs || break
    sleep 0.05
  done
  for id in "${!pid[@]}"; do
    [[ $id == stand-ins ]] && kill -TERM "${pid[$id]}" 2>/dev/null && continue
    if kill -0 "${pid[$id]}" 2>/dev/null; then
      echo "scripts/experiment: $id did not stop within 3 s of SIGTERM" >&2
      kill -KILL "${pid[$id]}" 2>/dev/null || true
    fi
  done
  wait "${pid[@]}" 2>/dev/null || true
  pid=()
}

any_node_runs() {
  local id
  for id in "${!pid[@]}"; do
    [[ $id != stand-ins ]] && kill -0 "${pid[$id]}" 2>/dev/null && return 0
  done
  return 1
}

save_metrics() {
  local row
  rm -rf "$work/metrics"
  mkdir "$work/metrics"
  for row in "${nodes[@]}"; do
    curl -s -m 2 "http://$(caller_address "${row%% *}")/metrics" >"$work/metrics/${row%% *}" ||
      echo "scripts/experiment: no metrics of ${row%% *}" >&2
  done
}
