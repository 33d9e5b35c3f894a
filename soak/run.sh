#!/usr/bin/env bash
# Runs the fault soak: every seed of soak/seeds.txt, then SEEDS fresh or given ones. $1 is the build
# folder, SOAK_NETWORK the second part of all addresses, SOAK_OPTIONS further options of soak.py.
# Stops at the first broken promise, except for the one that KNOWN-RED.txt lists.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
binary=$build/bin/damaskhall-forwarder
while read -r seed options; do
    # The cause stands behind a colon.
    # shellcheck disable=SC2086
    python3 -B soak/soak.py --known-red --binary "$binary" --network "${SOAK_NETWORK:-81}" --seed "$seed" ${options%%:*}
done < <(grep -v '^#' soak/seeds.txt)
for seed in ${SEEDS:-1}; do
    # shellcheck disable=SC2086
    python3 -B soak/soak.py --known-red --binary "$binary" --network "${SOAK_NETWORK:-81}" --seed "$seed" --seconds "${SOAK_SECONDS:-10}" ${SOAK_OPTIONS:-}
done
