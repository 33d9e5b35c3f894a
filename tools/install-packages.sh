#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if any of them is missing.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy python3
    librestinio-dev libasio-dev libfmt-dev libhttp-parser-dev libmsgpack-cxx-dev liblog4cxx-dev
    libboost-dev libboost-program-options-dev libsodium-dev libxxhash-dev robin-map-dev zlib1g-dev
    libcurl4-openssl-dev nlohmann-json3-dev libgtest-dev libgmock-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
