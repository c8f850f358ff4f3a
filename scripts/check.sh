#!/usr/bin/env bash
# Runs the formatter, the linter, the documentation build and every test.
# The result does not depend on the speed of the host: no test asserts a wall-clock time.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TERM_COLOR=never RUSTDOCFLAGS="-D warnings"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo doc --workspace --no-deps --locked --quiet
cargo test --workspace --locked
