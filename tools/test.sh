#!/usr/bin/env bash
# Installs what is needed, builds with sanitizers, checks style, runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${CRANBERRYWOOD_TEST_BUILD:-build-test}
tools/install-packages.sh
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCRANBERRYWOOD_SANITIZE=ON >/dev/null
cmake --build "$build" -j"$(nproc)"
tools/check-style.sh "$build"
tools/check-docs.sh "$build"
ctest --test-dir "$build" --output-on-failure -j4
if [ -s KNOWN-RED.txt ]; then
  echo "not part of this run, known to fail:"
  cat KNOWN-RED.txt
fi
