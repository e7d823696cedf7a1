#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 without a network. The nodes themselves are built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
cargo build --release --locked --offline --target-dir target
