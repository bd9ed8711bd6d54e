#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/harness-2/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cc)"
done
