#!/usr/bin/env bash
# Fails if clang-format would change a source file. With --fix, formats the files in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v '\.capnp\.' | xargs -P 8 -n 16 clang-format "${mode[@]}"
echo "format: clean"
