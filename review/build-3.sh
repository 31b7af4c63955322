#!/usr/bin/env bash
# Builds the stand-ins of review 3: one program without dependencies, target/review-3/cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/stand-ins-3/main.rs
