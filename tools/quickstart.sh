#!/usr/bin/env bash
# Builds the programs, starts a platform stand-in and the VMs of the Lone Oak
# example on loopback, runs a first query, and stops them.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-packages.sh
build=${CRANBERRYWOOD_BUILD:-build}
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$build" -j"${CRANBERRYWOOD_JOBS:-$(nproc)}" \
  --target cranberrywoodd cranberrywoodctl platform_standin

FLEET_PLATFORM_PORT=20080
FLEET_FOLDER=$(mktemp -d)
. tools/fleet.sh
trap 'fleet_down; rm -rf "$FLEET_FOLDER"' EXIT
fleet_prepare examples/lone-oak "$FLEET_FOLDER"
fleet_up "$build"
read -r _ host port <"$FLEET_FOLDER/vms"

first_query() {
  curl -s -m 5 -H 'X-Workspace-Key: key-dispatch-desk' \
    -d '{"service":"dispatch","deadline_ms":320,"hit_limit":3,"body":"curb"}' \
    "http://$host:$port/v1/query"
}

# A new fleet has no tokens yet: a workspace's bucket starts empty.
for _ in $(seq 50); do
  answer=$(first_query)
  [[ $answer == *'"answered"'* ]] && break
  sleep 0.2
done
echo "$(wc -l <"$FLEET_FOLDER/vms") VMs are ready; the first answer:"
echo "$answer"
[[ $answer == *'"answered"'* ]]

ctl="$build/src/cranberrywoodctl/cranberrywoodctl"
mapfile -t vms < <(awk '{ print $2 ":" $3 }' "$FLEET_FOLDER/vms")
echo "A short open-loop load through all VMs:"
CRANBERRYWOOD_KEY=key-dispatch-desk "$ctl" load --service dispatch \
  --rate "${CRANBERRYWOOD_RATE:-100}" --seconds "${CRANBERRYWOOD_SECONDS:-10}" \
  "${vms[@]}"
"$ctl" burn "${vms[@]}"
