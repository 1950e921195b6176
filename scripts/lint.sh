#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on those given, or on all.
# Usage: scripts/lint.sh [FILE.cpp ...]   (needs a configured build/)
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '\.pb\.' |
  xargs clang-format --dry-run --Werror
if [ "$#" -gt 0 ]; then
  sources=("$@")
else
  mapfile -t sources < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'standin/*.cpp' 'platform/*.cpp')
fi
# The result for a file is kept under a digest of everything that decides it: the checks, the headers
# and the file. An unchanged file is not checked twice.
cache="${LINT_CACHE:-$HOME/.cache/laburnumweir-lint}"
mkdir -p "$cache"
headers=$(git ls-files --cached --others --exclude-standard .clang-tidy '*.h' CMakeLists.txt |
  xargs sha256sum | sha256sum | cut -c1-64)
check() {
  local digest
  digest=$( (echo "$2"; sha256sum "$1") | sha256sum | cut -c1-64)
  [ -e "$3/$digest" ] && return 0
  clang-tidy --quiet -p build "$1" 2>"$3/$digest.err" || {
    cat "$3/$digest.err" >&2
    rm -f "$3/$digest.err"
    return 1
  }
  mv "$3/$digest.err" "$3/$digest"
}
export -f check
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check "$@"' _ {} "$headers" "$cache"
