#!/bin/bash
# Builds the programs of review/6 to review/10 into build/review2. They need
# only a C++ compiler; the stand-ins are part of each program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review2
for part in net world; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -c "review/harness2/$part.cpp" \
    -o "build/review2/$part.o" &
done
wait
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/harness2 "$source" \
    build/review2/{net,world}.o -o "build/review2/case-$name"
done
