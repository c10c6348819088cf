#!/usr/bin/env bash
# Checks that the relative links of the pages lead to files, and runs the short
# commands that the pages show. Usage: tools/check-docs.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: tools/check-docs.sh BUILD_DIR}
ctl="$build/src/cranberrywoodctl/cranberrywoodctl"
bad=0
links=0
while IFS=: read -r page link; do
  target="$(dirname "$page")/${link%%#*}"
  links=$((links + 1))
  if [ ! -e "$target" ]; then
    echo "$page: link to \"$link\" leads nowhere" >&2
    bad=1
  fi
done < <(git ls-files '*.md' | xargs grep -oHE '\]\([^)]+\)' \
  | sed -E 's/\]\(([^)]*)\)/\1/' | grep -vE ':(https?:|#)')
[ "$links" -gt 10 ] || { echo "found only $links links" >&2; bad=1; }
for fleet in examples/*/; do
  "$ctl" check "$fleet/base.ini" "$fleet"/overlays/*.ini >/dev/null
done
for overlay in examples/lone-oak/overlays/*.ini; do
  "$ctl" effective examples/lone-oak/base.ini "$overlay" >/dev/null
done
[ "$(printf key | "$ctl" digest salt | wc -c)" -eq 65 ]
"$build/src/tests/example/embedding" >/dev/null
echo "docs: $links links followed"
exit "$bad"
