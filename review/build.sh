#!/usr/bin/env bash
# Builds the stand-ins and the driver of the review's scripts, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
