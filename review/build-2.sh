#!/bin/sh
# Builds the tests and stand-ins of the second review's cases (6 to 10), with the standard library only. The proxy itself comes from the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand_ins_2/main.rs
