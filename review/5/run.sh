#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
exec target/review/case-5 "$PWD" "$PWD/review/5"
