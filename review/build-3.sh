#!/usr/bin/env bash
# Builds the programs of the cases in review/11 to review/15 into
# target/review-3/. The deploy file's packages are all that they need.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers)
objects=()
pids=()
for source in review/standins-3/*.cc; do
  object=$out/$(basename "$source" .cc).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for source in review/1[1-5]/scenario.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -pthread -o "$out/case-$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
