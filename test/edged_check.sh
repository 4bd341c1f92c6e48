#!/usr/bin/env bash
# Checks the exit codes and messages of berylramp-edged for valid and invalid
# settings: edged_check.sh PROGRAM
set -euo pipefail
program=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

expect() { # EXIT-CODE TEXT ARGUMENT...
  local code=0
  local wanted=$1 text=$2
  shift 2
  "$program" "$@" >"$work/output" 2>&1 || code=$?
  if [ "$code" != "$wanted" ] || ! grep -q -- "$text" "$work/output"; then
    echo "expected exit code $wanted and '$text', got $code and:"
    cat "$work/output"
    exit 1
  fi
}

echo '{"nodeName": 7, "unknown": {"a": 1}}' >"$work/faulty.json"
expect 2 nodeName --settings "$work/faulty.json" --check
expect 2 listen.frontend --settings "$work/faulty.json" --check
expect 2 platform.address --settings "$work/faulty.json"
expect 2 cannot --settings "$work/absent.json" --check
expect 0 . --version
