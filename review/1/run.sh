#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=build/review/case1
if [ ! -x "$program" ] || [ ! -x target/sassafrasquay ]; then
  echo "build the deploy file's program and review/build.sh first"
  exit 2
fi
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 2 118 "$program" review/1
