#!/usr/bin/env bash
# Installs the coordination library into a separate prefix, then builds and runs the embedding example against it.
set -euo pipefail
cd "$(dirname "$0")/.."
prefix=$PWD/build/embedding-prefix
cmake --install build --prefix "$prefix" > /dev/null
cmake -S examples/embedding -B build/embedding -DCMAKE_PREFIX_PATH="$prefix" > /dev/null
cmake --build build/embedding > /dev/null
./build/embedding/embedding
echo "embedding: clean"
