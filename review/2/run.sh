#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
for program in target/release/coveproxy-platform target/review/stage; do
    if [ ! -x "$program" ]; then
        echo "$program was not built"
        exit 2
    fi
done
timeout -k 5 115 target/review/stage hang review/2
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
