#!/usr/bin/env bash
# run-case.sh FOLDER: plays the case in FOLDER. Exits with 1 if the rule was
# broken, with 0 if it held, and with 2 if the case could not run. TROUBLE is read
# by the program (IsTroubled() in harness.hpp).
set -u
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program=target/review/case$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/daemons/peridotmill-gateway/peridotmill-gateway ]; then
  echo "build the gateway and review/build.sh first"
  exit 2
fi
timeout --signal=KILL 118 "$program" "$folder" >/dev/null
status=$?
[ -f "$folder/record.txt" ] && tail -4 "$folder/record.txt"
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
