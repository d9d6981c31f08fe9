#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stands/Cargo.toml --target-dir target/review
