#!/usr/bin/env bash
# Plays the case. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule
# was broken, with 0 if it held, and with 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../common/run-case.sh" "$(dirname "$0")"
