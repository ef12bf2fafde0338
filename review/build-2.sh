#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10. Needs no network and no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
  --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
