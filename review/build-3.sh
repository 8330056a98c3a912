#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
