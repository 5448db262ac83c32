#!/usr/bin/env bash
# Scores the deployments that a change must not harm, on the users' bench.
# Usage: tools/regression.sh BENCH SITES, where BENCH is the bench's program and SITES the folder of the site files.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
sites=$2
# The newest deployments of each size; the first two ("sites") were replaced when the large ones passed their gate.
deployments=(
    grown/fossa-limpa-grown
    grown/jc-guavafield-grown
    further/koelcel-delft
    further-grown/koelcel-delft-grown
    large/jc-guavafield-large
)
for deployment in "${deployments[@]}"; do
    "$bench" score "$sites/$deployment.toml" --jobs "${JOBS:-3}" --why "regression run"
done
