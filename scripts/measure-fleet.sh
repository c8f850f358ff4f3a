#!/usr/bin/env bash
# Measures idle entry daemons on loopback addresses: resident memory, processor time, network bytes
# and calls to the platform. With a profile it sends load to the first entry host and measures that
# host, the targets and the load tool instead.
#
# Usage: scripts/measure-fleet.sh HOSTS SECONDS [PROFILE RATE_FACTOR...]
# The release binaries must have been built. TARGETS (default 30) sets the number of stand-in
# targets, SLOTS and SERVICE_TIME their capacity, PORT (default 21000) the first port, THREADS
# (default 4) the threads of an entry host, and LOAD_ARGS adds arguments to heatherhinge-load run.
# Only processes that this script started are ended.
set -euo pipefail
cd "$(dirname "$0")/.."
hosts=${1:?number of entry hosts}
seconds=${2:?seconds to measure}
shift 2
bin=${CARGO_TARGET_DIR:-target}/release
targets=${TARGETS:-30} port=${PORT:-21000} threads=${THREADS:-4}
platform=127.0.0.1:$port
dir=$(mktemp -d)
pids=()

end_processes() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$dir"
}
trap end_processes EXIT

register() { # ADDR LABELS
    curl -sf -o "$dir/registered" -H 'content-type: application/json' \
        -d "[{\"targets\":[\"$1\"],\"labels\":{$2,\"state\":\"live\"}}]" "http://$platform/admin/hosts"
}

# Processor time of a process in clock ticks, and its resident memory in KB.
cpu_ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
# Bytes that the open TCP connections of a process sent and received since they were opened.
tcp_bytes() {
    ss -tinpOH state established 2>/dev/null | grep "pid=$1," | awk '
        { for (i = 1; i <= NF; i++) {
            if (sub(/^bytes_sent:/, "", $i)) sent += $i
            if (sub(/^bytes_received:/, "", $i)) received += $i } }
        END { print sent + 0, received + 0 }'
}
owned() { # number of partitions that have an owner, summed over all hosts
    local sum=0 n
    for ((i = 0; i < hosts; i++)); do
        n=$(curl -sf "http://127.0.0.1:$((port + 100 + i))/heatherhinge/v1/status" |
            sed -E 's/.*"partitions_owned":([0-9]+).*/\1/') || n=0
        sum=$((sum + n))
    done
    echo $sum
}

"$bin/heatherhinge-standin-platform" --listen "$platform" >"$dir/platform.log" 2>&1 &
pids+=($!)
"$bin/heatherhinge-standin-target" --targets "$targets" --port $((port + 400)) --service orders \
    --zone north --slots "${SLOTS:-5}" --service-time "${SERVICE_TIME:-1000+1000}" >"$dir/targets.log" 2>&1 &
target_pid=$!
pids+=("$target_pid")
sleep 1
for ((i = 0; i < targets; i++)); do
    register "127.0.0.1:$((port + 400 + i))" \
        '"role":"target","service":"orders","zone":"north","version":"v1"'
done
"$bin/heatherhinge" key new --out "$dir/key" --id ops-1 >"$dir/key.ini"

entry_pids=()
for ((i = 0; i < hosts; i++)); do
    caller=127.0.0.1:$((port + 100 + i)) peer=127.0.0.1:$((port + 200 + i))
    {
        printf '[host]\nname = entry-%03d\nzone = north\ncaller_addr = %s\npeer_addr = %s\n\n' \
            "$i" "$caller" "$peer"
        printf '[platform]\ntable_addr = %s\nobject_addr = %s\nhost_list_addr = %s\n\n' \
            "$platform" "$platform" "$platform"
        printf '[peers]\nseeds = 127.0.0.1:%s\n\n[runtime]\nthreads = %s\n\n' \
            "$((port + 200))" "$threads"
        sed -n '/^\[key/,$p' "$dir/key.ini"
    } >"$dir/entry-$i.ini"
    "$bin/heatherhinge-entryd" --settings "$dir/entry-$i.ini" >"$dir/entry-$i.log" 2>&1 &
    entry_pids+=($!)
    pids+=($!)
    register "$caller" "$(printf '"role":"entry","host":"entry-%03d","zone":"north","peer_addr":"%s"' "$i" "$peer")"
done
sleep 2
cat >"$dir/bundle.ini" <<BUNDLE
[bundle]
version = 1

[zone north]

[service orders]
zones = north
version = v1
slots = ${SLOTS:-5}

[route orders casting]
prefix = /casting
methods = POST

[route orders all]
prefix = /
BUNDLE
"$bin/heatherhinge" bundle sign --key "$dir/key" --out "$dir/envelope.json" "$dir/bundle.ini"
"$bin/heatherhinge" bundle submit --entry "127.0.0.1:$((port + 100))" "$dir/envelope.json" || true
for ((tries = 0; tries < 60; tries++)); do
    [[ $(owned) == 256 ]] && break
    sleep 1
done
echo "partitions with an owner: $(owned)"

if (($# > 0)); then
    profile=$1
    shift
    for factor in "$@"; do
        before=$(cpu_ticks "${entry_pids[0]}") before_target=$(cpu_ticks "$target_pid")
        "$bin/heatherhinge-load" run --profile "$profile" --entry "127.0.0.1:$((port + 100))" \
            --rate-factor "$factor" --duration-s "$seconds" ${LOAD_ARGS:-} >"$dir/load.md" 2>&1 &
        load_pid=$!
        pids+=("$load_pid")
        while kill -0 "$load_pid" 2>/dev/null; do
            load_ticks=$(cpu_ticks "$load_pid" 2>/dev/null || echo "$load_ticks")
            sleep 0.2
        done
        echo "rate factor $factor: ticks of 10 ms in $seconds s: entry host" \
            "$(($(cpu_ticks "${entry_pids[0]}") - before)), targets" \
            "$(($(cpu_ticks "$target_pid") - before_target)), load $load_ticks; resident" \
            "$(resident_kb "${entry_pids[0]}") KB"
        cat "$dir/load.md"
    done
    exit 0
fi

sleep 5
counters_before=$(curl -sf "http://$platform/admin/counters")
before=() bytes_before=()
for pid in "${entry_pids[@]}"; do
    before+=("$(cpu_ticks "$pid")")
    bytes_before+=("$(tcp_bytes "$pid")")
done
sleep "$seconds"
echo "host, ticks of 10 ms in $seconds s, permille of a core, resident KB, bytes/s out, bytes/s in"
for ((i = 0; i < hosts; i++)); do
    ticks=$(($(cpu_ticks "${entry_pids[i]}") - before[i]))
    read -r sent received <<<"${bytes_before[i]}"
    read -r sent_now received_now <<<"$(tcp_bytes "${entry_pids[i]}")"
    echo "entry-$i, $ticks, $(awk "BEGIN { print $ticks * 10 / $seconds }")," \
        "$(resident_kb "${entry_pids[i]}"), $(((sent_now - sent) / seconds)), $(((received_now - received) / seconds))"
done
echo "platform calls before: $counters_before"
echo "platform calls after:  $(curl -sf "http://$platform/admin/counters")"
