#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$HOME/.cargo/bin:$PATH"
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stage review/standins/main.rs
