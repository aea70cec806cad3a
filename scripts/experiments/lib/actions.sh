# Reads the tables and carries out the timed actions of a scenario. Sourced by scripts/experiment.

kind= load=0 mix_edits=() timeline=()

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
