#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
