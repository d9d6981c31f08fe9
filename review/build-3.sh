#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases start. Needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/stands-3"
CARGO_TARGET_DIR=../../target/review-stands-3 cargo build --release --offline
