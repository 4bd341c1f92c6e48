# Starts and stops a fleet of entry hosts and a stand-in platform on loopback.
# Sourced by the benchmark and soak scripts; not run on its own.

bin=$PWD/build/release/bin
work=$(mktemp -d)
export BERYLRAMP_OPERATOR_KEY=local-operator-key
export BERYLRAMP_ADMIN_KEY=local-admin-key
declare -A daemon_pid=()
platform_pid=

stop_fleet() {
  for pid in "${daemon_pid[@]}" $platform_pid; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_fleet EXIT

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Ports lie below the ephemeral port range of the kernel.
next_port=$((20000 + RANDOM % 8000))
take_port() {
  while ! port_is_free "$next_port"; do next_port=$((next_port + 1)); done
  port=$next_port
  next_port=$((next_port + 1))
}

wait_for_port() {
  for _ in $(seq 200); do
    if ! port_is_free "$1"; then return 0; fi
    sleep 0.05
  done
  echo "nothing listens on port $1" >&2
  return 1
}

# write_settings NAME PLACE PORT EXTRA-JSON-MEMBERS
write_settings() {
  cat >"$work/$1.json" <<JSON
{"host": "$1", "place": "$2", "listen": "127.0.0.1:$3",
 "log": "127.0.0.1:$platform", "host_list": "127.0.0.1:$platform",
 "rater": "127.0.0.1:$platform",
 "workspace_keys": [{"workspace": "galle-crew", "key": "local-galle-key"},
                    {"workspace": "council", "key": "local-council-key"}],
 "operator_keys": ["$BERYLRAMP_OPERATOR_KEY"],
 "admin_keys": ["$BERYLRAMP_ADMIN_KEY"],
 "session_keys": ["local-session-key"], "peer_keys": ["local-peer-key"]$4}
JSON
}

start_daemon() { # NAME
  "$bin/berylramp-entryd" --settings "$work/$1.json" 2>>"$work/$1.log" &
  daemon_pid[$1]=$!
}

start_platform() {
  "$bin/berylramp-standin" "$work/standin.json" 2>"$work/standin.log" &
  platform_pid=$!
  wait_for_port "$platform"
}

knobs() { "$bin/berylramp-standin" --knobs-to "127.0.0.1:$platform" "$1"; }

publish() { # ENTRY-PORT ARGUMENTS
  local entry=$1
  shift
  "$bin/berylramp-publish" --log "127.0.0.1:$platform" \
    --entry "127.0.0.1:$entry" --author script "$@"
}
