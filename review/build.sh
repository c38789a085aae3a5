#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
