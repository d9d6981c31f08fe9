#!/usr/bin/env bash
# Builds barleyspool, starts a deployment on loopback as separate processes and sends several hundred mixed requests.
# Kills one entry node and shuts down one target meanwhile, and prints the outcomes of the requests.
#
#   ./demo.sh [vigilanza|kirjakoda]
#   DEMO_REQUESTS, DEMO_RATE: the number of requests, and the rate in requests per second
#   DEMO_TRACE: a recorded trace to replay instead, such as traces/vigilanza-surge.jsonl
set -euo pipefail
cd "$(dirname "$0")"
name=${1:-vigilanza}
dir=settings/$name
[ -f "$dir/deployment.json" ] || { echo "demo: unknown deployment: $name" >&2; exit 2; }
requests=${DEMO_REQUESTS:-480}
rate=${DEMO_RATE:-40}

echo "demo: building"
cargo build --release --quiet --bins
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
mkdir "$work/runs" "$work/logs"
pids=()
caller=

# Kills the processes that this script started, by process id, on any exit of the script.
stop_all() {
    trap - EXIT INT TERM
    for pid in "${pids[@]}" $caller; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start() { # LOG COMMAND...
    local log=$1
    shift
    "$@" >"$work/logs/$log" 2>&1 &
    pids+=($!)
}
operators() { sed -n 's/.*"operators": "\(.*\)".*/\1/p' "$dir/entry-$1.json"; }
field() { "$bin/barleyspool" --node "$(operators "$1")" --json status 2>/dev/null | sed -n "s/.*\"$2\":\"\([a-z_]*\)\".*/\1/p"; }
tell() { "$bin/barleyspool-stand-platform" tell "$platform" "$1"; }

platform=$(sed -n 's/.*"platform": "\(.*\)".*/\1/p' "$dir/deployment.json")
entries=$(ls "$dir"/entry-*.json | sed 's/.*entry-\([0-9]*\).json/\1/' | sort -n)
targets=$("$bin/barleyspool-stand-target" --deployment "$dir/deployment.json" --list)

echo "demo: starting $name: $(echo "$entries" | wc -l) entry nodes, $(echo "$targets" | wc -l) targets, the platform"
start platform.log "$bin/barleyspool-stand-platform" serve --deployment "$dir/deployment.json"
declare -A target_pid entry_pid
for id in $targets; do
    start "target-$id.log" "$bin/barleyspool-stand-target" --deployment "$dir/deployment.json" --id "$id" --run-log "$work/runs"
    target_pid[$id]=$!
done
for id in $entries; do
    start "entry-$id.log" "$bin/barleyspool-entry" --settings "$dir/entry-$id.json"
    entry_pid[$id]=$!
done

echo "demo: waiting until every entry node serves and holds its lease for unrepeatable requests"
waited=0
for id in $entries; do
    until [ "$(field "$id" state)" = serving ] && [ "$(field "$id" lease)" = held ]; do
        sleep 0.2
        waited=$((waited + 1))
        if [ $waited -gt 200 ]; then
            echo "demo: entry node $id did not become ready" >&2
            cat "$work/logs/entry-$id.log" >&2
            exit 1
        fi
    done
done

echo "demo: sending $requests requests at $rate per second"
"$bin/barleyspool-stand-caller" --deployment "$dir/deployment.json" --requests "$requests" --rate "$rate" \
    ${DEMO_TRACE:+--trace "$DEMO_TRACE"} \
    --run-log "$work/runs" --label demo >"$work/report" &
caller=$!
killed=$(echo "$entries" | sed -n 2p)
leaving=$(echo "$targets" | sed -n 1p)
ended() { grep -c ' ended$' "$work/report" || true; }
until [ "$(ended)" -ge 3 ] || ! kill -0 $caller 2>/dev/null; do sleep 0.1; done
echo "demo: killing entry node $killed"
kill -KILL "${entry_pid[$killed]}"
until [ "$(ended)" -ge 4 ] || ! kill -0 $caller 2>/dev/null; do sleep 0.1; done
echo "demo: removing entry node $killed from the fleet list; shutting down target $leaving"
tell "{\"remove_entry\":$killed}"
kill -TERM "${target_pid[$leaving]}"

status=0
wait $caller || status=$?
caller=
cat "$work/report"
exit $status
