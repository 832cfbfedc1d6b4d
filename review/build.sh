#!/bin/bash
# Builds the stand-ins that the cases start, into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
pids=()
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" \
    -o "build/review/case$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
