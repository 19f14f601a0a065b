#!/usr/bin/env bash
# Builds the stand-ins and programs of the cases 6 to 10 into target/review-2.
# Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
objects=()
for part in http store deployment; do
  g++ "${flags[@]}" -c "review/standins-2/$part.cc" -o "$out/$part.o" &
  objects+=("$out/$part.o")
done
wait
for source in review/[0-9]*/case.cc; do
  folder=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$folder"
done
