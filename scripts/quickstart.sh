#!/usr/bin/env bash
# Builds everything and runs a tour of about 30 seconds: two failure domains,
# a node killed under load, a domain taken out of service.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
exec target/debug/lagoondyke-bench quickstart "$@"
