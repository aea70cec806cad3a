#!/usr/bin/env bash
# Builds the programs of the script cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -o "target/review/case$number" "$source" -pthread
done
