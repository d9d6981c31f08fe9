#!/usr/bin/env bash
# play.sh CASE FOLDER: plays a case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/.."
stand=target/review/release/review-stand
if [ ! -x "$stand" ] || [ ! -x target/release/barleyspool-gateway ]; then
    echo "build first: the command of deploy/system.toml, and review/build.sh"
    exit 2
fi
export TMPDIR
TMPDIR=$(mktemp -d)
end() {
    # The driver removes this file when it has ended its processes itself.
    if [ -f "$TMPDIR/pids" ]; then
        xargs -r kill -KILL <"$TMPDIR/pids" 2>/dev/null
    fi
    rm -rf "$TMPDIR"
}
trap end EXIT
timeout --signal=KILL 110 "$stand" "$1" "$2" &
driver=$!
# `timeout` passes the signal on to its group.
trap 'kill -TERM "$driver" 2>/dev/null; wait "$driver"; exit 2' INT TERM
wait "$driver"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
