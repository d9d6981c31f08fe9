#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Needs no network: they use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stands-2/Cargo.toml --target-dir target/review-2
