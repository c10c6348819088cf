#!/usr/bin/env bash
# Checks the format, the rule that the core does no I/O, and the linter.
# Usage: tools/check-style.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: tools/check-style.sh BUILD_DIR}
mapfile -t sources < <(git ls-files 'src/*.hpp' 'src/*.cpp' 'platform/*.hpp' 'platform/*.cpp' \
  | grep -v '^src/wire/gen/')
clang-format --dry-run --Werror "${sources[@]}"
core=(src/units src/settings src/tables src/systems src/core)
if git grep -nE '#include <(caf|thrift|httplib|sys/|netinet|thread|mutex|future|boost/asio)' \
    -- "${core[@]}"; then
  echo "the decision core includes input, output or threads" >&2
  exit 1
fi
if git grep -nE '(steady|system)_clock::now|random_device|[^a-z_]rand\(' \
    -- "${core[@]}"; then
  echo "the decision core reads a clock or a random device" >&2
  exit 1
fi
# Names of the platform stand in platform/ and in the tests only: headers and
# keys as such, fields as texts, since a constant may be called like a field.
if git grep -nE 'Api-Key|Part-Stamps|Missing-Parts|Response-Stamp|Not-Executed|Target-Instance|Request-Deadline|Cold-Remaining|Server-Limit|Server-Leaving|op/config|op/evacuate|kv-(key|range|watch)|"(target_latency_ms|min_shard_share|traffic_split|route_type|max_attempts|top_k|api_keys|cold_remaining_ms|store_revision)"' \
    -- src ':!src/tests'; then
  echo "a name of the platform stands outside platform/" >&2
  exit 1
fi
# platform/ translates and stays small: less than a tenth of the code.
lines_of() {
  git ls-files "$@" | grep -vE '^src/(wire/gen|tests)/' | xargs cat | wc -l
}
platform_lines=$(lines_of 'platform/*.hpp' 'platform/*.cpp')
product_lines=$(lines_of 'src/*.hpp' 'src/*.cpp')
if [ $((platform_lines * 10)) -ge "$product_lines" ]; then
  echo "platform/ has $platform_lines lines, the product $product_lines" >&2
  exit 1
fi
# The linter cannot read the compiler's precompiled headers.
mkdir -p "$build/lint"
sed -E 's/ -Winvalid-pch//; s/ -include [^ ]*cmake_pch\.hxx//' \
  "$build/compile_commands.json" >"$build/lint/compile_commands.json"
mapfile -t units < <(git ls-files 'src/*.cpp' 'platform/*.cpp' \
  | grep -vE '^src/(wire/gen|tests)/')
printf '%s\n' "${units[@]}" \
  | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$build/lint" 2>/dev/null
echo "style: ${#sources[@]} files formatted, ${#units[@]} linted"
