#!/usr/bin/env bash
# Builds the stand-ins of the review cases. Needs nothing but the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/scene review/standins.rs
