# Reads the tables and carries out the timed actions of a scenario. Sourced by scripts/experiment.

kind= load=0 mix_edits=() timeline=() watched_endpoint= publish_count=0

read_profile() {
  local key text
  while read -r key text; do
    [[ -z $key || $key == \#* ]] || value[$key]=$text
  done <"$root/scripts/experiments/profiles/$profile"
}

# Replaces @name by the profile's value.
fill_in() {
  local text=$1 key
  for key in "${!value[@]}"; do
    text=${text//@$key/${value[$key]}}
  done
  echo "$text"
}

read_scenario() {
  local key text
  mix_edits=("s/^//")
  while read -r key text; do
    text=$(fill_in "$text")
    case $key in
      '' | \#*) ;;
      kind) kind=$text ;;
      load) load=$text ;;
      load_ms) load_ms=$text ;;
      mix) mix_edits+=("$text") ;;
      watch_port) watched_endpoint=$text ;;
      at) timeline+=("$text") ;;
      *) echo "scripts/experiment: $name: unknown line $key" >&2; exit 2 ;;
    esac
  done <"$root/scripts/experiments/$name"
}

now_ms() { date +%s%3N; }

# Runs the actions at their times after the start in milliseconds.
run_timeline() {
  local start=$1 row at action text wait_ms
  for row in ${timeline[@]+"${timeline[@]}"}; do
    read -r at action text <<<"$row"
    wait_ms=$((start + at - $(now_ms)))
    ((wait_ms <= 0)) || sleep "$(printf '%d.%03d' $((wait_ms / 1000)) $((wait_ms % 1000)))"
    act_"$action" $text >>"$work/log/actions" 2>&1 || echo "scripts/experiment: failed: $row" >&2
  done
}

# faults QUERY JSON (without spaces): faults for the stand-ins that match.
act_faults() { curl -sS -m 2 "http://$admin/stand-in/faults?$1" -d "$2"; }

# host JSON (without spaces): changes rows of the host list.
act_host() { curl -sS -m 2 "http://$hosts/stand-in/hosts" -d "$1"; }

# Publishes a set that differs from all earlier ones in one field; the time of success goes into the log of publications.
publish_change() {
  local tag=$1 objects=$work/publish-$1 output
  cp -r "$work/example/objects" "$objects"
  sed -i -E "s/^action_retention_s:.*/action_retention_s: $((3600 + tag))/" "$objects/deployment.yaml"
  if output=$("$build/tools/peridotctl/peridotctl" --store="$store" --author="publisher-$tag" publish "$objects" 2>&1) &&
    [[ $output =~ published\ revision\ ([0-9]+) ]]; then
    echo "$(now_ms) ${BASH_REMATCH[1]}" >>"$work/watched/publications"
  fi
  echo "publisher-$tag: $output"
}

# publish: one publisher.
act_publish() {
  publish_count=$((publish_count + 1))
  publish_change "$publish_count"
}

# race: two publishers at the same time.
act_race() {
  local first second
  publish_count=$((publish_count + 2))
  publish_change $((publish_count - 1)) &
  first=$!
  publish_change "$publish_count" &
  second=$!
  wait "$first" "$second"
}

# signal NODE NAME
act_signal() { kill "-$2" "${pid[$1]}"; }

# restart NODE|all: graceful shutdown, then a new process, one node after the other.
act_restart() {
  local row id code
  for row in "${nodes[@]}"; do
    id=${row%% *}
    [[ $1 == all || $1 == "$id" ]] || continue
    kill -TERM "${pid[$id]}"
    code=0
    wait "${pid[$id]}" || code=$?
    ((code == 0)) || echo "scripts/experiment: $id exited with code $code" >>"$work/log/complaints"
    start_node "$id"
    wait_ready "$(caller_address "$id")/readyz" || echo "$id did not become ready" >>"$work/log/complaints"
  done
}
