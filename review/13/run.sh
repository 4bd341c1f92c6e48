#!/usr/bin/env bash
# Clients keep connections open while a new configuration raises maxBodyBytes,
# and then send orders within the new limit. Exits with 1 if DENIED is broken, 0
# if it held, 2 if the case could not run. TROUBLE=0: the higher limit holds from
# the start and the configuration does not change.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/bin/berylramp-edged ] && [ -x target/review-3/raised_limit ] ||
  exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout 100 target/review-3/raised_limit "$folder/record.txt" "$work"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
