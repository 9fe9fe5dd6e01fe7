#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 with the standard library alone, into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in first_part other_caller odd_entries upgrade plain_part; do
    rustc --edition 2021 -O -A dead_code -o "target/review-2/$program" "review/standins-2/$program.rs"
done
