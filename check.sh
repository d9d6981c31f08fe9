#!/usr/bin/env bash
# Runs the checks of CI: formatting, lints, generated code, settings files, documentation, tests. Prints the test summary last.
set -uo pipefail
cd "$(dirname "$0")"
export CARGO_TERM_COLOR=${CARGO_TERM_COLOR:-never}
failed=()

step() { # NAME COMMAND...
    local name=$1
    shift
    echo "check: $name"
    "$@" || failed+=("$name")
}

step "formatting" cargo fmt --all --check
step "lints" cargo clippy --workspace --all-targets --quiet -- -D warnings
step "generated code" cargo run --quiet -p barleyspool_codegen -- --check
step "settings" bash -c 'cargo build --quiet --bins && for file in settings/*/entry-*.json; do
    "${CARGO_TARGET_DIR:-target}/debug/barleyspool" settings check "$file" 2>/dev/null || { echo "$file is not good"; exit 1; }
done && for file in settings/*/keeper-*.json; do
    "${CARGO_TARGET_DIR:-target}/debug/barleyspool-keeper" --settings "$file" --check 2>/dev/null || { echo "$file is not good"; exit 1; }
done'
step "documentation" env RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --quiet

# KNOWN-RED.txt lists tests that fail because of a known defect. Those that it marks with skip are passed over. If an entry is wrong, the
# check fails and all tests are run.
log=$(mktemp)
list=$(mktemp)
trap 'rm -f "$log" "$list"' EXIT
step "known-red.sh" .ci/known-red-test.sh
passed_over=()
skip=()
if [ -s KNOWN-RED.txt ]; then
    echo "check: known red:"
    cat KNOWN-RED.txt
    if ! CARGO_TERM_COLOR=never cargo test --workspace -- --list >"$list" 2>&1; then
        failed+=("list of the tests")
        cat "$list"
    elif paths=$(.ci/known-red.sh KNOWN-RED.txt "$list"); then
        [ -z "$paths" ] || mapfile -t passed_over <<<"$paths"
    else
        failed+=("KNOWN-RED.txt")
    fi
fi
echo "check: ${#passed_over[@]} tests are passed over"
for path in "${passed_over[@]}"; do
    echo "    $path"
    skip+=(--skip "$path")
done
# Well above the time of a clean build and all tests on a busy machine. If a test hangs, the run fails and the log names the test.
limit_s=2400
echo "check: tests"
timeout --kill-after=20 "$limit_s" cargo test --workspace --no-fail-fast -- --exact "${skip[@]}" 2>&1 | tee "$log" |
    grep --line-buffered -E '^ *(Running|Doc-tests) |running for over'
status=${PIPESTATUS[0]}
if [ "$status" -ne 0 ]; then
    failed+=("tests")
    cat "$log"
    [ "$status" -ne 124 ] || echo "check: tests were ended after $limit_s s"
fi

passed=$(sed -n 's/^test result: .* \([0-9]*\) passed;.*/\1/p' "$log" | awk '{sum += $1} END {print sum + 0}')
broken=$(sed -n 's/^test result: .* \([0-9]*\) failed;.*/\1/p' "$log" | awk '{sum += $1} END {print sum + 0}')
filtered=$(sed -n 's/^test result: .* \([0-9]*\) filtered out;.*/\1/p' "$log" | awk '{sum += $1} END {print sum + 0}')
# A binary that was ended prints no result, and `tests` has failed then.
[ "$filtered" -eq ${#passed_over[@]} ] || [ "$status" -ne 0 ] || failed+=("$filtered tests were passed over instead of ${#passed_over[@]}")
if [ ${#failed[@]} -gt 0 ]; then
    printf 'check: failed: %s\n' "${failed[@]}"
fi
echo "$passed passed, $broken failed"
[ ${#failed[@]} -eq 0 ] && [ "$passed" -gt 0 ]
