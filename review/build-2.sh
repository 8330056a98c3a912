#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use the standard
# library only, and nothing of the network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
