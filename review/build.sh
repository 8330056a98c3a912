#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start. Needs no network beyond
# the crates that the project's own build has.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --offline --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
