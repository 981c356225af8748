#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2021 -o target/review-2/standins review/standins-2/main.rs
