#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review: one program, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/rig-2/main.rs -o target/review-2/rig
