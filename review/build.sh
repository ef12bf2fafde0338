#!/bin/sh
# Builds the stand-ins of all cases, without a network: they use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins/Cargo.toml \
    --target-dir target/review
