#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
  [ -f "review/$case/main.cpp" ] || continue
  g++ -std=c++20 -O1 -pthread -o "target/review-2/case-$case" "review/$case/main.cpp"
done
