#!/usr/bin/env bash
# Builds the stand-ins and tests of the cases into target/review/, with rustc alone and the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/lab review/lab/main.rs
