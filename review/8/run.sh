#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
for program in target/release/coveproxy-platform target/review-2/plain_part; do
    [ -x "$program" ] || exit 2
done
exec target/review-2/plain_part "$here/record.txt"
