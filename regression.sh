#!/usr/bin/env bash
# Scores the deployments of the regression runs, one after the other, with the users' bench.
# Usage: regression.sh BENCH SYSTEM [WHY], where SYSTEM is the folder with the site files.
set -euo pipefail
if [ $# -lt 2 ]; then
    sed -n '2,3s/^# //p' "$0" >&2
    exit 2
fi
bench=$(realpath "$1")
system=$(realpath "$2")
cd "$(dirname "$0")"
jobs=$((($(nproc) + 1) / 2))
for site in large/hatirlat-bayi-large further-grown/tavola-comune-grown further/tavola-comune \
    grown/hatirlat-bayi-grown grown/bluemahoe-tp-grown; do
    echo "== $site"
    "$bench" score "$system/$site.toml" --jobs "$jobs" --why "${3:-regression run}" |
        grep -E '^(score|GATE|quiet|trouble|scale|fresh|seen: the)'
done
