#!/usr/bin/env bash
# Plays the cases of review/ that run on loopback, each once, against a build of
# the deploy file; exits with 1 if one broke its rule and with 2 if one could not
# run. Takes about two minutes. Case 3 is a day of the users' bench.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
[ -x target/platform/cranberrywood-platformd ] || {
  echo "build the deploy file first: see README.md" >&2
  exit 2
}
review/build.sh || exit 2
worst=0
for case in 1 2 4 5; do
  review/"$case"/run.sh
  status=$?
  echo "review/$case: exit status $status"
  [ "$status" -le "$worst" ] || worst=$status
done
exit "$worst"
