#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks require.
set -euo pipefail
packages=(
    g++ cmake ninja-build lld pkg-config ccache clang-format clang-tidy curl python3
    libboost1.81-dev libcapnp-dev capnproto libcli11-dev libeasyloggingpp-dev
    libcppunit-dev libssl-dev libxxhash-dev liburcu-dev libbenchmark-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" > /dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" > /dev/null
fi
