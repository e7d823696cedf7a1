#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review/release/review-standin
[ -x "$driver" ] && [ -x target/release/lacewingrouter ] || exit 2
exec "$driver" cancelled . review/5
