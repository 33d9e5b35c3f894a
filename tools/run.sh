#!/usr/bin/env bash
# Serves work end to end on loopback as separate processes, for each example declaration: platform,
# fabric, six balancers, 14 + 4 upstreams with speeds of 4 to 1, and callers. Ends by itself and
# leaves no process behind. $1 is the build folder. SECONDS_TO_RUN sets the time for which work is
# offered, BASE_PORT the first of 400 UDP and TCP ports on 127.0.0.1.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
bin=$PWD/$build/bin
run=$PWD/$build/run
seconds=${SECONDS_TO_RUN:-8}
base=${BASE_PORT:-7000}
platform=127.0.0.1:$((base + 100))
outer=127.0.0.1:$((base + 200))
inner=127.0.0.1:$((base + 201))
key=000102030405060708090a0b0c0d0e0f
pids=()

start() {
    "$@" >>"$run/processes.log" 2>&1 &
    pids+=($!)
}

stop_all() {
    [ "${#pids[@]}" -eq 0 ] && return
    kill "${pids[@]}" 2>/dev/null || true
    for _ in $(seq 30); do
        kill -0 "${pids[@]}" 2>/dev/null || break
        sleep 0.1
    done
    # A second signal ends a graceful stop at once.
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    pids=()
}
trap stop_all EXIT

platform_answers() {
    curl -sf --noproxy '*' -o /dev/null "http://$platform/instances"
}

# Another run on this machine may hold the ports; it ends by itself.
wait_for_ports() {
    for _ in $(seq 60); do
        platform_answers || return 0
        sleep 1
    done
    echo "run: ports from $base on are in use; set BASE_PORT" >&2
    exit 1
}

start_platform() {
    start "$bin/standin-platform" --listen "$platform"
    for _ in $(seq 50); do
        platform_answers && break
        sleep 0.1
    done
    python3 -c 'import json,sys; print(json.dumps({"revision": 1, "declaration": open(sys.argv[1]).read()}))' "$1" |
        curl -sf --noproxy '*' -X PUT --data-binary @- "http://$platform/kv/declaration?expected=0" >/dev/null
}

# Arguments: first id, number, service, mean service time of the fastest in ms. The slowest takes 4 times as long.
start_upstreams() {
    local first=$1 number=$2 service=$3 fastest=$4 i id
    for ((i = 0; i < number; ++i)); do
        id=$((first + i))
        start "$bin/standin-upstream" --id $id --service "$service" --listen 127.0.0.1:$((base + 300 + id)) \
            --inner "$inner" --platform "$platform" --data-centre "$dc" \
            --service-ms $((fastest + 3 * fastest * i / (number - 1))) --run-log "$run/runs.txt"
    done
}

# Arguments: declaration, data centre, main service, its feed and request class, second service, its
# upload class, houses.
serve() {
    local declaration=$1 main=$3 feed=$4 request=$5 second=$6 upload=$7 id
    dc=$2
    shift 7
    echo "== $declaration: 6 balancers, 14 + 4 upstreams, $seconds s"
    rm -rf "$run"
    mkdir -p "$run"
    wait_for_ports
    start_platform "$declaration"
    start "$bin/standin-fabric" --listen "$outer" --inner "$inner" --platform "$platform" --data-centre "$dc"
    for id in 1 2 3 4 5 6; do
        start "$bin/damaskhall-balancer" --id $id --listen 127.0.0.1:$((base + id)) --data-centre "$dc" \
            --platform "$platform" --token-key $key
    done
    start_upstreams 1 14 "$main" 20
    start_upstreams 15 4 "$second" 20
    sleep 2
    "$bin/standin-caller" --fabric "$outer" $(printf -- '--house %s ' "$@") --seconds "$seconds" \
        --feed "$main/$feed:100" --request "$main/$request:300" --upload "$second/$upload:4:40000" \
        --run-log "$run/runs.txt"
    stop_all
}

serve examples/kandy.ini katugastota workshop-board queue claim pattern-desk artwork \
    benches buyers-agents polishers
serve examples/kyushu.ini fukuoka crew-desk call-sheet confirmation sheet-store sheet \
    fukuoka-films kumamoto-pictures kagoshima-studio
