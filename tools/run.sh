#!/usr/bin/env bash
# Serves work end to end on loopback as separate processes: platform, fabric, two balancers, upstreams
# of uneven speed, and callers. Ends by itself. $1 is the build folder; SECONDS_TO_RUN sets the time.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
bin=$PWD/$build/bin
run=$PWD/$build/run
seconds=${SECONDS_TO_RUN:-10}
rm -rf "$run"
mkdir -p "$run"

key=000102030405060708090a0b0c0d0e0f
platform=127.0.0.1:7100
dc=katugastota
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true' EXIT
start() {
    "$@" >>"$run/processes.log" 2>&1 &
    pids+=($!)
}

start "$bin/standin-platform" --listen $platform
sleep 0.3
declaration=$(python3 -c 'import json,sys; print(json.dumps({"revision": 1, "declaration": open(sys.argv[1]).read()}))' examples/kandy.ini)
curl -sf --noproxy '*' -X PUT --data-binary "$declaration" "http://$platform/kv/declaration?expected=0" >/dev/null
start "$bin/standin-fabric" --listen 127.0.0.1:7200 --inner 127.0.0.1:7201 --platform $platform --data-centre $dc
for id in 1 2; do
    start "$bin/damaskhall-balancer" --id $id --listen 127.0.0.1:$((7000 + id)) --data-centre $dc --platform $platform --token-key $key
done
for id in 1 2 3 4; do
    start "$bin/standin-upstream" --id $id --service workshop-board --listen 127.0.0.1:$((7300 + id)) --inner 127.0.0.1:7201 \
        --platform $platform --data-centre $dc --service-ms $((10 * id)) --run-log "$run/runs.txt"
done
sleep 2
"$bin/standin-caller" --fabric 127.0.0.1:7200 --service workshop-board --request-class claim --feed-class queue \
    --house benches --house buyers-agents --feeds 20 --rate 100 --seconds "$seconds"
echo "claims run more than once: $(sort "$run/runs.txt" | uniq -d | wc -l)"
