#!/usr/bin/env bash
# Measures the time that entry hosts add to a request, with real processes on loopback addresses.
#
# Starts the platform stand-in, stand-in targets and entry hosts, submits a bundle, and sends the
# schedule of a profile alternately through the entry hosts and directly to a target that gets no
# other requests. Every process that it starts is ended by its process id.
#
# Usage: scripts/measure-added-time.sh [PROFILE] [SECONDS] [RATE_FACTOR]
set -euo pipefail
cd "$(dirname "$0")/.."
profile=${1:-profiles/vatuwaqa.ini} seconds=${2:-20} factor=${3:-1.0}
service=$(sed -n 's|^path = /\([^/]*\).*|\1|p' "$profile" | head -n 1)
port=18100 entry_hosts=3 targets=25

cargo build --quiet --release --locked --bins
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$work"
}
trap finish EXIT

start() { # Starts a process in the background and records its id.
    "$@" >>"$work/log" 2>&1 &
    pids+=($!)
}

await() { # Waits at most 30 s until a URL responds.
    for _ in $(seq 300); do
        if curl --silent --output /dev/null --max-time 1 "$1"; then return; fi
        sleep 0.1
    done
    echo "measure-added-time: no response from $1 after 300 attempts; the end of the log follows" >&2
    tail -n 20 "$work/log" >&2
    exit 1
}

start "$bin/heatherhinge-standin-platform" --listen "127.0.0.1:$port"
# A fixed service time keeps its spread out of the percentiles. The runtime's timer rounds it up to
# whole milliseconds, on both paths alike.
start "$bin/heatherhinge-standin-target" --port $((port + 100)) --targets $((targets + 1)) \
    --zone north --zone south --service "$service" --slots 50 --queue 200 \
    --service-time 1000
await "http://127.0.0.1:$port/"
await "http://127.0.0.1:$((port + 100 + targets))/health"

groups=""
for ((i = 0; i < targets; i++)); do
    zone=north
    ((i % 2)) && zone=south
    groups+="{\"targets\":[\"127.0.0.1:$((port + 100 + i))\"],\"labels\":{\"role\":\"target\","
    groups+="\"service\":\"$service\",\"zone\":\"$zone\",\"version\":\"v1\",\"state\":\"live\"}},"
done
for ((i = 0; i < entry_hosts; i++)); do
    groups+="{\"targets\":[\"127.0.0.1:$((port + 10 + 2 * i))\"],\"labels\":{\"role\":\"entry\","
    groups+="\"host\":\"entry-$i\",\"zone\":\"north\",\"state\":\"live\","
    groups+="\"peer_addr\":\"127.0.0.1:$((port + 11 + 2 * i))\"}},"
done
curl --silent --fail --output /dev/null --json "[${groups%,}]" "http://127.0.0.1:$port/admin/hosts"

"$bin/heatherhinge" key new --out "$work/key" --id ops-1 >"$work/key.ini"
cat >"$work/bundle.ini" <<EOF
[bundle]
version = 1
[zone north]
[zone south]
[service $service]
zones = north, south
version = v1
slots = 50
warm_ms = 0
[route $service bulk]
prefix = /bulk
class = bulk
[route $service all]
prefix = /
EOF
"$bin/heatherhinge" bundle sign "$work/bundle.ini" --key "$work/key" --out "$work/envelope"

entries=() submit=()
for ((i = 0; i < entry_hosts; i++)); do
    cat >"$work/entry-$i.ini" <<EOF
[host]
name = entry-$i
zone = north
caller_addr = 127.0.0.1:$((port + 10 + 2 * i))
peer_addr = 127.0.0.1:$((port + 11 + 2 * i))
[platform]
table_addr = 127.0.0.1:$port
object_addr = 127.0.0.1:$port
host_list_addr = 127.0.0.1:$port
[peers]
seeds = 127.0.0.1:$((port + 11))
[log]
level = warn
[runtime]
threads = 2
EOF
    sed -n '/^\[key/,$p' "$work/key.ini" >>"$work/entry-$i.ini"
    start "$bin/heatherhinge-entryd" --settings "$work/entry-$i.ini"
    await "http://127.0.0.1:$((port + 10 + 2 * i))/heatherhinge/v1/status"
    entries+=(--entry "127.0.0.1:$((port + 10 + 2 * i))")
done
"$bin/heatherhinge" bundle submit "$work/envelope" "${entries[@]}"

load=("$bin/heatherhinge-load" run --profile "$profile" --rate-factor "$factor" "${entries[@]}")
# The first run warms up the targets; keys issued before the partitions have owners are rejected.
"${load[@]}" --duration-s 10 >"$work/warm-up"
"${load[@]}" --duration-s "$seconds" --seed 2 \
    --compare-direct "127.0.0.1:$((port + 100 + targets))" --json "$work/result.json"
