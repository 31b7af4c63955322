#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, with the compiler alone: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = harness ] || rustc --edition 2021 -O -o "target/review-2/$name" "$source"
done
