#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/review-world review/standin/main.rs
