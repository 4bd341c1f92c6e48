#!/usr/bin/env bash
# Runs the case: review/3/run.sh. TROUBLE=0 leaves out the disruption.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review/case$(basename "$folder")
[ -x "$program" ] && [ -x target/bin/berylramp-edged ] || exit 2
work=$(mktemp -d) || exit 2
code=0
timeout -k 2 115 "$program" "$folder/record.txt" "$work" || code=$?
rm -rf "$work"
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
