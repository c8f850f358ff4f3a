#!/usr/bin/env bash
# Runs heatherhinge on loopback addresses: stand-ins for the platform and the targets, four entry
# hosts, a signed bundle, small versions of both users' workloads, and a version move from v1 to v2.
# Ctrl-C stops all processes gracefully. With --exit the script ends after the summary.
set -euo pipefail
cd "$(dirname "$0")/.."

exit_after=no
[ "${1:-}" = --exit ] && exit_after=yes

dir=$(mktemp -d)
bin=${CARGO_TARGET_DIR:-target}/release
entries=(127.0.0.1:7001 127.0.0.1:7002 127.0.0.1:7003 127.0.0.1:7004)
zones=(suva nadi calicut kochi)
platform=127.0.0.1:7100
pids=()
entry_pids=()

say() { printf '\n== %s\n' "$*"; }

# Ends only the processes that this script started: the entry hosts first, gracefully.
stop() {
    trap - INT TERM EXIT
    say "Stopping"
    for pid in "${entry_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${entry_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$dir"
    echo "All processes have ended."
}
trap 'stop; exit 130' INT TERM
trap stop EXIT

say "Building (release)"
cargo build --release --locked --quiet --bins

say "Starting the stand-ins: platform, 18 targets of orders, 8 of booking"
"$bin/heatherhinge-standin-platform" --listen "$platform" >"$dir/platform.log" 2>&1 &
pids+=($!)
start_targets() { # file, options
    local file=$1
    shift
    "$bin/heatherhinge-standin-target" "$@" >"$file" 2>"$file.log" &
    pids+=($!)
}
start_targets "$dir/orders-v1" --service orders --version v1 --targets 9 --port 7200 --slots 5 \
    --zone suva --zone nadi --zone lautoka --warm-ms 2000
start_targets "$dir/orders-v2" --service orders --version v2 --targets 9 --port 7220 --slots 5 \
    --zone suva --zone nadi --zone lautoka --warm-ms 2000
start_targets "$dir/booking-v1" --service booking --version v1 --targets 8 --port 7240 --slots 4 \
    --zone calicut --zone kochi --zone thrissur --zone kannur --warm-ms 2000

wait_for() { # address
    for _ in $(seq 100); do
        curl -s -o "$dir/answer" "http://$1" && return
        sleep 0.1
    done
    echo "demo: no response from http://$1 after 100 attempts; the last lines of the logs follow" && tail -n 20 "$dir"/*.log && exit 1
}
register() { # labels as JSON, address
    curl -sS -X POST -H 'content-type: application/json' \
        -d "[{\"targets\":[\"$2\"],\"labels\":$1}]" "http://$platform/admin/hosts"
}
field() { # name, line of JSON
    sed -E "s/.*\"$1\":\"([^\"]*)\".*/\1/" <<<"$2"
}
wait_for "$platform/hosts"
for file in orders-v1 orders-v2 booking-v1; do
    for _ in $(seq 100); do [ "$(wc -l <"$dir/$file")" -ge 8 ] && break; sleep 0.1; done
    while read -r line; do
        labels=$(printf '{"role":"target","service":"%s","zone":"%s","version":"%s","state":"live"}' \
            "$(field service "$line")" "$(field zone "$line")" "$(field version "$line")")
        register "$labels" "$(field addr "$line")"
    done <"$dir/$file"
done

# If a process has already ended, its port was most likely in use by another demonstration.
check_alive() {
    for pid in "${pids[@]}" "${entry_pids[@]}"; do
        kill -0 "$pid" 2>/dev/null && continue
        echo "demo: a process ended early; the first lines of the logs follow"
        head -n 3 "$dir"/*.log
        exit 1
    done
}
check_alive

say "Starting four entry hosts"
"$bin/heatherhinge" key new --id ops-1 --out "$dir/ops-1.key" >"$dir/key.txt"
for n in 1 2 3 4; do
    cat >"$dir/entry-$n.ini" <<INI
[host]
name = entry-$n
zone = ${zones[n - 1]}
caller_addr = ${entries[n - 1]}
peer_addr = 127.0.0.1:750$n
[platform]
table_addr = $platform
object_addr = $platform
host_list_addr = $platform
[peers]
seeds = 127.0.0.1:7501, 127.0.0.1:7502
[key ops-1]
public = $(grep -oE '[A-Za-z0-9+/]{43}=' "$dir/key.txt" | head -n 1)
INI
    "$bin/heatherhinge-entryd" --settings "$dir/entry-$n.ini" >"$dir/entry-$n.log" 2>&1 &
    entry_pids+=($!)
    register "{\"role\":\"entry\",\"host\":\"entry-$n\",\"zone\":\"${zones[n - 1]}\",\"peer_addr\":\"127.0.0.1:750$n\",\"state\":\"live\"}" \
        "${entries[n - 1]}"
done
for entry in "${entries[@]}"; do wait_for "$entry/heatherhinge/v1/status"; done
check_alive

submit() { # version, further sections
    { sed "s/@VERSION@/$1/" demo/bundle.ini && cat "$2"; } >"$dir/bundle-$1.ini"
    "$bin/heatherhinge" bundle sign "$dir/bundle-$1.ini" --key "$dir/ops-1.key" --out "$dir/bundle-$1.json"
    "$bin/heatherhinge" bundle submit "$dir/bundle-$1.json" --entry "${entries[0]}"
}
say "Submitting bundle 1"
submit 1 /dev/null
for _ in $(seq 100); do
    owned=0
    for entry in "${entries[@]}"; do
        part=$(curl -s "http://$entry/heatherhinge/v1/status" | sed -E 's/.*"partitions_owned":([0-9]+).*/\1/')
        owned=$((owned + part))
    done
    [ "$owned" -eq 256 ] && break
    sleep 0.2
done

say "Running both workloads for 150 s while orders moves from v1 to v2"
cat <<'HELP'
In a second terminal, try:
  curl -i http://127.0.0.1:7001/orders/stock/bell
  curl -s http://127.0.0.1:7002/heatherhinge/v1/addresses?zone=nadi
  curl -s http://127.0.0.1:7003/heatherhinge/v1/status
HELP
entry_options=()
for entry in "${entries[@]}"; do entry_options+=(--entry "$entry"); done
for profile in demo/vatuwaqa.ini profiles/kozhikode.ini; do
    name=$(basename "$profile" .ini)
    "$bin/heatherhinge-load" run --profile "$profile" "${entry_options[@]}" \
        --duration-s 150 --seed 7 --json "$dir/$name.json" >"$dir/$name.md" 2>"$dir/$name.log" &
    pids+=($!)
    load_pids+=($!)
done
sleep 5
sed "s/@END@/$(date -u -d '+130 seconds' +%Y-%m-%dT%H:%M:%SZ)/" demo/move.ini >"$dir/move.ini"
submit 2 "$dir/move.ini"
for pid in "${load_pids[@]}"; do
    wait "$pid" || { echo "demo: a load run failed; its log follows"; cat "$dir"/vatuwaqa.log "$dir"/kozhikode.log; exit 1; }
done

say "Summary"
cat "$dir/vatuwaqa.md" "$dir/kozhikode.md"
"$bin/heatherhinge" bundle status --entry "${entries[0]}"
"$bin/heatherhinge" report --entry "${entries[0]}"
"$bin/heatherhinge" explain move orders-v2 --entry "${entries[0]}"
[ "$exit_after" = yes ] && exit 0
say "The hosts keep serving. Press Ctrl-C to stop."
wait "${entry_pids[0]}"
