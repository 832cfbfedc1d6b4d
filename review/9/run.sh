#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=build/review2/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/sassafrasquay ] || exit 2
"$program" "$folder/record.txt"
code=$?
[ $code -le 2 ] && exit $code
exit 2
