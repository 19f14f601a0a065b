#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[0-9]/main.cc; do
  n=$(basename "$(dirname "$main")")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review/case$n" \
    "$main" review/standins/*.cc &
done
wait
for main in review/[0-9]/main.cc; do
  test -x "target/review/case$(basename "$(dirname "$main")")"
done
