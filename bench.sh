#!/usr/bin/env bash
# Prints every `figure NAME VALUE UNIT` line that docs/CAPACITY.md and docs/design/ name.
set -euo pipefail
cd "$(dirname "$0")"
export CARGO_TERM_COLOR=never
cargo build --release --workspace --bins --examples --quiet
for bench in place:place sched:teams lease:takeover store:writes config:in_force config:recall config:state \
    config:audit node:router node:capacity; do
    cargo bench --quiet -p "${bench%%:*}" --bench "${bench##*:}" | grep '^figure ' || true
done
target/release/lacewing load | grep '^figure '
target/release/examples/real_domain measure | grep '^figure '
