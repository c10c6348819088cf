#!/usr/bin/env bash
# Runs the VMs of the Lone Oak example as processes and checks that a VM that
# is asked to leave under load cuts no request, that service goes on after a
# VM is killed, and the exit codes. Waits are bounded but judge nothing.
set -euo pipefail
build=$1
# CAF keeps a connection that it has closed until the other side closes it
# too, which the end of a process does not wait for. Leaks are found by the
# tests of the classes.
export ASAN_OPTIONS=detect_leaks=0
FLEET_FOLDER=$(mktemp -d)
. tools/fleet.sh
trap 'fleet_down; rm -rf "$FLEET_FOLDER"' EXIT
# Ports of the example: 21001 to 23999.
example_first_port=21000
block_size=3000
key='X-Workspace-Key: key-dispatch-desk'
query='{"service":"dispatch","deadline_ms":2000,"hit_limit":3,"body":"curb"}'

fail() {
  echo "FAILED: $*" >&2
  tail -n 5 "$FLEET_FOLDER"/*.log >&2 || true
  exit 1
}

# Prints the local ports in use, one a line.
ports_in_use() {
  awk 'FNR > 1 { split($2, local, ":"); print local[2] }' \
    /proc/net/tcp /proc/net/tcp6 /proc/net/udp 2>/dev/null \
    | while read -r hex; do echo "$((16#$hex))"; done
}

# Prints the first port of a block that is free. The blocks lie below the range
# from which the system takes ports for outgoing connections, so that none of
# these can hold one of their ports.
free_block() {
  local first in_use
  in_use=$(ports_in_use)
  for first in 11000 14000 17000 24000 27000; do
    if ! awk -v first="$first" -v size="$block_size" \
      '$1 >= first && $1 < first + size { found = 1 } END { exit !found }' \
      <<<"$in_use"; then
      echo "$first"
      return 0
    fi
  done
  return 1
}

# Ports of their own, so that a running example does not disturb the test.
prepare() {
  local first
  first=$(free_block) || fail "no block of $block_size ports is free"
  FLEET_PLATFORM_PORT=$first
  mkdir -p "$FLEET_FOLDER/example"
  awk -v first="$first" -v example="$example_first_port" '
    /port = 2[123][0-9][0-9][0-9]$/ { $NF = $NF - example + first }
    { print }' examples/lone-oak/base.ini >"$FLEET_FOLDER/base.ini"
  cp -r examples/lone-oak/. "$FLEET_FOLDER/example/"
  mv "$FLEET_FOLDER/base.ini" "$FLEET_FOLDER/example/base.ini"
  fleet_prepare "$FLEET_FOLDER/example" "$FLEET_FOLDER"
}

url_of() {
  awk -v name="$1" '$1 == name { print "http://" $2 ":" $3 }' \
    "$FLEET_FOLDER/vms"
}

# Sends queries as a balancer would: only while the VM says it is ready. A
# line for each query holds curl's exit code and the HTTP status.
send_while_ready() {
  local url=$1 log=$2 status
  while curl -sf -o /dev/null -m 5 "$url/readyz"; do
    status=$(curl -s -o /dev/null -m 10 -w '%{http_code}' -H "$key" \
      -d "$query" "$url/v1/query") || status="cut-$?"
    echo "$status" >>"$log"
  done
}

# Waits until a query through a VM is answered from the whole index.
await_whole() {
  local url=$1 tries=300
  while [ "$tries" -gt 0 ]; do
    curl -s -m 10 -H "$key" -d "$query" "$url/v1/query" \
      | grep -q '"whole":true' && return 0
    sleep 0.2
    tries=$((tries - 1))
  done
  return 1
}


check_bad_settings() {
  local code=0
  "$build/src/cranberrywoodd/cranberrywoodd" --settings "$FLEET_FOLDER/none" \
    2>/dev/null || code=$?
  [ "$code" -eq 2 ] || fail "exit code $code without settings, not 2"
}

check_leave_under_load() {
  local url pid code senders=() i
  url=$(url_of entry-1)
  pid=$(fleet_pid entry-1)
  await_whole "$url" || fail "no whole answer before the leave"
  for i in 1 2 3 4; do
    send_while_ready "$url" "$FLEET_FOLDER/leave.$i" &
    senders+=($!)
  done
  sleep 1
  kill -TERM "$pid"
  wait "${senders[@]}"
  code=0
  wait "$pid" || code=$?
  rm "$FLEET_FOLDER/entry-1.pid"
  [ "$code" -eq 0 ] || fail "exit code $code after SIGTERM, not 0"
  if grep -hv '^200$' "$FLEET_FOLDER"/leave.*; then
    fail "queries that were not answered while a VM left"
  fi
  local count
  count=$(cat "$FLEET_FOLDER"/leave.* | wc -l)
  [ "$count" -gt 0 ] || fail "no queries were sent while a VM left"
  echo "left: $count queries, none cut"
}

check_kill() {
  local pid
  pid=$(fleet_pid entry-2)
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  rm "$FLEET_FOLDER/entry-2.pid"
  await_whole "$(url_of entry-3)" || fail "no whole answer after a kill"
  echo "killed: whole answers again"
}

prepare
check_bad_settings
fleet_up "$build" || fail "the fleet does not come up"
check_leave_under_load
check_kill
