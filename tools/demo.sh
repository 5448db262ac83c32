#!/usr/bin/env bash
# Installs the packages, builds the programs and runs the demonstration of a small fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/install-packages.sh
cmake --preset release > /dev/null
cmake --build --preset release -j "$(nproc)" --target guavafieldd guavafieldctl guavafield-platform-standin guavafield-upstream-standin
python3 -B tools/demo.py
